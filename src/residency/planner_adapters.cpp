#include "core/random.hpp"
#include "residency/planner.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::residency {

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
        const bool isLeavingModel = goal != this->goals.end() && goal->second.drops(target.model);
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

} // namespace bamboochute::residency
