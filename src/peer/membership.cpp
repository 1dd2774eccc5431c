#include "peer/membership.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Maximum number of records that an Ack carries to repair the member table of the sender.
constexpr std::size_t maxRepairRecords = 10;
/// Maximum bytes of member updates in one datagram.
constexpr std::size_t maxUpdateBytes = 400;
/// Maximum bytes of records in one datagram.
constexpr std::size_t maxRecordBytes = 750;
/// Maximum number of records sent to a joining member; it gets the others by table digests.
constexpr std::size_t maxJoinRecords = 100;
/// Number of members that are notified directly of this process's end.
constexpr std::size_t leaveFanOut = 8;
/// Number of datagrams that an update about this process is piggybacked on.
constexpr std::uint32_t selfUpdateTransmissions = 20;

bool isUrgent(const TableChange &change)
{
    const bool hasTurned = isReachable(change.previousState) != isReachable(change.member.state);
    return hasTurned || change.isNew || change.member.isLeaving;
}

} // namespace

Membership::Membership(MembershipSettings settings, MemberIdentity self,
                       std::vector<Endpoint> seeds, std::uint64_t seed)
    : settings(settings)
    , selfIdentity(std::move(self))
    , seeds(std::move(seeds))
    , random(seed)
    , table(this->selfIdentity.instance, settings.updateTransmissions, settings.goneRetention)
    , schedule(this->selfIdentity.instance, settings.ringSuccessors)
    , nextProbe(this->random())
{}

MembershipActions Membership::onDatagram(TimePoint now, const Datagram &datagram,
                                         const Endpoint &source)
{
    MembershipActions actions;
    if (this->hasLeft)
        return actions;
    if (datagram.sender == this->selfIdentity.instance) {
        if (datagram.incarnation > this->selfIdentity.incarnation)
            actions.emplace_back(DeclaredGoneByPeers{GoneEvidence::LaterIncarnation});
        return actions;
    }
    const MemberEntry *known = this->table.find(datagram.sender);
    if (known != nullptr && datagram.incarnation < known->member.identity.incarnation) {
        this->notifyFormerProcess(*known, source, actions);
        return actions;
    }
    this->lastDatagramAt = now;
    this->applyUpdates(now, datagram, actions);
    this->recordSenderContact(now, datagram, actions);
    switch (datagram.kind) {
    case DatagramKind::Ping:
        this->handlePing(datagram, this->replyEndpoint(datagram, source), actions);
        break;
    case DatagramKind::Ack:
        this->handleAck(datagram, actions);
        break;
    case DatagramKind::PingRequest:
        this->handlePingRequest(now, datagram, actions);
        break;
    case DatagramKind::IndirectAck:
        this->handleIndirectAck(now, datagram, actions);
        break;
    case DatagramKind::Join:
        this->handleJoin(datagram, this->replyEndpoint(datagram, source), actions);
        break;
    case DatagramKind::Updates:
        break;
    }
    this->sendUrgentUpdates(actions);
    return actions;
}

void Membership::notifyFormerProcess(const MemberEntry &known, const Endpoint &source,
                                     MembershipActions &actions)
{
    Datagram updates;
    updates.kind = DatagramKind::Updates;
    updates.members.push_back(makeMemberUpdate(known.member, true));
    this->send(std::move(updates), source, known.member.identity.instance, actions);
}

void Membership::applyUpdates(TimePoint now, const Datagram &datagram, MembershipActions &actions)
{
    const auto applyUpdate = [&](const MemberUpdate &update, bool isForwarded) {
        if (update.identity.instance == this->selfIdentity.instance) {
            this->handleSelfUpdate(update, actions);
            return;
        }
        const bool isAboutSender = update.identity.instance == datagram.sender;
        if (!isAboutSender && this->shouldIgnoreReport(now, update))
            this->countEvent(MembershipEvent::HearsayDoubted);
        else
            this->applyChanges(this->table.merge(now, update, isForwarded), isForwarded, actions);
    };
    for (const MemberUpdate &update : datagram.members)
        applyUpdate(update, true);
    for (const MemberUpdate &record : datagram.records)
        applyUpdate(record, false);
}

bool Membership::shouldIgnoreReport(TimePoint now, const MemberUpdate &update) const
{
    if (update.state != MemberState::Unreachable)
        return false;
    const MemberEntry *entry = this->table.find(update.identity.instance);
    if (entry == nullptr || !isReachable(entry->member.state))
        return false;
    const bool isSameProcess = entry->member.identity.incarnation == update.identity.incarnation;
    return isSameProcess && entry->hasReceived
           && now - entry->lastReceivedAt < this->settings.suspicionTimeout;
}

void Membership::recordSenderContact(TimePoint now, const Datagram &datagram,
                                     MembershipActions &actions)
{
    const MemberEntry *entry = this->table.find(datagram.sender);
    if (entry == nullptr || entry->member.identity.incarnation != datagram.incarnation)
        return;
    if (entry->listedEvidence != GoneEvidence::None)
        this->countEvent(MembershipEvent::ListContradicted);
    this->clearSuspicion(now, datagram.sender, actions);
}

void Membership::clearSuspicion(TimePoint now, const InstanceId &instance,
                                MembershipActions &actions)
{
    this->table.recordContact(now, instance);
    const MemberEntry *entry = this->table.find(instance);
    if (entry == nullptr || entry->member.state != MemberState::Suspected)
        return;
    // Suspicions are not forwarded, so no other member has to be told that this one has ended.
    this->applyChanges(
            this->table.setState(now, instance, MemberState::Alive, GoneEvidence::None, false),
            false, actions);
}

void Membership::handleSelfUpdate(const MemberUpdate &update, MembershipActions &actions)
{
    const Incarnation ours = this->selfIdentity.incarnation;
    if (update.identity.incarnation > ours) {
        actions.emplace_back(DeclaredGoneByPeers{GoneEvidence::LaterIncarnation});
        return;
    }
    if (update.identity.incarnation < ours || update.refutation < this->selfRefutation)
        return;
    if (update.state == MemberState::Alive) {
        this->selfRefutation = update.refutation;
        return;
    }
    this->selfRefutation = update.refutation.next();
    this->selfUpdateTransmissionsLeft = selfUpdateTransmissions;
    this->hasUrgentUpdates = this->hasUrgentUpdates || !isReachable(update.state);
    this->countEvent(MembershipEvent::Refuted);
    if (update.state == MemberState::Gone)
        actions.emplace_back(DeclaredGoneByPeers{update.evidence});
}

void Membership::handlePing(const Datagram &datagram, const Endpoint &source,
                            MembershipActions &actions)
{
    Datagram ack;
    ack.kind = DatagramKind::Ack;
    ack.probe = datagram.probe;
    const MemberEntry *sender = this->table.find(datagram.sender);
    if (this->selfUpdateTransmissionsLeft > 0 || sender == nullptr)
        ack.members.push_back(this->selfUpdate());
    if (sender != nullptr && !isReachable(sender->member.state))
        ack.members.push_back(makeMemberUpdate(sender->member));
    this->piggybackUpdates(ack);
    if (datagram.tableDigest) {
        ack.records = this->table.recordsOfDifferentBucket(*datagram.tableDigest, this->random(),
                                                           maxRepairRecords);
        this->limitRecordBytes(ack.records);
    }
    this->send(std::move(ack), source, datagram.sender, actions);
}

Endpoint Membership::replyEndpoint(const Datagram &datagram, const Endpoint &source) const
{
    const MemberEntry *sender = this->table.find(datagram.sender);
    const bool isKnown
            = sender != nullptr && sender->member.identity.incarnation == datagram.incarnation;
    return isKnown ? sender->member.identity.datagramEndpoint : source;
}

void Membership::handleJoin(const Datagram &datagram, const Endpoint &source,
                            MembershipActions &actions)
{
    std::vector<MemberUpdate> records{this->selfUpdate()};
    for (const InstanceId &instance : this->pickRandomReachable(maxJoinRecords)) {
        if (instance != datagram.sender)
            records.push_back(makeMemberUpdate(this->table.find(instance)->member, true));
    }
    std::size_t position = 0;
    while (position < records.size()) {
        Datagram answer;
        answer.kind = DatagramKind::Updates;
        std::size_t bytes = 0;
        while (position < records.size()) {
            bytes += estimateBytes(records[position]);
            if (bytes > maxRecordBytes && !answer.records.empty())
                break;
            answer.records.push_back(records[position]);
            ++position;
        }
        this->send(std::move(answer), source, datagram.sender, actions);
    }
}

MembershipActions Membership::announceLeaving()
{
    MembershipActions actions;
    if (this->isSelfLeaving || this->hasLeft)
        return actions;
    this->isSelfLeaving = true;
    this->selfRefutation = this->selfRefutation.next();
    this->selfUpdateTransmissionsLeft = selfUpdateTransmissions;
    this->hasUrgentUpdates = true;
    this->sendUrgentUpdates(actions);
    return actions;
}

MembershipActions Membership::leave()
{
    MembershipActions actions;
    if (this->hasLeft)
        return actions;
    this->isSelfLeaving = true;
    MemberUpdate end = this->selfUpdate();
    end.state = MemberState::Gone;
    end.evidence = GoneEvidence::Left;
    for (const InstanceId &instance : this->pickRandomReachable(leaveFanOut)) {
        Datagram updates;
        updates.kind = DatagramKind::Updates;
        updates.members.push_back(end);
        this->sendToMember(instance, std::move(updates), actions);
    }
    this->hasLeft = true;
    this->probes.clear();
    return actions;
}

void Membership::applyChanges(const TableChanges &changes, bool isForwarded,
                              MembershipActions &actions)
{
    for (const TableChange &change : changes) {
        if (!change.isNew && !isReachable(change.previousState) && isReachable(change.member.state))
            this->countEvent(MembershipEvent::Rejoined);
        this->hasUrgentUpdates = this->hasUrgentUpdates || (isForwarded && isUrgent(change));
        actions.emplace_back(MemberChanged{change.member, change.previousState, change.isNew});
    }
}

void Membership::sendUrgentUpdates(MembershipActions &actions)
{
    if (!this->hasUrgentUpdates)
        return;
    this->hasUrgentUpdates = false;
    std::vector<MemberUpdate> fresh;
    if (this->selfUpdateTransmissionsLeft > 0)
        fresh.push_back(this->selfUpdate());
    const std::vector<MemberUpdate> updates = this->table.takeUpdates(maxMemberUpdates - 1);
    fresh.insert(fresh.end(), updates.begin(), updates.end());
    this->limitUpdateBytes(fresh);
    for (const InstanceId &instance : this->pickRandomReachable(this->settings.urgentFanOut)) {
        Datagram datagram;
        datagram.kind = DatagramKind::Updates;
        datagram.members = fresh;
        this->sendToMember(instance, std::move(datagram), actions);
    }
}

void Membership::piggybackUpdates(Datagram &datagram)
{
    constexpr std::size_t piggybackedUpdates = 6;
    if (this->selfUpdateTransmissionsLeft > 0)
        --this->selfUpdateTransmissionsLeft;
    const std::vector<MemberUpdate> updates = this->table.takeUpdates(piggybackedUpdates);
    datagram.members.insert(datagram.members.end(), updates.begin(), updates.end());
    this->limitUpdateBytes(datagram.members);
}

void Membership::limitUpdateBytes(std::vector<MemberUpdate> &updates) const
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < updates.size()) {
        bytes += estimateBytes(updates[kept]);
        if (bytes > maxUpdateBytes && kept > 0)
            break;
        ++kept;
    }
    updates.resize(kept);
}

void Membership::limitRecordBytes(std::vector<MemberUpdate> &records) const
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < records.size()) {
        bytes += estimateBytes(records[kept]);
        if (bytes > maxRecordBytes)
            break;
        ++kept;
    }
    records.resize(kept);
}

void Membership::send(Datagram datagram, const Endpoint &to, const InstanceId &receiver,
                      MembershipActions &actions) const
{
    datagram.sender = this->selfIdentity.instance;
    datagram.incarnation = this->selfIdentity.incarnation;
    actions.emplace_back(SendDatagram{to, receiver, std::move(datagram)});
}

void Membership::sendToMember(const InstanceId &receiver, Datagram datagram,
                              MembershipActions &actions) const
{
    const MemberEntry *entry = this->table.find(receiver);
    if (entry != nullptr)
        this->send(std::move(datagram), entry->member.identity.datagramEndpoint, receiver, actions);
}

MemberUpdate Membership::selfUpdate() const
{
    return MemberUpdate{this->selfIdentity, MemberState::Alive, this->selfRefutation,
                        this->isSelfLeaving, GoneEvidence::None};
}

std::vector<InstanceId> Membership::pickRandomReachable(std::size_t wanted)
{
    std::vector<InstanceId> picked = this->schedule.reachable(this->table);
    const std::size_t count = std::min(wanted, picked.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(picked[i], picked[i + this->random.below(picked.size() - i)]);
    picked.resize(count);
    return picked;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all;
    all.reserve(this->table.all().size());
    for (const auto &[instance, entry] : this->table.all())
        all.push_back(entry.member);
    return all;
}

std::optional<Member> Membership::find(const InstanceId &instance) const
{
    const MemberEntry *entry = this->table.find(instance);
    if (entry == nullptr)
        return std::nullopt;
    return entry->member;
}

bool Membership::isKnownGone(const InstanceId &instance, Incarnation incarnation) const
{
    const MemberEntry *entry = this->table.find(instance);
    if (entry == nullptr || incarnation > entry->member.identity.incarnation)
        return false;
    return incarnation < entry->member.identity.incarnation
           || entry->member.state == MemberState::Gone;
}

std::size_t Membership::reachableCount() const
{
    return this->table.membersInState(MemberState::Alive).size()
           + this->table.membersInState(MemberState::Suspected).size();
}

std::uint64_t Membership::count(MembershipEvent which) const
{
    if (which == MembershipEvent::TableFull)
        return this->table.rejectedCount();
    return this->counts.at(static_cast<std::size_t>(which));
}

void Membership::countEvent(MembershipEvent which)
{
    ++this->counts.at(static_cast<std::size_t>(which));
}

} // namespace bamboochute::peer
