// Experiment "config": the cost of a submission, and the time until its configuration is in force
// at every instance.
#include "../tests/admin/virtual_service.hpp"
#include "experiment.hpp"
#include "virtual_fleet.hpp"

#include "admin/configuration_check.hpp"
#include "admin/configuration_format.hpp"
#include "admin/configuration_in_force.hpp"
#include "core/digest.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include <fmt/format.h>
#include <malloc.h>

namespace bamboochute::bench {

namespace {

using namespace admin;
using namespace std::chrono_literals;
// The virtual time with timers from the tests of package admin, not bench::VirtualTime.
using VirtualTime = admin::VirtualTime;

/// Parameters of the network. Calls are simulated here; datagrams are exchanged by the gossip
/// implementation of package peer.
struct NetworkModel
{
    std::size_t instances = 12;
    /// Bounds of the one-way delay of a call or its response, including the time to handle it.
    Duration minCallDelay = 500us;
    Duration maxCallDelay = 5ms;
    double datagramLoss = 0.05;
};

const peer::StateKey rootStateKey{{peer::Topic::ConfigurationRoot, ""}, ""};

/// Time for the instances to discover one another before an experiment begins.
constexpr Duration discoveryTime = 10s;
/// Step by which gossip and calls advance alternately.
constexpr Duration timeStep = 1ms;

/// Instances with their configuration in force, a shared key-value service and virtual time.
///
/// As in the product, the instance that accepted a newer root publishes it once, and every other
/// instance fetches the parts from that instance by calls.
class Fleet
{
public:
    Fleet(const NetworkModel &model, std::uint64_t seed)
        : model(model)
        , random(seed)
        , gossip({model.instances, 4, 1, {}}, {model.datagramLoss}, seed)
    {
        for (std::size_t i = 0; i < model.instances; ++i)
            this->nodes.push_back(std::make_unique<Node>(*this));
        this->gossip.onObservation = [this](const Observation &observation) {
            if (const auto *change = std::get_if<peer::StateChanged>(&observation.what))
                this->onStateChanged(observation.node, change->delta);
        };
        this->run(discoveryTime);
    }

    using SubmitCallback = std::function<void(const Result<SubmitOutcome> &)>;

    void submit(std::size_t instance, SubmitRequest request, const SubmitCallback &done)
    {
        this->nodes[instance]->store.submit(std::move(request), [this, instance,
                                                                 done](auto outcome) {
            if (outcome) {
                if (const auto *accepted = std::get_if<SubmissionAccepted>(&outcome.value()))
                    this->onAccepted(instance, *accepted);
            }
            done(outcome);
        });
    }

    /// Advances gossip and calls by a duration.
    void run(Duration duration)
    {
        const TimePoint end = this->time.now() + duration;
        while (this->time.now() < end) {
            this->gossip.run(timeStep);
            this->time.runUntil(this->time.now() + timeStep);
        }
    }

    /// Runs until the revision is in force at every instance.
    /// @return time until the last instance applied it; nothing when the limit passed before
    std::optional<Duration> runUntilAppliedEverywhere(Revision revision, Duration limit)
    {
        const TimePoint start = this->time.now();
        while (this->time.now() < start + limit) {
            if (this->isAppliedEverywhere(revision))
                return std::max(Duration(0), this->lastApplied - start);
            this->run(timeStep);
        }
        return std::nullopt;
    }

    bool isAppliedEverywhere(Revision revision) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &node) {
            return node->inForce.newest().revision >= revision;
        });
    }

    const ConfigurationInForce &inForce(std::size_t instance) const
    {
        return this->nodes[instance]->inForce;
    }
    std::uint64_t transferredBytes(std::size_t instance) const
    {
        return this->nodes[instance]->transferred;
    }

    NetworkModel model;
    Random random;
    VirtualTime time;
    VirtualService service{this->time};
    TimePoint lastApplied{};
    /// Times that an instance replaced its configuration by an older revision.
    std::uint64_t revertedRevisions = 0;

private:
    struct Node
    {
        explicit Node(Fleet &fleet)
            : store(fleet.service, fleet.time,
                    [this](const PartHash &hash) { return this->inForce.findPart(hash); })
        {}
        ConfigurationInForce inForce;
        ConfigurationStore<VirtualService, VirtualTime> store;
        /// Bytes of gossip entries, part requests and parts.
        std::uint64_t transferred = 0;
        std::uint64_t lastAppliedRevision = 0;
        /// Instance that announced the newest root.
        std::size_t holder = 0;
        bool isFetching = false;
    };

    Duration randomCallDelay()
    {
        const auto span
                = std::uint64_t((this->model.maxCallDelay - this->model.minCallDelay).count());
        return this->model.minCallDelay + Duration(this->random.below(span + 1));
    }

    void onAccepted(std::size_t instance, const SubmissionAccepted &accepted)
    {
        if (accepted.isDryRun)
            return;
        const auto update = this->nodes[instance]->inForce.onRootAnnounced(
                InstanceId("self"), {accepted.root, accepted.newParts});
        this->applyUpdate(instance, update);
        const ConfigurationInForce &inForce = this->nodes[instance]->inForce;
        if (update.applied != nullptr)
            this->gossip.publish(instance, rootStateKey, Fence(inForce.newest().revision.value()),
                                 fmt::format("{} {}", instance, writeRoot(inForce.newest())));
    }

    void onStateChanged(std::size_t instance, const peer::StateDelta &delta)
    {
        const std::size_t space = delta.payload.find(' ');
        // An entry that a later one has superseded has an empty payload.
        if (delta.key != rootStateKey || space == std::string::npos)
            return;
        const std::size_t holder = std::stoul(delta.payload.substr(0, space));
        if (holder == instance)
            return;
        const auto root = readRoot(delta.payload.substr(space + 1));
        this->nodes[instance]->transferred += delta.payload.size();
        this->nodes[instance]->holder = holder;
        this->applyUpdate(instance, this->nodes[instance]->inForce.onRootAnnounced(
                                            InstanceId("peer"), {root.value(), {}}));
    }

    void applyUpdate(std::size_t instance, const ConfigurationUpdate &update)
    {
        if (update.applied != nullptr) {
            const std::uint64_t revision = update.applied->revision.value();
            this->revertedRevisions
                    += revision < this->nodes[instance]->lastAppliedRevision ? 1 : 0;
            this->nodes[instance]->lastAppliedRevision = revision;
            this->lastApplied = this->time.now();
        }
        if (!update.wanted.hashes.empty())
            this->fetchMissingParts(instance);
    }

    /// Requests the missing parts from the holder, repeatedly until none is missing.
    void fetchMissingParts(std::size_t instance)
    {
        Node &node = *this->nodes[instance];
        const PartsRequest wanted = node.inForce.wanted();
        if (node.isFetching || wanted.hashes.empty())
            return;
        node.isFetching = true;
        node.transferred += wanted.hashes.size() * wanted.hashes.front().value().size();
        this->time.after(
                this->randomCallDelay() + this->randomCallDelay(), [this, instance, wanted]() {
                    Node &node = *this->nodes[instance];
                    node.isFetching = false;
                    const PartsResponse response = this->nodes[node.holder]->inForce.answer(wanted);
                    for (const std::string &text : response.parts)
                        node.transferred += text.size();
                    this->applyUpdate(instance, node.inForce.onPartsResponse(response));
                    this->fetchMissingParts(instance);
                });
    }

    VirtualFleet gossip;
    std::vector<std::unique_ptr<Node>> nodes;
};

/// Makes a configuration of 12 upstreams and the given numbers of models and adapters.
Configuration makeConfiguration(std::size_t models, std::size_t adapters)
{
    constexpr std::uint64_t gibibyte = std::uint64_t(1) << 30;
    Deployment deployment;
    deployment.id = DeploymentId("shared");
    for (std::size_t i = 0; i < 12; ++i) {
        UpstreamSpec engine;
        engine.id = UpstreamId(fmt::format("worker-{:04}", i));
        engine.pool = PoolId("workers");
        engine.endpoint = {fmt::format("10.0.0.{}", i + 1), 9000};
        engine.dataCentre = DataCentreId(fmt::format("dc-{}", i % 4));
        engine.memory = Bytes{96 * gibibyte};
        deployment.upstreams.push_back(engine);
    }
    for (std::size_t i = 0; i < models; ++i)
        deployment.models.push_back({ModelId(fmt::format("model-family-{:03}@3", i)),
                                     Bytes{20 * gibibyte},
                                     0,
                                     4,
                                     {},
                                     ModelId()});
    for (std::size_t i = 0; i < adapters; ++i)
        deployment.adapters.push_back({AdapterId(fmt::format("team-adapter-{:05}", i)),
                                       deployment.models[i % models].id, Bytes{gibibyte / 4}, 2});
    Configuration configuration;
    configuration.operators = {{"ana", sha256Hex("credential")}};
    configuration.deployments = {deployment};
    return configuration;
}

SubmitRequest makeSubmitRequest(Configuration configuration, Revision expected,
                                const std::string &id)
{
    return {std::move(configuration), expected, SubmissionId(id), "ana", WallTime(1), false};
}

Duration quantile(std::vector<Duration> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = std::size_t(std::ceil(share * double(values.size()))) - 1;
    return values[std::min(index, values.size() - 1)];
}

double toMilliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

/// Measures the processor time of a function in milliseconds.
template<typename Function>
double measureProcessorMs(Function function)
{
    const std::clock_t start = std::clock();
    function();
    return 1000.0 * double(std::clock() - start) / CLOCKS_PER_SEC;
}

double toMegabytes(std::size_t bytes)
{
    return double(bytes) / double(1 << 20);
}

/// Reads a line of /proc/self/status in MB, such as "VmHWM" (peak resident size) or "VmRSS"; zero
/// when there is no such line.
double readProcessStatusMegabytes(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":"))
            return std::stod(line.substr(name.size() + 1)) / 1024;
    }
    return 0;
}

/// Returns freed memory to the system and resets the peak resident size.
void resetPeakMemory()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

/// Submits one configuration at a random instance and waits for its acceptance.
Result<SubmitOutcome> submitAndWait(Fleet &fleet, SubmitRequest request)
{
    std::optional<Result<SubmitOutcome>> outcome;
    const std::size_t instance = fleet.random.below(fleet.model.instances);
    fleet.submit(instance, std::move(request),
                 [&](const Result<SubmitOutcome> &result) { outcome = result; });
    while (!outcome)
        fleet.run(timeStep);
    return *outcome;
}

/// Measures processor time, memory and propagation time of 22,000 adapters and 270 models.
void measureLargeConfiguration(Report &report, std::uint64_t seed)
{
    constexpr std::size_t models = 270;
    constexpr std::size_t adapters = 22000;
    Configuration large = makeConfiguration(models, adapters);
    const std::string text = writeConfiguration(large);
    resetPeakMemory();
    const double residentBefore = readProcessStatusMegabytes("VmRSS");
    const std::size_t heapBefore = mallinfo2().uordblks;
    ConfigurationInForce acceptingInstance;
    SubmissionAccepted accepted;
    std::optional<Configuration> read;
    const double readMs = measureProcessorMs([&]() { read = readConfiguration(text).value(); });
    VirtualTime time;
    VirtualService service(time);
    ConfigurationStore<VirtualService, VirtualTime> store(
            service, time, [&](const PartHash &hash) { return acceptingInstance.findPart(hash); });
    const double submitMs = measureProcessorMs([&]() {
        store.submit(makeSubmitRequest(std::move(*read), Revision(), "large"), [&](auto outcome) {
            accepted = std::get<SubmissionAccepted>(std::move(outcome.value()));
        });
        time.run();
    });
    read.reset();
    const double recordMs = toMilliseconds(time.now().time_since_epoch());
    const std::size_t parts = accepted.newParts.size();
    const double applyMs = measureProcessorMs([&]() {
        acceptingInstance.onRootAnnounced(InstanceId("self"), {accepted.root, accepted.newParts});
    });
    const double peak = readProcessStatusMegabytes("VmHWM") - residentBefore;
    large.deployments[0].adapters[adapters / 2].memory = Bytes{1};
    PartSet changed = splitConfiguration(large);
    RootAnnouncement change{accepted.root, {}};
    change.root.revision = Revision(2);
    change.root.top = changed.top;
    for (const auto &[hash, part] : changed.parts) {
        if (acceptingInstance.findPart(hash) == nullptr)
            change.parts.push_back(part);
    }
    const double changeMs = measureProcessorMs(
            [&]() { acceptingInstance.onRootAnnounced(InstanceId("self"), change); });
    changed = {};
    accepted = {};
    service.state = {};
    malloc_trim(0);
    const std::size_t heldBytes = mallinfo2().uordblks - heapBefore;
    report.table += fmt::format(
            "22,000 adapters, 270 models: text {:.1f} MB, {} parts of {:.2f} MB together, {} calls "
            "to record\n",
            toMegabytes(text.size()), parts, toMegabytes(acceptingInstance.partBytes()),
            service.calls);
    report.addFigure("large.read_and_check_processor", readMs, "ms");
    report.addFigure("large.record_processor", submitMs, "ms");
    report.addFigure("large.record_virtual", recordMs, "ms");
    report.addFigure("large.apply_processor", applyMs, "ms");
    report.addFigure("large.apply_one_adapter_processor", changeMs, "ms");
    report.addFigure("large.held_at_an_instance", toMegabytes(heldBytes), "MB");
    report.addFigure("large.peak_while_accepting", peak, "MB");
    report.requireAtMost("large.held_at_an_instance", 64);
    report.requireAtMost("large.peak_while_accepting", 64);

    NetworkModel model;
    Fleet fleet(model, seed);
    const auto outcome = submitAndWait(fleet, makeSubmitRequest(large, Revision(), "large"));
    BC_INVARIANT(outcome.has_value(), "the large configuration is accepted");
    const auto propagationTime = fleet.runUntilAppliedEverywhere(Revision(1), 20s);
    const double propagationMs = propagationTime ? toMilliseconds(*propagationTime) : 1e9;
    report.addFigure("large.spread_virtual", propagationMs, "ms");
    // The accepting instance applies the configuration first, then all others concurrently.
    constexpr double sequentialApplications = 2;
    report.addFigure("large.accepted_to_everywhere",
                     recordMs + propagationMs + sequentialApplications * applyMs + submitMs, "ms");
    report.requireAtMost("large.accepted_to_everywhere", 4000);

    std::uint64_t maxBytes = 0;
    std::uint64_t totalBytes = 0;
    constexpr std::uint64_t changes = 50;
    for (std::uint64_t change = 0; change < changes; ++change) {
        auto &adapter = large.deployments[0].adapters[fleet.random.below(adapters)];
        adapter.memory = Bytes{adapter.memory.count + 1};
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < model.instances; ++i)
            before.push_back(fleet.transferredBytes(i));
        const auto outcome
                = submitAndWait(fleet, makeSubmitRequest(large, Revision(change + 1),
                                                         fmt::format("change-{}", change)));
        BC_INVARIANT(outcome.has_value(), "a change of one adapter is accepted");
        fleet.runUntilAppliedEverywhere(Revision(change + 2), 20s);
        for (std::size_t i = 0; i < model.instances; ++i) {
            maxBytes = std::max(maxBytes, fleet.transferredBytes(i) - before[i]);
            totalBytes += fleet.transferredBytes(i) - before[i];
        }
    }
    report.addFigure("large.one_adapter_greatest", double(maxBytes), "bytes");
    report.addFigure("large.one_adapter_mean",
                     double(totalBytes) / double(changes * model.instances), "bytes");
    report.requireAtMost("large.one_adapter_greatest", 4095);
}

/// Conditions under which the propagation time is measured.
struct PropagationCase
{
    const char *name;
    double datagramLoss;
    /// Whether the key-value service is down from the moment of acceptance.
    bool isDownAfterwards;
    /// Suffix of the bounded figure, and its limit in milliseconds.
    const char *boundedFigure;
    double limitMs;
};

constexpr PropagationCase propagationCases[] = {
        {"service_up", 0, false, ".p99", 1000},
        {"service_down", 0, true, ".greatest", 4000},
        {"service_down_lossy", 0.05, true, ".greatest", 4000},
};

/// Measures the time from acceptance until the configuration is in force everywhere.
void measurePropagation(Report &report, std::uint64_t seed, const PropagationCase &each)
{
    constexpr std::size_t rounds = 200;
    std::vector<Duration> times;
    std::uint64_t missed = 0;
    NetworkModel model;
    model.datagramLoss = each.datagramLoss;
    Fleet fleet(model, seed);
    Configuration configuration = makeConfiguration(45, 65);
    for (std::size_t round = 0; round < rounds; ++round) {
        configuration.deployments[0].adapters[round % 65].memory = Bytes{1000 + round};
        const auto outcome = submitAndWait(fleet, makeSubmitRequest(configuration, Revision(round),
                                                                    fmt::format("s-{}", round)));
        BC_INVARIANT(outcome.has_value(), "the submission is accepted");
        fleet.service.isDown = each.isDownAfterwards;
        const auto propagationTime = fleet.runUntilAppliedEverywhere(Revision(round + 1), 10s);
        fleet.service.isDown = false;
        missed += propagationTime ? 0 : 1;
        times.push_back(propagationTime.value_or(10s));
    }
    const std::string name = each.name;
    report.addFigure(name + ".p50", toMilliseconds(quantile(times, 0.5)), "ms");
    report.addFigure(name + ".p99", toMilliseconds(quantile(times, 0.99)), "ms");
    report.addFigure(name + ".greatest", toMilliseconds(quantile(times, 1)), "ms");
    report.addFigure(name + ".missed", double(missed), "revisions");
    report.requireAtMost(name + each.boundedFigure, each.limitMs);
    report.requireAtMost(name + ".missed", 0);
}

/// Outcomes of the submissions of measureRaces.
struct RaceTally
{
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    std::uint64_t halfApplied = 0;
};

/// Makes 200 submissions, half of them concurrent, while calls to the key-value service or their
/// answers are lost.
void measureRaces(Report &report, std::uint64_t seed)
{
    constexpr std::size_t submissions = 200;
    Fleet fleet(NetworkModel(), seed);
    fleet.service.nextFault = [&](const platform::Transaction &) {
        if (fleet.random.chance(0.05))
            return Fault::NotReached;
        return fleet.random.chance(0.10) ? Fault::AnswerLost : Fault::None;
    };
    RaceTally tally;
    // Model memory of every submission, by its id: the value tells which one is in force.
    std::map<std::string, std::uint64_t> submittedMemory;
    std::map<std::uint64_t, std::string> acceptedIds;
    std::size_t sent = 0;
    while (sent < submissions) {
        const auto root = readRoot([&]() {
            const auto &entries = fleet.service.state.entries();
            const auto found = entries.find(std::string(rootKey));
            return found == entries.end() ? writeRoot({}) : found->second.value;
        }());
        const Revision expected = root.value().revision;
        // Two sequential submissions alternate with two concurrent ones, so half of them race.
        const std::size_t concurrentSubmissions = sent % 4 < 2 ? 1 : 2;
        std::size_t pending = concurrentSubmissions;
        for (std::size_t i = 0; i < concurrentSubmissions; ++i) {
            const std::string id = fmt::format("s-{}", sent);
            Configuration configuration = makeConfiguration(45, 65);
            configuration.deployments[0].models[0].memory = Bytes{1000 + sent};
            submittedMemory[id] = 1000 + sent;
            ++sent;
            const std::size_t instance = fleet.random.below(fleet.model.instances);
            fleet.submit(instance, makeSubmitRequest(configuration, expected, id),
                         [&, id](const auto &outcome) {
                             --pending;
                             if (!outcome) {
                                 const bool isUnknown = outcome.error().kind()
                                                        == ErrorKind::KeyValueOutcomeUnknown;
                                 ++(isUnknown ? tally.unknown : tally.refused);
                             } else if (const auto *acceptedSubmission
                                        = std::get_if<SubmissionAccepted>(&outcome.value())) {
                                 ++tally.accepted;
                                 acceptedIds[acceptedSubmission->root.revision.value()] = id;
                             } else {
                                 ++tally.conflicts;
                             }
                         });
        }
        while (pending > 0)
            fleet.run(timeStep);
        for (std::size_t i = 0; i < fleet.model.instances; ++i) {
            const ConfigurationPointer &current = fleet.inForce(i).configuration();
            if (current == nullptr)
                continue;
            const std::string id = fleet.inForce(i).newest().submissionId.value();
            tally.halfApplied
                    += current->deployments[0].models[0].memory.count == submittedMemory[id] ? 0
                                                                                             : 1;
        }
    }
    fleet.run(5s);
    for (const auto &[revision, id] : acceptedIds) {
        const auto &entries = fleet.service.state.entries();
        const auto found = entries.find(historyKey(Revision(revision)));
        const bool isKept
                = found != entries.end()
                  && readRoot(found->second.value).value().submissionId == SubmissionId(id);
        tally.lost += isKept ? 0 : 1;
    }
    report.table += fmt::format("races: {} accepted, {} conflicts, {} refused as not recorded, {} "
                                "outcome unknown\n",
                                tally.accepted, tally.conflicts, tally.refused, tally.unknown);
    report.addFigure("races.accepted", double(tally.accepted), "submissions");
    report.addFigure("races.lost", double(tally.lost), "submissions");
    report.addFigure("races.reverted", double(fleet.revertedRevisions), "revisions");
    report.addFigure("races.half_applied", double(tally.halfApplied), "instances");
    report.requireAtMost("races.lost", 0);
    report.requireAtMost("races.reverted", 0);
    report.requireAtMost("races.half_applied", 0);
}

Report run(const ExperimentArguments &arguments)
{
    Report report;
    const NetworkModel model;
    report.table = fmt::format(
            "{} instances; virtual time; a call {} to {} us each way; real gossip; {}% of "
            "datagrams "
            "lost where the name says lossy, with the large configuration and in the races; "
            "key-value call 2 ms\n",
            model.instances, model.minCallDelay.count(), model.maxCallDelay.count(),
            model.datagramLoss * 100);
    measureLargeConfiguration(report, arguments.seed);
    for (const PropagationCase &each : propagationCases)
        measurePropagation(report, arguments.seed, each);
    measureRaces(report, arguments.seed);
    return report;
}

const RegisterExperiment registration("config", "configuration: acceptance to in force everywhere",
                                      run);

} // namespace

} // namespace bamboochute::bench
