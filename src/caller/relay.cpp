#include "caller/relay.hpp"

#include "caller/event_stream.hpp"
#include "caller/upstream_request.hpp"
#include "upstream/dialects.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;
using upstream::CallFailure;
using upstream::StreamStatus;

/// Most resumptions of one stream.
constexpr std::uint32_t maxResumes = 3;

/// State of relaying one stream.
struct StreamRelay
{
    Exchange &exchange;
    const ClassifiedRequest &request;
    const AdmissionRequest &admission;
    UpstreamAnswer source;
    EventStream events;
    std::uint32_t resumeCount = 0;
};

/// How the part of the stream that one upstream call delivers ended.
struct PartResult
{
    /// Nothing when the stream is complete.
    std::optional<Error> error;
    bool isUpstreamFault = false;
};

bool canResume(const UpstreamSpec &upstream)
{
    return upstream::withDialect(upstream.vendor,
                                 [](auto dialect) { return decltype(dialect)::canResume; });
}

Error readError(const StreamRelay &relay, const upstream::CallError &error)
{
    const std::string &name = relay.source.slot->upstream().id.value();
    switch (error.failure) {
    case CallFailure::Cancelled:
        return relay.exchange.cancelReason();
    case CallFailure::TimedOut:
        return Error(ErrorKind::UpstreamTimedOut,
                     fmt::format("upstream \"{}\" paused the stream too long", name));
    case CallFailure::Malformed:
        return Error(ErrorKind::UpstreamMalformed,
                     fmt::format("upstream \"{}\": {}", name, error.message));
    case CallFailure::Oversized:
        return Error(ErrorKind::UpstreamOversized,
                     fmt::format("upstream \"{}\": {}", name, error.message));
    case CallFailure::ConnectFailed:
    case CallFailure::IdleConnectionClosed:
    case CallFailure::ConnectionLost:
    case CallFailure::NoMemory:
        break;
    }
    return Error(
            ErrorKind::StreamBroken,
            fmt::format("the connection to upstream \"{}\" was lost in the middle of the stream",
                        name));
}

Error writeError(const StreamRelay &relay, StreamStatus status)
{
    const bool isSlow = status == StreamStatus::Expired && !relay.exchange.isCallerGone();
    return isSlow ? Error(ErrorKind::SlowReader, "the caller did not read the stream in time")
                  : Error(ErrorKind::CallerGone,
                          "the caller disconnected in the middle of the stream");
}

/// Latest time of the upstream's next piece. The caller gets its first event or an error by its
/// deadline; later, a pause ends no stream that the deadline still has time for.
TimePoint readDeadline(const StreamRelay &relay)
{
    const TimePoint deadline = relay.request.deadline;
    if (!relay.exchange.writer.isBegun())
        return deadline;
    const ServerLimits &limits = relay.exchange.thread.server.settings.limits;
    return std::max(deadline, SteadyClock().now() + limits.streamIdleTimeout);
}

/// Relays until the current upstream call ends.
Awaitable<PartResult> relayPart(StreamRelay &relay)
{
    upstream::UpstreamCall &call = *relay.source.call;
    while (true) {
        call.setDeadline(readDeadline(relay));
        const upstream::CallResult<bool> more = co_await call.readBody();
        if (!more) {
            closeIdleAfterTimeout(relay.exchange, relay.source.slot->upstream(), more.error());
            co_return PartResult{readError(relay, more.error()), true};
        }
        if (!more.value())
            break;
        const Result<std::span<const std::string_view>> whole
                = relay.events.extractWholeEvents(call.answer().pieces);
        if (!whole)
            co_return PartResult{whole.error(), true};
        const StreamStatus status = co_await relay.exchange.writer.writeChunk(whole.value());
        if (status != StreamStatus::Ok)
            co_return PartResult{writeError(relay, status), false};
    }
    if (relay.events.isDone())
        co_return PartResult{};
    co_return PartResult{Error(ErrorKind::StreamBroken, "the stream ended without its end marker"),
                         true};
}

/// Requests the rest of a broken stream from the same upstream.
/// @return false when the stream can't be resumed
Awaitable<bool> resumeStream(StreamRelay &relay, const Error &error)
{
    const bool isBroken = error.kind() == ErrorKind::StreamBroken;
    if (!isBroken || relay.resumeCount >= maxResumes || !canResume(relay.source.slot->upstream())
        || relay.events.lastEventId().empty())
        co_return false;
    ++relay.resumeCount;
    AdmissionControl &control = *relay.exchange.thread.server.admission;
    const UpstreamPointer failedUpstream = relay.source.slot->upstreamPointer();
    relay.source.slot->recordOutcome(CallOutcome::Failed);
    relay.source.call->cancel();
    relay.events.discardPartialEvent();
    if (!control.acquireSlotAgain(relay.admission, failedUpstream))
        co_return false;
    ClassifiedRequest resumedRequest = relay.request;
    resumedRequest.deadline = readDeadline(relay);
    Attempt attempt = co_await attemptCall(relay.exchange, resumedRequest, relay.admission,
                                           failedUpstream, relay.events.lastEventId());
    if (attempt.failure || !attempt.result.isStream)
        co_return false;
    relay.source = std::move(attempt.result);
    relay.exchange.thread.server.requestMetrics.resumedStreams.add();
    co_return true;
}

void registerCancel(StreamRelay &relay)
{
    relay.exchange.onCancel([&relay] { relay.source.call->cancel(); });
    if (relay.exchange.isCancelled())
        relay.source.call->cancel();
}

Awaitable<void> finishStream(StreamRelay &relay, const PartResult &end)
{
    if (!end.error) {
        relay.source.call->finish();
        co_await relay.exchange.writer.endStream();
        co_return;
    }
    relay.source.call->cancel();
    const bool mayStillRun = !end.isUpstreamFault || relay.exchange.isCancelled();
    if (mayStillRun)
        cancelUpstream(relay.exchange, relay.source.slot->upstream());
    else
        relay.source.slot->recordOutcome(CallOutcome::Failed);
    if (!relay.exchange.writer.isBegun())
        co_return co_await relay.exchange.answerError(*end.error);
    relay.exchange.writer.closeAfterAnswer();
    relay.exchange.reportError(*end.error);
    if (!relay.exchange.isCallerGone() && end.isUpstreamFault)
        co_await relay.exchange.writer.endStreamWithError(*end.error);
}

} // namespace

Answer makeAnswer(UpstreamAnswer &upstreamAnswer)
{
    constexpr std::size_t usualHeaderBytes = 256;
    const upstream::ParsedMessage &message = upstreamAnswer.call->answer();
    Answer answer;
    answer.status = message.status;
    answer.contentType.clear();
    answer.extraHeaders.reserve(usualHeaderBytes);
    answer.body = std::move(upstreamAnswer.body);
    for (std::size_t i = 0; i < message.headers.size(); ++i) {
        const upstream::Header header = message.headers[i];
        const bool isReplaced = upstream::sameHeaderName(header.name, "content-length")
                                || upstream::sameHeaderName(header.name, "x-request-id");
        if (!isReplaced && !upstream::isHopByHop(header.name))
            upstream::appendHeader(answer.extraHeaders, header.name, header.value);
    }
    return answer;
}

Awaitable<void> relayStream(Exchange &exchange, const ClassifiedRequest &request,
                            const AdmissionRequest &admission, UpstreamAnswer upstreamAnswer)
{
    const ServerLimits &limits = exchange.thread.server.settings.limits;
    const bool hasIds = canResume(upstreamAnswer.slot->upstream());
    StreamRelay relay{exchange, request, admission, std::move(upstreamAnswer),
                      EventStream(limits.maxStreamBytes, hasIds)};
    exchange.writer.beginStream({});
    PartResult end;
    while (true) {
        registerCancel(relay);
        end = co_await relayPart(relay);
        exchange.onCancel(nullptr);
        if (!end.error || !end.isUpstreamFault)
            break;
        const bool isResumed = co_await resumeStream(relay, *end.error);
        if (!isResumed)
            break;
    }
    co_await finishStream(relay, end);
}

} // namespace bamboochute::caller
