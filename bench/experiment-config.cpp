// Experiment "config": from a submission to the configuration in force at every instance.
#include "../tests/admin/virtual_service.hpp"
#include "experiment.hpp"

#include "admin/configuration_check.hpp"
#include "admin/configuration_format.hpp"
#include "admin/configuration_in_force.hpp"
#include "admin/digest.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

namespace bamboochute::bench {

namespace {

using namespace admin;
using namespace std::chrono_literals;

/// The network and the gossip as parameters; the gossip itself is measured elsewhere.
struct NetworkModel
{
    std::size_t instances = 12;
    /// One-way time of a datagram or half of a call, with the time to handle it.
    Duration leastLatency = 500us;
    Duration greatestLatency = 5ms;
    /// Instances that an instance tells at once when it learns a newer root.
    std::size_t fanout = 3;
    /// Time between two tellings of the newest root to one random instance.
    Duration gossipPeriod = 200ms;
    double datagramLoss = 0.05;
};

/// Instances with their configuration in force, a shared key-value service and virtual time.
class Fleet
{
public:
    Fleet(const NetworkModel &model, std::uint64_t seed)
        : model(model)
        , random(seed)
    {
        for (std::size_t i = 0; i < model.instances; ++i)
            this->nodes.push_back(std::make_unique<Node>(*this));
        for (std::size_t i = 0; i < model.instances; ++i)
            this->scheduleGossip(i);
    }

    using Submitted = std::function<void(Result<SubmitOutcome>)>;

    void submit(std::size_t at, SubmitRequest request, Submitted done)
    {
        this->nodes[at]->store.submit(std::move(request), [this, at, done](auto outcome) {
            if (outcome) {
                if (const auto *accepted = std::get_if<SubmissionAccepted>(&outcome.value()))
                    this->onAccepted(at, *accepted);
            }
            done(std::move(outcome));
        });
    }

    /// Runs until every instance has the revision; returns the time since the start or none.
    std::optional<Duration> untilEverywhere(Revision revision, Duration limit)
    {
        const TimePoint start = this->time.now();
        while (this->time.now() < start + limit) {
            if (this->isEverywhere(revision))
                return this->lastApplied - start;
            this->time.runUntil(this->time.now() + 1ms);
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
    };

    Duration latency()
    {
        const auto span
                = std::uint64_t((this->model.greatestLatency - this->model.leastLatency).count());
        return this->model.leastLatency + Duration(this->random.below(span + 1));
    }

    void onAccepted(std::size_t at, const SubmissionAccepted &accepted)
    {
        const auto step = this->nodes[at]->inForce.onRootAnnounced(
                InstanceId("self"), {accepted.root, accepted.newParts});
        this->take(at, at, step);
    }

    void take(std::size_t at, std::size_t holder, const InForceStep &step)
    {
        if (step.applied != nullptr) {
            const std::uint64_t revision = step.applied->revision.value();
            this->fallen += revision < this->nodes[at]->shownRevision ? 1 : 0;
            this->nodes[at]->shownRevision = revision;
            this->lastApplied = this->time.now();
            for (std::size_t i = 0; i < this->model.fanout; ++i)
                this->tell(at, this->random.below(this->nodes.size()));
        }
        if (!step.wanted.hashes.empty())
            this->fetch(at, holder, step.wanted);
    }

    void scheduleGossip(std::size_t at)
    {
        this->time.after(this->model.gossipPeriod, [this, at]() {
            this->tell(at, this->random.below(this->nodes.size()));
            this->scheduleGossip(at);
        });
    }

    /// Sends the newest complete root by a datagram that may be lost.
    void tell(std::size_t from, std::size_t to)
    {
        if (from == to || this->random.chance(this->model.datagramLoss))
            return;
        const RootAnnounced message{this->nodes[from]->inForce.newest(), {}};
        this->time.after(this->latency(), [this, from, to, message]() {
            const auto known = this->nodes[to]->inForce.newest().revision;
            if (message.root.revision > known)
                this->nodes[to]->bytes += writeRoot(message.root).size();
            this->take(to, from,
                       this->nodes[to]->inForce.onRootAnnounced(
                               InstanceId(fmt::format("i{}", from)), message));
        });
    }

    /// Asks the holder for parts and goes on until nothing is missing.
    void fetch(std::size_t at, std::size_t holder, const PartsWanted &wanted)
    {
        this->nodes[at]->bytes += wanted.hashes.size() * wanted.hashes.front().value().size();
        this->time.after(this->latency() + this->latency(), [this, at, holder, wanted]() {
            const PartsGiven given = this->nodes[holder]->inForce.answer(wanted);
            for (const std::string &text : given.parts)
                this->nodes[at]->bytes += text.size();
            this->take(at, holder, this->nodes[at]->inForce.onPartsGiven(given));
        });
    }

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

/// Real time that a function takes.
template<typename Function>
double measureMs(Function function)
{
    const auto start = std::chrono::steady_clock::now();
    function();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
            .count();
}

double megabytes(std::size_t bytes)
{
    return double(bytes) / double(1 << 20);
}

double peakMegabytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return double(usage.ru_maxrss) / 1024;
}

/// Submits one configuration at a random instance and waits for its acceptance.
Result<SubmitOutcome> submitAndWait(Fleet &fleet, SubmitRequest request)
{
    std::optional<Result<SubmitOutcome>> outcome;
    const std::size_t at = fleet.random.below(fleet.model.instances);
    fleet.submit(at, std::move(request), [&](Result<SubmitOutcome> result) { outcome = result; });
    while (!outcome)
        fleet.time.runUntil(fleet.time.now() + 1ms);
    return *outcome;
}

/// 22,000 adapters and 270 models: processor time, memory and time in the network.
void measureLarge(Report &report, std::uint64_t seed)
{
    constexpr std::size_t models = 270;
    constexpr std::size_t adapters = 22000;
    Configuration large = makeConfiguration(models, adapters);
    const std::string text = writeConfiguration(large);
    const double peakBefore = peakMegabytes();
    const std::size_t heapBefore = mallinfo2().uordblks;
    ConfigurationInForce first;
    SubmissionAccepted accepted;
    std::optional<Configuration> read;
    const double readMs = measureMs([&]() { read = readConfiguration(text).value(); });
    const double peakRead = peakMegabytes();
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
    accepted = {};
    service.state = {};
    malloc_trim(0);
    const std::size_t held = mallinfo2().uordblks - heapBefore;
    report.table += fmt::format(
            "22,000 adapters, 270 models: text {:.1f} MB, {} parts of {:.2f} MB together, {} calls "
            "to record\n",
            megabytes(text.size()), parts, megabytes(first.partBytes()), service.calls);
    report.figure("large.read_and_check", readMs, "ms");
    report.figure("large.record_processor", submitMs, "ms");
    report.figure("large.record_virtual", recordMs, "ms");
    report.figure("large.apply_processor", applyMs, "ms");
    report.figure("large.held_at_an_instance", megabytes(held), "MB");
    report.figure("large.peak_rise_while_reading", peakRead - peakBefore, "MB");
    report.atMost("large.held_at_an_instance", 64);
    report.atMost("large.peak_rise_while_reading", 64);

    NetworkModel model;
    Fleet fleet(model, seed);
    const auto outcome = submitAndWait(fleet, requestOf(large, Revision(), "large"));
    BC_INVARIANT(outcome.has_value(), "the large configuration is accepted");
    const auto spread = fleet.untilEverywhere(Revision(1), 20s);
    const double spreadMs = spread ? milliseconds(*spread) : 1e9;
    report.figure("large.spread_virtual", spreadMs, "ms");
    // Every hop of the spread applies before it tells others; three hops reach twelve instances.
    constexpr double hops = 3;
    report.figure("large.accepted_to_everywhere", recordMs + spreadMs + hops * applyMs + submitMs,
                  "ms");
    report.atMost("large.accepted_to_everywhere", 4000);

    std::uint64_t greatest = 0;
    std::uint64_t total = 0;
    constexpr std::uint64_t changes = 50;
    for (std::uint64_t change = 0; change < changes; ++change) {
        auto &adapter = large.deployments[0].adapters[fleet.random.below(adapters)];
        adapter.memory = Bytes{adapter.memory.count + 1};
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < model.instances; ++i)
            before.push_back(fleet.bytesOf(i));
        const auto changed = submitAndWait(
                fleet, requestOf(large, Revision(change + 1), fmt::format("change-{}", change)));
        BC_INVARIANT(changed.has_value(), "a change of one adapter is accepted");
        fleet.untilEverywhere(Revision(change + 2), 20s);
        for (std::size_t i = 0; i < model.instances; ++i) {
            greatest = std::max(greatest, fleet.bytesOf(i) - before[i]);
            total += fleet.bytesOf(i) - before[i];
        }
    }
    report.figure("large.one_adapter_greatest", double(greatest), "bytes");
    report.figure("large.one_adapter_mean", double(total) / double(changes * model.instances),
                  "bytes");
    report.atMost("large.one_adapter_greatest", 4095);
}

/// Times from acceptance to in force everywhere, with the service up or down from acceptance on.
void measureSpread(Report &report, std::uint64_t seed, bool isDownAfterwards)
{
    constexpr std::size_t rounds = 200;
    std::vector<Duration> times;
    std::uint64_t missed = 0;
    Fleet fleet(NetworkModel(), seed);
    Configuration configuration = makeConfiguration(45, 65);
    for (std::size_t round = 0; round < rounds; ++round) {
        configuration.deployments[0].adapters[round % 65].memory = Bytes{1000 + round};
        const auto outcome = submitAndWait(
                fleet, requestOf(configuration, Revision(round), fmt::format("s-{}", round)));
        BC_INVARIANT(outcome.has_value(), "the submission is accepted");
        fleet.service.isDown = isDownAfterwards;
        const auto spread = fleet.untilEverywhere(Revision(round + 1), 10s);
        fleet.service.isDown = false;
        missed += spread ? 0 : 1;
        times.push_back(spread.value_or(10s));
    }
    const std::string name = isDownAfterwards ? "service_down" : "service_up";
    report.figure(name + ".p50", milliseconds(quantile(times, 0.5)), "ms");
    report.figure(name + ".p99", milliseconds(quantile(times, 0.99)), "ms");
    report.figure(name + ".greatest", milliseconds(quantile(times, 1)), "ms");
    report.figure(name + ".missed", double(missed), "revisions");
    report.atMost(name + (isDownAfterwards ? ".greatest" : ".p99"), isDownAfterwards ? 4000 : 1000);
    report.atMost(name + ".missed", 0);
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
        // One alone, then two racing, then one alone, then two, …: three in four rounds race.
        const std::size_t racers = sent % 4 < 2 ? 1 : 2;
        std::size_t open = racers;
        for (std::size_t i = 0; i < racers; ++i) {
            const std::string id = fmt::format("s-{}", sent);
            Configuration configuration = makeConfiguration(45, 65);
            configuration.deployments[0].models[0].memory = Bytes{1000 + sent};
            contents[id] = 1000 + sent;
            ++sent;
            const std::size_t at = fleet.random.below(fleet.model.instances);
            fleet.submit(at, requestOf(configuration, expected, id), [&, id](auto outcome) {
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
            fleet.time.runUntil(fleet.time.now() + 1ms);
        for (std::size_t i = 0; i < fleet.model.instances; ++i) {
            const ConfigurationPointer &current = fleet.inForce(i).configuration();
            if (current == nullptr)
                continue;
            const std::string id = fleet.inForce(i).newest().submissionId.value();
            tally.halfApplied
                    += current->deployments[0].models[0].memory.count == contents[id] ? 0 : 1;
        }
    }
    fleet.time.runUntil(fleet.time.now() + 5s);
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
    report.figure("races.accepted", double(tally.accepted), "submissions");
    report.figure("races.lost", double(tally.lost), "submissions");
    report.figure("races.reverted", double(fleet.fallen), "revisions");
    report.figure("races.half_applied", double(tally.halfApplied), "instances");
    report.atMost("races.lost", 0);
    report.atMost("races.reverted", 0);
    report.atMost("races.half_applied", 0);
}

Report run(const ExperimentArguments &arguments)
{
    Report report;
    const NetworkModel model;
    report.table = fmt::format(
            "{} instances; virtual time; one way {} to {} us, {} told at once, one more every {} "
            "ms, {}% of datagrams lost; key-value call 2 ms\n",
            model.instances, model.leastLatency.count(), model.greatestLatency.count(),
            model.fanout, model.gossipPeriod.count() / 1000, model.datagramLoss * 100);
    measureLarge(report, arguments.seed);
    measureSpread(report, arguments.seed, false);
    measureSpread(report, arguments.seed, true);
    measureRaces(report, arguments.seed);
    return report;
}

const RegisterExperiment registration("config", "configuration: acceptance to in force everywhere",
                                      run);

} // namespace

} // namespace bamboochute::bench
