/// @file
/// @brief Writes changed ledger records to the key-value service, several per transaction.
#pragma once

#include "core/clock.hpp"
#include "decision/ledger.hpp"
#include "decision/policy.hpp"
#include "platform/key_value.hpp"

#include <map>
#include <optional>

namespace bamboochute::decision {

/// @brief Change of the ownership that a ledger transaction's result shows.
enum class WriterChange {
    None,
    /// The owner record is not this process's any more.
    OwnerReplaced
};

/// @brief Groups record changes into transactions, one in flight at a time. Not thread-safe.
///
/// Each transaction compares the owner record and the revision of each record it writes, so that
/// neither a former owner nor a late transaction of this one can overwrite anything newer. After a
/// lost answer the records are read back; the token in each tells whether the write took effect.
class LedgerWriter
{
public:
    LedgerWriter(PoolId pool, InstanceProcess self, Policy policy);

    /// @brief Discards all state at the start of an ownership.
    /// @param ownerValue text of this process's owner record, which each transaction compares
    /// @param fence fencing number of the ownership
    void reset(std::string ownerValue, Fence fence);

    /// @brief Sets the revision of a record that was read at the takeover.
    void setRevision(const UpstreamId &upstream, platform::StoreRevision revision);

    /// @brief Marks a record as changed.
    /// @param isUrgent whether an order waits for the write
    /// @return version of the record to pass to isRecorded()
    std::uint64_t markChanged(const UpstreamId &upstream, bool isUrgent, TimePoint now);

    /// @brief Whether this or a later version of the record is in the key-value service.
    bool isRecorded(const UpstreamId &upstream, std::uint64_t version) const;

    /// @brief Whether all changes are written.
    bool isClean() const;

    /// @brief Writes all changes, now and later, without the delay that groups them.
    void requestFlush() { this->isFlushing = true; }

    /// @brief Whether the last transaction failed or has had no answer for
    /// Policy::slowTransactionThreshold, so that the owner decides without the key-value service.
    bool isServiceSlow(TimePoint now) const;

    /// @brief Returns how long the key-value service has not answered; zero while it does.
    Duration unansweredTime(TimePoint now) const;

    /// @brief Returns the next transaction to submit; empty while one is in flight, during the
    /// pause after a failure, or when no write is due.
    std::optional<platform::Transaction> nextTransaction(const Ledger &ledger, TimePoint now);

    /// @brief Processes the result of the transaction that nextTransaction() returned.
    WriterChange handleResult(const Result<platform::TransactionResponse> &result, TimePoint now);

    /// @brief Returns the owner record found in place of this process's, after OwnerReplaced; empty
    /// when there is none or it can't be parsed.
    const std::optional<OwnerRecord> &replacedBy() const noexcept { return this->replacement; }

    /// @brief Returns the number of writes that had to be read back.
    std::uint64_t readBacks() const noexcept { return this->readBackCount; }

private:
    struct Entry
    {
        platform::StoreRevision revision;
        std::uint64_t changedVersion = 0;
        std::uint64_t recordedVersion = 0;
        std::uint64_t sentVersion = 0;
        std::string sentToken;
        TimePoint changedAt;
        bool isUrgent = false;
    };

    bool isDue(TimePoint now) const;
    platform::Transaction writeTransaction(const Ledger &ledger);
    platform::Transaction readTransaction() const;
    WriterChange applyRead(const std::vector<std::vector<platform::KeyValue>> &found);

    PoolId pool;
    InstanceProcess self;
    Policy policy;
    std::string ownerValue;
    Fence fence;
    std::map<UpstreamId, Entry> entries;
    std::vector<UpstreamId> sentUpstreams;
    bool isInFlight = false;
    bool isReadBackWanted = false;
    bool isReadBackInFlight = false;
    bool isFlushing = false;
    bool hasFailed = false;
    TimePoint submittedAt;
    /// Submission time of the first transaction in the current series of failed ones.
    std::optional<TimePoint> unansweredSince;
    TimePoint notBefore;
    std::uint64_t writeCount = 0;
    std::uint64_t readBackCount = 0;
    std::optional<OwnerRecord> replacement;
};

} // namespace bamboochute::decision
