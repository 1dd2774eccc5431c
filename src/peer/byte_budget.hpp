/// @file
/// @brief Token bucket that bounds the bytes sent for control.
#pragma once

#include "core/clock.hpp"

#include <cstdint>

namespace bamboochute::peer {

/// @brief Bytes that may be sent now; may be overdrawn by what must not wait.
class ByteBudget
{
public:
    /// @param bytesPerSecond rate at which it fills
    /// @param burstBytes most that it holds
    ByteBudget(std::uint32_t bytesPerSecond, std::uint32_t burstBytes);

    /// @brief Bytes available; zero while it is overdrawn.
    std::size_t available(TimePoint now);

    /// @brief Takes bytes out, also more than are available, down to the debt of one second.
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
