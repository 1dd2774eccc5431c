#include "peer/member_table.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::peer {

namespace {

std::size_t bucketOf(const InstanceId &instance)
{
    return stableHash(instance.value()) % tableBuckets;
}

/// Hash of the properties of a member on which two tables must agree.
std::uint16_t digestOf(const Member &member)
{
    const std::uint64_t state = member.state == MemberState::Unreachable ? 2 : 0;
    const std::uint64_t leaving = member.isLeaving ? 1 : 0;
    const std::uint64_t seed = (member.identity.incarnation.value() << 2) | state | leaving;
    return static_cast<std::uint16_t>(stableHash(member.identity.instance.value(), seed) >> 24);
}

Member makeMember(const MemberUpdate &update)
{
    return Member{update.identity, update.state, update.refutation, update.isLeaving,
                  update.evidence};
}

} // namespace

bool isReachable(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspected;
}

MemberUpdate makeMemberUpdate(const Member &member, bool withEndpoints)
{
    MemberUpdate update{member.identity, member.state, member.refutation, member.isLeaving,
                        member.evidence};
    if (member.state != MemberState::Alive && !withEndpoints) {
        update.identity.dataCentre = DataCentreId();
        update.identity.datagramEndpoint = Endpoint();
        update.identity.callEndpoint = Endpoint();
    }
    return update;
}

MemberTable::MemberTable(InstanceId self, std::uint32_t updateTransmissions, Duration goneRetention)
    : self(std::move(self))
    , updateTransmissions(updateTransmissions)
    , goneRetention(goneRetention)
{}

bool MemberTable::overrides(const MemberUpdate &update, const Member &known)
{
    if (update.identity.incarnation != known.identity.incarnation)
        return update.identity.incarnation > known.identity.incarnation;
    if (known.state == MemberState::Gone)
        return update.state == MemberState::Alive && update.refutation > known.refutation;
    if (update.refutation != known.refutation)
        return update.refutation > known.refutation;
    return update.state > known.state || (update.isLeaving && !known.isLeaving);
}

TableChanges MemberTable::merge(TimePoint now, const MemberUpdate &update, bool isForwarded)
{
    TableChanges changes;
    if (update.identity.instance == this->self)
        return changes;
    MemberEntry *entry = this->find(update.identity.instance);
    if (entry == nullptr) {
        if (std::optional<TableChange> inserted = this->insert(now, update))
            changes.push_back(std::move(*inserted));
    } else if (overrides(update, entry->member)) {
        if (update.identity.incarnation > entry->member.identity.incarnation) {
            this->replaceProcess(now, *entry, update, changes);
        } else {
            Member to = makeMember(update);
            to.identity = entry->member.identity;
            to.isLeaving = update.isLeaving || entry->member.isLeaving;
            to.state = std::max(to.state, update.refutation == entry->member.refutation
                                                  ? entry->member.state
                                                  : MemberState::Alive);
            changes.push_back(this->changeMember(now, *entry, to));
        }
    }
    if (!changes.empty() && isForwarded)
        this->enqueueUpdate(update.identity.instance);
    return changes;
}

void MemberTable::recordContact(TimePoint now, const InstanceId &instance)
{
    MemberEntry *entry = this->find(instance);
    if (entry == nullptr)
        return;
    entry->lastReceivedAt = now;
    entry->hasReceived = true;
    entry->failedProbes = 0;
    entry->portRefusals = 0;
    entry->absences = 0;
    if (entry->listedEvidence != GoneEvidence::None) {
        entry->isListDoubted = true;
        entry->listedEvidence = GoneEvidence::None;
    }
}

TableChanges MemberTable::setState(TimePoint now, const InstanceId &instance, MemberState state,
                                   GoneEvidence evidence, bool isForwarded)
{
    MemberEntry *entry = this->find(instance);
    if (entry == nullptr || entry->member.state == state)
        return {};
    Member to = entry->member;
    to.state = state;
    to.evidence = evidence;
    TableChanges changes{this->changeMember(now, *entry, to)};
    if (isForwarded)
        this->enqueueUpdate(instance);
    return changes;
}

std::vector<MemberUpdate> MemberTable::takeUpdates(std::size_t maxCount)
{
    std::vector<MemberUpdate> taken;
    const std::size_t count = std::min(maxCount, this->queuedUpdates.size());
    for (std::size_t i = 0; i < count; ++i) {
        QueuedUpdate queued = std::move(this->queuedUpdates.front());
        this->queuedUpdates.pop_front();
        const MemberEntry *entry = this->find(queued.instance);
        if (entry == nullptr)
            continue;
        taken.push_back(makeMemberUpdate(entry->member));
        ++queued.transmissions;
        if (queued.transmissions < this->updateTransmissions)
            this->queuedUpdates.push_back(std::move(queued));
    }
    return taken;
}

bool MemberTable::hasUnsentUpdates() const
{
    return !this->queuedUpdates.empty() && this->queuedUpdates.front().transmissions == 0;
}

TableDigest MemberTable::expectedPeerDigest(const Member &peer, const Member &self) const
{
    TableDigest digest = this->buckets;
    const MemberEntry *entry = this->find(peer.identity.instance);
    if (entry != nullptr && entry->member.state != MemberState::Gone)
        digest.at(bucketOf(peer.identity.instance)) ^= digestOf(entry->member);
    digest.at(bucketOf(self.identity.instance)) ^= digestOf(self);
    return digest;
}

std::vector<MemberUpdate> MemberTable::recordsOfDifferentBucket(const TableDigest &remote,
                                                                std::uint64_t offset,
                                                                std::size_t maxCount) const
{
    std::vector<std::size_t> different;
    for (std::size_t bucket = 0; bucket < tableBuckets; ++bucket) {
        if (remote.at(bucket) != this->buckets.at(bucket))
            different.push_back(bucket);
    }
    if (different.empty())
        return {};
    const std::size_t chosen = different[offset % different.size()];
    std::vector<const Member *> inBucket;
    for (const auto &[instance, entry] : this->entries) {
        if (bucketOf(instance) == chosen)
            inBucket.push_back(&entry.member);
    }
    std::vector<MemberUpdate> records;
    for (std::size_t i = 0; i < std::min(maxCount, inBucket.size()); ++i) {
        const Member *member = inBucket[(offset + i) % inBucket.size()];
        records.push_back(makeMemberUpdate(*member, member->state != MemberState::Gone));
    }
    return records;
}

void MemberTable::forgetExpired(TimePoint now)
{
    std::vector<InstanceId> old;
    for (const InstanceId &instance : this->membersInState(MemberState::Gone)) {
        if (now - this->entries.at(instance).stateSince >= this->goneRetention)
            old.push_back(instance);
    }
    for (const InstanceId &instance : old)
        this->erase(instance);
}

void MemberTable::erase(const InstanceId &instance)
{
    this->removeFromIndexes(this->entries.at(instance).member);
    this->entries.erase(instance);
}

MemberEntry *MemberTable::find(const InstanceId &instance)
{
    const auto found = this->entries.find(instance);
    return found == this->entries.end() ? nullptr : &found->second;
}

const MemberEntry *MemberTable::find(const InstanceId &instance) const
{
    const auto found = this->entries.find(instance);
    return found == this->entries.end() ? nullptr : &found->second;
}

MemberEntry *MemberTable::findByEndpoint(const Endpoint &endpoint)
{
    const auto found = this->byEndpoint.find(endpoint);
    if (found == this->byEndpoint.end())
        return nullptr;
    MemberEntry *entry = this->find(found->second);
    const bool isCurrent = entry != nullptr && entry->member.identity.datagramEndpoint == endpoint;
    return isCurrent ? entry : nullptr;
}

void MemberTable::enqueueUpdate(const InstanceId &instance)
{
    std::erase_if(this->queuedUpdates,
                  [&](const QueuedUpdate &queued) { return queued.instance == instance; });
    this->queuedUpdates.push_front(QueuedUpdate{instance, 0});
}

TableChange MemberTable::changeMember(TimePoint now, MemberEntry &entry, const Member &to)
{
    const MemberState previousState = entry.member.state;
    this->removeFromIndexes(entry.member);
    entry.member = to;
    this->addToIndexes(entry.member);
    if (previousState != to.state)
        entry.stateSince = now;
    if (isReachable(previousState) != isReachable(to.state))
        ++this->reachabilityChanges;
    return TableChange{entry.member, previousState, false};
}

std::optional<TableChange> MemberTable::insert(TimePoint now, const MemberUpdate &update)
{
    const bool isContactable = !update.identity.datagramEndpoint.address.empty();
    if (!isContactable || update.state == MemberState::Gone)
        return std::nullopt;
    if (this->entries.size() >= maxMembers && !this->evictGoneMember()) {
        ++this->rejectedMembers;
        return std::nullopt;
    }
    MemberEntry &entry = this->entries[update.identity.instance];
    entry.member = makeMember(update);
    entry.stateSince = now;
    this->byEndpoint[update.identity.datagramEndpoint] = update.identity.instance;
    this->addToIndexes(entry.member);
    ++this->reachabilityChanges;
    return TableChange{entry.member, MemberState::Alive, true};
}

void MemberTable::replaceProcess(TimePoint now, MemberEntry &entry, const MemberUpdate &update,
                                 TableChanges &changes)
{
    if (entry.member.state != MemberState::Gone) {
        Member former = entry.member;
        former.state = MemberState::Gone;
        former.evidence = GoneEvidence::LaterIncarnation;
        changes.push_back(this->changeMember(now, entry, former));
    }
    Member later = makeMember(update);
    if (later.identity.datagramEndpoint.address.empty()) {
        const Incarnation incarnation = later.identity.incarnation;
        later.identity = entry.member.identity;
        later.identity.incarnation = incarnation;
    }
    this->byEndpoint.erase(entry.member.identity.datagramEndpoint);
    this->byEndpoint[later.identity.datagramEndpoint] = later.identity.instance;
    this->removeFromIndexes(entry.member);
    entry = MemberEntry{};
    entry.member = later;
    entry.stateSince = now;
    this->addToIndexes(entry.member);
    ++this->reachabilityChanges;
    changes.push_back(TableChange{later, MemberState::Gone, true});
}

bool MemberTable::evictGoneMember()
{
    const std::set<InstanceId> &gone = this->membersInState(MemberState::Gone);
    if (gone.empty())
        return false;
    this->erase(InstanceId(*gone.begin()));
    return true;
}

void MemberTable::addToIndexes(const Member &member)
{
    this->byState.at(static_cast<std::size_t>(member.state)).insert(member.identity.instance);
    this->toggleInDigest(member);
}

void MemberTable::removeFromIndexes(const Member &member)
{
    this->byState.at(static_cast<std::size_t>(member.state)).erase(member.identity.instance);
    this->toggleInDigest(member);
}

void MemberTable::toggleInDigest(const Member &member)
{
    if (member.state != MemberState::Gone)
        this->buckets.at(bucketOf(member.identity.instance)) ^= digestOf(member);
}

} // namespace bamboochute::peer
