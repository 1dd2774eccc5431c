/// @file
/// @brief How much each target is wanted at this instance.
#pragma once

#include "core/routing_table.hpp"

#include <cstdint>

namespace bamboochute::caller {

/// @brief How much a target is wanted at this instance.
struct TargetUsage
{
    DeploymentId deployment;
    Target target;
    /// Requests that arrived since the last call.
    std::uint64_t arrived = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    auto operator<=>(const TargetUsage &) const = default;
};

} // namespace bamboochute::caller
