/// @file
/// @brief What an engine says of itself, whatever its vendor.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/routing_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::upstream {

/// @brief Where a placement stands at the engine.
enum class PlacementState { Loading, Loaded, Unloading };

/// @brief A model or adapter on an engine, as the engine tells it.
struct PlacementReport
{
    Target target;
    Bytes memory;
    PlacementState state = PlacementState::Loaded;
    auto operator<=>(const PlacementReport &) const = default;
};

/// @brief An engine's load and inventory, checked and in typed values.
struct EngineReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Bytes memoryTotal;
    Bytes memoryUsed;
    EngineRole role = EngineRole::Mixed;
    Fence fence;
    std::vector<PlacementReport> placements;
    auto operator<=>(const EngineReport &) const = default;
};

/// Most placements that a report may list.
constexpr std::size_t maxReportedPlacements = 4096;
/// Most requests that a report may count.
constexpr std::uint32_t maxReportedRequests = 1 << 20;

/// @brief What a report is checked against.
struct ReportExpectation
{
    Bytes memory;
    /// Targets of the deployment; a report that names another one is distrusted.
    const std::vector<Target> *knownTargets = nullptr;
};

/// @brief Checks that a report can be true.
/// @return ReportDistrusted with the member that is absurd, unknown or contradictory
Result<EngineReport> checkReport(EngineReport report, const ReportExpectation &expected);

} // namespace bamboochute::upstream
