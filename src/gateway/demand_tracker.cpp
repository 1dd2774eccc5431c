#include "gateway/demand_tracker.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace bamboochute::gateway {

void DemandTracker::arrived(const ServiceTarget &target)
{
    ++this->lines[target].arrivals;
}

void DemandTracker::waitBegan(const ServiceTarget &target, TimePoint latest)
{
    this->lines[target].waits.emplace(latest, 0);
    this->isWaitNew = true;
}

void DemandTracker::waitEnded(const ServiceTarget &target, TimePoint latest)
{
    Line &line = this->lines[target];
    const auto place = line.waits.find(latest);
    BC_INVARIANT(place != line.waits.end(), "a wait ended that had not begun");
    line.waits.erase(place);
    if (line.waits.empty())
        line.promise.reset();
}

void DemandTracker::started(const ServiceTarget &target)
{
    ++this->lines[target].running;
}

void DemandTracker::finished(const ServiceTarget &target)
{
    Line &line = this->lines[target];
    BC_INVARIANT(line.running > 0, "a request ended that was not under way");
    --line.running;
}

void DemandTracker::recordPromise(const ServiceTarget &target, const TargetPromise &promise)
{
    const auto found = this->lines.find(target);
    if (found != this->lines.end() && !found->second.waits.empty())
        found->second.promise = promise;
}

std::optional<TargetPromise> DemandTracker::promise(const ServiceTarget &target) const
{
    const auto found = this->lines.find(target);
    return found == this->lines.end() ? std::nullopt : found->second.promise;
}

std::vector<TargetDemand> DemandTracker::takeReport(TimePoint now)
{
    this->isWaitNew = false;
    std::vector<TargetDemand> report;
    for (auto place = this->lines.begin(); place != this->lines.end();) {
        Line &line = place->second;
        if (line.arrivals == 0 && line.running == 0 && line.waits.empty()) {
            place = this->lines.erase(place);
            continue;
        }
        TargetDemand demand{place->first, line.arrivals,
                            static_cast<std::uint32_t>(line.waits.size()), Duration(0),
                            line.running};
        if (!line.waits.empty())
            demand.shortestWait = std::max(Duration(0), line.waits.begin()->first - now);
        report.push_back(std::move(demand));
        line.arrivals = 0;
        ++place;
    }
    return report;
}

} // namespace bamboochute::gateway
