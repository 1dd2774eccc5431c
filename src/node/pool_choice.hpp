/// @file
/// @brief Which pool serves a target at this instance.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <optional>

namespace bamboochute::node {

/// @brief Chooses the pool of a target's deployment: one with engines in this data centre, else by
/// hash.
/// @param configuration in force
/// @param target what is wanted
/// @param dataCentre of this instance
/// @return nothing when no deployment has the target or its deployment has no engines
std::optional<PoolId> poolOfTarget(const Configuration &configuration, const Target &target,
                                   const DataCentreId &dataCentre);

} // namespace bamboochute::node
