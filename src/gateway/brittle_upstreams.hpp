/// @file
/// @brief Limits for upstreams that fall over when they have to turn away many requests.
#pragma once

#include "core/clock.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_process.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace bamboochute::gateway {

/// @brief How the limit of a brittle upstream follows its rejections.
struct BrittleLimits
{
    /// Part of the rate at which it rejected that becomes its limit.
    double cutFactor = 0.5;
    /// Growth of the limit per second without a rejection.
    double growthPerSecond = 0.15;
    /// Least limit, in requests per second of all instances.
    double minRate = 1;
    /// Time over which the rate of sends is measured.
    Duration rateWindow = std::chrono::seconds(1);
    /// Rejections within this time are of one cause and cut the limit once.
    Duration cutInterval = std::chrono::milliseconds(500);
    /// Time for which the limit of one upstream counts for those of its service that start.
    Duration serviceMemory = std::chrono::seconds(10);
    /// Upstreams that are remembered; the one that spoke first is forgotten first.
    std::size_t maxUpstreams = 4096;
    auto operator<=>(const BrittleLimits &) const = default;
};

/// @brief Finds the rate at which a brittle upstream does not have to turn requests away; not
/// thread-safe.
///
/// The rejections of an upstream are summed over all instances, so its limit is one for all: each
/// rejection that any instance gets halves it, and it grows slowly without any.
class BrittleUpstreams
{
public:
    explicit BrittleUpstreams(BrittleLimits limits = {})
        : limits(limits)
    {}

    /// @brief Records whether an answer says that its upstream is brittle.
    void recordStatement(const UpstreamProcess &process, bool isBrittle, TimePoint now);

    /// @brief Whether the last answer of a process said so.
    bool isBrittle(const UpstreamProcess &process) const;

    /// @brief Counts a request of this instance to a brittle upstream.
    void recordSend(const UpstreamProcess &process, TimePoint now);

    /// @brief Records that a brittle upstream turned a request away for want of room.
    /// @param present its limit in requests per second of all instances; unset if it has none yet
    /// @param instances number of instances that send to it
    /// @return its new limit; unset if it stays
    std::optional<double> recordRejection(const ServiceId &service, const UpstreamProcess &process,
                                          std::optional<double> present, std::uint32_t instances,
                                          TimePoint now);

    /// @brief Limit of an upstream of a service that starts while others of it are brittle: half of
    /// the lowest one, so that it is not met by the load of the one that has just fallen over.
    std::optional<double> startLimit(const ServiceId &service, TimePoint now) const;

    /// @brief Limit of a brittle upstream that has rejected nothing for a while.
    /// @return unset if it does not grow yet
    std::optional<double> grow(const UpstreamProcess &process, double present, TimePoint now);

private:
    struct State
    {
        TimePoint saidAt{};
        std::deque<TimePoint> sends;
        TimePoint cutAt{};
        TimePoint grownAt{};
    };
    struct ServiceLimit
    {
        double rate = 0;
        TimePoint at{};
    };

    void makeRoom();

    BrittleLimits limits;
    std::map<UpstreamProcess, State> states;
    std::map<ServiceId, ServiceLimit> services;
};

} // namespace bamboochute::gateway
