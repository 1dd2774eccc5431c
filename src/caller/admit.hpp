/// @file
/// @brief The step "admit": gets an upstream for a request, at once or after waiting.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief What admission needs to know of a classified request.
AdmissionRequest admissionRequest(const ClassifiedRequest &request, std::size_t bytes);

/// @brief Gets an upstream at once.
/// @return an upstream with a slot that is taken; null when the request has to wait
UpstreamPointer admitNow(Exchange &exchange, const AdmissionRequest &request);

/// @brief Waits for an upstream, at most until the request's deadline.
/// @return an upstream with a slot that is taken, or why there is none
upstream::Awaitable<Result<UpstreamPointer>> waitForAdmission(Exchange &exchange,
                                                              const AdmissionRequest &request);

} // namespace bamboochute::caller
