#include "residency/planner.hpp"

#include "core/bounded_json.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace bamboochute::residency {

ResidencyPlanner::ModelState *ResidencyPlanner::PlanningState::find(const ModelId &model)
{
    const auto found = this->modelIndexes.find(model);
    return found == this->modelIndexes.end() ? nullptr : &this->models[found->second];
}

ResidencyPlanner::UpstreamState *ResidencyPlanner::PlanningState::find(const UpstreamId &upstream)
{
    const auto found = std::find_if(
            this->upstreams.begin(), this->upstreams.end(),
            [&upstream](const UpstreamState &one) { return one.snapshot->id == upstream; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

ResidencyPlanner::PlanningState
ResidencyPlanner::buildPlanningState(const std::vector<UpstreamSnapshot> &upstreams,
                                     const DemandTally &demand, TimePoint now) const
{
    PlanningState state{demand, now};
    state.isDemandKnown = demand.arrivals() >= this->settings.demandKnownAfterArrivals;
    std::set<SoftwareVersion> versions;
    for (const gateway::ModelWeights &model : this->engine.models) {
        state.modelIndexes.emplace(model.id, state.models.size());
        const SmoothedDemand targetDemand = demand.demandFor(Target{model.id, {}});
        ModelState modelState;
        modelState.weights = &model;
        modelState.rate = std::max(this->settings.assumedRate, targetDemand.requestsPerSecond);
        modelState.concurrency = targetDemand.concurrency;
        state.models.push_back(modelState);
    }
    for (const Target &target : demand.waitingTargets()) {
        if (ModelState *modelState = state.find(target.model))
            modelState->waitingRequests += demand.demandFor(target).waiting;
    }
    for (const UpstreamSnapshot &upstream : upstreams) {
        state.upstreams.push_back(this->buildUpstreamState(state, upstream));
        if (!upstream.isUsable)
            continue;
        versions.insert(upstream.softwareVersion);
        const UpstreamState &upstreamState = state.upstreams.back();
        const auto goal = this->goals.find(upstream.id);
        for (const std::size_t model : upstreamState.resident) {
            const ModelId &id = state.models[model].weights->id;
            if (goal == this->goals.end() || !goal->second.evicts(id))
                ++state.models[model].replicas;
        }
        for (std::size_t i = 0; i < state.models.size(); ++i) {
            if (upstreamState.sources[i] != WeightSource::Store)
                state.models[i].hasCopy = true;
        }
    }
    state.hasSeveralVersions = versions.size() > 1;
    for (ModelState &modelState : state.models)
        modelState.wantedReplicas = this->computeWantedReplicas(state, modelState);
    for (const auto &[id, goal] : this->goals) {
        ModelState *modelState = state.find(goal.model);
        if (modelState != nullptr)
            ++modelState->goalCount;
    }
    return state;
}

ResidencyPlanner::UpstreamState
ResidencyPlanner::buildUpstreamState(const PlanningState &state,
                                     const UpstreamSnapshot &upstream) const
{
    UpstreamState upstreamState;
    upstreamState.snapshot = &upstream;
    upstreamState.sources.assign(state.models.size(), WeightSource::Store);
    const auto mark = [&](const std::vector<ModelId> &copies, WeightSource source) {
        for (const ModelId &copy : copies) {
            const auto found = state.modelIndexes.find(copy);
            if (found != state.modelIndexes.end())
                upstreamState.sources[found->second] = source;
        }
    };
    mark(upstream.copies.onDisk, WeightSource::Disk);
    mark(upstream.copies.inMemory, WeightSource::Memory);
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        const auto found = state.modelIndexes.find(resident.model);
        if (found == state.modelIndexes.end()) {
            // A model that the configuration no longer has takes an unknown amount of memory; the
            // engine counts as full.
            upstreamState.usedMegabytes = this->engine.weightMegabytes;
            continue;
        }
        const gateway::ModelWeights &model = *state.models[found->second].weights;
        upstreamState.resident.push_back(found->second);
        upstreamState.usedMegabytes
                += model.megabytes
                   + static_cast<double>(resident.adapters.size()) * model.adapterMegabytes;
    }
    for (const Target &pending : upstream.pendingAdapters) {
        const auto found = state.modelIndexes.find(pending.model);
        if (found != state.modelIndexes.end())
            upstreamState.usedMegabytes += state.models[found->second].weights->adapterMegabytes;
    }
    return upstreamState;
}

std::uint32_t ResidencyPlanner::computeWantedReplicas(const PlanningState &state,
                                                      const ModelState &modelState) const
{
    // The concurrency is a sum of what instances reported.
    const auto byLoad
            = toInteger<std::uint32_t>(
                      std::floor(1 + modelState.concurrency / this->settings.concurrencyPerReplica))
                      .value_or(std::numeric_limits<std::uint32_t>::max());
    if (!state.isDemandKnown) {
        const auto share = static_cast<std::uint32_t>(modelState.replicas
                                                      * this->settings.initialReplicaShare);
        const std::uint32_t assumed = std::clamp(modelState.replicas, 1U,
                                                 std::max(this->settings.initialReplicas, share));
        return std::max(assumed, byLoad);
    }
    return std::max(modelState.rate >= this->settings.twoReplicasRate ? 2U : 1U, byLoad);
}

} // namespace bamboochute::residency
