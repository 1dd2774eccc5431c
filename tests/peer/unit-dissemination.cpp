#include "core/random.hpp"
#include "peer/dissemination.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::peer;

namespace {

constexpr std::size_t maxFillBytes = 1200;
const StreamKey placements{Topic::Placements, "quito"};

StateKey key(const std::string &item)
{
    return StateKey{placements, item};
}

/// Delivers one datagram from one instance to another.
std::vector<StateChanged> deliverDatagram(TimePoint now, Dissemination &from, Dissemination &to,
                                          const std::string &fromName, const std::string &toName)
{
    Datagram datagram;
    datagram.sender = InstanceId(fromName);
    from.fill(now, datagram, InstanceId(toName), maxFillBytes);
    return to.receive(now, datagram);
}

/// Delivers datagrams in both directions for 12 s, as pings and acks do.
void exchangeDatagrams(TimePoint &now, Dissemination &first, Dissemination &second)
{
    for (int round = 0; round < 60; ++round) {
        deliverDatagram(now, first, second, "first", "second");
        deliverDatagram(now, second, first, "second", "first");
        now += std::chrono::milliseconds(200);
    }
}

std::string payloadAt(const Dissemination &at, const std::string &item)
{
    const auto found = at.find(key(item));
    return found ? found->payload : std::string();
}

} // namespace

TEST_CASE("State is disseminated from its owner")
{
    TimePoint now{};
    Dissemination owner{DisseminationSettings{}};
    Dissemination other{DisseminationSettings{}};
    REQUIRE(owner.publish(key("model-1"), Fence(1), "worker-4").has_value());

    SUBCASE("in the next datagram")
    {
        const auto changes = deliverDatagram(now, owner, other, "owner", "other");
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().delta.payload == "worker-4");
        CHECK(payloadAt(other, "model-1") == "worker-4");

        SUBCASE("and a duplicate changes nothing")
        {
            CHECK(deliverDatagram(now, owner, other, "owner", "other").empty());
            CHECK(other.count(DisseminationEvent::Duplicate) == 1);
        }
    }
    SUBCASE("and the newest value wins when deltas arrive out of order")
    {
        const StateDelta early = *owner.find(key("model-1"));
        REQUIRE(owner.publish(key("model-1"), Fence(1), "worker-9").has_value());
        Datagram datagram;
        datagram.deltas = {*owner.find(key("model-1")), early};
        other.receive(now, datagram);
        CHECK(payloadAt(other, "model-1") == "worker-9");
        CHECK(other.count(DisseminationEvent::Superseded) == 1);
    }
    SUBCASE("and lost changes are repaired by pulls")
    {
        for (int i = 0; i < 300; ++i)
            REQUIRE(owner.publish(key("model-" + std::to_string(i)), Fence(1), "x").has_value());
        // All datagrams that carry the changes are lost.
        for (int lost = 0; lost < 200; ++lost) {
            Datagram datagram;
            owner.fill(now, datagram, InstanceId("nobody"), maxFillBytes);
        }
        CHECK_FALSE(owner.hasQueued());
        exchangeDatagrams(now, owner, other);
        CHECK(other.entries(placements).size() == 300);
        CHECK(other.digest(placements) == owner.digest(placements));
        CHECK(other.count(DisseminationEvent::Duplicate) == 0);
    }
    SUBCASE("and the removal of an entry reaches the other instance")
    {
        exchangeDatagrams(now, owner, other);
        REQUIRE(owner.erase(key("model-1"), Fence(1)).has_value());
        exchangeDatagrams(now, owner, other);
        CHECK_FALSE(other.find(key("model-1")).has_value());
    }
    SUBCASE("and a payload or a key above its limit is rejected")
    {
        const auto large = owner.publish(key("m"), Fence(1), std::string(maxPayloadBytes + 1, 'x'));
        REQUIRE_FALSE(large.has_value());
        CHECK(large.error().kind() == ErrorKind::ConfigurationTooLarge);
        CHECK_FALSE(
                owner.publish(key(std::string(maxKeyBytes + 1, 'k')), Fence(1), "").has_value());
        CHECK(owner.count(DisseminationEvent::Oversized) == 2);
    }
}

TEST_CASE("State of a new owner overrides that of the former owner")
{
    TimePoint now{};
    Dissemination former{DisseminationSettings{}};
    Dissemination successor{DisseminationSettings{}};
    Dissemination other{DisseminationSettings{}};
    REQUIRE(former.publish(key("kept"), Fence(1), "a").has_value());
    REQUIRE(former.publish(key("dropped"), Fence(1), "b").has_value());
    exchangeDatagrams(now, former, successor);
    exchangeDatagrams(now, former, other);
    // One more change of the former owner, which the new owner never receives.
    REQUIRE(former.publish(key("unseen"), Fence(1), "c").has_value());
    deliverDatagram(now, former, other, "former", "other");
    CHECK(payloadAt(other, "unseen") == "c");
    REQUIRE(successor.takeOver(placements, Fence(2)).has_value());
    REQUIRE(successor.erase(key("dropped"), Fence(2)).has_value());

    SUBCASE("also when the former owner publishes later")
    {
        exchangeDatagrams(now, successor, other);
        REQUIRE(former.publish(key("kept"), Fence(1), "late").has_value());
        deliverDatagram(now, former, other, "former", "other");
        CHECK(payloadAt(other, "kept") == "a");
        CHECK(other.count(DisseminationEvent::StaleFence) > 0);
    }
    SUBCASE("and entries that the new owner does not hold are removed")
    {
        exchangeDatagrams(now, successor, other);
        CHECK(payloadAt(other, "kept") == "a");
        CHECK_FALSE(other.find(key("dropped")).has_value());
        CHECK_FALSE(other.find(key("unseen")).has_value());
        CHECK(other.digest(placements) == successor.digest(placements));
    }
    SUBCASE("and the former owner can't publish once it knows of the new owner")
    {
        exchangeDatagrams(now, successor, former);
        const auto refused = former.publish(key("kept"), Fence(1), "z");
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().kind() == ErrorKind::NotOwner);
        CHECK_FALSE(former.find(key("unseen")).has_value());
    }
}

TEST_CASE("Urgent changes are sent first")
{
    TimePoint now{};
    Dissemination node{DisseminationSettings{}};
    const std::string payload(200, 'p');
    for (int i = 0; i < 20; ++i) {
        const std::string scope = "pool-" + std::to_string(i);
        REQUIRE(node.publish(StateKey{{Topic::LoadSummary, scope}, ""}, Fence(1), payload)
                        .has_value());
        REQUIRE(node.publish(StateKey{{Topic::Placements, scope}, "m"}, Fence(1), payload)
                        .has_value());
    }
    REQUIRE(node.publish(StateKey{{Topic::ConfigurationRoot, ""}, ""}, Fence(1), "root")
                    .has_value());
    REQUIRE(node.publish(StateKey{{Topic::LeavingUpstreams, "quito"}, "worker-1"}, Fence(1), "1")
                    .has_value());

    SUBCASE("in a datagram with little space")
    {
        Datagram datagram;
        node.fill(now, datagram, InstanceId("other"), 700);
        REQUIRE(datagram.deltas.size() >= 2);
        CHECK(datagram.deltas[0].key.stream.topic == Topic::LeavingUpstreams);
        CHECK(datagram.deltas[1].key.stream.topic == Topic::ConfigurationRoot);
        CHECK(estimateBytes(datagram) < 900);
    }
    SUBCASE("among the changes that are sent immediately")
    {
        const std::vector<StateDelta> urgent = node.takeUrgent(600, Topic::Placements);
        REQUIRE(urgent.size() >= 2);
        CHECK(urgent[0].key.stream.topic == Topic::LeavingUpstreams);
        CHECK(urgent[1].key.stream.topic == Topic::ConfigurationRoot);
    }
}

TEST_CASE("A removed stream is accepted again only under a higher fence")
{
    TimePoint now{};
    Dissemination node{DisseminationSettings{}};
    Dissemination other{DisseminationSettings{}};
    const StateKey inForce{{Topic::InForceRevision, "entry-1"}, ""};
    REQUIRE(node.publish(inForce, Fence(3), "7").has_value());
    exchangeDatagrams(now, node, other);
    other.forget(inForce.stream);
    exchangeDatagrams(now, node, other);
    CHECK_FALSE(other.find(inForce).has_value());
    REQUIRE(node.publish(inForce, Fence(4), "8").has_value());
    exchangeDatagrams(now, node, other);
    CHECK(other.find(inForce)->payload == "8");
}
