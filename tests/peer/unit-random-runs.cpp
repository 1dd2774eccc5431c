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

/// A deliberate fault, which the checks below must catch.
enum class Fault {
    None,
    /// The refusal of a port is reported although the process there is only paused.
    FalseRefusal,
    /// The former owner publishes under its successor's fence.
    SharedFence,
    /// Nodes do not hear of a change: no digests and hardly any copies.
    NoRepair,
    /// Three lists that lack a silent member count at once as its end.
    AbsenceIsGone,
    /// A new process starts under the incarnation of the former one.
    SameIncarnation,
};

/// What a randomised run has found to be wrong.
struct Findings
{
    /// A process that runs was held for gone.
    std::size_t falseGone = 0;
    /// A version that a node held has fallen.
    std::size_t fallen = 0;
    /// After the network had healed, nodes still differed about who is there.
    std::size_t membersDiffer = 0;
    /// After the network had healed, nodes still differed about the state.
    std::size_t statesDiffer = 0;
    /// Two values were seen under one version.
    std::size_t ambiguous = 0;

    std::size_t total() const
    {
        return this->falseGone + this->fallen + this->membersDiffer + this->statesDiffer
               + this->ambiguous;
    }
};

class RandomRun
{
public:
    RandomRun(std::uint64_t seed, Fault fault)
        : random(seed)
        , fault(fault)
        , fleet(shape(fault), NetworkSettings{0.1, 0.05}, seed + 1)
    {
        this->fleet.onObservation = [this](const Observation &seen) { this->check(seen); };
    }

    Findings run()
    {
        this->fleet.run(seconds(8));
        for (int step = 0; step < 60; ++step) {
            this->disturb();
            this->fleet.run(milliseconds(500));
        }
        this->heal();
        this->checkAgreement();
        return this->findings;
    }

private:
    static FleetShape shape(Fault fault)
    {
        FleetShape made;
        made.nodes = nodeCount;
        made.regions = 2;
        if (fault == Fault::NoRepair) {
            made.gossip.dissemination.digestsPerDatagram = 0;
            made.gossip.dissemination.transmissions = 1;
        }
        if (fault == Fault::AbsenceIsGone)
            made.gossip.membership.absenceTimeout = Duration(1);
        return made;
    }

    void disturb()
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
            this->cutOrHeal();
            break;
        case 5:
            this->wrongList(node);
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
            this->fleet.startAgain(node);
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

    void cutOrHeal()
    {
        this->isCut = !this->isCut;
        if (this->isCut)
            this->fleet.cut([this](std::size_t node) { return this->fleet.regionOf(node); });
        else
            this->fleet.cut({});
    }

    /// A list that leaves lines out, shows ended processes, and calls running ones terminated.
    void wrongList(std::size_t node)
    {
        if (!this->fleet.isRunning(node))
            return;
        std::vector<ListedInstance> list;
        for (std::size_t each = 0; each < nodeCount; ++each) {
            if (this->random.chance(0.3))
                continue;
            list.push_back(this->fleet.listed(each));
            const auto member = this->fleet.gossip(node).membership().find(this->fleet.name(each));
            // The platform's word counts against one that is silent, so it is wrong only about
            // those that answer.
            const bool answers = member && member->state == MemberState::Alive && !this->isCut;
            if (answers && this->fleet.isRunning(each) && this->random.chance(0.2)
                && !this->fleet.isPaused(each))
                list.back().state = ListedState::Terminated;
        }
        // The same wrong reading comes several times in a row.
        for (int reading = 0; reading < 4 && this->fleet.isRunning(node); ++reading) {
            this->fleet.list(node, list);
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
        // The former owner may not know yet, and goes on.
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

    void check(const Observation &seen)
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
        // What a pruned entry leaves behind has no version of its own.
        if (delta.isErased)
            return;
        const std::pair<std::uint64_t, StateKey> holder{
                this->fleet.identity(node).incarnation.value() * nodeCount + node, delta.key};
        StateVersion &held = this->versions[holder];
        this->findings.fallen += delta.version < held ? 1 : 0;
        held = std::max(held, delta.version);
        const auto [known, isNew]
                = this->payloads.emplace(std::pair(delta.key, delta.version), delta.payload);
        this->findings.ambiguous += !isNew && known->second != delta.payload ? 1 : 0;
    }

    void heal()
    {
        this->fleet.cut({});
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
    bool isCut = false;
};

Findings findingsOf(Fault fault, std::uint64_t firstSeed, std::uint64_t seeds)
{
    Findings all;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const Findings found = RandomRun(seed, fault).run();
        CAPTURE(seed);
        if (fault == Fault::None) {
            CHECK(found.falseGone == 0);
            CHECK(found.fallen == 0);
            CHECK(found.membersDiffer == 0);
            CHECK(found.statesDiffer == 0);
            CHECK(found.ambiguous == 0);
        }
        all.falseGone += found.falseGone;
        all.fallen += found.fallen;
        all.membersDiffer += found.membersDiffer;
        all.statesDiffer += found.statesDiffer;
        all.ambiguous += found.ambiguous;
    }
    return all;
}

} // namespace

TEST_CASE("Random kills, pauses, cuts, wrong lists and changes of owner")
{
    SUBCASE("break no promise")
    {
        findingsOf(Fault::None, 100, 10);
    }
    SUBCASE("and the checks catch a refusal that is reported of a running process")
    {
        CHECK(findingsOf(Fault::FalseRefusal, 100, 4).falseGone > 0);
    }
    SUBCASE("and the checks catch absence from the list that is taken for an end at once")
    {
        CHECK(findingsOf(Fault::AbsenceIsGone, 100, 10).falseGone > 0);
    }
    SUBCASE("and the checks catch two owners under one fence")
    {
        CHECK(findingsOf(Fault::SharedFence, 100, 8).total() > 0);
    }
    SUBCASE("and the checks catch the lack of repair")
    {
        CHECK(findingsOf(Fault::NoRepair, 100, 4).statesDiffer > 0);
    }
    SUBCASE("and the checks catch a process that reuses its predecessor's incarnation")
    {
        CHECK(findingsOf(Fault::SameIncarnation, 100, 8).total() > 0);
    }
}
