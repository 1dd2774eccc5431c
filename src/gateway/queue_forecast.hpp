/// @file
/// @brief Forecasts when an engine gives the first event, from the requests that wait there.
#pragma once

#include "core/clock.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace bamboochute::gateway {

/// @brief How the forecast learns.
struct ForecastLimits
{
    /// Time that one waiting request takes before any was seen; a prompt of some thousand tokens.
    Duration initialTimePerRequest = std::chrono::milliseconds(120);
    /// Weight of the newest request.
    double smoothingFactor = 0.1;
    /// Requests that waited behind fewer tell of their own prompt rather than of the queue.
    std::uint32_t minWaiting = 2;
    /// Objectives that a request may wait for its first event; answers that are late by less are
    /// worth their work.
    int maxWaitObjectives = 2;
    /// Of the requests that wait, one in so many is more urgent than the least urgent rank.
    std::uint32_t waitingDivisorPerPriority = 4;
    auto operator<=>(const ForecastLimits &) const = default;
};

/// @brief Requests that wait at an engine, as one of them sees it.
struct EngineQueue
{
    std::uint32_t waiting = 0;
    /// Ranks at the service that are less urgent than the request; the engine begins with the most
    /// urgent.
    std::uint32_t lessUrgentPriorities = 0;
    auto operator<=>(const EngineQueue &) const = default;
};

/// @brief Learns for each service what a waiting request costs those behind it; not thread-safe.
class QueueForecast
{
public:
    explicit QueueForecast(ForecastLimits limits = {})
        : limits(limits)
    {}

    /// @brief Counts a request whose first event has come.
    /// @param waiting requests that waited at the engine when it was sent
    void recordFirstEvent(const ServiceId &service, std::uint32_t waiting,
                          Duration firstEventDelay);

    /// @brief Time to the first event behind requests that wait.
    Duration predictFirstEventDelay(const ServiceId &service, std::uint32_t waiting) const;

    /// @brief How much too late the first event would be; nothing when the request should be sent.
    ///
    /// Instances that send all they get to an engine that can't follow make every answer late.
    std::optional<Duration> predictLateness(const ServiceId &service, const EngineQueue &queue,
                                            Duration objective) const;

private:
    ForecastLimits limits;
    /// Seconds for each waiting request.
    std::map<ServiceId, double> secondsPerRequest;
};

} // namespace bamboochute::gateway
