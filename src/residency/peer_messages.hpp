/// @file
/// @brief Datagrams between instances about demand and placement, and their encoding.
#pragma once

#include "core/error.hpp"
#include "gateway/demand_tracker.hpp"
#include "gateway/upstream_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboochute::residency {

/// @brief What an instance tells the owner of the placement.
struct DemandMessage
{
    InstanceId sender;
    /// Adds to the message before it instead of replacing what that said.
    bool isContinuation = false;
    std::vector<gateway::TargetDemand> demand;
    /// Upstreams that the sender has begun to avoid.
    std::vector<UpstreamId> suspected;
    auto operator<=>(const DemandMessage &) const = default;
};

/// @brief What one upstream holds.
struct HeldTargets
{
    UpstreamId upstream;
    gateway::Residency residency;
    auto operator<=>(const HeldTargets &) const = default;
};

/// @brief Load of one upstream.
struct UpstreamLoad
{
    UpstreamId upstream;
    gateway::ReportedLoad load;
    auto operator<=>(const UpstreamLoad &) const = default;
};

/// @brief Time until a target is expected to be held.
struct PromisedTarget
{
    gateway::ServiceTarget target;
    Duration readyIn{};
    auto operator<=>(const PromisedTarget &) const = default;
};

/// @brief How far the owner has followed one part of what the operators and the upstreams write.
struct FollowedPart
{
    /// Revision of the last change that matters to every instance.
    std::uint64_t lastChange = 0;
    /// Revision up to which the owner has seen every change.
    std::uint64_t position = 0;
    auto operator<=>(const FollowedPart &) const = default;
};

/// @brief How far the owner has followed the platform's store.
struct FollowedState
{
    FollowedPart configuration;
    FollowedPart registrations;
    /// Time since the owner last heard that there is nothing newer.
    Duration age{};
    auto operator<=>(const FollowedState &) const = default;
};

/// @brief A change of a registration, passed on so that not every instance has to ask the store.
struct ForwardedChange
{
    std::string key;
    /// The value as it was written; empty when the key was removed.
    std::string value;
    std::uint64_t revision = 0;
    /// Revision of the change that matters before this one; who has not seen it asks the store.
    std::uint64_t previous = 0;
    bool isRemoval = false;
    /// It vanished while the store did not answer.
    bool isDoubtful = false;
    auto operator<=>(const ForwardedChange &) const = default;
};

/// @brief What the owner tells the instances.
struct OwnerMessage
{
    /// Term of the owner; what a former one says counts for nothing.
    Fence fence;
    /// Instances that report to the owner; zero when this message does not tell.
    std::uint32_t instances = 0;
    std::vector<HeldTargets> held;
    std::vector<UpstreamLoad> loads;
    std::vector<PromisedTarget> promises;
    std::vector<UpstreamId> suspected;
    std::vector<ForwardedChange> changes;
    std::optional<FollowedState> followed;
    auto operator<=>(const OwnerMessage &) const = default;
};

using PeerMessage = std::variant<DemandMessage, OwnerMessage>;

/// @brief Encodes a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// @brief Decodes a datagram.
/// @return MalformedRequest when the bytes are no message
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

/// @brief Divides a message so that each part fits into a datagram.
/// @param maxBytes of an encoded part; a single element may be longer
std::vector<DemandMessage> divide(const DemandMessage &message, std::size_t maxBytes);
std::vector<OwnerMessage> divide(const OwnerMessage &message, std::size_t maxBytes);

} // namespace bamboochute::residency
