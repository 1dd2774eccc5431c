#include "core/error.hpp"

#include "core/invariant.hpp"

#include <array>
#include <utility>

namespace bamboochute {

namespace {

using namespace std::chrono_literals;

// clang-format off
constexpr std::array errorRows{
    ErrorRow{ErrorKind::MalformedRequest, "BC1001", "malformed_request", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::MalformedJson, "BC1002", "malformed_json", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::JsonTooDeep, "BC1003", "json_too_deep", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::InvalidField, "BC1004", "invalid_field", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::BodyTooLarge, "BC1005", "body_too_large", "invalid_request_error", 413, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::HeaderTooLarge, "BC1006", "header_too_large", "invalid_request_error", 431, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::SlowSender, "BC1007", "slow_sender", "invalid_request_error", 408, RunState::NotRun, true, std::nullopt},
    ErrorRow{ErrorKind::UnknownPath, "BC1008", "unknown_path", "invalid_request_error", 404, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::MethodNotAllowed, "BC1009", "method_not_allowed", "invalid_request_error", 405, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::UnknownModel, "BC1010", "model_not_found", "invalid_request_error", 404, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::UnknownAdapter, "BC1011", "adapter_not_found", "invalid_request_error", 404, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::InvalidDeadline, "BC1012", "invalid_deadline", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::Unauthenticated, "BC1013", "unauthenticated", "authentication_error", 401, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::Forbidden, "BC1014", "forbidden", "permission_error", 403, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::QueueFull, "BC2001", "queue_full", "overloaded_error", 429, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::DeadlineUnreachable, "BC2002", "deadline_unreachable", "overloaded_error", 503, RunState::NotRun, true, 5s},
    ErrorRow{ErrorKind::DeadlineExceededInQueue, "BC2003", "deadline_exceeded_in_queue", "timeout_error", 504, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::NoCapacity, "BC2004", "no_capacity", "overloaded_error", 503, RunState::NotRun, true, 10s},
    ErrorRow{ErrorKind::ColdStartUnavailable, "BC2005", "cold_start_unavailable", "overloaded_error", 503, RunState::NotRun, true, 10s},
    ErrorRow{ErrorKind::UpstreamUnavailable, "BC2006", "upstream_unavailable", "server_error", 503, RunState::NotRun, true, 2s},
    ErrorRow{ErrorKind::RetryBudgetExhausted, "BC2007", "retry_budget_exhausted", "overloaded_error", 503, RunState::NotRun, true, 5s},
    ErrorRow{ErrorKind::Draining, "BC2008", "draining", "server_error", 503, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::NotReady, "BC2009", "not_ready", "server_error", 503, RunState::NotRun, true, 2s},
    ErrorRow{ErrorKind::PromptQuarantined, "BC2010", "prompt_quarantined", "server_error", 503, RunState::NotRun, true, 60s},
    ErrorRow{ErrorKind::RequestQuarantined, "BC2011", "request_quarantined", "server_error", 503, RunState::NotRun, true, 60s},
    ErrorRow{ErrorKind::QuotaExceeded, "BC2012", "quota_exceeded", "overloaded_error", 429, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::MemoryExhausted, "BC2013", "memory_exhausted", "overloaded_error", 503, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::UpstreamFailed, "BC3001", "upstream_failed", "server_error", 502, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::UpstreamTimedOut, "BC3002", "upstream_timed_out", "timeout_error", 504, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::UpstreamMalformed, "BC3003", "upstream_malformed", "server_error", 502, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::UpstreamOversized, "BC3004", "upstream_oversized", "server_error", 502, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::StreamBroken, "BC3005", "stream_broken", "server_error", 502, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::SlowReader, "BC3006", "slow_reader", "invalid_request_error", 408, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::CallerGone, "BC3007", "caller_gone", "invalid_request_error", 499, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::OperationKeyInvalid, "BC4001", "operation_key_invalid", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::OperationKeyReused, "BC4002", "operation_key_reused", "invalid_request_error", 422, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::OperationInProgress, "BC4003", "operation_in_progress", "conflict_error", 409, RunState::MayHaveRun, true, 2s},
    ErrorRow{ErrorKind::OperationOutcomeUnknown, "BC4004", "operation_outcome_unknown", "conflict_error", 409, RunState::MayHaveRun, false, std::nullopt},
    ErrorRow{ErrorKind::ClaimUnavailable, "BC4005", "claim_unavailable", "server_error", 503, RunState::NotRun, true, 5s},
    ErrorRow{ErrorKind::KeyValueUnavailable, "BC5001", "key_value_unavailable", "server_error", 503, RunState::NotRun, true, 5s},
    ErrorRow{ErrorKind::KeyValueOutcomeUnknown, "BC5002", "key_value_outcome_unknown", "server_error", 503, RunState::MayHaveRun, true, 5s},
    ErrorRow{ErrorKind::KeyValueConflict, "BC5003", "key_value_conflict", "conflict_error", 409, RunState::NotRun, true, std::nullopt},
    ErrorRow{ErrorKind::PeerUnreachable, "BC5004", "peer_unreachable", "server_error", 503, RunState::MayHaveRun, true, 1s},
    ErrorRow{ErrorKind::PeerUnauthenticated, "BC5005", "peer_unauthenticated", "authentication_error", 401, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::NotOwner, "BC5006", "not_owner", "server_error", 503, RunState::NotRun, true, 1s},
    ErrorRow{ErrorKind::OrderStaleFence, "BC6001", "order_stale_fence", "server_error", 409, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::OrderRefused, "BC6002", "order_refused", "server_error", 502, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::OrderUnconfirmed, "BC6003", "order_unconfirmed", "server_error", 504, RunState::MayHaveRun, true, 5s},
    ErrorRow{ErrorKind::ReportDistrusted, "BC6004", "report_distrusted", "server_error", 502, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::ConfigurationInvalid, "BC7001", "configuration_invalid", "invalid_request_error", 422, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::ConfigurationTooLarge, "BC7002", "configuration_too_large", "invalid_request_error", 413, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::RevisionConflict, "BC7003", "revision_conflict", "conflict_error", 409, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::SettingInvalid, "BC7004", "setting_invalid", "invalid_request_error", 400, RunState::NotRun, false, std::nullopt},
    ErrorRow{ErrorKind::Internal, "BC9001", "internal", "server_error", 500, RunState::MayHaveRun, false, std::nullopt},
};
// clang-format on

constexpr bool isInOrder()
{
    for (std::size_t i = 0; i < errorRows.size(); ++i) {
        if (static_cast<std::size_t>(errorRows[i].kind) != i)
            return false;
    }
    return errorRows.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}

static_assert(isInOrder(), "the table has one row for each kind, in the enumeration's order");

} // namespace

std::span<const ErrorRow> errorTable() noexcept
{
    return errorRows;
}

const ErrorRow &errorRow(ErrorKind kind) noexcept
{
    return errorRows[static_cast<std::size_t>(kind)];
}

Error::Error(ErrorKind kind, std::string message, std::string field)
    : errorKind(kind)
    , text(std::move(message))
    , fieldName(std::move(field))
{}

std::optional<std::chrono::seconds> Error::retryAfter() const noexcept
{
    return this->givenRetryAfter ? this->givenRetryAfter : this->row().retryAfter;
}

Error Error::withRetryAfter(std::chrono::seconds delay) const
{
    Error changed = *this;
    changed.givenRetryAfter = delay;
    return changed;
}

} // namespace bamboochute
