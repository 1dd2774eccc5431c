/// @file
/// @brief Typed requests and responses of the platform's key-value service.
///
/// The types follow the etcd v3 protocol. Another service can replace etcd if it has
/// compare-and-swap over several keys, leases and watches.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboochute::platform {

/// Revision of the whole store; every transaction that writes increases it.
using StoreRevision = Number<struct StoreRevisionTag>;
/// Id of a lease; zero means no lease.
using LeaseId = Number<struct LeaseTag>;

/// Maximum number of operations in each list of a transaction.
constexpr std::size_t maxTransactionOperations = 128;
/// Maximum size of a value in bytes.
constexpr std::size_t maxValueBytes = 1 << 20;

/// @brief A key with its value and revisions.
struct KeyValue
{
    std::string key;
    std::string value;
    StoreRevision createRevision;
    StoreRevision modRevision;
    std::uint64_t version = 0;
    LeaseId lease;
    auto operator<=>(const KeyValue &) const = default;
};

/// @brief Condition: the key was last written at this revision; zero means that it does not exist.
struct CompareModRevision
{
    std::string key;
    StoreRevision modRevision;
    auto operator<=>(const CompareModRevision &) const = default;
};

/// @brief Condition: the key holds this value.
struct CompareValue
{
    std::string key;
    std::string value;
    auto operator<=>(const CompareValue &) const = default;
};

using Compare = std::variant<CompareModRevision, CompareValue>;

/// @brief Writes one key.
struct Put
{
    std::string key;
    std::string value;
    /// Zero means that the key does not expire.
    LeaseId lease;
    auto operator<=>(const Put &) const = default;
};

/// @brief Reads one key, or all keys with a prefix.
struct Get
{
    std::string key;
    bool isPrefix = false;
    auto operator<=>(const Get &) const = default;
};

/// @brief Deletes one key, or all keys with a prefix.
struct Delete
{
    std::string key;
    bool isPrefix = false;
    auto operator<=>(const Delete &) const = default;
};

using Operation = std::variant<Put, Get, Delete>;

/// @brief Atomically executes the list success if all conditions hold, else the list failure.
struct Transaction
{
    std::vector<Compare> conditions;
    std::vector<Operation> success;
    std::vector<Operation> failure;
    auto operator<=>(const Transaction &) const = default;
};

/// @brief Result of a transaction.
struct TransactionResponse
{
    /// Whether all conditions held.
    bool succeeded = false;
    /// Revision of the store after the transaction.
    StoreRevision revision;
    /// For each executed operation, the entries that a Get found; empty for other operations.
    std::vector<std::vector<KeyValue>> found;
    auto operator<=>(const TransactionResponse &) const = default;
};

/// @brief A change that a watch reports.
struct WatchEvent
{
    KeyValue entry;
    bool isDelete = false;
    auto operator<=>(const WatchEvent &) const = default;
};

/// @brief What a call is made for; calls are counted by purpose.
enum class Purpose { Ownership, Ledger, Claim, Configuration, Membership };

/// @brief Name of a purpose in the label of the counters.
std::string_view purposeName(Purpose purpose) noexcept;

/// @brief Operations that a key-value service must provide.
///
/// Callbacks run on the control thread. For a transaction, the error KeyValueUnavailable means that
/// it had no effect, and KeyValueOutcomeUnknown that it may have had one.
template<typename T>
concept KeyValueService
        = requires(T &service, Purpose purpose, Transaction transaction,
                   std::function<void(Result<TransactionResponse>)> done,
                   std::chrono::seconds timeToLive, std::function<void(Result<LeaseId>)> granted)
{
    service.submit(purpose, std::move(transaction), std::move(done));
    service.grantLease(purpose, timeToLive, std::move(granted));
};

} // namespace bamboochute::platform
