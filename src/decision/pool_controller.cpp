#include "decision/pool_controller.hpp"

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "decision/pool_state.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// Minimum interval between inventory requests caused by reports that contradict the ledger.
constexpr Duration reportInventoryInterval = 30s;
/// Reports with longer lists are ignored.
constexpr std::size_t maxReportEntries = 4096;

} // namespace

PoolController::State::State(PoolControllerSettings given)
    : settings(std::move(given))
    , ownership(this->settings.pool, this->settings.self, this->settings.policy.retryPause)
    , writer(this->settings.pool, this->settings.self, this->settings.policy)
{}

PoolController::PoolController(PoolControllerSettings settings)
    : state(std::make_unique<State>(std::move(settings)))
{}

PoolController::~PoolController() = default;
PoolController::PoolController(PoolController &&) noexcept = default;
PoolController &PoolController::operator=(PoolController &&) noexcept = default;

Actions PoolController::handle(const Event &event, TimePoint now)
{
    this->state->now = now;
    this->state->dispatchEvent(event);
    this->state->emitActions();
    return std::exchange(this->state->actions, {});
}

bool PoolController::isOwner() const noexcept
{
    return this->state->ownership.isOwner();
}

std::optional<OwnerRecord> PoolController::knownOwner() const
{
    return this->state->ownership.lastSeenRecord();
}

const Ledger &PoolController::ledger() const noexcept
{
    return this->state->ledger;
}

const std::map<std::string, std::uint64_t> &PoolController::counters() const noexcept
{
    return this->state->counters;
}

void PoolController::State::dispatchEvent(const Event &event)
{
    std::visit(
            Overloaded{
                    [this](const ConfigurationChanged &e) { this->configure(e.configuration); },
                    [this](const CandidacyChanged &e) {
                        this->ownership.setCandidate(e.isCandidate);
                    },
                    [this](const InstanceSuspected &e) {
                        this->ownership.addSuspicion(e.instance);
                    },
                    [this](const InstanceAlive &e) { this->ownership.removeSuspicion(e.instance); },
                    [this](const ProcessTerminated &e) {
                        this->handleProcessTerminated(e.process);
                    },
                    [this](const OwnershipGivenUp &e) { this->handleOwnershipGivenUp(e); },
                    [this](const TransactionFinished &e) { this->handleTransactionFinished(e); },
                    [this](const OrderFinished &e) { this->handleOrderFinished(e); },
                    [this](const ReportReceived &e) { this->handleReport(e); },
                    [this](const DemandReported &e) {
                        this->demand.update(e, this->now);
                        this->decideLoads();
                    },
                    [this](const UsageReported &e) { this->handleUsage(e); },
                    [this](const ReplicaFailed &e) {
                        this->incrementCounter("replicas_failed");
                        if (this->ledger.find(e.upstream, e.target) != nullptr)
                            this->startDrain(e.upstream, e.target, true);
                    },
                    [this](const UpstreamLeaving &e) { this->handleUpstreamLeaving(e.upstream); },
                    [this](const UpstreamGone &e) { this->handleUpstreamGone(e.upstream); },
                    [this](const UpstreamReturned &e) { this->handleUpstreamReturned(e.upstream); },
                    [this](const Tick &) {
                        this->demand.expire(this->now - this->settings.policy.demandExpiry);
                        this->requestInventories();
                        this->reconcilePlacements();
                        this->decideUnloads();
                        this->loadMinReplicas();
                        this->decideLoads();
                    },
                    [this](const HandOverRequested &) { this->startHandOver(); },
            },
            event);
}

void PoolController::State::configure(const ConfigurationPointer &configuration)
{
    auto view = std::make_shared<const PoolView>(makePoolView(*configuration, this->settings.pool));
    if (view->revision < this->ledger.view()->revision) {
        this->incrementCounter("configurations_old");
        return;
    }
    this->ledger.configure(view);
    this->pacer.configure(view->store);
    for (const auto &[id, upstream] : view->upstreams) {
        UpstreamRuntime &runtime = this->runtimeOf(id);
        runtime.isPublishDue = true;
        if (runtime.orderFence < this->ownership.fence())
            runtime.orderFence = this->ownership.fence();
    }
    for (const auto &[target, since] : std::map(this->retiredAt)) {
        if (view->targets.contains(target))
            this->retiredAt.erase(target);
    }
    this->decideLoads();
}

void PoolController::State::handleTransactionFinished(const TransactionFinished &event)
{
    if (event.tag == this->ownershipTag) {
        this->ownershipTag = 0;
        switch (this->ownership.handleResult(event.result, this->now)) {
        case OwnershipChange::Taken:
            this->startOwnership();
            break;
        case OwnershipChange::Lost:
        case OwnershipChange::Released:
            this->endOwnership();
            break;
        case OwnershipChange::None:
            break;
        }
        return;
    }
    if (event.tag != this->writerTag) {
        this->incrementCounter("transactions_outdated");
        return;
    }
    this->writerTag = 0;
    if (this->writer.handleResult(event.result, this->now) == WriterChange::OwnerReplaced) {
        this->ownership.markLost(this->writer.replacedBy(), this->now);
        this->endOwnership();
    }
}

void PoolController::State::handleReport(const ReportReceived &event)
{
    if (!this->ledger.view()->upstreams.contains(event.upstream)) {
        this->incrementCounter("reports_unknown_upstream");
        return;
    }
    if (event.inventory.size() > maxReportEntries || event.cached.size() > maxReportEntries) {
        this->incrementCounter("reports_oversized");
        return;
    }
    const UpstreamSpec &spec = this->ledger.view()->upstreams.at(event.upstream);
    UpstreamRuntime &runtime = this->runtimeOf(event.upstream);
    runtime.condition.load = static_cast<double>(event.running + event.waiting)
                             / static_cast<double>(std::max(1U, spec.maxConcurrent));
    runtime.condition.cached.clear();
    for (const CachedCheckpoint &checkpoint : event.cached) {
        if (this->ledger.view()->targets.contains(checkpoint.target))
            runtime.condition.cached[checkpoint.target] = checkpoint.location;
        else
            this->incrementCounter("reports_unknown_checkpoint");
    }
    if (this->isDeciding())
        this->checkReport(event, runtime);
}

void PoolController::State::checkReport(const ReportReceived &event, UpstreamRuntime &runtime)
{
    const bool isSettled
            = event.madeAt > runtime.changedAt + this->settings.policy.reportLag && !runtime.isGone;
    bool isContradicted = false;
    std::set<Target> shown;
    const Bytes capacity = this->ledger.view()->upstreams.at(event.upstream).memory;
    for (const InventoryEntry &entry : event.inventory) {
        shown.insert(entry.target);
        const bool isRecorded = this->ledger.find(event.upstream, entry.target) != nullptr;
        if (!this->ledger.view()->targets.contains(entry.target) && !isRecorded)
            this->incrementCounter("reports_unknown_target");
        if (entry.memory > capacity)
            this->incrementCounter("reports_absurd_memory");
        isContradicted = isContradicted || !isRecorded;
    }
    for (const Placement &placement : this->ledger.record(event.upstream).placements) {
        const bool isMissing
                = placement.state == PlacementState::Loaded && !shown.contains(placement.target);
        isContradicted = isContradicted || isMissing;
    }
    if (!isContradicted || !isSettled)
        return;
    this->incrementCounter("reports_contradicting");
    const bool isDue = this->now - runtime.inventoryAt >= reportInventoryInterval;
    if (runtime.inventoryRequest == InventoryRequest::None && isDue)
        this->scheduleInventoryRequest(event.upstream, Duration{});
}

void PoolController::State::handleUsage(const UsageReported &event)
{
    if (!this->ledger.view()->targets.contains(event.target)) {
        this->incrementCounter("usage_unknown_target");
        return;
    }
    if (event.started > 0) {
        this->predictor.recordUse(event.target, event.lastUsed);
        if (!event.target.adapter.isEmpty())
            this->predictor.recordUse(Target{event.target.model, {}}, event.lastUsed);
    }
    if (this->ledger.find(event.upstream, event.target) == nullptr)
        return;
    auto &replicas = this->runtimeOf(event.upstream).replicas;
    ReplicaState &replica = replicas[event.target];
    replica.lastUsed = std::max(replica.lastUsed, event.lastUsed);
    if (!event.target.adapter.isEmpty()) {
        ReplicaState &base = replicas[Target{event.target.model, {}}];
        base.lastUsed = std::max(base.lastUsed, event.lastUsed);
    }
    if (event.running == 0)
        replica.running.erase(event.instance);
    else
        replica.running[event.instance] = event.running;
    if (event.started > 0 && this->isDeciding())
        this->preloadFollower(event.target);
}

void PoolController::State::emitActions()
{
    this->continueHandOver();
    if (this->ownership.isOwner()) {
        this->publishPlacements();
        this->sendReadyOrders();
        if (this->writerTag == 0) {
            if (auto transaction = this->writer.nextTransaction(this->ledger, this->now)) {
                this->writerTag = ++this->lastTag;
                this->actions.push_back(SubmitTransaction{
                        platform::Purpose::Ledger, std::move(*transaction), this->writerTag});
            }
        }
    }
    if (this->ownershipTag != 0)
        return;
    if (auto transaction = this->ownership.nextTransaction(this->now)) {
        this->ownershipTag = ++this->lastTag;
        this->actions.push_back(SubmitTransaction{platform::Purpose::Ownership,
                                                  std::move(*transaction), this->ownershipTag});
    }
}

void PoolController::State::publishPlacements()
{
    for (auto &[id, runtime] : this->runtime) {
        if (!runtime.isPublishDue)
            continue;
        runtime.isPublishDue = false;
        std::vector<Target> served = this->servableTargets(id);
        if (runtime.isPublished && served == runtime.published)
            continue;
        runtime.isPublished = true;
        runtime.published = served;
        this->actions.push_back(PublishPlacements{this->settings.pool, this->ownership.fence(),
                                                  ++this->lastPublishSequence, id,
                                                  std::move(served)});
    }
}

std::vector<Target> PoolController::State::servableTargets(const UpstreamId &upstream) const
{
    std::vector<Target> served;
    const auto found = this->runtime.find(upstream);
    if (found == this->runtime.end() || found->second.isLeaving || found->second.isGone)
        return served;
    const auto isServing = [&](const Target &target) {
        const Placement *placement = this->ledger.find(upstream, target);
        const auto replica = found->second.replicas.find(target);
        const bool isDraining
                = replica != found->second.replicas.end() && replica->second.drainingSince;
        return placement != nullptr && placement->state == PlacementState::Loaded && !isDraining;
    };
    for (const Placement &placement : this->ledger.record(upstream).placements) {
        const Target base{placement.target.model, {}};
        if (isServing(placement.target) && isServing(base))
            served.push_back(placement.target);
    }
    std::sort(served.begin(), served.end());
    return served;
}

std::uint64_t PoolController::State::markChanged(const UpstreamId &upstream, bool isUrgent)
{
    UpstreamRuntime &runtime = this->runtimeOf(upstream);
    runtime.changedAt = this->now;
    runtime.isPublishDue = true;
    return this->writer.markChanged(upstream, isUrgent, this->now);
}

} // namespace bamboochute::decision
