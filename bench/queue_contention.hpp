/// @file
/// @brief What one queue and router for a whole process cost when several threads use them.
#pragma once

#include <cstdint>

namespace bamboochute::bench {

struct ContentionResult
{
    double requestsPerSecond = 0;
    /// Wall time in which one thread has the mutex, for one request.
    double heldMicroseconds = 0;
    /// Longest wait for the mutex.
    double longestWaitMicroseconds = 0;
};

/// @brief Lets threads offer, dispatch and finish requests as fast as they can.
ContentionResult runContention(std::uint32_t threads);

} // namespace bamboochute::bench
