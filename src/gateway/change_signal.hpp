/// @file
/// @brief Lets coroutines wait for a change of shared state.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <list>

#include <boost/asio/steady_timer.hpp>

namespace bamboochute::gateway {

/// @brief Condition variable for the coroutines of one event loop; not thread-safe.
class ChangeSignal
{
public:
    using Timer
            = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                boost::asio::wait_traits<std::chrono::steady_clock>,
                                                upstream::Executor>;

    explicit ChangeSignal(boost::asio::io_context &context)
        : context(context)
    {}

    /// @brief Wakes all coroutines that are waiting.
    void notifyAll()
    {
        for (Timer *timer : this->timers)
            timer->cancel();
    }

    /// @brief Waits for the next notifyAll(), at most until a point in time.
    upstream::Awaitable<void> wait(TimePoint until);

private:
    boost::asio::io_context &context;
    std::list<Timer *> timers;
};

} // namespace bamboochute::gateway
