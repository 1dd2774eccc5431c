#include "residency/planner.hpp"

#include <algorithm>

namespace bamboochute::residency {

namespace {

/// Requests that wait for a model or its adapters at one software version.
std::uint64_t countBoundWaits(const DemandTally &demand, const VersionedTarget &wanted)
{
    std::uint64_t count = 0;
    for (const auto &[target, waits] : demand.boundWaits()) {
        if (target.target.model == wanted.target.model && target.version == wanted.version)
            count += waits.waiting;
    }
    return count;
}

} // namespace

void ResidencyPlanner::markGoalsOfBoundRequests(PlanningState &state)
{
    const auto &boundWaits = state.demand.boundWaits();
    for (auto &item : this->goals) {
        Goal &goal = item.second;
        const UpstreamState &upstreamState = *state.find(item.first);
        goal.hasBoundRequests
                = std::any_of(boundWaits.begin(), boundWaits.end(), [&](const auto &one) {
                      return one.first.target.model == goal.model
                             && upstreamState.isOfVersion(one.first.version);
                  });
        goal.hasWaitingRequests = goal.hasWaitingRequests || goal.hasBoundRequests;
    }
}

/// Plans for streams that go on only at the version that began them, as other engines than those
/// that hold their target may have to load it.
void ResidencyPlanner::addGoalsForBoundRequests(PlanningState &state)
{
    const auto &boundWaits = state.demand.boundWaits();
    std::vector<std::pair<VersionedTarget, BoundWaits>> byUrgency(boundWaits.begin(),
                                                                  boundWaits.end());
    std::stable_sort(byUrgency.begin(), byUrgency.end(), [](const auto &left, const auto &right) {
        return left.second.shortestWait < right.second.shortestWait;
    });
    for (const auto &[wanted, waits] : byUrgency) {
        if (state.find(wanted.target.model) == nullptr)
            continue;
        this->expectedReadyTimes[wanted] = this->planBoundTarget(state, wanted, waits.shortestWait);
        ReturningStreams &streams = this->returningStreams[{wanted.target.model, wanted.version}];
        streams.count = std::max(streams.count, countBoundWaits(state.demand, wanted));
        streams.seenAt = state.now;
    }
}

/// Plans for streams that were refused, as they are likely to come back: an engine of their version
/// that has a copy of the weights may have registered since.
void ResidencyPlanner::addGoalsForReturningStreams(PlanningState &state)
{
    std::erase_if(this->returningStreams, [&](const auto &item) {
        return item.second.seenAt + this->settings.streamReturnTime <= state.now
               || state.find(item.first.first) == nullptr;
    });
    for (const auto &[key, streams] : this->returningStreams) {
        const auto &[id, version] = key;
        if (this->isPlannedAtVersion(state, id, version))
            continue;
        const std::size_t index = state.modelIndexes[id];
        const std::optional<Candidate> candidate
                = this->findBestCandidate(state, index, Precedence::Expected, version);
        const double benefit = static_cast<double>(streams.count) * this->settings.streamReturnShare
                               * toSeconds(state.models[index].weights->storeLoadTime);
        if (candidate && candidate->source != WeightSource::Store
            && candidate->disruptionCost < benefit)
            this->addGoal(state, *candidate, id, Precedence::Expected, "streams may come back");
    }
}

/// Whether a usable engine of a version holds a model and is to keep it, or will soon hold it.
bool ResidencyPlanner::isPlannedAtVersion(const PlanningState &state, const ModelId &model,
                                          const SoftwareVersion &version) const
{
    return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto &one) {
        if (!one.snapshot->isUsable || !one.isOfVersion(version))
            return false;
        const auto goal = this->goals.find(one.snapshot->id);
        const bool hasGoal = goal != this->goals.end();
        const bool isHeld = one.snapshot->residency.find(model) != nullptr;
        return (isHeld && !(hasGoal && goal->second.evicts(model)))
               || (hasGoal && goal->second.model == model
                   && this->goalReadyAt(state, one, goal->second)
                              < state.now + this->settings.slowGoalThreshold);
    });
}

/// Returns when an engine of the version is expected to hold the target.
TimePoint ResidencyPlanner::planBoundTarget(PlanningState &state, const VersionedTarget &wanted,
                                            Duration shortestWait)
{
    if (const std::optional<TimePoint> readyAt = this->findBoundReplica(state, wanted))
        return *readyAt;
    const std::optional<TimePoint> goalReady = this->findBoundGoal(state, wanted);
    if (goalReady && *goalReady < state.now + this->settings.slowGoalThreshold)
        return *goalReady;
    const ModelId &id = wanted.target.model;
    const std::size_t index = state.modelIndexes[id];
    const gateway::ModelWeights &weights = *state.models[index].weights;
    const double benefit = static_cast<double>(countBoundWaits(state.demand, wanted))
                           * toSeconds(weights.storeLoadTime);
    const std::optional<Candidate> candidate
            = this->findBoundCandidate(state, wanted, shortestWait, benefit);
    // A slow load from the weight store does not keep the model from being loaded from a copy.
    if (goalReady && (!candidate || candidate->readyAt >= *goalReady))
        return *goalReady;
    if (!candidate)
        return this->earliestBoundLoad(state, index, wanted.version, benefit)
                .value_or(state.now + this->estimateUnplannedWait(weights));
    this->addGoal(state, *candidate, id, Precedence::Bound,
                  "streams wait for the software version");
    return candidate->readyAt;
}

/// Returns when a target is ready at an engine of the version that holds its model. One that is to
/// be evicted for requests that other engines can serve is kept.
std::optional<TimePoint> ResidencyPlanner::findBoundReplica(PlanningState &state,
                                                            const VersionedTarget &wanted)
{
    const ModelId &id = wanted.target.model;
    auto evicting = this->goals.end();
    for (const UpstreamState &upstreamState : state.upstreams) {
        if (!upstreamState.snapshot->isUsable || !upstreamState.isOfVersion(wanted.version)
            || upstreamState.snapshot->residency.find(id) == nullptr)
            continue;
        const auto goal = this->goals.find(upstreamState.snapshot->id);
        if (goal == this->goals.end() || !goal->second.evicts(id))
            return this->adapterReadyAt(state, wanted);
        if (!goal->second.hasBoundRequests)
            evicting = goal;
    }
    if (evicting == this->goals.end())
        return std::nullopt;
    this->dropGoal(state, evicting);
    return this->adapterReadyAt(state, wanted);
}

/// Returns when the first engine of the version that has a goal for the model is expected to hold
/// it.
std::optional<TimePoint> ResidencyPlanner::findBoundGoal(const PlanningState &state,
                                                         const VersionedTarget &wanted)
{
    std::optional<TimePoint> earliest;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const auto goal = this->goals.find(upstreamState.snapshot->id);
        if (goal == this->goals.end() || goal->second.model != wanted.target.model
            || !upstreamState.isOfVersion(wanted.version))
            continue;
        goal->second.hasWaitingRequests = true;
        goal->second.hasBoundRequests = true;
        const TimePoint readyAt = this->goalReadyAt(state, upstreamState, goal->second);
        earliest = std::min(earliest.value_or(readyAt), readyAt);
    }
    return earliest;
}

/// When an engine is expected to reach its goal. Only a report shows the end of a load from the
/// weight store, which takes longer than expected while many run.
TimePoint ResidencyPlanner::goalReadyAt(const PlanningState &state,
                                        const UpstreamState &upstreamState, const Goal &goal) const
{
    const bool isStoreLoad
            = upstreamState.snapshot->loading == goal.model
              && upstreamState.sources[state.modelIndexes.at(goal.model)] == WeightSource::Store;
    if (isStoreLoad && goal.readyAt <= state.now)
        return state.now + this->settings.slowGoalThreshold;
    return std::max(goal.readyAt, state.now + unloadTime);
}

/// Returns where to load a model whose load is worth its cost; in place of a goal for requests that
/// other engines can serve only if no other engine can hold it in time.
std::optional<ResidencyPlanner::Candidate>
ResidencyPlanner::findBoundCandidate(PlanningState &state, const VersionedTarget &wanted,
                                     Duration shortestWait, double benefit)
{
    const std::size_t index = state.modelIndexes[wanted.target.model];
    std::optional<Candidate> best
            = this->findBestCandidate(state, index, Precedence::Waiting, wanted.version);
    if (best && best->disruptionCost >= benefit)
        best.reset();
    if (best && best->readyAt <= state.now + shortestWait)
        return best;
    const std::optional<Candidate> replacing
            = this->findBestCandidate(state, index, Precedence::Bound, wanted.version);
    const bool isSooner = replacing && replacing->disruptionCost < benefit
                          && (!best || replacing->readyAt < best->readyAt);
    return isSooner ? replacing : best;
}

/// Whether an engine has the only replica of a model at its version, streams may be open there, and
/// new requests can go to engines of another version.
bool ResidencyPlanner::mayStreamsNeed(const PlanningState &state,
                                      const UpstreamState &upstreamState, std::size_t model) const
{
    const UpstreamSnapshot &upstream = *upstreamState.snapshot;
    const ModelId &id = state.models[model].weights->id;
    const bool isOpen = (upstream.running > 0
                         && state.models[model].concurrency >= this->settings.openStreamConcurrency)
                        || this->returningStreams.count({id, upstream.softwareVersion}) > 0;
    if (!state.hasSeveralVersions || !isOpen)
        return false;
    return std::none_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto &other) {
        if (&other == &upstreamState || !other.snapshot->isUsable
            || !other.isOfVersion(upstream.softwareVersion)
            || other.snapshot->residency.find(id) == nullptr)
            return false;
        const auto goal = this->goals.find(other.snapshot->id);
        return goal == this->goals.end() || !goal->second.evicts(id);
    });
}

/// Earliest time at which an engine of a version, with a copy of the weights, could hold a model
/// that can't be planned now.
std::optional<TimePoint> ResidencyPlanner::earliestBoundLoad(const PlanningState &state,
                                                             std::size_t model,
                                                             const SoftwareVersion &version,
                                                             double benefit) const
{
    std::optional<TimePoint> earliest;
    for (const UpstreamState &upstreamState : state.upstreams) {
        if (!upstreamState.snapshot->isUsable || !upstreamState.isOfVersion(version)
            || upstreamState.sources[model] == WeightSource::Store)
            continue;
        const std::optional<TimePoint> readyAt
                = this->earliestLoadAt(state, upstreamState, model, benefit);
        if (readyAt)
            earliest = std::min(earliest.value_or(*readyAt), *readyAt);
    }
    return earliest;
}

/// Earliest time at which an engine could hold a model: after its goal, and after the time for
/// which the models that it would have to unload are kept.
/// @return nothing if the evictions cost more than the benefit, or the model does not fit
std::optional<TimePoint> ResidencyPlanner::earliestLoadAt(const PlanningState &state,
                                                          const UpstreamState &upstreamState,
                                                          std::size_t model, double benefit) const
{
    struct Occupant
    {
        TimePoint evictableAt;
        double cost;
        double megabytes;
    };
    const gateway::ModelWeights &weights = *state.models[model].weights;
    double freeMegabytes = this->engine.weightMegabytes - upstreamState.usedMegabytes;
    TimePoint start = std::max(state.now, upstreamState.snapshot->busyUntil);
    std::vector<Occupant> occupants;
    const auto goal = this->goals.find(upstreamState.snapshot->id);
    const bool hasGoal = goal != this->goals.end();
    for (const std::size_t resident : upstreamState.resident) {
        const gateway::ModelWeights &residentWeights = *state.models[resident].weights;
        if (hasGoal && goal->second.evicts(residentWeights.id))
            freeMegabytes += residentWeights.megabytes;
        else
            occupants.push_back({this->evictableAt(state, upstreamState, resident),
                                 this->computeEvictionCost(state, upstreamState, resident),
                                 residentWeights.megabytes});
    }
    if (hasGoal) {
        start = std::max(start, goal->second.readyAt);
        const std::size_t loading = state.modelIndexes.at(goal->second.model);
        freeMegabytes -= state.models[loading].weights->megabytes;
        occupants.push_back({start + this->settings.minResidencyTime,
                             this->computeEvictionCost(state, upstreamState, loading),
                             state.models[loading].weights->megabytes});
    }
    std::sort(occupants.begin(), occupants.end(), [](const Occupant &left, const Occupant &right) {
        return std::pair(left.evictableAt, left.cost) < std::pair(right.evictableAt, right.cost);
    });
    double cost = 0;
    Duration unloads{};
    for (const Occupant &occupant : occupants) {
        if (freeMegabytes >= weights.megabytes)
            break;
        if (cost + occupant.cost >= benefit)
            continue;
        freeMegabytes += occupant.megabytes;
        start = std::max(start, occupant.evictableAt);
        cost += occupant.cost;
        unloads += unloadTime;
    }
    if (freeMegabytes < weights.megabytes)
        return std::nullopt;
    return start + unloads + this->loadTime(weights, upstreamState.sources[model]);
}

} // namespace bamboochute::residency
