#include "residency/placement_driver.hpp"

#include "core/log.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::residency {

namespace {

/// Time after its last demand report from which an instance gets no more messages.
constexpr Duration instanceTimeout = std::chrono::seconds(4);
/// Pause between two checks for ownership while another instance is the owner.
constexpr Duration idleInterval = std::chrono::seconds(1);
/// Additional time of an unload while requests run on the engine.
constexpr Duration busyUnloadTime = std::chrono::milliseconds(50);
/// Multiple of its expected time after which a load from the weight store is given up.
constexpr int maxStoreLoadFactor = 4;

TimePoint steadyNow()
{
    return SteadyClock().now();
}

std::string targetName(const Target &target)
{
    return target.adapter.isEmpty() ? target.model.value()
                                    : target.model.value() + "/" + target.adapter.value();
}

} // namespace

PlacementDriver::PlacementDriver(boost::asio::io_context &loop, gateway::Gateway &gateway,
                                 OwnerElection &election, EnginePort port, InstanceId self,
                                 Metrics &metrics, DriverSettings settings)
    : loop(loop)
    , gateway(gateway)
    , election(election)
    , port(std::move(port))
    , self(std::move(self))
    , metrics(metrics)
    , settings(settings)
    , wake(loop)
    , publishTimer(loop)
{}

void PlacementDriver::start()
{
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
}

void PlacementDriver::receiveDemand(const DemandMessage &message, const Endpoint &from)
{
    const TimePoint now = steadyNow();
    const bool isNew = this->reportingInstances.count(message.sender) == 0;
    this->reportingInstances[message.sender] = ReportingInstance{from, now};
    this->election.recordMember(message.sender, from);
    if (isNew && message.sender != this->self && this->election.isOwner()) {
        // The other instances learn of it with the next list.
        OwnerMessage update = this->makeMessage();
        update.instances = this->listInstances();
        this->send({from}, update);
    }
    std::map<gateway::ServiceId, std::vector<gateway::TargetDemand>> byService;
    for (auto &[service, pool] : this->pools)
        byService[service];
    bool isAnyWaiting = false;
    for (const gateway::TargetDemand &demand : message.demand) {
        byService[demand.target.service].push_back(demand);
        isAnyWaiting = isAnyWaiting || demand.waiting > 0;
    }
    for (const auto &[service, demand] : byService)
        this->pools[service].demand.addReport(message.sender, demand, message.isContinuation, now);
    for (const UpstreamId &id : message.suspected) {
        this->gateway.health.recordSuspicion(id, gateway::HealthLimits().firstPause, now);
        const auto engine = this->engines.find(id);
        if (engine != this->engines.end())
            engine->second.isSuspected = true;
    }
    if (!message.suspected.empty()) {
        OwnerMessage update = this->makeMessage();
        update.suspected = message.suspected;
        this->broadcast(update);
    }
    if (isAnyWaiting)
        this->wake.notifyAll();
}

upstream::Awaitable<void> PlacementDriver::run()
{
    while (!this->isStopped) {
        const bool isOwner = this->election.isOwner();
        if (this->election.maySendOrders())
            this->planAllPools();
        if (isOwner)
            this->sendPeriodicMessages();
        const Duration pause = isOwner ? this->settings.planInterval : idleInterval;
        co_await this->wake.wait(steadyNow() + pause);
    }
}

void PlacementDriver::planAllPools()
{
    const TimePoint now = steadyNow();
    if (this->ownershipFence != this->election.fence()) {
        this->ownershipFence = this->election.fence();
        for (auto &[id, engine] : this->engines) {
            Engine cleared;
            cleared.isReportRequested = engine.isReportRequested;
            cleared.isOrderInFlight = engine.isOrderInFlight;
            engine = cleared;
        }
        for (auto &[service, pool] : this->pools)
            pool.planner.restart(now);
    }
    if (!this->gateway.index)
        return;
    this->removeUnregisteredEngines();
    for (const gateway::Service &service : this->gateway.index->configuration().services) {
        if (!service.engine)
            continue;
        Pool &pool = this->pools[service.id];
        if (pool.spec != *service.engine) {
            pool.spec = *service.engine;
            pool.planner.configure(pool.spec);
        }
        pool.demand.advanceTo(now);
        this->planPool(service, pool);
    }
}

/// Sends the messages that the instances need at all times, also before orders may be sent.
void PlacementDriver::sendPeriodicMessages()
{
    const TimePoint now = steadyNow();
    if (std::exchange(this->messagesFence, this->election.fence()) != this->election.fence())
        this->messagesBegunAt = now;
    std::erase_if(this->reportingInstances, [now](const auto &item) {
        return item.second.reportedAt + instanceTimeout < now;
    });
    if (now >= this->loadsSentAt + this->settings.loadMessageInterval)
        this->sendLoads(now);
    if (now >= this->watchProgressSentAt + this->settings.watchProgressInterval)
        this->sendWatchProgress(now);
}

void PlacementDriver::removeUnregisteredEngines()
{
    std::erase_if(this->engines, [this](const auto &item) {
        return this->gateway.table.find(item.first) == nullptr && !item.second.isReportRequested
               && !item.second.isOrderInFlight;
    });
}

void PlacementDriver::planPool(const gateway::Service &service, Pool &pool)
{
    const TimePoint now = steadyNow();
    std::vector<UpstreamSnapshot> snapshots;
    for (const auto &[id, entry] : this->gateway.table.entries()) {
        if (entry.registered.service != service.id)
            continue;
        Engine &engine = this->engines[id];
        const std::uint64_t startedAt = entry.registered.residency.version.startedAt;
        if (engine.hasReport && engine.report.residency.version.startedAt < startedAt) {
            // The engine's process was restarted, so the report of the former one is void.
            engine.hasReport = false;
            engine.loading = {};
            engine.isLastOrderConfirmed = true;
        }
        this->assumeLoadComplete(id, engine, now);
        this->requestReportIfDue(entry, engine, now);
        if (engine.resendAt && *engine.resendAt <= now) {
            engine.resendAt.reset();
            this->sendResidency(id, engine);
        }
        snapshots.push_back(this->makeSnapshot(entry, engine, now));
    }
    for (const PlannedOrder &planned : pool.planner.plan(snapshots, pool.demand, now)) {
        const gateway::UpstreamTable::Entry *entry = this->gateway.table.find(planned.upstream);
        this->engines[planned.upstream].isOrderInFlight = true;
        boost::asio::co_spawn(this->loop, this->sendOrder(planned, entry->registered),
                              boost::asio::detached);
    }
    this->sendPromises(service.id, pool, now);
}

UpstreamSnapshot PlacementDriver::makeSnapshot(const gateway::UpstreamTable::Entry &entry,
                                               const Engine &engine, TimePoint now) const
{
    UpstreamSnapshot snapshot;
    snapshot.id = entry.registered.id;
    snapshot.softwareVersion = entry.softwareVersion();
    snapshot.residency = engine.report.residency;
    snapshot.copies = engine.report.copies;
    snapshot.pendingAdapters = engine.report.pendingAdapters;
    snapshot.isUsable = !entry.isLeaving() && !entry.missingSince && engine.hasReport
                        && engine.failedReportsInRow < this->settings.maxFailedReports
                        && !engine.isSuspected && !engine.process.isReplaced(entry.registered, now)
                        && !this->gateway.upstreamLimits.isScarce(entry.process());
    snapshot.busyUntil = engine.busyUntil;
    snapshot.loading = engine.loading.target.model;
    snapshot.isReady = snapshot.isUsable && !engine.isOrderInFlight && engine.busyUntil <= now
                       && engine.nextOrderAfter <= now
                       && !this->gateway.pauses.isPaused(entry.process(), now)
                       && engine.loading.target.model.isEmpty() && !engine.isReportedBusy;
    snapshot.running = engine.report.load.running;
    return snapshot;
}

void PlacementDriver::requestReportIfDue(const gateway::UpstreamTable::Entry &entry, Engine &engine,
                                         TimePoint now)
{
    if (engine.isReportRequested || engine.isOrderInFlight
        || this->gateway.pauses.isPaused(entry.process(), now))
        return;
    // What answers in place of a replaced process says nothing new of it.
    const bool isStateUncertain
            = !engine.process.isReplaced(entry.registered, now)
              && (!engine.hasReport || !engine.isLastOrderConfirmed || engine.isReportedBusy
                  || engine.isSuspected || engine.failedReportsInRow > 0);
    Duration interval = isStateUncertain ? this->settings.urgentReportInterval
                                         : this->settings.reportInterval;
    if (!isStateUncertain && engine.report.load.waiting > 0)
        interval = this->settings.queuedReportInterval;
    if (engine.reportRequestedAt != TimePoint() && now < engine.reportRequestedAt + interval)
        return;
    engine.isReportRequested = true;
    engine.reportRequestedAt = now;
    boost::asio::co_spawn(this->loop, this->requestReport(entry.registered), boost::asio::detached);
}

upstream::Awaitable<void> PlacementDriver::requestReport(gateway::RegisteredUpstream upstream)
{
    const TimePoint begunAt = steadyNow();
    Result<EngineReport> report = co_await this->port.report(upstream);
    // A report that comes shows nothing: its connection may be older than a cut.
    if (!report && report.error().kind() == ErrorKind::UpstreamUnavailable)
        this->gateway.forwardingDriver().recordFailure(upstream.service, begunAt);
    const auto found = this->engines.find(upstream.id);
    if (found == this->engines.end())
        co_return;
    Engine &engine = found->second;
    engine.isReportRequested = false;
    if (!report) {
        ++engine.failedReportsInRow;
        logEvent(LogLevel::Warning, "engine report request failed; retrying",
                 {{"upstream", upstream.id.value()}, {"error", report.error().message()}});
        co_return;
    }
    engine.failedReportsInRow = 0;
    engine.isSuspected = false;
    const gateway::UpstreamTable::Entry *entry = this->gateway.table.find(upstream.id);
    const gateway::RegisteredUpstream &registered = entry != nullptr ? entry->registered : upstream;
    const gateway::ResidencyVersion &reported = report.value().residency.version;
    const TimePoint now = steadyNow();
    engine.process.recordReport(registered, reported.startedAt, now);
    if (engine.process.isReplaced(registered, now)) {
        // What the later process says before its registration is known may still change.
        this->discardReplaced(upstream.id, engine, {reported.startedAt, 0, false});
        co_return;
    }
    this->applyReport(upstream.id, engine, std::move(report).value(), now);
}

/// Drops what was known of an engine whose registered process is gone, and tells the instances that
/// it holds nothing.
void PlacementDriver::discardReplaced(const UpstreamId &id, Engine &engine,
                                      const gateway::ResidencyVersion &version)
{
    if (engine.hasReport)
        logEvent(LogLevel::Warning, "another process answers at the engine's address",
                 {{"upstream", id.value()}});
    engine.hasReport = false;
    engine.report = {};
    engine.report.residency.version = std::max(version, engine.sentResidency.version);
    engine.loading = {};
    engine.busyUntil = {};
    engine.isLastOrderConfirmed = true;
    engine.isReportedBusy = false;
    engine.conflictsInRow = 0;
    this->publishKnownResidency(id, engine);
}

void PlacementDriver::applyReport(const UpstreamId &id, Engine &engine, EngineReport report,
                                  TimePoint now)
{
    engine.report.load = report.load;
    const gateway::ResidencyVersion &reportedVersion = report.residency.version;
    const gateway::ResidencyVersion &knownVersion = engine.report.residency.version;
    const bool isOlder = engine.hasReport
                         && (reportedVersion.startedAt < knownVersion.startedAt
                             || (reportedVersion.startedAt == knownVersion.startedAt
                                 && reportedVersion.acceptedOrders < knownVersion.acceptedOrders));
    if (engine.isOrderInFlight
        || (isOlder && now < engine.orderAnsweredAt + this->settings.staleReportTime))
        return;
    const bool isSameOrderCount = engine.hasReport
                                  && reportedVersion.startedAt == knownVersion.startedAt
                                  && reportedVersion.acceptedOrders == knownVersion.acceptedOrders;
    engine.isReportedBusy = !reportedVersion.isSettled;
    if (isSameOrderCount && !reportedVersion.isSettled) {
        // The effect of this order is already applied to the known state; only its end is open.
        engine.report.load = report.load;
        return;
    }
    if (!engine.hasReport || engine.report.residency.models != report.residency.models)
        this->logReport(id, report);
    engine.report = std::move(report);
    engine.hasReport = true;
    engine.conflictsInRow = 0;
    if (!engine.report.residency.version.isSettled)
        return;
    engine.isLastOrderConfirmed = true;
    if (!engine.loading.target.model.isEmpty()) {
        // The load is over, whether it succeeded or not.
        if (engine.loading.source == WeightSource::Store)
            this->recordStoreLoadEnd(id, engine, now);
        engine.loading = {};
        engine.busyUntil = now;
    }
    this->publishResidency(id, engine);
}

void PlacementDriver::logReport(const UpstreamId &id, const EngineReport &report) const
{
    std::string models;
    for (const gateway::ResidentModel &model : report.residency.models)
        models += fmt::format("{}{}+{}", models.empty() ? "" : " ", model.model.value(),
                              model.adapters.size());
    logEvent(LogLevel::Info, "engine reported its models",
             {{"upstream", id.value()},
              {"accepted_orders", std::to_string(report.residency.version.acceptedOrders)},
              {"settled", report.residency.version.isSettled ? "yes" : "no"},
              {"models", models},
              {"in_memory", std::to_string(report.copies.inMemory.size())},
              {"on_disk", std::to_string(report.copies.onDisk.size())},
              {"running", std::to_string(report.load.running)}});
}

/// Assumes a load to be complete when its expected time has passed; a report confirms it later.
void PlacementDriver::assumeLoadComplete(const UpstreamId &id, Engine &engine, TimePoint now)
{
    if (engine.loading.target.model.isEmpty() || engine.isOrderInFlight)
        return;
    const PlannedOrder loading = engine.loading;
    if (loading.source == WeightSource::Store) {
        // Takes longer while many loads run, so only a report shows the end.
        if (now < engine.busyUntil)
            return;
        engine.isLastOrderConfirmed = false;
        if (now > engine.orderAnsweredAt + maxStoreLoadFactor * loading.expected) {
            this->recordStoreLoadEnd(id, engine, now);
            engine.loading = {};
        }
        return;
    }
    if (now < engine.busyUntil + this->settings.loadCompletionMargin)
        return;
    this->applyToResidency(loading, engine.report.residency);
    engine.loading = {};
    engine.isLastOrderConfirmed = false;
    this->publishResidency(id, engine);
}

/// Passes the duration of a load to the planner, which adapts to the weight store's speed.
void PlacementDriver::recordStoreLoadEnd(const UpstreamId &id, const Engine &engine, TimePoint now)
{
    const gateway::UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (entry == nullptr)
        return;
    const PlannedOrder &loading = engine.loading;
    const Duration took = now - engine.orderAnsweredAt;
    this->pools[entry->registered.service].planner.recordStoreLoadTime(took, loading.expected);
    logEvent(LogLevel::Info, "weight store load ended",
             {{"upstream", id.value()},
              {"target", targetName(loading.target)},
              {"took_ms", std::to_string(took.count() / 1000)},
              {"expected_ms", std::to_string(loading.expected.count() / 1000)}});
}

void PlacementDriver::applyToResidency(const PlannedOrder &planned,
                                       gateway::Residency &residency) const
{
    const Target &target = planned.target;
    auto &models = residency.models;
    const auto resident = std::find_if(models.begin(), models.end(), [&target](const auto &model) {
        return model.model == target.model;
    });
    if (target.adapter.isEmpty()) {
        if (planned.operation == OrderOperation::Unload && resident != models.end())
            models.erase(resident);
        else if (planned.operation == OrderOperation::Load && resident == models.end())
            models.push_back({target.model, {}});
        return;
    }
    if (resident == models.end())
        return;
    std::erase(resident->adapters, target.adapter);
    if (planned.operation == OrderOperation::Load)
        resident->adapters.push_back(target.adapter);
}

upstream::Awaitable<void> PlacementDriver::sendOrder(PlannedOrder planned,
                                                     gateway::RegisteredUpstream upstream)
{
    Engine &engine = this->engines[upstream.id];
    EngineOrder order;
    order.operation = planned.operation;
    order.target = planned.target;
    order.acceptedOrders = engine.report.residency.version.acceptedOrders;
    order.holder = this->self;
    order.fence = this->election.fence();
    const TimePoint begunAt = steadyNow();
    const OrderAnswer answer = co_await this->port.order(upstream, order);
    if (answer == OrderAnswer::NotSent && this->election.maySendOrders())
        this->gateway.forwardingDriver().recordFailure(upstream.service, begunAt);
    else if (answer != OrderAnswer::Unknown && answer != OrderAnswer::NotSent)
        this->gateway.forwardingDriver().recordAnswer(upstream.service, begunAt);
    this->handleOrderAnswer(planned, upstream, engine, order, answer);
}

void PlacementDriver::handleOrderAnswer(const PlannedOrder &planned,
                                        const gateway::RegisteredUpstream &registered,
                                        Engine &engine, const EngineOrder &order,
                                        OrderAnswer answer)
{
    const UpstreamId &upstream = registered.id;
    const TimePoint now = steadyNow();
    engine.isOrderInFlight = false;
    engine.orderAnsweredAt = now;
    this->metrics
            .counter("bamboochute_orders_total",
                     fmt::format("answer=\"{}\"", orderAnswerName(answer)))
            .add();
    logEvent(LogLevel::Info, "order",
             {{"upstream", upstream.value()},
              {"operation", planned.operation == OrderOperation::Load ? "load" : "unload"},
              {"target", targetName(planned.target)},
              {"source", std::string(weightSourceName(planned.source))},
              {"expected_ms", std::to_string(planned.expected.count() / 1000)},
              {"accepted_orders", std::to_string(order.acceptedOrders)},
              {"fence", std::to_string(order.fence.value())},
              {"answer", std::string(orderAnswerName(answer))},
              {"reason", std::string(planned.reason)}});
    switch (answer) {
    case OrderAnswer::Accepted:
        this->applyAcceptedOrder(planned, engine, now);
        break;
    case OrderAnswer::AlreadyHolds:
        if (!planned.target.adapter.isEmpty())
            this->applyAcceptedOrder(planned, engine, now);
        engine.isLastOrderConfirmed = false;
        break;
    case OrderAnswer::Conflict:
        ++engine.conflictsInRow;
        engine.nextOrderAfter = now + this->settings.conflictRetryDelay;
        engine.isReportedBusy = engine.conflictsInRow >= this->settings.maxConflicts;
        break;
    case OrderAnswer::Fenced:
        this->election.handleFencedOrder();
        break;
    case OrderAnswer::OtherProcess:
        engine.process.recordOtherProcess(registered);
        engine.nextOrderAfter = now + this->settings.urgentReportInterval;
        this->discardReplaced(registered.id, engine, engine.report.residency.version);
        break;
    case OrderAnswer::Refused:
    case OrderAnswer::Unknown:
    case OrderAnswer::NotSent:
        // What the engine holds is uncertain: no order until it has reported.
        engine.hasReport = false;
        engine.nextOrderAfter = now + this->settings.urgentReportInterval;
        break;
    }
    if (!planned.target.adapter.isEmpty() && planned.operation == OrderOperation::Load) {
        // Not before the adapter is expected: the engine would refuse requests that come earlier.
        boost::asio::co_spawn(this->loop,
                              this->publishResidencyAt(upstream, now + planned.expected),
                              boost::asio::detached);
    } else {
        this->publishResidency(upstream, engine);
    }
    this->wake.notifyAll();
}

upstream::Awaitable<void> PlacementDriver::publishResidencyAt(UpstreamId id, TimePoint time)
{
    co_await this->publishTimer.wait(time);
    const auto found = this->engines.find(id);
    if (found != this->engines.end())
        this->publishResidency(id, found->second);
}

void PlacementDriver::applyAcceptedOrder(const PlannedOrder &planned, Engine &engine, TimePoint now)
{
    gateway::ResidencyVersion &version = engine.report.residency.version;
    ++version.acceptedOrders;
    version.isSettled = true;
    engine.conflictsInRow = 0;
    engine.isReportedBusy = false;
    engine.isLastOrderConfirmed = !planned.target.adapter.isEmpty();
    const auto found = this->gateway.table.find(planned.upstream);
    if (found != nullptr)
        this->pools[found->registered.service].planner.recordAcceptedOrder(planned, now);
    if (planned.target.adapter.isEmpty() && planned.operation == OrderOperation::Load) {
        engine.loading = planned;
        engine.busyUntil = now + planned.expected;
        return;
    }
    this->applyToResidency(planned, engine.report.residency);
    if (planned.target.adapter.isEmpty())
        engine.busyUntil = now + (engine.report.load.running > 0 ? busyUnloadTime : Duration(0))
                           + planned.expected;
}

void PlacementDriver::publishResidency(const UpstreamId &id, Engine &engine)
{
    if (engine.hasReport)
        this->publishKnownResidency(id, engine);
}

void PlacementDriver::publishKnownResidency(const UpstreamId &id, Engine &engine)
{
    this->gateway.table.updateResidency(id, engine.report.residency, steadyNow());
    this->gateway.notifyChange();
    if (engine.sentResidency == engine.report.residency)
        return;
    engine.sentResidency = engine.report.residency;
    engine.resendAt = steadyNow() + this->settings.residencyRepeatDelay;
    this->sendResidency(id, engine);
}

void PlacementDriver::sendResidency(const UpstreamId &id, const Engine &engine)
{
    OwnerMessage update = this->makeMessage();
    update.residencies.push_back({id, engine.report.residency});
    this->broadcast(update);
}

/// Sends each instance the expected times of the targets that its requests wait for.
void PlacementDriver::sendPromises(const gateway::ServiceId &service, const Pool &pool,
                                   TimePoint now)
{
    const auto collectPromises = [&](const InstanceId &instance) {
        std::vector<PromisedTarget> promises;
        for (const VersionedTarget &wanted : pool.demand.waitingTargetsAt(instance)) {
            const std::optional<TimePoint> ready
                    = pool.planner.readyAt(wanted.target, wanted.version);
            if (ready)
                promises.push_back({{service, wanted.target, wanted.version},
                                    std::max(Duration(0), *ready - now)});
        }
        return promises;
    };
    for (const PromisedTarget &promise : collectPromises(this->self)) {
        this->gateway.demand.recordPromise(promise.target, {now + promise.readyIn, now});
        this->gateway.notifyChange();
    }
    for (const auto &[instance, reportingInstance] : this->reportingInstances) {
        if (instance == this->self)
            continue;
        OwnerMessage update = this->makeMessage();
        update.promises = collectPromises(instance);
        if (!update.promises.empty())
            this->send({reportingInstance.endpoint}, update);
    }
}

void PlacementDriver::forwardChange(ForwardedChange change)
{
    if (!this->election.isOwner()
        || this->repeatedChanges.size() >= this->settings.maxForwardedChanges)
        return;
    OwnerMessage update = this->makeMessage();
    update.changes.push_back(change);
    this->broadcast(update);
    this->repeatedChanges.push_back({std::move(change), steadyNow()});
}

void PlacementDriver::sendWatchProgress(TimePoint now)
{
    this->watchProgressSentAt = now;
    std::erase_if(this->repeatedChanges, [&](const RepeatedChange &one) {
        return one.forwardedAt + this->settings.forwardRepeatTime < now;
    });
    OwnerMessage repetition = this->makeMessage();
    for (const RepeatedChange &one : this->repeatedChanges)
        repetition.changes.push_back(one.change);
    if (!repetition.changes.empty())
        this->broadcast(repetition);
    OwnerMessage update = this->makeMessage();
    update.watchProgress = this->watchProgress ? this->watchProgress() : std::nullopt;
    if (update.watchProgress)
        this->broadcast(update);
}

void PlacementDriver::sendLoads(TimePoint now)
{
    this->loadsSentAt = now;
    OwnerMessage update = this->makeMessage();
    // All instances report within this time, so that a lower number would be too low.
    if (this->messagesBegunAt + this->settings.instanceCountDelay <= now)
        update.instanceCount = static_cast<std::uint32_t>(
                std::max<std::size_t>(1, this->reportingInstances.size()));
    this->gateway.setInstanceCount(update.instanceCount);
    for (const auto &[id, engine] : this->engines) {
        if (!engine.hasReport)
            continue;
        this->gateway.table.updateLoad(id, engine.report.load, now);
        update.loads.push_back({id, engine.report.load});
    }
    update.instances = this->listInstances();
    this->broadcast(update);
    this->announceOwnership(update, now);
}

/// Sends a message to instances that have not reported to this owner although a former one listed
/// them.
void PlacementDriver::announceOwnership(const OwnerMessage &message, TimePoint now)
{
    if (!this->knownInstances || now >= this->messagesBegunAt + this->settings.announcementTime)
        return;
    std::vector<Endpoint> strangers = this->knownInstances();
    const std::vector<Endpoint> reporting = this->listInstances();
    std::erase_if(strangers, [&reporting](const Endpoint &endpoint) {
        return std::find(reporting.begin(), reporting.end(), endpoint) != reporting.end();
    });
    if (!strangers.empty())
        this->send(strangers, message);
}

/// Addresses of the instances that report to this one, and its own.
std::vector<Endpoint> PlacementDriver::listInstances() const
{
    std::vector<Endpoint> instances;
    for (const auto &[instance, reportingInstance] : this->reportingInstances)
        instances.push_back(reportingInstance.endpoint);
    return instances;
}

void PlacementDriver::broadcast(const OwnerMessage &message)
{
    std::vector<Endpoint> receivers;
    for (const auto &[instance, reportingInstance] : this->reportingInstances) {
        if (instance != this->self)
            receivers.push_back(reportingInstance.endpoint);
    }
    this->send(receivers, message);
}

OwnerMessage PlacementDriver::makeMessage() const
{
    OwnerMessage message;
    message.fence = this->election.fence();
    return message;
}

} // namespace bamboochute::residency
