/// @file
/// @brief Counts of recent events by upstream, which fade with time.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <functional>
#include <map>

namespace bamboochute::admission {

/// @brief Exponentially decaying counters that are compared with each other.
///
/// Newer events weigh more instead of older ones fading, so that an event costs one addition.
class RecentCounts
{
public:
    /// @param fadeTime time after which an event weighs 1/e
    explicit RecentCounts(Duration fadeTime);

    /// @brief Counts one event.
    void add(const UpstreamId &upstream, TimePoint now);

    /// @brief Count of an upstream; meaningful only beside another upstream's.
    double of(const UpstreamId &upstream) const;

    /// @brief Weight of one event that happens now, in the unit of of().
    double one(TimePoint now) const;

    /// @brief Forgets the upstreams for which the predicate holds.
    void forgetIf(const std::function<bool(const UpstreamId &)> &isUnknown);

private:
    Duration fadeTime;
    TimePoint start{};
    std::map<UpstreamId, double> counts;
};

} // namespace bamboochute::admission
