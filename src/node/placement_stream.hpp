/// @file
/// @brief How placements and the owner of a pool are named in the state that instances spread.
#pragma once

#include "core/routing_table.hpp"
#include "peer/state_version.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::node {

/// @brief One target loaded at one upstream.
struct PlacementItem
{
    UpstreamId upstream;
    Target target;
    auto operator<=>(const PlacementItem &) const = default;
};

/// @brief Who decides for a pool.
struct OwnerAnnouncement
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const OwnerAnnouncement &) const = default;
};

/// Item of a pool's stream that names its owner; no placement has this name.
constexpr std::string_view ownerItem = "owner";

/// @brief Stream of a pool's placements; its writer is the pool's owner.
peer::StreamKey placementStream(const PoolId &pool);

/// @brief Name of a placement in its stream.
std::string printPlacementItem(const PlacementItem &item);

/// @brief Reads the name of a placement.
/// @return nothing when the name is not that of a placement
std::optional<PlacementItem> parsePlacementItem(std::string_view name);

std::string printOwnerAnnouncement(const OwnerAnnouncement &owner);

/// @return nothing when the payload is no announcement
std::optional<OwnerAnnouncement> parseOwnerAnnouncement(std::string_view payload);

} // namespace bamboochute::node
