/// @file
/// @brief Predicts the next use of each target and says how long it is worth keeping loaded.
#pragma once

#include "core/clock.hpp"
#include "core/routing_table.hpp"

#include <map>
#include <memory>
#include <optional>

namespace bamboochute::decision {

/// @brief Histograms of the gaps between uses (Boost.Histogram), per target and over all.
///
/// A target with few gaps of its own is judged by a blend of its own and all targets' gaps.
class KeepAlivePredictor
{
public:
    KeepAlivePredictor();
    ~KeepAlivePredictor();
    KeepAlivePredictor(KeepAlivePredictor &&) noexcept;
    KeepAlivePredictor &operator=(KeepAlivePredictor &&) noexcept;

    /// @brief Notes that a target was used.
    /// @note Uses less than a second apart are one use.
    void recordUse(const Target &target, TimePoint at);

    /// @brief Time since the last use after which the target should be unloaded.
    ///
    /// The time that makes the expected idle accelerator seconds plus the expected seconds of cold
    /// start, at the exchange rate, least.
    /// @param idleCostPerSecond accelerators that the target keeps from others, such as 0.25
    /// @param coldStartCost idle accelerator seconds that one cold start is worth
    Duration keepAliveTime(const Target &target, double idleCostPerSecond,
                           double coldStartCost) const;

    /// @brief Probability that the target is used within the window, given how long it is idle.
    double useProbability(const Target &target, Duration idle, Duration window) const;

    /// @brief When the target was last used, if it ever was.
    std::optional<TimePoint> lastUsed(const Target &target) const;

    /// @brief Target that mostly is used within a minute after this one; empty when there is none.
    std::optional<Target> likelyFollower(const Target &target) const;

    /// @brief Forgets targets that the predicate names.
    void forget(const Target &target);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace bamboochute::decision
