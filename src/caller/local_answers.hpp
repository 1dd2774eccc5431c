/// @file
/// @brief Answers calls that need no upstream.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief Answers a health, readiness, metrics or model list call.
upstream::Awaitable<void> answerLocally(Exchange &exchange, LocalCall call);

/// @brief Answers health and metrics calls, and refuses all others with NotReady, while no snapshot
/// has been published.
upstream::Awaitable<void> answerWithoutSnapshot(Exchange &exchange);

} // namespace bamboochute::caller
