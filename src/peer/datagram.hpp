/// @file
/// @brief Membership datagrams: typed values, their encoding and their authentication.
#pragma once

#include "core/error.hpp"
#include "peer/key_ring.hpp"
#include "peer/member.hpp"
#include "peer/state_version.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Most bytes of a datagram, so that it is not fragmented.
constexpr std::size_t maxDatagramBytes = 1400;

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
    std::vector<MemberUpdate> members;
    std::vector<StateDelta> deltas;
    std::vector<StreamDigest> digests;
    std::vector<StatePull> pulls;
    std::vector<StateRange> ranges;
    auto operator<=>(const Datagram &) const = default;
};

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
