/// @file
/// @brief Calls that the server answers by itself.
#pragma once

#include "caller/classification.hpp"
#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief Answers health, readiness, metrics or the list of models.
upstream::Awaitable<void> answerLocally(Exchange &exchange, LocalCall call);

/// @brief Answers while no snapshot has been published yet.
upstream::Awaitable<void> answerWithoutSnapshot(Exchange &exchange);

} // namespace bamboochute::caller
