/// @file
/// @brief Takes, keeps and releases the ownership of a pool through its owner record.
#pragma once

#include "core/clock.hpp"
#include "decision/values.hpp"
#include "platform/key_value.hpp"

#include <map>
#include <optional>
#include <set>

namespace bamboochute::decision {

/// @brief Change of the ownership by a transaction's result.
enum class OwnershipChange {
    None,
    /// This process owns the pool now; the upstream records are in Ownership::takenRecords().
    Taken,
    /// This process doesn't own the pool any more; another one took it or the record is gone.
    Lost,
    /// This process's release of the pool is recorded.
    Released,
};

/// @brief State machine for a pool's owner record, with at most one transaction in flight.
///
/// Ownership does not expire. The record is changed by compare-and-swap only. The holder's name,
/// incarnation and attempt make each value unique, so that reading it back after a lost answer
/// shows whether the attempt took effect. Not thread-safe.
class Ownership
{
public:
    /// @param retryPause pause before a failed transaction is retried
    Ownership(PoolId pool, InstanceProcess self, Duration retryPause);

    /// @brief Sets whether this process should take the pool when it has no owner.
    void setCandidate(bool isCandidate);

    /// @brief Marks an instance as suspected to have failed; a pool that it owns may be taken.
    void addSuspicion(const InstanceId &instance);

    /// @brief Marks an instance as not suspected any more.
    void removeSuspicion(const InstanceId &instance);

    /// @brief Marks a process, and earlier ones of its instance, as terminated; a pool that it owns
    /// may be taken.
    void markTerminated(const InstanceProcess &process);

    /// @brief Marks the ownerships of a process up to a fencing number as given up.
    void markGivenUp(const InstanceProcess &sender, Fence fence);

    /// @brief Returns the next transaction to submit; empty while one is in flight, during a pause,
    /// or when there is nothing to do.
    std::optional<platform::Transaction> nextTransaction(TimePoint now);

    /// @brief Processes the result of the transaction that nextTransaction() returned.
    OwnershipChange handleResult(const Result<platform::TransactionResponse> &result,
                                 TimePoint now);

    /// @brief Schedules a read of the record, to check whether this process still owns the pool.
    void requestRead() { this->isReadWanted = true; }

    /// @brief Ends the ownership, as when the owner record is not this process's any more.
    /// @param record the owner record found; empty when there is none or it can't be parsed
    void markLost(const std::optional<OwnerRecord> &record, TimePoint now);

    /// @brief Schedules the write that marks the pool as handed over; the caller decides nothing
    /// for the pool from then on.
    void requestRelease() { this->isReleaseWanted = true; }

    bool isOwner() const noexcept { return this->isHolder; }
    Fence fence() const noexcept { return this->ownRecord.fence; }

    /// @brief Returns the text of the owner record that this process wrote when it took the pool.
    const std::string &ownRecordText() const noexcept { return this->ownText; }

    /// @brief Whether the former owner handed the pool over, so that the stored records show
    /// everything it did.
    bool wasHandedOver() const noexcept { return this->isHandedOver; }

    /// @brief Returns the entries with the upstream records, as read when the pool was taken.
    const std::vector<platform::KeyValue> &takenRecords() const noexcept { return this->records; }

    /// @brief Returns the owner record as last read or written; empty when there was none.
    const std::optional<OwnerRecord> &lastSeenRecord() const noexcept { return this->seenRecord; }

    /// @brief Returns the number of transactions whose unknown outcome had to be read back.
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
    /// Revision compared by an attempt to take the pool whose outcome is unknown.
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
