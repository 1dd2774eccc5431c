// Reads arbitrary bytes as the fields of a datagram, and what is read writes and reads back alike.
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

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const KeyRing keys = KeyRing::parse("1:000102030405060708090a0b0c0d0e0f").value();
    static const Endpoint self{"10.0.0.1", 7200};
    if (size > maxInputBytes)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);

    // As a stranger sends it.
    decodeDatagram(bytes, keys, self);

    // As a member with the key sends it.
    const std::optional<Datagram> datagram = readFields(bytes);
    if (!datagram)
        return 0;
    std::string written;
    appendFields(written, *datagram);
    const std::optional<Datagram> again = readFields(written);
    BC_INVARIANT(again && *again == *datagram, "a datagram reads as it was written");
    if (estimateBytes(*datagram) <= maxDatagramBytes) {
        Gossip gossip = makeGossip(keys, self);
        gossip.onBytes(TimePoint{}, encodeDatagram(*datagram, keys, self), self);
        gossip.onTick(TimePoint{std::chrono::seconds(1)});
    }
    return 0;
}
