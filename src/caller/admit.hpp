/// @file
/// @brief The step "admit": takes a slot of an upstream for a request, at once or after waiting.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief The properties of a classified request that admission depends on.
/// @param request as it was classified
/// @param bytes size of its body
AdmissionRequest admissionRequest(const ClassifiedRequest &request, std::size_t bytes);

/// @brief Takes a slot without waiting.
/// @return an upstream with a slot that is taken; null when the request has to wait or its deadline
/// has passed
UpstreamPointer tryAdmit(Exchange &exchange, const AdmissionRequest &request);

/// @brief Waits for a slot, at most until the request's deadline.
/// @return an upstream with a slot that is taken; else DeadlineExceededInQueue, CallerGone,
/// Draining, or the refusal of the queue or the cold start
upstream::Awaitable<Result<UpstreamPointer>> waitForAdmission(Exchange &exchange,
                                                              const AdmissionRequest &request);

} // namespace bamboochute::caller
