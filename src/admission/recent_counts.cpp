#include "admission/recent_counts.hpp"

#include <cmath>

namespace bamboochute::admission {

namespace {

/// Fade times after which the counts are scaled down, long before a double overflows.
constexpr double maxExponent = 200.0;

} // namespace

RecentCounts::RecentCounts(Duration fadeTime)
    : fadeTime(fadeTime)
{}

void RecentCounts::add(const UpstreamId &upstream, TimePoint now)
{
    if (toSeconds(now - this->start) > maxExponent * toSeconds(this->fadeTime)) {
        const double scale = 1.0 / this->one(now);
        for (auto &[id, count] : this->counts)
            count *= scale;
        this->start = now;
    }
    this->counts[upstream] += this->one(now);
}

double RecentCounts::of(const UpstreamId &upstream) const
{
    const auto found = this->counts.find(upstream);
    return found == this->counts.end() ? 0.0 : found->second;
}

double RecentCounts::one(TimePoint now) const
{
    return std::exp(toSeconds(now - this->start) / toSeconds(this->fadeTime));
}

void RecentCounts::forgetIf(const std::function<bool(const UpstreamId &)> &isUnknown)
{
    std::erase_if(this->counts, [&](const auto &entry) { return isUnknown(entry.first); });
}

} // namespace bamboochute::admission
