#include "residency/planner.hpp"

#include <algorithm>

namespace bamboochute::residency {

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
        const SmoothedDemand asked = demand.of(Target{model.id, {}});
        ModelFacts facts;
        facts.weights = &model;
        facts.rate = std::max(this->limits.assumedRate, asked.perSecond);
        facts.concurrency = asked.concurrency;
        scene.models.push_back(facts);
    }
    for (const Target &target : demand.waiting()) {
        if (ModelFacts *facts = scene.find(target.model))
            facts->waiting += demand.of(target).waiting;
    }
    for (const PlannedUpstream &upstream : upstreams) {
        scene.upstreams.push_back(this->surveyUpstream(scene, upstream));
        if (!upstream.isUsable)
            continue;
        const UpstreamFacts &facts = scene.upstreams.back();
        const auto goal = this->goals.find(upstream.id);
        for (const std::size_t model : facts.resident) {
            const ModelId &id = scene.models[model].weights->id;
            if (goal == this->goals.end() || !goal->second.drops(id))
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

std::uint32_t ResidencyPlanner::wantedReplicas(const Scene &scene, const ModelFacts &facts) const
{
    const auto byLoad = static_cast<std::uint32_t>(
            1 + facts.concurrency / this->limits.concurrencyPerReplica);
    if (!scene.isDemandKnown) {
        const auto share = static_cast<std::uint32_t>(facts.replicas * this->limits.assumedShare);
        const std::uint32_t assumed
                = std::clamp(facts.replicas, 1U, std::max(this->limits.assumedReplicas, share));
        return std::max(assumed, byLoad);
    }
    return std::max(facts.rate >= this->limits.twoReplicasFrom ? 2U : 1U, byLoad);
}

} // namespace bamboochute::residency
