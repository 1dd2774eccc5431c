/// @file
/// @brief Which instances are alive: a state machine without I/O, in the manner of SWIM.
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

/// @brief Times and bounds of the membership protocol.
struct MembershipSettings
{
    /// Time between two probes of an instance.
    Duration probePeriod = std::chrono::milliseconds(200);
    /// Time for a direct answer; then other members are asked to probe.
    Duration directTimeout = std::chrono::milliseconds(400);
    /// Time for any answer; then the member is suspected.
    Duration probeTimeout = std::chrono::milliseconds(1000);
    /// Time that a suspected member has to answer.
    Duration suspicionTimeout = std::chrono::milliseconds(2400);
    /// Time between two probes of unreachable members.
    Duration unreachableProbePeriod = std::chrono::seconds(1);
    /// Time between two contacts with a seed while it is not a member.
    Duration seedPeriod = std::chrono::seconds(2);
    /// A longer gap between two ticks means that this process was paused.
    Duration pauseThreshold = std::chrono::milliseconds(800);
    /// How long the platform's list must lack an unreachable member until it is gone.
    Duration absenceTimeout = std::chrono::seconds(60);
    /// How long a gone member is remembered.
    Duration goneRetention = std::chrono::minutes(10);
    /// Successors on the hash ring that an instance probes in turn.
    std::uint32_t ringSuccessors = 3;
    /// Members that are asked for an indirect probe.
    std::uint32_t indirectProbes = 4;
    /// Members that urgent news is sent on to at once.
    std::uint32_t eagerFanOut = 3;
    /// Times that one piece of news rides on a datagram.
    std::uint32_t newsTransmissions = 5;
    auto operator<=>(const MembershipSettings &) const = default;
};

/// Most news of members in one datagram.
constexpr std::size_t maxMemberUpdates = 16;

/// @brief Action: send this to an endpoint. The caller sets sequence number and state.
struct SendDatagram
{
    Endpoint to;
    /// Receiver, if it is known.
    InstanceId receiver;
    Datagram datagram;
    auto operator<=>(const SendDatagram &) const = default;
};

/// @brief Action: tell the process that a member has changed.
struct MemberChanged
{
    Member member;
    MemberState previousState = MemberState::Alive;
    /// Whether it was not a member before.
    bool isNew = false;
    auto operator<=>(const MemberChanged &) const = default;
};

/// @brief Action: others hold this very process for gone; it must not go on as an owner.
struct DeclaredGoneByPeers
{
    GoneEvidence evidence = GoneEvidence::None;
    auto operator<=>(const DeclaredGoneByPeers &) const = default;
};

using MembershipAction = std::variant<SendDatagram, MemberChanged, DeclaredGoneByPeers>;
using MembershipActions = std::vector<MembershipAction>;

/// @brief Reasons that membership counts.
enum class MembershipCount : std::uint8_t {
    ProbeSent,
    ProbeTimedOut,
    IndirectProbeSent,
    Suspected,
    Refuted,
    DeclaredUnreachable,
    DeclaredGone,
    Rejoined,
    ListContradicted,
    HearsayDoubted,
    SelfPaused,
    TableFull,
};

constexpr std::size_t membershipCountCount = 12;

/// @brief Name of a count, as in metrics.
std::string_view membershipCountName(MembershipCount count) noexcept;

/// @brief The members as one instance knows them.
class Membership
{
public:
    /// @param settings times and bounds
    /// @param self this process
    /// @param seeds endpoints to contact until a member is known there
    /// @param seed of the random choices
    Membership(MembershipSettings settings, MemberIdentity self, std::vector<Endpoint> seeds,
               std::uint64_t seed);

    /// @brief Takes an authenticated datagram that was not replayed.
    MembershipActions onDatagram(TimePoint now, const Datagram &datagram, const Endpoint &source);

    /// @brief Takes a reading of the platform's list, which may lag or be wrong.
    MembershipActions onPlatformList(TimePoint now, const std::vector<ListedInstance> &list);

    /// @brief Takes the news that the host at an endpoint refused a datagram: no process is there.
    MembershipActions onPortRefused(TimePoint now, const Endpoint &endpoint);

    /// @brief Does what is due; call it every 20 to 50 milliseconds.
    MembershipActions onTick(TimePoint now);

    /// @brief Says that this process stops: it takes no new work and still answers.
    MembershipActions announceLeaving();

    /// @brief Says, as the last thing, that this process has ended and carries out nothing more.
    MembershipActions leave();

    /// @brief All members but this process, by name; gone ones are among them for a while.
    std::vector<Member> members() const;

    /// @brief One member, unless it is not known.
    std::optional<Member> find(const InstanceId &instance) const;

    /// @brief Whether a process is known to be gone: this incarnation or an earlier one.
    bool isKnownGone(const InstanceId &instance, Incarnation incarnation) const;

    /// @brief Members that are alive or suspected, without this process.
    std::size_t reachableCount() const;

    const MemberIdentity &self() const noexcept { return this->selfIdentity; }

    /// @brief Value of a count since the start.
    std::uint64_t count(MembershipCount which) const;

private:
    /// A probe whose answer is awaited.
    struct Probe
    {
        InstanceId target;
        TimePoint sentAt{};
        bool isIndirect = false;
    };

    /// A probe done for another member.
    struct RelayedProbe
    {
        InstanceId asker;
        InstanceId subject;
        std::uint64_t askersProbe = 0;
        TimePoint sentAt{};
    };

    // News and datagrams (membership.cpp).
    void takeNews(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    bool doubtsHearsay(TimePoint now, const MemberUpdate &update) const;
    void noteHeard(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void clearSuspicion(TimePoint now, const InstanceId &instance, MembershipActions &actions);
    Endpoint replyEndpoint(const Datagram &datagram, const Endpoint &source) const;
    void handleNewsOfSelf(const MemberUpdate &update, MembershipActions &actions);
    void handlePing(const Datagram &datagram, const Endpoint &source, MembershipActions &actions);
    void handleJoin(const Datagram &datagram, const Endpoint &source, MembershipActions &actions);
    void tellFormerProcess(const MemberEntry &known, const Endpoint &source,
                           MembershipActions &actions);
    void apply(const TableChanges &changes, bool isPassedOn, MembershipActions &actions);
    void sendEagerNews(MembershipActions &actions);
    void attachNews(Datagram &datagram);
    void boundNews(std::vector<MemberUpdate> &updates) const;
    void boundRecords(std::vector<MemberUpdate> &records) const;
    void send(Datagram datagram, const Endpoint &to, const InstanceId &receiver,
              MembershipActions &actions) const;
    void sendTo(const InstanceId &receiver, Datagram datagram, MembershipActions &actions) const;
    MemberUpdate selfUpdate() const;
    std::vector<InstanceId> pickReachable(std::size_t wanted);
    void countUp(MembershipCount which);

    // Probes and what follows from them (membership_probing.cpp).
    void noticePause(TimePoint now);
    void startProbe(TimePoint now, const InstanceId &target, MembershipActions &actions);
    void sendPing(const MemberEntry &entry, std::uint64_t number, MembershipActions &actions);
    TableDigest digestForPeer(const Member &peer) const;
    void handleAck(const Datagram &datagram, MembershipActions &actions);
    void handleIndirectAck(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void handlePingRequest(TimePoint now, const Datagram &datagram, MembershipActions &actions);
    void askOthersToProbe(const Probe &probe, std::uint64_t number, MembershipActions &actions);
    void expireProbes(TimePoint now, MembershipActions &actions);
    void noteFailedProbe(TimePoint now, const Probe &probe, MembershipActions &actions);
    void suspect(TimePoint now, const InstanceId &target, MembershipActions &actions);
    void judgeSuspects(TimePoint now, MembershipActions &actions);
    void probeNext(TimePoint now, MembershipActions &actions);
    void probeSuspects(TimePoint now, MembershipActions &actions);
    void probeUnreachable(TimePoint now, MembershipActions &actions);
    void contactSeeds(TimePoint now, MembershipActions &actions);
    void declareGone(TimePoint now, const InstanceId &instance, GoneEvidence evidence,
                     MembershipActions &actions);
    Duration suspicionTime() const;

    // The platform's list (membership_list.cpp).
    void takeListed(TimePoint now, const ListedInstance &listed, MembershipActions &actions);
    bool trustsListOf(TimePoint now, const MemberEntry &entry) const;
    void noteAbsences(TimePoint now, const std::set<InstanceId> &present);
    bool isAbsenceProof(TimePoint now, const MemberEntry &entry) const;
    void judgeListed(TimePoint now, MembershipActions &actions);

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
    bool hasUrgentNews = false;
    /// Times that this process still puts its own news on datagrams.
    std::uint32_t selfNewsLeft = 0;
    bool hasTicked = false;
    TimePoint lastHeardAny{};
    std::uint32_t localHealth = 0;
    std::uint64_t nextProbe = 1;
    TimePoint lastTick{};
    TimePoint nextProbeAt{};
    TimePoint nextUnreachableProbeAt{};
    TimePoint nextSeedAt{};
    std::array<std::uint64_t, membershipCountCount> counts{};
};

} // namespace bamboochute::peer
