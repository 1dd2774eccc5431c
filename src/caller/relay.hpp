/// @file
/// @brief The step "relay": passes an upstream's answer on to the caller.
#pragma once

#include "caller/dispatch.hpp"

namespace bamboochute::caller {

/// @brief An upstream's answer that was read whole, as the caller gets it.
Answer answerFrom(const Dispatched &dispatched);

/// @brief Relays a stream to its end, or ends it so that the caller sees that it is broken.
upstream::Awaitable<void> relayStream(Exchange &exchange, const ClassifiedRequest &request,
                                      const AdmissionRequest &admission, Dispatched dispatched);

} // namespace bamboochute::caller
