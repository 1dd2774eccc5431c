#include "caller/dispatch.hpp"
#include "caller/upstream_request.hpp"

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using admission::RetryReason;
using upstream::Awaitable;
using upstream::CallError;
using upstream::CallFailure;
using upstream::CallResult;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int firstServerError = 500;
/// By this header an upstream says that it did not run the request.
constexpr std::string_view notRunHeader = "x-request-not-run";

RetryReason reasonOf(CallFailure failure)
{
    switch (failure) {
    case CallFailure::ConnectFailed:
        return RetryReason::ConnectFailed;
    case CallFailure::TimedOut:
        return RetryReason::TimedOut;
    case CallFailure::Malformed:
    case CallFailure::Oversized:
        return RetryReason::MalformedAnswer;
    case CallFailure::IdleConnectionClosed:
    case CallFailure::ConnectionLost:
    case CallFailure::Cancelled:
        break;
    }
    return RetryReason::ConnectionLost;
}

ErrorKind kindOf(const CallError &error)
{
    switch (error.failure) {
    case CallFailure::TimedOut:
        return error.isAnythingWritten ? ErrorKind::UpstreamTimedOut
                                       : ErrorKind::UpstreamUnavailable;
    case CallFailure::Malformed:
        return ErrorKind::UpstreamMalformed;
    case CallFailure::Oversized:
        return ErrorKind::UpstreamOversized;
    case CallFailure::Cancelled:
        return ErrorKind::CallerGone;
    case CallFailure::ConnectFailed:
    case CallFailure::IdleConnectionClosed:
    case CallFailure::ConnectionLost:
        break;
    }
    return error.isAnythingWritten ? ErrorKind::UpstreamFailed : ErrorKind::UpstreamUnavailable;
}

void noteFailure(Exchange &exchange, Attempt &attempt, const CallError &error)
{
    if (error.isAnythingWritten)
        exchange.runState = RunState::MayHaveRun;
    attempt.failure = error.isAnythingWritten || error.failure == CallFailure::ConnectFailed
                              ? reasonOf(error.failure)
                              : RetryReason::ConnectionClosedBeforeWrite;
    const std::string &name = attempt.result.slot->upstream().id.value();
    attempt.error = error.failure == CallFailure::Cancelled
                            ? exchange.cancelReason()
                            : Error(kindOf(error),
                                    fmt::format("upstream \"{}\": {}", name, error.message));
    attempt.result.slot->judge(error.failure == CallFailure::Cancelled ? CallVerdict::Neutral
                                                                       : CallVerdict::Failed);
}

bool isEventStream(const upstream::ParsedMessage &answer)
{
    constexpr std::string_view type = "text/event-stream";
    const std::string_view given = answer.headers.find("content-type");
    return answer.status == statusOk
           && upstream::sameHeaderName(given.substr(0, type.size()), type);
}

/// Whether an answer that came whole counts as a failed attempt.
std::optional<RetryReason> judgeStatus(const upstream::ParsedMessage &answer, bool isEngine)
{
    if (answer.headers.contains(notRunHeader))
        return RetryReason::RefusedNotRun;
    // The engine has unloaded the model since it was last heard of.
    if (isEngine && answer.status == statusNotFound)
        return RetryReason::RefusedNotRun;
    if (answer.status >= firstServerError)
        return RetryReason::ServerError;
    return std::nullopt;
}

Awaitable<CallResult<void>> callAndRead(Exchange &exchange, const ClassifiedRequest &request,
                                        Dispatched &result, std::string_view resumeAfter)
{
    const std::string head = upstreamHead(exchange, request, result.slot->upstream(), resumeAfter);
    const auto use = request.isIdempotent() ? upstream::ConnectionUse::Any
                                            : upstream::ConnectionUse::Fresh;
    upstream::UpstreamCall &call = *result.call;
    const CallResult<void> sent
            = co_await call.send(head, exchange.request.body, request.deadline, use);
    if (!sent)
        co_return sent.error();
    const CallResult<void> headRead = co_await call.readHead();
    if (!headRead)
        co_return headRead.error();
    result.isStream = request.isStream() && isEventStream(call.answer());
    if (result.isStream)
        co_return boost::outcome_v2::success();
    const std::size_t maxBytes = exchange.thread.server.settings.limits.maxAnswerBytes;
    std::optional<std::string> body = call.takeBody(maxBytes);
    if (!body) {
        CallResult<std::string> read = co_await call.readWholeBody(maxBytes);
        if (!read)
            co_return read.error();
        body = std::move(read).value();
    }
    result.body = *std::move(body);
    call.finish();
    co_return boost::outcome_v2::success();
}

void noteAnswer(Exchange &exchange, const ClassifiedRequest &request, Attempt &attempt)
{
    const upstream::ParsedMessage &answer = attempt.result.call->answer();
    const bool isEngine = std::holds_alternative<GenerationCall>(request.call);
    attempt.failure = judgeStatus(answer, isEngine);
    const bool isFailure = attempt.failure == RetryReason::ServerError;
    attempt.result.slot->judge(isFailure ? CallVerdict::Failed : CallVerdict::Succeeded);
    if (attempt.failure != RetryReason::RefusedNotRun)
        exchange.runState = RunState::MayHaveRun;
    if (!attempt.failure)
        return;
    const auto kind = isFailure ? ErrorKind::UpstreamFailed : ErrorKind::UpstreamUnavailable;
    attempt.error
            = Error(kind, fmt::format("upstream \"{}\" answered with status {}",
                                      attempt.result.slot->upstream().id.value(), answer.status));
}

} // namespace

Awaitable<Attempt> attemptCall(Exchange &exchange, const ClassifiedRequest &request,
                               const AdmissionRequest &admission, UpstreamPointer upstream,
                               std::string_view resumeAfter)
{
    Attempt attempt;
    Dispatched &result = attempt.result;
    result.slot = std::make_unique<UpstreamSlot>(*exchange.thread.server.admission, admission,
                                                 std::move(upstream));
    result.call = std::make_unique<upstream::UpstreamCall>(exchange.thread.pool,
                                                           result.slot->upstream().endpoint);
    exchange.thread.server.requestMetrics.upstreamAttempts.add();
    const auto cancel = [call = result.call.get()] { call->cancel(); };
    if (request.isIdempotent())
        exchange.onCancel(cancel);
    else
        exchange.onStop(cancel);
    const CallResult<void> called = co_await callAndRead(exchange, request, result, resumeAfter);
    exchange.onCancel(nullptr);
    if (called) {
        noteAnswer(exchange, request, attempt);
        co_return attempt;
    }
    const bool isCancelled = called.error().failure == CallFailure::Cancelled;
    if (isCancelled && std::holds_alternative<GenerationCall>(request.call))
        cancelUpstream(exchange, result.slot->upstream());
    noteFailure(exchange, attempt, called.error());
    co_return attempt;
}

} // namespace bamboochute::caller
