/// @file
/// @brief The key-value service as a state machine in memory, for tests, experiments and the
/// stand-in.
#pragma once

#include "platform/key_value.hpp"

#include <map>

namespace bamboochute::platform {

/// @brief Keys, leases and their history; no clock and no I/O of its own.
class KeyValueState
{
public:
    /// @brief Carries out a transaction.
    /// @return InvalidField when it has too many operations or too large a value
    Result<TransactionResponse> apply(const Transaction &transaction);

    /// @brief Creates a lease that ends at the given time unless it is kept alive.
    LeaseId grant(TimePoint now, Duration timeToLive);

    /// @brief Prolongs a lease by its time to live.
    /// @return false when the lease does not exist
    bool keepAlive(LeaseId lease, TimePoint now);

    /// @brief Deletes the keys of all leases that have ended.
    void expire(TimePoint now);

    /// @brief Changes after a revision to keys with a prefix, oldest first.
    std::vector<WatchEvent> changesSince(StoreRevision revision, std::string_view prefix) const;

    StoreRevision revision() const noexcept { return this->current; }
    const std::map<std::string, KeyValue> &entries() const noexcept { return this->keys; }

private:
    struct Lease
    {
        TimePoint end;
        Duration timeToLive;
    };

    bool holds(const Compare &condition) const;
    std::vector<KeyValue> carryOut(const Operation &operation);
    void put(const Put &operation);
    void erase(const Delete &operation);

    std::map<std::string, KeyValue> keys;
    std::map<LeaseId, Lease> leases;
    std::vector<WatchEvent> history;
    StoreRevision current;
    LeaseId lastLease;
};

} // namespace bamboochute::platform
