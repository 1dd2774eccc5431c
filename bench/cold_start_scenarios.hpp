/// @file
/// @brief Faults during cold starts (an owner killed or stopped during a load, an outage of the
/// key-value service), and the growth of key-value calls with the number of loads.
#pragma once

#include "cold_start_run.hpp"

namespace bamboochute::bench {

/// @brief Result of the takeover after a pool's owner ended during a load.
struct TakeoverResult
{
    /// Seconds until the new owner ordered a load.
    double seconds = 0.0;
    /// Loads that engines began, of all targets.
    std::uint64_t loadsBegun = 0;
    bool isServed = false;
    bool isBoundKept = true;
};

/// @brief Ends the pool's owner while a load runs.
/// @param isGraceful true: the owner is told to stop; false: it is killed
inline TakeoverResult endOwnerMidLoad(const WorldSettings &settings, bool isGraceful)
{
    using namespace std::chrono_literals;
    World world(settings);
    world.scheduler.runUntil(TimePoint() + 20s);
    InstanceFake *owner = world.announcedOwner();
    const Target target{settings.configuration.deployments.front().models.front().id, {}};
    const Target next{settings.configuration.deployments.front().models.at(1).id, {}};
    const auto reportDemand = [&](const Target &wanted) {
        world.demand(decision::DemandReported{
                InstanceId("caller"), wanted, 1, world.scheduler.now() + 60s, 1, {}});
    };
    reportDemand(target);
    world.scheduler.runUntil(world.scheduler.now() + 2s);
    const TimePoint ended = world.scheduler.now();
    if (isGraceful) {
        world.stop(*owner);
        world.scheduler.after(3s, [&world, owner] { world.kill(*owner); });
    } else {
        world.kill(*owner);
    }
    TakeoverResult result;
    const auto isEverythingServed = [&] { return world.isRouted(target) && world.isRouted(next); };
    while (world.scheduler.now() < ended + 60s && !isEverythingServed()) {
        world.scheduler.runUntil(world.scheduler.now() + 10ms);
        const InstanceFake *current = world.announcedOwner();
        if (current == owner || !current->controller->isOwner())
            continue;
        reportDemand(target);
        reportDemand(next);
        if (result.seconds == 0.0 && current->controller->ledger().replicas(next) > 0
            && current->controller->counters().contains("loads_ordered"))
            result.seconds = toSeconds(world.scheduler.now() - ended);
    }
    for (const auto &[id, engine] : world.engines)
        result.loadsBegun += engine->loadsStarted;
    result.isServed = world.isRouted(target) && world.isRouted(next);
    result.isBoundKept = world.failure.empty();
    return result;
}

/// @brief Requests by outcome during an outage of the key-value service.
struct OutageResult
{
    std::uint64_t warmFailed = 0;
    std::uint64_t warm = 0;
    std::uint64_t cold = 0;
    std::uint64_t coldServed = 0;
    /// Requests whose deadline passed without an answer.
    std::uint64_t late = 0;
    bool isBoundKept = true;
    /// Whether the journal was written after the outage.
    bool isJournalWritten = false;
};

/// @brief Runs a trace during which the key-value service is down for five minutes.
/// @param outage start of the outage
inline OutageResult runOutage(const WorldSettings &settings, const std::vector<TraceRequest> &trace,
                              TimePoint outage)
{
    using namespace std::chrono_literals;
    constexpr Duration outageLength = 5min;
    // Only requests that arrive during the outage are counted.
    std::vector<TraceRequest> requestsUntilEnd;
    for (const TraceRequest &request : trace) {
        if (request.at < outage + outageLength)
            requestsUntilEnd.push_back(request);
    }
    ColdStartRun run(settings, requestsUntilEnd, outage);
    run.start();
    run.runUntil(outage);
    run.theWorld().keyValue.isDown = true;
    run.runUntil(outage + outageLength);
    run.theWorld().keyValue.isDown = false;
    run.runUntil(outage + outageLength + 90s);
    const ColdStartResult measured = run.result(run.theWorld().scheduler.now());
    OutageResult result;
    result.cold = measured.cold;
    result.warm = measured.requests - measured.cold;
    result.warmFailed = measured.failedWarm;
    result.coldServed = measured.waits.size();
    result.late = measured.late;
    result.isBoundKept = run.theWorld().failure.empty() && run.theWorld().store.exceeded == 0;
    const InstanceFake *owner = run.theWorld().announcedOwner();
    const auto journaled = measured.counters.find("orders_journaled");
    result.isJournalWritten = owner != nullptr && owner->controller->isOwner()
                              && journaled != measured.counters.end();
    return result;
}

/// @brief Calls to the key-value service per second, against loads per second.
struct CallSlope
{
    std::vector<double> loadsPerSecond;
    std::vector<double> callsPerSecond;

    /// @brief Returns the calls per load: least-squares slope through the origin over all sizes.
    double perLoad() const
    {
        double products = 0.0;
        double squares = 0.0;
        for (std::size_t i = 0; i < this->loadsPerSecond.size(); ++i) {
            products += this->loadsPerSecond[i] * this->callsPerSecond[i];
            squares += this->loadsPerSecond[i] * this->loadsPerSecond[i];
        }
        return squares > 0.0 ? products / squares : 0.0;
    }
};

} // namespace bamboochute::bench
