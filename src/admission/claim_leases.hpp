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
    /// Time allowed for a write on its way when a lease is chosen.
    std::chrono::seconds margin{60};
    /// Delay before a lease that was not granted is requested again.
    Duration retryDelay = std::chrono::milliseconds(250);
    auto operator<=>(const LeaseLimits &) const = default;
};

/// @brief A lease and the time until which it lasts at least.
struct ClaimLease
{
    platform::LeaseId id;
    TimePoint end{};
    auto operator<=>(const ClaimLease &) const = default;
};

/// @brief One current lease for each retention; a new one is requested before it gets too short.
class ClaimLeases
{
public:
    explicit ClaimLeases(LeaseLimits limits = {});

    /// @brief A lease that outlasts the retention and the margin.
    std::optional<ClaimLease> find(std::chrono::seconds retention, TimePoint now) const;

    /// @brief Tells whether a lease must be requested now; it counts as requested then.
    /// @return the time to live to request
    std::optional<std::chrono::seconds> request(std::chrono::seconds retention, TimePoint now);

    /// @brief Takes the answer to a request.
    /// @param timeToLive as it was requested
    void granted(std::chrono::seconds timeToLive, const Result<platform::LeaseId> &lease);

private:
    struct Pool
    {
        ClaimLease lease;
        TimePoint requestedAt{};
        bool isRequested = false;
    };

    std::chrono::seconds timeToLive(std::chrono::seconds retention) const;

    LeaseLimits limits;
    std::map<std::chrono::seconds, Pool> pools;
};

} // namespace bamboochute::admission
