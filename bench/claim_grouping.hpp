/// @file
/// @brief How many transactions the claims of a fleet need, by the rate of claims.
#pragma once

#include "core/clock.hpp"

#include <cstdint>

namespace bamboochute::bench {

/// Transactions a second that claims may use of the key-value service, over the whole fleet.
constexpr double claimTransactionsPerSecond = 300.0;

struct GroupingResult
{
    std::size_t writers = 0;
    double transactionsPerSecond = 0;
    double writesPerTransaction = 0;
    Duration p50{};
    Duration p99{};
};

/// @brief Runs claims and outcomes of a fleet through the batchers of its writers.
/// @param instances live instances
/// @param claimsPerSecond over the whole fleet
GroupingResult runGrouping(std::uint64_t seed, std::uint32_t instances, double claimsPerSecond);

} // namespace bamboochute::bench
