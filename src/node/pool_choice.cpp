#include "node/pool_choice.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <set>

namespace bamboochute::node {

namespace {

bool hasTarget(const Deployment &deployment, const Target &target)
{
    if (target.adapter.isEmpty()) {
        return std::any_of(deployment.models.begin(), deployment.models.end(),
                           [&](const ModelSpec &model) { return model.id == target.model; });
    }
    return std::any_of(deployment.adapters.begin(), deployment.adapters.end(),
                       [&](const AdapterSpec &adapter) {
                           return adapter.id == target.adapter && adapter.base == target.model;
                       });
}

std::optional<PoolId> choosePool(const Deployment &deployment, const Target &target,
                                 const DataCentreId &dataCentre)
{
    std::set<PoolId> pools;
    std::set<PoolId> nearbyPools;
    for (const UpstreamSpec &upstream : deployment.upstreams) {
        if (upstream.kind != UpstreamKind::Engine)
            continue;
        pools.insert(upstream.pool);
        if (upstream.dataCentre == dataCentre)
            nearbyPools.insert(upstream.pool);
    }
    const std::set<PoolId> &candidates = nearbyPools.empty() ? pools : nearbyPools;
    if (candidates.empty())
        return std::nullopt;
    const std::string name = target.model.value() + ":" + target.adapter.value();
    return *std::max_element(
            candidates.begin(), candidates.end(), [&](const auto &left, const auto &right) {
                return stableHash(left.value() + name) < stableHash(right.value() + name);
            });
}

} // namespace

std::optional<PoolId> poolOfTarget(const Configuration &configuration, const Target &target,
                                   const DataCentreId &dataCentre)
{
    for (const Deployment &deployment : configuration.deployments) {
        if (hasTarget(deployment, target))
            return choosePool(deployment, target, dataCentre);
    }
    return std::nullopt;
}

} // namespace bamboochute::node
