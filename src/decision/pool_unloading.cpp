#include "decision/pool_state.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

constexpr Duration unloadScanInterval = 1s;
/// Time after a takeover by which all instances have reported what runs where; nothing is unloaded
/// before.
constexpr Duration usageSettleTime = 5s;
/// Window for the probability that an evicted target is used again.
constexpr Duration reuseWindow = 300s;
/// How long a retired version of a model stays loaded while its successor is not.
constexpr Duration maxSuccessorWait = 120s;

} // namespace

void PoolController::State::decideUnloads()
{
    if (!this->isDeciding())
        return;
    if (this->now - this->ownedSince < usageSettleTime)
        return;
    for (const auto &[id, record] : this->ledger.records())
        this->finishDrains(id);
    if (this->now < this->nextUnloadScan)
        return;
    this->nextUnloadScan = this->now + unloadScanInterval;
    for (const auto &[id, record] : this->ledger.records()) {
        const std::vector<Placement> placements = record.placements;
        for (const Placement &placement : placements) {
            if (placement.state == PlacementState::Loaded)
                this->drainIfUnneeded(id, placement);
        }
    }
}

void PoolController::State::drainIfUnneeded(const UpstreamId &upstream, const Placement &placement)
{
    const Target &target = placement.target;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    ReplicaState &replica = runtime.replicas[target];
    if (replica.drainingSince || runtime.isGone)
        return;
    if (runtime.isLeaving) {
        this->startDrain(upstream, target, true);
        return;
    }
    if (this->isRetired(target)) {
        if (!this->awaitsSuccessor(placement))
            this->startDrain(upstream, target, true);
        return;
    }
    const TargetSpec &spec = this->ledger.view()->targets.at(target);
    const std::uint32_t replicas = this->ledger.replicas(target);
    if (this->isSurplus(upstream, target)) {
        this->startDrain(upstream, target, true);
        return;
    }
    const auto preload = this->preloadKeptUntil.find(target);
    const bool isPreloadKept
            = preload != this->preloadKeptUntil.end() && this->now < preload->second;
    const bool isKept = replicas <= spec.minReplicas || isPreloadKept
                        || this->settings.policy.keepAlive == KeepAlive::UntilEvicted;
    if (isKept || !this->mayUnload(upstream, placement))
        return;
    const Duration idle = this->now - std::max(replica.lastUsed, replica.loadedAt);
    Duration keepTime = this->settings.policy.fixedKeepAlive;
    if (this->settings.policy.keepAlive == KeepAlive::Predicted) {
        const LoadTimes times = this->loadTimesOf(target);
        const auto location = checkpointLocationOf(runtime.condition, target);
        const double coldStart = toSeconds(times.timeFrom(location));
        keepTime = this->predictor.keepAliveTime(
                target, this->acceleratorShare(upstream, placement.memory),
                coldStart * this->ledger.view()->idleSecondsPerColdStartSecond);
    }
    if (idle < keepTime)
        return;
    this->incrementCounter("keep_alive_ended");
    this->startDrain(upstream, target, false);
}

bool PoolController::State::mayUnload(const UpstreamId &upstream, const Placement &placement) const
{
    const Target &target = placement.target;
    if (placement.state != PlacementState::Loaded
        || this->countRunningRequests(upstream, target) > 0
        || this->demand.demandFor(target).waiting > 0 || this->hasActiveOrder(upstream, target)
        || this->ledger.isOutstanding(upstream, target))
        return false;
    if (!target.adapter.isEmpty())
        return true;
    for (const Placement &other : this->ledger.record(upstream).placements) {
        const bool isAdapterOfModel
                = other.target.model == target.model && !other.target.adapter.isEmpty();
        if (isAdapterOfModel && !this->mayUnload(upstream, other))
            return false;
    }
    return true;
}

bool PoolController::State::isRetired(const Target &target) const
{
    return !this->ledger.view()->targets.contains(target);
}

bool PoolController::State::isSurplus(const UpstreamId &upstream, const Target &target) const
{
    const auto spec = this->ledger.view()->targets.find(target);
    if (spec == this->ledger.view()->targets.end())
        return true;
    // Replicas beyond the bound are surplus: first those being unloaded, then those that depend on
    // an order of another process, then those that this process is loading, and loaded ones last.
    std::vector<std::pair<int, UpstreamId>> ranked;
    for (const auto &[id, record] : this->ledger.records()) {
        const Placement *placement = this->ledger.find(id, target);
        if (placement == nullptr)
            continue;
        const bool isOrderedByOther
                = std::any_of(record.orders.begin(), record.orders.end(), [&](const auto &each) {
                      return each.target == target && each.id.sender != this->settings.self;
                  });
        const int rank = placement->state == PlacementState::Unloading ? 3
                         : placement->state == PlacementState::Loaded  ? 0
                         : isOrderedByOther                            ? 2
                                                                       : 1;
        ranked.emplace_back(rank, id);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto found = std::find_if(ranked.begin(), ranked.end(),
                                    [&](const auto &each) { return each.second == upstream; });
    return found - ranked.begin() >= static_cast<std::ptrdiff_t>(spec->second.maxReplicas);
}

bool PoolController::State::awaitsSuccessor(const Placement &placement)
{
    const ModelId &model = placement.target.model;
    const auto [since, isNew] = this->retiredAt.try_emplace(placement.target, this->now);
    if (this->now - since->second > maxSuccessorWait)
        return false;
    for (const auto &[target, spec] : this->ledger.view()->targets) {
        const bool isSuccessor = target.adapter.isEmpty()
                                 && unversionedName(target.model) == unversionedName(model);
        if (!isSuccessor)
            continue;
        for (const auto &[id, runtime] : this->runtime) {
            const auto served = this->servableTargets(id);
            if (std::binary_search(served.begin(), served.end(), target))
                return false;
        }
        if (this->ledger.replicas(target) == 0)
            this->placeTarget(WaitingDemand{target, 0, TimePoint::max(), 1, this->now, {}}, true);
        return true;
    }
    return false;
}

void PoolController::State::startDrain(const UpstreamId &upstream, const Target &target,
                                       bool isDrainFinal)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    const Placement *placement = this->ledger.find(upstream, target);
    if (placement == nullptr || placement->state != PlacementState::Loaded)
        return;
    ReplicaState &replica = runtime.replicas[target];
    replica.isDrainFinal = replica.isDrainFinal || isDrainFinal;
    if (!replica.drainingSince)
        replica.drainingSince = this->now;
    runtime.isPublishDue = true;
    if (!target.adapter.isEmpty())
        return;
    for (const Placement &other : this->ledger.record(upstream).placements) {
        if (other.target.model == target.model && !other.target.adapter.isEmpty())
            this->startDrain(upstream, other.target, isDrainFinal);
    }
}

void PoolController::State::finishDrains(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    if (runtime.isGone || runtime.inventoryRequest != InventoryRequest::None)
        return;
    const std::vector<Placement> placements = this->ledger.record(upstream).placements;
    for (const Placement &placement : placements) {
        const Target &target = placement.target;
        ReplicaState &replica = runtime.replicas[target];
        const bool isDue = placement.state == PlacementState::Loaded && replica.drainingSince
                           && this->now - *replica.drainingSince >= this->settings.policy.drainDelay
                           && this->countRunningRequests(upstream, target) == 0
                           && !this->hasActiveOrder(upstream, target);
        const bool hasAdapters
                = target.adapter.isEmpty()
                  && std::any_of(placements.begin(), placements.end(), [&](const Placement &each) {
                         return each.target.model == target.model && !each.target.adapter.isEmpty()
                                && this->ledger.find(upstream, each.target) != nullptr;
                     });
        if (isDue && !hasAdapters)
            this->orderUnload(upstream, target);
        else if (isDue)
            this->startDrain(upstream, target, replica.isDrainFinal);
    }
}

std::vector<Victim> PoolController::State::findVictims() const
{
    std::vector<Victim> all;
    for (const auto &[id, record] : this->ledger.records()) {
        const auto runtime = this->runtime.find(id);
        if (runtime == this->runtime.end())
            continue;
        for (const Placement &placement : record.placements) {
            const auto replica = runtime->second.replicas.find(placement.target);
            if (replica == runtime->second.replicas.end() || replica->second.drainingSince
                || !this->mayUnload(id, placement))
                continue;
            const TimePoint lastUse = std::max(replica->second.lastUsed, replica->second.loadedAt);
            const auto spec = this->ledger.view()->targets.find(placement.target);
            const bool isNeeded
                    = spec != this->ledger.view()->targets.end()
                      && this->ledger.replicas(placement.target) <= spec->second.minReplicas;
            const Duration since = this->now - replica->second.loadedAt;
            if (isNeeded || since < this->settings.policy.minResidency)
                continue;
            Victim victim{id, placement.target, placement.memory, 0.0};
            for (const Placement &other : record.placements) {
                const bool isAdapterOfModel = placement.target.adapter.isEmpty()
                                              && other.target.model == placement.target.model
                                              && !other.target.adapter.isEmpty();
                if (isAdapterOfModel)
                    victim.memory = victim.memory + other.memory;
            }
            victim.reuseProbability = this->predictor.useProbability(
                    placement.target, this->now - lastUse, reuseWindow);
            all.push_back(std::move(victim));
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Victim &left, const Victim &right) {
        return left.reuseProbability < right.reuseProbability;
    });
    return all;
}

double PoolController::State::acceleratorShare(const UpstreamId &upstream, Bytes memory) const
{
    const auto found = this->ledger.view()->upstreams.find(upstream);
    if (found == this->ledger.view()->upstreams.end() || found->second.memory.count == 0)
        return 0.0;
    return static_cast<double>(found->second.accelerators) * static_cast<double>(memory.count)
           / static_cast<double>(found->second.memory.count);
}

std::uint32_t PoolController::State::countRunningRequests(const UpstreamId &upstream,
                                                          const Target &target) const
{
    const auto runtime = this->runtime.find(upstream);
    if (runtime == this->runtime.end())
        return 0;
    const auto replica = runtime->second.replicas.find(target);
    if (replica == runtime->second.replicas.end())
        return 0;
    std::uint32_t sum = 0;
    for (const auto &[instance, count] : replica->second.running)
        sum += count;
    return sum;
}

} // namespace bamboochute::decision
