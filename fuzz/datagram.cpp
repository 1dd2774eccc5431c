// Fuzzes the datagram decoder: arbitrary bytes are read as the fields of a datagram, and fields
// that were read must stay equal when they are written and read again.
#include "peer/datagram_fields.hpp"

#include "core/invariant.hpp"
#include "peer/gossip.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace bamboochute;
using namespace bamboochute::peer;

namespace {

constexpr std::size_t maxInputBytes = maxDatagramBytes;

Gossip makeGossip(const KeyRing &keys, const Endpoint &self)
{
    const MemberIdentity identity{InstanceId("self"), Incarnation(1), DataCentreId("centre"), self,
                                  self};
    return Gossip(GossipSettings{}, keys, identity, {}, 1);
}

void checkFields(std::string_view bytes, const KeyRing &keys, const Endpoint &self)
{
    const std::optional<Datagram> datagram = readFields(bytes);
    if (!datagram)
        return;
    std::string written;
    appendFields(written, *datagram);
    const std::optional<Datagram> reread = readFields(written);
    BC_INVARIANT(reread && *reread == *datagram,
                 "a datagram is unchanged when it is written and read again");
    if (estimateBytes(*datagram) <= maxDatagramBytes) {
        Gossip gossip = makeGossip(keys, self);
        gossip.onBytes(TimePoint{}, encodeDatagram(*datagram, keys, self), self);
        gossip.onTick(TimePoint{std::chrono::seconds(1)});
    }
}

/// Makes a valid datagram, then overwrites bytes of it: each pair of input bytes is a position and
/// the new value there.
std::string makeCorruptedDatagram(const std::uint8_t *data, std::size_t size)
{
    Datagram datagram;
    datagram.sender = InstanceId("entry-1");
    MemberUpdate update;
    update.identity = MemberIdentity{InstanceId("entry-2"), Incarnation(4), DataCentreId("centre"),
                                     Endpoint{"10.0.0.2", 7200}, Endpoint{"10.0.0.2", 7201}};
    datagram.members.push_back(update);
    datagram.tableDigest.emplace();
    const StateKey key{{Topic::Placements, "pool"}, "item"};
    const StateDelta delta{key, StateVersion{Fence(2), Sequence(9)}, "12", false};
    datagram.deltas.push_back(delta);
    datagram.digests.push_back(StreamDigest{key.stream, Fence(2), Sequence(9)});
    datagram.pulls.push_back(StatePull{StreamDigest{key.stream, Fence(2), Sequence(4)}});
    datagram.ranges.push_back(
            StateRange{key.stream, Fence(2), Sequence(4), Sequence(9), Sequence(2), {delta}});
    std::string bytes;
    appendFields(bytes, datagram);
    for (std::size_t i = 0; i + 1 < size; i += 2)
        bytes[data[i] % bytes.size()] = static_cast<char>(data[i + 1]);
    return bytes;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const KeyRing keys = KeyRing::parse("1:000102030405060708090a0b0c0d0e0f").value();
    static const Endpoint self{"10.0.0.1", 7200};
    if (size > maxInputBytes)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);

    // As received from a sender without the key.
    decodeDatagram(bytes, keys, self);

    // As received from a member with the key: arbitrary fields, and valid ones with changed bytes.
    checkFields(bytes, keys, self);
    checkFields(makeCorruptedDatagram(data, size), keys, self);
    return 0;
}
