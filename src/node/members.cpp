#include "node/members.hpp"

#include "core/random.hpp"

#include <algorithm>

namespace bamboochute::node {

bool isUsable(const peer::Member &member)
{
    return peer::isReachable(member.state) && !member.isLeaving;
}

std::vector<InstanceId> usableInstances(const peer::Membership &membership, bool isSelfExcluded)
{
    std::vector<InstanceId> instances;
    if (!isSelfExcluded)
        instances.push_back(membership.self().instance);
    for (const peer::Member &member : membership.members()) {
        if (isUsable(member))
            instances.push_back(member.identity.instance);
    }
    std::sort(instances.begin(), instances.end());
    return instances;
}

std::optional<InstanceId> rendezvousInstance(const std::vector<InstanceId> &instances,
                                             std::string_view name, std::size_t rank)
{
    if (rank >= instances.size())
        return std::nullopt;
    std::vector<InstanceId> ordered = instances;
    const std::uint64_t seed = stableHash(name);
    const auto isBefore = [seed](const InstanceId &left, const InstanceId &right) {
        return stableHash(left.value(), seed) < stableHash(right.value(), seed);
    };
    const auto ranked = ordered.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(ordered.begin(), ranked, ordered.end(), isBefore);
    return *ranked;
}

std::optional<Endpoint> callEndpointOf(const peer::Membership &membership,
                                       const InstanceId &instance)
{
    const auto member = membership.find(instance);
    if (!member || !peer::isReachable(member->state))
        return std::nullopt;
    return member->identity.callEndpoint;
}

} // namespace bamboochute::node
