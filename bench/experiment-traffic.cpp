#include "experiment.hpp"
#include "queue_contention.hpp"
#include "traffic_world.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

const CallerClassId highPriorityClass("export-house");
const CallerClassId mediumPriorityClass("local-shop");
const CallerClassId lowPriorityClass("walk-in");

std::vector<TrafficClass> makeThreeClasses()
{
    return {
            {{highPriorityClass, 16, 10, 256, {}}, 0.05, 10s},
            {{mediumPriorityClass, 4, 5, 256, {}}, 0.35, 10s},
            {{lowPriorityClass, 1, 0, 256, {}}, 0.60, 10s},
    };
}

std::vector<TrafficClass> makeOneClass()
{
    return {{{mediumPriorityClass, 1, 0, 1000, {}}, 1.0, 60s}};
}

TrafficSettings makeBaseSettings(const ExperimentArguments &arguments)
{
    TrafficSettings settings;
    settings.seed = arguments.seed;
    return settings;
}

double toMilliseconds(Duration duration)
{
    return toSeconds(duration) * 1e3;
}

void measureOverload(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = makeBaseSettings(arguments);
    settings.classes = makeThreeClasses();
    settings.load = 0.5;
    const TrafficResult halfLoad = simulateTraffic(settings);
    settings.load = 2.0;
    const TrafficResult doubleLoad = simulateTraffic(settings);
    report.table += "Overload, 12 instances, 12 upstreams of 64 slots:\n";
    report.table
            += fmt::format("{:<14} {:>5} {:>8} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9} {:>9} {:>9}\n",
                           "class", "load", "offered", "in time", "full", "early", "expired", "cut",
                           "p99 q ms", "mean q ms", "late ms");
    for (const auto &[load, result] : {std::pair(0.5, &halfLoad), std::pair(2.0, &doubleLoad)}) {
        for (const auto &[id, each] : result->classes) {
            double sum = 0;
            for (const Duration wait : each.queueing)
                sum += toMilliseconds(wait);
            const double mean
                    = sum / static_cast<double>(std::max<std::size_t>(1, each.queueing.size()));
            report.table += fmt::format(
                    "{:<14} {:>5.1f} {:>8} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9.2f} {:>9.3f} "
                    "{:>9.2f}\n",
                    id.value(), load, each.offered, each.answeredInTime, each.refusedFull,
                    each.refusedEarly, each.expired, each.cancelledAtDeadline,
                    toMilliseconds(quantile(each.queueing, 0.99)), mean,
                    toMilliseconds(each.maxLateness));
        }
    }
    const double halfLoadWait
            = toMilliseconds(quantile(halfLoad.classes.at(highPriorityClass).queueing, 0.99));
    const double doubleLoadWait
            = toMilliseconds(quantile(doubleLoad.classes.at(highPriorityClass).queueing, 0.99));
    report.addFigure("overload.goodput", doubleLoad.goodput, "of capacity");
    report.requireAtLeast("overload.goodput", 0.95);
    report.addFigure("overload.top_p99_at_half_load", halfLoadWait, "ms");
    report.addFigure("overload.top_p99_at_double_load", doubleLoadWait, "ms");
    report.requireAtMost("overload.top_p99_at_double_load", 1.2 * halfLoadWait);
    const Duration maxLateness = doubleLoad.classes.at(lowPriorityClass).maxLateness;
    report.addFigure("overload.lowest_latest_answer", toMilliseconds(maxLateness), "ms");
    report.requireAtMost("overload.lowest_latest_answer", 50);
    const ClassResult &lowest = doubleLoad.classes.at(lowPriorityClass);
    const std::uint64_t answered = lowest.answeredInTime + lowest.refusedFull + lowest.refusedEarly
                                   + lowest.expired + lowest.cancelledAtDeadline;
    report.addFigure("overload.lowest_unanswered", static_cast<double>(lowest.offered - answered),
                     "requests");
    report.requireAtMost("overload.lowest_unanswered", 0);
}

/// Repeats the overload with other sizes of upstreams, and with a balancer that sends two thirds of
/// the requests to half of the instances.
void measureOverloadVariants(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = makeBaseSettings(arguments);
    settings.classes = makeThreeClasses();
    report.table += "Overload elsewhere (top class p99 queueing at half and double load):\n";
    for (const std::uint32_t slots : {8U, 16U, 32U, 64U}) {
        for (const double firstHalf : {0.5, 0.67}) {
            settings.slots = slots;
            settings.firstHalfShare = firstHalf;
            settings.load = 0.5;
            const TrafficResult halfLoad = simulateTraffic(settings);
            settings.load = 2.0;
            const TrafficResult doubleLoad = simulateTraffic(settings);
            report.table += fmt::format(
                    "{:>2} slots, first half gets {:.2f}: goodput {:.3f}, top {:>7.2f} -> {:>7.2f} "
                    "ms\n",
                    slots, firstHalf, doubleLoad.goodput,
                    toMilliseconds(quantile(halfLoad.classes.at(highPriorityClass).queueing, 0.99)),
                    toMilliseconds(
                            quantile(doubleLoad.classes.at(highPriorityClass).queueing, 0.99)));
        }
    }
}

void measureRouting(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = makeBaseSettings(arguments);
    settings.classes = makeOneClass();
    settings.slots = 8;
    settings.load = 0.8;
    report.table += "Routing at 80% load, reports 2 s late, upstreams of 8 slots:\n";
    const auto measure = [&](const std::string &name, RoutingPolicy policy,
                             const admission::RouterLimits &limits = {}) {
        settings.policy = policy;
        settings.routerLimits = limits;
        const TrafficResult result = simulateTraffic(settings);
        const ClassResult &each = result.classes.at(mediumPriorityClass);
        const double p99 = toMilliseconds(quantile(each.latency, 0.99));
        report.table += fmt::format(
                "{:<22} p50 {:>8.1f} ms  p99 {:>8.1f} ms  p99 queueing {:>8.1f} ms\n", name,
                toMilliseconds(quantile(each.latency, 0.5)), p99,
                toMilliseconds(quantile(each.queueing, 0.99)));
        return p99;
    };
    const double routerP99 = measure("router", RoutingPolicy::Router);
    const double roundRobinP99 = measure("round robin", RoutingPolicy::RoundRobin);
    const double leastReportedP99
            = measure("least reported load", RoutingPolicy::LeastReportedLoad);
    const double twoReportedP99 = measure("two reported loads", RoutingPolicy::TwoReportedLoads);
    admission::RouterLimits withoutReports;
    withoutReports.reportTolerance = 1e9;
    measure("router without reports", RoutingPolicy::Router, withoutReports);
    settings.instances = 340;
    settings.upstreams = 24;
    settings.load = 0.7;
    settings.slowFactor = 3.0;
    report.table += "The same by 340 instances at 70% load, one of 24 upstreams 3 x slower:\n";
    measure("router", RoutingPolicy::Router);
    measure("router without reports", RoutingPolicy::Router, withoutReports);
    report.addFigure("routing.p99", routerP99, "ms");
    report.addFigure("routing.p99_round_robin", roundRobinP99, "ms");
    report.addFigure("routing.p99_least_reported", leastReportedP99, "ms");
    report.addFigure("routing.p99_two_reported", twoReportedP99, "ms");
    report.addFigure("routing.p99_over_least_reported", routerP99 / leastReportedP99, "ratio");
    report.requireAtMost("routing.p99_over_least_reported", 0.7);
    report.addFigure("routing.p99_over_round_robin", routerP99 / roundRobinP99, "ratio");
}

/// Measures whether a second attempt at another upstream reduces the tail latency.
void measureHedging(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = makeBaseSettings(arguments);
    settings.classes = makeOneClass();
    settings.slots = 8;
    report.table
            += "Hedging, upstreams of 8 slots (the second attempt takes as long as the first):\n";
    for (const double slow : {1.0, 3.0}) {
        for (const double load : {0.5, 0.7, 0.8}) {
            for (const Duration after : {Duration(0s), Duration(1500ms)}) {
                settings.slowFactor = slow;
                settings.load = load;
                settings.hedgeAfter = after;
                const TrafficResult result = simulateTraffic(settings);
                const ClassResult &each = result.classes.at(mediumPriorityClass);
                report.table += fmt::format(
                        "one upstream {:.0f} x slower, load {:.1f}, hedged after "
                        "{:>4.0f} ms: p50 {:>6.1f} p99 {:>7.1f} ms, {} second "
                        "attempts of {}\n",
                        slow, load, toMilliseconds(after),
                        toMilliseconds(quantile(each.latency, 0.5)),
                        toMilliseconds(quantile(each.latency, 0.99)), result.hedges, each.offered);
            }
        }
    }
}

void measurePrefixHits(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = makeBaseSettings(arguments);
    settings.classes = makeOneClass();
    settings.slots = 32;
    settings.load = 0.8;
    settings.prefixCount = 60;
    const TrafficResult result = simulateTraffic(settings);
    const double hitShare
            = static_cast<double>(result.hits) / static_cast<double>(result.possibleHits);
    report.table
            += fmt::format("Prefixes: 60 style books, 16 kept by an upstream: {} of {} possible "
                           "hits\n",
                           result.hits, result.possibleHits);
    for (const std::uint32_t prefixCount : {12U, 60U, 150U}) {
        for (const std::uint32_t slots : {8U, 32U}) {
            for (const double load : {0.3, 0.8}) {
                settings.prefixCount = prefixCount;
                settings.slots = slots;
                settings.load = load;
                const TrafficResult variant = simulateTraffic(settings);
                report.table += fmt::format(
                        "{:>3} books, {:>2} slots, load {:.1f}: hits {:.3f} of possible, busiest "
                        "{:.3f} x mean by requests, {:.3f} by time\n",
                        prefixCount, slots, load,
                        static_cast<double>(variant.hits)
                                / static_cast<double>(variant.possibleHits),
                        variant.loadRatio, variant.busyRatio);
            }
        }
    }
    report.addFigure("prefix.hits", hitShare, "of possible");
    report.requireAtLeast("prefix.hits", 0.9);
    report.addFigure("prefix.requests_max_over_mean", result.loadRatio, "ratio");
    report.addFigure("prefix.busy_max_over_mean", result.busyRatio, "ratio");
    report.requireAtMost("prefix.requests_max_over_mean", 1.25);
    report.requireAtMost("prefix.busy_max_over_mean", 1.25);
}

void measureContention(Report &report)
{
    report.table += "One queue, router and ejector under one mutex, 12 upstreams (wall time):\n";
    for (const std::uint32_t threads : {1U, 2U, 4U, 8U}) {
        const ContentionResult result = measureQueueContention(threads);
        report.table += fmt::format(
                "{} threads: {:>8.0f} requests/s, mutex held {:>5.2f} us a request, longest wait "
                "{:>7.0f} us\n",
                threads, result.requestsPerSecond, result.heldMicroseconds,
                result.longestWaitMicroseconds);
    }
}

Report run(const ExperimentArguments &arguments)
{
    Report report;
    measureContention(report);
    measureOverload(report, arguments);
    measureOverloadVariants(report, arguments);
    measureRouting(report, arguments);
    measureHedging(report, arguments);
    measurePrefixHits(report, arguments);
    return report;
}

const RegisterExperiment registration("traffic", "queues under overload, routing, prefix affinity",
                                      run);

} // namespace

} // namespace bamboochute::bench
