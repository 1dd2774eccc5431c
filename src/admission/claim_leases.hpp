/// @file
/// @brief Leases of the key-value service that many claims share.
#pragma once

#include "platform/key_value.hpp"

#include <map>
#include <optional>

namespace bamboochute::admission {

/// @brief Bounds of the leases.
struct LeaseLimits
{
    /// Claims made within this time share a lease.
    std::chrono::seconds window{600};
    /// Time allowed for a write that is in flight while its lease is chosen.
    std::chrono::seconds margin{60};
    /// Delay before a lease that was not granted is requested again.
    Duration retryDelay = std::chrono::milliseconds(250);
    auto operator<=>(const LeaseLimits &) const = default;
};

/// @brief A lease and the earliest time at which it can expire.
struct ClaimLease
{
    platform::LeaseId id;
    TimePoint end{};
    auto operator<=>(const ClaimLease &) const = default;
};

/// @brief Holds one current lease for each retention time; a new one is requested before its
/// remaining time gets too short for new claims.
class ClaimLeases
{
public:
    explicit ClaimLeases(LeaseLimits limits = {});

    /// @brief Finds a lease that lasts at least for the retention and the margin.
    /// @return nothing when no such lease was granted
    std::optional<ClaimLease> find(std::chrono::seconds retention, TimePoint now) const;

    /// @brief Starts the request for a new lease if one is due; the caller sends it.
    /// @return time to live to request; nothing when no request is due
    std::optional<std::chrono::seconds> requestIfDue(std::chrono::seconds retention, TimePoint now);

    /// @brief Processes the answer to a request.
    /// @param timeToLive as returned by requestIfDue()
    /// @param lease the granted lease; after an error a new request is due after a delay
    void handleAnswer(std::chrono::seconds timeToLive, const Result<platform::LeaseId> &lease);

private:
    struct RetentionLease
    {
        ClaimLease lease;
        TimePoint requestedAt{};
        bool isRequested = false;
    };

    std::chrono::seconds timeToLive(std::chrono::seconds retention) const;

    LeaseLimits limits;
    std::map<std::chrono::seconds, RetentionLease> retentionLeases;
};

} // namespace bamboochute::admission
