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
/// Lease-bound ownership: time to live of the lease, and the interval of its renewals.
constexpr Duration leaseTime = 3s;
constexpr Duration renewalInterval = 1s;
/// The holder stops this long before its lease ends, to tolerate clocks that differ.
constexpr Duration leaseMargin = 500ms;

/// @brief Cost and availability of one ownership scheme; takeover times are in seconds.
struct OwnershipResult
{
    double callsPerSecond = 0.0;
    double takeoverMean = 0.0;
    double takeoverMost = 0.0;
    /// Percentage of the cold starts during an outage that are served.
    double coldServed = 0.0;
    std::uint64_t conflicts = 0;
};

/// Returns the times of the cold starts that the trace's requests cause with a fixed keep-alive.
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

bool isDuringOutage(TimePoint at, TimePoint outage)
{
    return at >= outage && at < outage + outageLength;
}

/// Lease-bound ownership: the holder renews a lease; when it expires, a watcher takes the pool
/// over.
OwnershipResult simulateLease(const std::vector<TimePoint> &coldStarts, Duration length,
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
        if (isDuringOutage(now, outage))
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
    // Each other instance keeps one watch open, which counts as one call all the time.
    const double watches = static_cast<double>(instanceCount - 1);
    // Each load records an intent and a confirmation; at best, half of them share a call.
    calls += coldStarts.size() * 3 / 2;
    result.callsPerSecond = static_cast<double>(calls) / toSeconds(length) + watches;
    for (std::size_t round = 0; round < killRounds; ++round) {
        // The rest of the lease has to expire; then the watch reports it and one call takes the
        // pool.
        const Duration sinceRenewal(static_cast<std::int64_t>(
                random.below(static_cast<std::uint64_t>(renewalInterval.count()))));
        const double wait = toSeconds(leaseTime - sinceRenewal) + 0.004;
        result.takeoverMean += wait / static_cast<double>(killRounds);
        result.takeoverMost = std::max(result.takeoverMost, wait);
    }
    std::uint64_t inOutage = 0;
    std::uint64_t served = 0;
    for (const TimePoint at : coldStarts) {
        if (!isDuringOutage(at, outage))
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

/// The product's scheme: ownership that does not expire, simulated with the fakes.
OwnershipResult simulateHandover(const Configuration &configuration,
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

/// No owner: each instance that needs a load reads the ledger and updates it by compare-and-swap.
OwnershipResult simulateCompareAndSwap(const std::vector<TimePoint> &coldStarts, Duration length,
                                       TimePoint outage, Random &random)
{
    OwnershipResult result;
    std::uint64_t calls = 0;
    std::uint64_t inOutage = 0;
    platform::KeyValueState state;
    const std::string key = "pools/pool/ledger";
    (void)state.apply({{}, {platform::Put{key, "0", {}}}, {}});
    for (const TimePoint at : coldStarts) {
        if (isDuringOutage(at, outage)) {
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
        // The losers read the winner's intent for their target and stop.
        calls += contenders - 1;
        // The confirmation, and the same two writes for the unload.
        calls += 4;
    }
    // Every instance has to learn of every change: one open watch each.
    result.callsPerSecond
            = static_cast<double>(calls) / toSeconds(length) + static_cast<double>(instanceCount);
    result.coldServed = 0.0;
    // There is no owner to replace: only the open intent of the terminated process has to be
    // cleared, which waits until its termination is known.
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
    // Covers one of the trace's half-hourly peaks, when many targets are requested at once.
    const TimePoint outage = TimePoint() + 88min;
    const DeploymentShape shape = instituto();
    const Configuration configuration = configurationOf(shape, arguments.seed);
    const auto trace = traceOf(shape, configuration, instanceCount, length, arguments.seed);
    const auto coldStarts = coldStartsOf(trace);
    Random random(arguments.seed);
    Report report;
    report.table = fmt::format("{:<40}{:>10}{:>14}{:>14}{:>16}\n", "way", "calls/s",
                               "takeover mean", "takeover most", "cold served %");
    const auto addScheme = [&](const char *name, const char *title, const OwnershipResult &result) {
        report.table += fmt::format("{:<40}{:>10.3f}{:>14.2f}{:>14.2f}{:>16.1f}\n", title,
                                    result.callsPerSecond, result.takeoverMean, result.takeoverMost,
                                    result.coldServed);
        const std::string prefix = std::string(name) + "_";
        report.addFigure(prefix + "calls", result.callsPerSecond, "calls/s");
        report.addFigure(prefix + "takeover_mean", result.takeoverMean, "s");
        report.addFigure(prefix + "takeover_most", result.takeoverMost, "s");
        report.addFigure(prefix + "cold_served_in_outage", result.coldServed, "%");
    };
    addScheme("lease", "lease of 3 s, renewed each second",
              simulateLease(coldStarts, length, outage, random));
    addScheme("handover", "no expiry, handed over or taken",
              simulateHandover(configuration, trace, length, outage, arguments.seed));
    addScheme("swap", "no owner, compare-and-swap",
              simulateCompareAndSwap(coldStarts, length, outage, random));
    report.requireAtMost("handover_takeover_most", 5.0);
    return report;
}

const RegisterExperiment registered("ownership", "three ways of owning a pool, compared",
                                    runOwnership);

} // namespace

} // namespace bamboochute::bench
