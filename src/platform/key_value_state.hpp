/// @file
/// @brief In-memory state machine of the key-value service, for tests, experiments and the fake
/// server.
#pragma once

#include "platform/key_value.hpp"

#include <map>

namespace bamboochute::platform {

/// @brief Keys, leases and the history of changes; callers pass the time, and there is no I/O.
class KeyValueState
{
public:
    /// @brief Executes a transaction.
    /// @return the response; InvalidField, without any effect, when the transaction has too many
    /// operations or a value is too large
    Result<TransactionResponse> apply(const Transaction &transaction);

    /// @brief Creates a lease that ends after its time to live unless it is kept alive.
    /// @return id of the lease
    LeaseId grant(TimePoint now, Duration timeToLive);

    /// @brief Extends a lease to its time to live from now.
    /// @return whether the lease exists
    bool keepAlive(LeaseId lease, TimePoint now);

    /// @brief Removes all leases that have ended, and deletes their keys.
    void expire(TimePoint now);

    /// @brief Returns the changes after a revision to keys with a prefix, oldest first.
    std::vector<WatchEvent> changesSince(StoreRevision revision, std::string_view prefix) const;

    StoreRevision revision() const noexcept { return this->current; }
    const std::map<std::string, KeyValue> &entries() const noexcept { return this->keys; }

private:
    struct Lease
    {
        TimePoint end;
        Duration timeToLive;
    };

    bool isSatisfied(const Compare &condition) const;
    std::vector<KeyValue> execute(const Operation &operation);
    void put(const Put &operation);
    void erase(const Delete &operation);

    std::map<std::string, KeyValue> keys;
    std::map<LeaseId, Lease> leases;
    std::vector<WatchEvent> history;
    StoreRevision current;
    LeaseId lastLease;
};

} // namespace bamboochute::platform
