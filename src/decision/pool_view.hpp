/// @file
/// @brief The part of a configuration that concerns one pool, arranged for look-up.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <map>
#include <vector>

namespace bamboochute::decision {

/// @brief Bounds and size of one target.
struct TargetSpec
{
    Bytes memory;
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 1;
    std::vector<DataCentreId> dataCentres;
    /// Model that is likely wanted next; empty when there is none.
    ModelId followedBy;
    auto operator<=>(const TargetSpec &) const = default;
};

/// @brief Everything that the decisions for one pool take from the configuration.
struct PoolView
{
    PoolId pool;
    Revision revision;
    std::map<Target, TargetSpec> targets;
    /// Engines of the pool.
    std::map<UpstreamId, UpstreamSpec> upstreams;
    /// The pool's share of the weight store.
    StoreLimits store;
    double idleSecondsPerColdStartSecond = 60.0;
    auto operator<=>(const PoolView &) const = default;
};

/// @brief Arranges the configuration for one pool.
///
/// Pools of engines of one deployment share its weight store in the order in which they first
/// appear: each gets the whole part, the first ones the rest.
PoolView makePoolView(const Configuration &configuration, const PoolId &pool);

/// @brief Name of a model without its version: what precedes the first '@'.
std::string_view unversionedName(const ModelId &model);

} // namespace bamboochute::decision
