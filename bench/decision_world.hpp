/// @file
/// @brief Simulation of a pool: the pool controllers of several instances, connected to fakes in
/// virtual time.
#pragma once

#include "decision_fakes.hpp"

#include "core/overloaded.hpp"
#include "decision/ledger.hpp"
#include "decision/pool_controller.hpp"

#include <memory>
#include <optional>
#include <string>

#include <fmt/format.h>

namespace bamboochute::bench {

/// @brief Probabilities of faults in the messages that controllers send and receive.
struct MessageFaults
{
    /// Share of orders whose answer is lost.
    double lostAnswers = 0.0;
    /// Share of orders that are reported unconfirmed and arrive much later.
    double lateOrders = 0.0;
    /// Share of messages between instances that are lost.
    double lostMessages = 0.0;
};

/// @brief Deliberate defects that show that the checks detect them.
enum class Defect {
    None,
    /// Engines that should refuse stale fencing numbers accept them.
    FenceIgnored,
    /// Ledger writes don't compare the owner's record and revisions.
    OwnerNotCompared,
    /// A paused instance is reported as terminated.
    PausedCalledGone,
    /// An unconfirmed order is reported as refused.
    UnconfirmedCalledRefused,
    /// An unload order is reported as done although the engine never gets it.
    SentCalledDone,
    /// An instance that gives up ownership lists no unresolved orders.
    OpenOrdersHidden,
    /// The controllers use twice the store's limits.
    StoreLimitsDoubled,
    /// Every compare-and-swap of the ownership record succeeds.
    EveryWriterWins,
};

/// @brief A simulated instance with its current process.
struct InstanceFake
{
    InstanceId id;
    Incarnation incarnation{1};
    std::unique_ptr<decision::PoolController> controller;
    bool isAlive = true;
    bool isPaused = false;
    /// It was told to stop, and membership lists it as leaving.
    bool isLeaving = false;
    /// Work deferred until the pause ends.
    std::vector<std::function<void()>> deferred;
    /// Instances that this one suspects.
    std::set<InstanceId> suspects;
};

struct WorldSettings
{
    std::uint64_t seed = 1;
    std::size_t instances = 12;
    Configuration configuration;
    PoolId pool{"pool"};
    decision::Policy policy;
    LoadModel loads;
    Duration ownerTick = std::chrono::milliseconds(100);
    Duration idleTick = std::chrono::seconds(1);
    /// Least time until another instance suspects one that is silent.
    Duration suspicionDelay = std::chrono::milliseconds(1500);
    Duration reportInterval = std::chrono::seconds(2);
    Defect defect = Defect::None;
    bool isTraced = false;
};

/// @brief Simulates one pool: instances, engines, weight store and key-value service.
class World
{
public:
    explicit World(WorldSettings given)
        : settings(std::move(given))
        , random(this->settings.seed)
        , store(this->settings.configuration.deployments.front().store)
        , keyValue(this->scheduler, this->random)
    {
        const Deployment &deployment = this->settings.configuration.deployments.front();
        for (const UpstreamSpec &upstream : deployment.upstreams)
            this->addEngine(upstream);
        for (std::size_t i = 0; i < this->settings.instances; ++i) {
            InstanceFake &instance = this->instances.emplace_back();
            instance.id = InstanceId(fmt::format("i{}", i));
        }
        for (InstanceFake &instance : this->instances)
            this->startProcess(instance);
        this->raiseReplicaBounds();
    }

    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// @brief Delivers an event to an instance, now or when its pause ends; a dead one ignores it.
    void tell(InstanceFake &instance, const decision::Event &event)
    {
        if (!instance.isAlive)
            return;
        this->runWhenResumed(instance,
                             [this, &instance, event] { this->deliver(instance, event); });
    }

    void tellAll(const decision::Event &event)
    {
        for (InstanceFake &instance : this->instances)
            this->tell(instance, event);
    }

    /// @brief Kills an instance's process at once.
    void kill(InstanceFake &instance)
    {
        this->note("kill {}", instance.id.value());
        instance.isAlive = false;
        instance.isPaused = false;
        instance.deferred.clear();
        instance.controller.reset();
        const decision::InstanceProcess gone{instance.id, instance.incarnation};
        for (InstanceFake &other : this->instances) {
            this->suspectLater(other, instance.id, gone.incarnation);
            this->scheduler.after(
                    this->settings.suspicionDelay + Duration(this->below(4000000)),
                    [this, &other, gone] { this->tell(other, decision::ProcessTerminated{gone}); });
        }
    }

    /// @brief Tells an instance to stop gracefully; the others learn of it through membership.
    void stop(InstanceFake &instance)
    {
        this->note("stop {}", instance.id.value());
        instance.isLeaving = true;
        this->tell(instance, decision::HandOverRequested{});
        for (InstanceFake &other : this->instances) {
            this->scheduler.after(Duration(this->below(1000000)), [this, &other] {
                if (other.isAlive)
                    this->chooseCandidate(other);
            });
        }
    }

    /// @brief Starts the instance's next process.
    void restart(InstanceFake &instance)
    {
        this->note("restart {}", instance.id.value());
        const decision::InstanceProcess before{instance.id, instance.incarnation};
        instance.incarnation = instance.incarnation.next();
        instance.isAlive = true;
        instance.isLeaving = false;
        instance.suspects.clear();
        this->startProcess(instance);
        for (InstanceFake &other : this->instances) {
            this->scheduler.after(Duration(this->below(2000000)),
                                  [this, &other, before, &instance] {
                                      this->tell(other, decision::ProcessTerminated{before});
                                      this->endSuspicion(other, instance.id);
                                  });
        }
    }

    void pause(InstanceFake &instance)
    {
        this->note("pause {}", instance.id.value());
        instance.isPaused = true;
        for (InstanceFake &other : this->instances) {
            this->suspectLater(other, instance.id, instance.incarnation);
            if (this->settings.defect != Defect::PausedCalledGone)
                continue;
            const decision::InstanceProcess gone{instance.id, instance.incarnation};
            this->scheduler.after(std::chrono::seconds(3), [this, &other, gone] {
                this->tell(other, decision::ProcessTerminated{gone});
            });
        }
    }

    void resume(InstanceFake &instance)
    {
        if (!instance.isAlive || !instance.isPaused)
            return;
        this->note("resume {}", instance.id.value());
        instance.isPaused = false;
        for (InstanceFake &other : this->instances) {
            this->scheduler.after(Duration(this->below(1000000)), [this, &other, &instance] {
                if (instance.isAlive && !instance.isPaused)
                    this->endSuspicion(other, instance.id);
            });
        }
        const auto deferred = std::exchange(instance.deferred, {});
        for (const auto &work : deferred) {
            // Work run before this may have ended the process.
            if (instance.isAlive)
                work();
        }
    }

    /// @brief Ends an engine's process; each instance learns of it after a random delay.
    void killEngine(const UpstreamId &upstream)
    {
        EngineFake &engine = *this->engines.at(upstream);
        if (!engine.isAlive)
            return;
        this->note("engine {} dies", upstream.value());
        engine.die();
        for (InstanceFake &instance : this->instances) {
            this->scheduler.after(Duration(this->below(3000000)), [this, &instance, upstream] {
                if (!this->engines.at(upstream)->isAlive)
                    this->tell(instance, decision::UpstreamGone{upstream});
            });
        }
    }

    void restartEngine(const UpstreamId &upstream)
    {
        EngineFake &engine = *this->engines.at(upstream);
        if (engine.isAlive)
            return;
        this->note("engine {} restarts", upstream.value());
        engine.restart();
        for (InstanceFake &instance : this->instances) {
            this->scheduler.after(Duration(this->below(3000000)), [this, &instance, upstream] {
                if (this->engines.at(upstream)->isAlive)
                    this->tell(instance, decision::UpstreamReturned{upstream});
            });
        }
    }

    /// @brief Changes the configuration of all instances, of each after a random delay.
    void reconfigure(const Configuration &configuration)
    {
        this->settings.configuration = configuration;
        this->raiseReplicaBounds();
        const auto shared = std::make_shared<const Configuration>(configuration);
        for (InstanceFake &instance : this->instances) {
            this->scheduler.after(Duration(this->below(1000000)), [this, &instance, shared] {
                this->tell(instance, decision::ConfigurationChanged{shared});
            });
        }
    }

    /// @brief Sends an instance's demand to the announced owner.
    void demand(const decision::DemandReported &demand)
    {
        if (InstanceFake *owner = this->announcedOwner()) {
            this->scheduler.after(Duration(500),
                                  [this, owner, demand] { this->tell(*owner, demand); });
        }
    }

    InstanceFake *announcedOwner()
    {
        return this->owner ? this->find(this->owner->owner.instance) : nullptr;
    }

    InstanceFake *find(const InstanceId &id)
    {
        for (InstanceFake &instance : this->instances) {
            if (instance.id == id)
                return &instance;
        }
        return nullptr;
    }

    /// @brief Whether the routing table has a replica of the target.
    bool isRouted(const Target &target) const
    {
        return std::any_of(this->routing.begin(), this->routing.end(), [&](const auto &each) {
            const auto &loaded = each.second.loaded;
            return std::binary_search(loaded.begin(), loaded.end(), target);
        });
    }

    /// @brief Upstreams that the routing table names for the target.
    std::vector<UpstreamId> routesOf(const Target &target) const
    {
        std::vector<UpstreamId> found;
        for (const auto &[id, published] : this->routing) {
            if (std::binary_search(published.loaded.begin(), published.loaded.end(), target))
                found.push_back(id);
        }
        return found;
    }

    template<typename... Arguments>
    void note(fmt::format_string<Arguments...> text, Arguments &&...arguments)
    {
        if (!this->settings.isTraced)
            return;
        if (this->trace.size() >= maxTraceLines)
            this->trace.erase(this->trace.begin());
        this->trace.push_back(
                fmt::format("{:>9.3f} s ", toSeconds(this->scheduler.now() - TimePoint()))
                + fmt::format(text, std::forward<Arguments>(arguments)...));
    }

    void fail(const std::string &what)
    {
        if (this->failure.empty())
            this->failure = what;
    }

    std::uint64_t below(std::uint64_t bound) { return this->random.below(bound); }

    static constexpr std::size_t maxTraceLines = 60;

    WorldSettings settings;
    Scheduler scheduler;
    Random random;
    StoreFake store;
    KeyValueFake keyValue;
    MessageFaults faults;
    std::map<UpstreamId, std::unique_ptr<EngineFake>> engines;
    std::deque<InstanceFake> instances;
    std::map<UpstreamId, decision::PublishPlacements> routing;
    std::optional<decision::AnnounceOwner> owner;
    /// Time and instance of each accepted announcement of an owner.
    std::vector<std::pair<TimePoint, InstanceId>> announcements;
    std::map<Target, std::uint32_t> bounds;
    std::uint64_t eventsHandled = 0;
    std::uint64_t ordersSent = 0;
    std::string failure;
    std::vector<std::string> trace;
    std::map<std::string, std::uint64_t> counters;
    std::function<void(const decision::RefuseDemand &)> refused = [](const auto &) {};
    std::function<void(const decision::PublishPlacements &)> published = [](const auto &) {};

private:
    void addEngine(const UpstreamSpec &upstream)
    {
        auto engine = std::make_unique<EngineFake>(upstream, this->scheduler, this->store,
                                                   this->settings.loads);
        engine->isFenceIgnored = this->settings.defect == Defect::FenceIgnored;
        for (const auto &[target, spec] :
             decision::makePoolView(this->settings.configuration, this->settings.pool).targets)
            engine->sizes[target] = spec.memory;
        engine->changed = [this] { this->checkInventories(); };
        this->engines[upstream.id] = std::move(engine);
    }

    void startProcess(InstanceFake &instance)
    {
        instance.controller = std::make_unique<decision::PoolController>(
                decision::PoolControllerSettings{this->settings.pool,
                                                 {instance.id, instance.incarnation},
                                                 this->settings.policy});
        Configuration configuration = this->settings.configuration;
        if (this->settings.defect == Defect::StoreLimitsDoubled) {
            StoreLimits &limits = configuration.deployments.front().store;
            limits = {limits.loadsPerSecond * 2, limits.loadsAtOnce * 2,
                      limits.adaptersInTransit * 2};
        }
        const auto shared = std::make_shared<const Configuration>(std::move(configuration));
        const Incarnation incarnation = instance.incarnation;
        this->scheduler.after(Duration(this->below(50000)), [this, &instance, shared, incarnation] {
            if (instance.incarnation != incarnation)
                return;
            this->tell(instance, decision::ConfigurationChanged{shared});
            for (const auto &[id, engine] : this->engines) {
                if (!engine->isAlive)
                    this->tell(instance, decision::UpstreamGone{id});
            }
            this->reportTerminatedProcesses(instance);
            this->chooseCandidate(instance);
            this->tick(instance, incarnation);
            this->report(instance, incarnation);
        });
    }

    /// Tells a new process, as membership does, which processes have terminated.
    void reportTerminatedProcesses(InstanceFake &instance)
    {
        for (const InstanceFake &other : this->instances) {
            const std::uint64_t gone = other.incarnation.value() - (other.isAlive ? 1 : 0);
            if (other.id != instance.id && gone > 0)
                this->tell(instance, decision::ProcessTerminated{{other.id, Incarnation(gone)}});
        }
    }

    void tick(InstanceFake &instance, Incarnation incarnation)
    {
        if (!instance.isAlive || instance.incarnation != incarnation)
            return;
        if (!instance.isPaused)
            this->deliver(instance, decision::Tick{});
        const bool isOwner = instance.isAlive && instance.controller->isOwner();
        this->scheduler.after(
                isOwner ? this->settings.ownerTick : this->settings.idleTick,
                [this, &instance, incarnation] { this->tick(instance, incarnation); });
    }

    /// Sends the reports of all engines to the instance if it owns the pool, each after a random
    /// delay; repeats at the report interval.
    void report(InstanceFake &instance, Incarnation incarnation)
    {
        if (!instance.isAlive || instance.incarnation != incarnation)
            return;
        for (const auto &[id, engine] : this->engines) {
            if (!engine->isAlive || !instance.controller->isOwner())
                continue;
            decision::ReportReceived event;
            event.upstream = id;
            event.madeAt = this->scheduler.now();
            event.inventory = engine->inventory();
            for (const Target &target : engine->cached)
                event.cached.push_back({target, engine->placeOf(target)});
            if (this->reportFault)
                this->reportFault(event);
            this->scheduler.after(Duration(this->below(1500000)),
                                  [this, &instance, event] { this->tell(instance, event); });
        }
        this->scheduler.after(this->settings.reportInterval, [this, &instance, incarnation] {
            this->report(instance, incarnation);
        });
    }

    void suspectLater(InstanceFake &other, const InstanceId &silent, Incarnation incarnation)
    {
        const Duration delay = this->settings.suspicionDelay + Duration(this->below(1000000));
        this->scheduler.after(delay, [this, &other, silent, incarnation] {
            const InstanceFake *instance = this->find(silent);
            const bool isBack = instance->isAlive && !instance->isPaused;
            if (isBack || instance->incarnation != incarnation || other.id == silent
                || !other.isAlive)
                return;
            other.suspects.insert(silent);
            this->tell(other, decision::InstanceSuspected{silent});
            this->chooseCandidate(other);
        });
    }

    void endSuspicion(InstanceFake &other, const InstanceId &instance)
    {
        if (!other.isAlive)
            return;
        other.suspects.erase(instance);
        this->tell(other, decision::InstanceAlive{instance});
        this->chooseCandidate(other);
    }

    /// Recomputes an instance's candidacy: the first instance that it doesn't suspect and that
    /// isn't leaving should own the pool.
    void chooseCandidate(InstanceFake &instance)
    {
        InstanceId first;
        for (const InstanceFake &other : this->instances) {
            if (!instance.suspects.contains(other.id) && !other.isLeaving) {
                first = other.id;
                break;
            }
        }
        this->tell(instance, decision::CandidacyChanged{first == instance.id});
    }

    void runWhenResumed(InstanceFake &instance, std::function<void()> work)
    {
        if (instance.isPaused)
            instance.deferred.push_back(std::move(work));
        else if (instance.isAlive)
            work();
    }

    void deliver(InstanceFake &instance, const decision::Event &event)
    {
        ++this->eventsHandled;
        const decision::Actions actions = instance.controller->handle(event, this->scheduler.now());
        const bool isOrdering
                = std::any_of(actions.begin(), actions.end(), [](const decision::Action &each) {
                      return std::holds_alternative<decision::SendOrder>(each);
                  });
        for (const decision::Action &action : actions)
            this->performLater(instance, action);
        if (isOrdering && this->atNextOrder)
            std::exchange(this->atNextOrder, nullptr)(instance);
    }

    /// Performs an action after a short delay: after the pause if the process is paused by then,
    /// and not at all if it has ended.
    void performLater(InstanceFake &instance, const decision::Action &action)
    {
        const Incarnation incarnation = instance.incarnation;
        this->scheduler.after(Duration(10 + this->below(500)),
                              [this, &instance, incarnation, action] {
                                  if (!instance.isAlive || instance.incarnation != incarnation)
                                      return;
                                  this->runWhenResumed(instance, [this, &instance, action] {
                                      this->perform(instance, action);
                                  });
                              });
    }

    void perform(InstanceFake &instance, const decision::Action &action)
    {
        std::visit(
                Overloaded{
                        [&](const decision::SubmitTransaction &each) {
                            this->submit(instance, each);
                        },
                        [&](const decision::SendOrder &each) { this->send(instance, each.order); },
                        [&](const decision::PublishPlacements &each) { this->route(each); },
                        [&](const decision::RefuseDemand &each) { this->refused(each); },
                        [&](const decision::AnnounceOwner &each) {
                            this->acceptAnnouncement(each);
                        },
                        [&](const decision::AnnounceOwnershipGivenUp &each) {
                            this->broadcastGivenUp(each);
                        },
                },
                action);
    }

    void submit(InstanceFake &instance, const decision::SubmitTransaction &each)
    {
        platform::Transaction transaction = each.transaction;
        if (this->settings.defect == Defect::OwnerNotCompared
            && each.purpose == platform::Purpose::Ledger)
            transaction.conditions.clear();
        if (this->settings.defect == Defect::EveryWriterWins
            && each.purpose == platform::Purpose::Ownership && !transaction.conditions.empty())
            transaction.conditions.clear();
        const Incarnation incarnation = instance.incarnation;
        const std::uint64_t tag = each.tag;
        this->keyValue.submit(
                each.purpose, transaction, [this, &instance, incarnation, tag](auto result) {
                    this->answer(instance, incarnation, decision::TransactionFinished{tag, result});
                });
    }

    void answer(InstanceFake &instance, Incarnation incarnation, const decision::Event &event)
    {
        if (instance.isAlive && instance.incarnation == incarnation)
            this->tell(instance, event);
    }

    void send(InstanceFake &instance, const decision::Order &order)
    {
        ++this->ordersSent;
        this->note("{} orders {} of {} at {}, fence {}, number {}", instance.id.value(),
                   decision::orderKindName(order.kind),
                   order.target.model.value() + "+" + order.target.adapter.value(),
                   order.upstream.value(), order.id.fence.value(), order.id.number);
        const Incarnation incarnation = instance.incarnation;
        const bool isLost = this->random.chance(this->faults.lostAnswers);
        const bool isLate = this->random.chance(this->faults.lateOrders);
        const auto ended = std::make_shared<bool>(false);
        const auto finish = [this, &instance, incarnation, order,
                             ended](decision::OrderOutcome outcome, auto inventory) {
            if (std::exchange(*ended, true))
                return;
            if (this->settings.defect == Defect::UnconfirmedCalledRefused
                && outcome == decision::OrderOutcome::Unconfirmed)
                outcome = decision::OrderOutcome::Refused;
            this->note("{}: order {} at {} ends {}", instance.id.value(), order.id.number,
                       order.upstream.value(), static_cast<int>(outcome));
            this->scheduler.after(Duration(200 + this->below(1000)), [=, this, &instance] {
                this->answer(instance, incarnation,
                             decision::OrderFinished{order.id, order.upstream, outcome, inventory});
            });
        };
        const std::uint64_t process = this->engines.at(order.upstream)->process();
        const auto carry = [this, &instance, incarnation, order, finish, isLost, isLate, process] {
            // A connection ends with the process at either end; undelivered data is lost.
            const bool isGone = !instance.isAlive || instance.incarnation != incarnation;
            if (isGone || (isLate && this->engines.at(order.upstream)->process() != process))
                return;
            if (this->settings.defect == Defect::SentCalledDone
                && order.kind == decision::OrderKind::Unload) {
                finish(decision::OrderOutcome::Done, std::nullopt);
                return;
            }
            this->note("engine {} gets order {} of {}", order.upstream.value(), order.id.number,
                       instance.id.value());
            this->engines.at(order.upstream)
                    ->take(order, [finish, isLost, isLate](auto outcome, auto inventory) {
                        if (!isLost && !isLate)
                            finish(outcome, inventory);
                    });
        };
        const Duration travel(200 + this->below(800));
        if (!this->engines.at(order.upstream)->isAlive) {
            // Without a connection nothing was written that could arrive later.
            this->scheduler.after(
                    travel, [finish] { finish(decision::OrderOutcome::Refused, std::nullopt); });
            return;
        }
        if (isLost || isLate) {
            this->scheduler.after(std::chrono::seconds(3), [finish] {
                finish(decision::OrderOutcome::Unconfirmed, std::nullopt);
            });
        }
        this->scheduler.after(isLate ? Duration(3000000 + this->below(20000000)) : travel, carry);
    }

    void route(const decision::PublishPlacements &each)
    {
        const auto found = this->routing.find(each.upstream);
        if (found != this->routing.end()
            && std::tie(found->second.fence, found->second.sequence)
                       > std::tie(each.fence, each.sequence))
            return;
        this->routing[each.upstream] = each;
        this->published(each);
    }

    void acceptAnnouncement(const decision::AnnounceOwner &each)
    {
        this->note("{} owns the pool with fence {}", each.owner.instance.value(),
                   each.fence.value());
        const bool isKnown = !this->ownersByFence.try_emplace(each.fence, each.owner).second;
        if (isKnown && this->ownersByFence.at(each.fence) != each.owner)
            this->fail(fmt::format("fence {} has two holders", each.fence.value()));
        if (this->owner && each.fence < this->owner->fence)
            return;
        this->owner = each;
        this->announcements.emplace_back(this->scheduler.now(), each.owner.instance);
    }

    void broadcastGivenUp(const decision::AnnounceOwnershipGivenUp &each)
    {
        this->note("{} gives up fence {}, {} orders open", each.sender.instance.value(),
                   each.fence.value(), each.unresolvedOrders.size());
        decision::OwnershipGivenUp event{each.sender, each.fence, each.unresolvedOrders};
        if (this->settings.defect == Defect::OpenOrdersHidden)
            event.unresolvedOrders.clear();
        for (InstanceFake &instance : this->instances) {
            if (instance.id == each.sender.instance
                || this->random.chance(this->faults.lostMessages))
                continue;
            this->scheduler.after(Duration(300 + this->below(500)),
                                  [this, &instance, event] { this->tell(instance, event); });
        }
    }

    void raiseReplicaBounds()
    {
        const auto view = decision::makePoolView(this->settings.configuration, this->settings.pool);
        for (const auto &[target, spec] : view.targets) {
            std::uint32_t &bound = this->bounds[target];
            bound = std::max(bound, spec.maxReplicas);
        }
    }

    /// Checks the engines' actual inventories against their memory and the replica bounds.
    void checkInventories()
    {
        std::map<Target, std::uint32_t> replicas;
        for (const auto &[id, engine] : this->engines) {
            if (engine->used() > engine->spec.memory)
                this->fail(fmt::format("engine {} holds {} bytes of {}", id.value(),
                                       engine->used().count, engine->spec.memory.count));
            for (const auto &entry : engine->inventory())
                ++replicas[entry.target];
        }
        for (const auto &[target, count] : replicas) {
            const auto bound = this->bounds.find(target);
            if (bound != this->bounds.end() && count > bound->second)
                this->fail(fmt::format("{} replicas of {}+{} are loaded, at most {} are allowed",
                                       count, target.model.value(), target.adapter.value(),
                                       bound->second));
        }
    }

public:
    /// If set, called once with the next instance that has decided an order but not sent it yet.
    std::function<void(InstanceFake &)> atNextOrder;
    /// If set, changes each report before it is delivered.
    std::function<void(decision::ReportReceived &)> reportFault;

private:
    std::map<Fence, decision::InstanceProcess> ownersByFence;
};

} // namespace bamboochute::bench
