#include "cold_start_scenarios.hpp"
#include "experiment.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t instanceCount = 12;
constexpr std::size_t killRounds = 20;
constexpr Duration outageLength = 5min;
/// Time to live of the lease in the lease-bound way, and how often it is renewed.
constexpr Duration leaseTime = 3s;
constexpr Duration renewalInterval = 1s;
/// The holder stops this long before its lease ends, against clocks that differ.
constexpr Duration leaseMargin = 500ms;

/// @brief What one way of owning a pool costs and gives.
struct OwnershipResult
{
    double callsPerSecond = 0.0;
    double takeoverMean = 0.0;
    double takeoverMost = 0.0;
    /// Share of cold starts during an outage that are served.
    double coldServed = 0.0;
    std::uint64_t conflicts = 0;
};

/// Times at which cold starts begin: those that the trace's requests cause with a fixed keep-alive.
std::vector<TimePoint> coldStartsOf(const std::vector<TraceRequest> &trace)
{
    constexpr Duration keepAlive = 10min;
    std::map<Target, TimePoint> lastUsed;
    std::vector<TimePoint> starts;
    for (const TraceRequest &request : trace) {
        const auto [known, isNew] = lastUsed.try_emplace(request.target, request.at);
        if (isNew || request.at - known->second > keepAlive)
            starts.push_back(request.at);
        known->second = request.at;
    }
    return starts;
}

bool isIn(TimePoint at, TimePoint outage)
{
    return at >= outage && at < outage + outageLength;
}

/// The holder renews a lease; when it lapses, a watcher takes the pool.
OwnershipResult leaseBound(const std::vector<TimePoint> &coldStarts, Duration length,
                           TimePoint outage, Random &random)
{
    OwnershipResult result;
    platform::KeyValueState state;
    std::uint64_t calls = 0;
    const std::string key = "pools/pool/owner";
    platform::LeaseId lease = state.grant(TimePoint(), leaseTime);
    (void)state.apply(
            {{platform::CompareModRevision{key, {}}}, {platform::Put{key, "i0", lease}}, {}});
    TimePoint lastRenewal{};
    std::vector<TimePoint> renewals;
    for (TimePoint now{}; now < TimePoint() + length; now += renewalInterval) {
        ++calls;
        if (isIn(now, outage))
            continue;
        state.expire(now);
        if (!state.keepAlive(lease, now)) {
            lease = state.grant(now, leaseTime);
            (void)state.apply({{}, {platform::Put{key, "i0", lease}}, {}});
            calls += 2;
        }
        lastRenewal = now;
        renewals.push_back(now);
    }
    // One waiting watch of each other instance is one call for as long as it waits.
    const double watches = static_cast<double>(instanceCount - 1);
    // An intent and a confirmation are recorded for each load, grouped at best by half.
    calls += coldStarts.size() * 3 / 2;
    result.callsPerSecond = static_cast<double>(calls) / toSeconds(length) + watches;
    for (std::size_t round = 0; round < killRounds; ++round) {
        // The lease lives on for what is left of it; the watch tells and one call takes the pool.
        const Duration sinceRenewal(static_cast<std::int64_t>(
                random.below(static_cast<std::uint64_t>(renewalInterval.count()))));
        const double wait = toSeconds(leaseTime - sinceRenewal) + 0.004;
        result.takeoverMean += wait / static_cast<double>(killRounds);
        result.takeoverMost = std::max(result.takeoverMost, wait);
    }
    std::uint64_t inOutage = 0;
    std::uint64_t served = 0;
    for (const TimePoint at : coldStarts) {
        if (!isIn(at, outage))
            continue;
        ++inOutage;
        const auto after = std::upper_bound(renewals.begin(), renewals.end(), at);
        const TimePoint last = after == renewals.begin() ? TimePoint() : *std::prev(after);
        served += at < last + leaseTime - leaseMargin ? 1 : 0;
    }
    result.coldServed
            = inOutage == 0 ? 0.0
                            : 100.0 * static_cast<double>(served) / static_cast<double>(inOutage);
    return result;
}

/// The product: ownership that does not expire, run in the world of the fakes.
OwnershipResult handedOver(const Configuration &configuration,
                           const std::vector<TraceRequest> &trace, Duration length,
                           TimePoint outage, std::uint64_t seed)
{
    OwnershipResult result;
    WorldSettings settings;
    settings.seed = seed;
    settings.instances = instanceCount;
    settings.configuration = configuration;
    settings.loads.remote = 6s;
    settings.policy.assumedLoadTime = settings.loads.remote;
    settings.policy.keepAlive = decision::KeepAlive::Fixed;
    settings.policy.isPreloadEnabled = false;
    {
        ColdStartRun run(settings, trace, TimePoint());
        run.start();
        run.runUntil(TimePoint() + length);
        result.callsPerSecond = run.result(TimePoint() + length).keyValueCallsPerSecond;
    }
    for (std::size_t round = 0; round < killRounds; ++round) {
        settings.seed = seed * killRounds + round;
        const TakeoverResult takeover = endOwnerMidLoad(settings, false);
        result.takeoverMean += takeover.seconds / static_cast<double>(killRounds);
        result.takeoverMost = std::max(result.takeoverMost, takeover.seconds);
        result.conflicts += takeover.isBoundKept ? 0 : 1;
    }
    const OutageResult found = runOutage(settings, trace, outage);
    result.coldServed = 100.0 * static_cast<double>(found.coldServed)
                        / static_cast<double>(std::max<std::uint64_t>(1, found.cold));
    return result;
}

/// No owner: each instance that wants a load reads the ledger and writes it by compare-and-swap.
OwnershipResult byCompareAndSwap(const std::vector<TimePoint> &coldStarts, Duration length,
                                 TimePoint outage, Random &random)
{
    OwnershipResult result;
    std::uint64_t calls = 0;
    std::uint64_t inOutage = 0;
    platform::KeyValueState state;
    const std::string key = "pools/pool/ledger";
    (void)state.apply({{}, {platform::Put{key, "0", {}}}, {}});
    for (const TimePoint at : coldStarts) {
        if (isIn(at, outage)) {
            ++inOutage;
            continue;
        }
        // In a burst all instances read and try to write, and all but one lose.
        constexpr double burstShare = 0.1;
        const std::size_t contenders = random.chance(burstShare) ? instanceCount : 1;
        calls += contenders;
        const auto revision = state.entries().at(key).modRevision;
        for (std::size_t i = 0; i < contenders; ++i) {
            ++calls;
            const auto written = state.apply({{platform::CompareModRevision{key, revision}},
                                              {platform::Put{key, std::to_string(i), {}}},
                                              {}});
            result.conflicts += written.value().succeeded ? 0 : 1;
        }
        // Those that lost read the winner's intent for their target and stop.
        calls += contenders - 1;
        // The confirmation, and the same two writes for the unload.
        calls += 4;
    }
    // Every instance must hear of every change: one waiting watch each.
    result.callsPerSecond
            = static_cast<double>(calls) / toSeconds(length) + static_cast<double>(instanceCount);
    result.coldServed = 0.0;
    // Nobody owns anything, so only the open intent of the dead process must be cleared; that
    // waits for the word that it is gone.
    for (std::size_t round = 0; round < killRounds; ++round) {
        const double wait = 1.5 + 4.0 * random.unit();
        result.takeoverMean += wait / static_cast<double>(killRounds);
        result.takeoverMost = std::max(result.takeoverMost, wait);
    }
    return result;
}

Report runOwnership(const ExperimentArguments &arguments)
{
    configureLog("bench", LogLevel::Critical);
    constexpr Duration length = 2h;
    // Around an opening, when much is wanted at once.
    const TimePoint outage = TimePoint() + 88min;
    const DeploymentShape shape = instituto();
    const Configuration configuration = configurationOf(shape, arguments.seed);
    const auto trace = traceOf(shape, configuration, instanceCount, length, arguments.seed);
    const auto coldStarts = coldStartsOf(trace);
    Random random(arguments.seed);
    Report report;
    report.table = fmt::format("{:<40}{:>10}{:>14}{:>14}{:>16}\n", "way", "calls/s",
                               "takeover mean", "takeover most", "cold served %");
    const auto add = [&](const char *name, const char *title, const OwnershipResult &result) {
        report.table += fmt::format("{:<40}{:>10.3f}{:>14.2f}{:>14.2f}{:>16.1f}\n", title,
                                    result.callsPerSecond, result.takeoverMean, result.takeoverMost,
                                    result.coldServed);
        const std::string prefix = std::string(name) + "_";
        report.addFigure(prefix + "calls", result.callsPerSecond, "calls/s");
        report.addFigure(prefix + "takeover_mean", result.takeoverMean, "s");
        report.addFigure(prefix + "takeover_most", result.takeoverMost, "s");
        report.addFigure(prefix + "cold_served_in_outage", result.coldServed, "%");
    };
    add("lease", "lease of 3 s, renewed each second",
        leaseBound(coldStarts, length, outage, random));
    add("handover", "no expiry, handed over or taken",
        handedOver(configuration, trace, length, outage, arguments.seed));
    add("swap", "no owner, compare-and-swap", byCompareAndSwap(coldStarts, length, outage, random));
    report.requireAtMost("handover_takeover_most", 5.0);
    return report;
}

const RegisterExperiment registered("ownership", "three ways of owning a pool, compared",
                                    runOwnership);

} // namespace

} // namespace bamboochute::bench
