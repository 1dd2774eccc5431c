#include "residency/owner_election.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

/// A store with the owner's record alone, which can come back from a copy.
struct RecordStore
{
    struct State
    {
        std::optional<OwnerRecord> record;
        std::uint64_t recordRevision = 0;
        /// Record of the last owner and its revision; has no lease.
        std::optional<OwnerRecord> last;
        std::uint64_t lastRevision = 0;
        std::uint64_t revision = 10;
    };

    OwnershipPort makePort()
    {
        OwnershipPort port;
        port.acquire
                = [this](OwnershipRequest request) -> upstream::Awaitable<Result<OwnershipGrant>> {
            co_return acquire(request);
        };
        port.renew = [this](std::uint64_t lease) -> upstream::Awaitable<Result<bool>> {
            if (isAway)
                co_return Error(ErrorKind::KeyValueUnavailable, "the store does not answer");
            if (state.recordRevision != lease)
                co_return Error(ErrorKind::NotOwner, "the lease has ended");
            co_return true;
        };
        port.release = [this](std::uint64_t lease) -> upstream::Awaitable<void> {
            if (isReleasable && state.recordRevision == lease)
                lapse();
            co_return;
        };
        port.recordConsenters
                = [this](std::uint64_t nonce,
                         std::vector<InstanceId> consenters) -> upstream::Awaitable<Result<bool>> {
            if (isAway)
                co_return Error(ErrorKind::KeyValueUnavailable, "the store does not answer");
            if (!state.last || state.last->nonce != nonce)
                co_return false;
            state.last->consenters = std::move(consenters);
            co_return true;
        };
        return port;
    }

    Result<OwnershipGrant> acquire(const OwnershipRequest &request)
    {
        if (isAway)
            return Error(ErrorKind::KeyValueUnavailable, "the store does not answer");
        const std::uint64_t present = state.record ? state.recordRevision : 0;
        if (request.replacedRevision.value_or(0) != present)
            return Error(ErrorKind::KeyValueConflict, "another instance is the owner");
        const std::optional<ObservedOwner> last
                = state.last ? std::optional<ObservedOwner>(
                          {*state.last, state.last->fenceAt(state.lastRevision),
                           state.lastRevision})
                             : std::nullopt;
        if (!request.mayFollow(last))
            return Error(ErrorKind::KeyValueConflict, "another instance was the last owner");
        OwnershipGrant grant = prepareGrant(request, last, era);
        grant.sentAt = BootClock().now();
        grant.revision = ++state.revision;
        grant.lease = grant.revision;
        grant.fence = grant.record.fenceAt(grant.revision);
        state.record = grant.record;
        state.recordRevision = grant.revision;
        state.last = grant.record;
        state.lastRevision = grant.revision;
        if (onAcquired)
            onAcquired();
        return grant;
    }

    /// Removes the owner's record, as when its lease has ended.
    void lapse()
    {
        state.record.reset();
        state.recordRevision = 0;
    }

    std::optional<ObservedOwner> observed() const
    {
        if (!state.record)
            return std::nullopt;
        return ObservedOwner{*state.record, state.record->fenceAt(state.recordRevision),
                             state.recordRevision};
    }

    std::uint64_t era = 1;
    State state;
    bool isAway = false;
    /// Called when the ownership was acquired, before the answer to the call.
    std::function<void()> onAcquired;
    /// Whether the end of a lease removes the record.
    bool isReleasable = false;
};

struct Candidate
{
    Candidate(boost::asio::io_context &loop, RecordStore &store, const std::string &name)
        : election(loop, makeSettings(name), store.makePort())
    {
        election.handleStoreEra(store.era);
        election.start();
    }

    static ElectionSettings makeSettings(const std::string &name)
    {
        ElectionSettings settings;
        settings.self.instance = InstanceId(name);
        settings.maxCampaignJitter = 1ms;
        settings.times.timeToLive = 2s;
        settings.seed = name.size();
        return settings;
    }

    OwnerElection election;
};

/// Instances before engines that don't check fencing numbers; they answer each other's questions.
class UnfencedFleet
{
public:
    explicit UnfencedFleet(RecordStore &store)
        : store(store)
    {}

    OwnerElection &add(const std::string &name)
    {
        ElectionSettings settings = Candidate::makeSettings(name);
        settings.areEnginesFenced = false;
        settings.times.timeToLive = 200ms;
        settings.times.handoverPause = 300ms;
        settings.consentInterval = 20ms;
        settings.consentDelay = 40ms;
        settings.lastOwnerHeadStart = this->headStart;
        settings.maxTimeWithoutStore = this->maxTimeWithoutStore;
        settings.finalConsentTime = this->finalConsentTime;
        settings.self.endpoint = {name, 1};
        settings.seed += this->added++;
        auto added = std::make_unique<OwnerElection>(this->loop, settings, this->makePort(name));
        OwnerElection &election = *added;
        election.sendNotice = [this, name](const Endpoint &to, const CandidateNotice &notice) {
            const auto receiver = this->instances.find(to.address);
            if (receiver == this->instances.end() || this->silent.contains(to.address))
                return;
            const auto answer = receiver->second->answerNotice(notice, {name, 1});
            if (answer)
                this->instances.at(name)->handleNoticeAnswer(*answer);
        };
        election.askForConsent = [this, &election](const auto &, const ConsentQuery &query) {
            for (const auto &[other, instance] : this->instances) {
                if (instance.get() != &election && !this->silent.contains(other))
                    election.handleConsentAnswer(
                            instance->answerConsentQuery(query, this->storeSilences[other]));
            }
        };
        this->storeSilences[name] = 10s;
        std::swap(this->instances[name], added);
        this->ended.push_back(std::move(added));
        election.handleStoreEra(this->store.era);
        election.start();
        return election;
    }

    void reportTo(OwnerElection &owner, const std::string &name)
    {
        owner.recordMember(InstanceId(name), {"127.0.0.1", 1});
    }

    /// Brings an instance what the store has of the present and the last owner.
    void showRecords(OwnerElection &election)
    {
        election.handleLastOwner(this->store.state.last);
        election.handleOwnerRecord(this->store.observed());
    }

    /// Returns the calls of an instance to the store, which may turn it away.
    OwnershipPort makePort(const std::string &name)
    {
        OwnershipPort port = this->store.makePort();
        port.renew = [this, name, renew = port.renew](
                             std::uint64_t lease) -> upstream::Awaitable<Result<bool>> {
            if (this->turnedAway.contains(name))
                co_return Error(ErrorKind::KeyValueUnavailable, "the store turns this one away");
            co_return co_await renew(lease);
        };
        return port;
    }

    void stop()
    {
        this->store.isAway = false;
        for (auto &[name, election] : this->instances)
            election->resign();
        this->loop.run_for(60ms);
    }

    boost::asio::io_context loop{1};
    RecordStore &store;
    std::map<std::string, std::unique_ptr<OwnerElection>> instances;
    /// Time since the store last answered each instance; unset while it does.
    std::map<std::string, std::optional<Duration>> storeSilences;
    /// Processes that were replaced by later ones of their instances.
    std::vector<std::unique_ptr<OwnerElection>> ended;
    /// Instances that don't answer questions.
    std::set<std::string> silent;
    /// Instances whose renewals the store rejects.
    std::set<std::string> turnedAway;
    Duration maxTimeWithoutStore = 30s;
    Duration finalConsentTime = 10s;
    std::uint64_t added = 0;
    /// Head start of the last owner after a restart of all.
    Duration headStart = 60ms;
};

} // namespace

TEST_CASE("a successor's fencing number is above those of the eras that the store has forgotten")
{
    CHECK(lowestSuccessor({}, 3) == Fence());
    CHECK(lowestSuccessor({{Fence(), 0}}, 3) == Fence());
    CHECK(lowestSuccessor({{Fence(70), 2}, {Fence(50), 2}}, 2) == Fence(71));
    SUBCASE("one era has passed")
    {
        CHECK(lowestSuccessor({{Fence(70), 2}}, 3) == Fence(71 + fenceStepPerEra));
    }
    SUBCASE("the record of an earlier release names no era")
    {
        CHECK(lowestSuccessor({{Fence(70), 0}}, 3) == Fence(71));
    }
    SUBCASE("the same copy came back twice, and the owner between is forgotten")
    {
        const Fence between = lowestSuccessor({{Fence(70), 2}}, 3);
        CHECK(lowestSuccessor({{Fence(70), 2}}, 4) > Fence(between.value() + fenceStepPerEra / 2));
    }
    SUBCASE("an absurd era does not overflow")
    {
        CHECK(lowestSuccessor({{Fence(70), 1}}, ~std::uint64_t(0)) > Fence(70));
    }
}

// Guards against two owners, and against orders with a lower fencing number, after the store came
// back from a copy that lacks the owner.
TEST_CASE("an owner stops when the store comes back from a copy, and its successor's number is "
          "higher")
{
    boost::asio::io_context loop(1);
    RecordStore store;
    Candidate first(loop, store, "first");
    first.election.handleOwnerRecord(std::nullopt);
    const RecordStore::State copy = store.state;
    loop.run_for(50ms);
    REQUIRE(first.election.isOwner());
    const Fence formerFence = first.election.fence();

    store.state = copy;
    store.era = 2;
    first.election.handleStoreEra(2);
    CHECK_FALSE(first.election.isOwner());
    CHECK_FALSE(first.election.maySendOrders());
    CHECK_FALSE(first.election.owner());

    SUBCASE("the same instance takes over again at once")
    {
        first.election.handleOwnerRecord(std::nullopt);
        loop.run_for(50ms);
        CHECK(first.election.maySendOrders());
        CHECK(first.election.fence() > formerFence);
    }
    SUBCASE("another one that knew the owner does")
    {
        Candidate second(loop, store, "second-one");
        second.election.handleOwnerMessage(formerFence);
        second.election.handleOwnerRecord(std::nullopt);
        loop.run_for(50ms);
        CHECK(second.election.isOwner());
        CHECK_FALSE(second.election.maySendOrders());
        CHECK(second.election.fence() > formerFence);
    }
    first.election.resign();
    loop.run_for(20ms);
}

// Guards against engines that get no orders, and models that nobody loads, for as long as the store
// is away.
TEST_CASE("before engines that check no fencing numbers, an owner goes on without the store if all "
          "others leave it the ownership")
{
    RecordStore store;
    UnfencedFleet fleet(store);
    OwnerElection &owner = fleet.add("owner");
    OwnerElection &second = fleet.add("second-one");
    OwnerElection &third = fleet.add("the-third-one");
    owner.handleOwnerRecord(std::nullopt);
    fleet.loop.run_for(20ms);
    REQUIRE(owner.maySendOrders());
    for (OwnerElection *other : {&second, &third})
        fleet.showRecords(*other);
    fleet.reportTo(owner, "second-one");
    fleet.reportTo(owner, "the-third-one");
    fleet.loop.run_for(150ms);

    SUBCASE("it goes on for much longer than its lease, and after the store's return")
    {
        store.isAway = true;
        for (int i = 0; i < 12; ++i) {
            fleet.loop.run_for(50ms);
            CHECK(owner.maySendOrders());
            CHECK(owner.isOwner());
        }
        SUBCASE("its lease has lapsed: it is the first to become the owner again, and orders at "
                "once")
        {
            store.isAway = false;
            store.lapse();
            for (auto &[name, election] : fleet.instances)
                fleet.showRecords(*election);
            fleet.loop.run_for(320ms);
            CHECK(owner.maySendOrders());
            CHECK_FALSE(second.isOwner());
            CHECK_FALSE(third.isOwner());
        }
    }
    // Guards against a takeover that waits for the end of a consent: the others rely on the owner's
    // word of the store, and have not asked it themselves.
    SUBCASE("it alone is cut off from the store: nobody consents, and another one takes its place")
    {
        store.isAway = true;
        for (auto &[name, silence] : fleet.storeSilences)
            silence.reset();
        fleet.loop.run_for(250ms);
        CHECK_FALSE(owner.maySendOrders());
        store.isAway = false;
        store.lapse();
        owner.setEligible(false);
        fleet.showRecords(second);
        fleet.loop.run_for(100ms);
        CHECK(second.isOwner());
    }
    SUBCASE("one of the others does not answer: it stops with its lease")
    {
        fleet.silent.insert("second-one");
        store.isAway = true;
        fleet.loop.run_for(250ms);
        CHECK_FALSE(owner.maySendOrders());
    }
    SUBCASE("the store answers one of the others: that one becomes the owner")
    {
        store.isAway = true;
        fleet.loop.run_for(250ms);
        REQUIRE(owner.maySendOrders());
        fleet.storeSilences["second-one"] = 0ms;
        fleet.loop.run_for(50ms);
        CHECK_FALSE(owner.maySendOrders());

        SUBCASE("not before the time for which it left the ownership to the former owner")
        {
            store.isAway = false;
            store.lapse();
            const TimePoint before = BootClock().now();
            fleet.showRecords(second);
            while (!second.maySendOrders() && BootClock().now() < before + 2s) {
                fleet.loop.run_for(5ms);
                CHECK_FALSE((second.isOwner() && owner.maySendOrders()));
            }
            CHECK(second.maySendOrders());
            CHECK(BootClock().now() >= before + 240ms);
        }
    }
    SUBCASE("an instance that was asked while it acquires the ownership does not leave it")
    {
        CHECK_FALSE(owner.answerConsentQuery({Fence(900), 1, 1s}, 10s).isGranted);
        CHECK(second.answerConsentQuery({owner.fence(), 1, 1s}, 10s).isGranted);
        CHECK_FALSE(second.answerConsentQuery({Fence(1), 1, 1s}, 10s).isGranted);
        second.resign();
        CHECK(second.answerConsentQuery({owner.fence(), 2, 1s}, 10s).isFinal);
    }
    fleet.stop();
}

// Guards against the orders of two owners within the handover pause after a planned stop of the
// first one, at engines that check no fencing numbers: it sends orders until it stops.
TEST_CASE("the first order of a successor follows the last one of an owner that stops by the whole "
          "handover pause")
{
    RecordStore store;
    store.isReleasable = true;
    UnfencedFleet fleet(store);
    fleet.headStart = 0ms;
    OwnerElection &owner = fleet.add("owner");
    OwnerElection &successor = fleet.add("successor");
    owner.handleOwnerRecord(std::nullopt);
    fleet.loop.run_for(20ms);
    REQUIRE(owner.maySendOrders());
    fleet.showRecords(successor);
    // The successor has run for longer than what a process before it could have consented to.
    fleet.loop.run_for(250ms);
    REQUIRE(owner.maySendOrders());
    const TimePoint lastOrder = BootClock().now();
    owner.resign();
    while (!successor.maySendOrders() && BootClock().now() < lastOrder + 2s) {
        fleet.showRecords(successor);
        fleet.loop.run_for(2ms);
    }
    CHECK(successor.maySendOrders());
    CHECK(BootClock().now() >= lastOrder + 300ms);
    fleet.stop();
}

// Guards against two owners that order in turn: the former one goes on by the consent of instances
// that have ended since, and does not know of one that came in their place.
TEST_CASE(
        "an instance that starts while the owner goes on without the store orders only after that "
        "one has stopped")
{
    RecordStore store;
    UnfencedFleet fleet(store);
    fleet.maxTimeWithoutStore = 900ms;
    OwnerElection &owner = fleet.add("owner");
    OwnerElection &leaver = fleet.add("leaver");
    owner.handleOwnerRecord(std::nullopt);
    fleet.loop.run_for(20ms);
    REQUIRE(owner.maySendOrders());
    fleet.showRecords(leaver);
    fleet.reportTo(owner, "leaver");
    fleet.loop.run_for(150ms);

    fleet.turnedAway.insert("owner");
    leaver.resign();
    fleet.loop.run_for(250ms);
    fleet.silent.insert("leaver");
    REQUIRE(owner.maySendOrders());
    store.lapse();
    std::string name = "newcomer";
    bool isOwnerReached = true;
    Duration unheardFor{};

    SUBCASE("at another address") {}
    // Guards against a pause that is too short because the new record is read before the answer to
    // the call that wrote it.
    SUBCASE("it has run for a while before the owner learns of it, and reads its record at once")
    {
        fleet.headStart = 0ms;
        unheardFor = 250ms;
        store.onAcquired = [&] { fleet.showRecords(*fleet.instances.at("newcomer")); };
    }
    SUBCASE("in the place of one that had left the ownership to the owner for good")
    {
        name = "leaver";
        fleet.silent.clear();
    }
    SUBCASE("it can't reach the owner, and waits until that one gives up")
    {
        isOwnerReached = false;
        fleet.silent.insert("owner");
    }
    OwnerElection &newcomer = fleet.add(name);
    fleet.storeSilences[name].reset();
    const TimePoint startedAt = BootClock().now();
    if (unheardFor > 0ms)
        fleet.silent.insert("owner");
    fleet.showRecords(newcomer);
    fleet.loop.run_for(unheardFor);
    if (unheardFor > 0ms)
        fleet.silent.erase("owner");
    TimePoint lastOrder = BootClock().now();
    while (!newcomer.maySendOrders() && BootClock().now() < startedAt + 4s) {
        fleet.loop.run_for(5ms);
        const TimePoint now = BootClock().now();
        if (owner.maySendOrders())
            lastOrder = now;
        CHECK_FALSE((owner.maySendOrders() && newcomer.maySendOrders()));
    }
    CHECK(newcomer.maySendOrders());
    CHECK(BootClock().now() >= lastOrder + (isOwnerReached ? 300ms : 240ms));
    CHECK((lastOrder < startedAt + unheardFor + 200ms) == isOwnerReached);
    fleet.stop();
}

// Guards against a placement without an owner for as long as one may go on without the store,
// because the last one is gone.
TEST_CASE("an instance that starts after the last owner has given up takes the ownership at once")
{
    RecordStore store;
    store.isReleasable = true;
    {
        UnfencedFleet before(store);
        before.add("owner").handleOwnerRecord(std::nullopt);
        before.loop.run_for(20ms);
        before.stop();
        before.loop.run_for(60ms);
    }
    REQUIRE_FALSE(store.state.record);
    UnfencedFleet fleet(store);
    fleet.headStart = 0ms;
    OwnerElection &newcomer = fleet.add("newcomer");
    fleet.showRecords(newcomer);
    fleet.loop.run_for(100ms);
    CHECK(newcomer.isOwner());
    fleet.stop();
}

// Guards against a pause without orders after a restart of all instances: the first one that takes
// the ownership has to wait for the orders of the former owner, unless it was that one itself.
TEST_CASE("after a restart of all instances the last owner takes the ownership again and orders at "
          "once")
{
    RecordStore store;
    {
        UnfencedFleet before(store);
        before.add("owner").handleOwnerRecord(std::nullopt);
        before.loop.run_for(20ms);
        before.stop();
    }
    store.state.record.reset();
    store.state.recordRevision = 0;
    UnfencedFleet fleet(store);
    OwnerElection &other = fleet.add("another");
    OwnerElection &owner = fleet.add("owner");
    for (OwnerElection *one : {&other, &owner})
        fleet.showRecords(*one);
    fleet.loop.run_for(40ms);
    CHECK(owner.maySendOrders());
    CHECK_FALSE(other.isOwner());
    fleet.stop();
}

// Guards against an owner that can't send orders while other instances could.
TEST_CASE("an owner that reaches no engine gives up the ownership and returns to the election")
{
    boost::asio::io_context loop(1);
    RecordStore store;
    Candidate candidate(loop, store, "candidate");
    candidate.election.handleOwnerRecord(std::nullopt);
    loop.run_for(50ms);
    REQUIRE(candidate.election.isOwner());
    candidate.election.setEligible(false);
    loop.run_for(50ms);
    CHECK_FALSE(candidate.election.isOwner());
    store.state.record.reset();
    candidate.election.handleOwnerRecord(std::nullopt);
    loop.run_for(50ms);
    CHECK_FALSE(candidate.election.isOwner());

    candidate.election.setEligible(true);
    loop.run_for(50ms);
    CHECK(candidate.election.isOwner());
    candidate.election.resign();
    loop.run_for(20ms);
}

TEST_CASE("a number that no record explains is left far behind")
{
    OwnershipRequest request;
    request.highestUsed = {Fence(70), 1};
    const ObservedOwner last{OwnerRecord{InstanceId("self"), {}, 5, {}, 1}, Fence(70), 70};
    SUBCASE("an engine refused an order of the last owner, and nobody followed it")
    {
        request.refusedNonce = 5;
        CHECK(prepareGrant(request, last, 1).record.minFence == Fence(71 + fenceStepPerEra));
    }
    SUBCASE("an engine refused it because of its successor")
    {
        request.refusedNonce = 4;
        CHECK(prepareGrant(request, last, 1).record.minFence == Fence(71));
    }
}

// Guards against a placement without an owner: engines refuse the orders of one that took its
// number from revisions which have fallen.
TEST_CASE("an owner whose fencing number is below a used one is replaced")
{
    boost::asio::io_context loop(1);
    RecordStore store;
    store.state.record = OwnerRecord{InstanceId("former-release"), {}, 5, {}, 0};
    store.state.recordRevision = 11;
    store.state.revision = 11;
    Candidate candidate(loop, store, "candidate");
    candidate.election.handleOwnerRecord(store.observed());
    loop.run_for(30ms);
    CHECK_FALSE(candidate.election.isOwner());

    candidate.election.handleOwnerMessage(Fence(900));
    candidate.election.handleOwnerRecord(std::nullopt);
    candidate.election.handleOwnerRecord(store.observed());
    loop.run_for(50ms);
    CHECK(candidate.election.isOwner());
    CHECK(candidate.election.fence() > Fence(900));
    candidate.election.resign();
    loop.run_for(20ms);
}
