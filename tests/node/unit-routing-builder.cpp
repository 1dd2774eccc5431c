#include "node/placement_stream.hpp"
#include "node/pool_choice.hpp"
#include "node/routing_builder.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::node;

namespace {

const PoolId pool("assistant");
const Target model{ModelId("lease-terms"), {}};
const Target adapter{ModelId("lease-terms"), AdapterId("quito")};

UpstreamSpec engine(const std::string &name, const std::string &dataCentre)
{
    UpstreamSpec spec;
    spec.id = UpstreamId(name);
    spec.pool = pool;
    spec.dataCentre = DataCentreId(dataCentre);
    return spec;
}

Configuration exampleConfiguration()
{
    Deployment deployment;
    deployment.id = DeploymentId("instituto");
    deployment.models.push_back({model.model, Bytes{1}, 0, 1, {}, {}});
    deployment.adapters.push_back({adapter.adapter, adapter.model, Bytes{1}, 1});
    deployment.upstreams = {engine("worker-1", "quito-norte"), engine("worker-2", "ambato")};
    Configuration configuration;
    configuration.deployments.push_back(deployment);
    return configuration;
}

peer::Dissemination stateWith(const std::vector<PlacementItem> &items)
{
    peer::Dissemination state{peer::DisseminationSettings{}};
    for (const PlacementItem &item : items) {
        const peer::StateKey key{placementStream(pool), serializePlacementItem(item)};
        REQUIRE(state.publish(key, Fence(1), {}).has_value());
    }
    return state;
}

} // namespace

TEST_CASE("placements and owner announcements are parsed back from their serialized form")
{
    const PlacementItem item{UpstreamId("worker-1"), adapter};
    CHECK(parsePlacementItem(serializePlacementItem(item)) == item);
    CHECK_FALSE(parsePlacementItem(ownerItem).has_value());

    const OwnerAnnouncement owner{InstanceId("entry-1"), Incarnation(7)};
    CHECK(parseOwnerAnnouncement(serializeOwnerAnnouncement(owner)) == owner);
    CHECK_FALSE(parseOwnerAnnouncement("").has_value());
}

TEST_CASE("the routing table holds the placements that pool owners published")
{
    const Configuration configuration = exampleConfiguration();

    SUBCASE("a loaded adapter is routed to its upstream")
    {
        const auto state = stateWith({{UpstreamId("worker-1"), adapter}});
        const RoutingTable table = buildRoutingTable(configuration, state, {});
        CHECK(table.replicas.at(adapter) == std::vector{UpstreamId("worker-1")});
        CHECK(table.upstreams.size() == 2);
    }

    SUBCASE("placements with an unknown upstream or target are left out")
    {
        const auto state = stateWith({{UpstreamId("worker-9"), model},
                                      {UpstreamId("worker-1"), {ModelId("unknown"), {}}}});
        CHECK(buildRoutingTable(configuration, state, {}).replicas.empty());
    }

    SUBCASE("a leaving upstream is marked, and its reported load is kept")
    {
        const UpstreamObservations observations{{UpstreamId("worker-2")},
                                                {{UpstreamId("worker-2"), 5}}};
        const RoutingTable table = buildRoutingTable(configuration, stateWith({}), observations);
        CHECK(table.upstreams.at(UpstreamId("worker-2")).isLeaving);
        CHECK(table.upstreams.at(UpstreamId("worker-2")).reportedLoad == 5);
        CHECK_FALSE(table.upstreams.at(UpstreamId("worker-1")).isLeaving);
    }
}

TEST_CASE("a target is assigned to a pool of its deployment")
{
    Configuration configuration = exampleConfiguration();
    CHECK(poolOfTarget(configuration, adapter, DataCentreId("ambato")) == pool);
    CHECK_FALSE(poolOfTarget(configuration, {ModelId("unknown"), {}}, {}).has_value());

    SUBCASE("with several pools, to one with engines in the given data centre")
    {
        configuration.deployments[0].upstreams[1].pool = PoolId("assistant-ambato");
        CHECK(poolOfTarget(configuration, model, DataCentreId("ambato"))
              == PoolId("assistant-ambato"));
        CHECK(poolOfTarget(configuration, model, DataCentreId("quito-norte")) == pool);
    }
}
