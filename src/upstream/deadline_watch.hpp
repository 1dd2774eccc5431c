/// @file
/// @brief Ends operations on sockets that take too long, by one coarse timer for each thread.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace bamboochute::upstream {

class HttpStream;

/// @brief Streams that have a time limit now.
class DeadlineWatch
{
public:
    /// How late a time limit may be noticed.
    static constexpr Duration tickInterval = std::chrono::milliseconds(10);

    explicit DeadlineWatch(asio::io_context &context);

    /// @brief Watches a stream's new time limit until remove(); its place is kept in the stream.
    void limit(HttpStream &stream);
    void remove(HttpStream &stream);

    Executor executor() { return this->context.get_executor(); }

private:
    void schedule(TimePoint due);
    void tick();

    asio::io_context &context;
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, Executor>
            timer;
    std::vector<HttpStream *> watched;
    /// When the timer fires next; no later than the earliest limit and one tick.
    TimePoint nextTick{};
    bool isScheduled = false;
};

} // namespace bamboochute::upstream
