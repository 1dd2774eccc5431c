/// @file
/// @brief Cost of one request queue and router that several threads of a process share.
#pragma once

#include <cstdint>

namespace bamboochute::bench {

/// @brief Throughput of the threads, and their use of the shared mutex.
struct ContentionResult
{
    double requestsPerSecond = 0;
    /// Mean wall time per request for which the mutex is held.
    double heldMicroseconds = 0;
    /// Longest wall time that a thread waited for the mutex.
    double longestWaitMicroseconds = 0;
};

/// @brief Queues, dispatches and finishes requests as fast as possible on several threads.
/// @param threads number of threads, each of which handles the same number of requests
ContentionResult measureQueueContention(std::uint32_t threads);

} // namespace bamboochute::bench
