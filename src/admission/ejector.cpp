#include "admission/ejector.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

constexpr double newLatencyWeight = 0.1;
/// Minimum number of upstreams with enough answers for the median of a pool.
constexpr std::size_t minUpstreamsForMedian = 3;

} // namespace

std::string_view ejectionReasonName(EjectionReason reason) noexcept
{
    constexpr std::array<std::string_view, 3> names{
            "consecutive_failures",
            "error_rate",
            "slow_answers",
    };
    return names[static_cast<std::size_t>(reason)];
}

Ejector::Ejector(Metrics &metrics, EjectorLimits limits)
    : limits(limits)
    , metrics(metrics)
{}

void Ejector::recordStart(const UpstreamId &upstream, TimePoint now)
{
    UpstreamRecord &record = this->records[upstream];
    if (this->health(record, now) == UpstreamHealth::Probing)
        record.isProbeUnderWay = true;
}

void Ejector::recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now)
{
    UpstreamRecord &record = this->records[upstream];
    this->rollWindow(record, now);
    record.consecutiveFailures = 0;
    ++record.successes;
    const double seconds = toSeconds(latency);
    const double weight = record.latencySamples == 0 ? 1.0 : newLatencyWeight;
    record.meanLatency += weight * (seconds - record.meanLatency);
    ++record.latencySamples;
    if (record.isProbeUnderWay)
        this->recordProbeSuccess(record, now);
    else if (!record.isEjected && this->isSlow(record))
        this->eject(record, EjectionReason::SlowAnswers, now);
}

void Ejector::recordFailure(const UpstreamId &upstream, TimePoint now)
{
    UpstreamRecord &record = this->records[upstream];
    this->rollWindow(record, now);
    ++record.consecutiveFailures;
    ++record.failures;
    const bool hasTooManyInRow = record.consecutiveFailures >= this->limits.consecutiveFailures;
    if (record.isProbeUnderWay || (hasTooManyInRow && !record.isEjected))
        this->eject(record, EjectionReason::ConsecutiveFailures, now);
    else if (!record.isEjected && this->exceedsErrorRate(record))
        this->eject(record, EjectionReason::ErrorRate, now);
}

void Ejector::recordCancellation(const UpstreamId &upstream)
{
    this->records[upstream].isProbeUnderWay = false;
}

UpstreamHealth Ejector::health(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->records.find(upstream);
    return found == this->records.end() ? UpstreamHealth::Healthy
                                        : this->health(found->second, now);
}

std::vector<UpstreamId> Ejector::selectUsable(const std::vector<UpstreamId> &group,
                                              TimePoint now) const
{
    std::vector<UpstreamId> usable;
    std::vector<std::pair<TimePoint, UpstreamId>> ejected;
    for (const UpstreamId &upstream : group) {
        if (this->health(upstream, now) != UpstreamHealth::Ejected)
            usable.push_back(upstream);
        else
            ejected.emplace_back(this->records.at(upstream).ejectedUntil, upstream);
    }
    const double share = this->limits.maxEjectedShare * static_cast<double>(group.size());
    const std::size_t alwaysEjectable = group.size() > 1 ? 1 : 0;
    const std::size_t maxEjected = std::max(alwaysEjectable, static_cast<std::size_t>(share));
    if (ejected.size() <= maxEjected)
        return usable;
    std::sort(ejected.begin(), ejected.end());
    for (std::size_t i = 0; i < ejected.size() - maxEjected; ++i)
        usable.push_back(ejected[i].second);
    return usable;
}

void Ejector::update(const RoutingTable &table)
{
    for (const auto &[id, state] : table.upstreams)
        this->records[id].pool = state.spec.pool;
    std::erase_if(this->records,
                  [&](const auto &entry) { return !table.upstreams.contains(entry.first); });
}

void Ejector::rollWindow(UpstreamRecord &record, TimePoint now) const
{
    if (now - record.windowStart < this->limits.window)
        return;
    if (!record.isEjected)
        record.backOff /= 2;
    this->startWindow(record, now);
}

void Ejector::startWindow(UpstreamRecord &record, TimePoint now) const
{
    record.windowStart = now;
    record.successes = 0;
    record.failures = 0;
}

void Ejector::eject(UpstreamRecord &record, EjectionReason reason, TimePoint now)
{
    const Duration doubled = std::max(this->limits.firstBackOff, 2 * record.backOff);
    record.backOff = std::min(doubled, this->limits.maxBackOff);
    record.ejectedUntil = now + record.backOff;
    record.isEjected = true;
    record.isProbeUnderWay = false;
    record.probesPassed = 0;
    record.latencySamples = 0;
    const std::string label = fmt::format("reason=\"{}\"", ejectionReasonName(reason));
    this->metrics.counter("bamboochute_ejections_total", label).add();
}

void Ejector::recordProbeSuccess(UpstreamRecord &record, TimePoint now) const
{
    record.isProbeUnderWay = false;
    if (++record.probesPassed < this->limits.requiredProbes)
        return;
    record.isEjected = false;
    record.consecutiveFailures = 0;
    this->startWindow(record, now);
}

bool Ejector::exceedsErrorRate(const UpstreamRecord &record) const
{
    const std::uint32_t total = record.successes + record.failures;
    return total >= this->limits.minSamples
           && static_cast<double>(record.failures) >= this->limits.errorRate * total;
}

bool Ejector::isSlow(const UpstreamRecord &record) const
{
    if (record.latencySamples < this->limits.minSamples)
        return false;
    std::vector<double> meanLatencies;
    for (const auto &[id, other] : this->records) {
        if (other.pool == record.pool && other.latencySamples >= this->limits.minSamples)
            meanLatencies.push_back(other.meanLatency);
    }
    if (meanLatencies.size() < minUpstreamsForMedian)
        return false;
    const auto median
            = meanLatencies.begin() + static_cast<std::ptrdiff_t>(meanLatencies.size() / 2);
    std::nth_element(meanLatencies.begin(), median, meanLatencies.end());
    return record.meanLatency > this->limits.slowFactor * *median;
}

UpstreamHealth Ejector::health(const UpstreamRecord &record, TimePoint now) const
{
    if (!record.isEjected)
        return UpstreamHealth::Healthy;
    const bool isProbeDue = now >= record.ejectedUntil && !record.isProbeUnderWay;
    return isProbeDue ? UpstreamHealth::Probing : UpstreamHealth::Ejected;
}

} // namespace bamboochute::admission
