#include "caller/dispatch.hpp"
#include "caller/upstream_request.hpp"

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using admission::FailureReason;
using upstream::Awaitable;
using upstream::CallError;
using upstream::CallFailure;
using upstream::CallResult;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int firstServerError = 500;
/// An upstream that answers with this header did not run the request.
constexpr std::string_view notRunHeader = "x-request-not-run";

FailureReason retryReasonFor(CallFailure failure)
{
    switch (failure) {
    case CallFailure::ConnectFailed:
        return FailureReason::ConnectFailed;
    case CallFailure::TimedOut:
        return FailureReason::TimedOut;
    case CallFailure::Malformed:
    case CallFailure::Oversized:
        return FailureReason::MalformedAnswer;
    case CallFailure::IdleConnectionClosed:
    case CallFailure::ConnectionLost:
    case CallFailure::NoMemory:
    case CallFailure::Cancelled:
        break;
    }
    return FailureReason::ConnectionLost;
}

ErrorKind errorKindFor(const CallError &error)
{
    switch (error.failure) {
    case CallFailure::TimedOut:
        return error.isAnythingWritten ? ErrorKind::UpstreamTimedOut
                                       : ErrorKind::UpstreamUnavailable;
    case CallFailure::Malformed:
        return ErrorKind::UpstreamMalformed;
    case CallFailure::Oversized:
        return ErrorKind::UpstreamOversized;
    case CallFailure::NoMemory:
        return ErrorKind::MemoryExhausted;
    case CallFailure::Cancelled:
        return ErrorKind::CallerGone;
    case CallFailure::ConnectFailed:
    case CallFailure::IdleConnectionClosed:
    case CallFailure::ConnectionLost:
        break;
    }
    return error.isAnythingWritten ? ErrorKind::UpstreamFailed : ErrorKind::UpstreamUnavailable;
}

void recordFailure(Exchange &exchange, Attempt &attempt, const CallError &error)
{
    if (error.isAnythingWritten)
        exchange.runState = RunState::MayHaveRun;
    attempt.failure = error.isAnythingWritten || error.failure == CallFailure::ConnectFailed
                              ? retryReasonFor(error.failure)
                              : FailureReason::ConnectionClosedBeforeWrite;
    const std::string &name = attempt.result.slot->upstream().id.value();
    attempt.error = error.failure == CallFailure::Cancelled
                            ? exchange.cancelReason()
                            : Error(errorKindFor(error),
                                    fmt::format("upstream \"{}\": {}", name, error.message));
    const bool isOwnDoing
            = error.failure == CallFailure::Cancelled || error.failure == CallFailure::NoMemory;
    attempt.result.slot->recordOutcome(isOwnDoing ? CallOutcome::Neutral : CallOutcome::Failed);
}

bool isEventStream(const upstream::ParsedMessage &answer)
{
    constexpr std::string_view type = "text/event-stream";
    const std::string_view given = answer.headers.find("content-type");
    return answer.status == statusOk
           && upstream::sameHeaderName(given.substr(0, type.size()), type);
}

/// Why the attempt counts as failed although its answer is complete; nothing when it succeeded.
std::optional<FailureReason> retryReasonForAnswer(const upstream::ParsedMessage &answer,
                                                  bool isEngine)
{
    if (answer.headers.contains(notRunHeader))
        return FailureReason::RefusedNotRun;
    // The engine has unloaded the model since the routing table was built.
    if (isEngine && answer.status == statusNotFound)
        return FailureReason::RefusedNotRun;
    if (answer.status >= firstServerError)
        return FailureReason::ServerError;
    return std::nullopt;
}

Awaitable<CallResult<void>> sendAndReadAnswer(Exchange &exchange, const ClassifiedRequest &request,
                                              UpstreamAnswer &result, std::string_view resumeAfter)
{
    const std::string head
            = upstreamRequestHead(exchange, request, result.slot->upstream(), resumeAfter);
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
    // A body that came with the head is no longer than the read buffer.
    std::optional<std::string> body = call.takeBody(maxBytes);
    if (!body) {
        CallResult<std::string> read
                = co_await call.readWholeBody(maxBytes, [&exchange, &request](std::size_t bytes) {
                      return exchange.reserveAnswer(bytes, request.deadline);
                  });
        if (!read)
            co_return read.error();
        body = std::move(read).value();
    }
    result.body = *std::move(body);
    call.finish();
    co_return boost::outcome_v2::success();
}

void recordAnswer(Exchange &exchange, const ClassifiedRequest &request, Attempt &attempt)
{
    const upstream::ParsedMessage &answer = attempt.result.call->answer();
    const bool isEngine = std::holds_alternative<GenerationCall>(request.call);
    attempt.failure = retryReasonForAnswer(answer, isEngine);
    const bool isFailure = attempt.failure == FailureReason::ServerError;
    attempt.result.slot->recordOutcome(isFailure ? CallOutcome::Failed : CallOutcome::Succeeded);
    if (attempt.failure != FailureReason::RefusedNotRun)
        exchange.runState = RunState::MayHaveRun;
    if (!attempt.failure)
        return;
    const auto kind = isFailure ? ErrorKind::UpstreamFailed : ErrorKind::UpstreamUnavailable;
    attempt.error
            = Error(kind, fmt::format("upstream \"{}\" answered with status {}",
                                      attempt.result.slot->upstream().id.value(), answer.status));
}

} // namespace

void closeIdleAfterTimeout(Exchange &exchange, const UpstreamSpec &upstream, const CallError &error)
{
    if (error.failure == CallFailure::TimedOut)
        exchange.thread.connectionPool.closeIdle(upstream.endpoint);
}

Awaitable<Attempt> attemptCall(Exchange &exchange, const ClassifiedRequest &request,
                               const AdmissionRequest &admission, UpstreamPointer upstream,
                               std::string_view resumeAfter)
{
    Attempt attempt;
    UpstreamAnswer &result = attempt.result;
    result.slot = std::make_unique<UpstreamSlot>(*exchange.thread.server.admission, admission,
                                                 std::move(upstream));
    result.call = std::make_unique<upstream::UpstreamCall>(exchange.thread.connectionPool,
                                                           result.slot->upstream().endpoint);
    exchange.thread.server.requestMetrics.upstreamAttempts.add();
    const auto cancel = [call = result.call.get()] { call->cancel(); };
    if (request.isIdempotent())
        exchange.onCancel(cancel);
    else
        exchange.onStop(cancel);
    const CallResult<void> called
            = co_await sendAndReadAnswer(exchange, request, result, resumeAfter);
    exchange.onCancel(nullptr);
    if (called) {
        recordAnswer(exchange, request, attempt);
        co_return attempt;
    }
    closeIdleAfterTimeout(exchange, result.slot->upstream(), called.error());
    const bool isCancelled = called.error().failure == CallFailure::Cancelled;
    if (isCancelled && std::holds_alternative<GenerationCall>(request.call))
        cancelUpstream(exchange, result.slot->upstream());
    recordFailure(exchange, attempt, called.error());
    co_return attempt;
}

} // namespace bamboochute::caller
