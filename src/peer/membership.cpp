#include "peer/membership.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

/// Most records that an answer to a ping carries to repair a table.
constexpr std::size_t maxRepairRecords = 10;
/// Most bytes of members' news on one datagram.
constexpr std::size_t maxNewsBytes = 400;
/// Most bytes of records on one datagram.
constexpr std::size_t maxRecordBytes = 750;
/// Most records that answer a member that joins; the comparison of tables brings the others.
constexpr std::size_t maxJoinRecords = 100;
/// Members that are told directly of this process's end.
constexpr std::size_t farewellFanOut = 8;
/// Times that news of this process rides on its datagrams.
constexpr std::uint32_t selfNewsTransmissions = 20;

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
    , table(this->selfIdentity.instance, settings.newsTransmissions, settings.goneRetention)
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
        this->tellFormerProcess(*known, source, actions);
        return actions;
    }
    this->lastHeardAny = now;
    this->takeNews(now, datagram, actions);
    this->noteHeard(now, datagram, actions);
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
    case DatagramKind::News:
        break;
    }
    this->sendEagerNews(actions);
    return actions;
}

void Membership::tellFormerProcess(const MemberEntry &known, const Endpoint &source,
                                   MembershipActions &actions)
{
    Datagram news;
    news.kind = DatagramKind::News;
    news.members.push_back(updateOf(known.member, true));
    this->send(std::move(news), source, known.member.identity.instance, actions);
}

void Membership::takeNews(TimePoint now, const Datagram &datagram, MembershipActions &actions)
{
    const auto takeOne = [&](const MemberUpdate &update, bool isPassedOn) {
        if (update.identity.instance == this->selfIdentity.instance) {
            this->handleNewsOfSelf(update, actions);
            return;
        }
        const bool isOwnWord = update.identity.instance == datagram.sender;
        if (!isOwnWord && this->doubtsHearsay(now, update))
            this->countUp(MembershipCount::HearsayDoubted);
        else
            this->apply(this->table.merge(now, update, isPassedOn), isPassedOn, actions);
    };
    for (const MemberUpdate &update : datagram.members)
        takeOne(update, true);
    for (const MemberUpdate &record : datagram.records)
        takeOne(record, false);
}

bool Membership::doubtsHearsay(TimePoint now, const MemberUpdate &update) const
{
    if (update.state != MemberState::Unreachable)
        return false;
    const MemberEntry *entry = this->table.find(update.identity.instance);
    if (entry == nullptr || !isReachable(entry->member.state))
        return false;
    const bool isSameProcess = entry->member.identity.incarnation == update.identity.incarnation;
    return isSameProcess && entry->wasHeard
           && now - entry->lastHeard < this->settings.suspicionTimeout;
}

void Membership::noteHeard(TimePoint now, const Datagram &datagram, MembershipActions &actions)
{
    const MemberEntry *entry = this->table.find(datagram.sender);
    if (entry == nullptr || entry->member.identity.incarnation != datagram.incarnation)
        return;
    if (entry->listed != GoneEvidence::None)
        this->countUp(MembershipCount::ListContradicted);
    this->clearSuspicion(now, datagram.sender, actions);
}

void Membership::clearSuspicion(TimePoint now, const InstanceId &instance,
                                MembershipActions &actions)
{
    this->table.heard(now, instance);
    const MemberEntry *entry = this->table.find(instance);
    if (entry == nullptr || entry->member.state != MemberState::Suspected)
        return;
    // A suspicion is not passed on, so the answer ends it here without more ado.
    this->apply(this->table.setState(now, instance, MemberState::Alive, GoneEvidence::None, false),
                false, actions);
}

void Membership::handleNewsOfSelf(const MemberUpdate &update, MembershipActions &actions)
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
    this->selfNewsLeft = selfNewsTransmissions;
    this->hasUrgentNews = this->hasUrgentNews || !isReachable(update.state);
    this->countUp(MembershipCount::Refuted);
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
    if (this->selfNewsLeft > 0 || sender == nullptr)
        ack.members.push_back(this->selfUpdate());
    if (sender != nullptr && !isReachable(sender->member.state))
        ack.members.push_back(updateOf(sender->member));
    this->attachNews(ack);
    if (datagram.tableDigest) {
        ack.records = this->table.recordsWhereDifferent(*datagram.tableDigest, this->random(),
                                                        maxRepairRecords);
        this->boundRecords(ack.records);
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
    for (const InstanceId &instance : this->pickReachable(maxJoinRecords)) {
        if (instance != datagram.sender)
            records.push_back(updateOf(this->table.find(instance)->member, true));
    }
    std::size_t position = 0;
    while (position < records.size()) {
        Datagram answer;
        answer.kind = DatagramKind::News;
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
    this->selfNewsLeft = selfNewsTransmissions;
    this->hasUrgentNews = true;
    this->sendEagerNews(actions);
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
    for (const InstanceId &instance : this->pickReachable(farewellFanOut)) {
        Datagram news;
        news.kind = DatagramKind::News;
        news.members.push_back(end);
        this->sendTo(instance, std::move(news), actions);
    }
    this->hasLeft = true;
    this->probes.clear();
    return actions;
}

void Membership::apply(const TableChanges &changes, bool isPassedOn, MembershipActions &actions)
{
    for (const TableChange &change : changes) {
        if (!change.isNew && !isReachable(change.previousState) && isReachable(change.member.state))
            this->countUp(MembershipCount::Rejoined);
        this->hasUrgentNews = this->hasUrgentNews || (isPassedOn && isUrgent(change));
        actions.emplace_back(MemberChanged{change.member, change.previousState, change.isNew});
    }
}

void Membership::sendEagerNews(MembershipActions &actions)
{
    if (!this->hasUrgentNews)
        return;
    this->hasUrgentNews = false;
    std::vector<MemberUpdate> fresh;
    if (this->selfNewsLeft > 0)
        fresh.push_back(this->selfUpdate());
    const std::vector<MemberUpdate> news = this->table.takeNews(maxMemberUpdates - 1);
    fresh.insert(fresh.end(), news.begin(), news.end());
    this->boundNews(fresh);
    for (const InstanceId &instance : this->pickReachable(this->settings.eagerFanOut)) {
        Datagram datagram;
        datagram.kind = DatagramKind::News;
        datagram.members = fresh;
        this->sendTo(instance, std::move(datagram), actions);
    }
}

void Membership::attachNews(Datagram &datagram)
{
    constexpr std::size_t piggybackedUpdates = 6;
    if (this->selfNewsLeft > 0)
        --this->selfNewsLeft;
    const std::vector<MemberUpdate> news = this->table.takeNews(piggybackedUpdates);
    datagram.members.insert(datagram.members.end(), news.begin(), news.end());
    this->boundNews(datagram.members);
}

void Membership::boundNews(std::vector<MemberUpdate> &updates) const
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < updates.size()) {
        bytes += estimateBytes(updates[kept]);
        if (bytes > maxNewsBytes && kept > 0)
            break;
        ++kept;
    }
    updates.resize(kept);
}

void Membership::boundRecords(std::vector<MemberUpdate> &records) const
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

void Membership::sendTo(const InstanceId &receiver, Datagram datagram,
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

std::vector<InstanceId> Membership::pickReachable(std::size_t wanted)
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
    return this->table.inState(MemberState::Alive).size()
           + this->table.inState(MemberState::Suspected).size();
}

std::uint64_t Membership::count(MembershipCount which) const
{
    if (which == MembershipCount::TableFull)
        return this->table.refusedNew();
    return this->counts.at(static_cast<std::size_t>(which));
}

void Membership::countUp(MembershipCount which)
{
    ++this->counts.at(static_cast<std::size_t>(which));
}

} // namespace bamboochute::peer
