#include "core/clock.hpp"

namespace bamboochute {

TimePoint SteadyClock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceStart));
}

} // namespace bamboochute
