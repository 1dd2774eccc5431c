/// @file
/// @brief Builds the header of the request that an upstream gets.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

#include <string>

namespace bamboochute::caller {

/// @brief Request line and headers, with the empty line at the end.
/// @param exchange the caller's request
/// @param request how it was classified
/// @param upstream that it goes to
/// @param resumeAfter event after which a broken stream is asked for again; may be empty
std::string upstreamHead(const Exchange &exchange, const ClassifiedRequest &request,
                         const UpstreamSpec &upstream, std::string_view resumeAfter);

/// @brief Calls the vendor's way to stop the work on a request; nobody waits for the answer.
void cancelUpstream(Exchange &exchange, const UpstreamSpec &upstream);

} // namespace bamboochute::caller
