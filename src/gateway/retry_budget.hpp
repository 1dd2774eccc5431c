/// @file
/// @brief Bounds the repeated arrivals at a service over all instances, without talking to them.
#pragma once

#include "core/clock.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace bamboochute::gateway {

/// @brief The bound that all instances share for each service.
struct RetryLimits
{
    /// Repeats that each request pays for.
    double retriesPerRequest = 0.2;
    /// Repeats in any window beside these, over all instances.
    double freeRetries = 50;
    Duration window = std::chrono::seconds(10);
    /// Share of the bound that is used, for arrivals that are counted elsewhere in the window.
    double usedShare = 0.8;
    auto operator<=>(const RetryLimits &) const = default;
};

/// @brief Counts arrivals beyond the first of each request in a sliding window; not thread-safe.
///
/// Each instance keeps to its part: its own requests pay for their repeats, and the slack is
/// divided evenly.
class RetryBudget
{
public:
    explicit RetryBudget(RetryLimits limits = {})
        : limits(limits)
    {}

    void configure(const RetryLimits &changed) { this->limits = changed; }

    /// @brief Sets among how many instances the slack is divided.
    void setInstanceCount(std::uint32_t count) { this->instances = count == 0 ? 1 : count; }

    /// @brief Counts a request for a service.
    void recordRequest(const ServiceId &service, TimePoint now);

    /// @brief Takes one repeated arrival, if the window has room for it.
    bool takeRetry(const ServiceId &service, TimePoint now);

    /// @brief Repeats that the window still has room for.
    double remaining(const ServiceId &service, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Window &currentWindow(const ServiceId &service, TimePoint now);

    RetryLimits limits;
    std::uint32_t instances = 1;
    std::map<ServiceId, Window> windows;
};

} // namespace bamboochute::gateway
