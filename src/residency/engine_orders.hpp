/// @file
/// @brief Value types for orders to engines, the answers to them, and the reports of engines.
#pragma once

#include "core/ids.hpp"
#include "gateway/upstream_table.hpp"

#include <optional>
#include <string_view>

namespace bamboochute::residency {

enum class OrderOperation { Load, Unload };

/// @brief Order to load or unload a model, or an adapter of a model that is loaded.
struct EngineOrder
{
    OrderOperation operation = OrderOperation::Load;
    Target target;
    /// Number of orders that the engine must have accepted before this one; otherwise it answers
    /// with a conflict.
    std::uint64_t acceptedOrders = 0;
    /// Instance that owns the placement.
    InstanceId holder;
    /// Fencing number of its ownership.
    Fence fence;
    auto operator<=>(const EngineOrder &) const = default;
};

/// @brief Result of sending an order to an engine.
enum class OrderAnswer {
    /// The engine carries the order out.
    Accepted,
    /// The engine is already in the state that was ordered.
    AlreadyHolds,
    /// Another order is in progress, or the engine has accepted another number of orders.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another process answers at the address.
    OtherProcess,
    /// The order is invalid.
    Refused,
    /// No answer; the order may have been carried out or may be carried out later.
    Unknown,
    /// No byte of the order was sent.
    NotSent,
};

/// @brief Name of an answer, as logs and metric labels show it.
std::string_view orderAnswerName(OrderAnswer answer) noexcept;

/// @brief State that an engine reports of itself.
struct EngineReport
{
    gateway::Residency residency;
    gateway::WeightCopies copies;
    /// Adapters that are being loaded.
    std::vector<Target> pendingAdapters;
    gateway::ReportedLoad load;
    auto operator<=>(const EngineReport &) const = default;
};

} // namespace bamboochute::residency
