#include "decision/ownership.hpp"

#include "core/invariant.hpp"
#include "decision/records.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// A candidate reads the record of a living holder this often.
constexpr Duration readInterval = 15s;
/// An attempt of unknown end is looked for this often.
constexpr Duration unresolvedInterval = 3s;
/// First and longest pause after the pool was lost, against taking it from each other in turn.
constexpr Duration firstLossPause = 2s;
constexpr std::uint32_t maxLossDoublings = 5;
/// Names kept of processes that are gone or gave up.
constexpr std::size_t maxRememberedNames = 4096;

} // namespace

Ownership::Ownership(PoolId pool, InstanceProcess self, Duration retryPause)
    : pool(std::move(pool))
    , self(std::move(self))
    , retryPause(retryPause)
{}

void Ownership::setCandidate(bool isCandidate)
{
    this->isReadWanted = this->isReadWanted || (isCandidate && !this->isCandidateNow);
    this->isCandidateNow = isCandidate;
}

void Ownership::suspect(const InstanceId &instance)
{
    if (this->suspected.size() < maxRememberedNames)
        this->suspected.insert(instance);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

void Ownership::trust(const InstanceId &instance)
{
    this->suspected.erase(instance);
}

void Ownership::knownGone(const InstanceProcess &sender)
{
    if (this->gone.size() >= maxRememberedNames)
        this->gone.erase(this->gone.begin());
    Incarnation &known = this->gone[sender.instance];
    known = std::max(known, sender.incarnation);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

void Ownership::gaveUp(const InstanceProcess &sender, Fence fence)
{
    if (this->givenUp.size() >= maxRememberedNames)
        this->givenUp.erase(this->givenUp.begin());
    Fence &known = this->givenUp[sender];
    known = std::max(known, fence);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

std::optional<platform::Transaction> Ownership::next(TimePoint now)
{
    if (this->inFlight != InFlight::None || now < this->notBefore)
        return std::nullopt;
    if (this->isHolder && this->isReleaseWanted) {
        this->inFlight = InFlight::Release;
        return this->releaseTransaction();
    }
    const bool isAbsent = !this->isHolder && (this->isCandidateNow || this->unresolved);
    const bool isReadDue = isAbsent && now >= this->nextRead;
    if (this->isReadWanted || isReadDue) {
        this->isReadWanted = false;
        this->inFlight = InFlight::Read;
        this->nextRead = now + (this->unresolved ? unresolvedInterval : readInterval);
        return this->readTransaction();
    }
    const bool isTakeDue = this->isTakeWanted && this->isCandidateNow && !this->isHolder;
    if (!isTakeDue || this->isReleaseWanted)
        return std::nullopt;
    this->isTakeWanted = false;
    this->inFlight = InFlight::Take;
    return this->takeTransaction();
}

OwnershipChange Ownership::finished(const Result<platform::TransactionResponse> &result,
                                    TimePoint now)
{
    const InFlight ended = std::exchange(this->inFlight, InFlight::None);
    if (!result) {
        const bool isUnknown = result.error().kind() == ErrorKind::KeyValueOutcomeUnknown;
        if (isUnknown && ended == InFlight::Take) {
            this->unresolved = this->seenRevision;
            this->unresolvedHandover = this->seen && this->seen->isReleased;
        }
        this->readBackCount += isUnknown && ended != InFlight::Read ? 1 : 0;
        this->isReadWanted = true;
        this->notBefore = now + this->retryPause;
        return OwnershipChange::None;
    }
    switch (ended) {
    case InFlight::Read:
        return this->finishedRead(result.value(), now);
    case InFlight::Take:
        return this->finishedTake(result.value(), now);
    case InFlight::Release:
        return this->finishedRelease(result.value(), now);
    case InFlight::None:
        break;
    }
    return OwnershipChange::None;
}

void Ownership::lose(const std::optional<OwnerRecord> &record, TimePoint now)
{
    this->seen = record;
    if (record)
        this->highestFence = std::max(this->highestFence, record->fence);
    this->isHolder = false;
    this->gaveUpFence = this->own.fence;
    this->isTakeWanted = false;
    this->notBefore = now + firstLossPause * (1 << std::min(this->losses, maxLossDoublings));
    ++this->losses;
    this->isReadWanted = this->isCandidateNow;
}

platform::Transaction Ownership::readTransaction() const
{
    return {{}, {platform::Get{poolPrefix(this->pool), true}}, {}};
}

platform::Transaction Ownership::takeTransaction()
{
    const Fence above
            = this->seen ? std::max(this->seen->fence, this->highestFence) : this->highestFence;
    OwnerRecord record;
    record.holder = this->self;
    record.fence = Fence((above.value() / fenceStride + 1) * fenceStride);
    record.attempt = ++this->attempts;
    BC_INVARIANT(record.fence > above, "an ownership does not raise the fencing number");
    this->own = record;
    this->ownText = encode(record);
    const std::string key = ownerKey(this->pool);
    return {{platform::CompareModRevision{key, this->seenRevision}},
            {platform::Put{key, this->ownText, {}},
             platform::Get{upstreamPrefix(this->pool), true}},
            {platform::Get{poolPrefix(this->pool), true}}};
}

platform::Transaction Ownership::releaseTransaction() const
{
    OwnerRecord released = this->own;
    released.isReleased = true;
    const std::string key = ownerKey(this->pool);
    return {{platform::CompareValue{key, this->ownText}},
            {platform::Put{key, encode(released), {}}},
            {platform::Get{key, false}}};
}

bool Ownership::mayTake() const
{
    if (!this->seen || this->seen->isReleased)
        return true;
    const InstanceProcess &holder = this->seen->holder;
    if (holder.instance == this->self.instance)
        return true;
    const auto gone = this->gone.find(holder.instance);
    const bool isGone = gone != this->gone.end() && gone->second >= holder.incarnation;
    const auto given = this->givenUp.find(holder);
    const bool hasGivenUp = given != this->givenUp.end() && given->second >= this->seen->fence;
    return isGone || hasGivenUp || this->suspected.contains(holder.instance);
}

bool Ownership::isMine(const OwnerRecord &record) const
{
    return record.holder == this->self && !record.isReleased && record.fence > this->gaveUpFence;
}

void Ownership::see(const std::vector<platform::KeyValue> &found)
{
    this->seen.reset();
    this->seenRevision = {};
    this->records.clear();
    const std::string key = ownerKey(this->pool);
    for (const platform::KeyValue &entry : found) {
        if (entry.key != key) {
            this->records.push_back(entry);
            continue;
        }
        const auto record = parseOwnerRecord(entry.value);
        this->seenRevision = entry.modRevision;
        if (!record)
            continue;
        this->seen = record.value();
        this->highestFence = std::max(this->highestFence, record.value().fence);
    }
    if (this->unresolved && *this->unresolved != this->seenRevision)
        this->unresolved.reset();
}

OwnershipChange Ownership::finishedRead(const platform::TransactionResponse &response,
                                        TimePoint now)
{
    const bool wasUnresolved = this->unresolved.has_value();
    this->see(response.found.at(0));
    if (this->isHolder) {
        if (this->seen && this->seen->holder == this->self && this->seen->fence == this->own.fence
            && !this->seen->isReleased)
            return OwnershipChange::None;
        const bool isReleased
                = this->seen && this->seen->isReleased && this->seen->fence == this->own.fence;
        this->lose(this->seen, now);
        return isReleased ? OwnershipChange::Released : OwnershipChange::Lost;
    }
    if (wasUnresolved && this->seen && this->isMine(*this->seen))
        return this->win(*this->seen, this->records, this->unresolvedHandover);
    this->isTakeWanted = this->isCandidateNow && this->mayTake();
    return OwnershipChange::None;
}

OwnershipChange Ownership::finishedTake(const platform::TransactionResponse &response,
                                        TimePoint now)
{
    if (response.succeeded) {
        const bool handedOver = !this->seen || this->seen->isReleased;
        this->unresolved.reset();
        return this->win(this->own, response.found.at(1), handedOver);
    }
    return this->finishedRead(response, now);
}

OwnershipChange Ownership::finishedRelease(const platform::TransactionResponse &response,
                                           TimePoint now)
{
    this->lose(this->seen, now);
    this->isReadWanted = false;
    return response.succeeded ? OwnershipChange::Released : OwnershipChange::Lost;
}

OwnershipChange Ownership::win(const OwnerRecord &record, std::vector<platform::KeyValue> entries,
                               bool handedOver)
{
    BC_INVARIANT(record.fence > this->gaveUpFence, "a fencing number that was given up is used");
    this->isHolder = true;
    this->isTakeWanted = false;
    this->isHandedOver = handedOver;
    this->own = record;
    this->ownText = encode(record);
    this->seen = record;
    this->highestFence = std::max(this->highestFence, record.fence);
    this->records = std::move(entries);
    return OwnershipChange::Won;
}

} // namespace bamboochute::decision
