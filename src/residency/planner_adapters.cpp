#include "core/random.hpp"
#include "residency/planner.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::residency {

void ResidencyPlanner::addOrdersForAdapters(PlanningState &state, std::vector<PlannedOrder> &orders)
{
    std::erase_if(this->adapterLoadedAt, [&](const auto &item) {
        return item.second + this->settings.minResidencyTime <= state.now;
    });
    // An engine gets one order at a time, and engines of other versions can't load for bound
    // requests.
    for (const auto &[wanted, waits] : state.demand.boundWaits()) {
        if (!wanted.target.adapter.isEmpty())
            this->addAdapterOrder(state, wanted, orders);
    }
    for (const Target &target : state.demand.waitingTargets()) {
        if (!target.adapter.isEmpty())
            this->addAdapterOrder(state, {target}, orders);
    }
}

void ResidencyPlanner::addAdapterOrder(PlanningState &state, const VersionedTarget &wanted,
                                       std::vector<PlannedOrder> &orders)
{
    const Target &target = wanted.target;
    const ModelState *model = state.find(target.model);
    if (model == nullptr)
        return;
    std::optional<PlannedOrder> best;
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
        if (best && score <= bestScore)
            continue;
        const std::optional<PlannedOrder> order = this->makeAdapterOrder(
                state, upstreamState, target, model->weights->adapterMegabytes);
        if (order) {
            best = order;
            bestScore = score;
        }
    }
    if (best)
        orders.push_back(*best);
}

/// Returns the order by which an engine comes to hold an adapter: to load it, or to unload one that
/// it replaces; nothing if requests wait for all of those.
std::optional<PlannedOrder> ResidencyPlanner::makeAdapterOrder(const PlanningState &state,
                                                               const UpstreamState &upstreamState,
                                                               const Target &target,
                                                               double megabytes) const
{
    const UpstreamSnapshot &upstream = *upstreamState.snapshot;
    std::size_t adapterCount = upstream.pendingAdapters.size();
    std::optional<Target> victim;
    double victimRate = std::numeric_limits<double>::max();
    for (const gateway::ResidentModel &resident : upstream.residency.models) {
        adapterCount += resident.adapters.size();
        for (const AdapterId &adapter : resident.adapters) {
            const Target residentTarget{resident.model, adapter};
            const SmoothedDemand demand = state.demand.demandFor(residentTarget);
            const double rate = demand.requestsPerSecond + demand.concurrency;
            if (rate < victimRate
                && !this->isAdapterAwaited(state, upstreamState, residentTarget)) {
                victim = residentTarget;
                victimRate = rate;
            }
        }
    }
    const bool fitsInMemory
            = upstreamState.usedMegabytes + megabytes <= this->engine.weightMegabytes;
    if (adapterCount < this->engine.adapterSlots && fitsInMemory)
        return PlannedOrder{upstream.id,
                            OrderOperation::Load,
                            target,
                            WeightSource::Store,
                            this->settings.adapterLoadTime,
                            "requests wait for the adapter"};
    if (!victim)
        return std::nullopt;
    return PlannedOrder{
            upstream.id,         OrderOperation::Unload,         *victim,
            WeightSource::Store, this->settings.adapterLoadTime, "another adapter is wanted"};
}

/// Whether an adapter was just loaded and requests wait for it, which reach the engine only once
/// the instances know of it.
bool ResidencyPlanner::isAdapterAwaited(const PlanningState &state,
                                        const UpstreamState &upstreamState,
                                        const Target &target) const
{
    if (this->adapterLoadedAt.count({upstreamState.snapshot->id, target}) == 0)
        return false;
    return state.demand.demandFor(target).waiting > 0
           || state.demand.boundWaits().count({target, upstreamState.snapshot->softwareVersion})
                      > 0;
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
