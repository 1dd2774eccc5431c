#include "experiment.hpp"
#include "membership_baselines.hpp"
#include "membership_failures.hpp"
#include "membership_load.hpp"
#include "virtual_fleet.hpp"

#include <array>
#include <ctime>
#include <malloc.h>

#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using std::chrono::seconds;

constexpr std::array<std::size_t, 3> fleetSizes{12, 48, 340};
constexpr std::size_t targetFleetSize = 340;
constexpr std::size_t poolsAtTargetSize = 20;
/// Rate at which models and adapters are loaded or become idle in a fleet of the target size.
constexpr double placementChangesPerSecond = 1.6;
/// Share of datagrams lost: one in five.
constexpr double heavyLossShare = 0.2;

double readProcessorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double readHeapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Cost of membership and state gossip for one node.
struct Cost
{
    double meanBytesPerSecond = 0;
    double maxBytesPerSecond = 0;
    double processorShare = 0;
    double memoryBytes = 0;
};

Cost measureCost(std::size_t nodes, const LoadRates &rates, Duration duration, std::uint64_t seed)
{
    const double heapBefore = readHeapBytes();
    VirtualFleet fleet(makeFleetShape(nodes), NetworkSettings{}, seed);
    FleetLoad load(fleet, poolsAtTargetSize, rates, seed + 1);
    load.run(seconds(15));
    std::vector<peer::GossipTraffic> before;
    for (std::size_t node = 0; node < nodes; ++node)
        before.push_back(fleet.gossip(node).traffic());
    const double startedAt = readProcessorSeconds();
    load.run(duration);
    const double elapsed = toSeconds(duration);
    Cost cost;
    cost.processorShare
            = (readProcessorSeconds() - startedAt) / elapsed / static_cast<double>(nodes);
    std::size_t counted = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        const peer::GossipTraffic &after = fleet.gossip(node).traffic();
        // The counters of a process that was replaced meanwhile started again at zero.
        if (after.sentBytes < before[node].sentBytes)
            continue;
        const std::uint64_t bytes = after.sentBytes - before[node].sentBytes + after.receivedBytes
                                    - before[node].receivedBytes;
        const double perSecond = static_cast<double>(bytes) / elapsed;
        cost.meanBytesPerSecond += perSecond;
        cost.maxBytesPerSecond = std::max(cost.maxBytesPerSecond, perSecond);
        ++counted;
    }
    cost.meanBytesPerSecond /= static_cast<double>(counted);
    cost.memoryBytes = (readHeapBytes() - heapBefore) / static_cast<double>(nodes);
    return cost;
}

void measureFailures(Report &report, std::uint64_t seed)
{
    report.table += "Failures\n";
    for (const std::size_t nodes : fleetSizes) {
        const std::size_t trials = nodes == targetFleetSize ? 3 : 8;
        const double withoutLoss = measureWorstDetection(nodes, 0, trials, seed);
        const double withLoss = measureWorstDetection(nodes, heavyLossShare, trials, seed + 1);
        const AlarmCounter alarms = countAlarmsWithPauses(nodes, trials, seed + 2);
        report.table
                += fmt::format("  {:>4} nodes: killed known at all in {:.2f} s, {:.2f} s at 20% "
                               "loss; paused 3 s: {} gone, {} unreachable\n",
                               nodes, withoutLoss, withLoss, alarms.gone, alarms.unreachable);
        const std::string suffix = fmt::format("_{}", nodes);
        report.addFigure("killed_known_at_all" + suffix, withoutLoss, "s");
        report.requireAtMost("killed_known_at_all" + suffix, 5);
        report.addFigure("killed_known_at_all_lossy" + suffix, withLoss, "s");
        report.addFigure("paused_declared_gone" + suffix, static_cast<double>(alarms.gone), "");
        report.requireAtMost("paused_declared_gone" + suffix, 0);
        report.addFigure("paused_unreachable" + suffix, static_cast<double>(alarms.unreachable),
                         "");
    }
}

void measureFalseAlarms(Report &report, std::uint64_t seed)
{
    report.table += "Alarms under 20% loss\n";
    for (const std::size_t nodes : fleetSizes) {
        const Duration duration = nodes == targetFleetSize ? seconds(30) : seconds(600);
        const AlarmCounter alarms = countAlarmsUnderLoss(nodes, heavyLossShare, duration, seed + 3);
        const std::size_t total = alarms.gone + alarms.unreachable;
        report.table += fmt::format("  {:>4} nodes, {:.0f} s: {} gone, {} unreachable\n", nodes,
                                    toSeconds(duration), alarms.gone, alarms.unreachable);
        const std::string name = fmt::format("false_alarms_{}", nodes);
        report.addFigure(name, static_cast<double>(total), "");
        report.requireAtMost(name, 0);
    }
}

std::string formatSpreadRow(const char *method, std::size_t nodes, double loss,
                            const SpreadResult &result)
{
    return fmt::format("  {:<9} {:>4} nodes {:>3.0f}% loss: {:>9.0f} B/s mean {:>9.0f} B/s max, "
                       "median {:.3f} s, worst {:.3f} s, {} not at all\n",
                       method, nodes, loss * 100, result.meanBytesPerSecond,
                       result.maxBytesPerSecond, result.medianSeconds, result.maxSeconds,
                       result.incomplete);
}

void compareSpreadMethods(Report &report, std::uint64_t seed)
{
    report.table += "Ways to spread 1.6 changes a second, as many as models wake up or fall idle\n";
    for (const std::size_t nodes : fleetSizes) {
        for (const double loss : {0.0, heavyLossShare}) {
            const SpreadResult epidemic
                    = measureEpidemicSpread(nodes, loss, peer::Topic::Placements,
                                            placementChangesPerSecond, seconds(10), seed + 4);
            HeartbeatSettings heartbeatSettings;
            heartbeatSettings.nodes = nodes;
            heartbeatSettings.dataCentres = makeFleetShape(nodes).dataCentres;
            heartbeatSettings.loss = loss;
            heartbeatSettings.changesPerSecond = placementChangesPerSecond;
            const SpreadResult mesh = HeartbeatFleet(heartbeatSettings, seed).run(seconds(10));
            heartbeatSettings.isTree = true;
            const SpreadResult tree = HeartbeatFleet(heartbeatSettings, seed).run(seconds(10));
            report.table += formatSpreadRow("epidemic", nodes, loss, epidemic);
            report.table += formatSpreadRow("full mesh", nodes, loss, mesh);
            report.table += formatSpreadRow("tree", nodes, loss, tree);
            const std::string suffix = fmt::format("_{}_{:.0f}", nodes, loss * 100);
            report.addFigure("spread_epidemic" + suffix, epidemic.maxSeconds, "s");
            report.addFigure("bytes_epidemic" + suffix, epidemic.meanBytesPerSecond, "B/s");
            report.addFigure("bytes_mesh" + suffix, mesh.meanBytesPerSecond, "B/s");
            report.addFigure("bytes_tree_busiest" + suffix, tree.maxBytesPerSecond, "B/s");
        }
    }
    const SpreadResult leaving
            = measureEpidemicSpread(targetFleetSize, heavyLossShare, peer::Topic::LeavingUpstreams,
                                    1, seconds(10), seed + 5);
    report.table += formatSpreadRow("leaving", targetFleetSize, heavyLossShare, leaving);
    report.addFigure("leaving_known_at_all", leaving.maxSeconds, "s");
    report.requireAtMost("leaving_known_at_all", 3);
    report.addFigure("leaving_missed", static_cast<double>(leaving.incomplete), "");
    report.requireAtMost("leaving_missed", 0);
}

void measureCosts(Report &report, std::uint64_t seed)
{
    report.table += "Cost of a node under the target's rates\n";
    for (const std::size_t nodes : {std::size_t{48}, std::size_t{170}, targetFleetSize}) {
        // At the target size, long enough for some configuration changes and a replaced process.
        const Duration duration = nodes == targetFleetSize ? seconds(100) : seconds(40);
        const Cost cost = measureCost(nodes, LoadRates{}, duration, seed + 6);
        report.table += fmt::format("  {:>4} nodes: {:.0f} B/s mean, {:.0f} B/s max, {:.3f}% of a "
                                    "core, {:.0f} kB\n",
                                    nodes, cost.meanBytesPerSecond, cost.maxBytesPerSecond,
                                    cost.processorShare * 100, cost.memoryBytes / 1000);
        const std::string suffix = fmt::format("_{}", nodes);
        report.addFigure("bytes_per_second" + suffix, cost.meanBytesPerSecond, "B/s");
        report.addFigure("bytes_per_second_busiest" + suffix, cost.maxBytesPerSecond, "B/s");
        report.addFigure("processor_share" + suffix, cost.processorShare * 100, "%");
        report.addFigure("memory" + suffix, cost.memoryBytes / 1e6, "MB");
    }
    report.requireAtMost("bytes_per_second_busiest_340", 13000);
    report.requireAtMost("processor_share_340", 2.7);
    report.requireAtMost("memory_340", 256);
    for (const std::size_t workers : {std::size_t{700}, std::size_t{1400}, std::size_t{2800}}) {
        LoadRates rates;
        rates.workers = workers;
        const Cost cost = measureCost(48, rates, seconds(20), seed + 7);
        report.table += fmt::format("  48 nodes, {:>4} workers: {:.0f} B/s\n", workers,
                                    cost.meanBytesPerSecond);
        report.addFigure(fmt::format("bytes_per_second_workers_{}", workers),
                         cost.meanBytesPerSecond, "B/s");
    }
}

/// Measures the memory that a node uses per loaded target (a model or an adapter on a model).
void measureMemory(Report &report)
{
    for (const std::size_t targets : {std::size_t{1000}, std::size_t{4000}, std::size_t{16000}}) {
        const double before = readHeapBytes();
        peer::Dissemination state{peer::DisseminationSettings{}};
        for (std::size_t i = 0; i < targets; ++i) {
            const std::string scope = fmt::format("pool-{}", i % poolsAtTargetSize);
            const std::string item = fmt::format("model-{}@1+adapter-{}", i % 270, i);
            const auto published = state.publish(
                    peer::StateKey{{peer::Topic::Placements, scope}, item}, Fence(1), "12345");
            if (!published)
                return;
        }
        const double bytesPerTarget = (readHeapBytes() - before) / static_cast<double>(targets);
        report.table
                += fmt::format("  {:>5} loaded targets: {:.0f} B each\n", targets, bytesPerTarget);
        report.addFigure(fmt::format("memory_per_target_{}", targets), bytesPerTarget, "B");
    }
}

Report runMembership(const ExperimentArguments &arguments)
{
    Report report;
    measureMemory(report);
    measureCosts(report, arguments.seed);
    measureFailures(report, arguments.seed);
    measureFalseAlarms(report, arguments.seed);
    return report;
}

Report runSpreadMethods(const ExperimentArguments &arguments)
{
    Report report;
    compareSpreadMethods(report, arguments.seed);
    return report;
}

const RegisterExperiment registered("membership",
                                    "Failure detection, spread of state, and their cost",
                                    runMembership);
const RegisterExperiment registeredSpreadMethods("membership-ways",
                                                 "Epidemic, full mesh and tree compared",
                                                 runSpreadMethods);

} // namespace

} // namespace bamboochute::bench
