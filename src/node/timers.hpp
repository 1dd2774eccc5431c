/// @file
/// @brief Calls functions on the control thread after a delay or periodically.
#pragma once

#include "core/clock.hpp"

#include <functional>

namespace boost::asio {
class io_context;
}

namespace bamboochute::node {

/// @brief One-shot and periodic timers on an event loop; satisfies admin::Scheduler.
class Timers
{
public:
    explicit Timers(boost::asio::io_context &loop)
        : loop(loop)
    {}

    /// @brief Calls a function once after a delay, unless the event loop ends before.
    void after(Duration delay, std::function<void()> function);

    /// @brief Calls a function periodically until the event loop ends, first after one period.
    void every(Duration period, std::function<void()> function);

private:
    boost::asio::io_context &loop;
};

} // namespace bamboochute::node
