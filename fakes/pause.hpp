/// @file
/// @brief Lets a coroutine of a stand-in wait.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

namespace bamboochute::fakes {

/// @brief Waits on the context's thread; returns at once when the time is not positive.
upstream::Awaitable<void> pauseFor(upstream::asio::io_context &context, Duration time);

} // namespace bamboochute::fakes
