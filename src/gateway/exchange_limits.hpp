/// @file
/// @brief Times that several steps of a request share.
#pragma once

#include "core/clock.hpp"

#include <string>

namespace bamboochute::gateway {

/// An upstream that refused a target is asked for it again after this time.
constexpr Duration refusedTargetRetryDelay = std::chrono::milliseconds(60);
/// When callers may come back if no upstream can be used; an upstream is avoided for about so long.
constexpr Duration noUpstreamRetryAfter = std::chrono::milliseconds(400);

/// @brief Whole milliseconds, as log lines hold them.
inline std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace bamboochute::gateway
