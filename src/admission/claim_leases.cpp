#include "admission/claim_leases.hpp"

namespace bamboochute::admission {

namespace {

/// Time after which an unanswered request is made again.
constexpr Duration requestTimeout = std::chrono::seconds(5);
/// A new lease is requested when this part of the window is left.
constexpr int windowPartLeft = 8;

} // namespace

ClaimLeases::ClaimLeases(LeaseLimits limits)
    : limits(limits)
{}

std::optional<ClaimLease> ClaimLeases::find(std::chrono::seconds retention, TimePoint now) const
{
    const auto found = this->pools.find(retention);
    if (found == this->pools.end())
        return std::nullopt;
    const ClaimLease &lease = found->second.lease;
    const bool isLongEnough = now + retention + this->limits.margin <= lease.end;
    const bool isUsable = lease.id != platform::LeaseId() && isLongEnough;
    return isUsable ? std::optional(lease) : std::nullopt;
}

std::optional<std::chrono::seconds> ClaimLeases::request(std::chrono::seconds retention,
                                                         TimePoint now)
{
    Pool &pool = this->pools[retention];
    const Duration left = this->limits.window / windowPartLeft;
    const bool isEnding = now + retention + this->limits.margin + left > pool.lease.end;
    const Duration wait = pool.isRequested ? requestTimeout : this->limits.retryDelay;
    const bool isDue = pool.requestedAt == TimePoint() || now - pool.requestedAt >= wait;
    if (!isEnding || !isDue)
        return std::nullopt;
    pool.isRequested = true;
    pool.requestedAt = now;
    return this->timeToLive(retention);
}

void ClaimLeases::granted(std::chrono::seconds timeToLive, const Result<platform::LeaseId> &lease)
{
    for (auto &[retention, pool] : this->pools) {
        if (this->timeToLive(retention) != timeToLive || !pool.isRequested)
            continue;
        pool.isRequested = false;
        if (lease)
            pool.lease = {lease.value(), pool.requestedAt + timeToLive};
    }
}

std::chrono::seconds ClaimLeases::timeToLive(std::chrono::seconds retention) const
{
    return retention + this->limits.margin + this->limits.window;
}

} // namespace bamboochute::admission
