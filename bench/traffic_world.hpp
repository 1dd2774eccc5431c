/// @file
/// @brief Instances and upstreams in virtual time, for measurements of queues and routing.
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

/// @brief Size of the world and of its load.
struct TrafficSettings
{
    std::uint64_t seed = 1;
    std::uint32_t instances = 12;
    std::uint32_t upstreams = 12;
    std::uint32_t slots = 64;
    double meanServiceSeconds = 0.5;
    /// Times that one of the upstreams is slower than the others.
    double slowFactor = 1.0;
    /// Share of the requests that the balancer sends to the first half of the instances.
    double firstHalfShare = 0.5;
    /// Offered load as a share of the capacity.
    double load = 0.8;
    /// Time after which a request that has no answer is sent to a second upstream; zero never.
    Duration hedgeAfter{};
    Duration reportInterval = std::chrono::milliseconds(500);
    Duration reportLag = std::chrono::seconds(2);
    Duration warmUp = std::chrono::seconds(20);
    Duration runTime = std::chrono::seconds(60);
    RoutingPolicy policy = RoutingPolicy::Router;
    admission::RouterLimits routerLimits;
    std::vector<TrafficClass> classes;
    /// Style books that prompts begin with; zero when prompts have nothing in common.
    std::uint32_t books = 0;
    /// Style books whose prefix one upstream keeps.
    std::uint32_t cachedBooks = 16;
    /// Service time that a kept prefix saves.
    double prefixSeconds = 0.2;
};

/// @brief What became of the requests of one class.
struct ClassResult
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refusedFull = 0;
    std::uint64_t refusedEarly = 0;
    std::uint64_t expired = 0;
    std::uint64_t cutAtDeadline = 0;
    /// Latest final answer after its deadline.
    Duration latest{};
    /// Times from the arrival to the start of the work, and to the answer.
    std::vector<Duration> queueing;
    std::vector<Duration> latency;
};

struct TrafficResult
{
    std::map<CallerClassId, ClassResult> classes;
    /// Requests that were sent to a second upstream.
    std::uint64_t hedges = 0;
    /// Answers in time as a share of the capacity.
    double goodput = 0;
    std::uint64_t possibleHits = 0;
    std::uint64_t hits = 0;
    /// Largest load of an upstream over the mean, by requests and by time at work.
    double loadRatio = 0;
    double busyRatio = 0;
};

/// @brief The given share's quantile; zero when there are no values.
Duration quantile(std::vector<Duration> values, double share);

/// @brief Runs one world.
TrafficResult runTraffic(const TrafficSettings &settings);

} // namespace bamboochute::bench
