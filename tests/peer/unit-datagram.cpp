#include "core/random.hpp"
#include "peer/datagram.hpp"
#include "peer/gossip.hpp"

#include <string>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::peer;

namespace {

const Endpoint here{"10.0.0.1", 7200};
const Endpoint elsewhere{"10.0.0.2", 7200};

KeyRing parseKeyRing(const char *text)
{
    return KeyRing::parse(text).value();
}

Datagram fullDatagram()
{
    Datagram datagram;
    datagram.kind = DatagramKind::Ping;
    datagram.sender = InstanceId("entry-1");
    datagram.incarnation = Incarnation(1700000000);
    datagram.sequence = 81;
    datagram.probe = ~std::uint64_t{0};
    MemberUpdate update;
    update.identity = MemberIdentity{InstanceId("entry-1"), Incarnation(1700000000),
                                     DataCentreId("ambato"), here, Endpoint{"10.0.0.1", 7201}};
    update.refutation = Refutation(3);
    update.isLeaving = true;
    datagram.members.push_back(update);
    update.identity = MemberIdentity{InstanceId("entry-2"), Incarnation(4), {}, {}, {}};
    update.state = MemberState::Gone;
    update.evidence = GoneEvidence::PortRefused;
    datagram.members.push_back(update);
    datagram.records.push_back(update);
    datagram.tableDigest = TableDigest{1, 0xffff, 0x0102};
    const StateKey key{{Topic::Placements, "quito"}, "lease@3"};
    const StateDelta delta{key, StateVersion{Fence(2), Sequence(9)}, std::string("\x00\xff\x82", 3),
                           false};
    datagram.deltas.push_back(delta);
    datagram.digests.push_back(StreamDigest{key.stream, Fence(2), Sequence(9)});
    datagram.pulls.push_back(StatePull{StreamDigest{key.stream, Fence(2), Sequence(4)}});
    datagram.ranges.push_back(
            StateRange{key.stream, Fence(2), Sequence(4), Sequence(9), Sequence(2), {delta}});
    return datagram;
}

} // namespace

TEST_CASE("A datagram")
{
    const KeyRing keys = parseKeyRing("1:000102030405060708090a0b0c0d0e0f");
    const Datagram datagram = fullDatagram();
    const std::string bytes = encodeDatagram(datagram, keys, here);

    SUBCASE("is decoded to the encoded value, and is not larger than estimated")
    {
        const DecodedDatagram decoded = decodeDatagram(bytes, keys, here);
        REQUIRE(decoded.datagram.has_value());
        CHECK(*decoded.datagram == datagram);
        CHECK(bytes.size() <= estimateBytes(datagram));
    }
    SUBCASE("is dropped when it was sent to another endpoint")
    {
        const DecodedDatagram decoded = decodeDatagram(bytes, keys, elsewhere);
        CHECK_FALSE(decoded.datagram.has_value());
        CHECK(decoded.dropReason == DatagramDropReason::Unauthenticated);
    }
    SUBCASE("is dropped when any bit of it is flipped")
    {
        for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
            std::string changed = bytes;
            changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << (bit % 8)));
            CHECK_FALSE(decodeDatagram(changed, keys, here).datagram.has_value());
        }
    }
    SUBCASE("is dropped under another secret, and accepted under either key of a rotation")
    {
        CHECK_FALSE(decodeDatagram(bytes, parseKeyRing("1:ff0102030405060708090a0b0c0d0e0f"), here)
                            .datagram.has_value());
        CHECK(decodeDatagram(bytes,
                             parseKeyRing("2:ff0102030405060708090a0b0c0d0e0f,"
                                          "1:000102030405060708090a0b0c0d0e0f"),
                             here)
                      .datagram.has_value());
        CHECK_FALSE(decodeDatagram(bytes, parseKeyRing("2:000102030405060708090a0b0c0d0e0f"), here)
                            .datagram.has_value());
    }
    SUBCASE("is dropped when it is too large, too short, or of another format version")
    {
        CHECK(decodeDatagram(std::string(maxDatagramBytes + 1, '\x01'), keys, here).dropReason
              == DatagramDropReason::Oversized);
        CHECK(decodeDatagram("", keys, here).dropReason == DatagramDropReason::Malformed);
        CHECK(decodeDatagram(std::string(100, '\x02'), keys, here).dropReason
              == DatagramDropReason::Malformed);
    }
    SUBCASE("with a valid tag over random fields is decoded or malformed")
    {
        Random random(7);
        for (int round = 0; round < 2000; ++round) {
            std::string changed = bytes.substr(0, bytes.size() - tagBytes);
            for (int change = 0; change < 3; ++change)
                changed[2 + random.below(changed.size() - 2)]
                        = static_cast<char>(random.below(256));
            changed.resize(changed.size() - random.below(20));
            const AuthenticationTag tag = keys.sign(changed, "10.0.0.1:7200");
            changed.append(reinterpret_cast<const char *>(tag.data()), tag.size());
            const DecodedDatagram decoded = decodeDatagram(changed, keys, here);
            CHECK((decoded.datagram || decoded.dropReason == DatagramDropReason::Malformed));
        }
    }
}

TEST_CASE("The replay filter accepts a datagram only once")
{
    ReplayFilter filter;
    const InstanceId sender("entry-1");
    CHECK(filter.accept(sender, Incarnation(5), 100));
    CHECK_FALSE(filter.accept(sender, Incarnation(5), 100));

    SUBCASE("also when datagrams are reordered")
    {
        CHECK(filter.accept(sender, Incarnation(5), 103));
        CHECK(filter.accept(sender, Incarnation(5), 101));
        CHECK_FALSE(filter.accept(sender, Incarnation(5), 101));
        CHECK_FALSE(filter.accept(sender, Incarnation(5), 103));
    }
    SUBCASE("and rejects one that is older than its window")
    {
        CHECK(filter.accept(sender, Incarnation(5), 500));
        CHECK_FALSE(filter.accept(sender, Incarnation(5), 101));
    }
    SUBCASE("and rejects one of a former process of the sender")
    {
        CHECK(filter.accept(sender, Incarnation(6), 1));
        CHECK_FALSE(filter.accept(sender, Incarnation(5), 900));
    }
}

TEST_CASE("The peer-keys setting")
{
    SUBCASE("accepts a key")
    {
        CHECK(KeyRing::parse("7:000102030405060708090a0b0c0d0e0f").value().signingKey() == 7);
    }
    SUBCASE("is rejected with a message that never contains a secret")
    {
        const char *secret = "000102030405060708090a0b0c0d0e0f";
        for (const std::string &text :
             {std::string(), std::string("1"), std::string("x:") + secret,
              std::string("256:") + secret, std::string("1:abcd"),
              std::string("1:zz0102030405060708090a0b0c0d0e0f"),
              std::string("1:") + secret + ",1:" + secret,
              std::string("1:") + secret + ",2:" + secret + ",3:" + secret}) {
            CAPTURE(text);
            const auto parsed = KeyRing::parse(text);
            REQUIRE_FALSE(parsed.has_value());
            CHECK(parsed.error().kind() == ErrorKind::SettingInvalid);
            CHECK(parsed.error().message().find("0001020304") == std::string::npos);
            CHECK(parsed.error().message().find("abcd") == std::string::npos);
        }
    }
}

TEST_CASE("The gossip of an instance")
{
    const KeyRing keys = parseKeyRing("1:000102030405060708090a0b0c0d0e0f");
    MemberIdentity self{InstanceId("here"), Incarnation(1), DataCentreId("quito"), here, here};
    Gossip gossip(GossipSettings{}, keys, self, {}, 1);
    const TimePoint now{};

    SUBCASE("counts dropped datagrams by reason")
    {
        const std::string bytes = encodeDatagram(fullDatagram(), keys, here);
        gossip.onBytes(now, std::string(2000, 'x'), elsewhere);
        gossip.onBytes(now, "short", elsewhere);
        gossip.onBytes(now, encodeDatagram(fullDatagram(), keys, elsewhere), elsewhere);
        gossip.onBytes(now, bytes, elsewhere);
        gossip.onBytes(now, bytes, elsewhere);
        for (const std::uint64_t dropped : gossip.traffic().dropped)
            CHECK(dropped == 1);
    }
    SUBCASE("sends no more state than its byte budget allows, and counts deferred state")
    {
        gossip.onBytes(now, encodeDatagram(fullDatagram(), keys, here), elsewhere);
        for (int i = 0; i < 400; ++i) {
            const StateKey key{{Topic::Placements, "quito"}, std::to_string(i)};
            REQUIRE(gossip.publish(now, key, Fence(5), std::string(800, 'x')).has_value());
        }
        CHECK(gossip.traffic().sentBytes < 30000);
        CHECK(gossip.traffic().deferred > 300);
    }
}
