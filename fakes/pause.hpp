/// @file
/// @brief Lets a coroutine of a stand-in wait.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <functional>

namespace bamboochute::fakes {

/// @brief Waits on the context's thread; returns at once when the time is not positive.
upstream::Awaitable<void> pauseFor(upstream::asio::io_context &context, Duration time);

/// @brief Waits on the context's thread as long as a condition holds.
/// @param period time between two looks at the condition
upstream::Awaitable<void> pauseWhile(upstream::asio::io_context &context, Duration period,
                                     std::function<bool()> condition);

} // namespace bamboochute::fakes
