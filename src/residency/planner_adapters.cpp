#include "core/random.hpp"
#include "residency/planner.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::residency {

void ResidencyPlanner::addOrdersForAdapters(PlanningState &state, std::vector<PlannedOrder> &orders)
{
    for (const Target &target : state.demand.waitingTargets()) {
        if (!target.adapter.isEmpty())
            this->addAdapterOrder(state, {target}, orders);
    }
    for (const auto &[wanted, waits] : state.demand.boundWaits()) {
        if (!wanted.target.adapter.isEmpty())
            this->addAdapterOrder(state, wanted, orders);
    }
}

void ResidencyPlanner::addAdapterOrder(PlanningState &state, const VersionedTarget &wanted,
                                       std::vector<PlannedOrder> &orders)
{
    const Target &target = wanted.target;
    const ModelState *model = state.find(target.model);
    if (model == nullptr)
        return;
    const UpstreamState *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const UpstreamSnapshot &upstream = *upstreamState.snapshot;
        if (!upstream.isUsable || !upstreamState.isOfVersion(wanted.version)
            || upstream.residency.find(target.model) == nullptr)
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
    const UpstreamSnapshot &upstream = *best->snapshot;
    std::size_t adapterCount = upstream.pendingAdapters.size();
    std::optional<Target> victim;
    double victimRate = std::numeric_limits<double>::max();
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        adapterCount += resident.adapters.size();
        for (const AdapterId &adapter : resident.adapters) {
            const Target residentTarget{resident.model, adapter};
            const SmoothedDemand demand = state.demand.demandFor(residentTarget);
            const double rate = demand.requestsPerSecond + demand.concurrency;
            if (rate < victimRate) {
                victim = residentTarget;
                victimRate = rate;
            }
        }
    }
    const bool fitsInMemory = best->usedMegabytes + model->weights->adapterMegabytes
                              <= this->engine.weightMegabytes;
    if (adapterCount < this->engine.adapterSlots && fitsInMemory) {
        orders.push_back({upstream.id, OrderOperation::Load, target, WeightSource::Store,
                          this->settings.adapterLoadTime, "requests wait for the adapter"});
    } else if (victim) {
        orders.push_back({upstream.id, OrderOperation::Unload, *victim, WeightSource::Store,
                          this->settings.adapterLoadTime, "another adapter is wanted"});
    }
}

/// Earliest time at which an engine that holds the model can have loaded an adapter of it.
TimePoint ResidencyPlanner::adapterReadyAt(const PlanningState &state,
                                           const VersionedTarget &wanted) const
{
    TimePoint earliest = state.now + this->settings.minUnplannedWait;
    for (const UpstreamState &upstreamState : state.upstreams) {
        const UpstreamSnapshot &upstream = *upstreamState.snapshot;
        if (upstream.isUsable && upstreamState.isOfVersion(wanted.version)
            && upstream.residency.find(wanted.target.model) != nullptr)
            earliest = std::min(earliest, std::max(state.now, upstream.busyUntil));
    }
    return earliest + this->settings.adapterLoadTime;
}

/// Cost of an engine's loading no adapters while it loads a model, in seconds.
double ResidencyPlanner::computeAdapterBlockingCost(const PlanningState &state,
                                                    const UpstreamState &upstreamState,
                                                    Duration loadDuration) const
{
    double rate = 0;
    for (const std::size_t resident : upstreamState.resident) {
        const ModelState &model = state.models[resident];
        if (model.weights->adapters > 0 && model.rate > this->settings.assumedRate)
            rate += model.rate;
    }
    return rate * toSeconds(loadDuration) * this->settings.adapterWaitCost;
}

} // namespace bamboochute::residency
