#include "residency/lease.hpp"

#include <algorithm>

namespace bamboochute::residency {

void Lease::granted(Fence fence, TimePoint sentAt, TimePoint orderFrom)
{
    this->grantedFence = fence;
    this->lastSent = sentAt;
    this->firstOrder = orderFrom;
}

void Lease::renewed(TimePoint sentAt)
{
    this->lastSent = std::max(this->lastSent, sentAt);
}

bool Lease::isHeld(TimePoint now) const
{
    return this->isClaimed() && now < this->lastSent + this->share(this->times.validShare);
}

bool Lease::isRenewalDue(TimePoint now) const
{
    return this->isClaimed() && now >= this->lastSent + this->share(this->times.renewShare);
}

Duration Lease::share(double part) const
{
    return std::chrono::duration_cast<Duration>(this->times.timeToLive * part);
}

Duration successorPause(const LeaseTimes &times)
{
    const auto silent
            = std::chrono::duration_cast<Duration>(times.timeToLive * (1 - times.validShare));
    return std::max(Duration(0), times.handoverPause - silent);
}

TimePoint firstOrderAt(const LeaseTimes &times, bool areEnginesFenced, TimePoint now,
                       TimePoint lastSign)
{
    if (!areEnginesFenced)
        return now + successorPause(times);
    const auto valid = std::chrono::duration_cast<Duration>(times.timeToLive * times.validShare);
    return std::max(now, lastSign + valid);
}

} // namespace bamboochute::residency
