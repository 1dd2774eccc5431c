/// @file
/// @brief Simulation of a group of upstreams of which one fails half of its calls.
#pragma once

#include <cstdint>

namespace bamboochute::bench {

/// @brief Counts of one simulation.
struct FailingUpstreamResult
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t callerErrors = 0;
    std::uint64_t retriesRefused = 0;

    double callerErrorShare() const
    {
        return static_cast<double>(this->callerErrors) / static_cast<double>(this->requests);
    }
    double attemptsPerRequest() const
    {
        return static_cast<double>(this->attempts) / static_cast<double>(this->requests);
    }
};

/// @brief Simulates idempotent calls through 12 instances with ejection and retries.
/// @param seed seed of the random numbers
/// @return counts of requests, attempts, errors and refused retries
FailingUpstreamResult runFailingUpstream(std::uint64_t seed);

} // namespace bamboochute::bench
