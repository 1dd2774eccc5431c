/// @file
/// @brief Orders, placements and records as immutable values.
#pragma once

#include "core/configuration.hpp"
#include "core/routing_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::decision {

/// Distance between the fencing numbers of two successive ownerships; an owner raises the number
/// at single upstreams within it without asking the key-value service.
constexpr std::uint64_t fenceStride = 1 << 16;

/// @brief One process under an instance's name.
struct InstanceProcess
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const InstanceProcess &) const = default;
};

/// @brief Names one order for ever.
struct OrderId
{
    InstanceProcess sender;
    Fence fence;
    /// Counts the orders of the sender for the pool, from 1.
    std::uint64_t number = 0;
    auto operator<=>(const OrderId &) const = default;
};

/// @brief What an upstream is told to do.
enum class OrderKind {
    Load,
    Unload,
    /// Refuse lower fencing numbers from now on, where the upstream can, and tell the inventory.
    RaiseFence,
    ChangeRole,
};

/// @brief Name of a kind in records and logs.
std::string_view orderKindName(OrderKind kind) noexcept;

/// @brief Order to an upstream; sent at most once, never repeated by the client.
struct Order
{
    OrderId id;
    UpstreamId upstream;
    OrderKind kind = OrderKind::RaiseFence;
    Target target;
    /// Whether a load may draw on the weight store; else only a checkpoint cached there is used.
    bool mayFetch = true;
    /// For ChangeRole.
    EngineRole role = EngineRole::Mixed;
    auto operator<=>(const Order &) const = default;
};

enum class InventoryState { Loading, Loaded, Unloading };

/// @brief A target that an upstream says it holds.
struct InventoryEntry
{
    Target target;
    InventoryState state = InventoryState::Loaded;
    /// Memory as the upstream claims it.
    Bytes memory;
    auto operator<=>(const InventoryEntry &) const = default;
};

/// @brief What became of an order.
enum class OrderOutcome {
    /// Carried out to the end.
    Done,
    /// Refused because the upstream knows a higher fencing number; not carried out.
    StaleFence,
    /// Refused for another reason, or never written to the upstream; nothing of it is left there.
    Refused,
    /// Not known; it may be carried out at any later time while its sender's process lives.
    Unconfirmed,
};

enum class PlacementState {
    /// Decided and not confirmed.
    Loading,
    Loaded,
    /// An unload was decided and not confirmed.
    Unloading,
};

/// @brief Name of a state in records and logs.
std::string_view placementStateName(PlacementState state) noexcept;

/// @brief Memory of an upstream that one target holds, from the decision on.
struct Placement
{
    Target target;
    Bytes memory;
    PlacementState state = PlacementState::Loading;
    auto operator<=>(const Placement &) const = default;
};

/// @brief An order whose effect may still come.
struct OutstandingOrder
{
    OrderId id;
    OrderKind kind = OrderKind::Load;
    Target target;
    /// The decision to load; the target can't be there if it is not carried out.
    bool isInitialLoad = false;
    auto operator<=>(const OutstandingOrder &) const = default;
};

/// @brief The ledger's record of one upstream, kept under pools/POOL/upstreams/UPSTREAM.
struct UpstreamRecord
{
    UpstreamId upstream;
    /// Highest fencing number used there.
    Fence fence;
    /// Distinguishes this value from every other one written to the key.
    std::string token;
    /// A former owner may have loaded targets there that no record shows.
    bool mayHoldUnrecordedTargets = false;
    std::vector<Placement> placements;
    std::vector<OutstandingOrder> orders;
    auto operator<=>(const UpstreamRecord &) const = default;
};

/// @brief The record under pools/POOL/owner.
struct OwnerRecord
{
    InstanceProcess holder;
    /// Multiple of fenceStride.
    Fence fence;
    /// Counts the holder's attempts, so that no two values are the same.
    std::uint64_t attempt = 0;
    /// The holder handed over: everything it did is in the ledger.
    bool isReleased = false;
    auto operator<=>(const OwnerRecord &) const = default;
};

} // namespace bamboochute::decision
