/// @file
/// @brief Demand for models and adapters, added up over all instances and smoothed over seconds.
#pragma once

#include "core/clock.hpp"
#include "gateway/demand_tracker.hpp"

#include <map>
#include <vector>

namespace bamboochute::residency {

/// @brief Demand for one model or adapter.
struct SmoothedDemand
{
    /// Requests a second.
    double perSecond = 0;
    /// Requests under way or waiting, smoothed.
    double concurrency = 0;
    /// Requests that wait because no upstream holds the target.
    std::uint32_t waiting = 0;
    /// Time that the most urgent of them has left.
    Duration shortestWait{};
    auto operator<=>(const SmoothedDemand &) const = default;
};

/// @brief How demand is smoothed.
struct TallyLimits
{
    /// Time after which an arrival weighs 1/e in the rate.
    Duration rateMemory = std::chrono::seconds(8);
    /// Time after which the number under way weighs 1/e.
    Duration concurrencyMemory = std::chrono::seconds(2);
    /// What an instance said is forgotten when it says nothing for this long.
    Duration instanceMemory = std::chrono::seconds(3);
    auto operator<=>(const TallyLimits &) const = default;
};

/// @brief Demand of one service's engines; not thread-safe.
class DemandTally
{
public:
    explicit DemandTally(TallyLimits limits = {})
        : limits(limits)
    {}

    /// @brief Takes what an instance reports; replaces what it said of waiting and running.
    /// @param isContinuation the report adds to the one before it
    void report(const InstanceId &instance, const std::vector<gateway::TargetDemand> &demand,
                bool isContinuation, TimePoint now);

    /// @brief Lets time pass.
    void advance(TimePoint now);

    /// @brief Demand for a target; that of a bare model includes its adapters.
    SmoothedDemand of(const Target &target) const;

    /// @brief Targets for which requests wait.
    std::vector<Target> waiting() const;

    /// @brief Targets for which requests of one instance wait.
    std::vector<Target> waitingAt(const InstanceId &instance) const;

    /// @brief Requests seen since the tally began.
    std::uint64_t arrivals() const noexcept { return this->arrivalCount; }

    /// @brief Instances that reported lately.
    std::size_t instances() const noexcept { return this->byInstance.size(); }

private:
    struct Instance
    {
        TimePoint reportedAt{};
        std::vector<gateway::TargetDemand> demand;
    };

    void sumUp();

    TallyLimits limits;
    std::map<InstanceId, Instance> byInstance;
    std::map<Target, SmoothedDemand> byTarget;
    TimePoint advancedAt{};
    std::uint64_t arrivalCount = 0;
};

} // namespace bamboochute::residency
