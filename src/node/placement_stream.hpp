/// @file
/// @brief Keys and payloads of a pool's placements and owner in the gossiped state.
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

/// @brief The process that owns a pool and decides on its placements.
struct OwnerAnnouncement
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const OwnerAnnouncement &) const = default;
};

/// Item of a pool's stream that holds its owner; no placement has this name, as it lacks the
/// separator.
constexpr std::string_view ownerItem = "owner";

/// @brief Stream of a pool's placements; only the pool's owner writes it.
peer::StreamKey placementStream(const PoolId &pool);

/// @brief Item name of a placement in its pool's stream.
std::string serializePlacementItem(const PlacementItem &item);

/// @brief Parses the item name of a placement.
/// @return nothing when the item is not a placement
std::optional<PlacementItem> parsePlacementItem(std::string_view name);

/// @brief Payload of ownerItem, as CBOR.
std::string serializeOwnerAnnouncement(const OwnerAnnouncement &owner);

/// @brief Parses the payload of ownerItem.
/// @return nothing when the payload is malformed
std::optional<OwnerAnnouncement> parseOwnerAnnouncement(std::string_view payload);

} // namespace bamboochute::node
