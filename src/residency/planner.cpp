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
    const Scene scene{upstreams, demand, now};
    this->expectations.clear();
    this->dropGoals(scene);
    this->goalsForWaiting(scene);
    this->goalsForReplicas(scene);
    this->goalsForCoverage(scene);
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

void ResidencyPlanner::dropGoals(const Scene &scene)
{
    const auto find = [&scene](const UpstreamId &id) {
        return std::find_if(scene.upstreams.begin(), scene.upstreams.end(),
                            [&id](const PlannedUpstream &one) { return one.id == id; });
    };
    std::erase_if(this->storeLoading, [&](const auto &item) {
        const auto upstream = find(item.first);
        return upstream == scene.upstreams.end() || upstream->loading != item.second;
    });
    std::erase_if(this->goals, [&](const auto &item) {
        const auto upstream = find(item.first);
        const Goal &goal = item.second;
        if (upstream == scene.upstreams.end() || !upstream->isUsable)
            return true;
        const bool isThere = upstream->residency.find(goal.model) != nullptr;
        return isThere || this->engine.find(goal.model) == nullptr
               || goal.since + this->limits.goalPatience < scene.now;
    });
}

void ResidencyPlanner::goalsForWaiting(const Scene &scene)
{
    std::vector<Target> waiting = scene.demand.waiting();
    std::sort(waiting.begin(), waiting.end(), [&scene](const Target &left, const Target &right) {
        return scene.demand.of(left).shortestWait < scene.demand.of(right).shortestWait;
    });
    for (const Target &target : waiting) {
        const gateway::ModelWeights *model = this->engine.find(target.model);
        if (model == nullptr)
            continue;
        if (this->replicas(scene, target.model) > 0) {
            this->expectations[target] = scene.now + this->limits.adapterTime;
            continue;
        }
        if (!this->isGoal(target.model)) {
            const std::optional<Place> place = this->bestPlace(scene, *model, true);
            if (place)
                this->addGoal(scene, *place, target.model, true, "requests wait");
        }
        TimePoint ready = scene.now + this->hopelessWait(*model);
        for (auto &[id, goal] : this->goals) {
            if (goal.model != target.model)
                continue;
            goal.isWaitedFor = true;
            ready = std::max(goal.readyAt, scene.now + unloadTime);
        }
        this->expectations[target] = ready;
    }
}

/// What is said to those who wait for a model that can't be loaded yet.
Duration ResidencyPlanner::hopelessWait(const gateway::ModelWeights &model) const
{
    return std::max(this->limits.hopelessWait, model.fromStore);
}

void ResidencyPlanner::goalsForReplicas(const Scene &scene)
{
    if (!this->isDemandKnown(scene))
        return;
    for (const gateway::ModelWeights &model : this->engine.models) {
        const std::uint32_t have = this->replicas(scene, model.id);
        const std::uint32_t wanted = this->wantedReplicas(scene, model.id);
        if (have == 0 || have >= wanted || this->isGoal(model.id))
            continue;
        const std::optional<Place> place = this->bestPlace(scene, model, false);
        const double benefit = this->limits.replicaCost + 2 * this->rate(scene, model.id);
        if (place && place->evictionCost < benefit)
            this->addGoal(scene, *place, model.id, false, "more replicas wanted");
    }
}

void ResidencyPlanner::goalsForCoverage(const Scene &scene)
{
    const auto usable = static_cast<double>(std::count_if(
            scene.upstreams.begin(), scene.upstreams.end(), [](const auto &u) { return u.isUsable; }));
    const auto most = static_cast<std::size_t>(std::max(1.0, usable * idleGoalShare));
    struct Missing
    {
        const gateway::ModelWeights *model;
        double benefit;
    };
    std::vector<Missing> missing;
    for (const gateway::ModelWeights &model : this->engine.models) {
        if (this->replicas(scene, model.id) > 0 || this->isGoal(model.id))
            continue;
        const WeightSource source
                = this->hasCopy(scene, model.id) ? WeightSource::Disk : WeightSource::Store;
        const double saved = toSeconds(this->loadTime(model, source));
        missing.push_back(
                {&model, this->rate(scene, model.id) * this->limits.horizonSeconds * saved});
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Missing &left, const Missing &right) {
        return left.benefit > right.benefit;
    });
    for (const Missing &one : missing) {
        const std::optional<Place> place = this->bestPlace(scene, *one.model, false);
        if (!place || place->evictionCost >= one.benefit)
            continue;
        const bool isFree = place->victims.empty() && place->source != WeightSource::Store;
        if (isFree || this->goals.size() < most)
            this->addGoal(scene, *place, one.model->id, false, "not held anywhere");
    }
}

void ResidencyPlanner::addGoal(const Scene &scene, const Place &place, const ModelId &model,
                               bool isWaitedFor, std::string_view reason)
{
    this->goals[place.upstream->id]
            = Goal{model, place.victims, scene.now, place.readyAt, isWaitedFor, reason};
}

void ResidencyPlanner::ordersForGoals(const Scene &scene, std::vector<PlannedOrder> &orders)
{
    std::vector<std::pair<UpstreamId, Goal *>> byUrgency;
    for (auto &[id, goal] : this->goals)
        byUrgency.emplace_back(id, &goal);
    std::stable_sort(byUrgency.begin(), byUrgency.end(), [](const auto &left, const auto &right) {
        return left.second->isWaitedFor && !right.second->isWaitedFor;
    });
    auto inTransit = static_cast<std::uint32_t>(this->storeLoading.size());
    for (const auto &[id, goal] : byUrgency) {
        const auto upstream = std::find_if(scene.upstreams.begin(), scene.upstreams.end(),
                                           [&id = id](const auto &one) { return one.id == id; });
        const bool isTaken = std::any_of(orders.begin(), orders.end(), [&id = id](const auto &order) {
            return order.upstream == id;
        });
        if (!upstream->isReady || isTaken)
            continue;
        const auto victim
                = std::find_if(goal->victims.begin(), goal->victims.end(), [&](const ModelId &one) {
                      return upstream->residency.find(one) != nullptr;
                  });
        if (victim != goal->victims.end()) {
            orders.push_back({id, OrderOperation::Unload, Target{*victim, {}}, WeightSource::Disk,
                              unloadTime, goal->reason});
            continue;
        }
        const gateway::ModelWeights *model = this->engine.find(goal->model);
        if (this->usedMegabytes(*upstream) + model->megabytes > this->engine.weightMegabytes) {
            // Something else was loaded there meanwhile.
            goal->since = TimePoint();
            continue;
        }
        const WeightSource source = this->sourceAt(*upstream, goal->model);
        if (source == WeightSource::Store) {
            if (!this->pacer.mayStart(store::LoadKind::Model, inTransit, scene.now))
                continue;
            this->pacer.start(store::LoadKind::Model, inTransit, scene.now);
            ++inTransit;
        }
        const Duration expected = this->loadTime(*model, source);
        goal->readyAt = scene.now + expected;
        orders.push_back(
                {id, OrderOperation::Load, Target{goal->model, {}}, source, expected, goal->reason});
    }
}

void ResidencyPlanner::ordersForAdapters(const Scene &scene, std::vector<PlannedOrder> &orders)
{
    for (const Target &target : scene.demand.waiting()) {
        if (!target.adapter.isEmpty())
            this->orderAdapter(scene, target, orders);
    }
}

void ResidencyPlanner::orderAdapter(const Scene &scene, const Target &target,
                                    std::vector<PlannedOrder> &orders)
{
    const gateway::ModelWeights *model = this->engine.find(target.model);
    if (model == nullptr)
        return;
    const PlannedUpstream *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const PlannedUpstream &upstream : scene.upstreams) {
        const gateway::ResidentModel *resident = upstream.residency.find(target.model);
        if (!upstream.isUsable || resident == nullptr)
            continue;
        const auto &pending = upstream.pendingAdapters;
        const bool isComing = std::find(pending.begin(), pending.end(), target) != pending.end();
        if (isComing || upstream.residency.holds(target))
            return;
        const bool isTaken = std::any_of(orders.begin(), orders.end(), [&](const auto &order) {
            return order.upstream == upstream.id;
        });
        const bool isLeavingModel = this->goals.contains(upstream.id)
                                    && contains(this->goals[upstream.id].victims, target.model);
        if (!upstream.isReady || isTaken || isLeavingModel)
            continue;
        const std::uint64_t score
                = stableHash(target.adapter.value(), stableHash(upstream.id.value()));
        if (best == nullptr || score > bestScore) {
            best = &upstream;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return;
    std::size_t count = best->pendingAdapters.size();
    std::optional<Target> victim;
    double victimRate = std::numeric_limits<double>::max();
    for (const gateway::ResidentModel &resident : best->residency.models) {
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
    const bool fits = this->usedMegabytes(*best) + model->adapterMegabytes
                      <= this->engine.weightMegabytes;
    if (count < this->engine.adapterSlots && fits) {
        orders.push_back({best->id, OrderOperation::Load, target, WeightSource::Store,
                          this->limits.adapterTime, "requests wait for the adapter"});
    } else if (victim) {
        orders.push_back({best->id, OrderOperation::Unload, *victim, WeightSource::Store,
                          this->limits.adapterTime, "another adapter is wanted"});
    }
}

std::optional<ResidencyPlanner::Place>
ResidencyPlanner::bestPlace(const Scene &scene, const gateway::ModelWeights &model, bool isWaitedFor)
{
    std::optional<Place> best;
    for (const PlannedUpstream &upstream : scene.upstreams) {
        if (!upstream.isUsable || upstream.residency.find(model.id) != nullptr)
            continue;
        const auto present = this->goals.find(upstream.id);
        // Those who wait go before what was only planned ahead.
        if (present != this->goals.end() && (!isWaitedFor || present->second.isWaitedFor))
            continue;
        const std::optional<Place> place = this->placeAt(scene, upstream, model);
        // An engine is not set aside for a load that the weight store can't begin yet.
        if (place && place->source == WeightSource::Store && !this->canLoadFromStore(scene))
            continue;
        if (place && place->evictionCost < forbiddenCost && (!best || place->cost < best->cost))
            best = place;
    }
    return best;
}

std::optional<ResidencyPlanner::Place> ResidencyPlanner::placeAt(const Scene &scene,
                                                                 const PlannedUpstream &upstream,
                                                                 const gateway::ModelWeights &model)
{
    struct Victim
    {
        const gateway::ModelWeights *model;
        double value;
        double megabytes;
    };
    double free = this->engine.weightMegabytes - this->usedMegabytes(upstream);
    std::vector<Victim> victims;
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        const gateway::ModelWeights *weights = this->engine.find(resident.model);
        if (weights == nullptr)
            continue;
        const double megabytes
                = weights->megabytes
                  + static_cast<double>(resident.adapters.size()) * weights->adapterMegabytes;
        victims.push_back({weights, this->keepValue(scene, upstream, *weights), megabytes});
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim &left, const Victim &right) { return left.value < right.value; });
    Place place;
    place.upstream = &upstream;
    for (const Victim &victim : victims) {
        if (free >= model.megabytes)
            break;
        free += victim.megabytes;
        place.victims.push_back(victim.model->id);
        place.evictionCost += victim.value;
    }
    if (free < model.megabytes)
        return std::nullopt;
    const WeightSource source = this->sourceAt(upstream, model.id);
    const Duration load = this->loadTime(model, source);
    const TimePoint begin = std::max(scene.now, upstream.busyUntil)
                            + unloadTime * static_cast<int>(place.victims.size());
    place.readyAt = begin + load;
    place.source = source;
    if (source == WeightSource::Store) {
        const auto ahead = static_cast<std::uint32_t>(this->goals.size());
        place.readyAt
                = this->pacer.estimateStart(ahead, this->storeLoads(scene), load, begin) + load;
    }
    place.cost = seconds(scene.now, place.readyAt) + place.evictionCost;
    return place;
}

/// What it costs the callers when the model is dropped there.
double ResidencyPlanner::keepValue(const Scene &scene, const PlannedUpstream &upstream,
                                   const gateway::ModelWeights &model) const
{
    const auto loaded = this->loadedAt.find({upstream.id, model.id});
    if (loaded != this->loadedAt.end()
        && loaded->second + this->limits.minResidency > scene.now)
        return forbiddenCost;
    const double running = this->limits.runningCost * upstream.running;
    const std::uint32_t have = this->replicas(scene, model.id);
    const double rate = this->rate(scene, model.id);
    if (have > this->wantedReplicas(scene, model.id))
        return this->limits.surplusCost + 0.01 * rate + running;
    if (have > 1)
        return this->limits.replicaCost + 2 * rate + running;
    const double reload = toSeconds(this->loadTime(model, WeightSource::Disk));
    return this->limits.soleReplicaCost + rate * this->limits.horizonSeconds * reload + running;
}

std::uint32_t ResidencyPlanner::replicas(const Scene &scene, const ModelId &model) const
{
    std::uint32_t count = 0;
    for (const PlannedUpstream &upstream : scene.upstreams) {
        const auto goal = this->goals.find(upstream.id);
        const bool isGoing = goal != this->goals.end() && contains(goal->second.victims, model);
        if (upstream.isUsable && !isGoing && upstream.residency.find(model) != nullptr)
            ++count;
    }
    return count;
}

std::uint32_t ResidencyPlanner::wantedReplicas(const Scene &scene, const ModelId &model) const
{
    if (!this->isDemandKnown(scene))
        return std::clamp(this->replicas(scene, model), 1U, this->limits.assumedReplicas);
    const SmoothedDemand demand = scene.demand.of(Target{model, {}});
    std::uint32_t wanted = 1;
    if (demand.perSecond >= this->limits.twoReplicasFrom)
        wanted = 2;
    const double byLoad = 1 + demand.concurrency / this->limits.concurrencyPerReplica;
    return std::max(wanted, static_cast<std::uint32_t>(byLoad));
}

bool ResidencyPlanner::isDemandKnown(const Scene &scene) const
{
    return scene.demand.arrivals() >= this->limits.knownAfterArrivals;
}

double ResidencyPlanner::rate(const Scene &scene, const ModelId &model) const
{
    return std::max(this->limits.assumedRate, scene.demand.of(Target{model, {}}).perSecond);
}

double ResidencyPlanner::usedMegabytes(const PlannedUpstream &upstream) const
{
    double used = 0;
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        const gateway::ModelWeights *model = this->engine.find(resident.model);
        // A model that the configuration no longer names takes room of unknown size.
        if (model == nullptr)
            return this->engine.weightMegabytes;
        used += model->megabytes
                + static_cast<double>(resident.adapters.size()) * model->adapterMegabytes;
    }
    for (const Target &pending : upstream.pendingAdapters) {
        const gateway::ModelWeights *model = this->engine.find(pending.model);
        used += model == nullptr ? 0 : model->adapterMegabytes;
    }
    return used;
}

WeightSource ResidencyPlanner::sourceAt(const PlannedUpstream &upstream, const ModelId &model) const
{
    if (contains(upstream.copies.inMemory, model))
        return WeightSource::Memory;
    return contains(upstream.copies.onDisk, model) ? WeightSource::Disk : WeightSource::Store;
}

/// Whether some upstream could load the model without the weight store.
bool ResidencyPlanner::hasCopy(const Scene &scene, const ModelId &model) const
{
    return std::any_of(scene.upstreams.begin(), scene.upstreams.end(), [&](const auto &upstream) {
        return upstream.isUsable && this->sourceAt(upstream, model) != WeightSource::Store;
    });
}

Duration ResidencyPlanner::loadTime(const gateway::ModelWeights &model, WeightSource source) const
{
    if (source == WeightSource::Memory)
        return model.fromMemory;
    return source == WeightSource::Disk ? model.fromDisk : model.fromStore;
}

/// Loads from the weight store that run or are about to begin.
std::uint32_t ResidencyPlanner::storeLoads(const Scene &scene) const
{
    auto count = static_cast<std::uint32_t>(this->storeLoading.size());
    for (const auto &[id, goal] : this->goals) {
        const auto upstream = std::find_if(scene.upstreams.begin(), scene.upstreams.end(),
                                           [&id = id](const auto &one) { return one.id == id; });
        if (upstream != scene.upstreams.end() && upstream->loading.isEmpty()
            && this->sourceAt(*upstream, goal.model) == WeightSource::Store)
            ++count;
    }
    return count;
}

bool ResidencyPlanner::canLoadFromStore(const Scene &scene)
{
    return this->pacer.mayStart(store::LoadKind::Model, this->storeLoads(scene), scene.now);
}

bool ResidencyPlanner::isGoal(const ModelId &model) const
{
    return std::any_of(this->goals.begin(), this->goals.end(),
                       [&model](const auto &item) { return item.second.model == model; });
}

} // namespace bamboochute::residency
