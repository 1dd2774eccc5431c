#include "../../bench/virtual_fleet.hpp"

#include <map>
#include <set>
#include <utility>

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

/// Counts how many running nodes hold a member for being in a state.
std::size_t holders(VirtualFleet &fleet, std::size_t subject, MemberState state)
{
    std::size_t total = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (!fleet.isRunning(node) || node == subject)
            continue;
        const auto member = fleet.gossip(node).membership().find(fleet.name(subject));
        total += member && member->state == state ? 1 : 0;
    }
    return total;
}

/// What was found of members that run.
struct Alarms
{
    std::size_t unreachable = 0;
    std::size_t gone = 0;
    std::size_t selfGone = 0;

    void watch(VirtualFleet &fleet)
    {
        fleet.onObservation = [this](const Observation &seen) {
            if (std::holds_alternative<DeclaredGoneByPeers>(seen.what))
                ++this->selfGone;
            const auto *change = std::get_if<MemberChanged>(&seen.what);
            if (change == nullptr)
                return;
            this->unreachable += change->member.state == MemberState::Unreachable ? 1 : 0;
            this->gone += change->member.state == MemberState::Gone ? 1 : 0;
        };
    }
};

constexpr std::size_t subject = 5;

} // namespace

TEST_CASE("Twelve instances know one another")
{
    VirtualFleet fleet(FleetShape{}, NetworkSettings{}, 11);
    Alarms alarms;
    fleet.run(seconds(5));
    for (std::size_t node = 0; node < fleet.size(); ++node)
        CHECK(fleet.gossip(node).membership().reachableCount() == 11);
    alarms.watch(fleet);

    SUBCASE("a process that is killed is known to be gone, by its port's refusal, within 5 s")
    {
        fleet.kill(subject, true);
        fleet.run(seconds(5));
        CHECK(holders(fleet, subject, MemberState::Gone) == 11);
        const auto member = fleet.gossip(0).membership().find(fleet.name(subject));
        CHECK(member->evidence == GoneEvidence::PortRefused);
        CHECK(fleet.gossip(0).membership().isKnownGone(fleet.name(subject), Incarnation(1)));

        SUBCASE("and its successor under the same name is another process")
        {
            fleet.start(subject);
            fleet.run(seconds(5));
            CHECK(holders(fleet, subject, MemberState::Alive) == 11);
            const Membership &view = fleet.gossip(0).membership();
            CHECK(view.isKnownGone(fleet.name(subject), Incarnation(1)));
            CHECK_FALSE(view.isKnownGone(fleet.name(subject), Incarnation(2)));
        }
    }

    SUBCASE("a host that vanishes is unreachable within 5 s, and not gone, as it may be cut off")
    {
        fleet.kill(subject, false);
        fleet.run(seconds(5));
        CHECK(holders(fleet, subject, MemberState::Unreachable) == 11);
        fleet.run(seconds(300));
        CHECK(holders(fleet, subject, MemberState::Unreachable) == 11);
        CHECK(alarms.gone == 0);

        SUBCASE("until the platform's list shows it as terminated")
        {
            std::vector<ListedInstance> list = fleet.trueList();
            ListedInstance ended = fleet.listed(subject);
            ended.state = ListedState::Terminated;
            list.push_back(ended);
            fleet.list(3, list);
            fleet.run(seconds(2));
            CHECK(holders(fleet, subject, MemberState::Gone) == 11);
        }
        SUBCASE("until the list shows another machine under the name")
        {
            std::vector<ListedInstance> list = fleet.trueList();
            list.push_back(fleet.listed(subject));
            fleet.list(3, list);
            list.back().launch += 1;
            fleet.list(3, list);
            fleet.run(seconds(2));
            CHECK(holders(fleet, subject, MemberState::Gone) == 11);
        }
        SUBCASE("until three lists over a minute lack it, while its data centre answers")
        {
            std::vector<ListedInstance> before = fleet.trueList();
            before.push_back(fleet.listed(subject));
            fleet.list(3, before);
            fleet.list(3, fleet.trueList());
            fleet.run(seconds(30));
            fleet.list(3, fleet.trueList());
            fleet.run(seconds(2));
            CHECK(holders(fleet, subject, MemberState::Gone) == 0);
            fleet.run(seconds(30));
            fleet.list(3, fleet.trueList());
            fleet.run(seconds(2));
            CHECK(holders(fleet, subject, MemberState::Gone) == 11);
        }
        SUBCASE("and a list that has lost half of the fleet proves nothing")
        {
            std::vector<ListedInstance> before = fleet.trueList();
            before.push_back(fleet.listed(subject));
            fleet.list(3, before);
            before.resize(3);
            for (int reading = 0; reading < 6; ++reading) {
                fleet.list(3, before);
                fleet.run(seconds(30));
            }
            CHECK(alarms.gone == 0);
        }
    }

    SUBCASE("a process that is paused for 3 s is neither gone nor unreachable")
    {
        fleet.pause(subject, seconds(3));
        fleet.run(seconds(20));
        CHECK(alarms.gone == 0);
        CHECK(alarms.unreachable == 0);
        CHECK(holders(fleet, subject, MemberState::Alive) == 11);
    }

    SUBCASE("a process that is paused for a minute is unreachable, not gone, and comes back")
    {
        fleet.pause(subject, seconds(60));
        fleet.run(seconds(30));
        CHECK(holders(fleet, subject, MemberState::Unreachable) == 11);
        fleet.run(seconds(40));
        CHECK(holders(fleet, subject, MemberState::Alive) == 11);
        CHECK(alarms.gone == 0);
        CHECK(alarms.selfGone == 0);
        // It was itself that stood still: it must not take the others for dead.
        CHECK(alarms.unreachable == 11);
    }

    SUBCASE("a process that leaves is known at once to be gone")
    {
        fleet.leave(subject);
        fleet.run(milliseconds(500));
        CHECK(holders(fleet, subject, MemberState::Gone) == 11);
        const auto member = fleet.gossip(0).membership().find(fleet.name(subject));
        CHECK(member->evidence == GoneEvidence::Left);
    }

    SUBCASE("a process that announces its end goes on answering")
    {
        fleet.carryOut(subject, fleet.gossip(subject).announceLeaving(fleet.now()));
        fleet.run(seconds(3));
        std::size_t informed = 0;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            const auto member = fleet.gossip(node).membership().find(fleet.name(subject));
            informed += member && member->isLeaving && member->state == MemberState::Alive ? 1 : 0;
        }
        CHECK(informed == 11);
    }

    SUBCASE("wrong lists never remove a member that answers")
    {
        std::vector<ListedInstance> wrong = fleet.trueList();
        for (ListedInstance &line : wrong)
            line.state = ListedState::Terminated;
        for (int reading = 0; reading < 10; ++reading) {
            for (std::size_t node = 0; node < fleet.size(); ++node)
                fleet.list(node, reading % 2 == 0 ? wrong : std::vector<ListedInstance>());
            fleet.run(seconds(20));
        }
        CHECK(alarms.gone == 0);
        CHECK(alarms.unreachable == 0);

        SUBCASE("nor one that is paused after it has contradicted the list")
        {
            fleet.list(0, wrong);
            fleet.pause(subject, seconds(20));
            fleet.run(seconds(30));
            CHECK(alarms.gone == 0);
            CHECK(holders(fleet, subject, MemberState::Alive) == 11);
        }
    }

    SUBCASE("a former process that wakes after its name was taken is told, and removes nobody")
    {
        // The successor starts on another host under the same name.
        MemberIdentity later = fleet.identity(subject);
        later.incarnation = Incarnation(2);
        Datagram news;
        news.kind = DatagramKind::News;
        news.members.push_back(
                MemberUpdate{later, MemberState::Alive, Refutation(), false, GoneEvidence::None});
        Membership former(MembershipSettings{}, fleet.identity(subject), {}, 3);
        news.sender = fleet.name(0);
        news.incarnation = Incarnation(1);
        const MembershipActions actions = former.onDatagram(fleet.now(), news, Endpoint{});
        REQUIRE(actions.size() == 1);
        CHECK(std::get<DeclaredGoneByPeers>(actions.front()).evidence
              == GoneEvidence::LaterIncarnation);
    }
}

TEST_CASE("Regions that are cut off from each other")
{
    FleetShape shape;
    shape.nodes = 24;
    shape.dataCentres = 4;
    shape.regions = 2;
    VirtualFleet fleet(shape, NetworkSettings{}, 5);
    fleet.run(seconds(6));
    Alarms alarms;
    alarms.watch(fleet);
    fleet.cut([&](std::size_t node) { return fleet.regionOf(node); });
    fleet.run(seconds(120));
    for (std::size_t node = 0; node < fleet.size(); ++node)
        CHECK(fleet.gossip(node).membership().reachableCount() == 11);
    CHECK(alarms.gone == 0);

    SUBCASE("find each other again without an operator")
    {
        fleet.cut({});
        fleet.run(seconds(10));
        for (std::size_t node = 0; node < fleet.size(); ++node)
            CHECK(fleet.gossip(node).membership().reachableCount() == 23);
    }
    SUBCASE("keep apart what happened on each side meanwhile")
    {
        fleet.kill(2, true);
        fleet.run(seconds(10));
        fleet.start(7);
        fleet.run(seconds(10));
        fleet.cut({});
        fleet.run(seconds(15));
        CHECK(holders(fleet, 2, MemberState::Gone) == 23);
        CHECK(holders(fleet, 7, MemberState::Alive) == 22);
        CHECK(fleet.gossip(0).membership().isKnownGone(fleet.name(7), Incarnation(1)));
    }
}

TEST_CASE("Loss of one datagram in five raises no false alarm")
{
    NetworkSettings network;
    network.loss = 0.2;
    network.duplication = 0.05;
    VirtualFleet fleet(FleetShape{}, network, 23);
    fleet.run(seconds(10));
    Alarms alarms;
    alarms.watch(fleet);
    fleet.run(seconds(120));
    CHECK(alarms.unreachable == 0);
    CHECK(alarms.gone == 0);
    CHECK(alarms.selfGone == 0);
    std::uint64_t suspected = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node)
        suspected += fleet.gossip(node).membership().count(MembershipCount::Suspected);
    CHECK(suspected > 0);

    SUBCASE("and a killed process is still known at all others within 5 s")
    {
        fleet.kill(subject, false);
        fleet.run(seconds(5));
        CHECK(holders(fleet, subject, MemberState::Unreachable) == 11);
    }
}
