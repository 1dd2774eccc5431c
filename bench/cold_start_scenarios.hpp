/// @file
/// @brief Faults during cold starts: an owner killed or stopped mid-load, and an outage of the
/// key-value service; and the calls per second with their slope.
#pragma once

#include "cold_start_run.hpp"

namespace bamboochute::bench {

/// @brief What became of a load whose owner went away.
struct TakeoverResult
{
    /// Seconds until another instance decided again.
    double seconds = 0.0;
    /// Loads of the target that engines began.
    std::uint64_t loadsBegun = 0;
    bool isServed = false;
    bool isBoundKept = true;
};

/// @brief Ends the owner while a load runs.
/// @param isGraceful whether it is told to stop, or killed
inline TakeoverResult endOwnerMidLoad(const WorldSettings &settings, bool isGraceful)
{
    using namespace std::chrono_literals;
    World world(settings);
    world.scheduler.runUntil(TimePoint() + 20s);
    InstanceFake *owner = world.announcedOwner();
    const Target target{settings.configuration.deployments.front().models.front().id, {}};
    const Target next{settings.configuration.deployments.front().models.at(1).id, {}};
    const auto ask = [&](const Target &wanted) {
        world.demand(decision::DemandReported{
                InstanceId("caller"), wanted, 1, world.scheduler.now() + 60s, 1, {}});
    };
    ask(target);
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
        ask(target);
        ask(next);
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

/// @brief What callers saw during an outage of the key-value service.
struct OutageResult
{
    std::uint64_t warmFailed = 0;
    std::uint64_t warm = 0;
    std::uint64_t cold = 0;
    std::uint64_t coldServed = 0;
    /// Requests whose deadline passed unanswered.
    std::uint64_t late = 0;
    bool isBoundKept = true;
    /// Whether the journal was written after the outage.
    bool isJournalWritten = false;
};

/// @brief Runs a trace with the key-value service out for five minutes.
inline OutageResult runOutage(const WorldSettings &settings, const std::vector<TraceRequest> &trace,
                              TimePoint outage)
{
    using namespace std::chrono_literals;
    constexpr Duration outageLength = 5min;
    // Only what comes during the outage counts.
    std::vector<TraceRequest> cut;
    for (const TraceRequest &request : trace) {
        if (request.at < outage + outageLength)
            cut.push_back(request);
    }
    ColdStartRun run(settings, cut, outage);
    run.start();
    run.runUntil(outage);
    run.theWorld().keyValue.isDown = true;
    run.runUntil(outage + outageLength);
    run.theWorld().keyValue.isDown = false;
    run.runUntil(outage + outageLength + 90s);
    const ColdStartResult found = run.result(run.theWorld().scheduler.now());
    OutageResult result;
    result.cold = found.cold;
    result.warm = found.requests - found.cold;
    result.warmFailed = found.failedWarm;
    result.coldServed = found.waits.size();
    result.late = found.late;
    result.isBoundKept = run.theWorld().failure.empty() && run.theWorld().store.exceeded == 0;
    const InstanceFake *owner = run.theWorld().announcedOwner();
    const auto journaled = found.counters.find("orders_journaled");
    result.isJournalWritten
            = owner != nullptr && owner->controller->isOwner() && journaled != found.counters.end();
    return result;
}

/// @brief Calls to the key-value service per second and what they grow with.
struct CallSlope
{
    std::vector<double> loadsPerSecond;
    std::vector<double> callsPerSecond;

    /// @brief Calls for each load, by least squares through the sizes measured.
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
