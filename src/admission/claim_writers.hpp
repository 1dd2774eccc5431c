/// @file
/// @brief Choice of the instances that write claims when there are many instances.
#pragma once

#include "core/ids.hpp"

#include <string_view>
#include <vector>

namespace bamboochute::admission {

/// Minimum rate of transactions, per second, at which an instance writes its own claims without
/// much delay.
constexpr double minTransactionsPerWriter = 10.0;

/// @brief Number of instances that write claims.
/// @param instances live instances
/// @param transactionsPerSecond rate of claim transactions allowed for all instances together
/// @return all instances while the share of each is at least minTransactionsPerWriter, otherwise as
/// many as can get that rate, but at least one
std::size_t claimWriterCount(std::size_t instances, double transactionsPerSecond);

/// @brief Chooses the instances that write claims, by rendezvous hashing over the members.
///
/// Instances with slightly different lists choose mostly the same writers. A different choice only
/// makes batches smaller: every claim is a conditional write, whichever instance sends it.
/// @param members live instances, in any order
/// @param count number of writers
/// @return the writers; all members when there are fewer than count
std::vector<InstanceId> chooseClaimWriters(const std::vector<InstanceId> &members,
                                           std::size_t count);

/// @brief Writer of one key; the same for all instances that have the same list of writers.
/// @param writers from chooseClaimWriters(), not empty
const InstanceId &claimWriterFor(std::string_view key, const std::vector<InstanceId> &writers);

} // namespace bamboochute::admission
