/// @file
/// @brief Decides when the holder of a lease may act on it; the time is always a parameter.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <optional>

namespace bamboochute::residency {

/// @brief Durations that govern a lease.
struct LeaseTimes
{
    Duration timeToLive = std::chrono::seconds(2);
    /// Share of the time to live after which a holder without a renewal stops acting.
    double validShare = 0.7;
    /// Share of the time to live after which a renewal is sent.
    double renewShare = 0.3;
    /// Minimum time between the last order of one holder and the first order of the next.
    Duration handoverPause = std::chrono::seconds(3);
    auto operator<=>(const LeaseTimes &) const = default;
};

/// @brief The lease on the ownership of the placement, as its holder sees it.
///
/// All times are of a clock that keeps running while the machine is suspended.
class Lease
{
public:
    explicit Lease(LeaseTimes times = {})
        : times(times)
    {}

    /// @brief Records that the lease was granted.
    /// @param fence fencing number, higher than that of every earlier holder
    /// @param sentAt when the request for the lease was sent; the validity counts from then
    /// @param earliestOrder earliest time at which an order may be sent
    void recordGrant(Fence fence, TimePoint sentAt, TimePoint earliestOrder);

    /// @brief Records a renewal.
    /// @param sentAt when the renewal was sent; the validity counts from then
    void recordRenewal(TimePoint sentAt);

    /// @brief Records that the lease has ended or that another holder was observed.
    void recordLoss() noexcept { this->grantedFence.reset(); }

    /// @brief Whether the lease is still valid, so that no other holder can exist.
    bool isHeld(TimePoint now) const;

    /// @brief Whether orders may be sent to engines.
    bool maySendOrders(TimePoint now) const { return this->isHeld(now) && this->isPauseOver(now); }

    /// @brief Whether the pause after the former holder's orders is over.
    bool isPauseOver(TimePoint now) const { return now >= this->earliestOrder; }

    /// @brief Whether the lease was granted and its loss not recorded; it may have expired.
    bool isGranted() const noexcept { return this->grantedFence.has_value(); }

    /// @brief Whether it is time to send a renewal.
    bool isRenewalDue(TimePoint now) const;

    /// @brief Fencing number of the current ownership; zero when there is none.
    Fence fence() const noexcept { return this->grantedFence.value_or(Fence()); }

private:
    /// @param share share of the time to live, from 0 to 1
    Duration timeToLiveShare(double share) const;

    LeaseTimes times;
    std::optional<Fence> grantedFence;
    TimePoint lastRenewalSent{};
    TimePoint earliestOrder{};
};

/// @brief Time from the last order of a holder that can't renew its lease to the lease's end in the
/// store. A holder that gives up the ownership releases the lease no sooner than that.
Duration timeInvalidBeforeExpiry(const LeaseTimes &times);

/// @brief Time from the end of the former holder's lease to the successor's first order.
///
/// The former holder stops sending orders when its lease ceases to be valid, which is before the
/// lease ends in the store; that time counts towards the pause.
Duration successorPause(const LeaseTimes &times);

/// @brief Earliest time at which a successor may send an order.
/// @param areEnginesFenced whether engines refuse the former holder's orders once they know the new
/// fencing number; then the successor waits only while the former holder's lease may still be valid
/// @param now when the record was found free and acquired
/// @param lastHeard when the former holder's last message came; when none came, the time from which
/// this instance has listened
TimePoint earliestOrderTime(const LeaseTimes &times, bool areEnginesFenced, TimePoint now,
                            TimePoint lastHeard);

} // namespace bamboochute::residency
