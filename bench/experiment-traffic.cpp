#include "experiment.hpp"
#include "queue_contention.hpp"
#include "traffic_world.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

const CallerClassId exportHouse("export-house");
const CallerClassId localShop("local-shop");
const CallerClassId walkIn("walk-in");

std::vector<TrafficClass> threeClasses()
{
    return {
            {{exportHouse, 16, 10, 256, {}}, 0.05, 10s},
            {{localShop, 4, 5, 256, {}}, 0.35, 10s},
            {{walkIn, 1, 0, 256, {}}, 0.60, 10s},
    };
}

std::vector<TrafficClass> oneClass()
{
    return {{{localShop, 1, 0, 1000, {}}, 1.0, 60s}};
}

TrafficSettings baseSettings(const ExperimentArguments &arguments)
{
    TrafficSettings settings;
    settings.seed = arguments.seed;
    return settings;
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1e3;
}

void overload(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = baseSettings(arguments);
    settings.classes = threeClasses();
    settings.load = 0.5;
    const TrafficResult half = runTraffic(settings);
    settings.load = 2.0;
    const TrafficResult twice = runTraffic(settings);
    report.table += "Overload, 12 instances, 12 upstreams of 64 slots:\n";
    report.table
            += fmt::format("{:<14} {:>5} {:>8} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9} {:>9} {:>9}\n",
                           "class", "load", "offered", "in time", "full", "early", "expired", "cut",
                           "p99 q ms", "mean q ms", "late ms");
    for (const auto &[load, result] : {std::pair(0.5, &half), std::pair(2.0, &twice)}) {
        for (const auto &[id, each] : result->classes) {
            double sum = 0;
            for (const Duration wait : each.queueing)
                sum += milliseconds(wait);
            const double mean
                    = sum / static_cast<double>(std::max<std::size_t>(1, each.queueing.size()));
            report.table += fmt::format(
                    "{:<14} {:>5.1f} {:>8} {:>8} {:>7} {:>7} {:>7} {:>5} {:>9.2f} {:>9.3f} "
                    "{:>9.2f}\n",
                    id.value(), load, each.offered, each.inTime, each.refusedFull,
                    each.refusedEarly, each.expired, each.cutAtDeadline,
                    milliseconds(quantile(each.queueing, 0.99)), mean, milliseconds(each.latest));
        }
    }
    const double halfWait = milliseconds(quantile(half.classes.at(exportHouse).queueing, 0.99));
    const double twiceWait = milliseconds(quantile(twice.classes.at(exportHouse).queueing, 0.99));
    report.addFigure("overload.goodput", twice.goodput, "of capacity");
    report.requireAtLeast("overload.goodput", 0.95);
    report.addFigure("overload.top_p99_at_half_load", halfWait, "ms");
    report.addFigure("overload.top_p99_at_double_load", twiceWait, "ms");
    report.requireAtMost("overload.top_p99_at_double_load", 1.2 * halfWait);
    const Duration latest = twice.classes.at(walkIn).latest;
    report.addFigure("overload.lowest_latest_answer", milliseconds(latest), "ms");
    report.requireAtMost("overload.lowest_latest_answer", 50);
    const ClassResult &lowest = twice.classes.at(walkIn);
    const std::uint64_t answered = lowest.inTime + lowest.refusedFull + lowest.refusedEarly
                                   + lowest.expired + lowest.cutAtDeadline;
    report.addFigure("overload.lowest_unanswered", static_cast<double>(lowest.offered - answered),
                     "requests");
    report.requireAtMost("overload.lowest_unanswered", 0);
}

/// Other sizes of upstreams, and a balancer that sends two thirds to half of the instances.
void overloadElsewhere(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = baseSettings(arguments);
    settings.classes = threeClasses();
    report.table += "Overload elsewhere (top class p99 queueing at half and double load):\n";
    for (const std::uint32_t slots : {8U, 16U, 32U, 64U}) {
        for (const double firstHalf : {0.5, 0.67}) {
            settings.slots = slots;
            settings.firstHalfShare = firstHalf;
            settings.load = 0.5;
            const TrafficResult half = runTraffic(settings);
            settings.load = 2.0;
            const TrafficResult twice = runTraffic(settings);
            report.table += fmt::format(
                    "{:>2} slots, first half gets {:.2f}: goodput {:.3f}, top {:>7.2f} -> {:>7.2f} "
                    "ms\n",
                    slots, firstHalf, twice.goodput,
                    milliseconds(quantile(half.classes.at(exportHouse).queueing, 0.99)),
                    milliseconds(quantile(twice.classes.at(exportHouse).queueing, 0.99)));
        }
    }
}

void routing(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = baseSettings(arguments);
    settings.classes = oneClass();
    settings.slots = 8;
    settings.load = 0.8;
    report.table += "Routing at 80% load, reports 2 s late, upstreams of 8 slots:\n";
    const auto measure = [&](const std::string &name, RoutingPolicy policy,
                             const admission::RouterLimits &limits = {}) {
        settings.policy = policy;
        settings.routerLimits = limits;
        const TrafficResult result = runTraffic(settings);
        const ClassResult &each = result.classes.at(localShop);
        const double p99 = milliseconds(quantile(each.latency, 0.99));
        report.table += fmt::format(
                "{:<22} p50 {:>8.1f} ms  p99 {:>8.1f} ms  p99 queueing {:>8.1f} ms\n", name,
                milliseconds(quantile(each.latency, 0.5)), p99,
                milliseconds(quantile(each.queueing, 0.99)));
        return p99;
    };
    const double ours = measure("router", RoutingPolicy::Router);
    const double roundRobin = measure("round robin", RoutingPolicy::RoundRobin);
    const double least = measure("least reported load", RoutingPolicy::LeastReportedLoad);
    const double two = measure("two reported loads", RoutingPolicy::TwoReportedLoads);
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
    report.addFigure("routing.p99", ours, "ms");
    report.addFigure("routing.p99_round_robin", roundRobin, "ms");
    report.addFigure("routing.p99_least_reported", least, "ms");
    report.addFigure("routing.p99_two_reported", two, "ms");
    report.addFigure("routing.p99_over_least_reported", ours / least, "ratio");
    report.requireAtMost("routing.p99_over_least_reported", 0.7);
    report.addFigure("routing.p99_over_round_robin", ours / roundRobin, "ratio");
}

/// Whether a second attempt at another upstream shortens the tail.
void hedging(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = baseSettings(arguments);
    settings.classes = oneClass();
    settings.slots = 8;
    report.table
            += "Hedging, upstreams of 8 slots (the second attempt takes as long as the first):\n";
    for (const double slow : {1.0, 3.0}) {
        for (const double load : {0.5, 0.7, 0.8}) {
            for (const Duration after : {Duration(0s), Duration(1500ms)}) {
                settings.slowFactor = slow;
                settings.load = load;
                settings.hedgeAfter = after;
                const TrafficResult result = runTraffic(settings);
                const ClassResult &each = result.classes.at(localShop);
                report.table += fmt::format(
                        "one upstream {:.0f} x slower, load {:.1f}, hedged after "
                        "{:>4.0f} ms: p50 {:>6.1f} p99 {:>7.1f} ms, {} second "
                        "attempts of {}\n",
                        slow, load, milliseconds(after), milliseconds(quantile(each.latency, 0.5)),
                        milliseconds(quantile(each.latency, 0.99)), result.hedges, each.offered);
            }
        }
    }
}

void prefixes(Report &report, const ExperimentArguments &arguments)
{
    TrafficSettings settings = baseSettings(arguments);
    settings.classes = oneClass();
    settings.slots = 32;
    settings.load = 0.8;
    settings.books = 60;
    const TrafficResult result = runTraffic(settings);
    const double hitShare
            = static_cast<double>(result.hits) / static_cast<double>(result.possibleHits);
    report.table
            += fmt::format("Prefixes: 60 style books, 16 kept by an upstream: {} of {} possible "
                           "hits\n",
                           result.hits, result.possibleHits);
    for (const std::uint32_t books : {12U, 60U, 150U}) {
        for (const std::uint32_t slots : {8U, 32U}) {
            for (const double load : {0.3, 0.8}) {
                settings.books = books;
                settings.slots = slots;
                settings.load = load;
                const TrafficResult other = runTraffic(settings);
                report.table += fmt::format(
                        "{:>3} books, {:>2} slots, load {:.1f}: hits {:.3f} of possible, busiest "
                        "{:.3f} x mean by requests, {:.3f} by time\n",
                        books, slots, load,
                        static_cast<double>(other.hits) / static_cast<double>(other.possibleHits),
                        other.loadRatio, other.busyRatio);
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

void contention(Report &report)
{
    report.table += "One queue, router and ejector under one mutex, 12 upstreams (wall time):\n";
    for (const std::uint32_t threads : {1U, 2U, 4U, 8U}) {
        const ContentionResult result = runContention(threads);
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
    contention(report);
    overload(report, arguments);
    overloadElsewhere(report, arguments);
    routing(report, arguments);
    hedging(report, arguments);
    prefixes(report, arguments);
    return report;
}

const RegisterExperiment registration("traffic", "queues under overload, routing, prefix affinity",
                                      run);

} // namespace

} // namespace bamboochute::bench
