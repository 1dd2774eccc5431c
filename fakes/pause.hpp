/// @file
/// @brief Timed waits for coroutines of the fakes.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <functional>

namespace bamboochute::fakes {

/// @brief Suspends the coroutine for a duration; returns at once when it is not positive.
/// @param context event loop that runs the timer
upstream::Awaitable<void> pauseFor(upstream::asio::io_context &context, Duration duration);

/// @brief Suspends the coroutine until a condition is false.
/// @param context event loop that runs the timer
/// @param period time between two checks of the condition
/// @param condition called on the event loop's thread
upstream::Awaitable<void> pauseWhile(upstream::asio::io_context &context, Duration period,
                                     std::function<bool()> condition);

} // namespace bamboochute::fakes
