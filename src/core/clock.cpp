#include "core/clock.hpp"

#include <ctime>

namespace bamboochute {

TimePoint SteadyClock::now() const
{
    const auto timeSinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(timeSinceEpoch));
}

TimePoint BootClock::now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto timeSinceBoot
            = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(timeSinceBoot));
}

} // namespace bamboochute
