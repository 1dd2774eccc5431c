#include "core/log.hpp"
#include "decision/pool_state.hpp"
#include "decision/records.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// A stopping owner waits this long for the key-value service before it gives up unrecorded.
constexpr Duration maxHandOverTime = 2s;
constexpr std::size_t maxRememberedSenders = 4096;

} // namespace

void PoolController::State::won()
{
    this->count("ownerships_won");
    this->ownedSince = this->now;
    this->ledger.clear();
    this->writer.reset(this->ownership.ownValue(), this->ownership.fence());
    this->writerTag = 0;
    this->waiting.clear();
    this->reservations.clear();
    this->pacer.restart(this->now);
    for (auto &[id, runtime] : this->runtime) {
        runtime.wireFence = this->ownership.fence();
        runtime.inquiry = Inquiry::None;
        runtime.inquiryNotBefore = this->now;
        runtime.replicas.clear();
        runtime.loadNotBefore.clear();
        runtime.isPublished = false;
        runtime.isPublishDue = true;
    }
    this->adoptRecords();
    this->actions.push_back(
            AnnounceOwner{this->settings.pool, this->settings.self, this->ownership.fence()});
    logEvent(LogLevel::Info, "pool taken",
             {{"pool", this->settings.pool.value()},
              {"fence", std::to_string(this->ownership.fence().value())},
              {"handed_over", this->ownership.wasHandedOver() ? "yes" : "no"}});
    this->askInventories();
    this->repair();
    this->decideLoads();
}

void PoolController::State::adoptRecords()
{
    for (const platform::KeyValue &entry : this->ownership.takenRecords()) {
        auto record = parseUpstreamRecord(entry.value);
        if (!record) {
            this->count("records_malformed");
            logEvent(LogLevel::Error, "record not readable",
                     {{"key", entry.key}, {"error", record.error().message()}});
            continue;
        }
        const UpstreamId upstream = record.value().upstream;
        this->writer.known(upstream, entry.modRevision);
        this->ledger.adopt(std::move(record.value()));
        UpstreamRuntime &runtime = this->runtimeOf(upstream);
        runtime.wireFence = this->ownership.fence();
        for (const Placement &placement : this->ledger.record(upstream).placements) {
            ReplicaState &replica = runtime.replicas[placement.target];
            replica.loadedAt = this->now;
            replica.lastUsed = this->predictor.lastUsed(placement.target).value_or(this->now);
        }
    }
    // What this process itself ordered before and has seen the end of is settled.
    std::vector<std::uint64_t> open;
    for (const auto &[id, sent] : this->inFlight)
        open.push_back(id.number);
    for (const auto &[id, upstream] : this->unresolvedOrders)
        open.push_back(id.number);
    this->ledger.clearSender(this->settings.self, this->ownership.fence(), open);
    if (this->settings.self.incarnation > Incarnation()) {
        const Incarnation before(this->settings.self.incarnation.value() - 1);
        this->ledger.clearGone(InstanceProcess{this->settings.self.instance, before});
    }
    for (const auto &[instance, incarnation] : this->goneInstances)
        this->ledger.clearGone(InstanceProcess{instance, incarnation});
    for (const auto &[sender, given] : this->givenUp)
        this->ledger.clearSender(sender, given.fence, given.unresolvedOrders);
    for (const auto &[id, upstream] : this->ledger.view()->upstreams) {
        const UpstreamRecord &record = this->ledger.record(id);
        const bool isFenced = upstream.fencing == Fencing::Refuses;
        if (this->runtimeOf(id).isGone) {
            this->upstreamGone(id);
            continue;
        }
        if (isFenced && !this->ownership.wasHandedOver())
            this->ledger.markUnaccounted(id);
        const bool isAsked
                = this->ledger.record(id).isUnaccounted || (isFenced && !record.orders.empty());
        if (isAsked)
            this->wantInventory(id, Duration{});
    }
}

void PoolController::State::lost()
{
    this->count("ownerships_lost");
    logEvent(LogLevel::Info, "pool given up",
             {{"pool", this->settings.pool.value()},
              {"fence", std::to_string(this->ownership.fence().value())}});
    this->waiting.clear();
    this->reservations.clear();
    this->writerTag = 0;
    this->ledger.clear();
    this->demand.clear();
    for (auto &[id, runtime] : this->runtime) {
        runtime.inquiry = Inquiry::None;
        runtime.replicas.clear();
        runtime.isPublished = false;
    }
    this->tellGaveUp();
}

void PoolController::State::handOver()
{
    this->isStopping = true;
    this->stoppingSince = this->now;
    this->ownership.setCandidate(false);
    if (!this->ownership.isOwner())
        return;
    for (const auto &[id, record] : std::map(this->ledger.records()))
        this->withdrawWaiting(id);
    this->writer.flush();
}

void PoolController::State::continueHandOver()
{
    if (!this->isStopping || !this->ownership.isOwner())
        return;
    if (this->writer.isClean()) {
        this->ownership.release();
        return;
    }
    if (this->now - *this->stoppingSince < maxHandOverTime)
        return;
    this->count("handovers_unrecorded");
    this->ownership.lose(this->ownership.known(), this->now);
    this->lost();
}

void PoolController::State::tellGaveUp()
{
    std::vector<std::uint64_t> open;
    for (const auto &[id, sent] : this->inFlight)
        open.push_back(id.number);
    for (const auto &[id, upstream] : this->unresolvedOrders)
        open.push_back(id.number);
    std::sort(open.begin(), open.end());
    this->actions.push_back(AnnounceOwnershipGivenUp{this->settings.pool, this->settings.self,
                                                     this->ownership.fence(), std::move(open)});
}

void PoolController::State::instanceGone(const InstanceProcess &sender)
{
    this->ownership.knownGone(sender);
    if (this->goneInstances.size() >= maxRememberedSenders)
        this->goneInstances.erase(this->goneInstances.begin());
    Incarnation &known = this->goneInstances[sender.instance];
    known = std::max(known, sender.incarnation);
    for (auto &[id, runtime] : this->runtime) {
        for (auto &[target, replica] : runtime.replicas)
            replica.running.erase(sender.instance);
    }
    if (!this->ownership.isOwner())
        return;
    for (const UpstreamId &upstream : this->ledger.clearGone(sender))
        this->touch(upstream, false);
    this->repair();
    this->decideLoads();
}

void PoolController::State::instanceGaveUp(const OwnershipGivenUp &event)
{
    this->ownership.gaveUp(event.sender, event.fence);
    if (this->givenUp.size() >= maxRememberedSenders)
        this->givenUp.erase(this->givenUp.begin());
    GivenUp &known = this->givenUp[event.sender];
    if (event.fence < known.fence)
        return;
    known = GivenUp{event.fence, event.unresolvedOrders};
    if (!this->ownership.isOwner())
        return;
    for (const UpstreamId &upstream :
         this->ledger.clearSender(event.sender, event.fence, event.unresolvedOrders))
        this->touch(upstream, false);
    this->repair();
    this->decideLoads();
}

void PoolController::State::upstreamLeaving(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isLeaving = true;
    runtime.isPublishDue = true;
    std::erase_if(this->reservations,
                  [&](const auto &each) { return each.second.upstream == upstream; });
}

void PoolController::State::upstreamGone(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isGone = true;
    runtime.isPublishDue = true;
    std::erase_if(this->reservations,
                  [&](const auto &each) { return each.second.upstream == upstream; });
    if (!this->ownership.isOwner())
        return;
    this->withdrawWaiting(upstream);
    std::vector<OrderId> open;
    for (const auto &[id, sent] : this->inFlight) {
        if (sent.order.upstream == upstream)
            open.push_back(id);
    }
    this->ledger.forgetContents(upstream, this->settings.self, open);
    std::erase_if(this->unresolvedOrders,
                  [&](const auto &each) { return each.second == upstream; });
    runtime.replicas.clear();
    runtime.inquiry = Inquiry::None;
    this->touch(upstream, false);
    this->decideLoads();
}

void PoolController::State::upstreamReturned(const UpstreamId &upstream)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.isLeaving = false;
    runtime.isGone = false;
    runtime.isPublishDue = true;
    runtime.condition = {};
    if (!this->ownership.isOwner() || !this->ledger.view()->upstreams.contains(upstream))
        return;
    this->ledger.markUnaccounted(upstream);
    this->touch(upstream, false);
    this->wantInventory(upstream, Duration{});
}

} // namespace bamboochute::decision
