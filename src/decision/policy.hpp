/// @file
/// @brief Durations and options that the decisions depend on.
#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace bamboochute::decision {

/// @brief Rule by which a target without requests is unloaded.
enum class KeepAlive {
    /// Only when another target needs the memory.
    UntilEvicted,
    /// After Policy::fixedKeepAlive without a request.
    Fixed,
    /// When the expected cost of keeping it exceeds that of loading it again, as predicted from its
    /// past uses.
    Predicted,
};

/// @brief Options of the decisions; the same at all instances of a deployment.
struct Policy
{
    KeepAlive keepAlive = KeepAlive::Predicted;
    Duration fixedKeepAlive = std::chrono::minutes(10);
    /// Whether the use of a target also loads the target that usually follows it.
    bool isPreloadEnabled = true;
    /// Minimum time between the load of a target and its eviction for another one.
    Duration minResidency = std::chrono::seconds(20);
    /// Time that all instances need to stop routing to a replica before it is unloaded.
    Duration drainDelay = std::chrono::milliseconds(500);
    /// Delay of ledger writes, to group them, unless an order waits for the write.
    Duration writeDelay = std::chrono::seconds(2);
    /// After this long without an answer to a transaction, the owner decides without the key-value
    /// service.
    Duration slowTransactionThreshold = std::chrono::milliseconds(500);
    /// Pause before a failed transaction or order is retried.
    Duration retryPause = std::chrono::milliseconds(500);
    /// Upstream reports made at least this long after a change must show it.
    Duration reportLag = std::chrono::seconds(30);
    /// Demand that is not reported again for this long is discarded.
    Duration demandExpiry = std::chrono::seconds(15);
    /// Load time of a model from the weight store, assumed until one is measured.
    Duration assumedLoadTime = std::chrono::seconds(8);
    auto operator<=>(const Policy &) const = default;
};

} // namespace bamboochute::decision
