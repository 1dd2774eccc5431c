/// @file
/// @brief Queries on the membership that several components of the control thread share.
#pragma once

#include "peer/gossip.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace bamboochute::node {

/// @brief Whether a member can take work: reachable (alive or only suspected) and not leaving.
bool isUsable(const peer::Member &member);

/// @brief All usable instances, sorted by name.
/// @param membership as known here
/// @param isSelfExcluded true to leave this instance out
std::vector<InstanceId> usableInstances(const peer::Membership &membership, bool isSelfExcluded);

/// @brief The instance that rendezvous hashing assigns to a name.
/// @param instances to choose from
/// @param name of the resource that is assigned, such as a pool
/// @param rank 0 for the first choice, 1 for the second and so on
/// @return nothing when there are not more than `rank` instances
std::optional<InstanceId> rendezvousInstance(const std::vector<InstanceId> &instances,
                                             std::string_view name, std::size_t rank);

/// @brief Address at which a member takes calls.
/// @return nothing when the instance is no member or is not reachable
std::optional<Endpoint> callEndpointOf(const peer::Membership &membership,
                                       const InstanceId &instance);

} // namespace bamboochute::node
