/// @file
/// @brief Record in the key-value service of an operation that must run at most once.
#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboochute::admission {

/// Longest operation key that callers may use.
constexpr std::size_t maxOperationKeyBytes = 255;
/// Largest answer body that is recorded, to answer repeated requests.
constexpr std::size_t maxRecordedBodyBytes = 64 << 10;
/// Most bytes of header names and values that are recorded with an answer.
constexpr std::size_t maxRecordedHeaderBytes = 8 << 10;

/// Identifies a claim within one process.
using ClaimNumber = Number<struct ClaimNumberTag>;

/// @brief The process that claimed an operation, and the number of its claim.
struct Claimant
{
    InstanceId instance;
    Incarnation incarnation;
    ClaimNumber number;
    auto operator<=>(const Claimant &) const = default;
};

/// @brief A header of a recorded answer.
struct OutcomeHeader
{
    std::string name;
    std::string value;
    auto operator<=>(const OutcomeHeader &) const = default;
};

/// @brief The answer of an operation that ran.
struct OperationOutcome
{
    int status = 0;
    std::vector<OutcomeHeader> headers;
    std::string body;
    auto operator<=>(const OperationOutcome &) const = default;
};

/// @brief The claimant may have dispatched the operation, or may still dispatch it.
struct Claimed
{
    auto operator<=>(const Claimed &) const = default;
};

/// @brief The claimant never dispatched the operation and never will.
struct Released
{
    auto operator<=>(const Released &) const = default;
};

/// @brief The operation was dispatched and its answer is not known.
struct OutcomeUnknown
{
    auto operator<=>(const OutcomeUnknown &) const = default;
};

/// @brief The operation ran; its answer was too large to be kept.
struct OutcomeTooLarge
{
    int status = 0;
    auto operator<=>(const OutcomeTooLarge &) const = default;
};

using OperationState
        = std::variant<Claimed, Released, OutcomeUnknown, OutcomeTooLarge, OperationOutcome>;

/// @brief Value of the key claims/HASH.
struct OperationRecord
{
    Claimant claimant;
    /// Hash of method, path and body, by requestFingerprint().
    std::string fingerprint;
    OperationState state;
    auto operator<=>(const OperationRecord &) const = default;
};

/// @brief Encodes a record as CBOR; equal records have equal encodings.
std::string encode(const OperationRecord &record);

/// @brief Decodes a record.
/// @return the record; Internal when the text is not one
Result<OperationRecord> decodeOperationRecord(std::string_view text);

/// @brief Validates an operation key from a caller.
/// @return the key; OperationKeyInvalid when it is empty, longer than maxOperationKeyBytes, or has
/// a character that is not printable ASCII
Result<OperationKey> parseOperationKey(std::string_view text);

/// @brief Key of the key-value service under which an operation is recorded.
/// @param scope deployment and caller class; the same operation key in another scope is another
/// operation
std::string claimKey(std::string_view scope, const OperationKey &key);

/// @brief Hash that shows whether two requests with the same operation key are the same request.
std::string requestFingerprint(std::string_view method, std::string_view path,
                               std::string_view body);

} // namespace bamboochute::admission
