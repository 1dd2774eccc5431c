/// @file
/// @brief Simulation of instances and upstreams in virtual time, to measure queues and routing.
#pragma once

#include "admission/request_queue.hpp"
#include "admission/router.hpp"
#include "virtual_time.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute::bench {

/// @brief How an instance chooses an upstream.
enum class RoutingPolicy { Router, RoundRobin, LeastReportedLoad, TwoReportedLoads };

/// @brief A class of callers with its share of the requests.
struct TrafficClass
{
    CallerClass callerClass;
    double share = 1.0;
    Duration deadline = std::chrono::seconds(10);
};

/// @brief Size and load of a simulation.
struct TrafficSettings
{
    std::uint64_t seed = 1;
    std::uint32_t instances = 12;
    std::uint32_t upstreams = 12;
    std::uint32_t slots = 64;
    double meanServiceSeconds = 0.5;
    /// Factor by which the first upstream is slower than the others.
    double slowFactor = 1.0;
    /// Share of the requests that the balancer sends to the first half of the instances.
    double firstHalfShare = 0.5;
    /// Offered load as a share of the capacity.
    double load = 0.8;
    /// Time after which a request without an answer is also sent to a second upstream; zero
    /// disables it.
    Duration hedgeAfter{};
    Duration reportInterval = std::chrono::milliseconds(500);
    Duration reportLag = std::chrono::seconds(2);
    Duration warmUp = std::chrono::seconds(20);
    Duration runTime = std::chrono::seconds(60);
    RoutingPolicy policy = RoutingPolicy::Router;
    admission::RouterLimits routerLimits;
    std::vector<TrafficClass> classes;
    /// Number of distinct prefixes (style books) that prompts begin with; zero when prompts have
    /// nothing in common.
    std::uint32_t prefixCount = 0;
    /// Number of prefixes that one upstream caches.
    std::uint32_t cachedPrefixes = 16;
    /// Service time that a cached prefix saves.
    double prefixSeconds = 0.2;
};

/// @brief Outcomes of the requests of one class.
struct ClassResult
{
    std::uint64_t offered = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t refusedFull = 0;
    std::uint64_t refusedEarly = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelledAtDeadline = 0;
    /// Longest time from a deadline to the final answer.
    Duration maxLateness{};
    /// Times from the arrival of a request to the start of its processing, and to the answer.
    std::vector<Duration> queueing;
    std::vector<Duration> latency;
};

/// @brief Result of a simulation, measured after the warm-up.
struct TrafficResult
{
    std::map<CallerClassId, ClassResult> classes;
    /// Requests that were sent to a second upstream.
    std::uint64_t hedges = 0;
    /// Answers in time as a share of the capacity.
    double goodput = 0;
    std::uint64_t possibleHits = 0;
    std::uint64_t hits = 0;
    /// Largest load of an upstream divided by the mean, by requests and by busy time.
    double loadRatio = 0;
    double busyRatio = 0;
};

/// @brief Quantile of the values; zero when there are none.
/// @param share from 0 (minimum) to 1 (maximum)
Duration quantile(std::vector<Duration> values, double share);

/// @brief Simulates the traffic that the settings describe.
TrafficResult simulateTraffic(const TrafficSettings &settings);

} // namespace bamboochute::bench
