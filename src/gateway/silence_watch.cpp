#include "gateway/silence_watch.hpp"

#include "core/bounded_duration.hpp"

#include <algorithm>

namespace bamboochute::gateway {

namespace {

Duration multiply(Duration duration, double factor)
{
    return toBoundedDuration(duration * factor);
}

} // namespace

SilenceWatch::SilenceWatch(const SilenceLimits &limits, Duration objective, Duration maxEventGap,
                           TimePoint now)
    : retryInterval(limits.retryInterval)
    , limit(std::max(multiply(objective, limits.objectives), limits.minTime))
    , eventLimit(multiply(maxEventGap, limits.eventGaps))
    , checkAt(now + this->limit)
{}

void SilenceWatch::recordBytes(TimePoint now)
{
    this->checkAt = this->limit > Duration(0) ? now + this->limit : TimePoint::max();
}

void SilenceWatch::recordEvents(TimePoint now)
{
    this->limit = this->eventLimit;
    this->recordBytes(now);
}

void SilenceWatch::recordNotReplaced(TimePoint now)
{
    this->checkAt = now + this->retryInterval;
}

} // namespace bamboochute::gateway
