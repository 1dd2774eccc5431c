/// @file
/// @brief Orders to engines and their outcomes.
#pragma once

#include "upstream/engine_report.hpp"

#include <string>
#include <variant>
#include <vector>

namespace bamboochute::upstream {

using OrderNumber = Number<struct OrderTag>;

/// @brief The action that an order requests.
enum class OrderKind { LoadModel, LoadAdapter, Unload, RaiseFence, ChangeRole };

/// @brief An order; its number is unique within one incarnation of the sender.
struct Order
{
    OrderNumber number;
    InstanceId sender;
    Incarnation incarnation;
    Fence fence;
    OrderKind kind = OrderKind::LoadModel;
    /// Empty for RaiseFence and ChangeRole.
    Target target;
    /// Memory that the loaded model or adapter occupies; for LoadModel and LoadAdapter.
    Bytes memory;
    /// The new role; for ChangeRole.
    EngineRole role = EngineRole::Mixed;
    auto operator<=>(const Order &) const = default;
};

/// @brief The engine carried out the order, or had done so before.
struct OrderDone
{
    /// For RaiseFence: the exact inventory of the engine.
    std::vector<PlacementReport> inventory;
    auto operator<=>(const OrderDone &) const = default;
};

/// @brief The engine knows a higher fencing number and did nothing.
struct OrderStale
{
    /// The engine's fencing number.
    Fence current;
    auto operator<=>(const OrderStale &) const = default;
};

/// @brief The engine refused the order for a reason that it gives, and did nothing.
struct OrderRefused
{
    std::string reason;
    auto operator<=>(const OrderRefused &) const = default;
};

/// @brief The outcome is unknown: the order may have been carried out, or may still be.
struct OrderUnconfirmed
{
    std::string reason;
    auto operator<=>(const OrderUnconfirmed &) const = default;
};

/// @brief The order did not reach the engine; no byte of it was written.
struct OrderNotSent
{
    std::string reason;
    auto operator<=>(const OrderNotSent &) const = default;
};

using OrderOutcome
        = std::variant<OrderDone, OrderStale, OrderRefused, OrderUnconfirmed, OrderNotSent>;

} // namespace bamboochute::upstream
