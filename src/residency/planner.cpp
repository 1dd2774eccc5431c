#include "residency/planner.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace bamboochute::residency {

namespace {

/// Costs from here on mean that something must not be done.
constexpr double forbiddenCost = 100;
/// Store loads at once, until their durations say otherwise.
constexpr std::uint32_t storeLoadsAtOnce = 4;
/// Share of the weight store's rate that is used.
constexpr double usedStoreRate = 0.85;
/// Time that an unload of an idle model takes.
constexpr Duration unloadTime = std::chrono::milliseconds(30);
/// Goals that nobody waits for, at a time, as a share of the engines.
constexpr double idleGoalShare = 0.34;

bool contains(const std::vector<ModelId> &models, const ModelId &model)
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

double seconds(TimePoint from, TimePoint to)
{
    return std::max(0.0, toSeconds(to - from));
}

} // namespace

std::string_view weightSourceName(WeightSource source) noexcept
{
    constexpr std::array<std::string_view, 3> names{"memory", "disk", "store"};
    return names[static_cast<std::size_t>(source)];
}

void ResidencyPlanner::configure(const gateway::EngineSpec &changed)
{
    this->engine = changed;
    StoreLimits limits;
    limits.loadsPerSecond = changed.storeLoadsPerSecond * usedStoreRate;
    limits.loadsAtOnce = storeLoadsAtOnce;
    this->pacer.configure(limits);
}

void ResidencyPlanner::restart(TimePoint now)
{
    this->goals.clear();
    this->loadedAt.clear();
    this->storeLoading.clear();
    this->expectations.clear();
    this->pacer.restart(now);
}

std::vector<PlannedOrder> ResidencyPlanner::plan(const std::vector<PlannedUpstream> &upstreams,
                                                 const DemandTally &demand, TimePoint now)
{
    Scene scene = this->survey(upstreams, demand, now);
    this->expectations.clear();
    this->dropGoals(scene);
    this->goalsForWaiting(scene);
    if (this->plannedAheadAt == TimePoint()
        || now >= this->plannedAheadAt + this->limits.aheadInterval) {
        this->plannedAheadAt = now;
        this->goalsForReplicas(scene);
        this->goalsForCoverage(scene);
    }
    std::vector<PlannedOrder> orders;
    this->ordersForAdapters(scene, orders);
    this->ordersForGoals(scene, orders);
    return orders;
}

ResidencyPlanner::ModelFacts *ResidencyPlanner::Scene::find(const ModelId &model)
{
    const auto found = this->modelPlaces.find(model);
    return found == this->modelPlaces.end() ? nullptr : &this->models[found->second];
}

ResidencyPlanner::UpstreamFacts *ResidencyPlanner::Scene::find(const UpstreamId &upstream)
{
    const auto found = std::find_if(
            this->upstreams.begin(), this->upstreams.end(),
            [&upstream](const UpstreamFacts &one) { return one.upstream->id == upstream; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

ResidencyPlanner::Scene ResidencyPlanner::survey(const std::vector<PlannedUpstream> &upstreams,
                                                 const DemandTally &demand, TimePoint now) const
{
    Scene scene{demand, now, demand.arrivals() >= this->limits.knownAfterArrivals, {}, {}, {}};
    for (const gateway::ModelWeights &model : this->engine.models) {
        scene.modelPlaces.emplace(model.id, scene.models.size());
        const double rate = demand.of(Target{model.id, {}}).perSecond;
        scene.models.push_back({&model, 0, 1, std::max(this->limits.assumedRate, rate)});
    }
    for (const PlannedUpstream &upstream : upstreams) {
        scene.upstreams.push_back(this->surveyUpstream(scene, upstream));
        if (!upstream.isUsable)
            continue;
        const UpstreamFacts &facts = scene.upstreams.back();
        const auto goal = this->goals.find(upstream.id);
        for (const std::size_t model : facts.resident) {
            const ModelId &id = scene.models[model].weights->id;
            if (goal == this->goals.end() || !contains(goal->second.victims, id))
                ++scene.models[model].replicas;
        }
        for (std::size_t i = 0; i < scene.models.size(); ++i) {
            if (facts.sources[i] != WeightSource::Store)
                scene.models[i].hasCopy = true;
        }
    }
    for (ModelFacts &facts : scene.models)
        facts.wanted = this->wantedReplicas(scene, facts);
    for (const auto &[id, goal] : this->goals) {
        ModelFacts *facts = scene.find(goal.model);
        if (facts != nullptr)
            ++facts->goals;
    }
    return scene;
}

ResidencyPlanner::UpstreamFacts
ResidencyPlanner::surveyUpstream(const Scene &scene, const PlannedUpstream &upstream) const
{
    UpstreamFacts facts;
    facts.upstream = &upstream;
    facts.sources.assign(scene.models.size(), WeightSource::Store);
    const auto mark = [&](const std::vector<ModelId> &copies, WeightSource source) {
        for (const ModelId &copy : copies) {
            const auto place = scene.modelPlaces.find(copy);
            if (place != scene.modelPlaces.end())
                facts.sources[place->second] = source;
        }
    };
    mark(upstream.copies.onDisk, WeightSource::Disk);
    mark(upstream.copies.inMemory, WeightSource::Memory);
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        const auto place = scene.modelPlaces.find(resident.model);
        if (place == scene.modelPlaces.end()) {
            // A model that the configuration no longer names takes room of unknown size.
            facts.usedMegabytes = this->engine.weightMegabytes;
            continue;
        }
        const gateway::ModelWeights &model = *scene.models[place->second].weights;
        facts.resident.push_back(place->second);
        facts.usedMegabytes
                += model.megabytes
                   + static_cast<double>(resident.adapters.size()) * model.adapterMegabytes;
    }
    for (const Target &pending : upstream.pendingAdapters) {
        const auto place = scene.modelPlaces.find(pending.model);
        if (place != scene.modelPlaces.end())
            facts.usedMegabytes += scene.models[place->second].weights->adapterMegabytes;
    }
    return facts;
}

std::optional<TimePoint> ResidencyPlanner::readyAt(const Target &target) const
{
    const auto found = this->expectations.find(target);
    return found == this->expectations.end() ? std::nullopt
                                             : std::optional<TimePoint>(found->second);
}

void ResidencyPlanner::accepted(const PlannedOrder &order, TimePoint now)
{
    if (!order.target.adapter.isEmpty() || order.operation != OrderOperation::Load)
        return;
    this->loadedAt[{order.upstream, order.target.model}] = now + order.expected;
    if (order.source == WeightSource::Store)
        this->storeLoading[order.upstream] = order.target.model;
}

void ResidencyPlanner::storeLoadFinished(Duration took, Duration expected)
{
    this->pacer.finished(store::LoadKind::Model, took, expected);
}

void ResidencyPlanner::dropGoals(Scene &scene)
{
    std::erase_if(this->storeLoading, [&](const auto &item) {
        const UpstreamFacts *upstream = scene.find(item.first);
        return upstream == nullptr || upstream->upstream->loading != item.second;
    });
    std::erase_if(this->goals, [&](const auto &item) {
        const UpstreamFacts *upstream = scene.find(item.first);
        const Goal &goal = item.second;
        const bool isOver = upstream == nullptr || !upstream->upstream->isUsable
                            || upstream->upstream->residency.find(goal.model) != nullptr
                            || goal.since + this->limits.goalPatience < scene.now;
        ModelFacts *model = scene.find(goal.model);
        if (isOver && model != nullptr)
            --model->goals;
        return isOver || model == nullptr;
    });
}

void ResidencyPlanner::goalsForWaiting(Scene &scene)
{
    std::vector<Target> waiting = scene.demand.waiting();
    std::sort(waiting.begin(), waiting.end(), [&scene](const Target &left, const Target &right) {
        return scene.demand.of(left).shortestWait < scene.demand.of(right).shortestWait;
    });
    for (const Target &target : waiting) {
        ModelFacts *model = scene.find(target.model);
        if (model == nullptr)
            continue;
        if (model->replicas > 0) {
            this->expectations[target] = this->adapterReadyAt(scene, target);
            continue;
        }
        if (model->goals == 0) {
            const std::size_t index = scene.modelPlaces[target.model];
            const std::optional<Place> place = this->bestPlace(scene, index, true);
            const std::optional<TimePoint> turn = this->nextTurn(scene, index);
            if (place && (!turn || place->readyAt <= *turn))
                this->addGoal(scene, *place, target.model, true, "requests wait");
        }
        TimePoint ready = scene.now + this->hopelessWait(*model->weights);
        const std::optional<TimePoint> turn
                = this->nextTurn(scene, scene.modelPlaces[target.model]);
        if (turn)
            ready = *turn;
        for (auto &[id, goal] : this->goals) {
            if (goal.model != target.model)
                continue;
            goal.isWaitedFor = true;
            ready = std::max(goal.readyAt, scene.now + unloadTime);
        }
        this->expectations[target] = ready;
    }
}

/// When an engine that holds the model can have loaded an adapter.
TimePoint ResidencyPlanner::adapterReadyAt(const Scene &scene, const Target &target) const
{
    TimePoint earliest = scene.now + this->limits.hopelessWait;
    for (const UpstreamFacts &facts : scene.upstreams) {
        const PlannedUpstream &upstream = *facts.upstream;
        if (upstream.isUsable && upstream.residency.find(target.model) != nullptr)
            earliest = std::min(earliest, std::max(scene.now, upstream.busyUntil));
    }
    return earliest + this->limits.adapterTime;
}

/// What is said to those who wait for a model that can't be loaded yet.
Duration ResidencyPlanner::hopelessWait(const gateway::ModelWeights &model) const
{
    return std::max(this->limits.hopelessWait, model.fromStore);
}

void ResidencyPlanner::goalsForReplicas(Scene &scene)
{
    if (!scene.isDemandKnown)
        return;
    for (std::size_t i = 0; i < scene.models.size(); ++i) {
        const ModelFacts &model = scene.models[i];
        while (model.replicas > 0 && model.replicas + model.goals < model.wanted
               && model.goals < this->limits.replicaGoals) {
            const std::optional<Place> place = this->bestPlace(scene, i, false);
            const double benefit = this->limits.replicaCost + 2 * model.rate;
            if (!place || place->evictionCost >= benefit)
                break;
            this->addGoal(scene, *place, model.weights->id, false, "more replicas wanted");
        }
    }
}

void ResidencyPlanner::goalsForCoverage(Scene &scene)
{
    const auto usable = static_cast<double>(
            std::count_if(scene.upstreams.begin(), scene.upstreams.end(),
                          [](const UpstreamFacts &one) { return one.upstream->isUsable; }));
    const auto most = static_cast<std::size_t>(std::max(1.0, usable * idleGoalShare));
    struct Missing
    {
        std::size_t model;
        double benefit;
    };
    std::vector<Missing> missing;
    for (std::size_t i = 0; i < scene.models.size(); ++i) {
        const ModelFacts &model = scene.models[i];
        if (model.replicas > 0 || model.goals > 0)
            continue;
        const WeightSource source = model.hasCopy ? WeightSource::Disk : WeightSource::Store;
        const double saved = toSeconds(this->loadTime(*model.weights, source));
        missing.push_back({i, model.rate * this->limits.horizonSeconds * saved});
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Missing &left, const Missing &right) {
        return left.benefit > right.benefit;
    });
    if (missing.size() > this->limits.modelsAhead)
        missing.resize(this->limits.modelsAhead);
    for (const Missing &one : missing) {
        const std::optional<Place> place = this->bestPlace(scene, one.model, false);
        if (!place || place->evictionCost >= one.benefit)
            continue;
        const bool isFree = place->victims.empty() && place->source != WeightSource::Store;
        if (isFree || this->goals.size() < most)
            this->addGoal(scene, *place, scene.models[one.model].weights->id, false,
                          "not held anywhere");
    }
}

void ResidencyPlanner::addGoal(Scene &scene, const Place &place, const ModelId &model,
                               bool isWaitedFor, std::string_view reason)
{
    const auto replaced = this->goals.find(place.upstream->id);
    if (replaced != this->goals.end()) {
        ModelFacts *former = scene.find(replaced->second.model);
        if (former != nullptr)
            --former->goals;
    }
    for (const ModelId &victim : place.victims) {
        ModelFacts *facts = scene.find(victim);
        if (facts != nullptr && facts->replicas > 0)
            --facts->replicas;
    }
    ++scene.find(model)->goals;
    this->goals[place.upstream->id]
            = Goal{model, place.victims, scene.now, place.readyAt, isWaitedFor, reason};
}

void ResidencyPlanner::ordersForGoals(Scene &scene, std::vector<PlannedOrder> &orders)
{
    std::vector<std::pair<UpstreamId, Goal *>> byUrgency;
    for (auto &[id, goal] : this->goals)
        byUrgency.emplace_back(id, &goal);
    std::stable_sort(byUrgency.begin(), byUrgency.end(), [](const auto &left, const auto &right) {
        return left.second->isWaitedFor && !right.second->isWaitedFor;
    });
    auto inTransit = static_cast<std::uint32_t>(this->storeLoading.size());
    for (const auto &[id, goal] : byUrgency) {
        const UpstreamFacts *facts = scene.find(id);
        const PlannedUpstream &upstream = *facts->upstream;
        const bool isTaken
                = std::any_of(orders.begin(), orders.end(),
                              [&id = id](const auto &order) { return order.upstream == id; });
        if (!upstream.isReady || isTaken)
            continue;
        const auto victim
                = std::find_if(goal->victims.begin(), goal->victims.end(), [&](const ModelId &one) {
                      return upstream.residency.find(one) != nullptr;
                  });
        if (victim != goal->victims.end()) {
            orders.push_back({id, OrderOperation::Unload, Target{*victim, {}}, WeightSource::Disk,
                              unloadTime, goal->reason});
            continue;
        }
        const std::size_t place = scene.modelPlaces[goal->model];
        const gateway::ModelWeights &model = *scene.models[place].weights;
        if (facts->usedMegabytes + model.megabytes > this->engine.weightMegabytes) {
            // Something else was loaded there meanwhile.
            goal->since = TimePoint();
            continue;
        }
        const WeightSource source = facts->sources[place];
        if (source == WeightSource::Store) {
            if (!this->pacer.mayStart(store::LoadKind::Model, inTransit, scene.now))
                continue;
            this->pacer.start(store::LoadKind::Model, inTransit, scene.now);
            ++inTransit;
        }
        const Duration expected = this->loadTime(model, source);
        goal->readyAt = scene.now + expected;
        orders.push_back({id, OrderOperation::Load, Target{goal->model, {}}, source, expected,
                          goal->reason});
    }
}

void ResidencyPlanner::ordersForAdapters(Scene &scene, std::vector<PlannedOrder> &orders)
{
    for (const Target &target : scene.demand.waiting()) {
        if (!target.adapter.isEmpty())
            this->orderAdapter(scene, target, orders);
    }
}

void ResidencyPlanner::orderAdapter(Scene &scene, const Target &target,
                                    std::vector<PlannedOrder> &orders)
{
    const ModelFacts *model = scene.find(target.model);
    if (model == nullptr)
        return;
    const UpstreamFacts *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const UpstreamFacts &facts : scene.upstreams) {
        const PlannedUpstream &upstream = *facts.upstream;
        if (!upstream.isUsable || upstream.residency.find(target.model) == nullptr)
            continue;
        const auto &pending = upstream.pendingAdapters;
        const bool isComing = std::find(pending.begin(), pending.end(), target) != pending.end();
        if (isComing || upstream.residency.holds(target))
            return;
        const bool isTaken = std::any_of(orders.begin(), orders.end(), [&](const auto &order) {
            return order.upstream == upstream.id;
        });
        const auto goal = this->goals.find(upstream.id);
        const bool isLeavingModel
                = goal != this->goals.end() && contains(goal->second.victims, target.model);
        if (!upstream.isReady || isTaken || isLeavingModel)
            continue;
        const std::uint64_t score
                = stableHash(target.adapter.value(), stableHash(upstream.id.value()));
        if (best == nullptr || score > bestScore) {
            best = &facts;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return;
    const PlannedUpstream &upstream = *best->upstream;
    std::size_t count = upstream.pendingAdapters.size();
    std::optional<Target> victim;
    double victimRate = std::numeric_limits<double>::max();
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        count += resident.adapters.size();
        for (const AdapterId &adapter : resident.adapters) {
            const Target other{resident.model, adapter};
            const SmoothedDemand demand = scene.demand.of(other);
            const double rate = demand.perSecond + demand.concurrency;
            if (rate < victimRate) {
                victim = other;
                victimRate = rate;
            }
        }
    }
    const bool fits = best->usedMegabytes + model->weights->adapterMegabytes
                      <= this->engine.weightMegabytes;
    if (count < this->engine.adapterSlots && fits) {
        orders.push_back({upstream.id, OrderOperation::Load, target, WeightSource::Store,
                          this->limits.adapterTime, "requests wait for the adapter"});
    } else if (victim) {
        orders.push_back({upstream.id, OrderOperation::Unload, *victim, WeightSource::Store,
                          this->limits.adapterTime, "another adapter is wanted"});
    }
}

std::optional<ResidencyPlanner::Place> ResidencyPlanner::bestPlace(Scene &scene, std::size_t model,
                                                                   bool isWaitedFor)
{
    std::optional<Place> best;
    const bool canUseStore = this->canLoadFromStore(scene);
    for (const UpstreamFacts &facts : scene.upstreams) {
        const auto &resident = facts.resident;
        if (!facts.upstream->isUsable
            || std::find(resident.begin(), resident.end(), model) != resident.end())
            continue;
        // An engine is not set aside for a load that the weight store can't begin yet.
        if (facts.sources[model] == WeightSource::Store && !canUseStore)
            continue;
        const auto present = this->goals.find(facts.upstream->id);
        // Those who wait go before what was only planned ahead.
        if (present != this->goals.end() && (!isWaitedFor || present->second.isWaitedFor))
            continue;
        const std::optional<Place> place = this->placeAt(scene, facts, model);
        if (place && place->evictionCost < forbiddenCost && (!best || place->cost < best->cost))
            best = place;
    }
    return best;
}

/// When an engine that has the weights at hand, and a goal for others who wait, could hold the
/// model after that goal.
std::optional<TimePoint> ResidencyPlanner::nextTurn(const Scene &scene, std::size_t model) const
{
    std::optional<TimePoint> earliest;
    for (const UpstreamFacts &facts : scene.upstreams) {
        const auto goal = this->goals.find(facts.upstream->id);
        const WeightSource source = facts.sources[model];
        if (goal == this->goals.end() || !goal->second.isWaitedFor || !facts.upstream->isUsable
            || source == WeightSource::Store)
            continue;
        const TimePoint turn = std::max(goal->second.readyAt, scene.now) + unloadTime
                               + this->loadTime(*scene.models[model].weights, source);
        earliest = earliest ? std::min(*earliest, turn) : turn;
    }
    return earliest;
}

std::optional<ResidencyPlanner::Place>
ResidencyPlanner::placeAt(const Scene &scene, const UpstreamFacts &facts, std::size_t model) const
{
    struct Victim
    {
        std::size_t model;
        double value;
    };
    const gateway::ModelWeights &weights = *scene.models[model].weights;
    double free = this->engine.weightMegabytes - facts.usedMegabytes;
    Place place;
    place.upstream = facts.upstream;
    if (free < weights.megabytes) {
        std::vector<Victim> victims;
        for (const std::size_t resident : facts.resident)
            victims.push_back({resident, this->keepValue(scene, facts, resident)});
        std::sort(victims.begin(), victims.end(),
                  [](const Victim &left, const Victim &right) { return left.value < right.value; });
        for (const Victim &victim : victims) {
            if (free >= weights.megabytes)
                break;
            free += scene.models[victim.model].weights->megabytes;
            place.victims.push_back(scene.models[victim.model].weights->id);
            place.evictionCost += victim.value;
        }
    }
    if (free < weights.megabytes)
        return std::nullopt;
    place.source = facts.sources[model];
    const Duration load = this->loadTime(weights, place.source);
    const TimePoint begin = std::max(scene.now, facts.upstream->busyUntil)
                            + unloadTime * static_cast<int>(place.victims.size());
    place.readyAt = begin + load;
    if (place.source == WeightSource::Store)
        place.evictionCost += this->blockedAdapters(scene, facts, load);
    place.cost = seconds(scene.now, place.readyAt) + place.evictionCost;
    return place;
}

/// What it costs that an engine takes no adapters while it loads.
double ResidencyPlanner::blockedAdapters(const Scene &scene, const UpstreamFacts &facts,
                                         Duration load) const
{
    double rate = 0;
    for (const std::size_t resident : facts.resident) {
        const ModelFacts &model = scene.models[resident];
        if (model.weights->adapters > 0 && model.rate > this->limits.assumedRate)
            rate += model.rate;
    }
    return rate * toSeconds(load) * this->limits.adapterWaitCost;
}

/// What it costs the callers when the model is dropped there.
double ResidencyPlanner::keepValue(const Scene &scene, const UpstreamFacts &facts,
                                   std::size_t model) const
{
    const ModelFacts &known = scene.models[model];
    const auto loaded = this->loadedAt.find({facts.upstream->id, known.weights->id});
    if (loaded != this->loadedAt.end() && loaded->second + this->limits.minResidency > scene.now)
        return forbiddenCost;
    const double running = this->limits.runningCost * facts.upstream->running;
    if (known.replicas > known.wanted)
        return this->limits.surplusCost + 0.01 * known.rate + running;
    if (known.replicas > 1)
        return this->limits.replicaCost + 2 * known.rate + running;
    const double reload = toSeconds(this->loadTime(*known.weights, WeightSource::Disk));
    return this->limits.soleReplicaCost + known.rate * this->limits.horizonSeconds * reload
           + running;
}

std::uint32_t ResidencyPlanner::wantedReplicas(const Scene &scene, const ModelFacts &facts) const
{
    if (!scene.isDemandKnown) {
        const auto share = static_cast<std::uint32_t>(facts.replicas * this->limits.assumedShare);
        return std::clamp(facts.replicas, 1U, std::max(this->limits.assumedReplicas, share));
    }
    const SmoothedDemand demand = scene.demand.of(Target{facts.weights->id, {}});
    std::uint32_t wanted = 1;
    if (demand.perSecond >= this->limits.twoReplicasFrom)
        wanted = 2;
    const double byLoad = 1 + demand.concurrency / this->limits.concurrencyPerReplica;
    return std::max(wanted, static_cast<std::uint32_t>(byLoad));
}

Duration ResidencyPlanner::loadTime(const gateway::ModelWeights &model, WeightSource source) const
{
    if (source == WeightSource::Memory)
        return model.fromMemory;
    return source == WeightSource::Disk ? model.fromDisk : model.fromStore;
}

/// Loads from the weight store that run or are about to begin.
std::uint32_t ResidencyPlanner::storeLoads(Scene &scene) const
{
    auto count = static_cast<std::uint32_t>(this->storeLoading.size());
    for (const auto &[id, goal] : this->goals) {
        const UpstreamFacts *facts = scene.find(id);
        if (facts != nullptr && facts->upstream->loading.isEmpty()
            && facts->sources[scene.modelPlaces[goal.model]] == WeightSource::Store)
            ++count;
    }
    return count;
}

bool ResidencyPlanner::canLoadFromStore(Scene &scene)
{
    return this->pacer.mayStart(store::LoadKind::Model, this->storeLoads(scene), scene.now);
}

} // namespace bamboochute::residency
