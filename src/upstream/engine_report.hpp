/// @file
/// @brief An engine's report of its load and inventory, independent of the vendor.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/routing_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::upstream {

/// @brief State of a model or adapter on an engine.
enum class PlacementState { Loading, Loaded, Unloading };

/// @brief A model or adapter on an engine, as reported by the engine.
struct PlacementReport
{
    Target target;
    Bytes memory;
    PlacementState state = PlacementState::Loaded;
    auto operator<=>(const PlacementReport &) const = default;
};

/// @brief An engine's load and inventory in typed values, each checked against its range.
struct EngineReport
{
    /// Requests that the engine is processing.
    std::uint32_t running = 0;
    /// Requests that wait in the engine.
    std::uint32_t waiting = 0;
    Bytes memoryTotal;
    Bytes memoryUsed;
    EngineRole role = EngineRole::Mixed;
    /// Highest fencing number that the engine knows.
    Fence fence;
    std::vector<PlacementReport> placements;
    auto operator<=>(const EngineReport &) const = default;
};

/// Largest number of placements in a report.
constexpr std::size_t maxReportedPlacements = 4096;
/// Largest number of running or of waiting requests in a report.
constexpr std::uint32_t maxReportedRequests = 1 << 20;

/// @brief Configured values that a report is checked against.
struct ReportExpectation
{
    /// Configured accelerator memory; a report of less is distrusted.
    Bytes memory;
    /// Targets of the deployment; a report that names another one is distrusted. Null: not checked.
    const std::vector<Target> *knownTargets = nullptr;
};

/// @brief Checks that a report is plausible.
/// @return the report, or ReportDistrusted with the member that is out of range, unknown or
/// contradictory
Result<EngineReport> checkReport(EngineReport report, const ReportExpectation &expected);

} // namespace bamboochute::upstream
