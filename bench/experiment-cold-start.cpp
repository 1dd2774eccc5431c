#include "cold_start_baselines.hpp"
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
    settings.policy.isLoadingAhead = keepAlive == decision::KeepAlive::Predicted;
    settings.policy.assumedLoadTime = settings.loads.remote;
    settings.idleTick = 10s;
    return settings;
}

/// @brief The four variants side by side on one trace.
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
    const TimePoint from = TimePoint() + warmUp;
    Comparison all;
    all.local = LocalLruRun(configuration, instanceCount, loadModel(), from).run(trace, end);
    const auto runWith = [&](decision::KeepAlive keepAlive) {
        ColdStartRun run(settingsFor(configuration, seed, keepAlive), trace, from);
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
        report.figure(name + "_" + what, value, unit);
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
    report.atMost(name + "_duplicates", 0);
    report.atMost(name + "_store_limits_exceeded", 0);
    report.atMost(name + "_refused_in_vain", 0.1);
}

Report runColdStart(const ExperimentArguments &arguments)
{
    configureLog("bench", LogLevel::Critical);
    Report report;
    const Comparison housing = compare(instituto(), arguments.seed);
    report.table += tableOf("instituto: 45 models, 65 adapters, 12 workers, 2 loads/s", housing);
    addFigures(report, "instituto", housing);
    report.atMost("instituto_p99_product_over_bound", 1.25);
    report.atMost("instituto_idle_product_over_fixed", 1.0);
    const Comparison drafting = compare(glassmark(), arguments.seed);
    report.table += tableOf("glassmark: 25 models, 75 adapters, 12 workers, 3 loads/s", drafting);
    addFigures(report, "glassmark", drafting);
    report.atMost("glassmark_idle_product_over_fixed", 0.5);
    report.atMost("glassmark_p99_product_over_fixed", 1.0);
    return report;
}

const RegisterExperiment
        registered("cold-start", "cold starts and idle accelerator hours, four ways", runColdStart);

} // namespace

} // namespace bamboochute::bench
