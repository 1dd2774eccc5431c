#include "peer/datagram.hpp"

#include "peer/datagram_fields.hpp"

namespace bamboochute::peer {

namespace {

/// First byte of each datagram; other values stand for other formats.
constexpr char formatVersion = 1;
/// Size of format version and key identifier, in bytes.
constexpr std::size_t prefixBytes = 2;

std::string endpointContext(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

DecodedDatagram makeDropped(DatagramDropReason dropReason)
{
    return DecodedDatagram{std::nullopt, dropReason};
}

} // namespace

std::size_t estimateBytes(const MemberUpdate &update)
{
    // In MessagePack a number takes at most 9 bytes, a text 3 more than its length.
    constexpr std::size_t numbers = 3 + std::size_t{2} * 9 + 3;
    constexpr std::size_t endpointNumbers = std::size_t{3} * 3 + std::size_t{2} * 3;
    const MemberIdentity &identity = update.identity;
    std::size_t bytes = numbers + identity.instance.value().size();
    if (!identity.datagramEndpoint.address.empty())
        bytes += endpointNumbers + identity.dataCentre.value().size()
                 + identity.datagramEndpoint.address.size() + identity.callEndpoint.address.size();
    return bytes;
}

std::size_t estimateBytes(const StateDelta &delta)
{
    constexpr std::size_t numbers = 3 + std::size_t{2} * 9 + 4 + 4 + 2;
    return numbers + delta.key.stream.scope.size() + delta.key.item.size() + delta.payload.size();
}

std::size_t estimateBytes(const StreamDigest &digest)
{
    constexpr std::size_t numbers = 3 + std::size_t{2} * 9 + 2;
    return numbers + digest.stream.scope.size();
}

std::size_t estimateBytes(const Datagram &datagram)
{
    constexpr std::size_t lists = std::size_t{7} * 3;
    constexpr std::size_t numbers = std::size_t{3} * 9 + 2;
    constexpr std::size_t texts = std::size_t{2} * 3;
    std::size_t bytes = prefixBytes + tagBytes + lists + numbers + texts
                        + datagram.sender.value().size() + datagram.subject.value().size()
                        + tableBuckets * sizeof(std::uint16_t) + 3;
    for (const MemberUpdate &update : datagram.members)
        bytes += estimateBytes(update);
    for (const MemberUpdate &record : datagram.records)
        bytes += estimateBytes(record);
    for (const StateDelta &delta : datagram.deltas)
        bytes += estimateBytes(delta);
    for (const StreamDigest &digest : datagram.digests)
        bytes += estimateBytes(digest);
    for (const StatePull &pull : datagram.pulls)
        bytes += estimateBytes(pull.after);
    constexpr std::size_t rangeNumbers = std::size_t{4} * 9 + 8;
    for (const StateRange &range : datagram.ranges) {
        bytes += rangeNumbers + range.stream.scope.size();
        for (const StateDelta &delta : range.deltas)
            bytes += estimateBytes(delta);
    }
    return bytes;
}

std::string encodeDatagram(const Datagram &datagram, const KeyRing &keys,
                           const Endpoint &destination)
{
    std::string bytes;
    bytes.push_back(formatVersion);
    bytes.push_back(static_cast<char>(keys.signingKey()));
    appendFields(bytes, datagram);
    const AuthenticationTag tag = keys.sign(bytes, endpointContext(destination));
    bytes.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return bytes;
}

DecodedDatagram decodeDatagram(std::string_view bytes, const KeyRing &keys, const Endpoint &self)
{
    if (bytes.size() > maxDatagramBytes)
        return makeDropped(DatagramDropReason::Oversized);
    if (bytes.size() < prefixBytes + tagBytes || bytes.front() != formatVersion)
        return makeDropped(DatagramDropReason::Malformed);
    const std::string_view covered = bytes.substr(0, bytes.size() - tagBytes);
    const std::string_view tag = bytes.substr(covered.size());
    const auto key = static_cast<KeyId>(bytes[1]);
    if (!keys.verify(key, covered, endpointContext(self), tag))
        return makeDropped(DatagramDropReason::Unauthenticated);
    std::optional<Datagram> datagram = readFields(covered.substr(prefixBytes));
    if (!datagram)
        return makeDropped(DatagramDropReason::Malformed);
    return DecodedDatagram{std::move(datagram), DatagramDropReason::Malformed};
}

bool ReplayFilter::accept(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence)
{
    constexpr std::uint64_t windowSize = 64;
    const auto found = this->windows.find(sender);
    if (found == this->windows.end()) {
        if (this->windows.size() >= maxSenders)
            this->windows.erase(this->windows.begin());
        this->windows.emplace(sender, Window{incarnation, sequence, 1});
        return true;
    }
    Window &window = found->second;
    if (incarnation < window.incarnation)
        return false;
    if (incarnation > window.incarnation) {
        window = Window{incarnation, sequence, 1};
        return true;
    }
    if (sequence > window.highest) {
        const std::uint64_t ahead = sequence - window.highest;
        window.seen = ahead >= windowSize ? 0 : window.seen << ahead;
        window.seen |= 1;
        window.highest = sequence;
        return true;
    }
    const std::uint64_t behind = window.highest - sequence;
    if (behind >= windowSize)
        return false;
    const std::uint64_t bit = std::uint64_t{1} << behind;
    const bool isNew = (window.seen & bit) == 0;
    window.seen |= bit;
    return isNew;
}

} // namespace bamboochute::peer
