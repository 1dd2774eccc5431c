#include "decision/pool_state.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// How long memory freed by evictions stays reserved for the target they were made for.
constexpr Duration reservationDuration = 30s;
/// Minimum interval between refusals for one target.
constexpr Duration refusalInterval = 100ms;
/// Outage of the key-value service after which demand that needs it is refused.
constexpr Duration outageThreshold = 3s;
/// Assumed minimum time until a target without room can be loaded: requests with an earlier
/// deadline are refused.
constexpr Duration minRefusalNotice = 1s;
/// Minimum time that a preloaded target stays loaded.
constexpr Duration preloadResidency = 60s;
/// A request is refused when its deadline comes before this share of the expected load time; after
/// it, the load may still finish in time.
constexpr double unreachableLoadTimeShare = 0.8;
/// Load of all of a target's upstreams at which a further replica is loaded, if the replica bound
/// allows.
constexpr double scaleOutLoad = 1.0;
/// Weight of a new measurement in the smoothed load times.
constexpr double loadTimeSmoothing = 0.3;
/// Load times assumed until one is measured.
constexpr Duration assumedMemoryLoad = 1s;
constexpr Duration assumedDiskLoad = 3s;
constexpr Duration assumedAdapterLoad = 20ms;

store::LoadKind loadKindOf(const Target &target)
{
    return target.adapter.isEmpty() ? store::LoadKind::Model : store::LoadKind::Adapter;
}

Duration smoothLoadTime(Duration old, Duration measured)
{
    const double blended
            = toSeconds(old) * (1 - loadTimeSmoothing) + toSeconds(measured) * loadTimeSmoothing;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(blended));
}

} // namespace

void PoolController::State::decideLoads()
{
    if (!this->isDeciding())
        return;
    this->waitingModelLoads = 0;
    std::erase_if(this->reservations,
                  [&](const auto &each) { return each.second.until < this->now; });
    for (const WaitingDemand &demand : this->demand.byUrgency(this->now))
        this->serveDemand(demand);
}

void PoolController::State::serveDemand(const WaitingDemand &demand)
{
    if (!this->ledger.view()->targets.contains(demand.target)) {
        this->incrementCounter("demand_unknown_target");
        this->demand.removeRefused(demand.target, TimePoint::max());
        this->actions.push_back(
                RefuseDemand{this->settings.pool, demand.target,
                             Error(ErrorKind::UnknownModel,
                                   fmt::format("model \"{}\" is not in the configuration",
                                               demand.target.model.value())),
                             TimePoint::max()});
        return;
    }
    if (!demand.target.adapter.isEmpty()) {
        this->serveBaseDemand(demand);
        if (this->isBlockedByOutage(Target{demand.target.model, {}})) {
            this->refuseInOutage(demand);
            return;
        }
    }
    if (!this->serveFromReplicas(demand))
        this->placeTarget(demand, true);
}

bool PoolController::State::serveFromReplicas(const WaitingDemand &demand)
{
    const Target &target = demand.target;
    bool isPlaced = false;
    bool isOverloaded = true;
    for (auto &[id, runtime] : this->runtime) {
        const Placement *placement = this->ledger.find(id, target);
        if (placement == nullptr || runtime.isGone)
            continue;
        isPlaced = true;
        ReplicaState &replica = runtime.replicas[target];
        const bool mayCancelDrain = placement->state == PlacementState::Loaded
                                    && replica.drainingSince && !replica.isDrainFinal
                                    && !runtime.isLeaving;
        if (mayCancelDrain) {
            replica.drainingSince.reset();
            replica.lastUsed = this->now;
            runtime.isPublishDue = true;
            this->incrementCounter("drains_called_off");
        }
        const bool isBeingUnloaded
                = placement->state == PlacementState::Unloading || replica.drainingSince;
        if (isBeingUnloaded)
            this->refuseWhileUnloading(demand, id);
        if (placement->state == PlacementState::Loading) {
            isOverloaded = false;
            for (const auto &[order, sent] : this->inFlight) {
                const bool isLoadOfTarget = sent.order.upstream == id && sent.order.target == target
                                            && sent.order.kind == OrderKind::Load;
                if (!isLoadOfTarget)
                    continue;
                const Duration expected = this->loadTimesOf(target).timeFrom(sent.location);
                this->refuseUnreachableDeadline(demand, sent.at + expected);
            }
        }
        isOverloaded = isOverloaded && runtime.condition.load >= scaleOutLoad;
    }
    if (!isPlaced)
        return false;
    const TargetSpec &spec = this->ledger.view()->targets.at(target);
    return !isOverloaded || this->ledger.replicas(target) >= spec.maxReplicas;
}

void PoolController::State::serveBaseDemand(const WaitingDemand &demand)
{
    WaitingDemand base = demand;
    base.target.adapter = {};
    if (!this->serveFromReplicas(base))
        this->placeTarget(base, true);
}

bool PoolController::State::placeReservedTarget(const WaitingDemand &demand)
{
    const auto found = this->reservations.find(demand.target);
    if (found == this->reservations.end())
        return false;
    const UpstreamId upstream = found->second.upstream;
    const auto &replicas = this->runtimeOf(upstream).replicas;
    const auto base = replicas.find(Target{demand.target.model, {}});
    const bool isBaseDraining = !demand.target.adapter.isEmpty() && base != replicas.end()
                                && base->second.drainingSince;
    if (isBaseDraining || !this->ledger.canLoad(upstream, demand.target))
        return true;
    const auto location = checkpointLocationOf(this->runtimeOf(upstream).condition, demand.target);
    if (this->startLoad(demand, upstream, location))
        this->reservations.erase(demand.target);
    return true;
}

void PoolController::State::placeTarget(const WaitingDemand &demand, bool mayEvict)
{
    if (this->placeReservedTarget(demand))
        return;
    const PlacementRequest request{demand.target, demand.prefixHints,
                                   this->loadTimesOf(demand.target),
                                   this->writer.isServiceSlow(this->now)};
    auto conditions = this->upstreamConditions();
    for (auto &[id, condition] : conditions) {
        const auto &pauses = this->runtimeOf(id).loadNotBefore;
        const auto pause = pauses.find(demand.target);
        if (pause != pauses.end() && this->now < pause->second)
            condition.isClosedToLoads = true;
    }
    auto choice = choosePlacement(request, this->ledger, conditions, {});
    if (!choice && mayEvict)
        choice = choosePlacement(request, this->ledger, conditions, this->findVictims());
    if (!choice) {
        this->incrementCounter("loads_without_room");
        if (this->isBlockedByOutage(demand.target))
            this->refuseInOutage(demand);
        else
            this->refuseUnreachableDeadline(
                    demand, this->now + std::max(request.times.remote, minRefusalNotice));
        return;
    }
    if (choice->victims.empty()) {
        this->startLoad(demand, choice->upstream, choice->location);
        return;
    }
    Bytes freed;
    for (const Victim &victim : choice->victims) {
        this->incrementCounter("evictions");
        freed = freed + victim.memory;
        this->startDrain(victim.upstream, victim.target, true);
    }
    const Bytes memory = this->ledger.view()->targets.at(demand.target).memory;
    this->reservations[demand.target]
            = Reservation{choice->upstream, memory, this->now + reservationDuration};
}

bool PoolController::State::startLoad(const WaitingDemand &demand, const UpstreamId &upstream,
                                      CheckpointLocation location)
{
    const store::LoadKind kind = loadKindOf(demand.target);
    const Duration expected = this->loadTimesOf(demand.target).timeFrom(location);
    if (location == CheckpointLocation::Remote) {
        const std::uint32_t running = this->countLoadsInTransit(kind);
        if (!this->pacer.mayStart(kind, running, this->now)) {
            const TimePoint start = this->pacer.estimateStart(this->waitingModelLoads, running,
                                                              expected, this->now);
            this->waitingModelLoads += kind == store::LoadKind::Model ? 1 : 0;
            this->incrementCounter("loads_paced");
            this->refuseUnreachableDeadline(demand, start + expected);
            return false;
        }
        const TimePoint readyAt = this->now + expected;
        if (demand.waiting > 0 && demand.earliestDeadline < readyAt)
            this->refuseUnreachableDeadline(demand, readyAt);
        this->pacer.recordStart(kind, running, this->now);
    }
    this->orderLoad(upstream, demand.target, location);
    return true;
}

bool PoolController::State::isBlockedByOutage(const Target &target) const
{
    if (this->writer.unansweredTime(this->now) <= outageThreshold)
        return false;
    for (const auto &[id, runtime] : this->runtime) {
        if (this->ledger.find(id, target) != nullptr)
            return false;
    }
    PlacementRequest request{target, {}, this->loadTimesOf(target), true};
    const auto conditions = this->upstreamConditions();
    const auto victims = this->findVictims();
    const auto fenced = choosePlacement(request, this->ledger, conditions, victims);
    request.isFencingRequired = false;
    return !fenced && choosePlacement(request, this->ledger, conditions, victims);
}

void PoolController::State::refuseWhileUnloading(const WaitingDemand &demand,
                                                 const UpstreamId &upstream)
{
    const bool isBlocked = this->writer.unansweredTime(this->now) > outageThreshold
                           && !this->enforcesFencing(upstream);
    const Duration retryDelay = std::max(this->loadTimesOf(demand.target).remote, minRefusalNotice);
    if (isBlocked)
        this->refuseInOutage(demand);
    else
        this->refuseUnreachableDeadline(demand, this->now + retryDelay);
}

void PoolController::State::refuseInOutage(const WaitingDemand &demand)
{
    if (demand.waiting == 0)
        return;
    this->incrementCounter("refusals_in_outage");
    this->demand.removeRefused(demand.target, TimePoint::max());
    this->actions.push_back(RefuseDemand{
            this->settings.pool, demand.target,
            Error(ErrorKind::ColdStartUnavailable,
                  fmt::format(
                          "model \"{}\" can't be loaded while the key-value service is unavailable",
                          demand.target.model.value())),
            TimePoint::max()});
}

void PoolController::State::refuseUnreachableDeadline(const WaitingDemand &demand,
                                                      TimePoint readyAt)
{
    const auto wait = std::chrono::duration_cast<Duration>((readyAt - this->now)
                                                           * unreachableLoadTimeShare);
    const TimePoint soonest = this->now + wait;
    if (demand.waiting == 0 || demand.earliestDeadline >= soonest)
        return;
    TimePoint &last = this->lastRefusalAt[demand.target];
    if (last != TimePoint() && this->now - last < refusalInterval)
        return;
    last = this->now;
    this->incrementCounter("refusals");
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(readyAt - this->now);
    this->demand.removeRefused(demand.target, soonest);
    this->actions.push_back(RefuseDemand{
            this->settings.pool, demand.target,
            Error(ErrorKind::DeadlineUnreachable,
                  fmt::format("model \"{}\" can't be loaded before the deadline; it will take {} s",
                              demand.target.model.value(), seconds.count()))
                    .withRetryAfter(std::max(seconds, std::chrono::seconds(1))),
            soonest});
}

void PoolController::State::preloadFollower(const Target &usedTarget)
{
    if (!this->settings.policy.isPreloadEnabled)
        return;
    const auto &targets = this->ledger.view()->targets;
    const auto spec = targets.find(usedTarget);
    std::optional<Target> next = this->predictor.likelyFollower(usedTarget);
    if (spec != targets.end() && !spec->second.followedBy.isEmpty())
        next = Target{spec->second.followedBy, {}};
    if (!next || !targets.contains(*next) || this->ledger.replicas(*next) > 0)
        return;
    this->preloadKeptUntil[*next] = this->now + preloadResidency;
    this->incrementCounter("loads_ahead");
    this->placeTarget(WaitingDemand{*next, 0, TimePoint::max(), 1, this->now, {}}, false);
}

void PoolController::State::loadMinReplicas()
{
    if (!this->isDeciding())
        return;
    for (const auto &[target, spec] : this->ledger.view()->targets) {
        if (spec.minReplicas > 0 && this->ledger.replicas(target) < spec.minReplicas)
            this->placeTarget(WaitingDemand{target, 0, TimePoint::max(), 1, this->now, {}}, true);
    }
}

std::uint32_t PoolController::State::countLoadsInTransit(store::LoadKind kind) const
{
    std::uint32_t count = 0;
    for (const auto &[id, record] : this->ledger.records()) {
        for (const Placement &placement : record.placements) {
            if (placement.state == PlacementState::Loading && loadKindOf(placement.target) == kind)
                ++count;
        }
    }
    std::uint32_t local = 0;
    for (const auto &[id, sent] : this->inFlight) {
        const Placement *placement = this->ledger.find(sent.order.upstream, sent.order.target);
        const bool isLocalLoad = sent.order.kind == OrderKind::Load && !sent.order.mayFetch
                                 && placement != nullptr
                                 && placement->state == PlacementState::Loading;
        if (isLocalLoad && loadKindOf(sent.order.target) == kind)
            ++local;
    }
    return count > local ? count - local : 0;
}

LoadTimes PoolController::State::loadTimesOf(const Target &target) const
{
    const bool isAdapter = !target.adapter.isEmpty();
    LoadTimes times{assumedMemoryLoad, assumedDiskLoad, this->settings.policy.assumedLoadTime};
    if (isAdapter)
        times = {assumedAdapterLoad, assumedAdapterLoad, assumedAdapterLoad};
    const auto apply = [&](const std::map<CheckpointLocation, Duration> &measured) {
        for (const auto &[location, duration] : measured) {
            Duration &loadTime = location == CheckpointLocation::Memory ? times.memory
                                 : location == CheckpointLocation::Disk ? times.disk
                                                                        : times.remote;
            loadTime = duration;
        }
    };
    if (!isAdapter)
        apply(this->averageLoadTimes);
    const auto own = this->measuredLoadTimes.find(target);
    if (own != this->measuredLoadTimes.end())
        apply(own->second);
    return times;
}

std::map<UpstreamId, UpstreamCondition> PoolController::State::upstreamConditions() const
{
    std::map<UpstreamId, UpstreamCondition> all;
    for (const auto &[id, runtime] : this->runtime) {
        UpstreamCondition condition = runtime.condition;
        condition.isClosedToLoads = runtime.isLeaving || runtime.isGone
                                    || runtime.inventoryRequest != InventoryRequest::None;
        for (const auto &[target, replica] : runtime.replicas) {
            if (target.adapter.isEmpty() && replica.drainingSince)
                condition.draining.push_back(target.model);
        }
        all.emplace(id, std::move(condition));
    }
    for (const auto &[target, reservation] : this->reservations) {
        Bytes &reserved = all[reservation.upstream].reserved;
        reserved = reserved + reservation.memory;
    }
    return all;
}

void PoolController::State::recordLoadTime(const SentOrder &sent)
{
    const Duration took = this->now - sent.at;
    const Target &target = sent.order.target;
    const Duration expected = this->loadTimesOf(target).timeFrom(sent.location);
    if (sent.location == CheckpointLocation::Remote)
        this->pacer.recordFinish(loadKindOf(target), took, expected);
    auto &own = this->measuredLoadTimes[target];
    const auto [known, isNew] = own.try_emplace(sent.location, took);
    if (!isNew)
        known->second = smoothLoadTime(known->second, took);
    if (!target.adapter.isEmpty())
        return;
    const auto [average, isFirstMeasurement]
            = this->averageLoadTimes.try_emplace(sent.location, took);
    if (!isFirstMeasurement)
        average->second = smoothLoadTime(average->second, took);
}

} // namespace bamboochute::decision
