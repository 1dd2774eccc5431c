#include "peer/membership.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Maximum number of suspected members probed in one period.
constexpr std::size_t maxSuspectsProbed = 8;
/// Maximum number of unanswered probes on behalf of other members.
constexpr std::size_t maxRelayedProbes = 256;
/// Maximum of the local health score, at which this instance trusts its own probes least.
constexpr std::uint32_t worstLocalHealth = 4;
/// Number of seeds contacted at a time while no member is reachable.
constexpr std::uint32_t seedsWhenAlone = 3;
/// Interval at which seeds are contacted while no member is reachable.
constexpr Duration seedPeriodWhenAlone = std::chrono::milliseconds(500);
/// Minimum time between two port refusals that are counted separately.
constexpr Duration refusalSpacing = std::chrono::milliseconds(150);
/// Consecutive port refusals after which a process is taken to have ended.
constexpr std::uint32_t refusalsForGone = 2;

} // namespace

MembershipActions Membership::onTick(TimePoint now)
{
    MembershipActions actions;
    if (this->hasLeft)
        return actions;
    this->detectPause(now);
    this->expireProbes(now, actions);
    this->expireSuspicions(now, actions);
    this->declareListedGone(now, actions);
    if (now >= this->nextProbeAt) {
        this->nextProbeAt = std::max(this->nextProbeAt + this->settings.probePeriod, now);
        this->probeNext(now, actions);
        this->probeSuspects(now, actions);
        this->table.forgetExpired(now);
    }
    if (now >= this->nextUnreachableProbeAt) {
        this->nextUnreachableProbeAt = now + this->settings.unreachableProbePeriod;
        this->probeUnreachable(now, actions);
    }
    this->contactSeeds(now, actions);
    this->sendUrgentUpdates(actions);
    return actions;
}

void Membership::detectPause(TimePoint now)
{
    const bool wasPaused = this->hasTicked && now - this->lastTick > this->settings.pauseThreshold;
    const Duration gap = now - this->lastTick;
    this->hasTicked = true;
    this->lastTick = now;
    if (!wasPaused)
        return;
    this->countEvent(MembershipEvent::SelfPaused);
    this->probes.clear();
    this->relayedProbes.clear();
    for (const InstanceId &instance : this->table.membersInState(MemberState::Suspected))
        this->table.find(instance)->stateSince += gap;
}

void Membership::startProbe(TimePoint now, const InstanceId &target, MembershipActions &actions)
{
    const MemberEntry *entry = this->table.find(target);
    if (entry == nullptr)
        return;
    const std::uint64_t number = this->nextProbe++;
    this->probes[number] = Probe{target, now, false};
    this->sendPing(*entry, number, actions);
    this->countEvent(MembershipEvent::ProbeSent);
}

void Membership::sendPing(const MemberEntry &entry, std::uint64_t number,
                          MembershipActions &actions)
{
    Datagram ping;
    ping.kind = DatagramKind::Ping;
    ping.probe = number;
    ping.members.push_back(this->selfUpdate());
    if (!isReachable(entry.member.state))
        ping.members.push_back(makeMemberUpdate(entry.member));
    this->piggybackUpdates(ping);
    ping.tableDigest = this->makeDigestForPeer(entry.member);
    const MemberIdentity &identity = entry.member.identity;
    this->send(std::move(ping), identity.datagramEndpoint, identity.instance, actions);
}

TableDigest Membership::makeDigestForPeer(const Member &peer) const
{
    // The receiver's table contains this process instead of the receiver.
    return this->table.expectedPeerDigest(peer, Member{this->selfIdentity, MemberState::Alive,
                                                       this->selfRefutation, this->isSelfLeaving,
                                                       GoneEvidence::None});
}

void Membership::handleAck(const Datagram &datagram, MembershipActions &actions)
{
    const auto own = this->probes.find(datagram.probe);
    if (own != this->probes.end() && own->second.target == datagram.sender) {
        this->probes.erase(own);
        this->localHealth -= this->localHealth > 0 ? 1 : 0;
        return;
    }
    const auto relayed = this->relayedProbes.find(datagram.probe);
    if (relayed == this->relayedProbes.end() || relayed->second.subject != datagram.sender)
        return;
    Datagram answer;
    answer.kind = DatagramKind::IndirectAck;
    answer.probe = relayed->second.requesterProbe;
    answer.subject = datagram.sender;
    if (const MemberEntry *subject = this->table.find(datagram.sender))
        answer.members.push_back(makeMemberUpdate(subject->member));
    this->sendToMember(relayed->second.requester, std::move(answer), actions);
    this->relayedProbes.erase(relayed);
}

void Membership::handleIndirectAck(TimePoint now, const Datagram &datagram,
                                   MembershipActions &actions)
{
    const auto own = this->probes.find(datagram.probe);
    if (own == this->probes.end() || own->second.target != datagram.subject)
        return;
    this->probes.erase(own);
    this->clearSuspicion(now, datagram.subject, actions);
}

void Membership::handlePingRequest(TimePoint now, const Datagram &datagram,
                                   MembershipActions &actions)
{
    const MemberEntry *subject = this->table.find(datagram.subject);
    if (subject == nullptr || this->relayedProbes.size() >= maxRelayedProbes)
        return;
    const std::uint64_t number = this->nextProbe++;
    this->relayedProbes[number]
            = RelayedProbe{datagram.sender, datagram.subject, datagram.probe, now};
    this->sendPing(*subject, number, actions);
}

void Membership::requestIndirectProbes(const Probe &probe, std::uint64_t number,
                                       MembershipActions &actions)
{
    const MemberEntry *target = this->table.find(probe.target);
    if (target == nullptr)
        return;
    for (const InstanceId &relay : this->pickRandomReachable(this->settings.indirectProbes)) {
        if (relay == probe.target)
            continue;
        Datagram request;
        request.kind = DatagramKind::PingRequest;
        request.probe = number;
        request.subject = probe.target;
        this->sendToMember(relay, std::move(request), actions);
        this->countEvent(MembershipEvent::IndirectProbeSent);
    }
}

void Membership::expireProbes(TimePoint now, MembershipActions &actions)
{
    for (auto each = this->probes.begin(); each != this->probes.end();) {
        Probe &probe = each->second;
        const Duration age = now - probe.sentAt;
        if (age >= this->settings.probeTimeout) {
            const Probe failed = probe;
            each = this->probes.erase(each);
            this->recordFailedProbe(now, failed, actions);
            continue;
        }
        const MemberEntry *target = this->table.find(probe.target);
        const bool isTargetReachable = target != nullptr && isReachable(target->member.state);
        if (!probe.isIndirect && isTargetReachable && age >= this->settings.directTimeout) {
            probe.isIndirect = true;
            this->requestIndirectProbes(probe, each->first, actions);
        }
        ++each;
    }
    std::erase_if(this->relayedProbes, [&](const auto &each) {
        return now - each.second.sentAt >= this->settings.probeTimeout;
    });
}

void Membership::recordFailedProbe(TimePoint now, const Probe &probe, MembershipActions &actions)
{
    MemberEntry *entry = this->table.find(probe.target);
    const bool hasReceivedSince
            = entry != nullptr && entry->hasReceived && entry->lastReceivedAt >= probe.sentAt;
    if (entry == nullptr || hasReceivedSince)
        return;
    ++entry->failedProbes;
    this->countEvent(MembershipEvent::ProbeTimedOut);
    if (entry->member.state == MemberState::Alive) {
        this->localHealth = std::min(this->localHealth + 1, worstLocalHealth);
        this->suspect(now, probe.target, actions);
    }
}

void Membership::suspect(TimePoint now, const InstanceId &target, MembershipActions &actions)
{
    this->countEvent(MembershipEvent::Suspected);
    this->applyChanges(
            this->table.setState(now, target, MemberState::Suspected, GoneEvidence::None, false),
            false, actions);
}

void Membership::expireSuspicions(TimePoint now, MembershipActions &actions)
{
    std::vector<InstanceId> unanswered;
    for (const InstanceId &instance : this->table.membersInState(MemberState::Suspected)) {
        if (now - this->table.find(instance)->stateSince >= this->scaledSuspicionTimeout())
            unanswered.push_back(instance);
    }
    for (const InstanceId &instance : unanswered) {
        const MemberEntry &entry = *this->table.find(instance);
        // An instance that receives nothing may itself be partitioned, so it does not forward this.
        const bool receivesFromOthers = this->lastDatagramAt > entry.stateSince;
        this->countEvent(MembershipEvent::DeclaredUnreachable);
        this->applyChanges(this->table.setState(now, instance, MemberState::Unreachable,
                                                GoneEvidence::None, receivesFromOthers),
                           receivesFromOthers, actions);
    }
}

void Membership::probeNext(TimePoint now, MembershipActions &actions)
{
    if (const std::optional<InstanceId> target = this->schedule.next(this->table, this->random))
        this->startProbe(now, *target, actions);
}

void Membership::probeSuspects(TimePoint now, MembershipActions &actions)
{
    const std::set<InstanceId> &suspected = this->table.membersInState(MemberState::Suspected);
    const std::vector<InstanceId> suspects(suspected.begin(), suspected.end());
    const std::size_t offset = suspects.empty() ? 0 : this->random.below(suspects.size());
    for (std::size_t i = 0; i < std::min(suspects.size(), maxSuspectsProbed); ++i)
        this->startProbe(now, suspects[(offset + i) % suspects.size()], actions);
}

void Membership::probeUnreachable(TimePoint now, MembershipActions &actions)
{
    const std::set<InstanceId> &unreachable = this->table.membersInState(MemberState::Unreachable);
    if (unreachable.empty())
        return;
    const auto chosen = static_cast<std::ptrdiff_t>(this->random.below(unreachable.size()));
    this->startProbe(now, InstanceId(*std::next(unreachable.begin(), chosen)), actions);
}

void Membership::contactSeeds(TimePoint now, MembershipActions &actions)
{
    if (now < this->nextSeedAt)
        return;
    const bool isAlone = this->schedule.reachable(this->table).empty();
    this->nextSeedAt = now + (isAlone ? seedPeriodWhenAlone : this->settings.seedPeriod);
    std::vector<Endpoint> unknown;
    const auto collect = [&](const std::vector<Endpoint> &from) {
        for (const Endpoint &endpoint : from) {
            const bool isSelf = endpoint == this->selfIdentity.datagramEndpoint;
            const MemberEntry *entry = this->table.findByEndpoint(endpoint);
            const bool isMember = entry != nullptr && entry->member.state != MemberState::Gone;
            if (!isSelf && !isMember)
                unknown.push_back(endpoint);
        }
    };
    collect(this->seeds);
    collect(this->listedEndpoints);
    for (std::uint32_t i = 0; i < (isAlone ? seedsWhenAlone : 1) && !unknown.empty(); ++i) {
        const std::size_t chosen = this->random.below(unknown.size());
        Datagram join;
        join.kind = DatagramKind::Join;
        join.members.push_back(this->selfUpdate());
        this->send(std::move(join), unknown[chosen], InstanceId(), actions);
        unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

MembershipActions Membership::onPortRefused(TimePoint now, const Endpoint &endpoint)
{
    MembershipActions actions;
    MemberEntry *entry = this->table.findByEndpoint(endpoint);
    if (this->hasLeft || entry == nullptr || entry->member.state == MemberState::Gone)
        return actions;
    if (entry->portRefusals > 0 && now - entry->portRefusedAt < refusalSpacing)
        return actions;
    const InstanceId instance = entry->member.identity.instance;
    entry->portRefusedAt = now;
    ++entry->portRefusals;
    if (entry->portRefusals >= refusalsForGone) {
        this->declareGone(now, instance, GoneEvidence::PortRefused, actions);
        this->sendUrgentUpdates(actions);
        return actions;
    }
    if (entry->member.state == MemberState::Alive)
        this->suspect(now, instance, actions);
    return actions;
}

void Membership::declareGone(TimePoint now, const InstanceId &instance, GoneEvidence evidence,
                             MembershipActions &actions)
{
    this->countEvent(MembershipEvent::DeclaredGone);
    this->applyChanges(this->table.setState(now, instance, MemberState::Gone, evidence, true), true,
                       actions);
    this->hasUrgentUpdates = true;
}

Duration Membership::scaledSuspicionTimeout() const
{
    // A single failed probe gives a score of one; only a higher score extends the timeout.
    const std::uint32_t excess = this->localHealth > 1 ? this->localHealth - 1 : 0;
    return this->settings.suspicionTimeout * (4 + excess) / 4;
}

} // namespace bamboochute::peer
