/// @file
/// @brief When the holder of a lease may act on it; time is a parameter.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <optional>

namespace bamboochute::residency {

/// @brief Times by which a lease is kept.
struct LeaseTimes
{
    Duration timeToLive = std::chrono::seconds(2);
    /// Share of the time to live after which the holder stops to act without a renewal.
    double validShare = 0.7;
    /// Share of the time to live after which a renewal is sent.
    double renewShare = 0.3;
    /// Least time between the orders of two different holders.
    Duration handoverPause = std::chrono::seconds(3);
    auto operator<=>(const LeaseTimes &) const = default;
};

/// @brief The lease of the placement's owner, as its holder sees it.
///
/// All times are of a clock that goes on while the machine is suspended.
class Lease
{
public:
    explicit Lease(LeaseTimes times = {})
        : times(times)
    {}

    /// @brief The lease was granted.
    /// @param fence fencing number, higher than that of every earlier holder
    /// @param sentAt when the call that granted it was sent
    /// @param orderFrom first time at which an order may be sent
    void recordGrant(Fence fence, TimePoint sentAt, TimePoint earliestOrder);

    /// @brief The lease was renewed by a call sent at a time.
    void recordRenewal(TimePoint sentAt);

    /// @brief The lease has ended, or another holder was seen.
    void recordLoss() noexcept { this->grantedFence.reset(); }

    /// @brief Whether no other holder can exist.
    bool isHeld(TimePoint now) const;

    /// @brief Whether an order may be sent.
    bool maySendOrders(TimePoint now) const
    {
        return this->isHeld(now) && now >= this->earliestOrder;
    }

    /// @brief Whether the lease was granted and not given up, even if it may have run out.
    bool isGranted() const noexcept { return this->grantedFence.has_value(); }

    bool isRenewalDue(TimePoint now) const;

    /// @brief Fencing number of the present term; zero when there is none.
    Fence fence() const noexcept { return this->grantedFence.value_or(Fence()); }

private:
    Duration timeToLiveShare(double share) const;

    LeaseTimes times;
    std::optional<Fence> grantedFence;
    TimePoint lastRenewalSent{};
    TimePoint earliestOrder{};
};

/// @brief Time that a successor waits before its first order, from the end of the former lease.
///
/// The former holder sent its last order when its lease stopped to be valid, or before.
Duration successorPause(const LeaseTimes &times);

/// @brief First time at which a successor may send an order.
/// @param areEnginesFenced engines refuse the former holder's orders once they know the new fence;
/// then the successor waits only as long as a holder that was heard lately may still act
/// @param now when the record was found free and taken
/// @param lastSign when the former holder could last have been heard: its last message, or the time
/// from which this instance has listened
TimePoint earliestOrderTime(const LeaseTimes &times, bool areEnginesFenced, TimePoint now,
                            TimePoint lastHeard);

} // namespace bamboochute::residency
