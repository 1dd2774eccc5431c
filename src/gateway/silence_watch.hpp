/// @file
/// @brief Decides when to look for another upstream because the current one says nothing.
#pragma once

#include "core/clock.hpp"

namespace bamboochute::gateway {

/// @brief How long an upstream may be silent before another one is asked to take the request.
struct SilenceLimits
{
    /// Time to the first event of a stream, or to the next bytes of another answer, as a multiple
    /// of the route's latency objective.
    double objectives = 1.5;
    /// Lower bound of that time.
    Duration minTime = std::chrono::milliseconds(150);
    /// Time to the next event of a stream, as a multiple of the route's objective for gaps.
    double eventGaps = 3.0;
    /// Time after which another upstream is looked for again.
    Duration retryInterval = std::chrono::milliseconds(200);
    /// Time for which a stream that has begun may go on at its silent upstream while the other one
    /// has neither answered nor refused. A request without a part of its answer waits for the first
    /// of the two that answers.
    Duration acceptTime = std::chrono::milliseconds(300);
    auto operator<=>(const SilenceLimits &) const = default;
};

/// @brief Measures the silence of one attempt's upstream.
class SilenceWatch
{
public:
    SilenceWatch() = default;

    /// @param objective of the route, for the time to the first event or the whole answer
    /// @param maxEventGap of the route, for the time between two events; zero if it has none
    SilenceWatch(const SilenceLimits &limits, Duration objective, Duration maxEventGap,
                 TimePoint now);

    /// @brief Records bytes of the answer.
    void recordBytes(TimePoint now);

    /// @brief Records whole events of a stream; from the first one on, the objective for gaps
    /// counts.
    void recordEvents(TimePoint now);

    /// @brief Records that no other upstream has taken the request.
    void recordNotReplaced(TimePoint now);

    /// @brief When to look for another upstream if nothing more is recorded until then;
    /// TimePoint::max() for never.
    TimePoint nextCheck() const noexcept { return this->checkAt; }

private:
    Duration retryInterval{};
    /// Time without bytes; zero for no limit.
    Duration limit{};
    /// The same from the first event on.
    Duration eventLimit{};
    TimePoint checkAt = TimePoint::max();
};

} // namespace bamboochute::gateway
