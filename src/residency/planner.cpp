#include "residency/planner.hpp"

#include <algorithm>
#include <array>

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

bool ResidencyPlanner::Goal::drops(const ModelId &dropped) const
{
    return std::find(this->victims.begin(), this->victims.end(), dropped) != this->victims.end();
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
        const std::size_t index = scene.modelPlaces[target.model];
        const std::optional<TimePoint> turn = this->nextTurn(scene, index);
        const std::optional<TimePoint> coming = this->earliestGoal(target.model);
        if (!coming || *coming > scene.now + this->limits.slowGoal) {
            const std::optional<Place> place = this->bestPlace(scene, index, true);
            // A load from the weight store that is under way is not waited for if a copy is at
            // hand.
            const std::optional<TimePoint> other
                    = coming ? std::optional<TimePoint>(*coming - this->limits.slowGoal) : turn;
            const bool isWorthIt = place && place->evictionCost < this->waitingValue(*model);
            if (isWorthIt && (!other || place->readyAt <= *other))
                this->addGoal(scene, *place, target.model, true, "requests wait");
        }
        TimePoint ready = turn.value_or(scene.now + this->hopelessWait(*model->weights));
        for (auto &[id, goal] : this->goals)
            goal.isWaitedFor = goal.isWaitedFor || goal.model == target.model;
        if (const std::optional<TimePoint> goal = this->earliestGoal(target.model))
            ready = std::max(*goal, scene.now + unloadTime);
        this->expectations[target] = ready;
    }
}

/// When the first of the engines that are to load a model is expected to hold it.
std::optional<TimePoint> ResidencyPlanner::earliestGoal(const ModelId &model) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, goal] : this->goals) {
        if (goal.model == model)
            earliest = earliest ? std::min(*earliest, goal.readyAt) : goal.readyAt;
    }
    return earliest;
}

/// What it is worth to the callers that a model that they wait for is loaded now: otherwise they,
/// and those who ask next, wait for as long as a load from the weight store takes.
double ResidencyPlanner::waitingValue(const ModelFacts &model) const
{
    const double asking = model.waiting + model.rate * this->limits.horizonSeconds;
    return asking * toSeconds(model.weights->storeLoadTime);
}

/// What is said to those who wait for a model that can't be loaded yet.
Duration ResidencyPlanner::hopelessWait(const gateway::ModelWeights &model) const
{
    return std::max(this->limits.hopelessWait, model.storeLoadTime);
}

void ResidencyPlanner::goalsForReplicas(Scene &scene)
{
    struct Short
    {
        std::size_t model;
        double pressure;
    };
    std::vector<Short> shortages;
    for (std::size_t i = 0; i < scene.models.size(); ++i) {
        const ModelFacts &model = scene.models[i];
        if (model.replicas == 0 || model.replicas + model.goals >= model.wanted)
            continue;
        shortages.push_back({i, model.concurrency / (model.replicas + model.goals)});
    }
    // The weight store's few loads go to the model whose replicas bear the most.
    std::stable_sort(shortages.begin(), shortages.end(), [](const Short &left, const Short &right) {
        return left.pressure > right.pressure;
    });
    for (const Short &shortage : shortages) {
        const ModelFacts &model = scene.models[shortage.model];
        while (model.replicas + model.goals < model.wanted
               && model.goals < this->limits.replicaGoals) {
            const std::optional<Place> place = this->bestPlace(scene, shortage.model, false);
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

Duration ResidencyPlanner::loadTime(const gateway::ModelWeights &model, WeightSource source) const
{
    if (source == WeightSource::Memory)
        return model.memoryLoadTime;
    return source == WeightSource::Disk ? model.diskLoadTime : model.storeLoadTime;
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
