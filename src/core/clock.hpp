/// @file
/// @brief Clocks and time types; only daemons read a clock, the decision core is passed the time.
#pragma once

#include <chrono>
#include <concepts>

namespace bamboochute {

using Duration = std::chrono::microseconds;

/// @brief Clock type of TimePoint: the monotonic time of one process, in microseconds.
struct TimeScale
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<TimeScale>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using TimePoint = TimeScale::time_point;

/// @brief Requirements on a clock: now() returns a TimePoint.
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
/// Used for leases granted by other processes, which expire also during a suspension.
class BootClock
{
public:
    TimePoint now() const;
};

/// @brief A clock that changes only by advance() and set(); for tests and simulated time.
class ManualClock
{
public:
    TimePoint now() const { return this->time; }
    void advance(Duration by) { this->time += by; }
    void set(TimePoint to) { this->time = to; }

private:
    TimePoint time{};
};

/// @brief Converts a duration to seconds, for metrics and tables.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace bamboochute
