/// @file
/// @brief Requests that wait for targets, summed over the instances.
#pragma once

#include "decision/events.hpp"

#include <map>
#include <vector>

namespace bamboochute::decision {

/// @brief Requests of all instances that wait for one target.
struct WaitingDemand
{
    Target target;
    /// Number of waiting requests.
    std::uint32_t waiting = 0;
    TimePoint earliestDeadline;
    /// Highest weight of the caller classes of the waiting requests.
    std::uint32_t weight = 1;
    /// When the demand was first reported.
    TimePoint since;
    /// Upstreams that are likely to have the prefixes of the waiting requests in their cache.
    std::vector<UpstreamId> prefixHints;
};

/// @brief Latest demand of each instance for each target. Not thread-safe.
class DemandTable
{
public:
    /// @brief Replaces the instance's demand for the target; removes it when nothing waits.
    void update(const DemandReported &demand, TimePoint now);

    /// @brief Removes demand that was last reported before the given time.
    void expire(TimePoint reportedBefore);

    /// @brief Removes the instances' demand for a target whose earliest deadline is before the
    /// given time, after its refusal.
    void removeRefused(const Target &target, TimePoint deadlineBefore);

    /// @brief Returns the demand for a target; `waiting` is zero when there is none.
    WaitingDemand demandFor(const Target &target) const;

    /// @brief Returns all demand, most urgent first: ordered by the time to the earliest deadline
    /// divided by the weight.
    std::vector<WaitingDemand> byUrgency(TimePoint now) const;

    void clear() { this->entries.clear(); }

private:
    struct Entry
    {
        DemandReported demand;
        TimePoint since;
        TimePoint reportedAt;
    };
    using ByInstance = std::map<InstanceId, Entry>;

    static WaitingDemand sumDemand(const Target &target, const ByInstance &instances);

    std::map<Target, ByInstance> entries;
};

} // namespace bamboochute::decision
