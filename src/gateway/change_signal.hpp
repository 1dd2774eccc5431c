/// @file
/// @brief Wakes coroutines when something changed.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <list>

#include <boost/asio/steady_timer.hpp>

namespace bamboochute::gateway {

/// @brief Coroutines that wait for a change or a point in time; one thread.
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

    /// @brief Wakes all that wait now.
    void notifyAll()
    {
        for (Timer *timer : this->timers)
            timer->cancel();
    }

    /// @brief Waits for the next notifyAll() or until a time, whichever comes first.
    upstream::Awaitable<void> wait(TimePoint until);

private:
    boost::asio::io_context &context;
    std::list<Timer *> timers;
};

} // namespace bamboochute::gateway
