/// @file
/// @brief Randomised runs of twelve pool controllers with single faults and pairs of faults.
#pragma once

#include "decision_world.hpp"
#include "random_run.hpp"

#include <array>
#include <string_view>

namespace bamboochute::bench {

/// @brief Kinds of faults that a run may inject.
enum class Fault {
    None,
    KillOwner,
    KillAny,
    PauseOwner,
    PauseAny,
    SlowStore,
    ReclaimEngine,
    KeyValueDown,
    KeyValueSlow,
    KeyValueAnswersLost,
    OrderAnswersLost,
    LateOrders,
    MessagesLost,
    FalseReports,
    LyingEngine,
    Reconfigure,
    GracefulStop,
    DataCentreLost,
    FalseSuspicion,
};

constexpr std::size_t faultCount = 19;

inline std::string_view faultName(Fault fault)
{
    constexpr std::array<std::string_view, faultCount> names{
            "none",
            "kill owner",
            "kill any",
            "pause owner",
            "pause any",
            "slow store",
            "reclaim engine",
            "key-value service down",
            "key-value service slow",
            "key-value answers lost",
            "order answers lost",
            "late orders",
            "messages lost",
            "false reports",
            "lying engine",
            "reconfigure",
            "graceful stop",
            "data centre lost",
            "false suspicion",
    };
    return names[static_cast<std::size_t>(fault)];
}

/// @brief Returns the pair of faults of a seed; consecutive seeds go through all single faults and
/// all pairs.
inline std::pair<Fault, Fault> faultsOf(std::uint64_t seed)
{
    std::uint64_t index = seed % (faultCount * (faultCount + 1) / 2);
    for (std::size_t first = 0; first < faultCount; ++first) {
        const std::size_t row = faultCount - first;
        if (index < row)
            return {static_cast<Fault>(first), static_cast<Fault>(first + index)};
        index -= row;
    }
    return {Fault::None, Fault::None};
}

/// @brief Returns a small deployment whose engines either refuse or ignore stale fencing numbers.
inline Configuration randomConfiguration(Random &random)
{
    Deployment deployment;
    deployment.id = DeploymentId("d");
    deployment.store = StoreLimits{3.0, 4, 4};
    for (int i = 0; i < 8; ++i) {
        ModelSpec model;
        model.id = ModelId(fmt::format("m{}", i));
        model.memory = Bytes{6 + random.below(5)};
        model.maxReplicas = 1 + static_cast<std::uint32_t>(random.below(2));
        deployment.models.push_back(model);
    }
    for (int i = 0; i < 5; ++i) {
        AdapterSpec adapter;
        adapter.id = AdapterId(fmt::format("a{}", i));
        adapter.base = ModelId(fmt::format("m{}", random.below(8)));
        adapter.memory = Bytes{1};
        deployment.adapters.push_back(adapter);
    }
    for (int i = 0; i < 6; ++i) {
        UpstreamSpec upstream;
        upstream.id = UpstreamId(fmt::format("w{}", i));
        upstream.pool = PoolId("pool");
        upstream.dataCentre = DataCentreId(fmt::format("dc{}", i % 3));
        upstream.fencing = random.chance(0.5) ? Fencing::Refuses : Fencing::Ignores;
        upstream.memory = Bytes{14 + random.below(10)};
        deployment.upstreams.push_back(upstream);
    }
    Configuration configuration;
    configuration.revision = Revision(1);
    configuration.deployments.push_back(std::move(deployment));
    return configuration;
}

/// @brief Simulates the callers and faults of one seed against a simulated pool.
class RandomDecisionRun
{
public:
    RandomDecisionRun(const RandomRunRequest &request, std::pair<Fault, Fault> faults,
                      Defect defect)
        : request(request)
        , faults(faults)
        , random(request.seed * 7919 + 1)
        , world(this->settingsFor(defect))
    {
        this->world.refused
                = [this](const decision::RefuseDemand &refusal) { this->handleRefusal(refusal); };
    }

    RandomRunResult run()
    {
        RandomRunResult result;
        try {
            this->start();
            const std::uint64_t faultSteps = this->request.steps * 3 / 4;
            this->runSteps(faultSteps);
            this->endFaults();
            this->runSteps(this->request.steps);
            this->checkRecovery();
        } catch (const InvariantBroken &broken) {
            this->world.fail(broken.what());
        }
        result.steps = this->world.eventsHandled;
        result.failure = this->world.failure;
        if (!result.failure.empty())
            result.failure = fmt::format("[{} + {}] {}", faultName(this->faults.first),
                                         faultName(this->faults.second), result.failure);
        result.trace = this->world.trace;
        result.counts = this->counts();
        return result;
    }

    World &theWorld() { return this->world; }

private:
    struct Waiter
    {
        std::uint32_t waiting = 0;
        TimePoint deadline;
    };

    WorldSettings settingsFor(Defect defect)
    {
        WorldSettings settings;
        settings.seed = this->request.seed;
        settings.configuration = randomConfiguration(this->random);
        settings.policy.fixedKeepAlive = std::chrono::seconds(6);
        settings.policy.keepAlive = decision::KeepAlive::Fixed;
        settings.policy.minResidency = std::chrono::seconds(3);
        settings.policy.reportLag = std::chrono::seconds(4);
        settings.policy.assumedLoadTime = std::chrono::seconds(2);
        settings.loads.remote = std::chrono::seconds(2);
        settings.loads.disk = std::chrono::seconds(1);
        settings.defect = defect;
        settings.isTraced = this->request.isTraced;
        return settings;
    }

    void start()
    {
        this->scheduleArrivals();
        this->repeatDemand();
        this->scheduleFault(this->faults.first);
        if (this->faults.second != this->faults.first)
            this->scheduleFault(this->faults.second);
    }

    void runSteps(std::uint64_t steps)
    {
        while (this->world.failure.empty() && this->world.eventsHandled < steps) {
            if (!this->world.scheduler.step())
                break;
        }
    }

    Target randomTarget()
    {
        const Deployment &deployment = this->world.settings.configuration.deployments.front();
        if (this->random.chance(0.3)) {
            const AdapterSpec &adapter
                    = deployment.adapters[this->random.below(deployment.adapters.size())];
            return Target{adapter.base, adapter.id};
        }
        return Target{deployment.models[this->random.below(deployment.models.size())].id, {}};
    }

    void scheduleArrivals()
    {
        const Target target = this->randomTarget();
        // One arrival in ten is a burst that reaches all instances at once.
        const bool isBurst = this->random.chance(0.1);
        for (InstanceFake &instance : this->world.instances) {
            if (!isBurst && !this->random.chance(0.1))
                continue;
            this->requestTarget(instance, target);
        }
        this->world.scheduler.after(
                Duration(static_cast<std::int64_t>(this->random.exponential(400000.0))),
                [this] { this->scheduleArrivals(); });
    }

    void requestTarget(InstanceFake &instance, const Target &target)
    {
        const TimePoint now = this->world.scheduler.now();
        if (this->world.isRouted(target)) {
            this->recordUse(instance, target);
            return;
        }
        Waiter &waiter = this->waiters[{instance.id, target}];
        ++waiter.waiting;
        waiter.deadline = now + Duration(1000000 + this->random.below(20000000));
        this->report(instance.id, target, waiter);
    }

    void recordUse(InstanceFake &instance, const Target &target)
    {
        for (const UpstreamId &upstream : this->world.routesOf(target)) {
            InstanceFake *owner = this->world.announcedOwner();
            if (owner == nullptr)
                return;
            const EngineFake &engine = *this->world.engines.at(upstream);
            if (engine.isAlive && !engine.isLoaded(target)) {
                this->world.tell(*owner, decision::ReplicaFailed{upstream, target});
                continue;
            }
            this->world.tell(*owner, decision::UsageReported{instance.id, upstream, target, 1, 0,
                                                             this->world.scheduler.now()});
            ++this->served;
            return;
        }
    }

    void report(const InstanceId &instance, const Target &target, const Waiter &waiter)
    {
        this->world.demand(
                decision::DemandReported{instance, target, waiter.waiting, waiter.deadline, 1, {}});
    }

    void repeatDemand()
    {
        const TimePoint now = this->world.scheduler.now();
        for (auto each = this->waiters.begin(); each != this->waiters.end();) {
            const auto &[instance, target] = each->first;
            const bool isServed = this->world.isRouted(target);
            if (isServed)
                this->recordUse(*this->world.find(instance), target);
            if (isServed || each->second.deadline < now) {
                this->report(instance, target, Waiter{});
                each = this->waiters.erase(each);
                continue;
            }
            this->report(instance, target, each->second);
            ++each;
        }
        this->world.scheduler.after(std::chrono::seconds(1), [this] { this->repeatDemand(); });
    }

    void handleRefusal(const decision::RefuseDemand &refusal)
    {
        ++this->refusals;
        std::erase_if(this->waiters, [&](const auto &each) {
            return each.first.second == refusal.target
                   && each.second.deadline < refusal.deadlineBefore;
        });
    }

    void scheduleFault(Fault fault)
    {
        if (fault == Fault::None)
            return;
        const Duration wait(2000000 + this->random.below(12000000));
        this->world.scheduler.after(wait, [this, fault] {
            if (this->areFaultsOver)
                return;
            this->world.note("fault: {}", faultName(fault));
            ++this->injectedFaults;
            this->injectFault(fault);
            this->scheduleFault(fault);
        });
    }

    void scheduleWithin(std::uint64_t maxSeconds, std::function<void()> callback)
    {
        this->world.scheduler.after(Duration(200000 + this->random.below(maxSeconds * 1000000)),
                                    std::move(callback));
    }

    InstanceFake &randomInstance()
    {
        return this->world.instances[this->random.below(this->world.instances.size())];
    }

    InstanceFake &ownerOrRandomInstance()
    {
        InstanceFake *owner = this->world.announcedOwner();
        return owner != nullptr ? *owner : this->randomInstance();
    }

    UpstreamId randomUpstream()
    {
        auto engine = this->world.engines.begin();
        std::advance(engine,
                     static_cast<std::ptrdiff_t>(this->random.below(this->world.engines.size())));
        return engine->first;
    }

    /// Injects a fault: with probability 0.5 between the decision of an order and its sending,
    /// otherwise at once.
    void injectAtOrder(const std::function<void(InstanceFake &)> &fault)
    {
        if (this->random.chance(0.5))
            this->world.atNextOrder = fault;
        else
            fault(this->ownerOrRandomInstance());
    }

    void killFor(InstanceFake &instance, std::uint64_t seconds)
    {
        if (!instance.isAlive)
            return;
        this->world.kill(instance);
        this->scheduleWithin(seconds, [this, &instance] {
            if (!instance.isAlive)
                this->world.restart(instance);
        });
    }

    void pauseFor(InstanceFake &instance, std::uint64_t seconds)
    {
        if (!instance.isAlive || instance.isPaused)
            return;
        this->world.pause(instance);
        this->scheduleWithin(seconds, [this, &instance] { this->world.resume(instance); });
    }

    void reclaimFor(const UpstreamId &upstream, std::uint64_t seconds)
    {
        this->world.tellAll(decision::UpstreamLeaving{upstream});
        this->scheduleWithin(3, [this, upstream, seconds] {
            this->world.killEngine(upstream);
            this->scheduleWithin(seconds,
                                 [this, upstream] { this->world.restartEngine(upstream); });
        });
    }

    void injectFault(Fault fault)
    {
        switch (fault) {
        case Fault::None:
            break;
        case Fault::KillOwner:
            this->injectAtOrder([this](InstanceFake &owner) { this->killFor(owner, 10); });
            break;
        case Fault::KillAny:
            this->killFor(this->randomInstance(), 10);
            break;
        case Fault::PauseOwner:
            this->injectAtOrder([this](InstanceFake &owner) { this->pauseFor(owner, 40); });
            break;
        case Fault::PauseAny:
            this->pauseFor(this->randomInstance(), 40);
            break;
        case Fault::SlowStore:
            this->world.store.slowness = 1.0 + static_cast<double>(this->random.below(8));
            break;
        case Fault::ReclaimEngine:
            this->reclaimFor(this->randomUpstream(), 8);
            break;
        case Fault::KeyValueDown:
            this->world.keyValue.isDown = true;
            this->scheduleWithin(20, [this] { this->world.keyValue.isDown = false; });
            break;
        case Fault::KeyValueSlow:
            this->world.keyValue.isSlow = true;
            this->scheduleWithin(20, [this] { this->world.keyValue.isSlow = false; });
            break;
        case Fault::KeyValueAnswersLost:
            this->world.keyValue.lostAnswers = 0.4;
            this->scheduleWithin(15, [this] { this->world.keyValue.lostAnswers = 0.0; });
            break;
        case Fault::OrderAnswersLost:
            this->world.faults.lostAnswers = 0.3;
            this->scheduleWithin(15, [this] { this->world.faults.lostAnswers = 0.0; });
            break;
        case Fault::LateOrders:
            this->world.faults.lateOrders = 0.3;
            this->scheduleWithin(15, [this] { this->world.faults.lateOrders = 0.0; });
            break;
        case Fault::MessagesLost:
            this->world.faults.lostMessages = 0.5;
            break;
        case Fault::FalseReports:
            this->world.reportFault
                    = [this](decision::ReportReceived &report) { this->falsifyReport(report); };
            break;
        case Fault::LyingEngine: {
            EngineFake &engine = *this->world.engines.at(this->randomUpstream());
            engine.isLying = true;
            this->scheduleWithin(15, [&engine] { engine.isLying = false; });
            break;
        }
        case Fault::Reconfigure:
            this->reconfigure();
            break;
        case Fault::GracefulStop:
            this->stopGracefully(this->ownerOrRandomInstance());
            break;
        case Fault::DataCentreLost:
            this->loseDataCentre();
            break;
        case Fault::FalseSuspicion:
            this->suspectFalsely();
            break;
        }
    }

    void falsifyReport(decision::ReportReceived &report)
    {
        if (this->random.chance(0.3))
            report.inventory.clear();
        if (this->random.chance(0.3))
            report.inventory.push_back({Target{ModelId("unknown"), {}},
                                        decision::InventoryState::Loaded, Bytes{~0ULL}});
        if (this->random.chance(0.3))
            report.inventory.push_back(
                    {this->randomTarget(), decision::InventoryState::Loaded, Bytes{}});
        if (this->random.chance(0.3))
            report.cached.push_back({this->randomTarget(), decision::CheckpointLocation::Memory});
        report.running = static_cast<std::uint32_t>(this->random.below(1000000));
    }

    void reconfigure()
    {
        Configuration configuration = this->world.settings.configuration;
        configuration.revision = configuration.revision.next();
        Deployment &deployment = configuration.deployments.front();
        ModelSpec &model = deployment.models[this->random.below(deployment.models.size())];
        model.maxReplicas = 1 + static_cast<std::uint32_t>(this->random.below(2));
        this->world.reconfigure(configuration);
    }

    void stopGracefully(InstanceFake &instance)
    {
        if (!instance.isAlive || instance.isPaused)
            return;
        this->world.stop(instance);
        this->world.scheduler.after(std::chrono::seconds(3),
                                    [this, &instance] { this->killFor(instance, 5); });
    }

    void loseDataCentre()
    {
        const DataCentreId lost(fmt::format("dc{}", this->random.below(3)));
        for (const auto &[id, engine] : this->world.engines) {
            if (engine->spec.dataCentre != lost)
                continue;
            const UpstreamId upstream = id;
            this->world.killEngine(upstream);
            this->scheduleWithin(10, [this, upstream] { this->world.restartEngine(upstream); });
        }
        for (std::size_t i = 0; i < 4; ++i)
            this->killFor(this->randomInstance(), 10);
    }

    void suspectFalsely()
    {
        InstanceFake &victim = this->ownerOrRandomInstance();
        for (std::size_t i = 0; i < 3; ++i) {
            InstanceFake &other = this->randomInstance();
            if (other.id == victim.id)
                continue;
            this->world.tell(other, decision::InstanceSuspected{victim.id});
            this->world.tell(other, decision::CandidacyChanged{true});
            this->scheduleWithin(10, [this, &other, id = victim.id] {
                this->world.tell(other, decision::InstanceAlive{id});
                this->world.tell(other, decision::CandidacyChanged{false});
            });
        }
    }

    void endFaults()
    {
        this->areFaultsOver = true;
        this->world.note("faults end");
        this->world.keyValue.isDown = false;
        this->world.keyValue.isSlow = false;
        this->world.keyValue.lostAnswers = 0.0;
        this->world.faults = {};
        this->world.store.slowness = 1.0;
        this->world.reportFault = nullptr;
    }

    /// Checks that after the faults exactly one instance owns the pool and that requests are served
    /// or refused again.
    void checkRecovery()
    {
        if (!this->world.failure.empty())
            return;
        constexpr Duration recoveryTime = std::chrono::seconds(90);
        constexpr Duration probeTime = std::chrono::seconds(40);
        this->world.scheduler.runUntil(this->world.scheduler.now() + recoveryTime);
        if (!this->world.failure.empty())
            return;
        std::size_t owners = 0;
        for (const InstanceFake &instance : this->world.instances)
            owners += instance.isAlive && instance.controller->isOwner() ? 1 : 0;
        if (owners != 1)
            this->world.fail(fmt::format("{} instances own the pool after the faults", owners));
        const Target target = this->randomTarget();
        const std::uint64_t before = this->served + this->refusals;
        const TimePoint end = this->world.scheduler.now() + probeTime;
        while (this->world.scheduler.now() < end && this->world.failure.empty())
            this->world.scheduler.step();
        if (this->served + this->refusals == before)
            this->world.fail("nobody is served or refused after the faults");
    }

    std::map<std::string, std::uint64_t> counts() const
    {
        std::map<std::string, std::uint64_t> all{
                {"faults", this->injectedFaults},
                {"served", this->served},
                {"refusals", this->refusals},
                {"takeovers", this->world.announcements.size()},
                {"store_limits_exceeded", this->world.store.exceeded},
                {"orders", this->world.ordersSent},
        };
        return all;
    }

    RandomRunRequest request;
    std::pair<Fault, Fault> faults;
    Random random;
    World world;
    std::map<std::pair<InstanceId, Target>, Waiter> waiters;
    bool areFaultsOver = false;
    std::uint64_t injectedFaults = 0;
    std::uint64_t served = 0;
    std::uint64_t refusals = 0;
};

} // namespace bamboochute::bench
