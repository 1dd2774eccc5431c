/// @file
/// @brief Chooses the upstream for a load and the targets to evict for it.
#pragma once

#include "core/clock.hpp"
#include "decision/events.hpp"
#include "decision/ledger.hpp"

#include <map>
#include <optional>
#include <vector>

namespace bamboochute::decision {

/// @brief State of one upstream that placement considers beside its ledger record.
struct UpstreamCondition
{
    /// Whether it accepts no loads: it is leaving or gone, or its inventory has been requested.
    bool isClosedToLoads = false;
    /// Running and queued requests as last reported, divided by the upstream's maximum concurrency.
    double load = 0.0;
    /// Memory reserved for targets that wait for evictions.
    Bytes reserved;
    /// Models whose replicas there are being drained before their unload.
    std::vector<ModelId> draining;
    /// Checkpoints that the upstream reports to have cached.
    std::map<Target, CheckpointLocation> cached;
};

/// @brief Expected load times of a target by the location of its checkpoint.
struct LoadTimes
{
    Duration memory;
    Duration disk;
    Duration remote;

    /// @brief Returns the load time from the given location.
    Duration timeFrom(CheckpointLocation location) const;
};

/// @brief A loaded target that may be unloaded to make room.
struct Victim
{
    UpstreamId upstream;
    Target target;
    /// For a base model, including the memory of its adapters.
    Bytes memory;
    /// Probability that the target is used again soon; the lowest is evicted first.
    double reuseProbability = 0.0;
};

/// @brief Result of choosePlacement: where to load, and what to unload there first.
struct PlacementChoice
{
    UpstreamId upstream;
    CheckpointLocation location = CheckpointLocation::Remote;
    /// Expected load time.
    Duration expected{};
    std::vector<Victim> victims;
};

/// @brief Target to place, with the inputs of the choice.
struct PlacementRequest
{
    Target target;
    std::vector<UpstreamId> prefixHints;
    LoadTimes times;
    /// Whether only upstreams that enforce fencing numbers may be chosen, as while the ledger can't
    /// be written.
    bool isFencingRequired = false;
};

/// @brief Returns from where the upstream would load the target's checkpoint.
CheckpointLocation checkpointLocationOf(const UpstreamCondition &condition, const Target &target);

/// @brief Chooses an upstream for a load.
///
/// The upstream with the lowest cost is chosen: the expected load time, adjusted for prefix hints,
/// the spread over data centres, free memory, the upstream's load and the evictions needed.
/// @param victims targets that may be evicted, in the order of eviction; empty when none may
/// @return empty when no allowed upstream has room or the target has its maximum of replicas
std::optional<PlacementChoice>
choosePlacement(const PlacementRequest &request, const Ledger &ledger,
                const std::map<UpstreamId, UpstreamCondition> &conditions,
                const std::vector<Victim> &victims);

} // namespace bamboochute::decision
