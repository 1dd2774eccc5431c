#include "../../bench/virtual_fleet.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::peer;
using bench::FleetShape;
using bench::NetworkSettings;
using bench::Observation;
using bench::VirtualFleet;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodeCount = 14;
const StreamKey placements{Topic::Placements, "quito"};

/// Fault that is injected on purpose and that the checks must detect.
enum class Fault {
    None,
    /// A port refusal is reported although the process there is only paused.
    FalseRefusal,
    /// The former owner publishes under the fence of the new owner.
    SharedFence,
    /// Lost changes are not repaired: no digests, and each change is sent only once.
    NoRepair,
    /// Three lists without an unreachable member prove its end immediately.
    AbsenceIsGone,
    /// A later process reuses the incarnation of the former one.
    SameIncarnation,
};

/// Number of violations that a randomised run has found.
struct Findings
{
    /// A running process was declared gone.
    std::size_t falseGone = 0;
    /// The version of an entry at a node decreased.
    std::size_t versionRegressions = 0;
    /// After the network had healed, a node did not see all others as reachable.
    std::size_t membersDiffer = 0;
    /// After the network had healed, a node held a different state.
    std::size_t statesDiffer = 0;
    /// Two payloads were seen under one version.
    std::size_t conflictingPayloads = 0;

    std::size_t total() const
    {
        return this->falseGone + this->versionRegressions + this->membersDiffer + this->statesDiffer
               + this->conflictingPayloads;
    }
};

class RandomRun
{
public:
    RandomRun(std::uint64_t seed, Fault fault)
        : random(seed)
        , fault(fault)
        , fleet(makeShape(fault), NetworkSettings{0.1, 0.05}, seed + 1)
    {
        this->fleet.onObservation
                = [this](const Observation &seen) { this->checkObservation(seen); };
    }

    Findings run()
    {
        this->fleet.run(seconds(8));
        for (int step = 0; step < 60; ++step) {
            this->injectRandomFault();
            this->fleet.run(milliseconds(500));
        }
        this->healNetwork();
        this->checkAgreement();
        return this->findings;
    }

private:
    static FleetShape makeShape(Fault fault)
    {
        FleetShape shape;
        shape.nodes = nodeCount;
        shape.regions = 2;
        if (fault == Fault::NoRepair) {
            shape.gossip.dissemination.digestsPerDatagram = 0;
            shape.gossip.dissemination.transmissions = 1;
        }
        if (fault == Fault::AbsenceIsGone)
            shape.gossip.membership.absenceTimeout = Duration(1);
        return shape;
    }

    void injectRandomFault()
    {
        const std::size_t node = this->random.below(nodeCount);
        const bool isRunning = this->fleet.isRunning(node);
        switch (this->random.below(9)) {
        case 0:
            if (isRunning && this->runningCount() > nodeCount / 2)
                this->fleet.kill(node, this->random.chance(0.5));
            break;
        case 1:
            if (isRunning && this->runningCount() > nodeCount / 2)
                this->fleet.leave(node);
            break;
        case 2:
            if (!isRunning)
                this->restart(node);
            break;
        case 3:
            if (isRunning)
                this->pause(node);
            break;
        case 4:
            this->togglePartition();
            break;
        case 5:
            this->deliverWrongList(node);
            break;
        case 6:
            this->changeOwner();
            break;
        default:
            this->publish();
            break;
        }
    }

    std::size_t runningCount()
    {
        std::size_t total = 0;
        for (std::size_t node = 0; node < nodeCount; ++node)
            total += this->fleet.isRunning(node) ? 1 : 0;
        return total;
    }

    void restart(std::size_t node)
    {
        this->fleet.start(node);
        if (this->fault == Fault::SameIncarnation)
            this->fleet.restartWithPreviousIncarnation(node);
    }

    void pause(std::size_t node)
    {
        this->fleet.pause(node, milliseconds(500 + this->random.below(9000)));
        if (this->fault != Fault::FalseRefusal)
            return;
        const Endpoint endpoint = this->fleet.identity(node).datagramEndpoint;
        const std::size_t observer = (node + 1) % nodeCount;
        for (int refusal = 0; refusal < 2 && this->fleet.isRunning(observer); ++refusal) {
            this->fleet.carryOut(observer, this->fleet.gossip(observer).onPortRefused(
                                                   this->fleet.now(), endpoint));
            this->fleet.run(milliseconds(200));
        }
    }

    void togglePartition()
    {
        this->isPartitioned = !this->isPartitioned;
        if (this->isPartitioned)
            this->fleet.partition([this](std::size_t node) { return this->fleet.regionOf(node); });
        else
            this->fleet.partition({});
    }

    /// Delivers a list that omits instances, contains ended processes, and reports running ones as
    /// terminated.
    void deliverWrongList(std::size_t node)
    {
        if (!this->fleet.isRunning(node))
            return;
        std::vector<ListedInstance> list;
        for (std::size_t each = 0; each < nodeCount; ++each) {
            if (this->random.chance(0.3))
                continue;
            list.push_back(this->fleet.platformListEntry(each));
            const auto member
                    = this->fleet.gossip(node).membership().find(this->fleet.instanceId(each));
            // A list is trusted about members that do not answer, so it is wrong only about those
            // that do.
            const bool answers
                    = member && member->state == MemberState::Alive && !this->isPartitioned;
            if (answers && this->fleet.isRunning(each) && this->random.chance(0.2)
                && !this->fleet.isPaused(each))
                list.back().state = ListedState::Terminated;
        }
        // The same wrong list is read several times in a row.
        for (int reading = 0; reading < 4 && this->fleet.isRunning(node); ++reading) {
            this->fleet.applyPlatformList(node, list);
            this->fleet.run(milliseconds(250));
        }
    }

    void changeOwner()
    {
        const std::size_t next = this->random.below(nodeCount);
        if (!this->fleet.isRunning(next) || this->fleet.isPaused(next))
            return;
        const std::size_t former = this->owner;
        this->owner = next;
        if (this->fault != Fault::SharedFence)
            ++this->fence;
        const auto taken = this->fleet.gossip(next).takeOver(this->fleet.now(), placements,
                                                             Fence(this->fence));
        if (taken)
            this->fleet.carryOut(next, taken.value());
        // The former owner may not know of the new one yet and continues to publish.
        if (this->fleet.isRunning(former) && this->fence > 1)
            this->publishAt(former,
                            this->fault == Fault::SharedFence ? this->fence : this->fence - 1);
    }

    void publish() { this->publishAt(this->owner, this->fence); }

    void publishAt(std::size_t node, std::uint64_t fence)
    {
        if (!this->fleet.isRunning(node) || this->fleet.isPaused(node))
            return;
        const std::string item = "model-" + std::to_string(this->random.below(6));
        const std::string payload
                = "by-" + std::to_string(node) + "-" + std::to_string(this->published++);
        this->fleet.publish(node, StateKey{placements, item}, Fence(fence), payload);
    }

    void checkObservation(const Observation &seen)
    {
        if (const auto *change = std::get_if<MemberChanged>(&seen.what))
            this->checkMember(*change);
        if (const auto *state = std::get_if<StateChanged>(&seen.what))
            this->checkState(seen.node, state->delta);
    }

    void checkMember(const MemberChanged &change)
    {
        const MemberIdentity &identity = change.member.identity;
        if (change.member.state != MemberState::Gone)
            return;
        for (std::size_t node = 0; node < nodeCount; ++node) {
            const bool isThisProcess
                    = this->fleet.isRunning(node)
                      && this->fleet.identity(node).instance == identity.instance
                      && this->fleet.identity(node).incarnation == identity.incarnation;
            this->findings.falseGone += isThisProcess ? 1 : 0;
        }
    }

    void checkState(std::size_t node, const StateDelta &delta)
    {
        // The removal of a former owner's entry has no version of its own.
        if (delta.isErased)
            return;
        const std::pair<std::uint64_t, StateKey> holder{
                this->fleet.identity(node).incarnation.value() * nodeCount + node, delta.key};
        StateVersion &held = this->versions[holder];
        this->findings.versionRegressions += delta.version < held ? 1 : 0;
        held = std::max(held, delta.version);
        const auto [known, isNew]
                = this->payloads.emplace(std::pair(delta.key, delta.version), delta.payload);
        this->findings.conflictingPayloads += !isNew && known->second != delta.payload ? 1 : 0;
    }

    void healNetwork()
    {
        this->fleet.partition({});
        this->fleet.setLoss(0);
        for (std::size_t node = 0; node < nodeCount; ++node) {
            if (!this->fleet.isRunning(node))
                this->restart(node);
        }
        this->fleet.run(seconds(25));
        this->publish();
        this->fleet.run(seconds(20));
    }

    void checkAgreement()
    {
        const Dissemination &first = this->fleet.gossip(0).dissemination();
        for (std::size_t node = 0; node < nodeCount; ++node) {
            const Gossip &gossip = this->fleet.gossip(node);
            const bool knowsAll = gossip.membership().reachableCount() == nodeCount - 1;
            this->findings.membersDiffer += knowsAll ? 0 : 1;
            const bool isSame
                    = gossip.dissemination().entries(placements) == first.entries(placements);
            this->findings.statesDiffer += isSame ? 0 : 1;
        }
    }

    Random random;
    Fault fault;
    VirtualFleet fleet;
    Findings findings;
    std::map<std::pair<std::uint64_t, StateKey>, StateVersion> versions;
    std::map<std::pair<StateKey, StateVersion>, std::string> payloads;
    std::size_t owner = 0;
    std::uint64_t fence = 1;
    std::size_t published = 0;
    bool isPartitioned = false;
};

Findings runSeeds(Fault fault, std::uint64_t firstSeed, std::uint64_t seeds)
{
    Findings all;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const Findings found = RandomRun(seed, fault).run();
        CAPTURE(seed);
        if (fault == Fault::None) {
            CHECK(found.falseGone == 0);
            CHECK(found.versionRegressions == 0);
            CHECK(found.membersDiffer == 0);
            CHECK(found.statesDiffer == 0);
            CHECK(found.conflictingPayloads == 0);
        }
        all.falseGone += found.falseGone;
        all.versionRegressions += found.versionRegressions;
        all.membersDiffer += found.membersDiffer;
        all.statesDiffer += found.statesDiffer;
        all.conflictingPayloads += found.conflictingPayloads;
    }
    return all;
}

} // namespace

TEST_CASE("Random kills, pauses, partitions, wrong lists and changes of owner")
{
    SUBCASE("violate no invariant")
    {
        runSeeds(Fault::None, 100, 10);
    }
    SUBCASE("and the checks detect a false report of a port refusal")
    {
        CHECK(runSeeds(Fault::FalseRefusal, 100, 4).falseGone > 0);
    }
    SUBCASE("and the checks detect that absence from the list proves an end without a delay")
    {
        CHECK(runSeeds(Fault::AbsenceIsGone, 100, 10).falseGone > 0);
    }
    SUBCASE("and the checks detect two owners with the same fence")
    {
        CHECK(runSeeds(Fault::SharedFence, 100, 8).total() > 0);
    }
    SUBCASE("and the checks detect missing repair of lost changes")
    {
        CHECK(runSeeds(Fault::NoRepair, 100, 4).statesDiffer > 0);
    }
    SUBCASE("and the checks detect a process that reuses its predecessor's incarnation")
    {
        CHECK(runSeeds(Fault::SameIncarnation, 100, 8).total() > 0);
    }
}
