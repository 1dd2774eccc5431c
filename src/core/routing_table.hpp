/// @file
/// @brief What traffic threads read: which upstream has what loaded. Immutable once published.
#pragma once

#include "core/configuration.hpp"

#include <map>
#include <memory>
#include <vector>

namespace bamboochute {

/// @brief A model, or an adapter on a model, that requests can name.
struct Target
{
    ModelId model;
    /// Empty when the request names the bare model.
    AdapterId adapter;
    auto operator<=>(const Target &) const = default;
};

/// @brief What an instance knows of one upstream's health and place.
struct UpstreamState
{
    UpstreamSpec spec;
    /// The upstream gets no new work.
    bool isLeaving = false;
    /// Load as the upstream last reported it: requests running and waiting there.
    std::uint32_t reportedLoad = 0;
    auto operator<=>(const UpstreamState &) const = default;
};

/// @brief Where every loaded target can be reached.
struct RoutingTable
{
    std::map<UpstreamId, UpstreamState> upstreams;
    std::map<Target, std::vector<UpstreamId>> replicas;
    auto operator<=>(const RoutingTable &) const = default;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace bamboochute
