#include "decision/ownership.hpp"

#include "core/invariant.hpp"
#include "decision/records.hpp"

#include <algorithm>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;

/// Interval at which a candidate reads the record of a live owner.
constexpr Duration ownerReadInterval = 15s;
/// Read interval while the outcome of an attempt to take the pool is unknown.
constexpr Duration unresolvedTakeReadInterval = 3s;
/// First pause after the pool was lost. Each further loss doubles it, up to the limit below, so
/// that two instances don't keep taking the pool from each other.
constexpr Duration firstLossPause = 2s;
constexpr std::uint32_t maxLossDoublings = 5;
/// Limit of the entries kept about suspected instances, terminated processes and given up pools.
constexpr std::size_t maxRememberedProcesses = 4096;

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

void Ownership::addSuspicion(const InstanceId &instance)
{
    if (this->suspected.size() < maxRememberedProcesses)
        this->suspected.insert(instance);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

void Ownership::removeSuspicion(const InstanceId &instance)
{
    this->suspected.erase(instance);
}

void Ownership::markTerminated(const InstanceProcess &process)
{
    if (this->terminatedProcesses.size() >= maxRememberedProcesses)
        this->terminatedProcesses.erase(this->terminatedProcesses.begin());
    Incarnation &known = this->terminatedProcesses[process.instance];
    known = std::max(known, process.incarnation);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

void Ownership::markGivenUp(const InstanceProcess &sender, Fence fence)
{
    if (this->givenUpFences.size() >= maxRememberedProcesses)
        this->givenUpFences.erase(this->givenUpFences.begin());
    Fence &known = this->givenUpFences[sender];
    known = std::max(known, fence);
    this->isReadWanted = this->isReadWanted || this->isCandidateNow;
}

std::optional<platform::Transaction> Ownership::nextTransaction(TimePoint now)
{
    if (this->inFlight != InFlight::None || now < this->notBefore)
        return std::nullopt;
    if (this->isHolder && this->isReleaseWanted) {
        this->inFlight = InFlight::Release;
        return this->releaseTransaction();
    }
    const bool isAbsent = !this->isHolder && (this->isCandidateNow || this->unresolvedTakeRevision);
    const bool isReadDue = isAbsent && now >= this->nextRead;
    if (this->isReadWanted || isReadDue) {
        this->isReadWanted = false;
        this->inFlight = InFlight::Read;
        this->nextRead
                = now
                  + (this->unresolvedTakeRevision ? unresolvedTakeReadInterval : ownerReadInterval);
        return this->readTransaction();
    }
    const bool isTakeDue = this->isTakeWanted && this->isCandidateNow && !this->isHolder;
    if (!isTakeDue || this->isReleaseWanted)
        return std::nullopt;
    this->isTakeWanted = false;
    this->inFlight = InFlight::Take;
    return this->takeTransaction();
}

OwnershipChange Ownership::handleResult(const Result<platform::TransactionResponse> &result,
                                        TimePoint now)
{
    const InFlight ended = std::exchange(this->inFlight, InFlight::None);
    if (!result) {
        const bool isUnknown = result.error().kind() == ErrorKind::KeyValueOutcomeUnknown;
        if (isUnknown && ended == InFlight::Take) {
            this->unresolvedTakeRevision = this->seenRevision;
            this->isUnresolvedTakeHandover = this->seenRecord && this->seenRecord->isReleased;
        }
        this->readBackCount += isUnknown && ended != InFlight::Read ? 1 : 0;
        this->isReadWanted = true;
        this->notBefore = now + this->retryPause;
        return OwnershipChange::None;
    }
    switch (ended) {
    case InFlight::Read:
        return this->handleReadResult(result.value(), now);
    case InFlight::Take:
        return this->handleTakeResult(result.value(), now);
    case InFlight::Release:
        return this->handleReleaseResult(result.value(), now);
    case InFlight::None:
        break;
    }
    return OwnershipChange::None;
}

void Ownership::markLost(const std::optional<OwnerRecord> &record, TimePoint now)
{
    this->seenRecord = record;
    if (record)
        this->highestFence = std::max(this->highestFence, record->fence);
    this->isHolder = false;
    this->ownGivenUpFence = this->ownRecord.fence;
    this->isTakeWanted = false;
    this->notBefore = now + firstLossPause * (1 << std::min(this->lossCount, maxLossDoublings));
    ++this->lossCount;
    this->isReadWanted = this->isCandidateNow;
}

platform::Transaction Ownership::readTransaction() const
{
    return {{}, {platform::Get{poolPrefix(this->pool), true}}, {}};
}

platform::Transaction Ownership::takeTransaction()
{
    const Fence above = this->seenRecord ? std::max(this->seenRecord->fence, this->highestFence)
                                         : this->highestFence;
    OwnerRecord record;
    record.holder = this->self;
    record.fence = Fence((above.value() / fenceStride + 1) * fenceStride);
    record.attempt = ++this->attemptCount;
    BC_INVARIANT(record.fence > above, "a new ownership does not raise the fencing number");
    this->ownRecord = record;
    this->ownText = encode(record);
    const std::string key = ownerKey(this->pool);
    return {{platform::CompareModRevision{key, this->seenRevision}},
            {platform::Put{key, this->ownText, {}},
             platform::Get{upstreamPrefix(this->pool), true}},
            {platform::Get{poolPrefix(this->pool), true}}};
}

platform::Transaction Ownership::releaseTransaction() const
{
    OwnerRecord released = this->ownRecord;
    released.isReleased = true;
    const std::string key = ownerKey(this->pool);
    return {{platform::CompareValue{key, this->ownText}},
            {platform::Put{key, encode(released), {}}},
            {platform::Get{key, false}}};
}

bool Ownership::mayTakePool() const
{
    if (!this->seenRecord || this->seenRecord->isReleased)
        return true;
    const InstanceProcess &holder = this->seenRecord->holder;
    if (holder.instance == this->self.instance)
        return true;
    const auto gone = this->terminatedProcesses.find(holder.instance);
    const bool isGone
            = gone != this->terminatedProcesses.end() && gone->second >= holder.incarnation;
    const auto given = this->givenUpFences.find(holder);
    const bool hasGivenUp
            = given != this->givenUpFences.end() && given->second >= this->seenRecord->fence;
    return isGone || hasGivenUp || this->suspected.contains(holder.instance);
}

bool Ownership::isOwnRecord(const OwnerRecord &record) const
{
    return record.holder == this->self && !record.isReleased
           && record.fence > this->ownGivenUpFence;
}

void Ownership::updateSeenRecord(const std::vector<platform::KeyValue> &found)
{
    this->seenRecord.reset();
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
        this->seenRecord = record.value();
        this->highestFence = std::max(this->highestFence, record.value().fence);
    }
    if (this->unresolvedTakeRevision && *this->unresolvedTakeRevision != this->seenRevision)
        this->unresolvedTakeRevision.reset();
}

OwnershipChange Ownership::handleReadResult(const platform::TransactionResponse &response,
                                            TimePoint now)
{
    const bool wasUnresolved = this->unresolvedTakeRevision.has_value();
    this->updateSeenRecord(response.found.at(0));
    if (this->isHolder) {
        if (this->seenRecord && this->seenRecord->holder == this->self
            && this->seenRecord->fence == this->ownRecord.fence && !this->seenRecord->isReleased)
            return OwnershipChange::None;
        const bool isReleased = this->seenRecord && this->seenRecord->isReleased
                                && this->seenRecord->fence == this->ownRecord.fence;
        this->markLost(this->seenRecord, now);
        return isReleased ? OwnershipChange::Released : OwnershipChange::Lost;
    }
    if (wasUnresolved && this->seenRecord && this->isOwnRecord(*this->seenRecord))
        return this->completeTake(*this->seenRecord, this->records, this->isUnresolvedTakeHandover);
    this->isTakeWanted = this->isCandidateNow && this->mayTakePool();
    return OwnershipChange::None;
}

OwnershipChange Ownership::handleTakeResult(const platform::TransactionResponse &response,
                                            TimePoint now)
{
    if (response.succeeded) {
        const bool handedOver = !this->seenRecord || this->seenRecord->isReleased;
        this->unresolvedTakeRevision.reset();
        return this->completeTake(this->ownRecord, response.found.at(1), handedOver);
    }
    return this->handleReadResult(response, now);
}

OwnershipChange Ownership::handleReleaseResult(const platform::TransactionResponse &response,
                                               TimePoint now)
{
    this->markLost(this->seenRecord, now);
    this->isReadWanted = false;
    return response.succeeded ? OwnershipChange::Released : OwnershipChange::Lost;
}

OwnershipChange Ownership::completeTake(const OwnerRecord &record,
                                        std::vector<platform::KeyValue> entries, bool handedOver)
{
    BC_INVARIANT(record.fence > this->ownGivenUpFence,
                 "a pool is taken with a fencing number that this process gave up");
    this->isHolder = true;
    this->isTakeWanted = false;
    this->isHandedOver = handedOver;
    this->ownRecord = record;
    this->ownText = encode(record);
    this->seenRecord = record;
    this->highestFence = std::max(this->highestFence, record.fence);
    this->records = std::move(entries);
    return OwnershipChange::Taken;
}

} // namespace bamboochute::decision
