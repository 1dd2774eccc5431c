/// @file
/// @brief Converts durations that others wrote, or that are computed from such numbers.
#pragma once

#include "core/clock.hpp"

namespace bamboochute {

/// Longest duration that is read from what others wrote: ten times it, and a point in time that far
/// away, still fit Duration.
constexpr Duration maxReadDuration = std::chrono::hours(24L * 365 * 10);
static_assert(maxReadDuration < Duration::max() / 20);

/// @brief Converts an amount of time; what is above maxReadDuration, or below its opposite, becomes
/// that. The amount must be a number.
template<typename Rep, typename Period>
Duration toBoundedDuration(std::chrono::duration<Rep, Period> amount)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds seconds(amount);
    if (seconds >= Seconds(maxReadDuration))
        return maxReadDuration;
    if (seconds <= Seconds(-maxReadDuration))
        return -maxReadDuration;
    return std::chrono::duration_cast<Duration>(amount);
}

} // namespace bamboochute
