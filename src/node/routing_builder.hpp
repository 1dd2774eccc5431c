/// @file
/// @brief Builds the routing table from the configuration and the state that instances spread.
#pragma once

#include "core/routing_table.hpp"
#include "peer/dissemination.hpp"

#include <map>
#include <set>

namespace bamboochute::node {

/// @brief What is known of upstreams beside their placements.
struct UpstreamNews
{
    std::set<UpstreamId> leaving;
    std::map<UpstreamId, std::uint32_t> reportedLoad;
};

/// @brief Pools of the configuration that hold model engines.
std::set<PoolId> enginePools(const Configuration &configuration);

/// @brief Where every loaded target can be reached.
/// @param configuration in force
/// @param state placements as spread by the owners
/// @param news leaving upstreams and reported loads
/// @note Placements at upstreams or of targets that the configuration does not name are left out.
RoutingTable buildRoutingTable(const Configuration &configuration, const peer::Dissemination &state,
                               const UpstreamNews &news);

} // namespace bamboochute::node
