/// @file
/// @brief Builds the header of upstream requests, and cancels them.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

#include <string>

namespace bamboochute::caller {

/// @brief Request line and headers of an upstream request, with the empty line at the end.
/// @param exchange the caller's request
/// @param request as it was classified
/// @param upstream that receives it
/// @param resumeAfter identifier of the event after which a broken stream is resumed; empty to
/// request it from the start
std::string upstreamRequestHead(const Exchange &exchange, const ClassifiedRequest &request,
                                const UpstreamSpec &upstream, std::string_view resumeAfter);

/// @brief Sends the vendor's cancel call for a request; does not wait for the answer.
/// @param exchange whose request is cancelled
/// @param upstream that may still work on it
void cancelUpstream(Exchange &exchange, const UpstreamSpec &upstream);

} // namespace bamboochute::caller
