#include "decision/pool_view.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

bool isEngineOf(const UpstreamSpec &upstream, const PoolId &pool)
{
    return upstream.kind == UpstreamKind::Engine && upstream.pool == pool;
}

/// Share of an integer that the pool at a position gets; the first pools get one more each until
/// the remainder is used up.
std::uint32_t equalPart(std::uint32_t whole, std::size_t position, std::size_t count)
{
    const auto parts = static_cast<std::uint32_t>(count);
    return whole / parts + (position < whole % parts ? 1 : 0);
}

StoreLimits storeShareOf(const Deployment &deployment, const PoolId &pool)
{
    std::vector<PoolId> pools;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        const bool isNew = std::find(pools.begin(), pools.end(), upstream.pool) == pools.end();
        if (upstream.kind == UpstreamKind::Engine && isNew)
            pools.push_back(upstream.pool);
    }
    const auto found = std::find(pools.begin(), pools.end(), pool);
    const auto position = static_cast<std::size_t>(found - pools.begin());
    StoreLimits share;
    share.loadsPerSecond = deployment.store.loadsPerSecond / static_cast<double>(pools.size());
    share.loadsAtOnce = equalPart(deployment.store.loadsAtOnce, position, pools.size());
    share.adaptersInTransit = equalPart(deployment.store.adaptersInTransit, position, pools.size());
    return share;
}

void addTargets(PoolView &view, const Deployment &deployment)
{
    for (const ModelSpec &model : deployment.models) {
        view.targets[Target{model.id, {}}]
                = TargetSpec{model.memory, model.minReplicas, model.maxReplicas, model.dataCentres,
                             model.followedBy};
    }
    for (const AdapterSpec &adapter : deployment.adapters) {
        view.targets[Target{adapter.base, adapter.id}]
                = TargetSpec{adapter.memory, 0, adapter.maxReplicas, {}, {}};
    }
}

} // namespace

PoolView makePoolView(const Configuration &configuration, const PoolId &pool)
{
    PoolView view;
    view.pool = pool;
    view.revision = configuration.revision;
    for (const Deployment &deployment : configuration.deployments) {
        for (const UpstreamSpec &upstream : deployment.upstreams) {
            if (isEngineOf(upstream, pool))
                view.upstreams[upstream.id] = upstream;
        }
        if (view.upstreams.empty())
            continue;
        addTargets(view, deployment);
        view.store = storeShareOf(deployment, pool);
        view.idleSecondsPerColdStartSecond = deployment.idleSecondsPerColdStartSecond;
        break;
    }
    return view;
}

std::string_view unversionedName(const ModelId &model)
{
    const std::string_view name = model.value();
    return name.substr(0, name.find('@'));
}

} // namespace bamboochute::decision
