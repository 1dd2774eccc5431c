/// @file
/// @brief Predicts the next use of each target and how long keeping it loaded is worthwhile.
#pragma once

#include "core/clock.hpp"
#include "core/routing_table.hpp"

#include <map>
#include <memory>
#include <optional>

namespace bamboochute::decision {

/// @brief Histograms of the gaps between uses (Boost.Histogram), per target and over all targets.
///
/// Predictions blend a target's own gaps with those of all targets; the fewer gaps the target has,
/// the more the others count. Not thread-safe.
class KeepAlivePredictor
{
public:
    KeepAlivePredictor();
    ~KeepAlivePredictor();
    KeepAlivePredictor(KeepAlivePredictor &&) noexcept;
    KeepAlivePredictor &operator=(KeepAlivePredictor &&) noexcept;

    /// @brief Records a use of a target.
    /// @note Uses less than a second apart count as one.
    void recordUse(const Target &target, TimePoint at);

    /// @brief Returns the time since the last use after which the target should be unloaded.
    ///
    /// It minimizes the expected cost of idling plus the expected cost of a cold start, both in
    /// accelerator seconds.
    /// @param idleCostPerSecond accelerators that the loaded target occupies, such as 0.25
    /// @param coldStartCost idle accelerator seconds that cost as much as one cold start
    /// @return zero when the target is best unloaded at once
    Duration keepAliveTime(const Target &target, double idleCostPerSecond,
                           double coldStartCost) const;

    /// @brief Returns the probability that the target is used within the next `window`.
    /// @param idle time since its last use
    /// @return 0 to 1
    double useProbability(const Target &target, Duration idle, Duration window) const;

    /// @brief Returns when the target was last used; empty when no use is recorded.
    std::optional<TimePoint> lastUsed(const Target &target) const;

    /// @brief Returns a target that is usually used within a minute after this one; empty when
    /// there is none.
    std::optional<Target> likelyFollower(const Target &target) const;

    /// @brief Removes everything recorded about the target itself.
    void forget(const Target &target);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace bamboochute::decision
