/// @file
/// @brief Times and thresholds of the decisions.
#pragma once

#include "core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace bamboochute::decision {

/// @brief How long a target without requests stays loaded.
enum class KeepAlive {
    /// Until the memory is wanted.
    UntilEvicted,
    /// For Policy::fixedKeepAlive.
    Fixed,
    /// As long as the predicted next use is worth it.
    Predicted,
};

/// @brief Values that the decisions depend on; the same at all instances of a deployment.
struct Policy
{
    KeepAlive keepAlive = KeepAlive::Predicted;
    Duration fixedKeepAlive = std::chrono::minutes(10);
    /// Whether a target is loaded before it is asked for when its predecessor is used.
    bool isPreloadEnabled = true;
    /// Least time between a load and an eviction for another target.
    Duration minResidency = std::chrono::seconds(20);
    /// Time that other instances need to stop routing to a replica.
    Duration drainDelay = std::chrono::milliseconds(500);
    /// Ledger writes wait this long for others, unless an order waits for them.
    Duration writeDelay = std::chrono::seconds(2);
    /// A transaction without an answer for this long lets the owner decide without the service.
    Duration slowTransactionThreshold = std::chrono::milliseconds(500);
    /// Pause before a failed transaction or order is tried again.
    Duration retryPause = std::chrono::milliseconds(500);
    /// Reports made this long after a change must show it.
    Duration reportLag = std::chrono::seconds(30);
    /// Demand that is not repeated for this long is forgotten.
    Duration demandExpiry = std::chrono::seconds(15);
    /// Load time assumed before one was seen.
    Duration assumedLoadTime = std::chrono::seconds(8);
    auto operator<=>(const Policy &) const = default;
};

} // namespace bamboochute::decision
