#include "admission/drain_rate.hpp"

#include <algorithm>

namespace bamboochute::admission {

namespace {

constexpr double newSampleWeight = 0.05;
constexpr int minSamples = 8;
constexpr double minIntervalSeconds = 1e-6;
/// Number of mean intervals without a dispatch after which the rate is lowered.
constexpr double maxIdleIntervals = 8.0;

} // namespace

void DrainRate::recordDispatch(TimePoint now, std::size_t waitingAfter)
{
    if (this->isBacklogged) {
        const double interval = toSeconds(now - this->lastDispatch);
        const bool isFirst = this->samples == 0;
        const double weight = isFirst ? 1.0 : std::max(newSampleWeight, 1.0 / (this->samples + 1));
        this->meanIntervalSeconds += weight * (interval - this->meanIntervalSeconds);
        ++this->samples;
    }
    this->lastDispatch = now;
    this->isBacklogged = waitingAfter > 0;
}

std::optional<double> DrainRate::perSecond(TimePoint now) const
{
    if (this->samples < minSamples)
        return std::nullopt;
    const double idleSeconds = this->isBacklogged ? toSeconds(now - this->lastDispatch) : 0.0;
    return 1.0
           / std::max(
                   {this->meanIntervalSeconds, idleSeconds / maxIdleIntervals, minIntervalSeconds});
}

} // namespace bamboochute::admission
