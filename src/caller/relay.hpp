/// @file
/// @brief The step "relay": forwards an upstream's answer to the caller.
#pragma once

#include "caller/dispatch.hpp"

namespace bamboochute::caller {

/// @brief The caller's answer made from an upstream's answer that was read whole.
/// @param upstreamAnswer whose body is moved into the result
Answer makeAnswer(UpstreamAnswer &upstreamAnswer);

/// @brief Relays a stream to its end, and resumes it if it breaks and the upstream can resume.
///
/// A stream that stays broken ends with an error event and without its final chunk. If none of its
/// events has been written, the caller gets an error answer instead.
/// @param exchange request and connection of the caller
/// @param request as it was classified
/// @param admission as the request was admitted
/// @param upstreamAnswer whose header has been read
upstream::Awaitable<void> relayStream(Exchange &exchange, const ClassifiedRequest &request,
                                      const AdmissionRequest &admission,
                                      UpstreamAnswer upstreamAnswer);

} // namespace bamboochute::caller
