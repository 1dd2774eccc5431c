/// @file
/// @brief Questions to the membership that several parts of the control thread ask.
#pragma once

#include "peer/gossip.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace bamboochute::node {

/// @brief Whether a member can be given work: alive or only suspected, and not leaving.
bool isUsable(const peer::Member &member);

/// @brief This instance and all usable others, in the order of their names.
std::vector<InstanceId> usableInstances(const peer::Membership &membership, bool isSelfLeaving);

/// @brief The usable instance that rendezvous hashing puts at a rank for a name.
/// @param name what is shared out, such as a pool
/// @param rank 0 for the first choice
std::optional<InstanceId> chosenInstance(const std::vector<InstanceId> &instances,
                                         std::string_view name, std::size_t rank);

/// @brief Where a reachable member takes calls.
std::optional<Endpoint> callEndpointOf(const peer::Membership &membership,
                                       const InstanceId &instance);

} // namespace bamboochute::node
