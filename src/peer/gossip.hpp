/// @file
/// @brief Combines membership, dissemination, encoding and byte budget; without I/O.
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
    /// Bytes per second that an instance may send, UDP and IP headers included.
    std::uint32_t bytesPerSecond = 6500;
    /// Bytes that may be sent in one burst after an idle time.
    std::uint32_t burstBytes = 26000;
    auto operator<=>(const GossipSettings &) const = default;
};

/// @brief Action: send an encoded datagram.
struct SendBytes
{
    Endpoint to;
    std::string bytes;
    auto operator<=>(const SendBytes &) const = default;
};

using GossipAction = std::variant<SendBytes, MemberChanged, StateChanged, DeclaredGoneByPeers>;
using GossipActions = std::vector<GossipAction>;

/// @brief Bytes and datagrams since the start. Bytes include 28 bytes of UDP and IP headers for
/// each datagram.
struct GossipTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedDatagrams = 0;
    /// Number of times that state was held back because the byte budget was used up.
    std::uint64_t deferred = 0;
    /// Dropped datagrams by DatagramDropReason.
    std::array<std::uint64_t, datagramDropReasonCount> dropped{};
    auto operator<=>(const GossipTraffic &) const = default;
};

/// @brief Gossip protocol of one instance: received bytes in, bytes to send and changes out.
class Gossip
{
public:
    /// @param settings times and limits
    /// @param keys shared keys
    /// @param self identity of this process
    /// @param seeds endpoints that are contacted while no member is known at them
    /// @param seed seed of the random choices
    Gossip(GossipSettings settings, KeyRing keys, MemberIdentity self, std::vector<Endpoint> seeds,
           std::uint64_t seed);

    /// @brief Handles a received datagram; an invalid one is dropped and counted.
    /// @param bytes datagram as received
    /// @param source endpoint that it was sent from
    GossipActions onBytes(TimePoint now, std::string_view bytes, const Endpoint &source);

    /// @brief Handles a reading of the platform's list of instances.
    GossipActions onPlatformList(TimePoint now, const std::vector<ListedInstance> &list);

    /// @brief Handles an ICMP message that no process listens at an endpoint.
    GossipActions onPortRefused(TimePoint now, const Endpoint &endpoint);

    /// @brief Handles timers; must be called every 20 to 50 milliseconds.
    GossipActions onTick(TimePoint now);

    /// @brief Publishes an entry. Urgent topics are sent immediately, to every data centre.
    /// @return the actions to carry out, or an error of Dissemination::publish()
    Result<GossipActions> publish(TimePoint now, const StateKey &key, Fence fence,
                                  std::string payload);

    /// @brief Publishes the removal of an entry; result as for publish().
    Result<GossipActions> erase(TimePoint now, const StateKey &key, Fence fence);

    /// @brief Takes over a stream after a change of owner.
    /// @return the actions to carry out, or an error of Dissemination::takeOver()
    Result<GossipActions> takeOver(TimePoint now, const StreamKey &stream, Fence fence);

    /// @brief Announces that this process is stopping and accepts no new work.
    GossipActions announceLeaving(TimePoint now);

    /// @brief Announces that this process has ended; nothing is sent after it.
    GossipActions leave(TimePoint now);

    /// @brief Replaces the keys, for a rotation without a restart.
    void replaceKeys(KeyRing keys);

    const Membership &membership() const noexcept { return this->members; }
    const Dissemination &dissemination() const noexcept { return this->state; }
    const GossipTraffic &traffic() const noexcept { return this->totals; }

    /// @brief Writes the counters and gauges of gossip, membership and dissemination.
    void exportMetrics(Metrics &metrics) const;

private:
    void applyMembershipActions(TimePoint now, MembershipActions from, GossipActions &actions);
    void send(TimePoint now, SendDatagram message, GossipActions &actions);
    void sendFilled(TimePoint now, SendDatagram message, GossipActions &actions);
    SendDatagram makeUpdateDatagram(const Member &receiver) const;
    void forgetInstanceState(const Member &member);
    void sendUrgent(TimePoint now, bool isOrigin, GossipActions &actions);
    void sendPulls(TimePoint now, GossipActions &actions);
    void sendPulledRanges(TimePoint now, const InstanceId &receiver, GossipActions &actions);
    std::vector<Member> chooseUrgentReceivers(bool isOrigin);

    GossipSettings settings;
    KeyRing keys;
    Membership members;
    Dissemination state;
    ReplayFilter replayFilter;
    ByteBudget budget;
    Random random;
    std::uint64_t nextSequence = 1;
    GossipTraffic totals;
};

} // namespace bamboochute::peer
