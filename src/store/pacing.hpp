/// @file
/// @brief Limits rate and concurrency of loads from the weight store, and lowers both while it is
/// slow.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <cstdint>

namespace bamboochute::store {

/// @brief What is loaded from the store.
enum class LoadKind { Model, Adapter };

/// @brief Token bucket for the starts of model loads, and a limit on concurrent loads. For models,
/// both follow the store's speed by additive increase and multiplicative decrease.
///
/// One pacer decides on all loads of a pool, so that no two instances use the same tokens.
class Pacer
{
public:
    Pacer() = default;

    /// @brief Replaces the limits; running loads still count against them.
    void configure(const StoreLimits &limits);

    /// @brief Empties the token bucket, after a change of owner: the former owner may have used the
    /// tokens.
    void restart(TimePoint now);

    /// @brief Whether a load may start now.
    /// @param inTransit running loads of this kind
    bool mayStart(LoadKind kind, std::uint32_t inTransit, TimePoint now);

    /// @brief Takes a token for a model load that starts; adapters need none.
    /// @note Call only after mayStart() returned true for the same load.
    void recordStart(LoadKind kind, std::uint32_t inTransit, TimePoint now);

    /// @brief Adapts rate and concurrency to the duration of a finished model load.
    /// @param took duration of the load
    /// @param expected duration at the store's full speed
    void recordFinish(LoadKind kind, Duration took, Duration expected);

    /// @brief Earliest time at which one more model load can start, after those queued before it.
    /// @param ahead model loads that are queued before it
    /// @param inTransit running model loads
    /// @param loadTime expected duration of one load
    TimePoint estimateStart(std::uint32_t ahead, std::uint32_t inTransit, Duration loadTime,
                            TimePoint now) const;

    /// @brief Number of concurrent model loads that is allowed now.
    std::uint32_t loadsAtOnce() const;

    /// @brief Number of model loads per second that may be started now.
    double loadsPerSecond() const { return this->limits.loadsPerSecond * this->rateFactor; }

private:
    void refill(TimePoint now);
    double bucketCapacity() const;

    StoreLimits limits;
    double tokens = 0.0;
    TimePoint refilledAt;
    double concurrencyFactor = 1.0;
    double rateFactor = 1.0;
};

} // namespace bamboochute::store
