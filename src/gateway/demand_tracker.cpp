#include "gateway/demand_tracker.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace bamboochute::gateway {

void DemandTracker::recordArrival(const ServiceTarget &target)
{
    ++this->states[target].arrivals;
}

void DemandTracker::recordWaitStart(const ServiceTarget &target, TimePoint waitDeadline)
{
    this->states[target].waitDeadlines.emplace(waitDeadline, 0);
    this->hasUnreportedWait = true;
}

void DemandTracker::recordWaitEnd(const ServiceTarget &target, TimePoint waitDeadline)
{
    TargetState &state = this->states[target];
    const auto position = state.waitDeadlines.find(waitDeadline);
    BC_INVARIANT(position != state.waitDeadlines.end(),
                 "a wait for a target ended without having begun");
    state.waitDeadlines.erase(position);
    if (state.waitDeadlines.empty())
        state.promise.reset();
}

void DemandTracker::recordStart(const ServiceTarget &target)
{
    ++this->states[target].running;
}

void DemandTracker::recordFinish(const ServiceTarget &target)
{
    TargetState &state = this->states[target];
    BC_INVARIANT(state.running > 0, "a request for a target finished without having started");
    --state.running;
}

void DemandTracker::recordPromise(const ServiceTarget &target, const TargetPromise &promise)
{
    const auto found = this->states.find(target);
    if (found != this->states.end() && !found->second.waitDeadlines.empty())
        found->second.promise = promise;
}

std::optional<TargetPromise> DemandTracker::promise(const ServiceTarget &target) const
{
    const auto found = this->states.find(target);
    return found == this->states.end() ? std::nullopt : found->second.promise;
}

std::vector<TargetDemand> DemandTracker::takeReport(TimePoint now)
{
    this->hasUnreportedWait = false;
    std::vector<TargetDemand> report;
    for (auto position = this->states.begin(); position != this->states.end();) {
        TargetState &state = position->second;
        if (state.arrivals == 0 && state.running == 0 && state.waitDeadlines.empty()) {
            position = this->states.erase(position);
            continue;
        }
        TargetDemand demand{position->first, state.arrivals,
                            static_cast<std::uint32_t>(state.waitDeadlines.size()), Duration(0),
                            state.running};
        if (!state.waitDeadlines.empty())
            demand.shortestWait = std::max(Duration(0), state.waitDeadlines.begin()->first - now);
        report.push_back(std::move(demand));
        state.arrivals = 0;
        ++position;
    }
    return report;
}

} // namespace bamboochute::gateway
