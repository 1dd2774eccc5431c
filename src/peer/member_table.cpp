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

/// What two tables must agree on of a member.
std::uint16_t digestOf(const Member &member)
{
    const std::uint64_t state = member.state == MemberState::Unreachable ? 2 : 0;
    const std::uint64_t leaving = member.isLeaving ? 1 : 0;
    const std::uint64_t seed = (member.identity.incarnation.value() << 2) | state | leaving;
    return static_cast<std::uint16_t>(stableHash(member.identity.instance.value(), seed) >> 24);
}

Member memberOf(const MemberUpdate &update)
{
    return Member{update.identity, update.state, update.refutation, update.isLeaving,
                  update.evidence};
}

} // namespace

bool isReachable(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspected;
}

MemberUpdate updateOf(const Member &member, bool withEndpoints)
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

MemberTable::MemberTable(InstanceId self, std::uint32_t newsTransmissions, Duration goneRetention)
    : self(std::move(self))
    , newsTransmissions(newsTransmissions)
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

TableChanges MemberTable::merge(TimePoint now, const MemberUpdate &update, bool isPassedOn)
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
            Member to = memberOf(update);
            to.identity = entry->member.identity;
            to.isLeaving = update.isLeaving || entry->member.isLeaving;
            to.state = std::max(to.state, update.refutation == entry->member.refutation
                                                  ? entry->member.state
                                                  : MemberState::Alive);
            changes.push_back(this->change(now, *entry, to));
        }
    }
    if (!changes.empty() && isPassedOn)
        this->enqueueNews(update.identity.instance);
    return changes;
}

void MemberTable::heard(TimePoint now, const InstanceId &instance)
{
    MemberEntry *entry = this->find(instance);
    if (entry == nullptr)
        return;
    entry->lastHeard = now;
    entry->wasHeard = true;
    entry->failedProbes = 0;
    entry->refusals = 0;
    entry->absences = 0;
    if (entry->listed != GoneEvidence::None) {
        entry->isListDoubted = true;
        entry->listed = GoneEvidence::None;
    }
}

TableChanges MemberTable::setState(TimePoint now, const InstanceId &instance, MemberState state,
                                   GoneEvidence evidence, bool isPassedOn)
{
    MemberEntry *entry = this->find(instance);
    if (entry == nullptr || entry->member.state == state)
        return {};
    Member to = entry->member;
    to.state = state;
    to.evidence = evidence;
    TableChanges changes{this->change(now, *entry, to)};
    if (isPassedOn)
        this->enqueueNews(instance);
    return changes;
}

std::vector<MemberUpdate> MemberTable::takeNews(std::size_t most)
{
    std::vector<MemberUpdate> taken;
    const std::size_t count = std::min(most, this->news.size());
    for (std::size_t i = 0; i < count; ++i) {
        News piece = std::move(this->news.front());
        this->news.pop_front();
        const MemberEntry *entry = this->find(piece.instance);
        if (entry == nullptr)
            continue;
        taken.push_back(updateOf(entry->member));
        ++piece.transmissions;
        if (piece.transmissions < this->newsTransmissions)
            this->news.push_back(std::move(piece));
    }
    return taken;
}

bool MemberTable::hasFreshNews() const
{
    return !this->news.empty() && this->news.front().transmissions == 0;
}

TableDigest MemberTable::digestSeenBy(const Member &peer, const Member &self) const
{
    TableDigest digest = this->buckets;
    const MemberEntry *entry = this->find(peer.identity.instance);
    if (entry != nullptr && entry->member.state != MemberState::Gone)
        digest.at(bucketOf(peer.identity.instance)) ^= digestOf(entry->member);
    digest.at(bucketOf(self.identity.instance)) ^= digestOf(self);
    return digest;
}

std::vector<MemberUpdate> MemberTable::recordsWhereDifferent(const TableDigest &theirs,
                                                             std::uint64_t offset,
                                                             std::size_t most) const
{
    std::vector<std::size_t> different;
    for (std::size_t bucket = 0; bucket < tableBuckets; ++bucket) {
        if (theirs.at(bucket) != this->buckets.at(bucket))
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
    for (std::size_t i = 0; i < std::min(most, inBucket.size()); ++i) {
        const Member *member = inBucket[(offset + i) % inBucket.size()];
        records.push_back(updateOf(*member, member->state != MemberState::Gone));
    }
    return records;
}

void MemberTable::cleanUp(TimePoint now)
{
    std::vector<InstanceId> old;
    for (const InstanceId &instance : this->inState(MemberState::Gone)) {
        if (now - this->entries.at(instance).stateSince >= this->goneRetention)
            old.push_back(instance);
    }
    for (const InstanceId &instance : old)
        this->erase(instance);
}

void MemberTable::erase(const InstanceId &instance)
{
    this->exit(this->entries.at(instance).member);
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
    const bool isThere = entry != nullptr && entry->member.identity.datagramEndpoint == endpoint;
    return isThere ? entry : nullptr;
}

void MemberTable::enqueueNews(const InstanceId &instance)
{
    std::erase_if(this->news, [&](const News &piece) { return piece.instance == instance; });
    this->news.push_front(News{instance, 0});
}

TableChange MemberTable::change(TimePoint now, MemberEntry &entry, const Member &to)
{
    const MemberState previousState = entry.member.state;
    this->exit(entry.member);
    entry.member = to;
    this->enter(entry.member);
    if (previousState != to.state)
        entry.stateSince = now;
    if (isReachable(previousState) != isReachable(to.state))
        ++this->changeCount;
    return TableChange{entry.member, previousState, false};
}

std::optional<TableChange> MemberTable::insert(TimePoint now, const MemberUpdate &update)
{
    const bool isContactable = !update.identity.datagramEndpoint.address.empty();
    if (!isContactable || update.state == MemberState::Gone)
        return std::nullopt;
    if (this->entries.size() >= maxMembers && !this->makeRoom()) {
        ++this->refusedCount;
        return std::nullopt;
    }
    MemberEntry &entry = this->entries[update.identity.instance];
    entry.member = memberOf(update);
    entry.stateSince = now;
    this->byEndpoint[update.identity.datagramEndpoint] = update.identity.instance;
    this->enter(entry.member);
    ++this->changeCount;
    return TableChange{entry.member, MemberState::Alive, true};
}

void MemberTable::replaceProcess(TimePoint now, MemberEntry &entry, const MemberUpdate &update,
                                 TableChanges &changes)
{
    if (entry.member.state != MemberState::Gone) {
        Member former = entry.member;
        former.state = MemberState::Gone;
        former.evidence = GoneEvidence::LaterIncarnation;
        changes.push_back(this->change(now, entry, former));
    }
    Member later = memberOf(update);
    if (later.identity.datagramEndpoint.address.empty()) {
        const Incarnation incarnation = later.identity.incarnation;
        later.identity = entry.member.identity;
        later.identity.incarnation = incarnation;
    }
    this->byEndpoint.erase(entry.member.identity.datagramEndpoint);
    this->byEndpoint[later.identity.datagramEndpoint] = later.identity.instance;
    this->exit(entry.member);
    entry = MemberEntry{};
    entry.member = later;
    entry.stateSince = now;
    this->enter(entry.member);
    ++this->changeCount;
    changes.push_back(TableChange{later, MemberState::Gone, true});
}

bool MemberTable::makeRoom()
{
    const std::set<InstanceId> &gone = this->inState(MemberState::Gone);
    if (gone.empty())
        return false;
    this->erase(InstanceId(*gone.begin()));
    return true;
}

void MemberTable::enter(const Member &member)
{
    this->byState.at(static_cast<std::size_t>(member.state)).insert(member.identity.instance);
    this->toggleInDigest(member);
}

void MemberTable::exit(const Member &member)
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
