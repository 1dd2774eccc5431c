/// @file
/// @brief Which targets this instance's requests ask for, wait for and use.
#pragma once

#include "core/clock.hpp"
#include "core/routing_table.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::gateway {

/// @brief A target of a service's engines.
struct ServiceTarget
{
    ServiceId service;
    Target target;
    auto operator<=>(const ServiceTarget &) const = default;
};

/// @brief Demand for one target since the last report.
struct TargetDemand
{
    ServiceTarget target;
    std::uint32_t arrivals = 0;
    /// Requests that wait until the target is held somewhere.
    std::uint32_t waiting = 0;
    /// Time that the most urgent of them has left.
    Duration shortestWait{};
    /// Requests under way at upstreams.
    std::uint32_t running = 0;
    auto operator<=>(const TargetDemand &) const = default;
};

/// @brief What the owner of the placement said of a target that is waited for.
struct TargetPromise
{
    /// When it is expected to be held somewhere.
    TimePoint readyAt{};
    /// When this was said.
    TimePoint receivedAt{};
    auto operator<=>(const TargetPromise &) const = default;
};

/// @brief Demand of one instance; not thread-safe.
class DemandTracker
{
public:
    void recordArrival(const ServiceTarget &target);

    void recordWaitStart(const ServiceTarget &target, TimePoint waitDeadline);
    void recordWaitEnd(const ServiceTarget &target, TimePoint waitDeadline);

    void recordStart(const ServiceTarget &target);
    void recordFinish(const ServiceTarget &target);

    /// @brief Notes when a target will be held.
    void recordPromise(const ServiceTarget &target, const TargetPromise &promise);

    /// @brief The newest promise for a target that is waited for.
    std::optional<TargetPromise> promise(const ServiceTarget &target) const;

    /// @brief Whether a request began to wait since the last report.
    bool hasNewWait() const noexcept { return this->hasUnreportedWait; }

    /// @brief All demand since the last call; what runs and waits stays.
    std::vector<TargetDemand> takeReport(TimePoint now);

private:
    struct TargetState
    {
        std::uint32_t arrivals = 0;
        std::uint32_t running = 0;
        std::multimap<TimePoint, int> waitDeadlines;
        std::optional<TargetPromise> promise;
    };

    std::map<ServiceTarget, TargetState> states;
    bool hasUnreportedWait = false;
};

} // namespace bamboochute::gateway
