#include "decision/ledger_writer.hpp"

#include "core/invariant.hpp"
#include "decision/records.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::decision {

namespace {

/// Records written by one transaction; each takes a condition, a write and a read.
constexpr std::size_t maxRecordsPerTransaction = 48;

} // namespace

LedgerWriter::LedgerWriter(PoolId pool, InstanceProcess self, Policy policy)
    : pool(std::move(pool))
    , self(std::move(self))
    , policy(policy)
{}

void LedgerWriter::reset(std::string value, Fence newFence)
{
    this->ownerValue = std::move(value);
    this->fence = newFence;
    this->entries.clear();
    this->sentUpstreams.clear();
    this->isInFlight = false;
    this->isReadBackWanted = false;
    this->isFlushing = false;
    this->hasFailed = false;
    this->unansweredSince.reset();
    this->notBefore = {};
}

void LedgerWriter::setRevision(const UpstreamId &upstream, platform::StoreRevision revision)
{
    this->entries[upstream].revision = revision;
}

std::uint64_t LedgerWriter::markChanged(const UpstreamId &upstream, bool isUrgent, TimePoint now)
{
    Entry &entry = this->entries[upstream];
    if (entry.changedVersion == entry.recordedVersion)
        entry.changedAt = now;
    entry.isUrgent = entry.isUrgent || isUrgent;
    return ++entry.changedVersion;
}

bool LedgerWriter::isRecorded(const UpstreamId &upstream, std::uint64_t version) const
{
    const auto found = this->entries.find(upstream);
    return found != this->entries.end() && found->second.recordedVersion >= version;
}

bool LedgerWriter::isClean() const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [](const auto &each) {
        return each.second.recordedVersion == each.second.changedVersion;
    });
}

bool LedgerWriter::isServiceSlow(TimePoint now) const
{
    const bool isWaiting
            = this->isInFlight && now - this->submittedAt >= this->policy.slowTransactionThreshold;
    return isWaiting || this->hasFailed;
}

Duration LedgerWriter::unansweredTime(TimePoint now) const
{
    if (this->unansweredSince)
        return now - *this->unansweredSince;
    return this->isInFlight ? now - this->submittedAt : Duration{};
}

std::optional<platform::Transaction> LedgerWriter::nextTransaction(const Ledger &ledger,
                                                                   TimePoint now)
{
    if (this->isInFlight || now < this->notBefore)
        return std::nullopt;
    if (!this->isReadBackWanted && !this->isDue(now))
        return std::nullopt;
    this->isInFlight = true;
    this->submittedAt = now;
    this->isReadBackInFlight = this->isReadBackWanted;
    return this->isReadBackInFlight ? this->readTransaction() : this->writeTransaction(ledger);
}

WriterChange LedgerWriter::handleResult(const Result<platform::TransactionResponse> &result,
                                        TimePoint now)
{
    this->isInFlight = false;
    if (!result) {
        const bool isUnknown = result.error().kind() == ErrorKind::KeyValueOutcomeUnknown;
        this->readBackCount += isUnknown && !this->isReadBackInFlight ? 1 : 0;
        this->isReadBackWanted = this->isReadBackWanted || isUnknown;
        this->hasFailed = true;
        if (!this->unansweredSince)
            this->unansweredSince = this->submittedAt;
        this->notBefore = now + this->policy.retryPause;
        for (const UpstreamId &upstream : this->sentUpstreams)
            this->entries[upstream].isUrgent = true;
        return WriterChange::None;
    }
    this->hasFailed = false;
    this->unansweredSince.reset();
    if (this->isReadBackInFlight || !result.value().succeeded) {
        this->isReadBackWanted = false;
        return this->applyRead(result.value().found);
    }
    for (const UpstreamId &upstream : this->sentUpstreams) {
        Entry &entry = this->entries[upstream];
        BC_INVARIANT(result.value().revision > entry.revision,
                     "the revision of a written record is not higher than the one before");
        entry.revision = result.value().revision;
        entry.recordedVersion = entry.sentVersion;
    }
    return WriterChange::None;
}

bool LedgerWriter::isDue(TimePoint now) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &each) {
        const Entry &entry = each.second;
        const bool isDirty = entry.recordedVersion != entry.changedVersion;
        const bool isOld = now - entry.changedAt >= this->policy.writeDelay;
        return isDirty && (entry.isUrgent || this->isFlushing || isOld);
    });
}

platform::Transaction LedgerWriter::writeTransaction(const Ledger &ledger)
{
    platform::Transaction transaction;
    const std::string key = ownerKey(this->pool);
    transaction.conditions.push_back(platform::CompareValue{key, this->ownerValue});
    transaction.failure.push_back(platform::Get{key, false});
    this->sentUpstreams.clear();
    // Records that an order waits for are written first.
    for (const bool isUrgentPass : {true, false}) {
        for (auto &[upstream, entry] : this->entries) {
            const bool isDirty = entry.recordedVersion != entry.changedVersion;
            if (!isDirty || entry.isUrgent != isUrgentPass
                || this->sentUpstreams.size() >= maxRecordsPerTransaction)
                continue;
            this->sentUpstreams.push_back(upstream);
        }
    }
    for (const UpstreamId &upstream : this->sentUpstreams) {
        Entry &entry = this->entries[upstream];
        UpstreamRecord record = ledger.record(upstream);
        record.upstream = upstream;
        record.token = fmt::format("{}/{}/{}/{}", this->self.instance.value(),
                                   this->self.incarnation.value(), this->fence.value(),
                                   ++this->writeCount);
        entry.sentVersion = entry.changedVersion;
        entry.sentToken = record.token;
        entry.isUrgent = false;
        const std::string recordKey = upstreamKey(this->pool, upstream);
        transaction.conditions.push_back(platform::CompareModRevision{recordKey, entry.revision});
        transaction.success.push_back(platform::Put{recordKey, encode(record), {}});
        transaction.failure.push_back(platform::Get{recordKey, false});
    }
    return transaction;
}

platform::Transaction LedgerWriter::readTransaction() const
{
    platform::Transaction transaction;
    transaction.success.push_back(platform::Get{ownerKey(this->pool), false});
    for (const UpstreamId &upstream : this->sentUpstreams)
        transaction.success.push_back(platform::Get{upstreamKey(this->pool, upstream), false});
    return transaction;
}

WriterChange LedgerWriter::applyRead(const std::vector<std::vector<platform::KeyValue>> &found)
{
    const auto &owner = found.at(0);
    if (owner.empty() || owner.front().value != this->ownerValue) {
        this->replacement.reset();
        if (!owner.empty()) {
            const auto record = parseOwnerRecord(owner.front().value);
            if (record)
                this->replacement = record.value();
        }
        return WriterChange::OwnerReplaced;
    }
    for (std::size_t i = 0; i < this->sentUpstreams.size(); ++i) {
        Entry &entry = this->entries[this->sentUpstreams[i]];
        const auto &values = found.at(i + 1);
        entry.revision = values.empty() ? platform::StoreRevision() : values.front().modRevision;
        entry.isUrgent = true;
        if (values.empty())
            continue;
        const auto record = parseUpstreamRecord(values.front().value);
        if (record && record.value().token == entry.sentToken)
            entry.recordedVersion = entry.sentVersion;
    }
    return WriterChange::None;
}

} // namespace bamboochute::decision
