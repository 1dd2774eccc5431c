#include "core/log.hpp"
#include "decision/pool_state.hpp"
#include "decision/records.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// How long a stopping owner waits for its last writes before it gives the pool up without them.
constexpr Duration maxHandOverTime = 2s;
constexpr std::size_t maxRememberedProcesses = 4096;

} // namespace

void PoolController::State::startOwnership()
{
    this->incrementCounter("ownerships_won");
    this->ownedSince = this->now;
    this->ledger.clear();
    this->writer.reset(this->ownership.ownRecordText(), this->ownership.fence());
    this->writerTag = 0;
    this->queuedOrders.clear();
    this->reservations.clear();
    this->pacer.restart(this->now);
    for (auto &[id, runtime] : this->runtime) {
        runtime.orderFence = this->ownership.fence();
        runtime.inventoryRequest = InventoryRequest::None;
        runtime.inventoryRequestNotBefore = this->now;
        runtime.replicas.clear();
        runtime.loadNotBefore.clear();
        runtime.isPublished = false;
        runtime.isPublishDue = true;
    }
    this->restoreRecords();
    this->actions.push_back(
            AnnounceOwner{this->settings.pool, this->settings.self, this->ownership.fence()});
    logEvent(LogLevel::Info, "ownership of the pool taken",
             {{"pool", this->settings.pool.value()},
              {"fence", std::to_string(this->ownership.fence().value())},
              {"handed_over", this->ownership.wasHandedOver() ? "yes" : "no"}});
    this->requestInventories();
    this->reconcilePlacements();
    this->decideLoads();
}

void PoolController::State::restoreRecords()
{
    for (const platform::KeyValue &entry : this->ownership.takenRecords()) {
        auto record = parseUpstreamRecord(entry.value);
        if (!record) {
            this->incrementCounter("records_malformed");
            logEvent(LogLevel::Error,
                     "upstream record can't be parsed; the pool is taken without it",
                     {{"key", entry.key}, {"error", record.error().message()}});
            continue;
        }
        const UpstreamId upstream = record.value().upstream;
        this->writer.setRevision(upstream, entry.modRevision);
        this->ledger.restoreRecord(std::move(record.value()));
        UpstreamRuntime &runtime = this->runtimeOf(upstream);
        runtime.orderFence = this->ownership.fence();
        for (const Placement &placement : this->ledger.record(upstream).placements) {
            ReplicaState &replica = runtime.replicas[placement.target];
            replica.loadedAt = this->now;
            replica.lastUsed = this->predictor.lastUsed(placement.target).value_or(this->now);
        }
    }
    // Earlier orders of this process are settled, except those in flight and unconfirmed ones.
    std::vector<std::uint64_t> openOrders;
    for (const auto &[id, sent] : this->inFlight)
        openOrders.push_back(id.number);
    for (const auto &[id, upstream] : this->unresolvedOrders)
        openOrders.push_back(id.number);
    this->ledger.voidOrders(this->settings.self, this->ownership.fence(), openOrders);
    if (this->settings.self.incarnation > Incarnation()) {
        const Incarnation before(this->settings.self.incarnation.value() - 1);
        this->ledger.voidOrdersOfTerminated(InstanceProcess{this->settings.self.instance, before});
    }
    for (const auto &[instance, incarnation] : this->terminatedProcesses)
        this->ledger.voidOrdersOfTerminated(InstanceProcess{instance, incarnation});
    for (const auto &[sender, given] : this->givenUpOwnerships)
        this->ledger.voidOrders(sender, given.fence, given.unresolvedOrders);
    for (const auto &[id, upstream] : this->ledger.view()->upstreams) {
        const UpstreamRecord &record = this->ledger.record(id);
        const bool isFenced = upstream.fencing == Fencing::Refuses;
        if (this->runtimeOf(id).isGone) {
            this->handleUpstreamGone(id);
            continue;
        }
        if (isFenced && !this->ownership.wasHandedOver())
            this->ledger.markMayHoldUnrecordedTargets(id);
        const bool needsInventory = this->ledger.record(id).mayHoldUnrecordedTargets
                                    || (isFenced && !record.orders.empty());
        if (needsInventory)
            this->scheduleInventoryRequest(id, Duration{});
    }
}

void PoolController::State::endOwnership()
{
    this->incrementCounter("ownerships_lost");
    logEvent(LogLevel::Info, "ownership of the pool ended",
             {{"pool", this->settings.pool.value()},
              {"fence", std::to_string(this->ownership.fence().value())}});
    this->queuedOrders.clear();
    this->reservations.clear();
    this->writerTag = 0;
    this->ledger.clear();
    this->demand.clear();
    for (auto &[id, runtime] : this->runtime) {
        runtime.inventoryRequest = InventoryRequest::None;
        runtime.replicas.clear();
        runtime.isPublished = false;
    }
    this->announceGivenUp();
}

void PoolController::State::startHandOver()
{
    this->isStopping = true;
    this->stoppingSince = this->now;
    this->ownership.setCandidate(false);
    if (!this->ownership.isOwner())
        return;
    for (const auto &[id, record] : std::map(this->ledger.records()))
        this->withdrawQueuedOrders(id);
    this->writer.requestFlush();
}

void PoolController::State::continueHandOver()
{
    if (!this->isStopping || !this->ownership.isOwner())
        return;
    if (this->writer.isClean()) {
        this->ownership.requestRelease();
        return;
    }
    if (this->now - *this->stoppingSince < maxHandOverTime)
        return;
    this->incrementCounter("handovers_unrecorded");
    this->ownership.markLost(this->ownership.lastSeenRecord(), this->now);
    this->endOwnership();
}

void PoolController::State::announceGivenUp()
{
    std::vector<std::uint64_t> openOrders;
    for (const auto &[id, sent] : this->inFlight)
        openOrders.push_back(id.number);
    for (const auto &[id, upstream] : this->unresolvedOrders)
        openOrders.push_back(id.number);
    std::sort(openOrders.begin(), openOrders.end());
    this->actions.push_back(AnnounceOwnershipGivenUp{this->settings.pool, this->settings.self,
                                                     this->ownership.fence(),
                                                     std::move(openOrders)});
}

void PoolController::State::handleProcessTerminated(const InstanceProcess &process)
{
    this->ownership.markTerminated(process);
    if (this->terminatedProcesses.size() >= maxRememberedProcesses)
        this->terminatedProcesses.erase(this->terminatedProcesses.begin());
    Incarnation &known = this->terminatedProcesses[process.instance];
    known = std::max(known, process.incarnation);
    for (auto &[id, runtime] : this->runtime) {
        for (auto &[target, replica] : runtime.replicas)
            replica.running.erase(process.instance);
    }
    if (!this->ownership.isOwner())
        return;
    for (const UpstreamId &upstream : this->ledger.voidOrdersOfTerminated(process))
        this->markChanged(upstream, false);
    this->reconcilePlacements();
    this->decideLoads();
}

void PoolController::State::handleOwnershipGivenUp(const OwnershipGivenUp &event)
{
    this->ownership.markGivenUp(event.sender, event.fence);
    if (this->givenUpOwnerships.size() >= maxRememberedProcesses)
        this->givenUpOwnerships.erase(this->givenUpOwnerships.begin());
    GivenUpOwnership &known = this->givenUpOwnerships[event.sender];
    if (event.fence < known.fence)
        return;
    known = GivenUpOwnership{event.fence, event.unresolvedOrders};
    if (!this->ownership.isOwner())
        return;
    for (const UpstreamId &upstream :
         this->ledger.voidOrders(event.sender, event.fence, event.unresolvedOrders))
        this->markChanged(upstream, false);
    this->reconcilePlacements();
    this->decideLoads();
}

void PoolController::State::handleUpstreamLeaving(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isLeaving = true;
    runtime.isPublishDue = true;
    std::erase_if(this->reservations,
                  [&](const auto &each) { return each.second.upstream == upstream; });
}

void PoolController::State::handleUpstreamGone(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isGone = true;
    runtime.isPublishDue = true;
    std::erase_if(this->reservations,
                  [&](const auto &each) { return each.second.upstream == upstream; });
    if (!this->ownership.isOwner())
        return;
    this->withdrawQueuedOrders(upstream);
    std::vector<OrderId> openOrders;
    for (const auto &[id, sent] : this->inFlight) {
        if (sent.order.upstream == upstream)
            openOrders.push_back(id);
    }
    this->ledger.discardPlacements(upstream, this->settings.self, openOrders);
    std::erase_if(this->unresolvedOrders,
                  [&](const auto &each) { return each.second == upstream; });
    runtime.replicas.clear();
    runtime.inventoryRequest = InventoryRequest::None;
    this->markChanged(upstream, false);
    this->decideLoads();
}

void PoolController::State::handleUpstreamReturned(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isLeaving = false;
    runtime.isGone = false;
    runtime.isPublishDue = true;
    runtime.condition = {};
    if (!this->ownership.isOwner() || !this->ledger.view()->upstreams.contains(upstream))
        return;
    this->ledger.markMayHoldUnrecordedTargets(upstream);
    this->markChanged(upstream, false);
    this->scheduleInventoryRequest(upstream, Duration{});
}

} // namespace bamboochute::decision
