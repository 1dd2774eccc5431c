/// @file
/// @brief Membership and failure detection after the SWIM protocol, as a state machine without I/O.
#pragma once

#include "core/clock.hpp"
#include "core/random.hpp"
#include "peer/datagram.hpp"
#include "peer/member_table.hpp"
#include "peer/probe_schedule.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace bamboochute::peer {

/// @brief Times and limits of the membership protocol.
struct MembershipSettings
{
    /// Interval at which an instance sends probes.
    Duration probePeriod = std::chrono::milliseconds(200);
    /// Time without a direct answer after which other members are asked to probe.
    Duration directTimeout = std::chrono::milliseconds(400);
    /// Time without any answer after which the probe has failed and the member is suspected.
    Duration probeTimeout = std::chrono::milliseconds(1000);
    /// Time without an answer after which a suspected member is declared unreachable.
    Duration suspicionTimeout = std::chrono::milliseconds(2400);
    /// Interval at which unreachable members are probed.
    Duration unreachableProbePeriod = std::chrono::seconds(1);
    /// Interval at which seeds that are not members are contacted.
    Duration seedPeriod = std::chrono::seconds(2);
    /// A longer gap between two ticks is taken as a pause of this process.
    Duration pauseThreshold = std::chrono::milliseconds(800);
    /// Time that an unreachable member must be absent from the platform's list to be declared gone.
    Duration absenceTimeout = std::chrono::seconds(60);
    /// Time after which a gone member is removed.
    Duration goneRetention = std::chrono::minutes(10);
    /// Number of successors on the hash ring that an instance probes in turn.
    std::uint32_t ringSuccessors = 3;
    /// Number of members that are asked for an indirect probe.
    std::uint32_t indirectProbes = 4;
    /// Number of members to which urgent updates are sent immediately.
    std::uint32_t urgentFanOut = 3;
    /// Number of datagrams that one update is piggybacked on.
    std::uint32_t updateTransmissions = 5;
    auto operator<=>(const MembershipSettings &) const = default;
};

/// Maximum number of member updates in one datagram.
constexpr std::size_t maxMemberUpdates = 16;

/// @brief Action: send a datagram. Whoever carries it out sets the sequence number and adds state.
struct SendDatagram
{
    Endpoint to;
    /// Receiving instance; empty when unknown.
    InstanceId receiver;
    Datagram datagram;
    auto operator<=>(const SendDatagram &) const = default;
};

/// @brief Action: report a change of a member to the process.
struct MemberChanged
{
    /// Member after the change.
    Member member;
    MemberState previousState = MemberState::Alive;
    /// Whether the process was not a member before.
    bool isNew = false;
    auto operator<=>(const MemberChanged &) const = default;
};

/// @brief Action: other members have declared this process gone, or know a later process of the
/// same instance. This process must stop acting as an owner.
struct DeclaredGoneByPeers
{
    GoneEvidence evidence = GoneEvidence::None;
    auto operator<=>(const DeclaredGoneByPeers &) const = default;
};

using MembershipAction = std::variant<SendDatagram, MemberChanged, DeclaredGoneByPeers>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Events that membership counts; each is a label value in metrics.
enum class MembershipEvent : std::uint8_t {
    ProbeSent,
    ProbeTimedOut,
    IndirectProbeSent,
    Suspected,
    /// This process refuted an update that it has failed.
    Refuted,
    DeclaredUnreachable,
    DeclaredGone,
    /// A member became reachable again.
    Rejoined,
    /// A member that the platform's list reports as ended sent a datagram.
    ListContradicted,
    /// An update that a member is unreachable was ignored, as the member was in contact recently.
    HearsayDoubted,
    /// This process was paused for longer than the threshold.
    SelfPaused,
    /// A new member was rejected because the table was full.
    TableFull,
};

constexpr std::size_t membershipEventCount = 12;

/// @brief Name of an event, as in metrics.
std::string_view membershipEventName(MembershipEvent count) noexcept;

/// @brief The members of the fleet as known to one instance.
class Membership
{
public:
    /// @param settings times and limits
    /// @param self identity of this process
    /// @param seeds endpoints that are contacted while no member is known at them
    /// @param seed seed of the random choices
    Membership(MembershipSettings settings, MemberIdentity self, std::vector<Endpoint> seeds,
               std::uint64_t seed);

    /// @brief Handles a received datagram that is authentic and not replayed.
    /// @param source endpoint that the datagram was sent from
    MembershipActions onDatagram(TimePoint now, const Datagram &datagram, const Endpoint &source);

    /// @brief Handles a reading of the platform's list, which may be outdated or wrong.
    MembershipActions onPlatformList(TimePoint now, const std::vector<ListedInstance> &list);

    /// @brief Handles an ICMP message that no process listens at an endpoint.
    MembershipActions onPortRefused(TimePoint now, const Endpoint &endpoint);

    /// @brief Handles timers; must be called every 20 to 50 milliseconds.
    MembershipActions onTick(TimePoint now);

    /// @brief Announces that this process is stopping: it accepts no new work but still answers.
    MembershipActions announceLeaving();

    /// @brief Announces that this process has ended and carries out nothing more; nothing is sent
    /// after it.
    MembershipActions leave();

    /// @brief All members except this process, ordered by name, including gone ones for
    /// MembershipSettings::goneRetention.
    std::vector<Member> members() const;

    /// @brief A member, or std::nullopt when it is unknown.
    std::optional<Member> find(const InstanceId &instance) const;

    /// @brief Whether a process is known to be gone: it was declared gone, or the instance has a
    /// later incarnation.
    bool isKnownGone(const InstanceId &instance, Incarnation incarnation) const;

    /// @brief Number of members that are alive or suspected, without this process.
    std::size_t reachableCount() const;

    const MemberIdentity &self() const noexcept { return this->selfIdentity; }

    /// @brief Number of times that an event occurred since the start.
    std::uint64_t count(MembershipEvent which) const;

private:
    /// A probe that was not answered yet.
    struct Probe
    {
        InstanceId target;
        TimePoint sentAt{};
        /// Whether other members were asked to probe.
        bool isIndirect = false;
    };

    /// A probe sent on behalf of another member.
    struct RelayedProbe
    {
        InstanceId requester;
        InstanceId subject;
        std::uint64_t requesterProbe = 0;
        TimePoint sentAt{};
    };

    // Updates and datagrams (membership.cpp).
    void applyUpdates(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    bool shouldIgnoreReport(TimePoint now, const MemberUpdate &update) const;
    void recordSenderContact(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void clearSuspicion(TimePoint now, const InstanceId &instance, MembershipActions &actions);
    Endpoint replyEndpoint(const Datagram &datagram, const Endpoint &source) const;
    void handleSelfUpdate(const MemberUpdate &update, MembershipActions &actions);
    void handlePing(const Datagram &datagram, const Endpoint &source, MembershipActions &actions);
    void handleJoin(const Datagram &datagram, const Endpoint &source, MembershipActions &actions);
    void notifyFormerProcess(const MemberEntry &known, const Endpoint &source,
                             MembershipActions &actions);
    void applyChanges(const TableChanges &changes, bool isForwarded, MembershipActions &actions);
    void sendUrgentUpdates(MembershipActions &actions);
    void piggybackUpdates(Datagram &datagram);
    void limitUpdateBytes(std::vector<MemberUpdate> &updates) const;
    void limitRecordBytes(std::vector<MemberUpdate> &records) const;
    void send(Datagram datagram, const Endpoint &to, const InstanceId &receiver,
              MembershipActions &actions) const;
    void sendToMember(const InstanceId &receiver, Datagram datagram,
                      MembershipActions &actions) const;
    MemberUpdate selfUpdate() const;
    std::vector<InstanceId> pickRandomReachable(std::size_t wanted);
    void countEvent(MembershipEvent which);

    // Probes and failure detection (membership_probing.cpp).
    void detectPause(TimePoint now);
    void startProbe(TimePoint now, const InstanceId &target, MembershipActions &actions);
    void sendPing(const MemberEntry &entry, std::uint64_t number, MembershipActions &actions);
    TableDigest makeDigestForPeer(const Member &peer) const;
    void handleAck(const Datagram &datagram, MembershipActions &actions);
    void handleIndirectAck(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void handlePingRequest(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void requestIndirectProbes(const Probe &probe, std::uint64_t number,
                               MembershipActions &actions);
    void expireProbes(TimePoint now, MembershipActions &actions);
    void recordFailedProbe(TimePoint now, const Probe &probe, MembershipActions &actions);
    void suspect(TimePoint now, const InstanceId &target, MembershipActions &actions);
    void expireSuspicions(TimePoint now, MembershipActions &actions);
    void probeNext(TimePoint now, MembershipActions &actions);
    void probeSuspects(TimePoint now, MembershipActions &actions);
    void probeUnreachable(TimePoint now, MembershipActions &actions);
    void contactSeeds(TimePoint now, MembershipActions &actions);
    void declareGone(TimePoint now, const InstanceId &instance, GoneEvidence evidence,
                     MembershipActions &actions);
    Duration scaledSuspicionTimeout() const;

    // The platform's list (membership_list.cpp).
    void applyListedInstance(TimePoint now, const ListedInstance &listed,
                             MembershipActions &actions);
    bool isListTrustedFor(TimePoint now, const MemberEntry &entry) const;
    void countAbsences(TimePoint now, const std::set<InstanceId> &present);
    bool isAbsenceConclusive(TimePoint now, const MemberEntry &entry) const;
    void declareListedGone(TimePoint now, MembershipActions &actions);

    MembershipSettings settings;
    MemberIdentity selfIdentity;
    std::vector<Endpoint> seeds;
    std::vector<Endpoint> listedEndpoints;
    Random random;
    MemberTable table;
    ProbeSchedule schedule;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    Refutation selfRefutation;
    bool isSelfLeaving = false;
    bool hasLeft = false;
    bool hasUrgentUpdates = false;
    /// Number of datagrams that the update about this process is still piggybacked on.
    std::uint32_t selfUpdateTransmissionsLeft = 0;
    bool hasTicked = false;
    /// When a datagram of any member was last received.
    TimePoint lastDatagramAt{};
    /// Failed probes that may be this process's own fault; 0 is healthy. Extends the suspicion
    /// timeout.
    std::uint32_t localHealth = 0;
    std::uint64_t nextProbe = 1;
    TimePoint lastTick{};
    TimePoint nextProbeAt{};
    TimePoint nextUnreachableProbeAt{};
    TimePoint nextSeedAt{};
    std::array<std::uint64_t, membershipEventCount> counts{};
};

} // namespace bamboochute::peer
