#include "node/configuration_driver.hpp"

#include "admin/configuration_store.hpp"
#include "core/bounded_json.hpp"
#include "core/log.hpp"
#include "core/random.hpp"
#include "node/members.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace bamboochute::node {

namespace {

/// Instances that read the root every rootReadPeriod; the others learn of a new root by gossip.
constexpr std::size_t frequentReaderCount = 2;
constexpr Duration rootReadPeriod = std::chrono::seconds(2);
/// Instances that are not frequent readers read the root once in this many periods.
constexpr std::uint32_t roundsPerBackgroundRead = 30;
constexpr Duration partsRetryPeriod = std::chrono::milliseconds(250);
constexpr Duration partsCallTimeout = std::chrono::milliseconds(600);
/// Other instances that must have a new revision in force before its submission is answered.
constexpr std::size_t minCopiesBeforeAnswer = 2;
constexpr Duration copiesTimeout = std::chrono::milliseconds(1500);
constexpr Duration copiesPollPeriod = std::chrono::milliseconds(10);
constexpr Duration partCollectionPeriod = std::chrono::minutes(10);
/// One in this many attempts to fetch parts goes to the key-value service instead of a peer.
constexpr std::uint32_t attemptsPerKeyValueFetch = 3;

const peer::StateKey rootStateKey{{peer::Topic::ConfigurationRoot, ""}, ""};

peer::StateKey revisionStateKey(const InstanceId &instance)
{
    return {{peer::Topic::InForceRevision, instance.value()}, ""};
}

/// Payload of the topic ConfigurationRoot: the root and an instance that has its parts.
std::string serializeRootAnnouncement(const admin::ConfigurationRoot &root,
                                      const InstanceId &partsHolder)
{
    const auto object = nlohmann::json::array({admin::writeRoot(root), partsHolder.value()});
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    return bytes;
}

struct RootAnnouncement
{
    admin::ConfigurationRoot root;
    InstanceId partsHolder;
};

std::optional<RootAnnouncement> parseRootAnnouncement(std::string_view payload)
{
    const auto read = tryParseBoundedJson(payload, {}, nlohmann::json::input_format_t::cbor);
    if (!read || !read->is_array() || read->size() != 2 || !(*read)[0].is_string()
        || !(*read)[1].is_string())
        return std::nullopt;
    const auto root = admin::readRoot((*read)[0].get_ref<const std::string &>());
    if (!root)
        return std::nullopt;
    return RootAnnouncement{root.value(), InstanceId((*read)[1].get<std::string>())};
}

std::optional<Revision> parseRevision(std::string_view payload)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(payload.data(), payload.data() + payload.size(), number);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == payload.data() + payload.size();
    return isWhole ? std::optional(Revision(number)) : std::nullopt;
}

} // namespace

struct ConfigurationDriver::State : std::enable_shared_from_this<ConfigurationDriver::State>
{
    using Store = admin::ConfigurationStore<platform::KeyValueClient, Timers>;

    State(ControlContext &context, Timers &timers, platform::KeyValueClient &keyValue,
          GossipDriver &gossip, peer::CallClient &calls, ConfigurationCallbacks callbacks)
        : context(context)
        , timers(timers)
        , gossip(gossip)
        , calls(calls)
        , callbacks(std::move(callbacks))
        , store(keyValue, timers,
                [this](const admin::PartHash &hash) { return this->inForce.findPart(hash); })
        , random(context.incarnation.value())
    {}

    ControlContext &context;
    Timers &timers;
    GossipDriver &gossip;
    peer::CallClient &calls;
    ConfigurationCallbacks callbacks;
    admin::ConfigurationInForce inForce;
    Store store;
    Random random;
    InstanceId partsHolder;
    bool isFetching = false;
    bool wasReady = false;
    std::uint32_t fetchAttempts = 0;
    std::uint32_t readRounds = 0;

    const peer::Membership &membership() const { return this->gossip.gossip().membership(); }

    void applyStep(const admin::ConfigurationUpdate &step)
    {
        if (step.isNewRoot)
            this->fetchAttempts = 0;
        if (step.applied) {
            this->announceConfiguration();
            this->callbacks.onApplied(step.applied);
        }
        if (!step.wanted.hashes.empty())
            this->fetchParts();
        this->notifyReadinessChange();
    }

    void notifyReadinessChange()
    {
        const bool isReady = this->inForce.readiness().isReady;
        if (std::exchange(this->wasReady, isReady) != isReady)
            this->callbacks.onReadinessChanged();
    }

    /// Announces the configuration in force here, and its revision, to other instances.
    void announceConfiguration()
    {
        const admin::ConfigurationRoot &root = this->inForce.newest();
        const InstanceId &self = this->context.settings.instance;
        logEvent(LogLevel::Info, "configuration in force",
                 {{"revision", std::to_string(root.revision.value())}});
        const auto known = this->gossip.gossip().dissemination().find(rootStateKey);
        if (!known || known->version.fence < Fence(root.revision.value()))
            this->gossip.publish(rootStateKey, Fence(root.revision.value()),
                                 serializeRootAnnouncement(root, self));
        this->publishRevision();
    }

    void publishRevision()
    {
        this->gossip.publish(revisionStateKey(this->context.settings.instance),
                             Fence(this->context.incarnation.value()),
                             std::to_string(this->inForce.newest().revision.value()));
    }

    void fetchParts()
    {
        if (this->isFetching)
            return;
        const admin::PartsRequest wanted = this->inForce.wanted();
        if (wanted.hashes.empty())
            return;
        this->isFetching = true;
        ++this->fetchAttempts;
        const auto source = this->fetchAttempts % attemptsPerKeyValueFetch == 0
                                    ? std::nullopt
                                    : this->choosePartsSource();
        if (source)
            this->fetchFromPeer(*source, wanted);
        else
            this->fetchFromKeyValue(wanted);
    }

    /// At the first attempt the instance that announced the root, later a random one.
    std::optional<Endpoint> choosePartsSource()
    {
        if (this->fetchAttempts == 1) {
            if (auto endpoint = callEndpointOf(this->membership(), this->partsHolder))
                return endpoint;
        }
        const auto instances = usableInstances(this->membership(), true);
        if (instances.empty())
            return std::nullopt;
        return callEndpointOf(this->membership(), instances[this->random.below(instances.size())]);
    }

    void fetchFromPeer(const Endpoint &source, const admin::PartsRequest &wanted)
    {
        peer::ConfigurationPartsRequest request;
        for (const admin::PartHash &hash : wanted.hashes)
            request.parts.push_back({hash.value(), 0});
        this->calls.call(
                source, request, partsCallTimeout,
                [weak = this->weak_from_this()](Result<peer::ConfigurationPartsAnswer> answer) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    admin::PartsResponse given;
                    if (answer) {
                        for (const peer::PartChunk &chunk : answer.value().chunks)
                            given.parts.push_back(chunk.bytes);
                    }
                    self->onPartsFetched(given);
                });
    }

    void fetchFromKeyValue(const admin::PartsRequest &wanted)
    {
        this->store.readParts(
                wanted, [weak = this->weak_from_this()](Result<admin::PartsResponse> given) {
                    if (const auto self = weak.lock())
                        self->onPartsFetched(given ? given.value() : admin::PartsResponse{});
                });
    }

    void onPartsFetched(const admin::PartsResponse &given)
    {
        this->isFetching = false;
        if (!given.parts.empty()) {
            this->applyStep(this->inForce.onPartsResponse(given));
            return;
        }
        this->timers.after(partsRetryPeriod, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->fetchParts();
        });
    }

    bool isFrequentReader() const
    {
        const auto instances = usableInstances(this->membership(), false);
        for (std::size_t rank = 0; rank < frequentReaderCount; ++rank) {
            if (rendezvousInstance(instances, "configuration-root", rank)
                == this->context.settings.instance)
                return true;
        }
        return false;
    }

    void readRoot()
    {
        ++this->readRounds;
        const bool isDue
                = this->readRounds % roundsPerBackgroundRead == 0 || this->isFrequentReader();
        if (this->inForce.readiness().isReady && !isDue)
            return;
        this->store.readNewestRoot([weak = this->weak_from_this()](auto root) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (root)
                self->applyStep(self->inForce.onRootRead(root.value()));
            else
                self->inForce.onKeyValueUnavailable();
            self->notifyReadinessChange();
        });
    }

    void handleRevisionAnnouncement(const InstanceId &instance, std::string_view payload)
    {
        const auto revision = parseRevision(payload);
        if (!revision || instance == this->context.settings.instance)
            return;
        this->inForce.onPeerRevision(instance, *revision);
        this->notifyReadinessChange();
    }

    void handleRootAnnouncement(std::string_view payload)
    {
        const auto announcement = parseRootAnnouncement(payload);
        if (!announcement)
            return;
        this->partsHolder = announcement->partsHolder;
        this->applyStep(
                this->inForce.onRootAnnounced(announcement->partsHolder, {announcement->root, {}}));
    }

    std::map<InstanceId, Revision> revisions() const
    {
        std::map<InstanceId, Revision> all;
        const peer::Dissemination &dissemination = this->gossip.gossip().dissemination();
        for (const std::string &scope : dissemination.scopes(peer::Topic::InForceRevision)) {
            const auto entry = dissemination.find(revisionStateKey(InstanceId(scope)));
            const auto revision = entry ? parseRevision(entry->payload) : std::nullopt;
            if (revision)
                all[InstanceId(scope)] = *revision;
        }
        return all;
    }

    bool hasEnoughCopies(Revision revision) const
    {
        const auto others = usableInstances(this->membership(), true);
        const auto known = this->revisions();
        const auto copies
                = std::count_if(others.begin(), others.end(), [&](const InstanceId &each) {
                      const auto found = known.find(each);
                      return found != known.end() && found->second >= revision;
                  });
        return static_cast<std::size_t>(copies) >= std::min(minCopiesBeforeAnswer, others.size());
    }

    void answerWhenCopied(const admin::SubmissionAccepted &accepted, TimePoint until,
                          std::function<void(Result<admin::SubmitOutcome>)> done)
    {
        if (this->hasEnoughCopies(accepted.root.revision) || this->context.clock.now() >= until) {
            done(admin::SubmitOutcome(accepted));
            return;
        }
        this->timers.after(copiesPollPeriod,
                           [weak = this->weak_from_this(), accepted, until, done] {
                               if (const auto self = weak.lock())
                                   self->answerWhenCopied(accepted, until, done);
                           });
    }

    void onSubmitted(Result<admin::SubmitOutcome> outcome,
                     std::function<void(Result<admin::SubmitOutcome>)> done)
    {
        const auto *accepted
                = outcome ? std::get_if<admin::SubmissionAccepted>(&outcome.value()) : nullptr;
        if (accepted == nullptr || accepted->isDryRun) {
            done(std::move(outcome));
            return;
        }
        this->applyStep(this->inForce.onRootAnnounced(this->context.settings.instance,
                                                      {accepted->root, accepted->newParts}));
        this->answerWhenCopied(*accepted, this->context.clock.now() + copiesTimeout,
                               std::move(done));
    }

    void runPartCollection()
    {
        const auto instances = usableInstances(this->membership(), false);
        if (rendezvousInstance(instances, "configuration-collection", 0)
            != this->context.settings.instance)
            return;
        this->store.collectGarbage([](const Result<admin::GarbageCollectionReport> &) {});
    }
};

ConfigurationDriver::ConfigurationDriver(ControlContext &context, Timers &timers,
                                         platform::KeyValueClient &keyValue, GossipDriver &gossip,
                                         peer::CallClient &calls, ConfigurationCallbacks callbacks)
    : state(std::make_shared<State>(context, timers, keyValue, gossip, calls, std::move(callbacks)))
{}

ConfigurationDriver::~ConfigurationDriver() = default;

void ConfigurationDriver::start()
{
    this->state->publishRevision();
    this->state->readRoot();
    this->state->timers.every(rootReadPeriod, [weak = std::weak_ptr(this->state)] {
        if (const auto self = weak.lock())
            self->readRoot();
    });
    this->state->timers.every(partCollectionPeriod, [weak = std::weak_ptr(this->state)] {
        if (const auto self = weak.lock())
            self->runPartCollection();
    });
}

void ConfigurationDriver::onStateChanged(const peer::StateDelta &delta)
{
    if (delta.key.stream.topic == peer::Topic::ConfigurationRoot)
        this->state->handleRootAnnouncement(delta.payload);
    else if (delta.key.stream.topic == peer::Topic::InForceRevision)
        this->state->handleRevisionAnnouncement(InstanceId(delta.key.stream.scope), delta.payload);
}

void ConfigurationDriver::onMembersChanged()
{
    const auto others = usableInstances(this->state->membership(), true);
    this->state->inForce.onPeers({others.begin(), others.end()});
    this->state->notifyReadinessChange();
}

peer::ConfigurationPartsAnswer
ConfigurationDriver::onPartsRequest(const peer::ConfigurationPartsRequest &request)
{
    peer::ConfigurationPartsAnswer answer;
    std::size_t bytes = 0;
    for (const peer::PartPosition &position : request.parts) {
        const std::string *part = this->state->inForce.findPart(admin::PartHash(position.hash));
        if (part == nullptr || bytes + part->size() > peer::maxChunkBytes)
            continue;
        bytes += part->size();
        answer.chunks.push_back({position.hash, 0, part->size(), *part});
    }
    return answer;
}

void ConfigurationDriver::submit(admin::SubmitRequest request,
                                 std::function<void(Result<admin::SubmitOutcome>)> done)
{
    this->state->store.submit(std::move(request), [weak = std::weak_ptr(this->state),
                                                   done = std::move(done)](auto outcome) {
        if (const auto self = weak.lock())
            self->onSubmitted(std::move(outcome), done);
    });
}

void ConfigurationDriver::history(
        std::function<void(Result<std::vector<admin::ConfigurationRoot>>)> done)
{
    this->state->store.readHistory(std::move(done));
}

const admin::ConfigurationInForce &ConfigurationDriver::inForce() const
{
    return this->state->inForce;
}

std::map<InstanceId, Revision> ConfigurationDriver::revisions() const
{
    return this->state->revisions();
}

} // namespace bamboochute::node
