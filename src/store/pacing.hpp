/// @file
/// @brief Paces loads from the weight store within its limits, and below them while it is slow.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <cstdint>

namespace bamboochute::store {

/// @brief What is loaded from the store.
enum class LoadKind { Model, Adapter };

/// @brief Token bucket for starts and a bound on loads at once; the bound follows the store's speed
/// by additive increase and multiplicative decrease.
///
/// One pacer decides for all loads of a pool, so no two instances spend the same budget.
class Pacer
{
public:
    Pacer() = default;

    /// @brief Takes new limits; loads that run go on counting.
    void configure(const StoreLimits &limits);

    /// @brief Starts over with an empty bucket, as after a change of owner.
    void restart(TimePoint now);

    /// @brief Whether a load may start now.
    /// @param inTransit loads of the kind that run
    bool mayStart(LoadKind kind, std::uint32_t inTransit, TimePoint now);

    /// @brief Takes the token of a load that starts.
    /// @note Call only after mayStart() said yes for the same load.
    void recordStart(LoadKind kind, std::uint32_t inTransit, TimePoint now);

    /// @brief Learns from a load that ended.
    /// @param took how long it took
    /// @param expected how long it takes at full speed
    void recordFinish(LoadKind kind, Duration took, Duration expected);

    /// @brief Earliest time at which one more load could start, if those ahead of it go first.
    /// @param ahead loads of models that wait before it
    /// @param inTransit loads of models that run
    /// @param loadTime expected time of one load
    TimePoint estimateStart(std::uint32_t ahead, std::uint32_t inTransit, Duration loadTime,
                            TimePoint now) const;

    /// @brief Loads of models at once that the store bears now.
    std::uint32_t loadsAtOnce() const;

    /// @brief Starts of models in one second that the store bears now.
    double loadsPerSecond() const { return this->limits.loadsPerSecond * this->rateFactor; }

private:
    void refill(TimePoint now);
    double burst() const;

    StoreLimits limits;
    double tokens = 0.0;
    TimePoint refilledAt;
    double atOnceFactor = 1.0;
    double rateFactor = 1.0;
};

} // namespace bamboochute::store
