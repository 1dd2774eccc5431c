#include "residency/demand_tally.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::residency {

namespace {

/// A target whose rate and concurrency are both below this is removed.
constexpr double negligibleDemand = 1e-3;

Target baseModelTarget(const Target &target)
{
    return Target{target.model, {}};
}

/// Adds an instance's waiting requests to the sum of a target.
template<typename Sum>
void addWaits(Sum &sum, const gateway::TargetDemand &entry)
{
    sum.shortestWait = sum.waiting == 0 ? entry.shortestWait
                                        : std::min(sum.shortestWait, entry.shortestWait);
    sum.waiting += entry.waiting;
}

} // namespace

void DemandTally::addReport(const InstanceId &instance,
                            const std::vector<gateway::TargetDemand> &demand, bool isContinuation,
                            TimePoint now)
{
    if (!this->firstReportAt)
        this->firstReportAt = now;
    this->advanceTo(now);
    const double weight = 1 / toSeconds(this->smoothing.rateTimeConstant);
    for (const gateway::TargetDemand &entry : demand) {
        const Target &target = entry.target.target;
        this->byTarget[target].requestsPerSecond += entry.arrivals * weight;
        if (!target.adapter.isEmpty())
            this->byTarget[baseModelTarget(target)].requestsPerSecond += entry.arrivals * weight;
        this->arrivalCount += entry.arrivals;
    }
    InstanceReport &instanceReport = this->byInstance[instance];
    if (!isContinuation)
        instanceReport.demand.clear();
    instanceReport.demand.insert(instanceReport.demand.end(), demand.begin(), demand.end());
    instanceReport.reportedAt = now;
    this->updateWaiting();
}

void DemandTally::advanceTo(TimePoint now)
{
    if (this->advancedAt == TimePoint())
        this->advancedAt = now;
    const double elapsed = std::max(0.0, toSeconds(now - this->advancedAt));
    if (elapsed <= 0)
        return;
    this->advancedAt = now;
    const std::size_t before = this->byInstance.size();
    std::erase_if(this->byInstance, [&](const auto &item) {
        return item.second.reportedAt + this->smoothing.instanceTimeout < now;
    });
    if (this->byInstance.size() != before)
        this->updateWaiting();
    std::map<Target, double> currentConcurrency;
    for (const auto &[id, instance] : this->byInstance) {
        for (const gateway::TargetDemand &entry : instance.demand) {
            const Target &target = entry.target.target;
            const double count = static_cast<double>(entry.running) + entry.waiting;
            currentConcurrency[target] += count;
            if (!target.adapter.isEmpty())
                currentConcurrency[baseModelTarget(target)] += count;
        }
    }
    const double rateDecay = std::exp(-elapsed / toSeconds(this->smoothing.rateTimeConstant));
    const double concurrencyDecay
            = std::exp(-elapsed / toSeconds(this->smoothing.concurrencyTimeConstant));
    for (const auto &[target, count] : currentConcurrency)
        this->byTarget[target];
    for (auto &[target, demand] : this->byTarget) {
        demand.requestsPerSecond *= rateDecay;
        const auto found = currentConcurrency.find(target);
        const double count = found == currentConcurrency.end() ? 0 : found->second;
        demand.concurrency = demand.concurrency * concurrencyDecay + count * (1 - concurrencyDecay);
    }
    std::erase_if(this->byTarget, [](const auto &item) {
        const SmoothedDemand &demand = item.second;
        return demand.waiting == 0 && demand.requestsPerSecond < negligibleDemand
               && demand.concurrency < negligibleDemand;
    });
}

void DemandTally::updateWaiting()
{
    for (auto &[target, demand] : this->byTarget) {
        demand.waiting = 0;
        demand.shortestWait = Duration(0);
    }
    this->boundWaitsByTarget.clear();
    for (const auto &[id, instance] : this->byInstance) {
        for (const gateway::TargetDemand &entry : instance.demand) {
            const gateway::ServiceTarget &wanted = entry.target;
            if (entry.waiting == 0)
                continue;
            if (wanted.version.isEmpty())
                addWaits(this->byTarget[wanted.target], entry);
            else
                addWaits(this->boundWaitsByTarget[{wanted.target, wanted.version}], entry);
        }
    }
}

SmoothedDemand DemandTally::demandFor(const Target &target) const
{
    const auto found = this->byTarget.find(target);
    if (found == this->byTarget.end())
        return {};
    SmoothedDemand demand = found->second;
    demand.requestsPerSecond /= this->rateWeight();
    demand.concurrency /= this->concurrencyWeight();
    return demand;
}

Duration DemandTally::observedTime() const
{
    return this->firstReportAt ? std::max(Duration(0), this->advancedAt - *this->firstReportAt)
                               : Duration(0);
}

/// Share of the rate's averaging time that was observed or is assumed to have been idle; near 1
/// when the first report is long past.
double DemandTally::rateWeight() const
{
    const double timeConstant = toSeconds(this->smoothing.rateTimeConstant);
    const double unobserved = std::exp(-toSeconds(this->observedTime()) / timeConstant);
    return 1 - unobserved + toSeconds(this->smoothing.assumedIdleTime) / timeConstant * unobserved;
}

/// Weight of the samples of the concurrency since the first report; 1 before the second one.
double DemandTally::concurrencyWeight() const
{
    const double unobserved = std::exp(-toSeconds(this->observedTime())
                                       / toSeconds(this->smoothing.concurrencyTimeConstant));
    return unobserved < 1 ? 1 - unobserved : 1;
}

std::vector<Target> DemandTally::waitingTargets() const
{
    std::vector<Target> targets;
    for (const auto &[target, demand] : this->byTarget) {
        if (demand.waiting > 0)
            targets.push_back(target);
    }
    return targets;
}

std::vector<VersionedTarget> DemandTally::waitingTargetsAt(const InstanceId &instance) const
{
    std::vector<VersionedTarget> targets;
    const auto found = this->byInstance.find(instance);
    if (found == this->byInstance.end())
        return targets;
    for (const gateway::TargetDemand &entry : found->second.demand) {
        if (entry.waiting > 0)
            targets.push_back({entry.target.target, entry.target.version});
    }
    return targets;
}

} // namespace bamboochute::residency
