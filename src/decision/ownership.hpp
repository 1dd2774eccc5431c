/// @file
/// @brief Taking, keeping and losing the owner's record of a pool.
#pragma once

#include "core/clock.hpp"
#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <map>
#include <optional>
#include <set>

namespace bamboochute::decision {

/// @brief What the end of a transaction meant for the ownership.
enum class OwnershipChange {
    None,
    /// This process holds the pool; the records are in Ownership::takenRecords().
    Taken,
    /// Another process holds it.
    Lost,
    /// The record says that the pool was given back.
    Released,
};

/// @brief State machine over the owner's record. At most one transaction of it is in flight.
///
/// Ownership does not expire. The record is changed by compare-and-swap only; the holder's name,
/// incarnation and attempt make each value unique, so that after a lost answer reading it back
/// tells an attempt that took effect from one that lost.
class Ownership
{
public:
    /// @param retryPause pause before a failed transaction is tried again
    Ownership(PoolId pool, InstanceProcess self, Duration retryPause);

    void setCandidate(bool isCandidate);
    void addSuspicion(const InstanceId &instance);
    void removeSuspicion(const InstanceId &instance);
    void markTerminated(const InstanceProcess &sender);
    void markGivenUp(const InstanceProcess &sender, Fence fence);

    /// @brief The next transaction to submit, unless one is in flight or nothing is to be done.
    std::optional<platform::Transaction> nextTransaction(TimePoint now);

    /// @brief Takes the end of the transaction that next() gave.
    OwnershipChange handleResult(const Result<platform::TransactionResponse> &result,
                                 TimePoint now);

    /// @brief Reads the record again, to see whether this process still holds the pool.
    void requestRead() { this->isReadWanted = true; }

    /// @brief Another process's record was seen in place of this one's.
    /// @param record what was seen; empty when the key is gone
    void markLost(const std::optional<OwnerRecord> &record, TimePoint now);

    /// @brief Wants the record marked as handed over; nothing is decided from then on.
    void requestRelease() { this->isReleaseWanted = true; }

    bool isOwner() const noexcept { return this->isHolder; }
    Fence fence() const noexcept { return this->ownRecord.fence; }

    /// @brief Text of the record that this process wrote when it took the pool.
    const std::string &ownRecordText() const noexcept { return this->ownText; }

    /// @brief Whether the former holder handed over, so that the ledger shows all that it did.
    bool wasHandedOver() const noexcept { return this->isHandedOver; }

    /// @brief Entries under the upstreams' prefix, as read with the transaction that won.
    const std::vector<platform::KeyValue> &takenRecords() const noexcept { return this->records; }

    const std::optional<OwnerRecord> &lastSeenRecord() const noexcept { return this->seenRecord; }

    /// @brief Outcomes that had to be read back.
    std::uint64_t readBacks() const noexcept { return this->readBackCount; }

private:
    enum class InFlight { None, Read, Take, Release };

    platform::Transaction readTransaction() const;
    platform::Transaction takeTransaction();
    platform::Transaction releaseTransaction() const;
    bool mayTakePool() const;
    bool isOwnRecord(const OwnerRecord &record) const;
    void updateSeenRecord(const std::vector<platform::KeyValue> &found);
    OwnershipChange handleReadResult(const platform::TransactionResponse &response, TimePoint now);
    OwnershipChange handleTakeResult(const platform::TransactionResponse &response, TimePoint now);
    OwnershipChange handleReleaseResult(const platform::TransactionResponse &response,
                                        TimePoint now);
    OwnershipChange completeTake(const OwnerRecord &record, std::vector<platform::KeyValue> entries,
                                 bool handedOver);

    PoolId pool;
    InstanceProcess self;
    Duration retryPause;
    InFlight inFlight = InFlight::None;
    bool isCandidateNow = false;
    bool isReadWanted = false;
    bool isTakeWanted = false;
    bool isReleaseWanted = false;
    bool isHolder = false;
    bool isHandedOver = false;
    /// Revision compared by an attempt whose end is not known.
    std::optional<platform::StoreRevision> unresolvedTakeRevision;
    bool isUnresolvedTakeHandover = false;
    std::optional<OwnerRecord> seenRecord;
    platform::StoreRevision seenRevision;
    OwnerRecord ownRecord;
    std::string ownText;
    Fence highestFence;
    Fence ownGivenUpFence;
    std::uint64_t attemptCount = 0;
    std::uint32_t lossCount = 0;
    TimePoint notBefore;
    TimePoint nextRead;
    std::vector<platform::KeyValue> records;
    std::set<InstanceId> suspected;
    std::map<InstanceId, Incarnation> terminatedProcesses;
    std::map<InstanceProcess, Fence> givenUpFences;
    std::uint64_t readBackCount = 0;
};

} // namespace bamboochute::decision
