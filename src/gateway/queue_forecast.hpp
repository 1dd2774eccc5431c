/// @file
/// @brief Predicts the time to a request's first event from the length of the engine's queue.
#pragma once

#include "core/clock.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace bamboochute::gateway {

/// @brief Parameters of the forecast.
struct ForecastLimits
{
    /// Initial estimate of the time for each waiting request; fits prompts of some thousand tokens.
    Duration initialTimePerRequest = std::chrono::milliseconds(120);
    /// Weight of the newest request in the exponential moving average.
    double smoothingFactor = 0.1;
    /// Requests behind a shorter queue are not learned from: the length of their own prompt
    /// dominates their delay.
    std::uint32_t minWaiting = 2;
    /// A request is sent if its first event is predicted within this many latency objectives; an
    /// answer that misses its objective by less is still worth its work.
    int maxWaitObjectives = 2;
    /// For each less urgent priority, only one in this many waiting requests is assumed to be ahead
    /// of a request.
    std::uint32_t waitingDivisorPerPriority = 4;
    auto operator<=>(const ForecastLimits &) const = default;
};

/// @brief An engine's queue as seen by a request of one priority.
struct EngineQueue
{
    /// Requests of all priorities that wait at the engine.
    std::uint32_t waiting = 0;
    /// Distinct priorities of the service that are less urgent than the request's; the engine runs
    /// the most urgent requests first.
    std::uint32_t lessUrgentPriorities = 0;
    auto operator<=>(const EngineQueue &) const = default;
};

/// @brief Learns for each service by how much a waiting request delays those behind it; not
/// thread-safe.
class QueueForecast
{
public:
    explicit QueueForecast(ForecastLimits limits = {})
        : limits(limits)
    {}

    /// @brief Learns from a request whose first event has arrived.
    /// @param waiting requests that waited at the engine when this one was sent
    /// @param firstEventDelay time from sending the request to its first event
    void recordFirstEvent(const ServiceId &service, std::uint32_t waiting,
                          Duration firstEventDelay);

    /// @brief Predicts the time to the first event of a request.
    /// @param waiting requests that wait ahead of it
    Duration predictFirstEventDelay(const ServiceId &service, std::uint32_t waiting) const;

    /// @brief Predicts by how much the first event of a request would miss its objective.
    ///
    /// Requests that would be too late are not sent: an engine that gets more requests than it can
    /// run answers all of them late.
    /// @param objective latency objective of the first event
    /// @return unset when the request should be sent
    std::optional<Duration> predictLateness(const ServiceId &service, const EngineQueue &queue,
                                            Duration objective) const;

private:
    ForecastLimits limits;
    /// Smoothed delay that each waiting request adds, in seconds.
    std::map<ServiceId, double> secondsPerRequest;
};

} // namespace bamboochute::gateway
