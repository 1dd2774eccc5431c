/// @file
/// @brief The routing table that traffic threads read; immutable once published.
#pragma once

#include "core/configuration.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute {

/// @brief A model, or an adapter on a model, that requests can address.
struct Target
{
    ModelId model;
    /// Empty when the request addresses the base model.
    AdapterId adapter;
    auto operator<=>(const Target &) const = default;
};

/// @brief One upstream as an instance knows it: its specification, state and load.
struct UpstreamState
{
    UpstreamSpec spec;
    /// The upstream is draining: it gets no new requests.
    bool isLeaving = false;
    /// Requests running and waiting at the upstream, by its last report.
    std::uint32_t reportedLoad = 0;
    auto operator<=>(const UpstreamState &) const = default;
};

/// @brief The known upstreams, and for each loaded target those that hold a replica.
struct RoutingTable
{
    std::map<UpstreamId, UpstreamState> upstreams;
    std::map<Target, std::vector<UpstreamId>> replicas;
    auto operator<=>(const RoutingTable &) const = default;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace bamboochute
