/// @file
/// @brief Demand for models and adapters, summed over all instances and smoothed over time.
#pragma once

#include "core/clock.hpp"
#include "gateway/demand_tracker.hpp"

#include <map>
#include <optional>
#include <vector>

namespace bamboochute::residency {

/// @brief A model or adapter, at the upstreams of one software version.
struct VersionedTarget
{
    Target target;
    /// Empty for all versions.
    SoftwareVersion version = {};
    auto operator<=>(const VersionedTarget &) const = default;
};

/// @brief Demand for one model or adapter, summed over all instances.
struct SmoothedDemand
{
    /// Smoothed arrival rate, in requests per second.
    double requestsPerSecond = 0;
    /// Smoothed number of requests that run or wait.
    double concurrency = 0;
    /// Requests that wait now because no upstream holds the target.
    std::uint64_t waiting = 0;
    /// Remaining time of the waiting request that is closest to its deadline.
    Duration shortestWait{};
    auto operator<=>(const SmoothedDemand &) const = default;
};

/// @brief Requests of all instances that wait for a target at one software version.
struct BoundWaits
{
    std::uint64_t waiting = 0;
    /// Remaining time of the one that is closest to its deadline.
    Duration shortestWait{};
    auto operator<=>(const BoundWaits &) const = default;
};

/// @brief Time constants of the smoothing.
struct DemandSmoothing
{
    /// Time after which an arrival has decayed to 1/e of its weight in the rate.
    Duration rateTimeConstant = std::chrono::seconds(8);
    /// Time without arrivals that counts before the first report, decayed like an arrival of then:
    /// a few arrivals in the first moments are no high rate.
    Duration assumedIdleTime = std::chrono::seconds(2);
    /// Time after which a sample has decayed to 1/e of its weight in the concurrency.
    Duration concurrencyTimeConstant = std::chrono::seconds(2);
    /// The report of an instance is dropped when no other one has followed it for this long.
    Duration instanceTimeout = std::chrono::seconds(3);
    auto operator<=>(const DemandSmoothing &) const = default;
};

/// @brief Demand for the models and adapters of one service; not thread-safe.
///
/// The averages are taken over the time since the first report, so that they are not too low while
/// that time is short, as after a change of the placement owner.
class DemandTally
{
public:
    explicit DemandTally(DemandSmoothing smoothing = {})
        : smoothing(smoothing)
    {}

    /// @brief Adds a report of an instance.
    ///
    /// Its arrivals are counted; its waiting and running requests replace those of the last report.
    /// @param instance instance that sent the report
    /// @param demand demand by target; arrivals are those since the instance's last report
    /// @param isContinuation whether the waiting and running requests add to those of the last
    /// report instead of replacing them
    /// @param now time of the report
    void addReport(const InstanceId &instance, const std::vector<gateway::TargetDemand> &demand,
                   bool isContinuation, TimePoint now);

    /// @brief Decays rates and concurrency up to a time, and drops the reports of silent instances.
    /// @param now present time; has no effect when it is not later than the last one
    void advanceTo(TimePoint now);

    /// @brief Demand for a target.
    /// @return all zero when nobody asks for the target; the rate and the concurrency of a base
    /// model include those of its adapters, its waiting requests don't
    SmoothedDemand demandFor(const Target &target) const;

    /// @brief Targets for which requests of any instance wait that any version serves.
    std::vector<Target> waitingTargets() const;

    /// @brief Targets for which requests of any instance wait that only one version serves.
    const std::map<VersionedTarget, BoundWaits> &boundWaits() const noexcept
    {
        return this->boundWaitsByTarget;
    }

    /// @brief Targets for which requests of one instance wait.
    std::vector<VersionedTarget> waitingTargetsAt(const InstanceId &instance) const;

    /// @brief Requests in all reports since construction.
    std::uint64_t arrivals() const noexcept { return this->arrivalCount; }

    /// @brief Time from the first report to the last advance; zero before the first report.
    Duration observedTime() const;

    /// @brief Number of instances whose last report is not older than the instance timeout.
    std::size_t instanceCount() const noexcept { return this->byInstance.size(); }

private:
    struct InstanceReport
    {
        TimePoint reportedAt{};
        std::vector<gateway::TargetDemand> demand;
    };

    void updateWaiting();
    double rateWeight() const;
    double concurrencyWeight() const;

    DemandSmoothing smoothing;
    std::map<InstanceId, InstanceReport> byInstance;
    /// Rates and concurrency in it are sums that demandFor() divides by their weights.
    std::map<Target, SmoothedDemand> byTarget;
    std::map<VersionedTarget, BoundWaits> boundWaitsByTarget;
    TimePoint advancedAt{};
    std::optional<TimePoint> firstReportAt;
    std::uint64_t arrivalCount = 0;
};

} // namespace bamboochute::residency
