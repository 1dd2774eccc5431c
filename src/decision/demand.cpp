#include "decision/demand.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::decision {

namespace {

/// Targets for which demand is kept; reports for further ones are dropped until others are served.
constexpr std::size_t maxTargets = 32768;
constexpr std::size_t maxPrefixHints = 8;

/// Time to the earliest deadline divided by the weight; lower is more urgent.
double weightedSlackSeconds(const WaitingDemand &demand, TimePoint now)
{
    const double slack = std::max(0.0, toSeconds(demand.earliestDeadline - now));
    return slack / std::max(1U, demand.weight);
}

} // namespace

void DemandTable::update(const DemandReported &demand, TimePoint now)
{
    if (demand.waiting == 0) {
        const auto found = this->entries.find(demand.target);
        if (found == this->entries.end())
            return;
        found->second.erase(demand.instance);
        if (found->second.empty())
            this->entries.erase(found);
        return;
    }
    if (this->entries.size() >= maxTargets && !this->entries.contains(demand.target))
        return;
    ByInstance &instances = this->entries[demand.target];
    const auto [entry, isNew] = instances.try_emplace(demand.instance, Entry{demand, now, now});
    entry->second.demand = demand;
    entry->second.reportedAt = now;
}

void DemandTable::expire(TimePoint reportedBefore)
{
    for (auto target = this->entries.begin(); target != this->entries.end();) {
        std::erase_if(target->second,
                      [&](const auto &each) { return each.second.reportedAt < reportedBefore; });
        target = target->second.empty() ? this->entries.erase(target) : std::next(target);
    }
}

void DemandTable::removeRefused(const Target &target, TimePoint deadlineBefore)
{
    const auto found = this->entries.find(target);
    if (found == this->entries.end())
        return;
    std::erase_if(found->second, [&](const auto &each) {
        return each.second.demand.earliestDeadline < deadlineBefore;
    });
    if (found->second.empty())
        this->entries.erase(found);
}

WaitingDemand DemandTable::demandFor(const Target &target) const
{
    const auto found = this->entries.find(target);
    return found == this->entries.end() ? WaitingDemand{target, 0, {}, 1, {}, {}}
                                        : sumDemand(target, found->second);
}

std::vector<WaitingDemand> DemandTable::byUrgency(TimePoint now) const
{
    std::vector<WaitingDemand> all;
    all.reserve(this->entries.size());
    for (const auto &[target, instances] : this->entries)
        all.push_back(sumDemand(target, instances));
    std::stable_sort(all.begin(), all.end(), [&](const auto &left, const auto &right) {
        return weightedSlackSeconds(left, now) < weightedSlackSeconds(right, now);
    });
    return all;
}

WaitingDemand DemandTable::sumDemand(const Target &target, const ByInstance &instances)
{
    WaitingDemand all{target, 0, TimePoint::max(), 1, TimePoint::max(), {}};
    for (const auto &[instance, entry] : instances) {
        const std::uint32_t countable = std::numeric_limits<std::uint32_t>::max() - all.waiting;
        all.waiting += std::min(countable, entry.demand.waiting);
        all.earliestDeadline = std::min(all.earliestDeadline, entry.demand.earliestDeadline);
        all.weight = std::max(all.weight, entry.demand.weight);
        all.since = std::min(all.since, entry.since);
        for (const UpstreamId &hint : entry.demand.prefixHints) {
            if (all.prefixHints.size() < maxPrefixHints)
                all.prefixHints.push_back(hint);
        }
    }
    return all;
}

} // namespace bamboochute::decision
