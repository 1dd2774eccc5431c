#include "node/routing_builder.hpp"

#include "node/placement_stream.hpp"

namespace bamboochute::node {

namespace {

void addUpstreams(RoutingTable &table, const Deployment &deployment,
                  const UpstreamObservations &observations)
{
    for (const UpstreamSpec &spec : deployment.upstreams) {
        const auto load = observations.reportedLoad.find(spec.id);
        table.upstreams[spec.id] = UpstreamState{
                spec,
                observations.leaving.contains(spec.id),
                load == observations.reportedLoad.end() ? 0 : load->second,
        };
    }
}

std::set<Target> configuredTargets(const Configuration &configuration)
{
    std::set<Target> targets;
    for (const Deployment &deployment : configuration.deployments) {
        for (const ModelSpec &model : deployment.models)
            targets.insert(Target{model.id, {}});
        for (const AdapterSpec &adapter : deployment.adapters)
            targets.insert(Target{adapter.base, adapter.id});
    }
    return targets;
}

} // namespace

std::set<PoolId> enginePools(const Configuration &configuration)
{
    std::set<PoolId> pools;
    for (const Deployment &deployment : configuration.deployments) {
        for (const UpstreamSpec &upstream : deployment.upstreams) {
            if (upstream.kind == UpstreamKind::Engine)
                pools.insert(upstream.pool);
        }
    }
    return pools;
}

RoutingTable buildRoutingTable(const Configuration &configuration, const peer::Dissemination &state,
                               const UpstreamObservations &observations)
{
    RoutingTable table;
    for (const Deployment &deployment : configuration.deployments)
        addUpstreams(table, deployment, observations);
    const std::set<Target> targets = configuredTargets(configuration);
    for (const PoolId &pool : enginePools(configuration)) {
        for (const peer::StateDelta &entry : state.entries(placementStream(pool))) {
            const auto item = parsePlacementItem(entry.key.item);
            if (!item || !targets.contains(item->target))
                continue;
            if (table.upstreams.contains(item->upstream))
                table.replicas[item->target].push_back(item->upstream);
        }
    }
    return table;
}

} // namespace bamboochute::node
