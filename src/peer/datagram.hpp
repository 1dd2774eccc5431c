/// @file
/// @brief Gossip datagrams: typed values, their encoding and their authentication.
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

/// Maximum size of a datagram, in bytes; small enough that IP does not fragment it.
constexpr std::size_t maxDatagramBytes = 1400;

/// Number of hash buckets by which two member tables are compared.
constexpr std::size_t tableBuckets = 16;

/// @brief Hash of each bucket of a member table.
using TableDigest = std::array<std::uint16_t, tableBuckets>;

/// @brief Purpose of a datagram. Each kind may also carry updates and state.
enum class DatagramKind : std::uint8_t {
    /// Probe; the receiver answers with an Ack.
    Ping,
    /// Answer to a Ping.
    Ack,
    /// Asks the receiver to probe another member for the sender.
    PingRequest,
    /// Reports that the member named in a PingRequest has answered.
    IndirectAck,
    /// Carries only updates and state.
    Updates,
    /// Requests the member table; carries the sender's identity.
    Join,
};

/// @brief One datagram between two instances.
struct Datagram
{
    DatagramKind kind = DatagramKind::Ping;
    InstanceId sender;
    Incarnation incarnation;
    /// Increases with each datagram of the sender.
    std::uint64_t sequence = 0;
    /// Number of the probe; an answer repeats it.
    std::uint64_t probe = 0;
    /// Member that is probed indirectly; only in PingRequest and IndirectAck.
    InstanceId subject;
    /// Updates, which the receiver forwards to other members.
    std::vector<MemberUpdate> members;
    /// Entries of the sender's member table that repair the receiver's; not forwarded.
    std::vector<MemberUpdate> records;
    /// Digest of the sender's member table, as the receiver's should be; only in Ping.
    std::optional<TableDigest> tableDigest;
    std::vector<StateDelta> deltas;
    std::vector<StreamDigest> digests;
    std::vector<StatePull> pulls;
    std::vector<StateRange> ranges;
    auto operator<=>(const Datagram &) const = default;
};

/// @brief Upper bound of the encoded size of one element, in bytes.
std::size_t estimateBytes(const MemberUpdate &update);
std::size_t estimateBytes(const StateDelta &delta);
std::size_t estimateBytes(const StreamDigest &digest);

/// @brief Upper bound of the encoded size of a datagram, in bytes.
std::size_t estimateBytes(const Datagram &datagram);

/// @brief Reason why a received datagram was dropped.
enum class DatagramDropReason : std::uint8_t {
    Oversized,
    Malformed,
    Unauthenticated,
    Replayed,
};

constexpr std::size_t datagramDropReasonCount = 4;

/// @brief Name of a reason, as in metrics.
std::string_view datagramDropReasonName(DatagramDropReason dropReason) noexcept;

/// @brief Encodes and signs a datagram (MessagePack and HMAC-SHA256).
/// @param datagram value to encode
/// @param keys the first one signs
/// @param destination endpoint that the datagram is sent to; the tag covers it, so that the
///        datagram can't be replayed to another instance
std::string encodeDatagram(const Datagram &datagram, const KeyRing &keys,
                           const Endpoint &destination);

/// @brief A decoded datagram, or the reason why it was dropped.
struct DecodedDatagram
{
    std::optional<Datagram> datagram;
    /// Meaningful only without a datagram.
    DatagramDropReason dropReason = DatagramDropReason::Malformed;
};

/// @brief Verifies and decodes a datagram.
/// @param bytes datagram as received
/// @param keys accepted keys
/// @param self endpoint at which other instances reach this one
DecodedDatagram decodeDatagram(std::string_view bytes, const KeyRing &keys, const Endpoint &self);

/// @brief Rejects replayed datagrams, by a window of the last 64 sequence numbers of each sender.
class ReplayFilter
{
public:
    /// Maximum number of senders that are remembered.
    static constexpr std::size_t maxSenders = 4096;

    /// @brief Records a datagram and tells whether it is new.
    /// @return false when it was seen before, is older than the window, or has a lower incarnation
    ///         than an earlier datagram of the sender
    bool accept(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence);

private:
    struct Window
    {
        Incarnation incarnation;
        std::uint64_t highest = 0;
        /// Bit i is set when the sequence number highest - i was seen.
        std::uint64_t seen = 0;
    };

    std::map<InstanceId, Window> windows;
};

} // namespace bamboochute::peer
