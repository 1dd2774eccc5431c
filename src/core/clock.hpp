/// @file
/// @brief Time as a value: the decision core gets it as a parameter, only daemons read a clock.
#pragma once

#include <chrono>
#include <concepts>

namespace bamboochute {

using Duration = std::chrono::microseconds;

/// @brief Names the time scale of a process: microseconds that never go back.
struct TimeScale
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<TimeScale>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = TimeScale::time_point;

/// @brief What the program requires of a source of time.
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

/// @brief The machine's monotonic clock.
class SteadyClock
{
public:
    TimePoint now() const;
};

/// @brief The monotonic clock that also counts the time while the machine is suspended.
///
/// Leases granted by others run out on it.
class BootClock
{
public:
    TimePoint now() const;
};

/// @brief A clock that stands still until it is moved; for tests and virtual time.
class ManualClock
{
public:
    TimePoint now() const { return this->time; }
    void advance(Duration by) { this->time += by; }
    void set(TimePoint to) { this->time = to; }

private:
    TimePoint time{};
};

/// @brief Seconds as a floating-point number, for metrics and tables.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace bamboochute
