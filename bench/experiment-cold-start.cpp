#include "cold_start_baselines.hpp"
#include "cold_start_scenarios.hpp"
#include "experiment.hpp"

#include "core/log.hpp"

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t instanceCount = 12;
constexpr Duration runLength = 8h;
constexpr Duration warmUp = 2h;

LoadModel loadModel()
{
    LoadModel loads;
    loads.remote = 6s;
    loads.disk = 3s;
    loads.memory = 1s;
    return loads;
}

WorldSettings settingsFor(const Configuration &configuration, std::uint64_t seed,
                          decision::KeepAlive keepAlive)
{
    WorldSettings settings;
    settings.seed = seed;
    settings.instances = instanceCount;
    settings.configuration = configuration;
    settings.loads = loadModel();
    settings.policy.keepAlive = keepAlive;
    settings.policy.isPreloadEnabled = keepAlive == decision::KeepAlive::Predicted;
    settings.policy.assumedLoadTime = settings.loads.remote;
    settings.idleTick = 10s;
    return settings;
}

/// @brief Results of the four variants on the same trace.
struct Comparison
{
    ColdStartResult local;
    ColdStartResult fixed;
    ColdStartResult product;
    ColdStartResult bound;
};

Comparison compare(const DeploymentShape &shape, std::uint64_t seed)
{
    const Configuration configuration = configurationOf(shape, seed);
    const auto trace = traceOf(shape, configuration, instanceCount, runLength, seed);
    const TimePoint end = TimePoint() + runLength;
    const TimePoint measuredFrom = TimePoint() + warmUp;
    Comparison all;
    all.local
            = LocalLruRun(configuration, instanceCount, loadModel(), measuredFrom).run(trace, end);
    const auto runWith = [&](decision::KeepAlive keepAlive) {
        ColdStartRun run(settingsFor(configuration, seed, keepAlive), trace, measuredFrom);
        run.start();
        run.runUntil(end);
        ColdStartResult result = run.result(end);
        result.refusedInVain = refusedInVain(run, shape.store);
        if (keepAlive == decision::KeepAlive::Predicted)
            all.bound = lowerBound(run, shape.store);
        return result;
    };
    all.fixed = runWith(decision::KeepAlive::Fixed);
    all.product = runWith(decision::KeepAlive::Predicted);
    return all;
}

std::string tableOf(const std::string &name, const Comparison &all)
{
    std::string text
            = fmt::format("{}\n{:<34}{:>10}{:>8}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}{:>10}{:>9}\n", name,
                          "variant", "requests", "cold", "refused", "late", "p50 s", "p99 s",
                          "max s", "loads", "idle acc h", "exceeded");
    const auto row = [&](const char *variant, const ColdStartResult &result) {
        text += fmt::format(
                "{:<34}{:>10}{:>8}{:>9}{:>8}{:>8.2f}{:>8.2f}{:>8.2f}{:>8}{:>10.1f}{:>9}\n", variant,
                result.requests, result.cold, result.refused, result.late, result.quantile(0.5),
                result.quantile(0.99), result.quantile(1.0), result.loads, result.idleHours,
                result.storeExceeded);
    };
    row("(a) each node by itself, LRU", all.local);
    row("(b) coordinated, fixed 10 min", all.fixed);
    row("(c) product", all.product);
    row("(d) lower bound of the store", all.bound);
    text += "counters of (c):";
    for (const auto &[counter, count] : all.product.counters)
        text += fmt::format(" {}={}", counter, count);
    return text + "\n\n";
}

void addFigures(Report &report, const std::string &name, const Comparison &all)
{
    const auto figure = [&](const char *what, double value, const char *unit) {
        report.addFigure(name + "_" + what, value, unit);
    };
    const double p99Bound = all.bound.quantile(0.99);
    figure("p99_local", all.local.quantile(0.99), "s");
    figure("p99_fixed", all.fixed.quantile(0.99), "s");
    figure("p99_product", all.product.quantile(0.99), "s");
    figure("p99_bound", p99Bound, "s");
    figure("idle_local", all.local.idleHours, "accelerator h");
    figure("idle_fixed", all.fixed.idleHours, "accelerator h");
    figure("idle_product", all.product.idleHours, "accelerator h");
    figure("cold_fixed", static_cast<double>(all.fixed.cold), "requests");
    figure("cold_product", static_cast<double>(all.product.cold), "requests");
    figure("p99_product_over_bound", all.product.quantile(0.99) / p99Bound, "ratio");
    figure("p99_product_over_fixed", all.product.quantile(0.99) / all.fixed.quantile(0.99),
           "ratio");
    figure("idle_product_over_fixed", all.product.idleHours / all.fixed.idleHours, "ratio");
    figure("duplicates_local", static_cast<double>(all.local.duplicates), "loads");
    figure("duplicates", static_cast<double>(all.product.duplicates), "loads");
    figure("store_limits_exceeded", static_cast<double>(all.product.storeExceeded), "loads");
    figure("refused_in_vain",
           100.0 * static_cast<double>(all.product.refusedInVain)
                   / static_cast<double>(all.product.requests),
           "%");
    report.requireAtMost(name + "_duplicates", 0);
    report.requireAtMost(name + "_store_limits_exceeded", 0);
    report.requireAtMost(name + "_refused_in_vain", 0.1);
}

void addTakeover(Report &report, std::uint64_t seed)
{
    constexpr std::uint64_t rounds = 10;
    for (const bool isGraceful : {false, true}) {
        double longest = 0.0;
        std::uint64_t notExactlyOnce = 0;
        for (std::uint64_t round = 0; round < rounds; ++round) {
            const std::uint64_t roundSeed = seed * rounds + round;
            WorldSettings settings = settingsFor(configurationOf(instituto(), seed), roundSeed,
                                                 decision::KeepAlive::Predicted);
            settings.idleTick = 1s;
            const TakeoverResult result = endOwnerMidLoad(settings, isGraceful);
            longest = std::max(longest, result.seconds);
            const bool isExactlyOnce
                    = result.isServed && result.isBoundKept && result.loadsBegun == 2;
            notExactlyOnce += isExactlyOnce ? 0 : 1;
        }
        const std::string name = isGraceful ? "takeover_after_stop" : "takeover_after_kill";
        report.addFigure(name, longest, "s");
        report.requireAtMost(name, isGraceful ? 3.0 : 5.0);
        report.addFigure(name + "_not_exactly_once", static_cast<double>(notExactlyOnce), "loads");
        report.requireAtMost(name + "_not_exactly_once", 0);
    }
}

void addOutage(Report &report, const DeploymentShape &shape, std::uint64_t seed)
{
    const Configuration configuration = configurationOf(shape, seed);
    const auto trace = traceOf(shape, configuration, instanceCount, 2h, seed);
    // Covers one of the trace's half-hourly peaks, when many targets are requested at once.
    const OutageResult result
            = runOutage(settingsFor(configuration, seed, decision::KeepAlive::Predicted), trace,
                        TimePoint() + 88min);
    const std::string prefix = shape.name + "_outage_";
    report.addFigure(prefix + "warm_requests", static_cast<double>(result.warm), "requests");
    report.addFigure(prefix + "warm_failed", static_cast<double>(result.warmFailed), "requests");
    report.requireAtMost(prefix + "warm_failed", 0);
    report.addFigure(prefix + "cold_requests", static_cast<double>(result.cold), "requests");
    report.addFigure(prefix + "cold_served",
                     100.0 * static_cast<double>(result.coldServed)
                             / static_cast<double>(std::max<std::uint64_t>(1, result.cold)),
                     "%");
    report.addFigure(prefix + "late", static_cast<double>(result.late), "requests");
    report.requireAtMost(prefix + "late", 0);
    report.addFigure(prefix + "bounds_kept", result.isBoundKept ? 1 : 0, "yes");
    report.requireAtLeast(prefix + "bounds_kept", 1);
}

void addKeyValueCalls(Report &report, const DeploymentShape &shape, std::uint64_t seed)
{
    // Number of targets at the size aimed at, the share of them that is loaded or becomes idle per
    // hour, and the writes a second that the key-value service allows.
    constexpr double targetCountAtGoal = 22270;
    constexpr double changesPerTargetHour = 0.13;
    constexpr double allowedWritesPerSecond = 300;
    constexpr Duration length = 1h;
    CallSlope slope;
    for (const int factor : {1, 2, 4}) {
        const DeploymentShape sized = scaled(shape, factor);
        const Configuration configuration = configurationOf(sized, seed);
        ColdStartRun run(settingsFor(configuration, seed, decision::KeepAlive::Predicted),
                         traceOf(sized, configuration, instanceCount, length, seed), TimePoint());
        run.start();
        run.runUntil(TimePoint() + length);
        ColdStartResult result = run.result(TimePoint() + length);
        const double changes = static_cast<double>(result.counters["loads_ordered"]
                                                   + result.counters["unloads_ordered"]);
        slope.loadsPerSecond.push_back(changes / toSeconds(length));
        slope.callsPerSecond.push_back(result.keyValueCallsPerSecond);
        const std::string name = fmt::format("{}_calls_at_{}_workers", shape.name, sized.workers);
        report.addFigure(name, result.keyValueCallsPerSecond, "calls/s");
        for (const auto &[purpose, calls] : result.callsByPurpose) {
            if (factor == 1 && calls > 0.0)
                report.addFigure(fmt::format("{}_{}", name, purpose), calls, "calls/s");
        }
    }
    report.requireAtMost(fmt::format("{}_calls_at_{}_workers", shape.name, shape.workers),
                         allowedWritesPerSecond / 2);
    report.addFigure(shape.name + "_calls_per_change", slope.perLoad(), "calls");
    const double changesAtTarget = targetCountAtGoal * changesPerTargetHour / 3600.0;
    report.addFigure(shape.name + "_calls_at_target", slope.perLoad() * changesAtTarget, "calls/s");
    report.requireAtMost(shape.name + "_calls_at_target", allowedWritesPerSecond / 2);
}

Report runColdStart(const ExperimentArguments &arguments)
{
    configureLog("bench", LogLevel::Critical);
    Report report;
    const Comparison institutoResults = compare(instituto(), arguments.seed);
    report.table += tableOf("instituto: 45 models, 65 adapters, 12 workers, 2 loads/s",
                            institutoResults);
    addFigures(report, "instituto", institutoResults);
    report.requireAtMost("instituto_p99_product_over_bound", 1.25);
    report.requireAtMost("instituto_idle_product_over_fixed", 1.0);
    const Comparison glassmarkResults = compare(glassmark(), arguments.seed);
    report.table += tableOf("glassmark: 25 models, 75 adapters, 12 workers, 3 loads/s",
                            glassmarkResults);
    addFigures(report, "glassmark", glassmarkResults);
    report.requireAtMost("glassmark_idle_product_over_fixed", 0.5);
    report.requireAtMost("glassmark_p99_product_over_fixed", 1.0);
    addTakeover(report, arguments.seed);
    for (const DeploymentShape &shape : {instituto(), glassmark()}) {
        addOutage(report, shape, arguments.seed);
        addKeyValueCalls(report, shape, arguments.seed);
    }
    return report;
}

const RegisterExperiment
        registered("cold-start", "cold starts and idle accelerator hours, four ways", runColdStart);

} // namespace

} // namespace bamboochute::bench
