/// @file
/// @brief Calls of the platform's key-value service as typed values.
///
/// The shapes follow the published etcd v3 protocol; another service needs compare-and-swap over
/// several keys, leases and watches to take its place.
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

/// Revision of the whole store at which a key was last written.
using StoreRevision = Number<struct StoreRevisionTag>;
using LeaseId = Number<struct LeaseTag>;

/// Most operations in one transaction.
constexpr std::size_t maxTransactionOperations = 128;
/// Most bytes in one value.
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

struct Delete
{
    std::string key;
    bool isPrefix = false;
    auto operator<=>(const Delete &) const = default;
};

using Operation = std::variant<Put, Get, Delete>;

/// @brief If all conditions hold, does the first list, else the second; all at once.
struct Transaction
{
    std::vector<Compare> conditions;
    std::vector<Operation> success;
    std::vector<Operation> failure;
    auto operator<=>(const Transaction &) const = default;
};

struct TransactionResponse
{
    bool succeeded = false;
    /// Revision of the store after the transaction.
    StoreRevision revision;
    /// For each operation done, the keys that a Get found; empty for the others.
    std::vector<std::vector<KeyValue>> found;
    auto operator<=>(const TransactionResponse &) const = default;
};

/// @brief A change that a watch tells.
struct WatchEvent
{
    KeyValue entry;
    bool isDelete = false;
    auto operator<=>(const WatchEvent &) const = default;
};

/// @brief What a call is for; every call is counted under its purpose.
enum class Purpose { Ownership, Ledger, Claim, Configuration, Membership };

/// @brief Name of a purpose, as in the label of the counter.
std::string_view purposeName(Purpose purpose) noexcept;

/// @brief What the program requires of a key-value service.
///
/// Callbacks run on the control thread. A transaction's error KeyValueUnavailable says that it had
/// no effect; KeyValueOutcomeUnknown that it may have had one.
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
