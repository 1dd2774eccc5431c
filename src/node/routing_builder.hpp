/// @file
/// @brief Builds the routing table from the configuration and the gossiped state.
#pragma once

#include "core/routing_table.hpp"
#include "peer/dissemination.hpp"

#include <map>
#include <set>

namespace bamboochute::node {

/// @brief What is known about upstreams beside their placements.
struct UpstreamObservations
{
    /// Upstreams that stop, by the platform's list or by an operator's order.
    std::set<UpstreamId> leaving;
    /// Running and waiting requests, as last reported by each upstream.
    std::map<UpstreamId, std::uint32_t> reportedLoad;
};

/// @brief Pools of the configuration that hold model engines.
std::set<PoolId> enginePools(const Configuration &configuration);

/// @brief Builds the table of upstreams and of the upstreams at which each target is loaded.
/// @param configuration in force
/// @param state gossiped state with the placements that the pools' owners published
/// @param observations leaving upstreams and reported loads
/// @note Leaves out placements whose upstream or target is not in the configuration.
RoutingTable buildRoutingTable(const Configuration &configuration, const peer::Dissemination &state,
                               const UpstreamObservations &observations);

} // namespace bamboochute::node
