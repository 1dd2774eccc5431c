#include "admission/recent_counts.hpp"

#include <cmath>

namespace bamboochute::admission {

namespace {

/// Number of decay times after which the counts are scaled down, long before a double overflows.
constexpr double maxExponent = 200.0;

} // namespace

RecentCounts::RecentCounts(Duration decayTime)
    : decayTime(decayTime)
{}

void RecentCounts::add(const UpstreamId &upstream, TimePoint now)
{
    if (toSeconds(now - this->weightOrigin) > maxExponent * toSeconds(this->decayTime)) {
        const double scale = 1.0 / this->eventWeight(now);
        for (auto &[id, count] : this->counts)
            count *= scale;
        this->weightOrigin = now;
    }
    this->counts[upstream] += this->eventWeight(now);
}

double RecentCounts::weightedCount(const UpstreamId &upstream) const
{
    const auto found = this->counts.find(upstream);
    return found == this->counts.end() ? 0.0 : found->second;
}

double RecentCounts::eventWeight(TimePoint now) const
{
    return std::exp(toSeconds(now - this->weightOrigin) / toSeconds(this->decayTime));
}

void RecentCounts::removeIf(const std::function<bool(const UpstreamId &)> &shouldRemove)
{
    std::erase_if(this->counts, [&](const auto &entry) { return shouldRemove(entry.first); });
}

} // namespace bamboochute::admission
