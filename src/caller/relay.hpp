/// @file
/// @brief The step "relay": passes an upstream's answer on to the caller.
#pragma once

#include "caller/dispatch.hpp"

namespace bamboochute::caller {

/// @brief An upstream's answer that was read whole, as the caller gets it.
/// @param dispatched its body is moved into the answer
Answer answerFrom(Dispatched &dispatched);

/// @brief Relays a stream to its end, or ends it so that the caller sees that it is broken.
upstream::Awaitable<void> relayStream(Exchange &exchange, const ClassifiedRequest &request,
                                      const AdmissionRequest &admission, Dispatched dispatched);

} // namespace bamboochute::caller
