/// @file
/// @brief The way of one request, step by step.
#pragma once

#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief Takes a request that was read whole to the end of its answer.
upstream::Awaitable<void> runRequest(Exchange &exchange);

} // namespace bamboochute::caller
