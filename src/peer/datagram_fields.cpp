#include "peer/datagram_fields.hpp"

#include "core/bounded_json.hpp"
#include "peer/dissemination.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::peer {

namespace {

using Json = nlohmann::json;

/// Maximum number of elements of one array.
constexpr std::size_t maxElements = 256;
/// Maximum size of an instance's or data centre's name, in bytes.
constexpr std::size_t maxNameBytes = 128;

/// Number of fields of a member update without data centre and endpoints.
constexpr std::size_t fieldsWithoutEndpoints = 6;

/// Thrown by the readers below on a wrong type or an exceeded limit; caught in readFields().
struct FieldError
{};

void require(bool condition)
{
    if (!condition)
        throw FieldError{};
}

// Writers. Each value becomes an array of its fields in a fixed order.

Json toJson(const MemberUpdate &update)
{
    const MemberIdentity &identity = update.identity;
    Json fields = Json::array({identity.instance.value(), identity.incarnation.value(),
                               static_cast<std::uint8_t>(update.state), update.refutation.value(),
                               static_cast<std::uint8_t>(update.isLeaving),
                               static_cast<std::uint8_t>(update.evidence)});
    if (!identity.datagramEndpoint.address.empty()) {
        fields.push_back(identity.dataCentre.value());
        fields.push_back(identity.datagramEndpoint.address);
        fields.push_back(identity.datagramEndpoint.port);
        // An empty address means the same address as the datagram endpoint's.
        const bool isSame = identity.callEndpoint.address == identity.datagramEndpoint.address;
        fields.push_back(isSame ? std::string() : identity.callEndpoint.address);
        fields.push_back(identity.callEndpoint.port);
    }
    return fields;
}

Json toJson(const StreamKey &key)
{
    return Json::array({static_cast<std::uint8_t>(key.topic), key.scope});
}

Json toBinary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

Json toJson(const StateDelta &delta)
{
    return Json::array({static_cast<std::uint8_t>(delta.key.stream.topic), delta.key.stream.scope,
                        delta.key.item, delta.version.fence.value(), delta.version.sequence.value(),
                        toBinary(delta.payload), static_cast<std::uint8_t>(delta.isErased)});
}

Json toJson(const StreamDigest &digest)
{
    return Json::array({static_cast<std::uint8_t>(digest.stream.topic), digest.stream.scope,
                        digest.fence.value(), digest.complete.value()});
}

Json toJson(const StatePull &pull)
{
    return toJson(pull.after);
}

Json toJson(const StateRange &range)
{
    Json deltas = Json::array();
    for (const StateDelta &delta : range.deltas) {
        deltas.push_back(Json::array({delta.key.item, delta.version.fence.value(),
                                      delta.version.sequence.value(), toBinary(delta.payload),
                                      static_cast<std::uint8_t>(delta.isErased)}));
    }
    return Json::array({toJson(range.stream), range.fence.value(), range.after.value(),
                        range.upTo.value(), range.snapshot.value(), std::move(deltas)});
}

Json toJson(const std::optional<TableDigest> &digest)
{
    if (!digest)
        return {};
    std::vector<std::uint8_t> bytes;
    bytes.reserve(digest->size() * sizeof(std::uint16_t));
    for (const std::uint16_t bucket : *digest) {
        bytes.push_back(static_cast<std::uint8_t>(bucket >> 8));
        bytes.push_back(static_cast<std::uint8_t>(bucket & 0xff));
    }
    return Json::binary(std::move(bytes));
}

template<typename Value>
Json toJson(const std::vector<Value> &values)
{
    Json array = Json::array();
    for (const Value &value : values)
        array.push_back(toJson(value));
    return array;
}

// Readers.

const Json &elementAt(const Json &array, std::size_t index)
{
    require(array.is_array() && index < array.size());
    return array[index];
}

std::uint64_t readNumber(const Json &array, std::size_t index,
                         std::uint64_t limit = ~std::uint64_t{0})
{
    const Json &value = elementAt(array, index);
    require(value.is_number_unsigned());
    const auto read = value.get<std::uint64_t>();
    require(read <= limit);
    return read;
}

std::string readText(const Json &array, std::size_t index, std::size_t limit)
{
    const Json &value = elementAt(array, index);
    require(value.is_string());
    const auto &read = value.get_ref<const std::string &>();
    require(read.size() <= limit);
    return read;
}

std::string readBytes(const Json &array, std::size_t index)
{
    const Json &value = elementAt(array, index);
    require(value.is_binary());
    const Json::binary_t &read = value.get_binary();
    require(read.size() <= maxPayloadBytes);
    return {read.begin(), read.end()};
}

template<typename Enumeration>
Enumeration readEnumeration(const Json &array, std::size_t index, Enumeration last)
{
    return static_cast<Enumeration>(readNumber(array, index, static_cast<std::uint64_t>(last)));
}

bool readFlag(const Json &array, std::size_t index)
{
    return readNumber(array, index, 1) == 1;
}

std::uint16_t readPort(const Json &array, std::size_t index)
{
    return static_cast<std::uint16_t>(readNumber(array, index, 0xffff));
}

void read(const Json &fields, MemberUpdate &update)
{
    MemberIdentity &identity = update.identity;
    identity.instance = InstanceId(readText(fields, 0, maxNameBytes));
    require(!identity.instance.isEmpty());
    identity.incarnation = Incarnation(readNumber(fields, 1));
    update.state = readEnumeration(fields, 2, MemberState::Gone);
    update.refutation = Refutation(readNumber(fields, 3));
    update.isLeaving = readFlag(fields, 4);
    update.evidence = readEnumeration(fields, 5, GoneEvidence::LaterIncarnation);
    if (fields.size() == fieldsWithoutEndpoints)
        return;
    identity.dataCentre = DataCentreId(readText(fields, 6, maxNameBytes));
    identity.datagramEndpoint = Endpoint{readText(fields, 7, maxNameBytes), readPort(fields, 8)};
    identity.callEndpoint = Endpoint{readText(fields, 9, maxNameBytes), readPort(fields, 10)};
    if (identity.callEndpoint.address.empty())
        identity.callEndpoint.address = identity.datagramEndpoint.address;
}

StreamKey readStream(const Json &fields)
{
    return StreamKey{readEnumeration(fields, 0, Topic::LoadSummary),
                     readText(fields, 1, maxKeyBytes)};
}

void read(const Json &fields, StateDelta &delta)
{
    delta.key.stream = readStream(fields);
    delta.key.item = readText(fields, 2, maxKeyBytes);
    delta.version = StateVersion{Fence(readNumber(fields, 3)), Sequence(readNumber(fields, 4))};
    require(delta.version.sequence > Sequence());
    delta.payload = readBytes(fields, 5);
    delta.isErased = readFlag(fields, 6);
}

void read(const Json &fields, StreamDigest &digest)
{
    digest.stream = readStream(fields);
    digest.fence = Fence(readNumber(fields, 2));
    digest.complete = Sequence(readNumber(fields, 3));
}

void read(const Json &fields, StatePull &pull)
{
    read(fields, pull.after);
}

void read(const Json &fields, StateRange &range)
{
    range.stream = readStream(elementAt(fields, 0));
    range.fence = Fence(readNumber(fields, 1));
    range.after = Sequence(readNumber(fields, 2));
    range.upTo = Sequence(readNumber(fields, 3));
    range.snapshot = Sequence(readNumber(fields, 4));
    require(range.after <= range.upTo);
    const Json &deltas = elementAt(fields, 5);
    require(deltas.is_array() && deltas.size() <= maxElements);
    for (const Json &entry : deltas) {
        StateDelta delta;
        delta.key = StateKey{range.stream, readText(entry, 0, maxKeyBytes)};
        delta.version = StateVersion{Fence(readNumber(entry, 1)), Sequence(readNumber(entry, 2))};
        require(delta.version.sequence > Sequence());
        delta.payload = readBytes(entry, 3);
        delta.isErased = readFlag(entry, 4);
        range.deltas.push_back(std::move(delta));
    }
}

template<typename Value>
void readList(const Json &fields, std::size_t index, std::size_t limit, std::vector<Value> &values)
{
    const Json &array = elementAt(fields, index);
    require(array.is_array() && array.size() <= limit);
    values.reserve(array.size());
    for (const Json &value : array)
        read(value, values.emplace_back());
}

void readTableDigest(const Json &fields, std::size_t index, std::optional<TableDigest> &digest)
{
    const Json &value = elementAt(fields, index);
    if (value.is_null())
        return;
    require(value.is_binary());
    const Json::binary_t &read = value.get_binary();
    digest.emplace();
    require(read.size() == digest->size() * sizeof(std::uint16_t));
    for (std::size_t bucket = 0; bucket < digest->size(); ++bucket) {
        const unsigned int high = read[2 * bucket];
        digest->at(bucket) = static_cast<std::uint16_t>((high << 8) | read[2 * bucket + 1]);
    }
}

Datagram readDatagram(const Json &fields)
{
    constexpr std::size_t fieldCount = 13;
    require(fields.is_array() && fields.size() == fieldCount);
    Datagram datagram;
    datagram.kind = readEnumeration(fields, 0, DatagramKind::Join);
    datagram.sender = InstanceId(readText(fields, 1, maxNameBytes));
    require(!datagram.sender.isEmpty());
    datagram.incarnation = Incarnation(readNumber(fields, 2));
    datagram.sequence = readNumber(fields, 3);
    datagram.probe = readNumber(fields, 4);
    datagram.subject = InstanceId(readText(fields, 5, maxNameBytes));
    readList(fields, 6, maxElements, datagram.members);
    readList(fields, 7, maxElements, datagram.records);
    readTableDigest(fields, 8, datagram.tableDigest);
    readList(fields, 9, maxElements, datagram.deltas);
    readList(fields, 10, maxElements, datagram.digests);
    readList(fields, 11, maxElements, datagram.pulls);
    readList(fields, 12, maxElements, datagram.ranges);
    return datagram;
}

} // namespace

void appendFields(std::string &bytes, const Datagram &datagram)
{
    const Json fields = Json::array(
            {static_cast<std::uint8_t>(datagram.kind), datagram.sender.value(),
             datagram.incarnation.value(), datagram.sequence, datagram.probe,
             datagram.subject.value(), toJson(datagram.members), toJson(datagram.records),
             toJson(datagram.tableDigest), toJson(datagram.deltas), toJson(datagram.digests),
             toJson(datagram.pulls), toJson(datagram.ranges)});
    Json::to_msgpack(fields, nlohmann::detail::output_adapter<char>(bytes));
}

std::optional<Datagram> readFields(std::string_view bytes)
{
    const std::optional<Json> fields
            = tryParseBoundedJson(bytes, {}, Json::input_format_t::msgpack);
    if (!fields)
        return std::nullopt;
    try {
        return readDatagram(*fields);
    } catch (const FieldError &) {
        return std::nullopt;
    }
}

} // namespace bamboochute::peer
