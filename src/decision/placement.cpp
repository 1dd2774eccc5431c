#include "decision/placement.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

/// Weights of the criteria beside the load time, in seconds of load time.
constexpr double prefixHintSeconds = 0.5;
constexpr double spreadSeconds = 0.3;
constexpr double upstreamLoadSeconds = 1.0;
constexpr double fullnessSeconds = 0.2;
constexpr double victimSeconds = 1.0;
constexpr double cacheEvictionSeconds = 0.05;

bool isAllowedIn(const TargetSpec &spec, const DataCentreId &dataCentre)
{
    return spec.dataCentres.empty()
           || std::find(spec.dataCentres.begin(), spec.dataCentres.end(), dataCentre)
                      != spec.dataCentres.end();
}

bool hasReplicaIn(const Ledger &ledger, const Target &target, const DataCentreId &dataCentre)
{
    for (const auto &[id, upstream] : ledger.view()->upstreams) {
        if (upstream.dataCentre == dataCentre && ledger.find(id, target) != nullptr)
            return true;
    }
    return false;
}

bool isBaseUsable(const Ledger &ledger, const UpstreamId &upstream, const Target &target,
                  const UpstreamCondition &condition)
{
    if (target.adapter.isEmpty())
        return true;
    const auto &draining = condition.draining;
    if (std::find(draining.begin(), draining.end(), target.model) != draining.end())
        return false;
    const Placement *base = ledger.find(upstream, Target{target.model, {}});
    return base != nullptr && base->state == PlacementState::Loaded;
}

/// Selects victims at one upstream, in the given order, until the memory needed is free; empty when
/// they don't free enough.
std::optional<std::vector<Victim>> selectVictims(const UpstreamId &upstream, const Target &target,
                                                 Bytes neededMemory, Bytes freeMemory,
                                                 const std::vector<Victim> &victims)
{
    std::vector<Victim> chosen;
    for (const Victim &victim : victims) {
        if (freeMemory >= neededMemory)
            break;
        const bool isOwnBase
                = !target.adapter.isEmpty() && victim.target == Target{target.model, {}};
        if (victim.upstream != upstream || isOwnBase)
            continue;
        Bytes memory = victim.memory;
        bool isCovered = false;
        for (const Victim &other : chosen) {
            const bool isSameModel = other.target.model == victim.target.model;
            isCovered = isCovered || (isSameModel && other.target.adapter.isEmpty());
            // The memory of a base model's victim entry includes that of its adapters.
            if (isSameModel && victim.target.adapter.isEmpty())
                memory = Bytes{memory.count - other.memory.count};
        }
        if (isCovered)
            continue;
        chosen.push_back(victim);
        freeMemory = freeMemory + memory;
    }
    if (freeMemory < neededMemory)
        return std::nullopt;
    return chosen;
}

} // namespace

Duration LoadTimes::timeFrom(CheckpointLocation location) const
{
    switch (location) {
    case CheckpointLocation::Memory:
        return this->memory;
    case CheckpointLocation::Disk:
        return this->disk;
    case CheckpointLocation::Remote:
        return this->remote;
    }
    return this->remote;
}

CheckpointLocation checkpointLocationOf(const UpstreamCondition &condition, const Target &target)
{
    const auto found = condition.cached.find(target);
    return found == condition.cached.end() ? CheckpointLocation::Remote : found->second;
}

std::optional<PlacementChoice>
choosePlacement(const PlacementRequest &request, const Ledger &ledger,
                const std::map<UpstreamId, UpstreamCondition> &conditions,
                const std::vector<Victim> &victims)
{
    const PoolView &view = *ledger.view();
    const auto spec = view.targets.find(request.target);
    if (spec == view.targets.end() || ledger.replicas(request.target) >= spec->second.maxReplicas)
        return std::nullopt;
    std::optional<PlacementChoice> best;
    double bestCost = 0.0;
    for (const auto &[id, upstream] : view.upstreams) {
        const auto condition = conditions.find(id);
        const bool isOpen = condition != conditions.end() && !condition->second.isClosedToLoads;
        const bool isFenced = upstream.fencing == Fencing::Refuses;
        if (!isOpen || ledger.record(id).mayHoldUnrecordedTargets || ledger.isDistrusted(id)
            || !isAllowedIn(spec->second, upstream.dataCentre)
            || (request.isFencingRequired && !isFenced)
            || ledger.find(id, request.target) != nullptr
            || !isBaseUsable(ledger, id, request.target, condition->second))
            continue;
        const Bytes all = ledger.availableMemory(id);
        const Bytes reserved = condition->second.reserved;
        const Bytes freeMemory{all > reserved ? all.count - reserved.count : 0};
        auto chosen = selectVictims(id, request.target, spec->second.memory, freeMemory, victims);
        if (!chosen)
            continue;
        const CheckpointLocation location = checkpointLocationOf(condition->second, request.target);
        const Duration expected = request.times.timeFrom(location);
        double cost = toSeconds(expected);
        const auto &hints = request.prefixHints;
        if (std::find(hints.begin(), hints.end(), id) != hints.end())
            cost -= prefixHintSeconds;
        if (hasReplicaIn(ledger, request.target, upstream.dataCentre))
            cost += spreadSeconds;
        cost += upstreamLoadSeconds * condition->second.load;
        // Fetching a checkpoint to an upstream with many cached ones evicts one from its cache.
        if (location == CheckpointLocation::Remote)
            cost += cacheEvictionSeconds * static_cast<double>(condition->second.cached.size());
        const double fullness = 1.0
                                - static_cast<double>(freeMemory.count)
                                          / static_cast<double>(upstream.memory.count + 1);
        cost += fullnessSeconds * fullness;
        for (const Victim &victim : *chosen)
            cost += victimSeconds + victim.reuseProbability;
        if (!best || cost < bestCost) {
            bestCost = cost;
            best = PlacementChoice{id, location, expected, std::move(*chosen)};
        }
    }
    return best;
}

} // namespace bamboochute::decision
