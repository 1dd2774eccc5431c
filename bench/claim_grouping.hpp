/// @file
/// @brief Simulation of claim batching: transactions a second that a fleet needs at a given rate of
/// claims.
#pragma once

#include "core/clock.hpp"

#include <cstdint>

namespace bamboochute::bench {

/// Limit of the key-value transactions a second that all instances together may spend on claims.
constexpr double claimTransactionsPerSecond = 300.0;

/// @brief Figures of one simulation, over its measured time.
struct ClaimGroupingResult
{
    /// Instances that write claims.
    std::size_t writers = 0;
    double transactionsPerSecond = 0;
    double writesPerTransaction = 0;
    /// Median and 99th percentile of the time from adding a claim to its confirmation.
    Duration p50{};
    Duration p99{};
};

/// @brief Simulates a fleet whose writers batch claims and outcomes into transactions.
/// @param seed seed of the random numbers
/// @param instances number of live instances
/// @param claimsPerSecond mean rate of claims of the whole fleet
/// @return transaction rate, batch size and claim latency
ClaimGroupingResult simulateClaimGrouping(std::uint64_t seed, std::uint32_t instances,
                                          double claimsPerSecond);

} // namespace bamboochute::bench
