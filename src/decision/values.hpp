/// @file
/// @brief Value types of the decision core: orders to upstreams, placements and stored records.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::decision {

/// Distance between the fencing numbers of two successive owners of a pool. Within this range an
/// owner raises the number of a single upstream without writing to the key-value service first.
constexpr std::uint64_t fenceStride = 1 << 16;

/// @brief One process of an instance; a restarted instance has a higher incarnation.
struct InstanceProcess
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const InstanceProcess &) const = default;
};

/// @brief Identifier of an order; never reused.
struct OrderId
{
    InstanceProcess sender;
    Fence fence;
    /// Sequence number of the order among the sender's orders for the pool, from 1.
    std::uint64_t number = 0;
    auto operator<=>(const OrderId &) const = default;
};

/// @brief Operation that an order requests from an upstream.
enum class OrderKind {
    Load,
    Unload,
    /// Reject lower fencing numbers from now on, if the upstream supports that, and return the
    /// inventory.
    RaiseFence,
    ChangeRole,
};

/// @brief Returns the name of an order kind for records and logs.
std::string_view orderKindName(OrderKind kind) noexcept;

/// @brief Order to an upstream; sent at most once, never retried by the client that sends it.
struct Order
{
    OrderId id;
    UpstreamId upstream;
    OrderKind kind = OrderKind::RaiseFence;
    Target target;
    /// Whether a load may fetch from the weight store; otherwise it uses only a checkpoint that the
    /// upstream has cached.
    bool mayFetch = true;
    /// New role; only for ChangeRole.
    EngineRole role = EngineRole::Mixed;
    auto operator<=>(const Order &) const = default;
};

/// @brief State of a target in an upstream's inventory.
enum class InventoryState { Loading, Loaded, Unloading };

/// @brief A target that an upstream reports to hold.
struct InventoryEntry
{
    Target target;
    InventoryState state = InventoryState::Loaded;
    /// Memory of the target as reported by the upstream; not verified.
    Bytes memory;
    auto operator<=>(const InventoryEntry &) const = default;
};

/// @brief Final result of an order.
enum class OrderOutcome {
    /// Completed by the upstream.
    Done,
    /// Rejected because the upstream has seen a higher fencing number; had no effect.
    StaleFence,
    /// Rejected for another reason, or never written to the connection; had no effect that remains.
    Refused,
    /// Unknown: the upstream may still execute it at any time while the sender's process runs.
    Unconfirmed,
};

/// @brief State of a placement in the ledger.
enum class PlacementState {
    /// A load was decided and not confirmed.
    Loading,
    Loaded,
    /// An unload was decided and not confirmed.
    Unloading,
};

/// @brief Returns the name of a placement state for records and logs.
std::string_view placementStateName(PlacementState state) noexcept;

/// @brief Memory of an upstream that is assigned to one target, from the decision to load it on.
struct Placement
{
    Target target;
    Bytes memory;
    PlacementState state = PlacementState::Loading;
    auto operator<=>(const Placement &) const = default;
};

/// @brief An order that the upstream may still execute.
struct OutstandingOrder
{
    OrderId id;
    OrderKind kind = OrderKind::Load;
    Target target;
    /// Whether this is the order by which the load was decided: without its execution the target
    /// can't be on the upstream.
    bool isInitialLoad = false;
    auto operator<=>(const OutstandingOrder &) const = default;
};

/// @brief The ledger's record of one upstream, kept under pools/POOL/upstreams/UPSTREAM.
struct UpstreamRecord
{
    UpstreamId upstream;
    /// Highest fencing number used at the upstream.
    Fence fence;
    /// Unique for each value written to the key, so that a writer recognizes its own write.
    std::string token;
    /// Whether a former owner may have loaded targets there that no record shows.
    bool mayHoldUnrecordedTargets = false;
    std::vector<Placement> placements;
    std::vector<OutstandingOrder> orders;
    auto operator<=>(const UpstreamRecord &) const = default;
};

/// @brief The record of a pool's owner, kept under pools/POOL/owner.
struct OwnerRecord
{
    InstanceProcess holder;
    /// Multiple of fenceStride.
    Fence fence;
    /// Number of the holder's attempt to take the pool, so that no two values are the same.
    std::uint64_t attempt = 0;
    /// Whether the holder handed the pool over; then the stored records show everything it did.
    bool isReleased = false;
    auto operator<=>(const OwnerRecord &) const = default;
};

} // namespace bamboochute::decision
