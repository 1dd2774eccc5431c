#include "decision/pool_state.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// Room that victims make is kept for their evictor this long.
constexpr Duration reservationTime = 30s;
/// Refusals for one target are at least this far apart.
constexpr Duration refusalInterval = 100ms;
/// Without the key-value service for this long, what can't be loaded without it is refused.
constexpr Duration outagePatience = 3s;
/// A refusal for want of room comes at least this long before the deadline.
constexpr Duration leastNotice = 1s;
/// A target loaded ahead stays at least this long.
constexpr Duration aheadResidency = 60s;
/// Share of the expected load time below which a refusal is certain enough.
constexpr double hopelessShare = 0.8;
/// Reported load at which a further replica is loaded, if the bound allows.
constexpr double scaleOutLoad = 1.0;
/// Weight of a new load time in the average.
constexpr double learningRate = 0.3;
constexpr Duration assumedMemoryLoad = 1s;
constexpr Duration assumedDiskLoad = 3s;
constexpr Duration assumedAdapterLoad = 20ms;

store::LoadKind kindOf(const Target &target)
{
    return target.adapter.isEmpty() ? store::LoadKind::Model : store::LoadKind::Adapter;
}

Duration blend(Duration old, Duration seen)
{
    const double blended = toSeconds(old) * (1 - learningRate) + toSeconds(seen) * learningRate;
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
    for (const WaitingDemand &demand : this->demand.inOrder(this->now))
        this->meet(demand);
}

void PoolController::State::meet(const WaitingDemand &demand)
{
    if (!this->ledger.view()->targets.contains(demand.target)) {
        this->count("demand_unknown_target");
        this->demand.refused(demand.target, TimePoint::max());
        this->actions.push_back(
                RefuseDemand{this->settings.pool, demand.target,
                             Error(ErrorKind::UnknownModel,
                                   fmt::format("model \"{}\" is not in the configuration",
                                               demand.target.model.value())),
                             TimePoint::max()});
        return;
    }
    if (!demand.target.adapter.isEmpty()) {
        this->meetBase(demand);
        if (this->isBlockedByOutage(Target{demand.target.model, {}})) {
            this->refuseInOutage(demand);
            return;
        }
    }
    if (!this->isMet(demand))
        this->place(demand, true);
}

bool PoolController::State::isMet(const WaitingDemand &demand)
{
    const Target &target = demand.target;
    bool isPlaced = false;
    bool isCrowded = true;
    for (auto &[id, runtime] : this->runtime) {
        const Placement *placement = this->ledger.find(id, target);
        if (placement == nullptr || runtime.isGone)
            continue;
        isPlaced = true;
        ReplicaState &replica = runtime.replicas[target];
        const bool mayCallOff = placement->state == PlacementState::Loaded && replica.drainingSince
                                && !replica.isEvicted && !runtime.isLeaving;
        if (mayCallOff) {
            replica.drainingSince.reset();
            replica.lastUsed = this->now;
            runtime.isPublishDue = true;
            this->count("drains_called_off");
        }
        const bool isOnItsWayOut
                = placement->state == PlacementState::Unloading || replica.drainingSince;
        if (isOnItsWayOut)
            this->refuseWhileUnloading(demand, id);
        if (placement->state == PlacementState::Loading) {
            isCrowded = false;
            for (const auto &[order, sent] : this->inFlight) {
                const bool isIts = sent.order.upstream == id && sent.order.target == target
                                   && sent.order.kind == OrderKind::Load;
                if (!isIts)
                    continue;
                const Duration expected = this->loadTimesOf(target).of(sent.place);
                this->refuseHopeless(demand, sent.at + expected);
            }
        }
        isCrowded = isCrowded && runtime.condition.load >= scaleOutLoad;
    }
    if (!isPlaced)
        return false;
    const TargetSpec &spec = this->ledger.view()->targets.at(target);
    return !isCrowded || this->ledger.replicas(target) >= spec.maxReplicas;
}

void PoolController::State::meetBase(const WaitingDemand &demand)
{
    WaitingDemand base = demand;
    base.target.adapter = {};
    if (!this->isMet(base))
        this->place(base, true);
}

bool PoolController::State::placeReserved(const WaitingDemand &demand)
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
    const auto place = placeOf(this->runtimeOf(upstream).condition, demand.target);
    if (this->startLoad(demand, upstream, place))
        this->reservations.erase(demand.target);
    return true;
}

void PoolController::State::place(const WaitingDemand &demand, bool mayEvict)
{
    if (this->placeReserved(demand))
        return;
    const PlacementQuestion question{demand.target, demand.prefixHints,
                                     this->loadTimesOf(demand.target),
                                     this->writer.isServiceSlow(this->now)};
    auto conditions = this->conditions();
    for (auto &[id, condition] : conditions) {
        const auto &pauses = this->runtimeOf(id).loadNotBefore;
        const auto pause = pauses.find(demand.target);
        if (pause != pauses.end() && this->now < pause->second)
            condition.isClosed = true;
    }
    auto choice = choosePlacement(question, this->ledger, conditions, {});
    if (!choice && mayEvict)
        choice = choosePlacement(question, this->ledger, conditions, this->victims());
    if (!choice) {
        this->count("loads_without_room");
        if (this->isBlockedByOutage(demand.target))
            this->refuseInOutage(demand);
        else
            this->refuseHopeless(demand, this->now + std::max(question.times.remote, leastNotice));
        return;
    }
    if (choice->victims.empty()) {
        this->startLoad(demand, choice->upstream, choice->place);
        return;
    }
    Bytes freed;
    for (const Victim &victim : choice->victims) {
        this->count("evictions");
        freed = freed + victim.memory;
        this->startDrain(victim.upstream, victim.target, true);
    }
    const Bytes memory = this->ledger.view()->targets.at(demand.target).memory;
    this->reservations[demand.target]
            = Reservation{choice->upstream, memory, this->now + reservationTime};
}

bool PoolController::State::startLoad(const WaitingDemand &demand, const UpstreamId &upstream,
                                      CheckpointLocation place)
{
    const store::LoadKind kind = kindOf(demand.target);
    const Duration expected = this->loadTimesOf(demand.target).of(place);
    if (place == CheckpointLocation::Remote) {
        const std::uint32_t running = this->inTransit(kind);
        if (!this->pacer.mayStart(kind, running, this->now)) {
            const TimePoint start = this->pacer.estimateStart(this->waitingModelLoads, running,
                                                              expected, this->now);
            this->waitingModelLoads += kind == store::LoadKind::Model ? 1 : 0;
            this->count("loads_paced");
            this->refuseHopeless(demand, start + expected);
            return false;
        }
        const TimePoint readyAt = this->now + expected;
        if (demand.waiting > 0 && demand.earliestDeadline < readyAt)
            this->refuseHopeless(demand, readyAt);
        this->pacer.start(kind, running, this->now);
    }
    this->orderLoad(upstream, demand.target, place);
    return true;
}

bool PoolController::State::isBlockedByOutage(const Target &target) const
{
    if (this->writer.silence(this->now) <= outagePatience)
        return false;
    for (const auto &[id, runtime] : this->runtime) {
        if (this->ledger.find(id, target) != nullptr)
            return false;
    }
    PlacementQuestion question{target, {}, this->loadTimesOf(target), true};
    const auto conditions = this->conditions();
    const auto victims = this->victims();
    const auto fenced = choosePlacement(question, this->ledger, conditions, victims);
    question.isFencingRequired = false;
    return !fenced && choosePlacement(question, this->ledger, conditions, victims);
}

void PoolController::State::refuseWhileUnloading(const WaitingDemand &demand,
                                                 const UpstreamId &upstream)
{
    const bool isStuck
            = this->writer.silence(this->now) > outagePatience && !this->keepsFence(upstream);
    const Duration again = std::max(this->loadTimesOf(demand.target).remote, leastNotice);
    if (isStuck)
        this->refuseInOutage(demand);
    else
        this->refuseHopeless(demand, this->now + again);
}

void PoolController::State::refuseInOutage(const WaitingDemand &demand)
{
    if (demand.waiting == 0)
        return;
    this->count("refusals_in_outage");
    this->demand.refused(demand.target, TimePoint::max());
    this->actions.push_back(RefuseDemand{
            this->settings.pool, demand.target,
            Error(ErrorKind::ColdStartUnavailable,
                  fmt::format("model \"{}\" can't be loaded while the key-value service is out",
                              demand.target.model.value())),
            TimePoint::max()});
}

void PoolController::State::refuseHopeless(const WaitingDemand &demand, TimePoint readyAt)
{
    const auto wait = std::chrono::duration_cast<Duration>((readyAt - this->now) * hopelessShare);
    const TimePoint soonest = this->now + wait;
    if (demand.waiting == 0 || demand.earliestDeadline >= soonest)
        return;
    TimePoint &last = this->refusedAt[demand.target];
    if (last != TimePoint() && this->now - last < refusalInterval)
        return;
    last = this->now;
    this->count("refusals");
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(readyAt - this->now);
    this->demand.refused(demand.target, soonest);
    this->actions.push_back(
            RefuseDemand{this->settings.pool, demand.target,
                         Error(ErrorKind::DeadlineUnreachable,
                               fmt::format("model \"{}\" can be loaded in {} s",
                                           demand.target.model.value(), seconds.count()))
                                 .withRetryAfter(std::max(seconds, std::chrono::seconds(1))),
                         soonest});
}

void PoolController::State::loadAhead(const Target &used)
{
    if (!this->settings.policy.isPreloadEnabled)
        return;
    const auto &targets = this->ledger.view()->targets;
    const auto spec = targets.find(used);
    std::optional<Target> next = this->predictor.follower(used);
    if (spec != targets.end() && !spec->second.followedBy.isEmpty())
        next = Target{spec->second.followedBy, {}};
    if (!next || !targets.contains(*next) || this->ledger.replicas(*next) > 0)
        return;
    this->aheadUntil[*next] = this->now + aheadResidency;
    this->count("loads_ahead");
    this->place(WaitingDemand{*next, 0, TimePoint::max(), 1, this->now, {}}, false);
}

void PoolController::State::loadMinimum()
{
    if (!this->isDeciding())
        return;
    for (const auto &[target, spec] : this->ledger.view()->targets) {
        if (spec.minReplicas > 0 && this->ledger.replicas(target) < spec.minReplicas)
            this->place(WaitingDemand{target, 0, TimePoint::max(), 1, this->now, {}}, true);
    }
}

std::uint32_t PoolController::State::inTransit(store::LoadKind kind) const
{
    std::uint32_t count = 0;
    for (const auto &[id, record] : this->ledger.records()) {
        for (const Placement &placement : record.placements) {
            if (placement.state == PlacementState::Loading && kindOf(placement.target) == kind)
                ++count;
        }
    }
    std::uint32_t local = 0;
    for (const auto &[id, sent] : this->inFlight) {
        const Placement *placement = this->ledger.find(sent.order.upstream, sent.order.target);
        const bool isLocalLoad = sent.order.kind == OrderKind::Load && !sent.order.mayFetch
                                 && placement != nullptr
                                 && placement->state == PlacementState::Loading;
        if (isLocalLoad && kindOf(sent.order.target) == kind)
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
    const auto apply = [&](const std::map<CheckpointLocation, Duration> &seen) {
        for (const auto &[place, duration] : seen) {
            Duration &known = place == CheckpointLocation::Memory ? times.memory
                              : place == CheckpointLocation::Disk ? times.disk
                                                                  : times.remote;
            known = duration;
        }
    };
    if (!isAdapter)
        apply(this->usualLoadTimes);
    const auto own = this->seenLoadTimes.find(target);
    if (own != this->seenLoadTimes.end())
        apply(own->second);
    return times;
}

std::map<UpstreamId, UpstreamCondition> PoolController::State::conditions() const
{
    std::map<UpstreamId, UpstreamCondition> all;
    for (const auto &[id, runtime] : this->runtime) {
        UpstreamCondition condition = runtime.condition;
        condition.isClosed
                = runtime.isLeaving || runtime.isGone || runtime.inquiry != Inquiry::None;
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

void PoolController::State::learn(const SentOrder &sent)
{
    const Duration took = this->now - sent.at;
    const Target &target = sent.order.target;
    const Duration expected = this->loadTimesOf(target).of(sent.place);
    if (sent.place == CheckpointLocation::Remote)
        this->pacer.finished(kindOf(target), took, expected);
    auto &own = this->seenLoadTimes[target];
    const auto [known, isNew] = own.try_emplace(sent.place, took);
    if (!isNew)
        known->second = blend(known->second, took);
    if (!target.adapter.isEmpty())
        return;
    const auto [usual, isFirst] = this->usualLoadTimes.try_emplace(sent.place, took);
    if (!isFirst)
        usual->second = blend(usual->second, took);
}

} // namespace bamboochute::decision
