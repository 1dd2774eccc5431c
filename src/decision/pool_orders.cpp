#include "decision/pool_state.hpp"

#include "core/invariant.hpp"
#include "core/log.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// Pause before a refused load of a target is retried at the same upstream.
constexpr Duration refusedLoadPause = 5s;
/// Interval of the inventory requests to a distrusted upstream.
constexpr Duration distrustedInventoryPause = 30s;
/// Interval of the inventory requests for an unconfirmed load that can't be ordered again because
/// its target has more replicas than allowed.
constexpr Duration excessInventoryPause = 2s;
constexpr std::size_t maxUnresolvedOrders = 1024;

} // namespace

OrderId PoolController::State::nextOrderId(const UpstreamId &upstream)
{
    return OrderId{this->settings.self, this->runtimeOf(upstream).orderFence,
                   ++this->lastOrderNumber};
}

void PoolController::State::orderLoad(const UpstreamId &upstream, const Target &target,
                                      CheckpointLocation location)
{
    Order order{this->nextOrderId(upstream), upstream, OrderKind::Load, target};
    order.mayFetch = location == CheckpointLocation::Remote;
    this->ledger.decideLoad(upstream, target, order.id);
    this->incrementCounter("loads_ordered");
    this->queueOrder(std::move(order), location);
}

void PoolController::State::orderLoadAgain(const UpstreamId &upstream, const Target &target)
{
    const Order order{this->nextOrderId(upstream), upstream, OrderKind::Load, target};
    this->ledger.repeatLoad(upstream, target, order.id);
    this->incrementCounter("loads_repeated");
    this->queueOrder(order, CheckpointLocation::Remote);
}

void PoolController::State::orderUnload(const UpstreamId &upstream, const Target &target)
{
    const Order order{this->nextOrderId(upstream), upstream, OrderKind::Unload, target};
    this->ledger.decideUnload(upstream, target, order.id);
    this->incrementCounter("unloads_ordered");
    this->queueOrder(order, CheckpointLocation::Remote);
}

void PoolController::State::queueOrder(Order order, CheckpointLocation location)
{
    const std::uint64_t version = this->markChanged(order.upstream, true);
    this->queuedOrders.push_back(QueuedOrder{std::move(order), version, location});
}

void PoolController::State::withdrawQueuedOrders(const UpstreamId &upstream)
{
    std::erase_if(this->queuedOrders, [&](const QueuedOrder &each) {
        if (each.order.upstream != upstream)
            return false;
        this->ledger.withdrawOrder(upstream, each.order.id);
        this->markChanged(upstream, false);
        return true;
    });
}

void PoolController::State::withdrawUnfencedLoads()
{
    std::erase_if(this->queuedOrders, [&](const QueuedOrder &each) {
        const bool isLoad = each.order.kind == OrderKind::Load;
        if (!isLoad || this->enforcesFencing(each.order.upstream))
            return false;
        this->ledger.withdrawOrder(each.order.upstream, each.order.id);
        this->markChanged(each.order.upstream, false);
        this->incrementCounter("loads_withdrawn_unrecorded");
        return true;
    });
}

void PoolController::State::sendReadyOrders()
{
    const bool isSlow = this->writer.isServiceSlow(this->now);
    if (isSlow)
        this->withdrawUnfencedLoads();
    std::erase_if(this->queuedOrders, [&](QueuedOrder &each) {
        const UpstreamId &upstream = each.order.upstream;
        const bool isRecorded = this->writer.isRecorded(upstream, each.version);
        const bool mayGoAhead = isSlow && this->enforcesFencing(upstream);
        if (!isRecorded && !mayGoAhead)
            return false;
        this->incrementCounter(isRecorded ? "orders_recorded" : "orders_journaled");
        this->inFlight[each.order.id] = SentOrder{each.order, this->now, each.location};
        this->actions.push_back(SendOrder{std::move(each.order)});
        return true;
    });
}

void PoolController::State::scheduleInventoryRequest(const UpstreamId &upstream, Duration pause)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.inventoryRequest = InventoryRequest::Scheduled;
    runtime.inventoryRequestNotBefore = this->now + pause;
    this->withdrawQueuedOrders(upstream);
}

void PoolController::State::requestInventories()
{
    if (!this->isDeciding())
        return;
    for (auto &[id, runtime] : this->runtime) {
        const bool isDue = runtime.inventoryRequest == InventoryRequest::Scheduled
                           && !runtime.isGone && this->now >= runtime.inventoryRequestNotBefore
                           && this->ledger.view()->upstreams.contains(id);
        // Without fencing, an order in flight could take effect after the inventory was made and
        // make it wrong.
        if (!isDue || (!this->enforcesFencing(id) && this->hasOrderInFlight(id)))
            continue;
        const bool isUsed = runtime.orderFence <= this->ledger.record(id).fence;
        if (isUsed)
            runtime.orderFence = std::max(runtime.orderFence, this->ledger.record(id).fence).next();
        BC_INVARIANT(runtime.orderFence.value() < this->ownership.fence().value() + fenceStride,
                     "the fencing number of an upstream exceeds the range of its pool's owner");
        runtime.inventoryRequest = InventoryRequest::Sent;
        const Order order{this->nextOrderId(id), id, OrderKind::RaiseFence, {}};
        this->inFlight[order.id] = SentOrder{order, this->now, CheckpointLocation::Remote};
        this->actions.push_back(SendOrder{order});
        this->incrementCounter("inventories_asked");
    }
}

void PoolController::State::handleOrderFinished(const OrderFinished &event)
{
    auto node = this->inFlight.extract(event.id);
    if (node.empty()) {
        this->incrementCounter("orders_unknown");
        return;
    }
    const SentOrder sent = std::move(node.mapped());
    const bool isLoadOrUnload = sent.order.kind != OrderKind::RaiseFence;
    if (event.outcome == OrderOutcome::Unconfirmed && isLoadOrUnload)
        this->handleUnconfirmedOrder(sent);
    if (!this->ownership.isOwner()) {
        if (event.outcome != OrderOutcome::Unconfirmed)
            this->announceGivenUp();
        return;
    }
    switch (sent.order.kind) {
    case OrderKind::Load:
        this->handleLoadFinished(sent, event.outcome);
        break;
    case OrderKind::Unload:
        this->handleUnloadFinished(sent, event.outcome);
        break;
    case OrderKind::RaiseFence:
        this->handleInventoryFinished(sent, event);
        break;
    case OrderKind::ChangeRole:
        break;
    }
    if (event.outcome == OrderOutcome::StaleFence)
        this->handleStaleOrder(sent);
    this->requestInventories();
    this->decideUnloads();
    this->decideLoads();
}

void PoolController::State::handleLoadFinished(const SentOrder &sent, OrderOutcome outcome)
{
    const UpstreamId &upstream = sent.order.upstream;
    const Target &target = sent.order.target;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    switch (outcome) {
    case OrderOutcome::Done: {
        this->incrementCounter("loads_done");
        this->recordLoadTime(sent);
        this->ledger.confirmLoad(upstream, sent.order.id);
        ReplicaState &replica = runtime.replicas[target];
        replica.loadedAt = this->now;
        replica.lastUsed = std::max(replica.lastUsed, this->now);
        break;
    }
    case OrderOutcome::StaleFence:
    case OrderOutcome::Refused:
        this->incrementCounter("loads_refused");
        this->ledger.withdrawOrder(upstream, sent.order.id);
        runtime.loadNotBefore[target] = this->now + refusedLoadPause;
        // The checkpoint may not be cached any more.
        if (!sent.order.mayFetch)
            runtime.condition.cached.erase(target);
        if (this->ledger.find(upstream, target) != nullptr
            && runtime.inventoryRequest == InventoryRequest::None)
            this->scheduleInventoryRequest(upstream, this->settings.policy.retryPause);
        break;
    case OrderOutcome::Unconfirmed:
        break;
    }
    this->markChanged(upstream, false);
}

void PoolController::State::handleUnloadFinished(const SentOrder &sent, OrderOutcome outcome)
{
    const UpstreamId &upstream = sent.order.upstream;
    const Target &target = sent.order.target;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    switch (outcome) {
    case OrderOutcome::Done:
        this->incrementCounter("unloads_done");
        this->ledger.confirmUnload(upstream, sent.order.id);
        if (this->ledger.find(upstream, target) == nullptr)
            runtime.replicas.erase(target);
        break;
    case OrderOutcome::StaleFence:
    case OrderOutcome::Refused:
        this->incrementCounter("unloads_refused");
        this->ledger.withdrawOrder(upstream, sent.order.id);
        if (runtime.inventoryRequest == InventoryRequest::None)
            this->scheduleInventoryRequest(upstream, this->settings.policy.retryPause);
        break;
    case OrderOutcome::Unconfirmed:
        break;
    }
    this->markChanged(upstream, false);
}

void PoolController::State::handleUnconfirmedOrder(const SentOrder &sent)
{
    this->incrementCounter("orders_unconfirmed");
    const UpstreamId &upstream = sent.order.upstream;
    if (this->unresolvedOrders.size() < maxUnresolvedOrders)
        this->unresolvedOrders[sent.order.id] = upstream;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    if (!this->ownership.isOwner())
        return;
    if (runtime.isGone) {
        // The order was sent to a process that has ended, so it can't be executed any more.
        this->unresolvedOrders.erase(sent.order.id);
        std::vector<OrderId> openOrders;
        for (const auto &[id, each] : this->inFlight)
            openOrders.push_back(id);
        this->ledger.discardPlacements(upstream, this->settings.self, openOrders);
        return;
    }
    runtime.replicas[sent.order.target].retryNotBefore
            = this->now + this->settings.policy.retryPause;
    if (this->enforcesFencing(upstream)) {
        this->scheduleInventoryRequest(upstream, this->settings.policy.retryPause);
        return;
    }
    // One outstanding order of this process is enough to keep the placement counted; the one that
    // ended is dropped when another of the same kind and target is outstanding.
    for (const OutstandingOrder &each : this->ledger.record(upstream).orders) {
        const bool isSame = each.id.sender == this->settings.self && each.id != sent.order.id
                            && each.kind == sent.order.kind && each.target == sent.order.target;
        if (!isSame || this->inFlight.contains(each.id))
            continue;
        this->ledger.withdrawOrder(upstream, sent.order.id);
        break;
    }
}

void PoolController::State::handleStaleOrder(const SentOrder &sent)
{
    this->incrementCounter("orders_stale");
    if (sent.order.id.fence < this->ledger.record(sent.order.upstream).fence)
        return;
    this->ownership.requestRead();
    if (this->runtimeOf(sent.order.upstream).inventoryRequest == InventoryRequest::None)
        this->scheduleInventoryRequest(sent.order.upstream, this->settings.policy.retryPause);
}

void PoolController::State::handleInventoryFinished(const SentOrder &sent,
                                                    const OrderFinished &event)
{
    const UpstreamId &upstream = sent.order.upstream;
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    if (runtime.inventoryRequest != InventoryRequest::Sent
        || sent.order.id.fence != runtime.orderFence) {
        this->incrementCounter("inventories_outdated");
        return;
    }
    if (event.outcome != OrderOutcome::Done || !event.inventory) {
        this->incrementCounter("inventories_failed");
        runtime.inventoryRequest = InventoryRequest::Scheduled;
        runtime.inventoryRequestNotBefore = this->now + this->settings.policy.retryPause;
        // The fencing number may have reached the upstream: the next request uses a higher one.
        this->ledger.raiseFence(upstream, runtime.orderFence);
        return;
    }
    this->ledger.raiseFence(upstream, runtime.orderFence);
    const InventoryFindings findings
            = this->ledger.applyInventory(upstream, runtime.orderFence, *event.inventory);
    runtime.inventoryRequest = InventoryRequest::None;
    runtime.inventoryAt = this->now;
    this->incrementCounter("inventories_taken");
    this->incrementCounter("inventory_unknown_targets", findings.unknownTargets);
    this->incrementCounter("inventory_unrecorded_targets", findings.unrecordedTargets);
    this->incrementCounter("inventory_missing_targets", findings.missingTargets);
    const bool isSuspicious = findings.unknownTargets > 0 || findings.exceedsCapacity;
    if (isSuspicious && !this->ledger.isDistrusted(upstream))
        logEvent(LogLevel::Warning,
                 "inventory of the upstream is not credible; loading nothing there",
                 {{"upstream", upstream.value()},
                  {"unknown_targets", std::to_string(findings.unknownTargets)}});
    this->ledger.setDistrusted(upstream, isSuspicious);
    if (isSuspicious)
        this->scheduleInventoryRequest(upstream, distrustedInventoryPause);
    if (this->enforcesFencing(upstream)) {
        std::erase_if(this->unresolvedOrders, [&](const auto &each) {
            return each.second == upstream && each.first.fence < runtime.orderFence;
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
    this->markChanged(upstream, false);
    this->reconcilePlacements();
}

bool PoolController::State::hasActiveOrder(const UpstreamId &upstream, const Target &target) const
{
    const auto concerns = [&](const Order &order) {
        return order.upstream == upstream && order.target == target
               && order.kind != OrderKind::RaiseFence;
    };
    return std::any_of(this->queuedOrders.begin(), this->queuedOrders.end(),
                       [&](const QueuedOrder &each) { return concerns(each.order); })
           || std::any_of(this->inFlight.begin(), this->inFlight.end(),
                          [&](const auto &each) { return concerns(each.second.order); });
}

bool PoolController::State::hasOrderInFlight(const UpstreamId &upstream) const
{
    return std::any_of(this->inFlight.begin(), this->inFlight.end(), [&](const auto &each) {
        return each.second.order.upstream == upstream
               && each.second.order.kind != OrderKind::RaiseFence;
    });
}

bool PoolController::State::enforcesFencing(const UpstreamId &upstream) const
{
    const auto found = this->ledger.view()->upstreams.find(upstream);
    return found != this->ledger.view()->upstreams.end()
           && found->second.fencing == Fencing::Refuses;
}

void PoolController::State::reconcilePlacements()
{
    if (!this->isDeciding())
        return;
    for (const auto &[id, record] : this->ledger.records()) {
        const UpstreamRuntime &runtime = this->runtimeOf(id);
        if (runtime.isGone || runtime.inventoryRequest != InventoryRequest::None
            || record.mayHoldUnrecordedTargets)
            continue;
        const std::vector<Placement> placements = record.placements;
        for (const Placement &placement : placements) {
            if (placement.state != PlacementState::Loaded
                && !this->hasActiveOrder(id, placement.target))
                this->reconcilePlacement(id, placement);
        }
    }
}

void PoolController::State::reconcilePlacement(const UpstreamId &upstream,
                                               const Placement &placement)
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
    const bool isOverReplicaBound
            = this->ledger.replicas(target) > this->ledger.view()->targets.at(target).maxReplicas;
    if (isOverReplicaBound) {
        // The load may have started already; another order could start a load beyond the bound.
        if (this->now - this->runtimeOf(upstream).inventoryAt >= excessInventoryPause)
            this->scheduleInventoryRequest(upstream, Duration{});
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
    const std::uint32_t others = this->countLoadsInTransit(kind) - 1;
    if (!this->pacer.mayStart(kind, others, this->now)) {
        replica.retryNotBefore = this->now;
        return;
    }
    this->pacer.recordStart(kind, others, this->now);
    this->orderLoadAgain(upstream, target);
}

} // namespace bamboochute::decision
