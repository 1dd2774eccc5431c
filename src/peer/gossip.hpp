/// @file
/// @brief Joins membership, spread of state, encoding and byte budget; still without I/O.
#pragma once

#include "core/clock.hpp"
#include "core/metrics.hpp"
#include "peer/byte_budget.hpp"
#include "peer/datagram.hpp"
#include "peer/dissemination.hpp"
#include "peer/membership.hpp"

#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboochute::peer {

/// @brief Settings of the gossip of one instance.
struct GossipSettings
{
    MembershipSettings membership;
    DisseminationSettings dissemination;
    /// Bytes that an instance may send a second, with the headers of UDP and IP.
    std::uint32_t bytesPerSecond = 6500;
    /// Bytes that may be sent at once after a quiet time.
    std::uint32_t burstBytes = 26000;
    auto operator<=>(const GossipSettings &) const = default;
};

/// @brief Action: send these bytes.
struct SendBytes
{
    Endpoint to;
    std::string bytes;
    auto operator<=>(const SendBytes &) const = default;
};

using GossipAction = std::variant<SendBytes, MemberChanged, StateChanged, DeclaredGoneByPeers>;
using GossipActions = std::vector<GossipAction>;

/// @brief Bytes and datagrams since the start, with 28 bytes of UDP and IP headers each.
struct GossipTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedDatagrams = 0;
    /// Times that state waited because the budget was used up.
    std::uint64_t deferred = 0;
    std::array<std::uint64_t, datagramRefusalCount> refused{};
    auto operator<=>(const GossipTraffic &) const = default;
};

/// @brief One instance's part in the gossip: bytes in, bytes and changes out.
class Gossip
{
public:
    /// @param settings times and bounds
    /// @param keys shared keys
    /// @param self this process
    /// @param seeds endpoints to contact first
    /// @param seed of the random choices
    Gossip(GossipSettings settings, KeyRing keys, MemberIdentity self, std::vector<Endpoint> seeds,
           std::uint64_t seed);

    /// @brief Takes a datagram as received; a bad one is counted and dropped.
    GossipActions onBytes(TimePoint now, std::string_view bytes, const Endpoint &source);

    /// @brief Takes a reading of the platform's list of instances.
    GossipActions onPlatformList(TimePoint now, const std::vector<ListedInstance> &list);

    /// @brief Takes the news that the host at an endpoint refused a datagram.
    GossipActions onPortRefused(TimePoint now, const Endpoint &endpoint);

    /// @brief Does what is due; call it every 20 to 50 milliseconds.
    GossipActions onTick(TimePoint now);

    /// @brief Publishes an entry and spreads it: urgent topics at once, to every data centre.
    /// @return the actions to carry out, or why the change was refused
    Result<GossipActions> publish(TimePoint now, const StateKey &key, Fence fence,
                                  std::string payload);

    /// @brief Publishes the removal of an entry.
    Result<GossipActions> erase(TimePoint now, const StateKey &key, Fence fence);

    /// @brief Takes a stream over after a change of owner.
    Result<GossipActions> takeOver(TimePoint now, const StreamKey &stream, Fence fence);

    /// @brief Says that this process stops and takes no new work.
    GossipActions announceLeaving(TimePoint now);

    /// @brief Says, as the last thing, that this process has ended.
    GossipActions leave(TimePoint now);

    /// @brief Accepts another set of keys, for a rotation without a restart.
    void replaceKeys(KeyRing keys);

    const Membership &membership() const noexcept { return this->members; }
    const Dissemination &dissemination() const noexcept { return this->state; }
    const GossipTraffic &traffic() const noexcept { return this->totals; }

    /// @brief Sets the counters and gauges of this package.
    void exportMetrics(Metrics &metrics) const;

private:
    void take(TimePoint now, MembershipActions from, GossipActions &actions);
    void send(TimePoint now, SendDatagram message, GossipActions &actions);
    void sendFilled(TimePoint now, SendDatagram message, GossipActions &actions);
    SendDatagram newsFor(const Member &receiver) const;
    void forgetStateOf(const Member &member);
    void sendUrgent(TimePoint now, bool isOrigin, GossipActions &actions);
    void sendPulls(TimePoint now, GossipActions &actions);
    void sendOwed(TimePoint now, const InstanceId &receiver, GossipActions &actions);
    std::vector<Member> urgentReceivers(bool isOrigin);

    GossipSettings settings;
    KeyRing keys;
    Membership members;
    Dissemination state;
    ReplayFilter replays;
    ByteBudget budget;
    Random random;
    std::uint64_t nextSequence = 1;
    GossipTraffic totals;
};

} // namespace bamboochute::peer
