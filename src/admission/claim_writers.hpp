/// @file
/// @brief Which instances write the claims when there are many instances.
#pragma once

#include "core/ids.hpp"

#include <string_view>
#include <vector>

namespace bamboochute::admission {

/// Fewest transactions a second that an instance needs to write its own claims without much delay.
constexpr double minTransactionsPerWriter = 10.0;

/// @brief Number of instances that write claims.
/// @param instances live instances
/// @param transactionsPerSecond the fleet's budget for claims
/// @return all instances while each one's share is large enough, else as many as the budget feeds
std::size_t claimWriterCount(std::size_t instances, double transactionsPerSecond);

/// @brief The instances that write claims, by rendezvous hashing over the members.
///
/// Instances with slightly different lists choose mostly the same writers; a difference costs only
/// grouping, since every claim is a conditional write whoever sends it.
std::vector<InstanceId> chooseClaimWriters(const std::vector<InstanceId> &members,
                                           std::size_t count);

/// @brief The writer of one key: the same for all instances that know the same writers.
/// @param writers from claimWriters(), not empty
const InstanceId &claimWriterFor(std::string_view key, const std::vector<InstanceId> &writers);

} // namespace bamboochute::admission
