// Experiment "config": from a submission to the configuration in force at every instance.
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
// The package's helper with timers, not the bench's.
using VirtualTime = admin::VirtualTime;

/// The calls' network as parameters; datagrams go through the real gossip of the package peer.
struct NetworkModel
{
    std::size_t instances = 12;
    /// One-way time of a call's half, with the time to handle it.
    Duration leastLatency = 500us;
    Duration greatestLatency = 5ms;
    double datagramLoss = 0.05;
};

const peer::StateKey rootStateKey{{peer::Topic::ConfigurationRoot, ""}, ""};

/// Time in which the instances find one another before an experiment begins.
constexpr Duration joiningTime = 10s;
/// Step in which gossip and calls take turns.
constexpr Duration timeStep = 1ms;

/// Instances with their configuration in force, a shared key-value service and virtual time.
///
/// As in the program, a newer root is published once by the instance that accepted it, and every
/// other fetches the parts from there by calls.
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
        this->gossip.onObservation = [this](const Observation &seen) {
            if (const auto *change = std::get_if<peer::StateChanged>(&seen.what))
                this->onStateChanged(seen.node, change->delta);
        };
        this->run(joiningTime);
    }

    using Submitted = std::function<void(const Result<SubmitOutcome> &)>;

    void submit(std::size_t at, SubmitRequest request, const Submitted &done)
    {
        this->nodes[at]->store.submit(std::move(request), [this, at, done](auto outcome) {
            if (outcome) {
                if (const auto *accepted = std::get_if<SubmissionAccepted>(&outcome.value()))
                    this->onAccepted(at, *accepted);
            }
            done(outcome);
        });
    }

    /// Lets gossip and calls go on for a time.
    void run(Duration duration)
    {
        const TimePoint end = this->time.now() + duration;
        while (this->time.now() < end) {
            this->gossip.run(timeStep);
            this->time.runUntil(this->time.now() + timeStep);
        }
    }

    /// Runs until every instance has the revision; returns the time since the start or none.
    std::optional<Duration> untilEverywhere(Revision revision, Duration limit)
    {
        const TimePoint start = this->time.now();
        while (this->time.now() < start + limit) {
            if (this->isEverywhere(revision))
                return std::max(Duration(0), this->lastApplied - start);
            this->run(timeStep);
        }
        return std::nullopt;
    }

    bool isEverywhere(Revision revision) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &node) {
            return node->inForce.newest().revision >= revision;
        });
    }

    const ConfigurationInForce &inForce(std::size_t at) const { return this->nodes[at]->inForce; }
    std::uint64_t bytesOf(std::size_t at) const { return this->nodes[at]->bytes; }

    NetworkModel model;
    Random random;
    VirtualTime time;
    VirtualService service{this->time};
    TimePoint lastApplied{};
    std::uint64_t fallen = 0;

private:
    struct Node
    {
        explicit Node(Fleet &fleet)
            : store(fleet.service, fleet.time,
                    [this](const PartHash &hash) { return this->inForce.findPart(hash); })
        {}
        ConfigurationInForce inForce;
        ConfigurationStore<VirtualService, VirtualTime> store;
        std::uint64_t bytes = 0;
        std::uint64_t shownRevision = 0;
        /// Instance that announced the newest root.
        std::size_t holder = 0;
        bool isFetching = false;
    };

    Duration latency()
    {
        const auto span
                = std::uint64_t((this->model.greatestLatency - this->model.leastLatency).count());
        return this->model.leastLatency + Duration(this->random.below(span + 1));
    }

    void onAccepted(std::size_t at, const SubmissionAccepted &accepted)
    {
        if (accepted.isDryRun)
            return;
        const auto step = this->nodes[at]->inForce.onRootAnnounced(
                InstanceId("self"), {accepted.root, accepted.newParts});
        this->take(at, step);
        const ConfigurationInForce &inForce = this->nodes[at]->inForce;
        if (step.applied != nullptr)
            this->gossip.publish(at, rootStateKey, Fence(inForce.newest().revision.value()),
                                 fmt::format("{} {}", at, writeRoot(inForce.newest())));
    }

    void onStateChanged(std::size_t at, const peer::StateDelta &delta)
    {
        const std::size_t space = delta.payload.find(' ');
        // An entry that a later one has replaced comes without a payload.
        if (delta.key != rootStateKey || space == std::string::npos)
            return;
        const std::size_t holder = std::stoul(delta.payload.substr(0, space));
        if (holder == at)
            return;
        const auto root = readRoot(delta.payload.substr(space + 1));
        this->nodes[at]->bytes += delta.payload.size();
        this->nodes[at]->holder = holder;
        this->take(at, this->nodes[at]->inForce.onRootAnnounced(InstanceId("peer"),
                                                                {root.value(), {}}));
    }

    void take(std::size_t at, const ConfigurationUpdate &step)
    {
        if (step.applied != nullptr) {
            const std::uint64_t revision = step.applied->revision.value();
            this->fallen += revision < this->nodes[at]->shownRevision ? 1 : 0;
            this->nodes[at]->shownRevision = revision;
            this->lastApplied = this->time.now();
        }
        if (!step.wanted.hashes.empty())
            this->fetch(at);
    }

    /// Asks the holder for parts and goes on until nothing is missing.
    void fetch(std::size_t at)
    {
        Node &node = *this->nodes[at];
        const PartsRequest wanted = node.inForce.wanted();
        if (node.isFetching || wanted.hashes.empty())
            return;
        node.isFetching = true;
        node.bytes += wanted.hashes.size() * wanted.hashes.front().value().size();
        this->time.after(this->latency() + this->latency(), [this, at, wanted]() {
            Node &node = *this->nodes[at];
            node.isFetching = false;
            const PartsResponse given = this->nodes[node.holder]->inForce.answer(wanted);
            for (const std::string &text : given.parts)
                node.bytes += text.size();
            this->take(at, node.inForce.onPartsResponse(given));
            this->fetch(at);
        });
    }

    VirtualFleet gossip;
    std::vector<std::unique_ptr<Node>> nodes;
};

/// A configuration of the given size.
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

SubmitRequest requestOf(Configuration configuration, Revision expected, const std::string &id)
{
    return {std::move(configuration), expected, SubmissionId(id), "ana", WallTime(1), false};
}

Duration quantile(std::vector<Duration> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = std::size_t(std::ceil(share * double(values.size()))) - 1;
    return values[std::min(index, values.size() - 1)];
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

/// Processor time that a function takes.
template<typename Function>
double measureMs(Function function)
{
    const std::clock_t start = std::clock();
    function();
    return 1000.0 * double(std::clock() - start) / CLOCKS_PER_SEC;
}

double megabytes(std::size_t bytes)
{
    return double(bytes) / double(1 << 20);
}

/// A line of /proc/self/status in MB, such as "VmHWM" (greatest resident size) or "VmRSS".
double statusMegabytes(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":"))
            return std::stod(line.substr(name.size() + 1)) / 1024;
    }
    return 0;
}

/// Gives freed memory back and starts to measure the greatest resident size anew.
void resetPeak()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

/// Submits one configuration at a random instance and waits for its acceptance.
Result<SubmitOutcome> submitAndWait(Fleet &fleet, SubmitRequest request)
{
    std::optional<Result<SubmitOutcome>> outcome;
    const std::size_t at = fleet.random.below(fleet.model.instances);
    fleet.submit(at, std::move(request),
                 [&](const Result<SubmitOutcome> &result) { outcome = result; });
    while (!outcome)
        fleet.run(timeStep);
    return *outcome;
}

/// 22,000 adapters and 270 models: processor time, memory and time in the network.
void measureLarge(Report &report, std::uint64_t seed)
{
    constexpr std::size_t models = 270;
    constexpr std::size_t adapters = 22000;
    Configuration large = makeConfiguration(models, adapters);
    const std::string text = writeConfiguration(large);
    resetPeak();
    const double residentBefore = statusMegabytes("VmRSS");
    const std::size_t heapBefore = mallinfo2().uordblks;
    ConfigurationInForce first;
    SubmissionAccepted accepted;
    std::optional<Configuration> read;
    const double readMs = measureMs([&]() { read = readConfiguration(text).value(); });
    VirtualTime time;
    VirtualService service(time);
    ConfigurationStore<VirtualService, VirtualTime> store(
            service, time, [&](const PartHash &hash) { return first.findPart(hash); });
    const double submitMs = measureMs([&]() {
        store.submit(requestOf(std::move(*read), Revision(), "large"), [&](auto outcome) {
            accepted = std::get<SubmissionAccepted>(std::move(outcome.value()));
        });
        time.run();
    });
    read.reset();
    const double recordMs = milliseconds(time.now().time_since_epoch());
    const std::size_t parts = accepted.newParts.size();
    const double applyMs = measureMs([&]() {
        first.onRootAnnounced(InstanceId("self"), {accepted.root, accepted.newParts});
    });
    const double peak = statusMegabytes("VmHWM") - residentBefore;
    large.deployments[0].adapters[adapters / 2].memory = Bytes{1};
    PartSet changed = splitConfiguration(large);
    RootAnnouncement change{accepted.root, {}};
    change.root.revision = Revision(2);
    change.root.top = changed.top;
    for (const auto &[hash, part] : changed.parts) {
        if (first.findPart(hash) == nullptr)
            change.parts.push_back(part);
    }
    const double changeMs = measureMs([&]() { first.onRootAnnounced(InstanceId("self"), change); });
    changed = {};
    accepted = {};
    service.state = {};
    malloc_trim(0);
    const std::size_t held = mallinfo2().uordblks - heapBefore;
    report.table += fmt::format(
            "22,000 adapters, 270 models: text {:.1f} MB, {} parts of {:.2f} MB together, {} calls "
            "to record\n",
            megabytes(text.size()), parts, megabytes(first.partBytes()), service.calls);
    report.addFigure("large.read_and_check_processor", readMs, "ms");
    report.addFigure("large.record_processor", submitMs, "ms");
    report.addFigure("large.record_virtual", recordMs, "ms");
    report.addFigure("large.apply_processor", applyMs, "ms");
    report.addFigure("large.apply_one_adapter_processor", changeMs, "ms");
    report.addFigure("large.held_at_an_instance", megabytes(held), "MB");
    report.addFigure("large.peak_while_accepting", peak, "MB");
    report.requireAtMost("large.held_at_an_instance", 64);
    report.requireAtMost("large.peak_while_accepting", 64);

    NetworkModel model;
    Fleet fleet(model, seed);
    const auto outcome = submitAndWait(fleet, requestOf(large, Revision(), "large"));
    BC_INVARIANT(outcome.has_value(), "the large configuration is accepted");
    const auto spread = fleet.untilEverywhere(Revision(1), 20s);
    const double spreadMs = spread ? milliseconds(*spread) : 1e9;
    report.addFigure("large.spread_virtual", spreadMs, "ms");
    // The accepting instance applies, then the others do, at the same time.
    constexpr double hops = 2;
    report.addFigure("large.accepted_to_everywhere",
                     recordMs + spreadMs + hops * applyMs + submitMs, "ms");
    report.requireAtMost("large.accepted_to_everywhere", 4000);

    std::uint64_t greatest = 0;
    std::uint64_t total = 0;
    constexpr std::uint64_t changes = 50;
    for (std::uint64_t change = 0; change < changes; ++change) {
        auto &adapter = large.deployments[0].adapters[fleet.random.below(adapters)];
        adapter.memory = Bytes{adapter.memory.count + 1};
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < model.instances; ++i)
            before.push_back(fleet.bytesOf(i));
        const auto outcome = submitAndWait(
                fleet, requestOf(large, Revision(change + 1), fmt::format("change-{}", change)));
        BC_INVARIANT(outcome.has_value(), "a change of one adapter is accepted");
        fleet.untilEverywhere(Revision(change + 2), 20s);
        for (std::size_t i = 0; i < model.instances; ++i) {
            greatest = std::max(greatest, fleet.bytesOf(i) - before[i]);
            total += fleet.bytesOf(i) - before[i];
        }
    }
    report.addFigure("large.one_adapter_greatest", double(greatest), "bytes");
    report.addFigure("large.one_adapter_mean", double(total) / double(changes * model.instances),
                     "bytes");
    report.requireAtMost("large.one_adapter_greatest", 4095);
}

/// One way of measuring the spread.
struct SpreadCase
{
    const char *name;
    double datagramLoss;
    /// Whether the key-value service is down from the moment of acceptance.
    bool isDownAfterwards;
    /// Figure that is bounded, and its limit in milliseconds.
    const char *bounded;
    double limitMs;
};

constexpr SpreadCase spreadCases[] = {
        {"service_up", 0, false, ".p99", 1000},
        {"service_down", 0, true, ".greatest", 4000},
        {"service_down_lossy", 0.05, true, ".greatest", 4000},
};

/// Times from acceptance to in force everywhere.
void measureSpread(Report &report, std::uint64_t seed, const SpreadCase &each)
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
        const auto outcome = submitAndWait(
                fleet, requestOf(configuration, Revision(round), fmt::format("s-{}", round)));
        BC_INVARIANT(outcome.has_value(), "the submission is accepted");
        fleet.service.isDown = each.isDownAfterwards;
        const auto spread = fleet.untilEverywhere(Revision(round + 1), 10s);
        fleet.service.isDown = false;
        missed += spread ? 0 : 1;
        times.push_back(spread.value_or(10s));
    }
    const std::string name = each.name;
    report.addFigure(name + ".p50", milliseconds(quantile(times, 0.5)), "ms");
    report.addFigure(name + ".p99", milliseconds(quantile(times, 0.99)), "ms");
    report.addFigure(name + ".greatest", milliseconds(quantile(times, 1)), "ms");
    report.addFigure(name + ".missed", double(missed), "revisions");
    report.requireAtMost(name + each.bounded, each.limitMs);
    report.requireAtMost(name + ".missed", 0);
}

/// What became of the submissions of measureRaces.
struct RaceTally
{
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    std::uint64_t halfApplied = 0;
};

/// 200 submissions in a row, half of them racing, with lost calls and lost answers.
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
    // Content of every submission, by its id: the weight tells which one is in force.
    std::map<std::string, std::uint64_t> contents;
    std::map<std::uint64_t, std::string> acceptedIds;
    std::size_t sent = 0;
    while (sent < submissions) {
        const auto root = readRoot([&]() {
            const auto &entries = fleet.service.state.entries();
            const auto found = entries.find(std::string(rootKey));
            return found == entries.end() ? writeRoot({}) : found->second.value;
        }());
        const Revision expected = root.value().revision;
        // Two one after the other, then two racing, and so on: half of all submissions race.
        const std::size_t racers = sent % 4 < 2 ? 1 : 2;
        std::size_t open = racers;
        for (std::size_t i = 0; i < racers; ++i) {
            const std::string id = fmt::format("s-{}", sent);
            Configuration configuration = makeConfiguration(45, 65);
            configuration.deployments[0].models[0].memory = Bytes{1000 + sent};
            contents[id] = 1000 + sent;
            ++sent;
            const std::size_t at = fleet.random.below(fleet.model.instances);
            fleet.submit(at, requestOf(configuration, expected, id), [&, id](const auto &outcome) {
                --open;
                if (!outcome) {
                    const bool isUnknown
                            = outcome.error().kind() == ErrorKind::KeyValueOutcomeUnknown;
                    ++(isUnknown ? tally.unknown : tally.refused);
                } else if (const auto *won = std::get_if<SubmissionAccepted>(&outcome.value())) {
                    ++tally.accepted;
                    acceptedIds[won->root.revision.value()] = id;
                } else {
                    ++tally.conflicts;
                }
            });
        }
        while (open > 0)
            fleet.run(timeStep);
        for (std::size_t i = 0; i < fleet.model.instances; ++i) {
            const ConfigurationPointer &current = fleet.inForce(i).configuration();
            if (current == nullptr)
                continue;
            const std::string id = fleet.inForce(i).newest().submissionId.value();
            tally.halfApplied
                    += current->deployments[0].models[0].memory.count == contents[id] ? 0 : 1;
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
    report.addFigure("races.reverted", double(fleet.fallen), "revisions");
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
            model.instances, model.leastLatency.count(), model.greatestLatency.count(),
            model.datagramLoss * 100);
    measureLarge(report, arguments.seed);
    for (const SpreadCase &each : spreadCases)
        measureSpread(report, arguments.seed, each);
    measureRaces(report, arguments.seed);
    return report;
}

const RegisterExperiment registration("config", "configuration: acceptance to in force everywhere",
                                      run);

} // namespace

} // namespace bamboochute::bench
