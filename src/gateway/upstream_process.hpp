/// @file
/// @brief Names one process of an upstream.
#pragma once

#include "core/ids.hpp"

#include <cstdint>

namespace bamboochute::gateway {

/// @brief One process of an upstream; an upstream that starts again under its id is another one.
struct UpstreamProcess
{
    UpstreamId upstream;
    /// Start of the process, in milliseconds since 1970 (Unix time).
    std::uint64_t startedAt = 0;
    auto operator<=>(const UpstreamProcess &) const = default;
};

} // namespace bamboochute::gateway
