/// @file
/// @brief Ends socket operations that exceed their time limit, with one coarse timer per thread.
#pragma once

#include "core/clock.hpp"
#include "upstream/net.hpp"

#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace bamboochute::upstream {

class HttpStream;

/// @brief The streams of one thread that have a time limit.
class DeadlineWatch
{
public:
    /// Longest delay until an exceeded time limit is noticed.
    static constexpr Duration tickInterval = std::chrono::milliseconds(10);

    explicit DeadlineWatch(asio::io_context &context);
    /// @brief Streams that are still watched have no time limit from then on.
    ~DeadlineWatch();
    DeadlineWatch(const DeadlineWatch &) = delete;
    DeadlineWatch &operator=(const DeadlineWatch &) = delete;

    /// @brief Watches a stream's new time limit until remove().
    ///
    /// The stream holds its index in the list, so that it is found without a search.
    void watchDeadline(HttpStream &stream);
    /// @brief Removes a watched stream.
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
    /// Next time at which the timer fires; at most one tick after the earliest time limit.
    TimePoint nextTick{};
    bool isScheduled = false;
};

} // namespace bamboochute::upstream
