/// @file
/// @brief Chooses the pool that serves a target for this instance.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <optional>

namespace bamboochute::node {

/// @brief Chooses a pool of the target's deployment.
///
/// Pools with engines in this data centre are preferred; among several pools the target's hash
/// decides.
/// @param configuration in force
/// @param target model or adapter to serve
/// @param dataCentre of this instance
/// @return nothing when no deployment has the target, or its deployment has no engines
std::optional<PoolId> poolOfTarget(const Configuration &configuration, const Target &target,
                                   const DataCentreId &dataCentre);

} // namespace bamboochute::node
