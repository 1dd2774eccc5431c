#include "admission/claim_leases.hpp"

namespace bamboochute::admission {

namespace {

/// Time after which an unanswered request is made again.
constexpr Duration requestTimeout = std::chrono::seconds(5);
/// A new lease is requested when the window divided by this number is left.
constexpr int renewalWindowDivisor = 8;

} // namespace

ClaimLeases::ClaimLeases(LeaseLimits limits)
    : limits(limits)
{}

std::optional<ClaimLease> ClaimLeases::find(std::chrono::seconds retention, TimePoint now) const
{
    const auto found = this->retentionLeases.find(retention);
    if (found == this->retentionLeases.end())
        return std::nullopt;
    const ClaimLease &lease = found->second.lease;
    const bool isLongEnough = now + retention + this->limits.margin <= lease.end;
    const bool isUsable = lease.id != platform::LeaseId() && isLongEnough;
    return isUsable ? std::optional(lease) : std::nullopt;
}

std::optional<std::chrono::seconds> ClaimLeases::requestIfDue(std::chrono::seconds retention,
                                                              TimePoint now)
{
    RetentionLease &entry = this->retentionLeases[retention];
    const Duration renewalTime = this->limits.window / renewalWindowDivisor;
    const bool isEnding = now + retention + this->limits.margin + renewalTime > entry.lease.end;
    const Duration wait = entry.isRequested ? requestTimeout : this->limits.retryDelay;
    const bool isDue = entry.requestedAt == TimePoint() || now - entry.requestedAt >= wait;
    if (!isEnding || !isDue)
        return std::nullopt;
    entry.isRequested = true;
    entry.requestedAt = now;
    return this->timeToLive(retention);
}

void ClaimLeases::handleAnswer(std::chrono::seconds timeToLive,
                               const Result<platform::LeaseId> &lease)
{
    for (auto &[retention, entry] : this->retentionLeases) {
        if (this->timeToLive(retention) != timeToLive || !entry.isRequested)
            continue;
        entry.isRequested = false;
        if (lease)
            entry.lease = {lease.value(), entry.requestedAt + timeToLive};
    }
}

std::chrono::seconds ClaimLeases::timeToLive(std::chrono::seconds retention) const
{
    return retention + this->limits.margin + this->limits.window;
}

} // namespace bamboochute::admission
