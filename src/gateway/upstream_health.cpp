#include "gateway/upstream_health.hpp"

#include <algorithm>
#include <array>

namespace bamboochute::gateway {

std::string_view upstreamFaultName(UpstreamFault fault) noexcept
{
    constexpr std::array<std::string_view, 6> names{"unreachable",  "broken", "malformed",
                                                    "server_error", "full",   "slow"};
    return names[static_cast<std::size_t>(fault)];
}

void UpstreamHealth::recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now)
{
    Record &record = this->records[upstream];
    record.consecutiveFaults = 0;
    record.nextPause = this->limits.firstPause;
    record.avoidedUntil = {};
    record.unreachableUntil = {};
    record.failureRate *= 1 - this->limits.smoothingFactor;
    const bool isKnown
            = record.latencySeconds > 0 && record.latencyAt + this->limits.latencyMaxAge > now;
    const double seconds = toSeconds(latency);
    record.latencySeconds = isKnown ? record.latencySeconds * (1 - this->limits.smoothingFactor)
                                              + seconds * this->limits.smoothingFactor
                                    : seconds;
    record.latencyAt = now;
}

bool UpstreamHealth::recordFault(const UpstreamId &upstream, UpstreamFault fault, TimePoint now)
{
    Record &record = this->records[upstream];
    const bool wasAvoided = record.avoidedUntil > now;
    if (fault == UpstreamFault::Full) {
        record.avoidedUntil = std::max(record.avoidedUntil, now + this->limits.fullPause);
        return !wasAvoided;
    }
    record.failureRate += this->limits.smoothingFactor * (1 - record.failureRate);
    if (fault == UpstreamFault::ServerError)
        return false;
    ++record.consecutiveFaults;
    const std::uint32_t maxFaults = fault == UpstreamFault::Slow
                                            ? this->limits.maxConsecutiveSlow
                                            : this->limits.maxConsecutiveFaults;
    if (fault != UpstreamFault::Unreachable && record.consecutiveFaults < maxFaults)
        return false;
    this->extendAvoidance(record, std::max(record.nextPause, this->limits.firstPause), now);
    record.nextPause = std::min(2 * std::max(record.nextPause, this->limits.firstPause),
                                this->limits.longestPause);
    if (fault == UpstreamFault::Unreachable)
        record.unreachableUntil = record.avoidedUntil;
    return !wasAvoided;
}

void UpstreamHealth::recordSuspicion(const UpstreamId &upstream, Duration pause, TimePoint now)
{
    this->extendAvoidance(this->records[upstream], std::min(pause, this->limits.longestPause), now);
}

void UpstreamHealth::extendAvoidance(Record &record, Duration pause, TimePoint now) const
{
    record.avoidedUntil = std::max(record.avoidedUntil, now + pause);
}

bool UpstreamHealth::isAvoided(const UpstreamId &upstream, TimePoint now) const
{
    return this->avoidedUntil(upstream) > now;
}

bool UpstreamHealth::isUnreachable(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->records.find(upstream);
    return found != this->records.end() && found->second.unreachableUntil > now;
}

TimePoint UpstreamHealth::avoidedUntil(const UpstreamId &upstream) const
{
    const auto found = this->records.find(upstream);
    return found == this->records.end() ? TimePoint() : found->second.avoidedUntil;
}

double UpstreamHealth::failureRate(const UpstreamId &upstream) const
{
    const auto found = this->records.find(upstream);
    return found == this->records.end() ? 0 : found->second.failureRate;
}

double UpstreamHealth::latencySeconds(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end() || found->second.latencyAt + this->limits.latencyMaxAge <= now)
        return 0;
    return found->second.latencySeconds;
}

} // namespace bamboochute::gateway
