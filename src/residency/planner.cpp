#include "residency/planner.hpp"

#include <algorithm>
#include <array>

namespace bamboochute::residency {

namespace {

/// An action with this cost or more must not be taken.
constexpr double forbiddenCost = 100;
/// Concurrent loads from the weight store; lower while their durations show that it is slow.
constexpr std::uint32_t maxStoreLoads = 4;
/// Share of the configured rate of loads from the weight store that is used.
constexpr double storeRateShare = 0.85;
/// Number of goals, as a share of the usable engines, from which a model without waiting requests
/// is planned only where that takes neither an eviction nor a load from the weight store.
constexpr double preloadGoalShare = 0.34;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, toSeconds(to - from));
}

} // namespace

std::string_view weightSourceName(WeightSource source) noexcept
{
    constexpr std::array<std::string_view, 3> names{"memory", "disk", "store"};
    return names[static_cast<std::size_t>(source)];
}

bool ResidencyPlanner::Goal::evicts(const ModelId &modelId) const
{
    return std::find(this->victims.begin(), this->victims.end(), modelId) != this->victims.end();
}

void ResidencyPlanner::configure(const gateway::EngineSpec &changed)
{
    this->engine = changed;
    StoreLimits limits;
    limits.loadsPerSecond = changed.storeLoadsPerSecond * storeRateShare;
    limits.loadsAtOnce = maxStoreLoads;
    this->pacer.configure(limits);
}

void ResidencyPlanner::restart(TimePoint now)
{
    this->goals.clear();
    this->loadedAt.clear();
    this->adapterLoadedAt.clear();
    this->returningStreams.clear();
    this->runningStoreLoads.clear();
    this->expectedReadyTimes.clear();
    this->pacer.restart(now);
}

std::vector<PlannedOrder> ResidencyPlanner::plan(const std::vector<UpstreamSnapshot> &upstreams,
                                                 const DemandTally &demand, TimePoint now)
{
    PlanningState state = this->buildPlanningState(upstreams, demand, now);
    this->expectedReadyTimes.clear();
    this->removeObsoleteGoals(state);
    // Few engines can load for the bound requests; the others' goals may go elsewhere.
    this->markGoalsOfBoundRequests(state);
    this->addGoalsForBoundRequests(state);
    this->addGoalsForWaitingRequests(state);
    this->addGoalsForReturningStreams(state);
    if (this->preloadPlannedAt == TimePoint()
        || now >= this->preloadPlannedAt + this->settings.preloadInterval) {
        this->preloadPlannedAt = now;
        this->addGoalsForReplicas(state);
        this->addGoalsForUnloadedModels(state);
    }
    std::vector<PlannedOrder> orders;
    this->addOrdersForAdapters(state, orders);
    this->addOrdersForGoals(state, orders);
    return orders;
}

std::optional<TimePoint> ResidencyPlanner::readyAt(const Target &target,
                                                   const SoftwareVersion &version) const
{
    const auto found = this->expectedReadyTimes.find({target, version});
    return found == this->expectedReadyTimes.end() ? std::nullopt
                                                   : std::optional<TimePoint>(found->second);
}

void ResidencyPlanner::recordAcceptedOrder(const PlannedOrder &order, TimePoint now)
{
    if (order.operation != OrderOperation::Load)
        return;
    if (!order.target.adapter.isEmpty()) {
        this->adapterLoadedAt[{order.upstream, order.target}] = now;
        return;
    }
    this->loadedAt[{order.upstream, order.target.model}] = now + order.expected;
    if (order.source == WeightSource::Store)
        this->runningStoreLoads[order.upstream] = order.target.model;
}

void ResidencyPlanner::recordStoreLoadTime(Duration took, Duration expected)
{
    this->pacer.recordFinish(store::LoadKind::Model, took, expected);
}

void ResidencyPlanner::removeObsoleteGoals(PlanningState &state)
{
    std::erase_if(this->runningStoreLoads, [&](const auto &item) {
        const UpstreamState *upstreamState = state.find(item.first);
        return upstreamState == nullptr || upstreamState->snapshot->loading != item.second;
    });
    std::erase_if(this->goals, [&](const auto &item) {
        const UpstreamState *upstreamState = state.find(item.first);
        const Goal &goal = item.second;
        const bool isObsolete = upstreamState == nullptr || !upstreamState->snapshot->isUsable
                                || upstreamState->snapshot->residency.find(goal.model) != nullptr
                                || goal.createdAt + this->settings.goalTimeout < state.now;
        ModelState *model = state.find(goal.model);
        if (isObsolete && model != nullptr)
            --model->goalCount;
        return isObsolete || model == nullptr;
    });
}

void ResidencyPlanner::addGoalsForWaitingRequests(PlanningState &state)
{
    std::vector<Target> waiting = state.demand.waitingTargets();
    std::sort(waiting.begin(), waiting.end(), [&state](const Target &left, const Target &right) {
        return state.demand.demandFor(left).shortestWait
               < state.demand.demandFor(right).shortestWait;
    });
    for (const Target &target : waiting) {
        ModelState *model = state.find(target.model);
        if (model == nullptr)
            continue;
        if (model->replicas > 0) {
            this->expectedReadyTimes[{target}] = this->adapterReadyAt(state, {target});
            continue;
        }
        const std::size_t index = state.modelIndexes[target.model];
        const std::optional<TimePoint> readyAfterGoals = this->earliestLoadAfterGoals(state, index);
        const std::optional<TimePoint> plannedReady = this->earliestGoalReadyAt(target.model);
        if (!plannedReady || *plannedReady > state.now + this->settings.slowGoalThreshold) {
            const std::optional<Candidate> candidate
                    = this->findBestCandidate(state, index, Precedence::Waiting);
            // A slow load from the weight store in progress does not keep the model from being
            // loaded from a copy on another engine.
            const std::optional<TimePoint> latestUsefulReady
                    = plannedReady ? std::optional<TimePoint>(*plannedReady
                                                              - this->settings.slowGoalThreshold)
                                   : readyAfterGoals;
            const bool isWorthIt
                    = candidate && candidate->disruptionCost < this->computeLoadBenefit(*model);
            if (isWorthIt && (!latestUsefulReady || candidate->readyAt <= *latestUsefulReady))
                this->addGoal(state, *candidate, target.model, Precedence::Waiting,
                              "requests wait");
        }
        TimePoint ready = readyAfterGoals.value_or(state.now
                                                   + this->estimateUnplannedWait(*model->weights));
        for (auto &[id, goal] : this->goals)
            goal.hasWaitingRequests = goal.hasWaitingRequests || goal.model == target.model;
        if (const std::optional<TimePoint> goal = this->earliestGoalReadyAt(target.model))
            ready = std::max(*goal, state.now + unloadTime);
        this->expectedReadyTimes[{target}] = ready;
    }
}

/// Earliest time at which an engine with a goal for a model is expected to hold it.
std::optional<TimePoint> ResidencyPlanner::earliestGoalReadyAt(const ModelId &model) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, goal] : this->goals) {
        if (goal.model == model)
            earliest = earliest ? std::min(*earliest, goal.readyAt) : goal.readyAt;
    }
    return earliest;
}

/// Benefit of loading a model now that requests wait for, in seconds: otherwise they, and the
/// requests expected next, wait for as long as a load from the weight store takes.
double ResidencyPlanner::computeLoadBenefit(const ModelState &model) const
{
    const double expectedRequests
            = model.waitingRequests + model.rate * this->settings.horizonSeconds;
    return expectedRequests * toSeconds(model.weights->storeLoadTime);
}

/// Expected wait that is announced for a model that can't be loaded yet.
Duration ResidencyPlanner::estimateUnplannedWait(const gateway::ModelWeights &model) const
{
    return std::max(this->settings.minUnplannedWait, model.storeLoadTime);
}

void ResidencyPlanner::addGoalsForReplicas(PlanningState &state)
{
    struct Shortage
    {
        std::size_t model;
        double requestsPerReplica;
    };
    std::vector<Shortage> shortages;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
        const ModelState &model = state.models[i];
        if (model.replicas == 0 || model.replicas + model.goalCount >= model.wantedReplicas)
            continue;
        shortages.push_back({i, model.concurrency / (model.replicas + model.goalCount)});
    }
    // The few loads from the weight store go first to the model with the most requests per replica.
    std::stable_sort(shortages.begin(), shortages.end(),
                     [](const Shortage &left, const Shortage &right) {
                         return left.requestsPerReplica > right.requestsPerReplica;
                     });
    for (const Shortage &shortage : shortages) {
        const ModelState &model = state.models[shortage.model];
        while (model.replicas + model.goalCount < model.wantedReplicas
               && model.goalCount < this->settings.maxReplicaGoals) {
            const std::optional<Candidate> candidate
                    = this->findBestCandidate(state, shortage.model, Precedence::Expected);
            const double benefit = this->settings.replicaCost + 2 * model.rate;
            if (!candidate || candidate->disruptionCost >= benefit)
                break;
            this->addGoal(state, *candidate, model.weights->id, Precedence::Expected,
                          "more replicas wanted");
        }
    }
}

void ResidencyPlanner::addGoalsForUnloadedModels(PlanningState &state)
{
    const auto usableUpstreams = static_cast<double>(
            std::count_if(state.upstreams.begin(), state.upstreams.end(),
                          [](const UpstreamState &one) { return one.snapshot->isUsable; }));
    const auto maxGoals
            = static_cast<std::size_t>(std::max(1.0, usableUpstreams * preloadGoalShare));
    struct MissingModel
    {
        std::size_t model;
        double benefit;
    };
    std::vector<MissingModel> missingModels;
    for (std::size_t i = 0; i < state.models.size(); ++i) {
        const ModelState &model = state.models[i];
        if (model.replicas > 0 || model.goalCount > 0)
            continue;
        const WeightSource source = model.hasCopy ? WeightSource::Disk : WeightSource::Store;
        const double savedSeconds = toSeconds(this->loadTime(*model.weights, source));
        missingModels.push_back({i, model.rate * this->settings.horizonSeconds * savedSeconds});
    }
    std::stable_sort(missingModels.begin(), missingModels.end(),
                     [](const MissingModel &left, const MissingModel &right) {
                         return left.benefit > right.benefit;
                     });
    if (missingModels.size() > this->settings.maxPreloadModels)
        missingModels.resize(this->settings.maxPreloadModels);
    for (const MissingModel &missingModel : missingModels) {
        const std::optional<Candidate> candidate
                = this->findBestCandidate(state, missingModel.model, Precedence::Expected);
        if (!candidate || candidate->disruptionCost >= missingModel.benefit)
            continue;
        const bool isCostFree
                = candidate->victims.empty() && candidate->source != WeightSource::Store;
        if (isCostFree || this->goals.size() < maxGoals)
            this->addGoal(state, *candidate, state.models[missingModel.model].weights->id,
                          Precedence::Expected, "not held anywhere");
    }
}

void ResidencyPlanner::addGoal(PlanningState &state, const Candidate &candidate,
                               const ModelId &model, Precedence precedence, std::string_view reason)
{
    const auto replaced = this->goals.find(candidate.upstream->id);
    if (replaced != this->goals.end())
        this->dropGoal(state, replaced);
    for (const ModelId &victim : candidate.victims) {
        ModelState *evicted = state.find(victim);
        if (evicted != nullptr && evicted->replicas > 0)
            --evicted->replicas;
    }
    ++state.find(model)->goalCount;
    this->goals[candidate.upstream->id] = Goal{model,
                                               candidate.victims,
                                               state.now,
                                               candidate.readyAt,
                                               precedence != Precedence::Expected,
                                               reason,
                                               precedence == Precedence::Bound};
}

void ResidencyPlanner::dropGoal(PlanningState &state, Goals::iterator goal)
{
    if (ModelState *model = state.find(goal->second.model))
        --model->goalCount;
    // What it has not evicted yet stays.
    for (const std::size_t resident : state.find(goal->first)->resident) {
        if (goal->second.evicts(state.models[resident].weights->id))
            ++state.models[resident].replicas;
    }
    this->goals.erase(goal);
}

void ResidencyPlanner::addOrdersForGoals(PlanningState &state, std::vector<PlannedOrder> &orders)
{
    std::vector<std::pair<UpstreamId, Goal *>> byUrgency;
    for (auto &[id, goal] : this->goals)
        byUrgency.emplace_back(id, &goal);
    std::stable_sort(byUrgency.begin(), byUrgency.end(), [](const auto &left, const auto &right) {
        return left.second->precedence() > right.second->precedence();
    });
    auto inTransit = static_cast<std::uint32_t>(this->runningStoreLoads.size());
    for (const auto &[id, goal] : byUrgency) {
        const UpstreamState *upstreamState = state.find(id);
        const UpstreamSnapshot &upstream = *upstreamState->snapshot;
        const bool hasOrder
                = std::any_of(orders.begin(), orders.end(),
                              [&id = id](const auto &order) { return order.upstream == id; });
        if (!upstream.isReady || hasOrder)
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
        const std::size_t index = state.modelIndexes[goal->model];
        const gateway::ModelWeights &model = *state.models[index].weights;
        if (upstreamState->usedMegabytes + model.megabytes > this->engine.weightMegabytes) {
            // Another model or adapter was loaded there meanwhile; let the goal expire.
            goal->createdAt = TimePoint();
            continue;
        }
        const WeightSource source = upstreamState->sources[index];
        if (source == WeightSource::Store) {
            if (!this->pacer.mayStart(store::LoadKind::Model, inTransit, state.now))
                continue;
            this->pacer.recordStart(store::LoadKind::Model, inTransit, state.now);
            ++inTransit;
        }
        const Duration expected = this->loadTime(model, source);
        goal->readyAt = state.now + expected;
        orders.push_back({id, OrderOperation::Load, Target{goal->model, {}}, source, expected,
                          goal->reason});
    }
}

std::optional<ResidencyPlanner::Candidate>
ResidencyPlanner::findBestCandidate(PlanningState &state, std::size_t model, Precedence precedence,
                                    const SoftwareVersion &version)
{
    std::optional<Candidate> best;
    const bool canUseStore = this->canLoadFromStore(state);
    for (const UpstreamState &upstreamState : state.upstreams) {
        const auto &resident = upstreamState.resident;
        if (!upstreamState.snapshot->isUsable || !upstreamState.isOfVersion(version)
            || std::find(resident.begin(), resident.end(), model) != resident.end())
            continue;
        // No engine is reserved for a load that the weight store can't begin yet.
        if (upstreamState.sources[model] == WeightSource::Store && !canUseStore)
            continue;
        if (this->isReservedFor(upstreamState, precedence))
            continue;
        const std::optional<Candidate> candidate
                = this->evaluateCandidate(state, upstreamState, model, !version.isEmpty());
        if (candidate && candidate->disruptionCost < forbiddenCost
            && (!best || candidate->cost < best->cost))
            best = candidate;
    }
    return best;
}

/// Whether an engine has a goal that one of this precedence may not replace.
bool ResidencyPlanner::isReservedFor(const UpstreamState &upstreamState,
                                     Precedence precedence) const
{
    const auto goal = this->goals.find(upstreamState.snapshot->id);
    if (goal == this->goals.end())
        return false;
    const Precedence present = goal->second.precedence();
    const bool isLoadingForRequests
            = present != Precedence::Expected && !upstreamState.snapshot->loading.isEmpty();
    return present >= precedence || isLoadingForRequests;
}

/// Earliest time at which an engine with a copy of the weights, and with a goal for other waiting
/// requests, could hold the model after that goal.
std::optional<TimePoint> ResidencyPlanner::earliestLoadAfterGoals(const PlanningState &state,
                                                                  std::size_t model) const
{
    std::optional<TimePoint> earliest;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const auto goal = this->goals.find(upstreamState.snapshot->id);
        const WeightSource source = upstreamState.sources[model];
        if (goal == this->goals.end() || !goal->second.hasWaitingRequests
            || !upstreamState.snapshot->isUsable || source == WeightSource::Store)
            continue;
        const TimePoint readyAfterGoals = std::max(goal->second.readyAt, state.now) + unloadTime
                                          + this->loadTime(*state.models[model].weights, source);
        earliest = earliest ? std::min(*earliest, readyAfterGoals) : readyAfterGoals;
    }
    return earliest;
}

std::optional<ResidencyPlanner::Candidate>
ResidencyPlanner::evaluateCandidate(const PlanningState &state, const UpstreamState &upstreamState,
                                    std::size_t model, bool isBound) const
{
    struct Victim
    {
        std::size_t model;
        double evictionCost;
    };
    const gateway::ModelWeights &weights = *state.models[model].weights;
    double freeMegabytes = this->engine.weightMegabytes - upstreamState.usedMegabytes;
    Candidate candidate;
    candidate.upstream = upstreamState.snapshot;
    if (freeMegabytes < weights.megabytes) {
        std::vector<Victim> victims;
        for (const std::size_t resident : upstreamState.resident) {
            double cost = this->computeEvictionCost(state, upstreamState, resident);
            // Engines of other versions can't load what bound requests wait for.
            if (!isBound && this->mayStreamsNeed(state, upstreamState, resident))
                cost += this->settings.soleReplicaAtVersionCost;
            if (this->evictableAt(state, upstreamState, resident) > state.now)
                cost = forbiddenCost;
            victims.push_back({resident, cost});
        }
        std::sort(victims.begin(), victims.end(), [](const Victim &left, const Victim &right) {
            return left.evictionCost < right.evictionCost;
        });
        for (const Victim &victim : victims) {
            if (freeMegabytes >= weights.megabytes)
                break;
            freeMegabytes += state.models[victim.model].weights->megabytes;
            candidate.victims.push_back(state.models[victim.model].weights->id);
            candidate.disruptionCost += victim.evictionCost;
        }
    }
    if (freeMegabytes < weights.megabytes)
        return std::nullopt;
    candidate.source = upstreamState.sources[model];
    const Duration loadDuration = this->loadTime(weights, candidate.source);
    const TimePoint loadStart = std::max(state.now, upstreamState.snapshot->busyUntil)
                                + unloadTime * static_cast<int>(candidate.victims.size());
    candidate.readyAt = loadStart + loadDuration;
    if (candidate.source == WeightSource::Store)
        candidate.disruptionCost
                += this->computeAdapterBlockingCost(state, upstreamState, loadDuration);
    candidate.cost = secondsBetween(state.now, candidate.readyAt) + candidate.disruptionCost;
    return candidate;
}

/// Time from which a model may be evicted from an engine; not before the present one.
TimePoint ResidencyPlanner::evictableAt(const PlanningState &state,
                                        const UpstreamState &upstreamState, std::size_t model) const
{
    const auto loaded
            = this->loadedAt.find({upstreamState.snapshot->id, state.models[model].weights->id});
    return loaded == this->loadedAt.end()
                   ? state.now
                   : std::max(state.now, loaded->second + this->settings.minResidencyTime);
}

/// Cost to the callers of evicting a model that may be evicted from an engine, in seconds.
double ResidencyPlanner::computeEvictionCost(const PlanningState &state,
                                             const UpstreamState &upstreamState,
                                             std::size_t model) const
{
    const ModelState &modelState = state.models[model];
    const double runningCost = this->settings.runningRequestCost * upstreamState.snapshot->running;
    if (modelState.replicas > modelState.wantedReplicas)
        return this->settings.surplusReplicaCost + 0.01 * modelState.rate + runningCost;
    if (modelState.replicas > 1)
        return this->settings.replicaCost + 2 * modelState.rate + runningCost;
    const double reloadSeconds = toSeconds(this->loadTime(*modelState.weights, WeightSource::Disk));
    return this->settings.soleReplicaCost
           + modelState.rate * this->settings.horizonSeconds * reloadSeconds + runningCost;
}

Duration ResidencyPlanner::loadTime(const gateway::ModelWeights &model, WeightSource source) const
{
    if (source == WeightSource::Memory)
        return model.memoryLoadTime;
    return source == WeightSource::Disk ? model.diskLoadTime : model.storeLoadTime;
}

/// Counts the loads from the weight store that run or have a goal.
std::uint32_t ResidencyPlanner::countStoreLoads(PlanningState &state) const
{
    auto count = static_cast<std::uint32_t>(this->runningStoreLoads.size());
    for (const auto &[id, goal] : this->goals) {
        const UpstreamState *upstreamState = state.find(id);
        if (upstreamState != nullptr && upstreamState->snapshot->loading.isEmpty()
            && upstreamState->sources[state.modelIndexes[goal.model]] == WeightSource::Store)
            ++count;
    }
    return count;
}

bool ResidencyPlanner::canLoadFromStore(PlanningState &state)
{
    return this->pacer.mayStart(store::LoadKind::Model, this->countStoreLoads(state), state.now);
}

} // namespace bamboochute::residency
