#include "residency/lease.hpp"

#include <algorithm>

namespace bamboochute::residency {

void Lease::recordGrant(Fence fence, TimePoint sentAt, TimePoint earliestOrder)
{
    this->grantedFence = fence;
    this->lastRenewalSent = sentAt;
    this->earliestOrder = earliestOrder;
}

void Lease::recordRenewal(TimePoint sentAt)
{
    this->lastRenewalSent = std::max(this->lastRenewalSent, sentAt);
}

bool Lease::isHeld(TimePoint now) const
{
    return this->isGranted()
           && now < this->lastRenewalSent + this->timeToLiveShare(this->times.validShare);
}

bool Lease::isRenewalDue(TimePoint now) const
{
    return this->isGranted()
           && now >= this->lastRenewalSent + this->timeToLiveShare(this->times.renewShare);
}

Duration Lease::timeToLiveShare(double share) const
{
    return std::chrono::duration_cast<Duration>(this->times.timeToLive * share);
}

Duration timeInvalidBeforeExpiry(const LeaseTimes &times)
{
    return std::chrono::duration_cast<Duration>(times.timeToLive * (1 - times.validShare));
}

Duration successorPause(const LeaseTimes &times)
{
    return std::max(Duration(0), times.handoverPause - timeInvalidBeforeExpiry(times));
}

TimePoint earliestOrderTime(const LeaseTimes &times, bool areEnginesFenced, TimePoint now,
                            TimePoint lastHeard)
{
    if (!areEnginesFenced)
        return now + successorPause(times);
    const auto valid = std::chrono::duration_cast<Duration>(times.timeToLive * times.validShare);
    return std::max(now, lastHeard + valid);
}

} // namespace bamboochute::residency
