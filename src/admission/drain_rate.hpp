/// @file
/// @brief How fast a queue is served, measured from its dispatches.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <optional>

namespace bamboochute::admission {

/// @brief Exponentially weighted rate of dispatches while requests wait.
class DrainRate
{
public:
    /// @brief Counts one dispatch.
    /// @param now time of the dispatch
    /// @param waitingAfter requests that still wait after it
    void record(TimePoint now, std::size_t waitingAfter);

    /// @brief Dispatches a second; nothing until enough of them were seen.
    /// @param now when no dispatch came for long, the rate falls
    std::optional<double> perSecond(TimePoint now) const;

private:
    double intervalSeconds = 0;
    int samples = 0;
    /// Whether requests were left waiting by the last dispatch.
    bool isBacklogged = false;
    TimePoint last{};
};

} // namespace bamboochute::admission
