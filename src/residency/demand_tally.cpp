#include "residency/demand_tally.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::residency {

namespace {

/// Demand below this is forgotten.
constexpr double negligible = 1e-3;

Target bareModel(const Target &target)
{
    return Target{target.model, {}};
}

} // namespace

void DemandTally::report(const InstanceId &instance,
                         const std::vector<gateway::TargetDemand> &demand, bool isContinuation,
                         TimePoint now)
{
    this->advance(now);
    const double weight = 1 / toSeconds(this->limits.rateMemory);
    for (const gateway::TargetDemand &line : demand) {
        const Target &target = line.target.target;
        this->byTarget[target].perSecond += line.arrivals * weight;
        if (!target.adapter.isEmpty())
            this->byTarget[bareModel(target)].perSecond += line.arrivals * weight;
        this->arrivalCount += line.arrivals;
    }
    Instance &known = this->byInstance[instance];
    if (!isContinuation)
        known.demand.clear();
    known.demand.insert(known.demand.end(), demand.begin(), demand.end());
    known.reportedAt = now;
    this->sumUp();
}

void DemandTally::advance(TimePoint now)
{
    if (this->advancedAt == TimePoint())
        this->advancedAt = now;
    const double elapsed = std::max(0.0, toSeconds(now - this->advancedAt));
    if (elapsed <= 0)
        return;
    this->advancedAt = now;
    const std::size_t before = this->byInstance.size();
    std::erase_if(this->byInstance, [&](const auto &item) {
        return item.second.reportedAt + this->limits.instanceMemory < now;
    });
    if (this->byInstance.size() != before)
        this->sumUp();
    std::map<Target, double> present;
    for (const auto &[id, instance] : this->byInstance) {
        for (const gateway::TargetDemand &line : instance.demand) {
            const Target &target = line.target.target;
            const double count = line.running + line.waiting;
            present[target] += count;
            if (!target.adapter.isEmpty())
                present[bareModel(target)] += count;
        }
    }
    const double rateKept = std::exp(-elapsed / toSeconds(this->limits.rateMemory));
    const double kept = std::exp(-elapsed / toSeconds(this->limits.concurrencyMemory));
    for (const auto &[target, count] : present)
        this->byTarget[target];
    for (auto &[target, demand] : this->byTarget) {
        demand.perSecond *= rateKept;
        const auto found = present.find(target);
        const double count = found == present.end() ? 0 : found->second;
        demand.concurrency = demand.concurrency * kept + count * (1 - kept);
    }
    std::erase_if(this->byTarget, [](const auto &item) {
        const SmoothedDemand &demand = item.second;
        return demand.waiting == 0 && demand.perSecond < negligible
               && demand.concurrency < negligible;
    });
}

void DemandTally::sumUp()
{
    for (auto &[target, demand] : this->byTarget) {
        demand.waiting = 0;
        demand.shortestWait = Duration(0);
    }
    for (const auto &[id, instance] : this->byInstance) {
        for (const gateway::TargetDemand &line : instance.demand) {
            if (line.waiting == 0)
                continue;
            SmoothedDemand &demand = this->byTarget[line.target.target];
            demand.shortestWait = demand.waiting == 0
                                          ? line.shortestWait
                                          : std::min(demand.shortestWait, line.shortestWait);
            demand.waiting += line.waiting;
        }
    }
}

SmoothedDemand DemandTally::of(const Target &target) const
{
    const auto found = this->byTarget.find(target);
    return found == this->byTarget.end() ? SmoothedDemand() : found->second;
}

std::vector<Target> DemandTally::waiting() const
{
    std::vector<Target> targets;
    for (const auto &[target, demand] : this->byTarget) {
        if (demand.waiting > 0)
            targets.push_back(target);
    }
    return targets;
}

std::vector<Target> DemandTally::waitingAt(const InstanceId &instance) const
{
    std::vector<Target> targets;
    const auto found = this->byInstance.find(instance);
    if (found == this->byInstance.end())
        return targets;
    for (const gateway::TargetDemand &line : found->second.demand) {
        if (line.waiting > 0)
            targets.push_back(line.target.target);
    }
    return targets;
}

} // namespace bamboochute::residency
