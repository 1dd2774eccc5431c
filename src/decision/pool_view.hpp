/// @file
/// @brief The part of a configuration that concerns one pool, indexed for lookup.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <map>
#include <vector>

namespace bamboochute::decision {

/// @brief Replica bounds and memory of one target.
struct TargetSpec
{
    Bytes memory;
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 1;
    /// Data centres where it may be loaded; empty for all.
    std::vector<DataCentreId> dataCentres;
    /// Model that is configured to be preloaded when this one is used; empty when there is none.
    ModelId followedBy;
    auto operator<=>(const TargetSpec &) const = default;
};

/// @brief Everything that the decisions for one pool need from the configuration.
struct PoolView
{
    PoolId pool;
    Revision revision;
    std::map<Target, TargetSpec> targets;
    /// The upstreams of the pool that are engines.
    std::map<UpstreamId, UpstreamSpec> upstreams;
    /// The pool's share of the weight store's limits.
    StoreLimits store;
    /// Idle accelerator seconds that cost as much as one second of a cold start.
    double idleSecondsPerColdStartSecond = 60.0;
    auto operator<=>(const PoolView &) const = default;
};

/// @brief Extracts the view of one pool from the configuration.
///
/// The engine pools of a deployment share the limits of its weight store equally. The remainder of
/// an integer limit goes, one each, to the pools that appear first in the deployment.
PoolView makePoolView(const Configuration &configuration, const PoolId &pool);

/// @brief Returns the name of a model without its version: the part before the first '@'.
std::string_view unversionedName(const ModelId &model);

} // namespace bamboochute::decision
