#include "decision/pool_state.hpp"

#include "core/invariant.hpp"
#include "core/log.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// Pause before a refused load of a target is tried again at the same upstream.
constexpr Duration refusedLoadPause = 5s;
/// Pause before a distrusted upstream is asked for its inventory again.
constexpr Duration inventoryPause = 30s;
/// Pause before an upstream is asked whether a load ended that may not be ordered again.
constexpr Duration beyondBoundPause = 2s;
constexpr std::size_t maxUnresolvedOrders = 1024;

} // namespace

OrderId PoolController::State::nextOrderId(const UpstreamId &upstream)
{
    return OrderId{this->settings.self, this->runtimeOf(upstream).wireFence, ++this->orderCount};
}

void PoolController::State::orderLoad(const UpstreamId &upstream, const Target &target,
                                      CheckpointLocation place)
{
    Order order{this->nextOrderId(upstream), upstream, OrderKind::Load, target};
    order.mayFetch = place == CheckpointLocation::Remote;
    this->ledger.decideLoad(upstream, target, order.id);
    this->count("loads_ordered");
    this->wait(std::move(order), place);
}

void PoolController::State::orderLoadAgain(const UpstreamId &upstream, const Target &target)
{
    const Order order{this->nextOrderId(upstream), upstream, OrderKind::Load, target};
    this->ledger.repeatLoad(upstream, target, order.id);
    this->count("loads_repeated");
    this->wait(order, CheckpointLocation::Remote);
}

void PoolController::State::orderUnload(const UpstreamId &upstream, const Target &target)
{
    const Order order{this->nextOrderId(upstream), upstream, OrderKind::Unload, target};
    this->ledger.decideUnload(upstream, target, order.id);
    this->count("unloads_ordered");
    this->wait(order, CheckpointLocation::Remote);
}

void PoolController::State::wait(Order order, CheckpointLocation place)
{
    const std::uint64_t version = this->touch(order.upstream, true);
    this->waiting.push_back(WaitingOrder{std::move(order), version, place});
}

void PoolController::State::withdrawWaiting(const UpstreamId &upstream)
{
    std::erase_if(this->waiting, [&](const WaitingOrder &each) {
        if (each.order.upstream != upstream)
            return false;
        this->ledger.withdraw(upstream, each.order.id);
        this->touch(upstream, false);
        return true;
    });
}

void PoolController::State::withdrawUnfenced()
{
    std::erase_if(this->waiting, [&](const WaitingOrder &each) {
        const bool isLoad = each.order.kind == OrderKind::Load;
        if (!isLoad || this->keepsFence(each.order.upstream))
            return false;
        this->ledger.withdraw(each.order.upstream, each.order.id);
        this->touch(each.order.upstream, false);
        this->count("loads_withdrawn_unrecorded");
        return true;
    });
}

void PoolController::State::sendReady()
{
    const bool isSlow = this->writer.isServiceSlow(this->now);
    if (isSlow)
        this->withdrawUnfenced();
    std::erase_if(this->waiting, [&](WaitingOrder &each) {
        const UpstreamId &upstream = each.order.upstream;
        const bool isRecorded = this->writer.isRecorded(upstream, each.version);
        const bool mayGoAhead = isSlow && this->keepsFence(upstream);
        if (!isRecorded && !mayGoAhead)
            return false;
        this->count(isRecorded ? "orders_recorded" : "orders_journaled");
        this->inFlight[each.order.id] = SentOrder{each.order, this->now, each.place};
        this->actions.push_back(SendOrder{std::move(each.order)});
        return true;
    });
}

void PoolController::State::wantInventory(const UpstreamId &upstream, Duration pause)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.inquiry = Inquiry::Wanted;
    runtime.inquiryNotBefore = this->now + pause;
    this->withdrawWaiting(upstream);
}

void PoolController::State::askInventories()
{
    if (!this->isDeciding())
        return;
    for (auto &[id, runtime] : this->runtime) {
        const bool isDue = runtime.inquiry == Inquiry::Wanted && !runtime.isGone
                           && this->now >= runtime.inquiryNotBefore
                           && this->ledger.view()->upstreams.contains(id);
        // Without a fence, an answer that crosses the inventory could make it wrong.
        if (!isDue || (!this->keepsFence(id) && this->hasInFlight(id)))
            continue;
        const bool isUsed = runtime.wireFence <= this->ledger.record(id).fence;
        if (isUsed)
            runtime.wireFence = std::max(runtime.wireFence, this->ledger.record(id).fence).next();
        BC_INVARIANT(runtime.wireFence.value() < this->ownership.fence().value() + fenceStride,
                     "an upstream's fencing number leaves its owner's range");
        runtime.inquiry = Inquiry::Sent;
        const Order order{this->nextOrderId(id), id, OrderKind::RaiseFence, {}};
        this->inFlight[order.id] = SentOrder{order, this->now, CheckpointLocation::Remote};
        this->actions.push_back(SendOrder{order});
        this->count("inventories_asked");
    }
}

void PoolController::State::orderFinished(const OrderFinished &event)
{
    auto node = this->inFlight.extract(event.id);
    if (node.empty()) {
        this->count("orders_unknown");
        return;
    }
    const SentOrder sent = std::move(node.mapped());
    const bool isLoadOrUnload = sent.order.kind != OrderKind::RaiseFence;
    if (event.outcome == OrderOutcome::Unconfirmed && isLoadOrUnload)
        this->orderUnconfirmed(sent);
    if (!this->ownership.isOwner()) {
        if (event.outcome != OrderOutcome::Unconfirmed)
            this->tellGaveUp();
        return;
    }
    switch (sent.order.kind) {
    case OrderKind::Load:
        this->loadFinished(sent, event.outcome);
        break;
    case OrderKind::Unload:
        this->unloadFinished(sent, event.outcome);
        break;
    case OrderKind::RaiseFence:
        this->inventoryFinished(sent, event);
        break;
    case OrderKind::ChangeRole:
        break;
    }
    if (event.outcome == OrderOutcome::StaleFence)
        this->orderStale(sent);
    this->askInventories();
    this->decideUnloads();
    this->decideLoads();
}

void PoolController::State::loadFinished(const SentOrder &sent, OrderOutcome outcome)
{
    const UpstreamId &upstream = sent.order.upstream;
    const Target &target = sent.order.target;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    switch (outcome) {
    case OrderOutcome::Done: {
        this->count("loads_done");
        this->learn(sent);
        this->ledger.confirmLoad(upstream, sent.order.id);
        ReplicaState &replica = runtime.replicas[target];
        replica.loadedAt = this->now;
        replica.lastUsed = std::max(replica.lastUsed, this->now);
        break;
    }
    case OrderOutcome::StaleFence:
    case OrderOutcome::Refused:
        this->count("loads_refused");
        this->ledger.withdraw(upstream, sent.order.id);
        runtime.loadNotBefore[target] = this->now + refusedLoadPause;
        // The checkpoint may not be at hand any more.
        if (!sent.order.mayFetch)
            runtime.condition.cached.erase(target);
        if (this->ledger.find(upstream, target) != nullptr && runtime.inquiry == Inquiry::None)
            this->wantInventory(upstream, this->settings.policy.retryPause);
        break;
    case OrderOutcome::Unconfirmed:
        break;
    }
    this->touch(upstream, false);
}

void PoolController::State::unloadFinished(const SentOrder &sent, OrderOutcome outcome)
{
    const UpstreamId &upstream = sent.order.upstream;
    const Target &target = sent.order.target;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    switch (outcome) {
    case OrderOutcome::Done:
        this->count("unloads_done");
        this->ledger.confirmUnload(upstream, sent.order.id);
        if (this->ledger.find(upstream, target) == nullptr)
            runtime.replicas.erase(target);
        break;
    case OrderOutcome::StaleFence:
    case OrderOutcome::Refused:
        this->count("unloads_refused");
        this->ledger.withdraw(upstream, sent.order.id);
        if (runtime.inquiry == Inquiry::None)
            this->wantInventory(upstream, this->settings.policy.retryPause);
        break;
    case OrderOutcome::Unconfirmed:
        break;
    }
    this->touch(upstream, false);
}

void PoolController::State::orderUnconfirmed(const SentOrder &sent)
{
    this->count("orders_unconfirmed");
    const UpstreamId &upstream = sent.order.upstream;
    if (this->unresolvedOrders.size() < maxUnresolvedOrders)
        this->unresolvedOrders[sent.order.id] = upstream;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    if (!this->ownership.isOwner())
        return;
    if (runtime.isGone) {
        // The process that it went to is gone with its connection.
        this->unresolvedOrders.erase(sent.order.id);
        std::vector<OrderId> open;
        for (const auto &[id, each] : this->inFlight)
            open.push_back(id);
        this->ledger.forgetContents(upstream, this->settings.self, open);
        return;
    }
    runtime.replicas[sent.order.target].retryNotBefore
            = this->now + this->settings.policy.retryPause;
    if (this->keepsFence(upstream)) {
        this->wantInventory(upstream, this->settings.policy.retryPause);
        return;
    }
    // One outstanding order of a kind stands for all of them.
    for (const OutstandingOrder &each : this->ledger.record(upstream).orders) {
        const bool isSame = each.id.sender == this->settings.self && each.id != sent.order.id
                            && each.kind == sent.order.kind && each.target == sent.order.target;
        if (!isSame || this->inFlight.contains(each.id))
            continue;
        this->ledger.withdraw(upstream, sent.order.id);
        break;
    }
}

void PoolController::State::orderStale(const SentOrder &sent)
{
    this->count("orders_stale");
    if (sent.order.id.fence < this->ledger.record(sent.order.upstream).fence)
        return;
    this->ownership.verify();
    if (this->runtimeOf(sent.order.upstream).inquiry == Inquiry::None)
        this->wantInventory(sent.order.upstream, this->settings.policy.retryPause);
}

void PoolController::State::inventoryFinished(const SentOrder &sent, const OrderFinished &event)
{
    const UpstreamId &upstream = sent.order.upstream;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    if (runtime.inquiry != Inquiry::Sent || sent.order.id.fence != runtime.wireFence) {
        this->count("inventories_outdated");
        return;
    }
    if (event.outcome != OrderOutcome::Done || !event.inventory) {
        this->count("inventories_failed");
        runtime.inquiry = Inquiry::Wanted;
        runtime.inquiryNotBefore = this->now + this->settings.policy.retryPause;
        // The number counts as used: the next question raises it again.
        this->ledger.raiseFence(upstream, runtime.wireFence);
        return;
    }
    this->ledger.raiseFence(upstream, runtime.wireFence);
    const InventoryFindings findings
            = this->ledger.takeInventory(upstream, runtime.wireFence, *event.inventory);
    runtime.inquiry = Inquiry::None;
    runtime.inventoryAt = this->now;
    this->count("inventories_taken");
    this->count("inventory_unknown_targets", findings.unknownTargets);
    this->count("inventory_unrecorded_targets", findings.unrecordedTargets);
    this->count("inventory_missing_targets", findings.missingTargets);
    const bool isSuspicious = findings.unknownTargets > 0 || findings.exceedsCapacity;
    if (isSuspicious && !this->ledger.isDistrusted(upstream))
        logEvent(LogLevel::Warning, "upstream distrusted",
                 {{"upstream", upstream.value()},
                  {"unknown_targets", std::to_string(findings.unknownTargets)}});
    this->ledger.setDistrusted(upstream, isSuspicious);
    if (isSuspicious)
        this->wantInventory(upstream, inventoryPause);
    if (this->keepsFence(upstream)) {
        std::erase_if(this->unresolvedOrders, [&](const auto &each) {
            return each.second == upstream && each.first.fence < runtime.wireFence;
        });
    }
    std::erase_if(runtime.replicas, [&](const auto &each) {
        return this->ledger.find(upstream, each.first) == nullptr;
    });
    for (const Placement &placement : this->ledger.record(upstream).placements) {
        ReplicaState &replica = runtime.replicas[placement.target];
        if (replica.loadedAt == TimePoint())
            replica.loadedAt = this->now;
        replica.lastUsed = std::max(replica.lastUsed, replica.loadedAt);
    }
    this->touch(upstream, false);
    this->repair();
}

bool PoolController::State::isActive(const UpstreamId &upstream, const Target &target) const
{
    const auto concerns = [&](const Order &order) {
        return order.upstream == upstream && order.target == target
               && order.kind != OrderKind::RaiseFence;
    };
    return std::any_of(this->waiting.begin(), this->waiting.end(),
                       [&](const WaitingOrder &each) { return concerns(each.order); })
           || std::any_of(this->inFlight.begin(), this->inFlight.end(),
                          [&](const auto &each) { return concerns(each.second.order); });
}

bool PoolController::State::hasInFlight(const UpstreamId &upstream) const
{
    return std::any_of(this->inFlight.begin(), this->inFlight.end(), [&](const auto &each) {
        return each.second.order.upstream == upstream
               && each.second.order.kind != OrderKind::RaiseFence;
    });
}

bool PoolController::State::keepsFence(const UpstreamId &upstream) const
{
    const auto found = this->ledger.view()->upstreams.find(upstream);
    return found != this->ledger.view()->upstreams.end()
           && found->second.fencing == Fencing::Refuses;
}

void PoolController::State::repair()
{
    if (!this->isDeciding())
        return;
    for (const auto &[id, record] : this->ledger.records()) {
        const UpstreamRuntime &runtime = this->runtimeOf(id);
        if (runtime.isGone || runtime.inquiry != Inquiry::None || record.isUnaccounted)
            continue;
        const std::vector<Placement> placements = record.placements;
        for (const Placement &placement : placements) {
            if (placement.state != PlacementState::Loaded && !this->isActive(id, placement.target))
                this->repairPlacement(id, placement);
        }
    }
}

void PoolController::State::repairPlacement(const UpstreamId &upstream, const Placement &placement)
{
    const Target &target = placement.target;
    ReplicaState &replica = this->runtimeOf(upstream).replicas[target];
    if (this->now < replica.retryNotBefore)
        return;
    replica.retryNotBefore = this->now + this->settings.policy.retryPause;
    const bool isUnwanted
            = this->runtimeOf(upstream).isLeaving || this->isSurplus(upstream, target);
    if (placement.state == PlacementState::Unloading || isUnwanted) {
        this->orderUnload(upstream, target);
        return;
    }
    const bool isBeyondBound
            = this->ledger.replicas(target) > this->ledger.view()->targets.at(target).maxReplicas;
    if (isBeyondBound) {
        // It may be loading already; another order could begin one load too many.
        if (this->now - this->runtimeOf(upstream).inventoryAt >= beyondBoundPause)
            this->wantInventory(upstream, Duration{});
        return;
    }
    const Target base{target.model, {}};
    const Placement *basePlacement = this->ledger.find(upstream, base);
    const bool isBaseMissing
            = !target.adapter.isEmpty()
              && (basePlacement == nullptr || basePlacement->state != PlacementState::Loaded);
    if (isBaseMissing) {
        if (basePlacement == nullptr || basePlacement->state == PlacementState::Unloading)
            this->orderUnload(upstream, target);
        return;
    }
    const auto kind = target.adapter.isEmpty() ? store::LoadKind::Model : store::LoadKind::Adapter;
    const std::uint32_t others = this->inTransit(kind) - 1;
    if (!this->pacer.mayStart(kind, others, this->now)) {
        replica.retryNotBefore = this->now;
        return;
    }
    this->pacer.start(kind, others, this->now);
    this->orderLoadAgain(upstream, target);
}

} // namespace bamboochute::decision
