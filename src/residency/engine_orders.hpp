/// @file
/// @brief Orders to engines, their answers, and the reports of engines, as values.
#pragma once

#include "core/ids.hpp"
#include "gateway/upstream_table.hpp"

#include <optional>
#include <string_view>

namespace bamboochute::residency {

enum class OrderOperation { Load, Unload };

/// @brief Order to load or unload a model, or an adapter of a model that is there.
struct EngineOrder
{
    OrderOperation operation = OrderOperation::Load;
    Target target;
    /// Orders that the engine must have accepted so far; it refuses the order otherwise.
    std::uint64_t acceptedOrders = 0;
    InstanceId holder;
    Fence fence;
    auto operator<=>(const EngineOrder &) const = default;
};

/// @brief What an engine said to an order.
enum class OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    AlreadyHolds,
    /// Another order is in progress, or another number of orders was accepted.
    Conflict,
    /// It knows a higher fencing number.
    Fenced,
    /// Another process has the address.
    OtherProcess,
    /// The order is wrong.
    Refused,
    /// The order may be carried out now or later.
    Unknown,
    /// Nothing of the order was sent.
    NotSent,
};

/// @brief Name of an answer in logs and metric labels.
std::string_view orderAnswerName(OrderAnswer answer) noexcept;

/// @brief What an engine says of itself.
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
