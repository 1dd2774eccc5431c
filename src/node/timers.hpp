/// @file
/// @brief Calls functions later on the control thread.
#pragma once

#include "core/clock.hpp"

#include <functional>

namespace boost::asio {
class io_context;
}

namespace bamboochute::node {

/// @brief Satisfies admin::Scheduler.
class Timers
{
public:
    explicit Timers(boost::asio::io_context &loop)
        : loop(loop)
    {}

    /// @brief Calls a function once after a delay, unless the loop ends before.
    void after(Duration delay, std::function<void()> function);

    /// @brief Calls a function again and again, the first time after one period.
    void every(Duration period, std::function<void()> function);

private:
    boost::asio::io_context &loop;
};

} // namespace bamboochute::node
