/// @file
/// @brief Token bucket that limits the bytes that an instance sends for gossip.
#pragma once

#include "core/clock.hpp"

#include <cstdint>

namespace bamboochute::peer {

/// @brief Token bucket in bytes; traffic that must not wait may overdraw it.
class ByteBudget
{
public:
    /// @param bytesPerSecond refill rate, in bytes per second
    /// @param burstBytes capacity, in bytes; the bucket starts full
    ByteBudget(std::uint32_t bytesPerSecond, std::uint32_t burstBytes);

    /// @brief Bytes that may be sent now; zero while the bucket is overdrawn.
    std::size_t available(TimePoint now);

    /// @brief Removes bytes, possibly more than are available; the debt is capped at one second of
    /// the refill rate.
    void spend(TimePoint now, std::size_t bytes);

private:
    void refill(TimePoint now);

    double rate;
    double burst;
    double level;
    TimePoint refilledAt{};
    bool isStarted = false;
};

} // namespace bamboochute::peer
