/// @file
/// @brief Membership datagrams: typed values, their encoding and their authentication.
#pragma once

#include "core/error.hpp"
#include "peer/key_ring.hpp"
#include "peer/member.hpp"
#include "peer/state_version.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Most bytes of a datagram, so that it is not fragmented.
constexpr std::size_t maxDatagramBytes = 1400;

/// Buckets by which two tables of members are compared.
constexpr std::size_t tableBuckets = 16;

/// @brief Hash of each bucket of a table of members.
using TableDigest = std::array<std::uint16_t, tableBuckets>;

enum class DatagramKind : std::uint8_t {
    /// Asks the receiver to answer.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to probe another member on behalf of the sender.
    PingRequest,
    /// Tells the result of a PingRequest that was answered.
    IndirectAck,
    /// Only carries news.
    News,
    /// Asks for the table of members; carries the sender's identity.
    Join,
};

/// @brief One datagram between two instances.
struct Datagram
{
    DatagramKind kind = DatagramKind::Ping;
    InstanceId sender;
    Incarnation incarnation;
    /// Raised with each datagram of the sender.
    std::uint64_t sequence = 0;
    /// Ties an answer to its question.
    std::uint64_t probe = 0;
    /// Member that is asked about; only in PingRequest and IndirectAck.
    InstanceId subject;
    /// News, which the receiver passes on.
    std::vector<MemberUpdate> members;
    /// Records of the sender's table, which repair the receiver's and are not passed on.
    std::vector<MemberUpdate> records;
    /// Sender's table, for comparison; only in Ping.
    std::optional<TableDigest> tableDigest;
    std::vector<StateDelta> deltas;
    std::vector<StreamDigest> digests;
    std::vector<StatePull> pulls;
    std::vector<StateRange> ranges;
    auto operator<=>(const Datagram &) const = default;
};

/// @brief Upper bound of the encoded bytes of one element.
std::size_t estimateBytes(const MemberUpdate &update);
std::size_t estimateBytes(const StateDelta &delta);
std::size_t estimateBytes(const StreamDigest &digest);

/// @brief Upper bound of the encoded bytes of a datagram.
std::size_t estimateBytes(const Datagram &datagram);

/// @brief Why a datagram was dropped.
enum class DatagramRefusal : std::uint8_t {
    Oversized,
    Malformed,
    Unauthenticated,
    Replayed,
};

constexpr std::size_t datagramRefusalCount = 4;

/// @brief Name of a refusal, as in metrics.
std::string_view datagramRefusalName(DatagramRefusal refusal) noexcept;

/// @brief Encodes and signs a datagram (MessagePack and HMAC-SHA256).
/// @param datagram value to encode
/// @param keys first key signs
/// @param destination endpoint that it is sent to; covered by the tag, so that it can't be
///        replayed to another instance
std::string encodeDatagram(const Datagram &datagram, const KeyRing &keys,
                           const Endpoint &destination);

/// @brief Either a datagram or the reason why it is dropped.
struct DecodedDatagram
{
    std::optional<Datagram> datagram;
    DatagramRefusal refusal = DatagramRefusal::Malformed;
};

/// @brief Verifies and decodes a datagram.
/// @param bytes as received
/// @param keys keys that are accepted
/// @param self endpoint at which this instance is reached
DecodedDatagram decodeDatagram(std::string_view bytes, const KeyRing &keys, const Endpoint &self);

/// @brief Accepts each datagram of a sender once, in a window of its last 64.
class ReplayFilter
{
public:
    /// Most senders that are remembered.
    static constexpr std::size_t maxSenders = 4096;

    /// @brief Whether the datagram is new: not of a former process, not seen, not too old.
    bool accept(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence);

private:
    struct Window
    {
        Incarnation incarnation;
        std::uint64_t highest = 0;
        /// Bit i: the sequence number highest - i was seen.
        std::uint64_t seen = 0;
    };

    std::map<InstanceId, Window> windows;
};

} // namespace bamboochute::peer
