/// @file
/// @brief Writes changed records of the ledger, grouped, under the owner's record.
#pragma once

#include "core/clock.hpp"
#include "decision/ledger.hpp"
#include "decision/policy.hpp"
#include "platform/key_value.hpp"

#include <map>
#include <optional>

namespace bamboochute::decision {

/// @brief What the end of a ledger transaction meant.
enum class WriterChange { None, OwnerReplaced };

/// @brief Groups changes of records into one transaction at a time.
///
/// Each transaction compares the owner's record and the revision of each record it writes, so that
/// neither a former owner nor a late transaction of this one can overwrite anything newer. After a
/// lost answer the records are read back; a token in each says which write it is.
class LedgerWriter
{
public:
    LedgerWriter(PoolId pool, InstanceProcess self, Policy policy);

    /// @brief Starts over with a new ownership.
    void reset(std::string ownerValue, Fence fence);

    /// @brief Tells the revision of a record that was read.
    void setRevision(const UpstreamId &upstream, platform::StoreRevision revision);

    /// @brief Notes that a record changed.
    /// @param isUrgent an order waits for the write
    /// @return version to ask isRecorded() for
    std::uint64_t markChanged(const UpstreamId &upstream, bool isUrgent, TimePoint now);

    /// @brief Whether the version, or a later one, is in the key-value service.
    bool isRecorded(const UpstreamId &upstream, std::uint64_t version) const;

    /// @brief Whether everything is written.
    bool isClean() const;

    /// @brief Writes everything without waiting for others.
    void requestFlush() { this->isFlushing = true; }

    /// @brief Whether the service doesn't answer, so that the owner decides without it.
    bool isServiceSlow(TimePoint now) const;

    /// @brief How long the service has not answered; zero while it does.
    Duration unansweredTime(TimePoint now) const;

    /// @brief The next transaction to submit, if any.
    std::optional<platform::Transaction> nextTransaction(const Ledger &ledger, TimePoint now);

    /// @brief Takes the end of the transaction that next() gave.
    WriterChange handleResult(const Result<platform::TransactionResponse> &result, TimePoint now);

    /// @brief The owner's record seen in place of this owner's, after OwnerReplaced.
    const std::optional<OwnerRecord> &replacedBy() const noexcept { return this->replacement; }

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
    /// When the first of the transactions was submitted that had no answer since.
    std::optional<TimePoint> unansweredSince;
    TimePoint notBefore;
    std::uint64_t writeCount = 0;
    std::uint64_t readBackCount = 0;
    std::optional<OwnerRecord> replacement;
};

} // namespace bamboochute::decision
