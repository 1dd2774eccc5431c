/// @file
/// @brief Runs the steps of a request in order.
#pragma once

#include "caller/exchange.hpp"

namespace bamboochute::caller {

/// @brief Classifies, claims, admits, dispatches and answers a request that was read whole.
/// @param exchange whose answer is written when this returns
upstream::Awaitable<void> runRequest(Exchange &exchange);

} // namespace bamboochute::caller
