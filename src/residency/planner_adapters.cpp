#include "core/random.hpp"
#include "residency/planner.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::residency {

void ResidencyPlanner::addOrdersForAdapters(PlanningState &state, std::vector<PlannedOrder> &orders)
{
    for (const Target &target : state.demand.waitingTargets()) {
        if (!target.adapter.isEmpty())
            this->addAdapterOrder(state, target, orders);
    }
}

void ResidencyPlanner::addAdapterOrder(PlanningState &state, const Target &target,
                                       std::vector<PlannedOrder> &orders)
{
    const ModelState *model = state.find(target.model);
    if (model == nullptr)
        return;
    const UpstreamState *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const UpstreamSnapshot &upstream = *upstreamState.upstream;
        if (!upstream.isUsable || upstream.residency.find(target.model) == nullptr)
            continue;
        const auto &pending = upstream.pendingAdapters;
        const bool isPending = std::find(pending.begin(), pending.end(), target) != pending.end();
        if (isPending || upstream.residency.holds(target))
            return;
        const bool hasOrder = std::any_of(orders.begin(), orders.end(), [&](const auto &order) {
            return order.upstream == upstream.id;
        });
        const auto goal = this->goals.find(upstream.id);
        const bool isEvictionPlanned
                = goal != this->goals.end() && goal->second.evicts(target.model);
        if (!upstream.isReady || hasOrder || isEvictionPlanned)
            continue;
        const std::uint64_t score
                = stableHash(target.adapter.value(), stableHash(upstream.id.value()));
        if (best == nullptr || score > bestScore) {
            best = &upstreamState;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return;
    const UpstreamSnapshot &upstream = *best->upstream;
    std::size_t count = upstream.pendingAdapters.size();
    std::optional<Target> victim;
    double victimRate = std::numeric_limits<double>::max();
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        count += resident.adapters.size();
        for (const AdapterId &adapter : resident.adapters) {
            const Target other{resident.model, adapter};
            const SmoothedDemand demand = state.demand.demandFor(other);
            const double rate = demand.requestsPerSecond + demand.concurrency;
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
                          this->settings.adapterLoadTime, "requests wait for the adapter"});
    } else if (victim) {
        orders.push_back({upstream.id, OrderOperation::Unload, *victim, WeightSource::Store,
                          this->settings.adapterLoadTime, "another adapter is wanted"});
    }
}

/// When an engine that holds the model can have loaded an adapter.
TimePoint ResidencyPlanner::adapterReadyAt(const PlanningState &state, const Target &target) const
{
    TimePoint earliest = state.now + this->settings.minUnplannedWait;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const UpstreamSnapshot &upstream = *upstreamState.upstream;
        if (upstream.isUsable && upstream.residency.find(target.model) != nullptr)
            earliest = std::min(earliest, std::max(state.now, upstream.busyUntil));
    }
    return earliest + this->settings.adapterLoadTime;
}

/// What it costs that an engine takes no adapters while it loads.
double ResidencyPlanner::computeAdapterBlockingCost(const PlanningState &state,
                                                    const UpstreamState &upstreamState,
                                                    Duration load) const
{
    double rate = 0;
    for (const std::size_t resident : upstreamState.resident) {
        const ModelState &model = state.models[resident];
        if (model.weights->adapters > 0 && model.rate > this->settings.assumedRate)
            rate += model.rate;
    }
    return rate * toSeconds(load) * this->settings.adapterWaitCost;
}

} // namespace bamboochute::residency
