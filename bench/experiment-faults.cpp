#include "claim_grouping.hpp"
#include "claims_run.hpp"
#include "experiment.hpp"
#include "failing_upstream.hpp"

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

constexpr std::uint64_t defaultOperations = 100000;
/// Second run: number of instances that write the claims of all, and the divisor of the number of
/// operations.
constexpr std::uint32_t relayWriters = 3;
constexpr std::uint64_t relayedOperationsDivisor = 5;
/// Transactions a second by which the edges of the measured time may exceed the limit.
constexpr double groupingTolerance = 1.0;

void reportClaims(Report &report, const std::string &name, const ClaimsRunResult &result)
{
    report.addFigure(name + ".operations", static_cast<double>(result.operations), "operations");
    report.addFigure(name + ".run_twice", static_cast<double>(result.runTwice), "operations");
    report.addFigure(name + ".false_not_run", static_cast<double>(result.falseNotRun), "answers");
    report.addFigure(name + ".unexplained_unknown", static_cast<double>(result.unexplainedUnknown),
                     "answers");
    report.addFigure(name + ".other_wrong", static_cast<double>(result.otherWrong), "answers");
    report.requireAtMost(name + ".run_twice", 0);
    report.requireAtMost(name + ".false_not_run", 0);
    report.requireAtMost(name + ".unexplained_unknown", 0);
    report.requireAtMost(name + ".other_wrong", 0);
    report.table += fmt::format(
            "At most once, {}: {} operations ({} with a fault), {} attempts; {} ran, {} replays, "
            "{} not run, "
            "{} in progress, {} unknown, {} conflicts;\n"
            "{} kills, {} pauses, {} outages, {} lost answers, {} transactions\n",
            name, result.operations, result.faulted, result.attempts, result.ran, result.replays,
            result.notRun, result.inProgress, result.unknown, result.conflicts, result.kills,
            result.pauses, result.outages, result.lostAnswers, result.transactions);
}

void reportFailingUpstream(Report &report, const ExperimentArguments &arguments)
{
    const FailingUpstreamResult result = runFailingUpstream(arguments.seed);
    report.addFigure("failing.caller_errors", result.callerErrorShare(), "share");
    report.addFigure("failing.attempts_per_request", result.attemptsPerRequest(), "attempts");
    report.requireAtMost("failing.caller_errors", 0.005);
    report.requireAtMost("failing.attempts_per_request", 1.1);
    report.table += fmt::format("One of 12 upstreams fails 50% of its calls: {} requests, {} "
                                "attempts, {} errors seen by callers, {} retries refused\n",
                                result.requests, result.attempts, result.callerErrors,
                                result.retriesRefused);
}

void reportGrouping(Report &report, const ExperimentArguments &arguments)
{
    report.table += "Claims by grouping (claim and outcome are one write each):\n";
    report.table
            += "instances writers  claims/s transactions/s  writes/transaction  p50 ms  p99 ms\n";
    for (const std::uint32_t instances : {12U, 340U}) {
        for (const double rate : {10.0, 100.0, 300.0, 1000.0, 3000.0}) {
            const ClaimGroupingResult result
                    = simulateClaimGrouping(arguments.seed, instances, rate);
            report.table += fmt::format(
                    "{:>9} {:>7} {:>9.0f} {:>14.1f} {:>19.2f} {:>7.1f} {:>7.1f}\n", instances,
                    result.writers, rate, result.transactionsPerSecond, result.writesPerTransaction,
                    result.p50.count() / 1e3, result.p99.count() / 1e3);
            const std::string name
                    = fmt::format("grouping.{}x{:.0f}.transactions", instances, rate);
            report.addFigure(name, result.transactionsPerSecond, "1/s");
            report.requireAtMost(name, claimTransactionsPerSecond + groupingTolerance);
        }
    }
}

Report runFaults(const ExperimentArguments &arguments)
{
    ClaimsRunSettings settings;
    settings.seed = arguments.seed;
    settings.operations = arguments.steps == 0 ? defaultOperations : arguments.steps;
    settings.instances = 12;
    Report report;
    reportClaims(report, "claims", ClaimsRun<admission::OperationClaims>(settings).run());
    settings.writers = relayWriters;
    settings.operations /= relayedOperationsDivisor;
    reportClaims(report, "relayed", ClaimsRun<admission::OperationClaims>(settings).run());
    reportFailingUpstream(report, arguments);
    reportGrouping(report, arguments);
    return report;
}

const RegisterExperiment registration("faults", "at most once, failing upstreams, grouped claims",
                                      runFaults);

} // namespace

} // namespace bamboochute::bench
