/// @file
/// @brief Counts the requests of this instance for each model and adapter.
#pragma once

#include "core/clock.hpp"
#include "core/routing_table.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::gateway {

/// @brief A model, with or without adapter, at the engines of one service.
struct ServiceTarget
{
    ServiceId service;
    Target target;
    /// Software version that the requests are bound to; empty when any serves them.
    SoftwareVersion version = {};
    auto operator<=>(const ServiceTarget &) const = default;
};

/// @brief Demand for one target since the last report.
struct TargetDemand
{
    ServiceTarget target;
    /// Requests that arrived since the last report.
    std::uint32_t arrivals = 0;
    /// Requests that wait until an upstream holds the target.
    std::uint32_t waiting = 0;
    /// Time until the earliest deadline of the waiting requests; zero when none waits.
    Duration shortestWait{};
    /// Requests in flight at upstreams.
    std::uint32_t running = 0;
    auto operator<=>(const TargetDemand &) const = default;
};

/// @brief The placement owner's estimate of when an upstream holds a target.
struct TargetPromise
{
    /// When an upstream is expected to hold the target.
    TimePoint readyAt{};
    /// When this instance learned of the estimate.
    TimePoint receivedAt{};
    auto operator<=>(const TargetPromise &) const = default;
};

/// @brief Tracks the demand of one instance for each target; not thread-safe.
class DemandTracker
{
public:
    /// @brief Counts a request for a target.
    void recordArrival(const ServiceTarget &target);

    /// @brief Counts a request that begins to wait until an upstream holds the target.
    /// @param waitDeadline when the request stops waiting
    void recordWaitStart(const ServiceTarget &target, TimePoint waitDeadline);

    /// @brief Ends a wait; the target's promise is dropped with the last one.
    /// @param waitDeadline as passed to recordWaitStart()
    void recordWaitEnd(const ServiceTarget &target, TimePoint waitDeadline);

    /// @brief Counts a request that is sent to an upstream.
    void recordStart(const ServiceTarget &target);

    /// @brief Ends a request that recordStart() counted.
    void recordFinish(const ServiceTarget &target);

    /// @brief Stores the newest promise for a target; ignored when no request waits for it.
    void recordPromise(const ServiceTarget &target, const TargetPromise &promise);

    /// @brief The newest promise for a target.
    /// @return unset when there is none, or no request waits for the target
    std::optional<TargetPromise> promise(const ServiceTarget &target) const;

    /// @brief Whether a request has begun to wait since the last report.
    bool hasNewWait() const noexcept { return this->hasUnreportedWait; }

    /// @brief Returns the demand for each target and resets the arrivals.
    ///
    /// Waiting and running requests are part of every report until they end.
    std::vector<TargetDemand> takeReport(TimePoint now);

private:
    struct TargetState
    {
        std::uint32_t arrivals = 0;
        std::uint32_t running = 0;
        /// One entry for each waiting request; the values are unused.
        std::multimap<TimePoint, int> waitDeadlines;
        std::optional<TargetPromise> promise;
    };

    std::map<ServiceTarget, TargetState> states;
    bool hasUnreportedWait = false;
};

} // namespace bamboochute::gateway
