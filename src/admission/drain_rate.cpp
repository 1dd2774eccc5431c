#include "admission/drain_rate.hpp"

#include <algorithm>

namespace bamboochute::admission {

namespace {

constexpr double newSampleWeight = 0.05;
constexpr int minSamples = 8;
constexpr double leastIntervalSeconds = 1e-6;
/// Mean intervals without a dispatch after which the rate is taken to have fallen.
constexpr double usualSilence = 8.0;

} // namespace

void DrainRate::record(TimePoint now, std::size_t waitingAfter)
{
    if (this->isBacklogged) {
        const double interval = toSeconds(now - this->last);
        const bool isFirst = this->samples == 0;
        const double weight = isFirst ? 1.0 : std::max(newSampleWeight, 1.0 / (this->samples + 1));
        this->intervalSeconds += weight * (interval - this->intervalSeconds);
        ++this->samples;
    }
    this->last = now;
    this->isBacklogged = waitingAfter > 0;
}

std::optional<double> DrainRate::perSecond(TimePoint now) const
{
    if (this->samples < minSamples)
        return std::nullopt;
    const double silence = this->isBacklogged ? toSeconds(now - this->last) : 0.0;
    return 1.0 / std::max({this->intervalSeconds, silence / usualSilence, leastIntervalSeconds});
}

} // namespace bamboochute::admission
