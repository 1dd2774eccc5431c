#include "residency/placement_driver.hpp"

#include "core/log.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::residency {

namespace {

/// An instance that sent nothing for this long gets no messages.
constexpr Duration listenerMemory = std::chrono::seconds(4);
/// Pause between looks while another instance is the owner.
constexpr Duration idlePause = std::chrono::seconds(1);
/// Time that an unload takes longer while requests run on the engine.
constexpr Duration busyUnloadTime = std::chrono::milliseconds(50);
/// A load from the weight store is given up after this many times its time at full speed.
constexpr int longestLoads = 4;

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
                                 Metrics &metrics, DriverLimits limits)
    : loop(loop)
    , gateway(gateway)
    , election(election)
    , port(std::move(port))
    , self(std::move(self))
    , metrics(metrics)
    , limits(limits)
    , wake(loop)
    , settle(loop)
{}

void PlacementDriver::start()
{
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
}

void PlacementDriver::receive(const DemandMessage &message, const Endpoint &from)
{
    const TimePoint now = steadyNow();
    this->listeners[message.sender] = Listener{from, now};
    std::map<gateway::ServiceId, std::vector<gateway::TargetDemand>> byService;
    for (auto &[service, pool] : this->pools)
        byService[service];
    bool isAnyWaiting = false;
    for (const gateway::TargetDemand &demand : message.demand) {
        byService[demand.target.service].push_back(demand);
        isAnyWaiting = isAnyWaiting || demand.waiting > 0;
    }
    for (const auto &[service, demand] : byService)
        this->pools[service].demand.report(message.sender, demand, message.isContinuation, now);
    for (const UpstreamId &id : message.suspected) {
        this->gateway.health.recordSuspicion(id, gateway::HealthLimits().firstPause, now);
        const auto engine = this->engines.find(id);
        if (engine != this->engines.end())
            engine->second.isDoubted = true;
    }
    if (!message.suspected.empty()) {
        OwnerMessage news = this->message();
        news.suspected = message.suspected;
        this->tellAll(news);
    }
    if (isAnyWaiting)
        this->wake.notifyAll();
}

upstream::Awaitable<void> PlacementDriver::run()
{
    while (!this->isStopped) {
        const bool isOwner = this->election.isOwner();
        if (this->election.mayOrder())
            this->tick();
        if (isOwner)
            this->tell();
        const Duration pause = isOwner ? this->limits.tickInterval : idlePause;
        co_await this->wake.wait(steadyNow() + pause);
    }
}

void PlacementDriver::tick()
{
    const TimePoint now = steadyNow();
    if (this->term != this->election.fence()) {
        this->term = this->election.fence();
        for (auto &[id, engine] : this->engines) {
            Engine fresh;
            fresh.isAsked = engine.isAsked;
            fresh.isOrderUnderWay = engine.isOrderUnderWay;
            engine = fresh;
        }
        for (auto &[service, pool] : this->pools)
            pool.planner.restart(now);
    }
    if (!this->gateway.index)
        return;
    this->forgetGone();
    for (const gateway::Service &service : this->gateway.index->configuration().services) {
        if (!service.engine)
            continue;
        Pool &pool = this->pools[service.id];
        if (pool.spec != *service.engine) {
            pool.spec = *service.engine;
            pool.planner.configure(pool.spec);
        }
        pool.demand.advance(now);
        this->tickPool(service, pool);
    }
}

/// Tells the instances what they should know at all times, also before the first order.
void PlacementDriver::tell()
{
    const TimePoint now = steadyNow();
    std::erase_if(this->listeners,
                  [now](const auto &item) { return item.second.heardAt + listenerMemory < now; });
    if (now >= this->loadsToldAt + this->limits.loadInterval)
        this->tellLoads(now);
    if (now >= this->followedToldAt + this->limits.followedInterval)
        this->tellFollowed(now);
}

void PlacementDriver::forgetGone()
{
    std::erase_if(this->engines, [this](const auto &item) {
        return this->gateway.table.find(item.first) == nullptr && !item.second.isAsked
               && !item.second.isOrderUnderWay;
    });
}

void PlacementDriver::tickPool(const gateway::Service &service, Pool &pool)
{
    const TimePoint now = steadyNow();
    std::vector<PlannedUpstream> views;
    for (const auto &[id, entry] : this->gateway.table.entries()) {
        if (entry.registered.service != service.id)
            continue;
        Engine &engine = this->engines[id];
        const std::uint64_t startedAt = entry.registered.residency.version.startedAt;
        if (engine.isReported && engine.report.residency.version.startedAt < startedAt) {
            // The process was started again: nothing of before holds.
            engine.isReported = false;
            engine.loading = {};
            engine.isEndSeen = true;
        }
        this->completeLoad(id, engine, now);
        this->askIfDue(entry, engine, now);
        if (engine.tellAgainAt && *engine.tellAgainAt <= now) {
            engine.tellAgainAt.reset();
            this->tellHeld(id, engine);
        }
        views.push_back(this->view(entry, engine, now));
    }
    for (const PlannedOrder &planned : pool.planner.plan(views, pool.demand, now)) {
        const gateway::UpstreamTable::Entry *entry = this->gateway.table.find(planned.upstream);
        this->engines[planned.upstream].isOrderUnderWay = true;
        boost::asio::co_spawn(this->loop, this->order(planned, entry->registered),
                              boost::asio::detached);
    }
    this->tellPromises(service.id, pool, now);
}

PlannedUpstream PlacementDriver::view(const gateway::UpstreamTable::Entry &entry,
                                      const Engine &engine, TimePoint now) const
{
    PlannedUpstream view;
    view.id = entry.registered.id;
    view.residency = engine.report.residency;
    view.copies = engine.report.copies;
    view.pendingAdapters = engine.report.pendingAdapters;
    view.isUsable = !entry.registered.isLeaving && !entry.missingSince && engine.isReported
                    && engine.failedReports < this->limits.failedReports && !engine.isDoubted;
    view.busyUntil = engine.busyUntil;
    view.loading = engine.loading.target.model;
    view.isReady = view.isUsable && !engine.isOrderUnderWay && engine.busyUntil <= now
                   && engine.notBefore <= now && engine.loading.target.model.isEmpty()
                   && !engine.isBusy;
    view.running = engine.report.load.running;
    return view;
}

void PlacementDriver::askIfDue(const gateway::UpstreamTable::Entry &entry, Engine &engine,
                               TimePoint now)
{
    if (engine.isAsked || engine.isOrderUnderWay)
        return;
    const bool isAwaited = !engine.isReported || !engine.isEndSeen || engine.isBusy
                           || engine.isDoubted || engine.failedReports > 0;
    Duration interval = isAwaited ? this->limits.awaitInterval : this->limits.reportInterval;
    if (!isAwaited && engine.report.load.waiting > 0)
        interval = this->limits.queueInterval;
    if (engine.askedAt != TimePoint() && now < engine.askedAt + interval)
        return;
    engine.isAsked = true;
    engine.askedAt = now;
    boost::asio::co_spawn(this->loop, this->ask(entry.registered), boost::asio::detached);
}

upstream::Awaitable<void> PlacementDriver::ask(gateway::RegisteredUpstream upstream)
{
    Result<EngineReport> report = co_await this->port.report(upstream);
    const auto found = this->engines.find(upstream.id);
    if (found == this->engines.end())
        co_return;
    Engine &engine = found->second;
    engine.isAsked = false;
    if (!report) {
        ++engine.failedReports;
        logEvent(LogLevel::Warning, "engine report failed",
                 {{"upstream", upstream.id.value()}, {"error", report.error().message()}});
        co_return;
    }
    engine.failedReports = 0;
    engine.isDoubted = false;
    this->takeReport(upstream.id, engine, std::move(report).value(), steadyNow());
}

void PlacementDriver::takeReport(const UpstreamId &id, Engine &engine, EngineReport report,
                                 TimePoint now)
{
    engine.report.load = report.load;
    const gateway::ResidencyVersion &told = report.residency.version;
    const gateway::ResidencyVersion &known = engine.report.residency.version;
    const bool isOlder = engine.isReported
                         && (told.startedAt < known.startedAt
                             || (told.startedAt == known.startedAt
                                 && told.acceptedOrders < known.acceptedOrders));
    if (engine.isOrderUnderWay || (isOlder && now < engine.orderedAt + this->limits.reportLag))
        return;
    const bool isSameOrder = engine.isReported && told.startedAt == known.startedAt
                             && told.acceptedOrders == known.acceptedOrders;
    engine.isBusy = !told.isSettled;
    if (isSameOrder && !told.isSettled) {
        // What the order changes is believed already; only its end is not known.
        engine.report.load = report.load;
        return;
    }
    if (!engine.isReported || engine.report.residency.models != report.residency.models)
        this->logReport(id, report);
    engine.report = std::move(report);
    engine.isReported = true;
    engine.conflicts = 0;
    if (!engine.report.residency.version.isSettled)
        return;
    engine.isEndSeen = true;
    if (!engine.loading.target.model.isEmpty()) {
        // The order is complete, whatever came of it.
        if (engine.loading.source == WeightSource::Store)
            this->storeLoadEnded(id, engine, now);
        engine.loading = {};
        engine.busyUntil = now;
    }
    this->publish(id, engine);
}

void PlacementDriver::logReport(const UpstreamId &id, const EngineReport &report) const
{
    std::string models;
    for (const gateway::ResidentModel &model : report.residency.models)
        models += fmt::format("{}{}+{}", models.empty() ? "" : " ", model.model.value(),
                              model.adapters.size());
    logEvent(LogLevel::Info, "engine holds",
             {{"upstream", id.value()},
              {"accepted_orders", std::to_string(report.residency.version.acceptedOrders)},
              {"settled", report.residency.version.isSettled ? "yes" : "no"},
              {"models", models},
              {"in_memory", std::to_string(report.copies.inMemory.size())},
              {"on_disk", std::to_string(report.copies.onDisk.size())},
              {"running", std::to_string(report.load.running)}});
}

/// Takes a load as complete when its time has passed; a report confirms it later.
void PlacementDriver::completeLoad(const UpstreamId &id, Engine &engine, TimePoint now)
{
    if (engine.loading.target.model.isEmpty() || engine.isOrderUnderWay)
        return;
    const PlannedOrder loading = engine.loading;
    if (loading.source == WeightSource::Store) {
        // It takes longer while many run: only a report tells the end.
        if (now < engine.busyUntil)
            return;
        engine.isEndSeen = false;
        if (now > engine.orderedAt + longestLoads * loading.expected) {
            this->storeLoadEnded(id, engine, now);
            engine.loading = {};
        }
        return;
    }
    if (now < engine.busyUntil + this->limits.loadMargin)
        return;
    this->applyOrder(loading, engine.report.residency);
    engine.loading = {};
    engine.isEndSeen = false;
    this->publish(id, engine);
}

/// Lets the planner learn how fast the weight store is.
void PlacementDriver::storeLoadEnded(const UpstreamId &id, const Engine &engine, TimePoint now)
{
    const gateway::UpstreamTable::Entry *entry = this->gateway.table.find(id);
    if (entry == nullptr)
        return;
    const PlannedOrder &loading = engine.loading;
    const Duration took = now - engine.orderedAt;
    this->pools[entry->registered.service].planner.storeLoadFinished(took, loading.expected);
    logEvent(LogLevel::Info, "weight store load ended",
             {{"upstream", id.value()},
              {"target", targetName(loading.target)},
              {"took_ms", std::to_string(took.count() / 1000)},
              {"expected_ms", std::to_string(loading.expected.count() / 1000)}});
}

void PlacementDriver::applyOrder(const PlannedOrder &planned, gateway::Residency &residency) const
{
    const Target &target = planned.target;
    auto &models = residency.models;
    const auto place = std::find_if(models.begin(), models.end(), [&target](const auto &model) {
        return model.model == target.model;
    });
    if (target.adapter.isEmpty()) {
        if (planned.operation == OrderOperation::Unload && place != models.end())
            models.erase(place);
        else if (planned.operation == OrderOperation::Load && place == models.end())
            models.push_back({target.model, {}});
        return;
    }
    if (place == models.end())
        return;
    std::erase(place->adapters, target.adapter);
    if (planned.operation == OrderOperation::Load)
        place->adapters.push_back(target.adapter);
}

upstream::Awaitable<void> PlacementDriver::order(PlannedOrder planned,
                                                 gateway::RegisteredUpstream upstream)
{
    Engine &engine = this->engines[upstream.id];
    EngineOrder order;
    order.operation = planned.operation;
    order.target = planned.target;
    order.acceptedOrders = engine.report.residency.version.acceptedOrders;
    order.holder = this->self;
    order.fence = this->election.fence();
    const OrderAnswer answer = co_await this->port.order(upstream, order);
    const TimePoint now = steadyNow();
    engine.isOrderUnderWay = false;
    engine.orderedAt = now;
    this->metrics
            .counter("bamboochute_orders_total",
                     fmt::format("answer=\"{}\"", orderAnswerName(answer)))
            .add();
    logEvent(LogLevel::Info, "order",
             {{"upstream", upstream.id.value()},
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
        this->orderAccepted(planned, engine, now);
        break;
    case OrderAnswer::AlreadyHolds:
        if (!planned.target.adapter.isEmpty())
            this->orderAccepted(planned, engine, now);
        engine.isEndSeen = false;
        break;
    case OrderAnswer::Conflict:
        ++engine.conflicts;
        engine.notBefore = now + this->limits.conflictPause;
        engine.isBusy = engine.conflicts >= this->limits.maxConflicts;
        break;
    case OrderAnswer::Fenced:
        this->election.fenced();
        break;
    case OrderAnswer::OtherProcess:
    case OrderAnswer::Refused:
    case OrderAnswer::Unknown:
    case OrderAnswer::NotSent:
        // What it holds has to be asked before the next order.
        engine.isReported = false;
        engine.notBefore = now + this->limits.awaitInterval;
        break;
    }
    if (!planned.target.adapter.isEmpty() && planned.operation == OrderOperation::Load) {
        // The adapter is on its way; a request that came before it would be refused.
        boost::asio::co_spawn(this->loop, this->publishAt(upstream.id, now + planned.expected),
                              boost::asio::detached);
    } else {
        this->publish(upstream.id, engine);
    }
    this->wake.notifyAll();
}

upstream::Awaitable<void> PlacementDriver::publishAt(UpstreamId id, TimePoint time)
{
    co_await this->settle.wait(time);
    const auto found = this->engines.find(id);
    if (found != this->engines.end())
        this->publish(id, found->second);
}

void PlacementDriver::orderAccepted(const PlannedOrder &planned, Engine &engine, TimePoint now)
{
    gateway::ResidencyVersion &version = engine.report.residency.version;
    ++version.acceptedOrders;
    version.isSettled = true;
    engine.conflicts = 0;
    engine.isBusy = false;
    engine.isEndSeen = !planned.target.adapter.isEmpty();
    const auto found = this->gateway.table.find(planned.upstream);
    if (found != nullptr)
        this->pools[found->registered.service].planner.accepted(planned, now);
    if (planned.target.adapter.isEmpty() && planned.operation == OrderOperation::Load) {
        engine.loading = planned;
        engine.busyUntil = now + planned.expected;
        return;
    }
    this->applyOrder(planned, engine.report.residency);
    if (planned.target.adapter.isEmpty())
        engine.busyUntil = now + (engine.report.load.running > 0 ? busyUnloadTime : Duration(0))
                           + planned.expected;
}

void PlacementDriver::publish(const UpstreamId &id, Engine &engine)
{
    if (!engine.isReported)
        return;
    this->gateway.table.updateResidency(id, engine.report.residency, steadyNow());
    this->gateway.notifyChange();
    if (engine.told == engine.report.residency)
        return;
    engine.told = engine.report.residency;
    engine.tellAgainAt = steadyNow() + this->limits.repeatPause;
    this->tellHeld(id, engine);
}

void PlacementDriver::tellHeld(const UpstreamId &id, const Engine &engine)
{
    OwnerMessage news = this->message();
    news.held.push_back({id, engine.report.residency});
    this->tellAll(news);
}

/// Tells each instance when the targets that its requests wait for are expected.
void PlacementDriver::tellPromises(const gateway::ServiceId &service, const Pool &pool,
                                   TimePoint now)
{
    const auto promisesFor = [&](const InstanceId &instance) {
        std::vector<PromisedTarget> promises;
        for (const Target &target : pool.demand.waitingAt(instance)) {
            const std::optional<TimePoint> ready = pool.planner.readyAt(target);
            if (ready)
                promises.push_back({{service, target}, std::max(Duration(0), *ready - now)});
        }
        return promises;
    };
    for (const PromisedTarget &promise : promisesFor(this->self)) {
        this->gateway.demand.recordPromise(promise.target, {now + promise.readyIn, now});
        this->gateway.notifyChange();
    }
    for (const auto &[instance, listener] : this->listeners) {
        if (instance == this->self)
            continue;
        OwnerMessage news = this->message();
        news.promises = promisesFor(instance);
        if (!news.promises.empty())
            this->send({listener.endpoint}, news);
    }
}

void PlacementDriver::forward(ForwardedChange change)
{
    if (!this->election.isOwner() || this->forwarded.size() >= this->limits.forwardedAtOnce)
        return;
    OwnerMessage news = this->message();
    news.changes.push_back(change);
    this->tellAll(news);
    this->forwarded.push_back({std::move(change), steadyNow()});
}

void PlacementDriver::tellFollowed(TimePoint now)
{
    this->followedToldAt = now;
    std::erase_if(this->forwarded,
                  [&](const Forwarded &one) { return one.since + this->limits.forwardTime < now; });
    OwnerMessage again = this->message();
    for (const Forwarded &one : this->forwarded)
        again.changes.push_back(one.change);
    if (!again.changes.empty())
        this->tellAll(again);
    OwnerMessage news = this->message();
    news.followed = this->followed ? this->followed() : std::nullopt;
    if (news.followed)
        this->tellAll(news);
}

void PlacementDriver::tellLoads(TimePoint now)
{
    this->loadsToldAt = now;
    OwnerMessage news = this->message();
    news.instances = static_cast<std::uint32_t>(std::max<std::size_t>(1, this->listeners.size()));
    this->gateway.budget.setInstanceCount(news.instances);
    for (const auto &[id, engine] : this->engines) {
        if (!engine.isReported)
            continue;
        this->gateway.table.updateLoad(id, engine.report.load, now);
        news.loads.push_back({id, engine.report.load});
    }
    this->tellAll(news);
}

void PlacementDriver::tellAll(const OwnerMessage &message)
{
    std::vector<Endpoint> receivers;
    for (const auto &[instance, listener] : this->listeners) {
        if (instance != this->self)
            receivers.push_back(listener.endpoint);
    }
    this->send(receivers, message);
}

OwnerMessage PlacementDriver::message() const
{
    OwnerMessage message;
    message.fence = this->election.fence();
    return message;
}

} // namespace bamboochute::residency
