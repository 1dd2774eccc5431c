/// @file
/// @brief Chooses the upstream for a load, and what makes room for it.
#pragma once

#include "core/clock.hpp"
#include "decision/events.hpp"
#include "decision/ledger.hpp"

#include <map>
#include <optional>
#include <vector>

namespace bamboochute::decision {

/// @brief What matters about one upstream beside its record.
struct UpstreamCondition
{
    /// Nothing new goes there: it leaves, is gone, or its inventory is asked for.
    bool isClosedToLoads = false;
    /// Load as last reported, as a share of what it works on at once.
    double load = 0.0;
    /// Memory that is being made free for another target.
    Bytes reserved;
    /// Models whose replicas there are about to be unloaded.
    std::vector<ModelId> draining;
    /// Checkpoints at hand there.
    std::map<Target, CheckpointLocation> cached;
};

/// @brief Expected load times of a target by the place of its checkpoint.
struct LoadTimes
{
    Duration memory;
    Duration disk;
    Duration remote;

    Duration timeFrom(CheckpointLocation location) const;
};

/// @brief A loaded target that may be unloaded to make room.
struct Victim
{
    UpstreamId upstream;
    Target target;
    Bytes memory;
    /// Expected cost of not having it, per byte kept.
    double reuseProbability = 0.0;
};

/// @brief Where to load, and what to unload there first.
struct PlacementChoice
{
    UpstreamId upstream;
    CheckpointLocation location = CheckpointLocation::Remote;
    Duration expected{};
    std::vector<Victim> victims;
};

/// @brief What a choice is made from.
struct PlacementRequest
{
    Target target;
    std::vector<UpstreamId> prefixHints;
    LoadTimes times;
    /// Only upstreams that keep fencing numbers, as while the ledger can't be written.
    bool isFencingRequired = false;
};

/// @brief Place of the target's checkpoint nearest to the upstream.
CheckpointLocation checkpointLocationOf(const UpstreamCondition &condition, const Target &target);

/// @brief Chooses an upstream for a load.
///
/// The expected load time decides; then prefix hints, spread over data centres, free memory, load.
/// @param victims what may be unloaded, cheapest first; empty when nothing may
/// @return nothing when there is no room
std::optional<PlacementChoice>
choosePlacement(const PlacementRequest &request, const Ledger &ledger,
                const std::map<UpstreamId, UpstreamCondition> &conditions,
                const std::vector<Victim> &victims);

} // namespace bamboochute::decision
