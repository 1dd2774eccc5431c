#include "peer/probe_schedule.hpp"

#include <algorithm>

namespace bamboochute::peer {

ProbeSchedule::ProbeSchedule(const InstanceId &self, std::uint32_t successors)
    : selfPosition{stableHash(self.value()), self}
    , successorCount(successors)
{}

std::optional<InstanceId> ProbeSchedule::next(const MemberTable &table, Random &random)
{
    this->rebuildIfChanged(table);
    if (this->successors.empty())
        return std::nullopt;
    const std::size_t slots = this->successors.size() + 1;
    const std::size_t slot = this->nextSlot++ % slots;
    if (slot < this->successors.size())
        return this->successors[slot];
    return this->reachableMembers[random.below(this->reachableMembers.size())];
}

const std::vector<InstanceId> &ProbeSchedule::reachable(const MemberTable &table)
{
    this->rebuildIfChanged(table);
    return this->reachableMembers;
}

void ProbeSchedule::rebuildIfChanged(const MemberTable &table)
{
    if (this->builtGeneration == table.generation())
        return;
    this->builtGeneration = table.generation();
    std::vector<RingPosition> ring;
    this->reachableMembers.clear();
    for (const auto &[instance, entry] : table.all()) {
        if (!isReachable(entry.member.state))
            continue;
        ring.push_back(RingPosition{stableHash(instance.value()), instance});
        this->reachableMembers.push_back(instance);
    }
    std::sort(ring.begin(), ring.end());
    this->successors.clear();
    auto position = std::upper_bound(ring.begin(), ring.end(), this->selfPosition);
    while (this->successors.size() < std::min<std::size_t>(this->successorCount, ring.size())) {
        if (position == ring.end())
            position = ring.begin();
        this->successors.push_back(position->instance);
        ++position;
    }
}

} // namespace bamboochute::peer
