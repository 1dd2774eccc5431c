#include "gateway/silence_watch.hpp"

#include <algorithm>

namespace bamboochute::gateway {

namespace {

Duration multiply(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

SilenceWatch::SilenceWatch(const SilenceLimits &limits, Duration objective, Duration maxEventGap,
                           TimePoint now)
    : retryInterval(limits.retryInterval)
    , answerLimit(std::max(multiply(objective, limits.objectives), limits.minTime))
    , eventLimit(multiply(maxEventGap, limits.eventGaps))
    , checkAt(now + this->answerLimit)
{}

void SilenceWatch::recordBytes(TimePoint now)
{
    this->checkAt = now + this->answerLimit;
}

void SilenceWatch::recordEvents(TimePoint now)
{
    this->checkAt = this->eventLimit > Duration(0) ? now + this->eventLimit : TimePoint::max();
}

void SilenceWatch::recordNotReplaced(TimePoint now)
{
    this->checkAt = now + this->retryInterval;
}

} // namespace bamboochute::gateway
