#include "caller/relay.hpp"

#include "caller/event_stream.hpp"
#include "caller/upstream_request.hpp"
#include "upstream/dialects.hpp"

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;
using upstream::CallFailure;
using upstream::StreamStatus;

/// Times that one stream is asked for again.
constexpr std::uint32_t maxResumes = 3;

/// A stream on its way.
struct Relay
{
    Exchange &exchange;
    const ClassifiedRequest &request;
    const AdmissionRequest &admission;
    Dispatched source;
    EventStream events;
    std::uint32_t resumes = 0;
};

/// How one upstream's part of the stream ended.
struct PartEnd
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

Error readError(const Relay &relay, const upstream::CallError &error)
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
        break;
    }
    return Error(ErrorKind::StreamBroken, fmt::format("upstream \"{}\" broke the stream", name));
}

Error writeError(const Relay &relay, StreamStatus status)
{
    const bool isSlow = status == StreamStatus::Expired && !relay.exchange.isCallerGone();
    return isSlow ? Error(ErrorKind::SlowReader, "the caller did not read the stream in time")
                  : Error(ErrorKind::CallerGone, "the caller left in the middle of the stream");
}

/// Relays until the upstream's part ends.
Awaitable<PartEnd> relayPart(Relay &relay)
{
    upstream::UpstreamCall &call = *relay.source.call;
    const ServerLimits &limits = relay.exchange.thread.server.settings.limits;
    while (true) {
        call.setDeadline(SteadyClock().now() + limits.streamIdleTimeout);
        const upstream::CallResult<bool> more = co_await call.readBody();
        if (!more)
            co_return PartEnd{readError(relay, more.error()), true};
        if (!more.value())
            break;
        const Result<std::span<const std::string_view>> whole
                = relay.events.accept(call.answer().pieces);
        if (!whole)
            co_return PartEnd{whole.error(), true};
        const StreamStatus status = co_await relay.exchange.writer.writeChunk(whole.value());
        if (status != StreamStatus::Ok)
            co_return PartEnd{writeError(relay, status), false};
    }
    if (relay.events.isDone())
        co_return PartEnd{};
    co_return PartEnd{Error(ErrorKind::StreamBroken, "the stream ended without its end marker"),
                      true};
}

/// Asks for the rest of a broken stream.
/// @return false when that is not possible
Awaitable<bool> resume(Relay &relay, const Error &error)
{
    const bool isBroken = error.kind() == ErrorKind::StreamBroken;
    if (!isBroken || relay.resumes >= maxResumes || !canResume(relay.source.slot->upstream())
        || relay.events.lastEventId().empty())
        co_return false;
    ++relay.resumes;
    AdmissionControl &control = *relay.exchange.thread.server.admission;
    const UpstreamPointer same = relay.source.slot->share();
    relay.source.slot->judge(CallVerdict::Failed);
    relay.source.call->cancel();
    relay.events.dropPending();
    if (!control.takeAgain(relay.admission, same))
        co_return false;
    ClassifiedRequest again = relay.request;
    again.deadline
            = SteadyClock().now() + relay.exchange.thread.server.settings.limits.streamIdleTimeout;
    Attempt attempt = co_await attemptCall(relay.exchange, again, relay.admission, same,
                                           relay.events.lastEventId());
    if (attempt.failure || !attempt.result.isStream)
        co_return false;
    relay.source = std::move(attempt.result);
    relay.exchange.thread.server.requestMetrics.resumedStreams.add();
    co_return true;
}

void watchCaller(Relay &relay)
{
    relay.exchange.onCancel([&relay] { relay.source.call->cancel(); });
    if (relay.exchange.isCancelled())
        relay.source.call->cancel();
}

Awaitable<void> finishStream(Relay &relay, const PartEnd &end)
{
    if (!end.error) {
        relay.source.call->finish();
        co_await relay.exchange.writer.endStream();
        co_return;
    }
    relay.exchange.writer.closeAfterAnswer();
    relay.exchange.report(*end.error);
    relay.source.call->cancel();
    const bool isWorkLeft = !end.isUpstreamFault || relay.exchange.isCancelled();
    if (isWorkLeft)
        cancelUpstream(relay.exchange, relay.source.slot->upstream());
    else
        relay.source.slot->judge(CallVerdict::Failed);
    if (!relay.exchange.isCallerGone() && end.isUpstreamFault)
        co_await relay.exchange.writer.breakStream(*end.error);
}

} // namespace

Answer answerFrom(Dispatched &dispatched)
{
    constexpr std::size_t usualHeaderBytes = 256;
    const upstream::ParsedMessage &message = dispatched.call->answer();
    Answer answer;
    answer.status = message.status;
    answer.contentType.clear();
    answer.extraHeaders.reserve(usualHeaderBytes);
    answer.body = std::move(dispatched.body);
    for (std::size_t i = 0; i < message.headers.size(); ++i) {
        const upstream::Header header = message.headers[i];
        const bool isOwn = upstream::sameHeaderName(header.name, "content-length")
                           || upstream::sameHeaderName(header.name, "x-request-id");
        if (!isOwn && !upstream::isHopByHop(header.name))
            upstream::appendHeader(answer.extraHeaders, header.name, header.value);
    }
    return answer;
}

Awaitable<void> relayStream(Exchange &exchange, const ClassifiedRequest &request,
                            const AdmissionRequest &admission, Dispatched dispatched)
{
    const ServerLimits &limits = exchange.thread.server.settings.limits;
    const bool hasIds = canResume(dispatched.slot->upstream());
    Relay relay{exchange, request, admission, std::move(dispatched),
                EventStream(limits.maxStreamBytes, hasIds)};
    exchange.writer.beginStream({});
    PartEnd end;
    while (true) {
        watchCaller(relay);
        end = co_await relayPart(relay);
        exchange.onCancel(nullptr);
        if (!end.error || !end.isUpstreamFault)
            break;
        const bool isResumed = co_await resume(relay, *end.error);
        if (!isResumed)
            break;
    }
    co_await finishStream(relay, end);
}

} // namespace bamboochute::caller
