/// @file
/// @brief Orders to engines and what became of them.
#pragma once

#include "upstream/engine_report.hpp"

#include <string>
#include <variant>
#include <vector>

namespace bamboochute::upstream {

using OrderNumber = Number<struct OrderTag>;

/// @brief What an engine is told to do.
enum class OrderKind { LoadModel, LoadAdapter, Unload, RaiseFence, ChangeRole };

/// @brief One order; the number is unique for a sender's incarnation.
struct Order
{
    OrderNumber number;
    InstanceId sender;
    Incarnation incarnation;
    Fence fence;
    OrderKind kind = OrderKind::LoadModel;
    /// Empty for RaiseFence and ChangeRole.
    Target target;
    /// Memory that a load holds.
    Bytes memory;
    /// For ChangeRole.
    EngineRole role = EngineRole::Mixed;
    auto operator<=>(const Order &) const = default;
};

/// @brief The engine carried the order out, or had done so before.
struct OrderDone
{
    /// For RaiseFence: everything on the engine, exactly.
    std::vector<PlacementReport> inventory;
    auto operator<=>(const OrderDone &) const = default;
};

/// @brief The engine knows a higher fencing number and did nothing.
struct OrderStale
{
    Fence current;
    auto operator<=>(const OrderStale &) const = default;
};

/// @brief The engine did nothing, for a reason of its own.
struct OrderRefused
{
    std::string reason;
    auto operator<=>(const OrderRefused &) const = default;
};

/// @brief The order may have been carried out, or may still be.
struct OrderUnconfirmed
{
    std::string reason;
    auto operator<=>(const OrderUnconfirmed &) const = default;
};

/// @brief The order never reached the engine; nothing of it was written.
struct OrderNotSent
{
    std::string reason;
    auto operator<=>(const OrderNotSent &) const = default;
};

using OrderOutcome
        = std::variant<OrderDone, OrderStale, OrderRefused, OrderUnconfirmed, OrderNotSent>;

} // namespace bamboochute::upstream
