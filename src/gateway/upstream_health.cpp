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

void UpstreamHealth::succeeded(const UpstreamId &upstream, Duration latency, TimePoint now)
{
    Record &record = this->records[upstream];
    record.faultsInRow = 0;
    record.nextPause = this->limits.firstPause;
    record.avoidedUntil = {};
    record.failureShare *= 1 - this->limits.newestWeight;
    const bool isKnown
            = record.latencySeconds > 0 && record.latencyAt + this->limits.latencyMemory > now;
    const double seconds = toSeconds(latency);
    record.latencySeconds = isKnown ? record.latencySeconds * (1 - this->limits.newestWeight)
                                              + seconds * this->limits.newestWeight
                                    : seconds;
    record.latencyAt = now;
}

bool UpstreamHealth::failed(const UpstreamId &upstream, UpstreamFault fault, TimePoint now)
{
    Record &record = this->records[upstream];
    const bool wasAvoided = record.avoidedUntil > now;
    if (fault == UpstreamFault::Full) {
        record.avoidedUntil = std::max(record.avoidedUntil, now + this->limits.fullPause);
        return !wasAvoided;
    }
    record.failureShare += this->limits.newestWeight * (1 - record.failureShare);
    if (fault == UpstreamFault::ServerError)
        return false;
    ++record.faultsInRow;
    const std::uint32_t tolerated
            = fault == UpstreamFault::Slow ? this->limits.slowInRow : this->limits.faultsInRow;
    if (fault != UpstreamFault::Unreachable && record.faultsInRow < tolerated)
        return false;
    this->avoid(record, std::max(record.nextPause, this->limits.firstPause), now);
    record.nextPause = std::min(2 * std::max(record.nextPause, this->limits.firstPause),
                                this->limits.longestPause);
    return !wasAvoided;
}

void UpstreamHealth::recordSuspicion(const UpstreamId &upstream, Duration pause, TimePoint now)
{
    this->avoid(this->records[upstream], std::min(pause, this->limits.longestPause), now);
}

void UpstreamHealth::avoid(Record &record, Duration pause, TimePoint now) const
{
    record.avoidedUntil = std::max(record.avoidedUntil, now + pause);
}

bool UpstreamHealth::isAvoided(const UpstreamId &upstream, TimePoint now) const
{
    return this->avoidedUntil(upstream) > now;
}

TimePoint UpstreamHealth::avoidedUntil(const UpstreamId &upstream) const
{
    const auto found = this->records.find(upstream);
    return found == this->records.end() ? TimePoint() : found->second.avoidedUntil;
}

double UpstreamHealth::failureShare(const UpstreamId &upstream) const
{
    const auto found = this->records.find(upstream);
    return found == this->records.end() ? 0 : found->second.failureShare;
}

double UpstreamHealth::latencySeconds(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end() || found->second.latencyAt + this->limits.latencyMemory <= now)
        return 0;
    return found->second.latencySeconds;
}

} // namespace bamboochute::gateway
