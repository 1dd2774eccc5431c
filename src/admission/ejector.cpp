#include "admission/ejector.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace bamboochute::admission {

namespace {

constexpr double newLatencyWeight = 0.1;
/// Upstreams of a pool with enough answers that a median needs.
constexpr std::size_t minForMedian = 3;

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
    Record &record = this->records[upstream];
    if (this->health(record, now) == UpstreamHealth::Probing)
        record.isProbeUnderWay = true;
}

void Ejector::recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now)
{
    Record &record = this->records[upstream];
    this->roll(record, now);
    record.consecutive = 0;
    ++record.successes;
    const double seconds = toSeconds(latency);
    const double weight = record.latencySamples == 0 ? 1.0 : newLatencyWeight;
    record.meanLatency += weight * (seconds - record.meanLatency);
    ++record.latencySamples;
    if (record.isProbeUnderWay)
        this->probeSucceeded(record, now);
    else if (!record.isEjected && this->isSlow(record))
        this->eject(record, EjectionReason::SlowAnswers, now);
}

void Ejector::recordFailure(const UpstreamId &upstream, TimePoint now)
{
    Record &record = this->records[upstream];
    this->roll(record, now);
    ++record.consecutive;
    ++record.failures;
    const bool isInRow = record.consecutive >= this->limits.consecutiveFailures;
    if (record.isProbeUnderWay || (isInRow && !record.isEjected))
        this->eject(record, EjectionReason::ConsecutiveFailures, now);
    else if (!record.isEjected && this->failsOften(record))
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

std::vector<UpstreamId> Ejector::usable(const std::vector<UpstreamId> &group, TimePoint now) const
{
    std::vector<UpstreamId> all;
    std::vector<std::pair<TimePoint, UpstreamId>> out;
    for (const UpstreamId &upstream : group) {
        if (this->health(upstream, now) != UpstreamHealth::Ejected)
            all.push_back(upstream);
        else
            out.emplace_back(this->records.at(upstream).ejectedUntil, upstream);
    }
    const double share = this->limits.maxEjectedShare * static_cast<double>(group.size());
    const std::size_t atLeastOne = group.size() > 1 ? 1 : 0;
    const std::size_t maxOut = std::max(atLeastOne, static_cast<std::size_t>(share));
    if (out.size() <= maxOut)
        return all;
    std::sort(out.begin(), out.end());
    for (std::size_t i = 0; i < out.size() - maxOut; ++i)
        all.push_back(out[i].second);
    return all;
}

void Ejector::update(const RoutingTable &table)
{
    for (const auto &[id, state] : table.upstreams)
        this->records[id].pool = state.spec.pool;
    std::erase_if(this->records,
                  [&](const auto &entry) { return !table.upstreams.contains(entry.first); });
}

void Ejector::roll(Record &record, TimePoint now) const
{
    if (now - record.windowStart < this->limits.window)
        return;
    if (!record.isEjected)
        record.backOff /= 2;
    this->startWindow(record, now);
}

void Ejector::startWindow(Record &record, TimePoint now) const
{
    record.windowStart = now;
    record.successes = 0;
    record.failures = 0;
}

void Ejector::eject(Record &record, EjectionReason reason, TimePoint now)
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

void Ejector::probeSucceeded(Record &record, TimePoint now) const
{
    record.isProbeUnderWay = false;
    if (++record.probesPassed < this->limits.probes)
        return;
    record.isEjected = false;
    record.consecutive = 0;
    this->startWindow(record, now);
}

bool Ejector::failsOften(const Record &record) const
{
    const std::uint32_t total = record.successes + record.failures;
    return total >= this->limits.minSamples
           && static_cast<double>(record.failures) >= this->limits.errorRate * total;
}

bool Ejector::isSlow(const Record &record) const
{
    if (record.latencySamples < this->limits.minSamples)
        return false;
    std::vector<double> means;
    for (const auto &[id, other] : this->records) {
        if (other.pool == record.pool && other.latencySamples >= this->limits.minSamples)
            means.push_back(other.meanLatency);
    }
    if (means.size() < minForMedian)
        return false;
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return record.meanLatency > this->limits.slowFactor * *middle;
}

UpstreamHealth Ejector::health(const Record &record, TimePoint now) const
{
    if (!record.isEjected)
        return UpstreamHealth::Healthy;
    const bool isReady = now >= record.ejectedUntil && !record.isProbeUnderWay;
    return isReady ? UpstreamHealth::Probing : UpstreamHealth::Ejected;
}

} // namespace bamboochute::admission
