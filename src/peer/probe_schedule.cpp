#include "peer/probe_schedule.hpp"

#include <algorithm>

namespace bamboochute::peer {

ProbeSchedule::ProbeSchedule(const InstanceId &self, std::uint32_t successors)
    : selfPlace{stableHash(self.value()), self}
    , successorCount(successors)
{}

std::optional<InstanceId> ProbeSchedule::next(const MemberTable &table, Random &random)
{
    this->refresh(table);
    if (this->successors.empty())
        return std::nullopt;
    const std::size_t slots = this->successors.size() + 1;
    const std::size_t slot = this->turn++ % slots;
    if (slot < this->successors.size())
        return this->successors[slot];
    return this->present[random.below(this->present.size())];
}

const std::vector<InstanceId> &ProbeSchedule::reachable(const MemberTable &table)
{
    this->refresh(table);
    return this->present;
}

void ProbeSchedule::refresh(const MemberTable &table)
{
    if (this->builtFor == table.generation())
        return;
    this->builtFor = table.generation();
    std::vector<Place> ring;
    this->present.clear();
    for (const auto &[instance, entry] : table.all()) {
        if (!isReachable(entry.member.state))
            continue;
        ring.push_back(Place{stableHash(instance.value()), instance});
        this->present.push_back(instance);
    }
    std::sort(ring.begin(), ring.end());
    this->successors.clear();
    auto place = std::upper_bound(ring.begin(), ring.end(), this->selfPlace);
    while (this->successors.size() < std::min<std::size_t>(this->successorCount, ring.size())) {
        if (place == ring.end())
            place = ring.begin();
        this->successors.push_back(place->instance);
        ++place;
    }
}

} // namespace bamboochute::peer
