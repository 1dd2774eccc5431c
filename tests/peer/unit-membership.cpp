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

/// Counts the running nodes that see a member in a state.
std::size_t countObservers(VirtualFleet &fleet, std::size_t targetNode, MemberState state)
{
    std::size_t total = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (!fleet.isRunning(node) || node == targetNode)
            continue;
        const auto member = fleet.gossip(node).membership().find(fleet.instanceId(targetNode));
        total += member && member->state == state ? 1 : 0;
    }
    return total;
}

/// Counts of observations that some member has failed.
struct ReportedFailures
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

constexpr std::size_t targetNode = 5;

} // namespace

TEST_CASE("Twelve instances detect failures of one another")
{
    VirtualFleet fleet(FleetShape{}, NetworkSettings{}, 11);
    ReportedFailures failures;
    fleet.run(seconds(5));
    for (std::size_t node = 0; node < fleet.size(); ++node)
        CHECK(fleet.gossip(node).membership().reachableCount() == 11);
    failures.watch(fleet);

    SUBCASE("a killed process is declared gone within 5 s, as its port refuses datagrams")
    {
        fleet.kill(targetNode, true);
        fleet.run(seconds(5));
        CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 11);
        const auto member = fleet.gossip(0).membership().find(fleet.instanceId(targetNode));
        CHECK(member->evidence == GoneEvidence::PortRefused);
        CHECK(fleet.gossip(0).membership().isKnownGone(fleet.instanceId(targetNode),
                                                       Incarnation(1)));

        SUBCASE("and a later process of the instance is a separate one")
        {
            fleet.start(targetNode);
            fleet.run(seconds(5));
            CHECK(countObservers(fleet, targetNode, MemberState::Alive) == 11);
            const Membership &view = fleet.gossip(0).membership();
            CHECK(view.isKnownGone(fleet.instanceId(targetNode), Incarnation(1)));
            CHECK_FALSE(view.isKnownGone(fleet.instanceId(targetNode), Incarnation(2)));
        }
    }

    SUBCASE("a host that is down is unreachable within 5 s but not gone, as it may be partitioned")
    {
        fleet.kill(targetNode, false);
        fleet.run(seconds(5));
        CHECK(countObservers(fleet, targetNode, MemberState::Unreachable) == 11);
        fleet.run(seconds(300));
        CHECK(countObservers(fleet, targetNode, MemberState::Unreachable) == 11);
        CHECK(failures.gone == 0);

        SUBCASE("until the platform's list shows it as terminated")
        {
            std::vector<ListedInstance> list = fleet.listRunningInstances();
            ListedInstance ended = fleet.platformListEntry(targetNode);
            ended.state = ListedState::Terminated;
            list.push_back(ended);
            fleet.applyPlatformList(3, list);
            fleet.run(seconds(2));
            CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 11);
        }
        SUBCASE("until the list shows another machine for the instance")
        {
            std::vector<ListedInstance> list = fleet.listRunningInstances();
            list.push_back(fleet.platformListEntry(targetNode));
            fleet.applyPlatformList(3, list);
            list.back().launchNumber += 1;
            fleet.applyPlatformList(3, list);
            fleet.run(seconds(2));
            CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 11);
        }
        SUBCASE("until three lists over a minute do not contain it, while its data centre answers")
        {
            std::vector<ListedInstance> before = fleet.listRunningInstances();
            before.push_back(fleet.platformListEntry(targetNode));
            fleet.applyPlatformList(3, before);
            fleet.applyPlatformList(3, fleet.listRunningInstances());
            fleet.run(seconds(30));
            fleet.applyPlatformList(3, fleet.listRunningInstances());
            fleet.run(seconds(2));
            CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 0);
            fleet.run(seconds(30));
            fleet.applyPlatformList(3, fleet.listRunningInstances());
            fleet.run(seconds(2));
            CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 11);
        }
        SUBCASE("and a list that lacks more than half of the fleet is ignored")
        {
            std::vector<ListedInstance> before = fleet.listRunningInstances();
            before.push_back(fleet.platformListEntry(targetNode));
            fleet.applyPlatformList(3, before);
            before.resize(3);
            for (int reading = 0; reading < 6; ++reading) {
                fleet.applyPlatformList(3, before);
                fleet.run(seconds(30));
            }
            CHECK(failures.gone == 0);
        }
    }

    SUBCASE("a process paused for 3 s is declared neither gone nor unreachable")
    {
        fleet.pause(targetNode, seconds(3));
        fleet.run(seconds(20));
        CHECK(failures.gone == 0);
        CHECK(failures.unreachable == 0);
        CHECK(countObservers(fleet, targetNode, MemberState::Alive) == 11);
    }

    SUBCASE("a process paused for a minute is unreachable, not gone, and becomes alive again")
    {
        fleet.pause(targetNode, seconds(60));
        fleet.run(seconds(30));
        CHECK(countObservers(fleet, targetNode, MemberState::Unreachable) == 11);
        fleet.run(seconds(40));
        CHECK(countObservers(fleet, targetNode, MemberState::Alive) == 11);
        CHECK(failures.gone == 0);
        CHECK(failures.selfGone == 0);
        // The 11 reports are those about the paused process, which itself must report nobody.
        CHECK(failures.unreachable == 11);
    }

    SUBCASE("a process that leaves is declared gone by all others within 500 ms")
    {
        fleet.leave(targetNode);
        fleet.run(milliseconds(500));
        CHECK(countObservers(fleet, targetNode, MemberState::Gone) == 11);
        const auto member = fleet.gossip(0).membership().find(fleet.instanceId(targetNode));
        CHECK(member->evidence == GoneEvidence::Left);
    }

    SUBCASE("a process that announces that it is leaving stays alive to the others")
    {
        fleet.carryOut(targetNode, fleet.gossip(targetNode).announceLeaving(fleet.now()));
        fleet.run(seconds(3));
        std::size_t informed = 0;
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            const auto member = fleet.gossip(node).membership().find(fleet.instanceId(targetNode));
            informed += member && member->isLeaving && member->state == MemberState::Alive ? 1 : 0;
        }
        CHECK(informed == 11);
    }

    SUBCASE("wrong lists never remove a member that answers probes")
    {
        std::vector<ListedInstance> wrong = fleet.listRunningInstances();
        for (ListedInstance &line : wrong)
            line.state = ListedState::Terminated;
        for (int reading = 0; reading < 10; ++reading) {
            for (std::size_t node = 0; node < fleet.size(); ++node)
                fleet.applyPlatformList(node,
                                        reading % 2 == 0 ? wrong : std::vector<ListedInstance>());
            fleet.run(seconds(20));
        }
        CHECK(failures.gone == 0);
        CHECK(failures.unreachable == 0);

        SUBCASE("nor one that is paused for 20 s after it has contradicted the list")
        {
            fleet.applyPlatformList(0, wrong);
            fleet.pause(targetNode, seconds(20));
            fleet.run(seconds(30));
            CHECK(failures.gone == 0);
            CHECK(countObservers(fleet, targetNode, MemberState::Alive) == 11);
        }
    }

    SUBCASE("a former process that resumes learns of its successor, and declares nobody gone")
    {
        // A later process of the same instance starts on another host.
        MemberIdentity later = fleet.identity(targetNode);
        later.incarnation = Incarnation(2);
        Datagram update;
        update.kind = DatagramKind::Updates;
        update.members.push_back(
                MemberUpdate{later, MemberState::Alive, Refutation(), false, GoneEvidence::None});
        Membership former(MembershipSettings{}, fleet.identity(targetNode), {}, 3);
        update.sender = fleet.instanceId(0);
        update.incarnation = Incarnation(1);
        const MembershipActions actions = former.onDatagram(fleet.now(), update, Endpoint{});
        REQUIRE(actions.size() == 1);
        CHECK(std::get<DeclaredGoneByPeers>(actions.front()).evidence
              == GoneEvidence::LaterIncarnation);
    }
}

TEST_CASE("Partitioned regions")
{
    FleetShape shape;
    shape.nodes = 24;
    shape.dataCentres = 4;
    shape.regions = 2;
    VirtualFleet fleet(shape, NetworkSettings{}, 5);
    fleet.run(seconds(6));
    ReportedFailures failures;
    failures.watch(fleet);
    fleet.partition([&](std::size_t node) { return fleet.regionOf(node); });
    fleet.run(seconds(120));
    for (std::size_t node = 0; node < fleet.size(); ++node)
        CHECK(fleet.gossip(node).membership().reachableCount() == 11);
    CHECK(failures.gone == 0);

    SUBCASE("rejoin without an operator once the partition heals")
    {
        fleet.partition({});
        fleet.run(seconds(10));
        for (std::size_t node = 0; node < fleet.size(); ++node)
            CHECK(fleet.gossip(node).membership().reachableCount() == 23);
    }
    SUBCASE("learn after healing of processes that ended and restarted during the partition")
    {
        fleet.kill(2, true);
        fleet.run(seconds(10));
        fleet.start(7);
        fleet.run(seconds(10));
        fleet.partition({});
        fleet.run(seconds(15));
        CHECK(countObservers(fleet, 2, MemberState::Gone) == 23);
        CHECK(countObservers(fleet, 7, MemberState::Alive) == 22);
        CHECK(fleet.gossip(0).membership().isKnownGone(fleet.instanceId(7), Incarnation(1)));
    }
}

TEST_CASE("Loss of 20 % of the datagrams causes no false failure reports")
{
    NetworkSettings network;
    network.loss = 0.2;
    network.duplication = 0.05;
    VirtualFleet fleet(FleetShape{}, network, 23);
    fleet.run(seconds(10));
    ReportedFailures failures;
    failures.watch(fleet);
    fleet.run(seconds(120));
    CHECK(failures.unreachable == 0);
    CHECK(failures.gone == 0);
    CHECK(failures.selfGone == 0);
    std::uint64_t suspected = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node)
        suspected += fleet.gossip(node).membership().count(MembershipEvent::Suspected);
    CHECK(suspected > 0);

    SUBCASE("and a host that goes down is still unreachable to all others within 5 s")
    {
        fleet.kill(targetNode, false);
        fleet.run(seconds(5));
        CHECK(countObservers(fleet, targetNode, MemberState::Unreachable) == 11);
    }
}
