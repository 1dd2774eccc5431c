/// @file
/// @brief Request counts of a target at this instance.
#pragma once

#include "core/routing_table.hpp"

#include <cstdint>

namespace bamboochute::caller {

/// @brief Request counts of a target at this instance.
struct TargetUsage
{
    DeploymentId deployment;
    Target target;
    /// Requests that arrived since the last call of takeUsage().
    std::uint64_t arrived = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    auto operator<=>(const TargetUsage &) const = default;
};

} // namespace bamboochute::caller
