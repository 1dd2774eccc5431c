/// @file
/// @brief Who waits for which target, added up over the instances.
#pragma once

#include "decision/events.hpp"

#include <map>
#include <vector>

namespace bamboochute::decision {

/// @brief All that wait for one target.
struct WaitingDemand
{
    Target target;
    std::uint32_t waiting = 0;
    TimePoint earliestDeadline;
    std::uint32_t weight = 1;
    /// When the first of them came.
    TimePoint since;
    std::vector<UpstreamId> prefixHints;
};

/// @brief Latest demand of each instance for each target.
class DemandTable
{
public:
    /// @brief Replaces what the instance said of the target.
    void update(const DemandReported &demand, TimePoint now);

    /// @brief Forgets demand that was not repeated since the given time.
    void expire(TimePoint reportedBefore);

    /// @brief Forgets demand that was refused.
    void removeRefused(const Target &target, TimePoint deadlineBefore);

    /// @brief What waits for a target; waiting is zero when nobody does.
    WaitingDemand demandFor(const Target &target) const;

    /// @brief All demand, in the order in which it should be met: the time left counts less the
    /// higher the weight is.
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
