/// @file
/// @brief The closed list of error kinds and the table of the answer to each kind.
#pragma once

#include "core/clock.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace bamboochute {

/// @brief Every reason for which the system refuses a request or fails an operation.
enum class ErrorKind {
    // The caller's request is wrong.
    MalformedRequest,
    MalformedJson,
    JsonTooDeep,
    InvalidField,
    BodyTooLarge,
    HeaderTooLarge,
    SlowSender,
    UnknownPath,
    MethodNotAllowed,
    UnknownModel,
    UnknownAdapter,
    InvalidDeadline,
    Unauthenticated,
    Forbidden,
    // The request is valid, and was not run.
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceededInQueue,
    NoCapacity,
    ColdStartUnavailable,
    UpstreamUnavailable,
    RetryBudgetExhausted,
    Draining,
    NotReady,
    PromptQuarantined,
    RequestQuarantined,
    QuotaExceeded,
    MemoryExhausted,
    // The request was sent; it failed, or its outcome is unknown.
    UpstreamFailed,
    UpstreamTimedOut,
    UpstreamMalformed,
    UpstreamOversized,
    StreamBroken,
    SlowReader,
    CallerGone,
    // Operations that run at most once.
    OperationKeyInvalid,
    OperationKeyReused,
    OperationInProgress,
    OperationOutcomeUnknown,
    ClaimUnavailable,
    // The platform and other instances.
    KeyValueUnavailable,
    KeyValueOutcomeUnknown,
    KeyValueConflict,
    PeerUnreachable,
    PeerUnauthenticated,
    NotOwner,
    // Orders to upstreams.
    OrderStaleFence,
    OrderRefused,
    OrderUnconfirmed,
    ReportDistrusted,
    // Configuration and settings.
    ConfigurationInvalid,
    ConfigurationTooLarge,
    RevisionConflict,
    SettingInvalid,
    // A defect of this program.
    Internal,
};

/// @brief Whether the request was run, as far as is known.
enum class RunState {
    NotRun,
    MayHaveRun,
    Run,
};

/// @brief The answer to one error kind; a row of the error table.
struct ErrorRow
{
    ErrorKind kind;
    /// Stable identifier, such as "BC1001"; never reused for another kind.
    std::string_view id;
    /// Stable code in the answer's body, such as "queue_full".
    std::string_view code;
    /// The "type" member of the OpenAI-shaped error body.
    std::string_view type;
    int httpStatus;
    RunState runState;
    /// Whether the caller may send the same request again.
    bool isRetryable;
    /// Value of Retry-After, if the answer carries one.
    std::optional<std::chrono::seconds> retryAfter;
};

/// @brief The whole table, in the order of the enumeration.
std::span<const ErrorRow> errorTable() noexcept;

/// @brief The row of one kind.
const ErrorRow &errorRow(ErrorKind kind) noexcept;

/// @brief An error: its kind, a message and the field at fault.
class Error
{
public:
    /// @brief An internal error without a message; needed by Boost.Outcome.
    Error() = default;

    /// @param kind row of the table that applies
    /// @param message human-readable description of what is wrong and where
    /// @param field member, header, flag or path that is wrong; may be empty
    explicit Error(ErrorKind kind, std::string message = {}, std::string field = {});

    ErrorKind kind() const noexcept { return this->errorKind; }
    const std::string &message() const noexcept { return this->text; }
    const std::string &field() const noexcept { return this->fieldName; }
    const ErrorRow &row() const noexcept { return errorRow(this->errorKind); }

    /// @brief Value of Retry-After; the table's unless withRetryAfter() set one.
    std::optional<std::chrono::seconds> retryAfter() const noexcept;

    /// @brief Returns a copy of the error with the given Retry-After.
    Error withRetryAfter(std::chrono::seconds delay) const;

    bool operator==(const Error &) const = default;

private:
    ErrorKind errorKind = ErrorKind::Internal;
    std::string text;
    std::string fieldName;
    std::optional<std::chrono::seconds> givenRetryAfter;
};

/// @brief A value or an error (Boost.Outcome); accessing the absent one ends the process.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace bamboochute
