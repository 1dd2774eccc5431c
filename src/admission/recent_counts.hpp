/// @file
/// @brief Exponentially decaying counts of events by upstream.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <functional>
#include <map>

namespace bamboochute::admission {

/// @brief Exponentially decaying counts, for comparing upstreams with each other.
///
/// Instead of scaling old counts down, newer events get a larger weight, so that an event costs one
/// addition.
class RecentCounts
{
public:
    /// @param decayTime time after which an event weighs 1/e of a new one
    explicit RecentCounts(Duration decayTime);

    /// @brief Counts an event.
    void add(const UpstreamId &upstream, TimePoint now);

    /// @brief Weighted count of an upstream; only meaningful relative to another one or to
    /// eventWeight().
    double weightedCount(const UpstreamId &upstream) const;

    /// @brief Weight of an event that happens now, in the unit of weightedCount().
    double eventWeight(TimePoint now) const;

    /// @brief Removes the upstreams for which the predicate holds.
    void removeIf(const std::function<bool(const UpstreamId &)> &shouldRemove);

private:
    Duration decayTime;
    TimePoint weightOrigin{};
    std::map<UpstreamId, double> counts;
};

} // namespace bamboochute::admission
