/// @file
/// @brief Rate at which a queue is served, measured from its dispatches.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <optional>

namespace bamboochute::admission {

/// @brief Exponentially weighted moving average of the dispatch rate while requests are waiting.
class DrainRate
{
public:
    /// @brief Records a dispatch.
    /// @param now time of the dispatch
    /// @param waitingAfter requests that are still waiting after it; when none are, the interval to
    /// the next dispatch is not measured
    void recordDispatch(TimePoint now, std::size_t waitingAfter);

    /// @brief Dispatch rate.
    /// @param now current time; the rate falls when requests are waiting and no dispatch takes
    /// place for long
    /// @return dispatches per second; nothing until enough intervals were measured
    std::optional<double> perSecond(TimePoint now) const;

private:
    double meanIntervalSeconds = 0;
    int samples = 0;
    /// Whether requests were still waiting after the last dispatch.
    bool isBacklogged = false;
    TimePoint lastDispatch{};
};

} // namespace bamboochute::admission
