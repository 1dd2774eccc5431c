/// @file
/// @brief Limits the retries at each service over all instances without coordination.
#pragma once

#include "core/clock.hpp"
#include "gateway/instance_count.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace bamboochute::gateway {

/// @brief Limit of the retries at one service, over all instances.
struct RetryLimits
{
    /// Retries that each request adds to the budget.
    double retriesPerRequest = 0.2;
    /// Retries that are allowed in any window beside these, over all instances.
    double freeRetries = 50;
    /// Length of the sliding window.
    Duration window = std::chrono::seconds(10);
    /// Share of the limit that is used. The rest is a margin for requests and retries that
    /// upstreams count in another window than this instance.
    double usedShare = 0.8;
    auto operator<=>(const RetryLimits &) const = default;
};

/// @brief Counts requests and their retries in a sliding window for each service; not thread-safe.
///
/// A retry is each time that a request reaches an upstream beyond the first. Each instance stays
/// within its own part of the limit: the retries that its own requests add, and an equal share of
/// the free retries.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits = {})
        : limits(limits)
    {}

    /// @brief Replaces the limits; counted requests and retries stay.
    void configure(const RetryLimits &changed) { this->limits = changed; }

    /// @brief Notes when this process started, after others that may have used all free retries:
    /// there are none until its own count covers the whole window.
    void beginCounting(TimePoint start) { this->countingSince = start; }

    /// @brief Takes over the announced number of instances that share the free retries; there are
    /// none while it is not known.
    void setInstanceCount(std::uint32_t count, TimePoint now)
    {
        this->instances.record(count, now);
    }

    /// @brief Counts a request to a service, which adds to the budget.
    void recordRequest(const ServiceId &service, TimePoint now);

    /// @brief Counts a retry if the budget allows it.
    /// @return whether the request may be retried
    bool takeRetry(const ServiceId &service, TimePoint now);

    /// @brief Takes back the latest retry, which has reached no upstream.
    void returnRetry(const ServiceId &service, TimePoint now);

    /// @brief Number of retries that the budget still allows; may be fractional or negative.
    double remaining(const ServiceId &service, TimePoint now);

private:
    struct Window
    {
        /// Times in ascending order.
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Window &currentWindow(const ServiceId &service, TimePoint now);

    RetryLimits limits;
    InstanceCount instances;
    /// Unset if no process has run before.
    std::optional<TimePoint> countingSince;
    std::map<ServiceId, Window> windows;
};

} // namespace bamboochute::gateway
