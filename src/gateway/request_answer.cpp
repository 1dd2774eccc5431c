#include "caller/answer.hpp"
#include "core/log.hpp"
#include "gateway/exchange_limits.hpp"
#include "gateway/request_exchange.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using upstream::appendHeader;
using upstream::Awaitable;
using upstream::CallResult;
using upstream::sameHeaderName;

} // namespace

/// Reads the answer of the current attempt and relays it.
Awaitable<AttemptOutcome> RequestExchange::receiveAnswer()
{
    while (true) {
        this->attempt.call->setDeadline(this->silenceDeadline());
        const CallResult<void> read = co_await this->attempt.call->readHead();
        if (read)
            break;
        if (!this->isSilence(read.error()) || this->turnFromSilentLink())
            co_return this->handleCallFailure(read.error());
        const bool isReplaced = this->isReplacementDue() && co_await this->replaceSilentUpstream();
        if (isReplaced)
            co_return AttemptOutcome::Replaced;
    }
    this->attempt.heardAt = this->now();
    this->silence.recordBytes(this->now());
    if (!this->attempt.helper)
        this->gateway.forwarding.recordAnswer(this->service->id, this->attempt.sentAt);
    const AttemptOutcome outcome = co_await this->relayAnswer();
    co_return outcome;
}

/// Reads more of the current attempt's answer.
/// @return as UpstreamCall::readBody(); nothing when another upstream has taken the request
Awaitable<std::optional<CallResult<bool>>> RequestExchange::readMoreBody()
{
    while (true) {
        this->attempt.call->setDeadline(this->silenceDeadline());
        CallResult<bool> more = co_await this->attempt.call->readBody();
        if (more) {
            this->attempt.heardAt = this->now();
            this->silence.recordBytes(this->now());
        }
        if (more || !this->isSilence(more.error()) || this->turnFromSilentLink())
            co_return more;
        const bool isReplaced = this->isReplacementDue() && co_await this->replaceSilentUpstream();
        if (isReplaced)
            co_return std::nullopt;
    }
}

Awaitable<AttemptOutcome> RequestExchange::relayAnswer()
{
    const upstream::ParsedMessage &answer = this->attempt.call->answer();
    const AnswerAttributes answerAttributes
            = this->gateway.codec.readAnswer(answer.status, answer.headers);
    if (!answerAttributes.request.isEmpty() && answerAttributes.request != this->attributes.id) {
        if (this->isAnswerBegun)
            co_return this->handleBrokenStream(UpstreamFault::Malformed,
                                               "the answer belongs to another request");
        this->recordFault(UpstreamFault::Malformed, "the answer belongs to another request");
        co_return AttemptOutcome::MayHaveRun;
    }
    if (this->attempt.helper) {
        const std::optional<AttemptOutcome> outcome = co_await this->relayHelperAnswer();
        if (outcome)
            co_return *outcome;
        const AttemptOutcome streamOutcome = co_await this->relayEventStream();
        co_return streamOutcome;
    }
    this->recordAnswer(answerAttributes);
    if (answerAttributes.isNotRun)
        co_return this->handleUpstreamRefusal(answerAttributes, answer.status);
    if (!answerAttributes.isSigned && !this->isAnswerBegun) {
        this->recordFault(UpstreamFault::Malformed, "the answer has no signature");
        co_return AttemptOutcome::MayHaveRun;
    }
    AttemptOutcome outcome = AttemptOutcome::Finished;
    if (!this->isStreamAnswer(answer.status)) {
        outcome = co_await this->relayWholeAnswer();
        co_return outcome;
    }
    const std::optional<AttemptOutcome> defective = this->beginStreamAnswer(answerAttributes);
    if (defective)
        co_return *defective;
    outcome = co_await this->relayEventStream();
    co_return outcome;
}

/// Makes room for an answer. While there is none, nothing more is read from the upstream.
/// @return false if there is still none after answerRoomTimeout, over all calls for an attempt, or
/// at the deadline of the request
Awaitable<bool> RequestExchange::reserveAnswer(std::size_t bytes)
{
    const std::size_t needed = bytes + this->keptAnswerBytes();
    if (needed <= this->answerMemory.bytes())
        co_return true;
    const TimePoint begin = this->now();
    const TimePoint until = std::min(begin + this->attempt.roomTimeLeft, this->deadline);
    bool hasRoom = this->answerMemory.resize(needed, begin);
    while (!hasRoom && this->now() < until && !this->isEnding()) {
        co_await this->gateway.change.wait(std::min(until, this->now() + answerRoomPollInterval));
        hasRoom = this->answerMemory.resize(needed, this->now());
    }
    this->attempt.roomTimeLeft -= this->now() - begin;
    co_return hasRoom;
}

/// Frees the memory of an attempt's answer, but for an error answer that is kept until no upstream
/// is left to try.
void RequestExchange::releaseAnswer()
{
    this->answerMemory.resize(this->keptAnswerBytes(), this->now());
}

/// Memory of an error answer that is kept, and of the buffers of a stream.
std::size_t RequestExchange::keptAnswerBytes() const
{
    const std::size_t errorBytes
            = this->upstreamErrorAnswer ? this->upstreamErrorAnswer->second.size() : 0;
    return errorBytes + this->events.heldBytes();
}

/// Memory that the next part of a stream takes beside what the buffers of its events hold: the read
/// buffer of the connection, what those grow by, and the text that is sent.
std::size_t RequestExchange::streamBytes() const
{
    std::size_t added = 0;
    for (const std::string_view piece : this->attempt.call->answer().pieces)
        added += piece.size();
    return this->attempt.call->bufferBytes() + 2 * added + this->events.partialEventBytes();
}

/// Ends the current attempt for want of memory for its answer; the upstream is not at fault, and is
/// not avoided.
AttemptOutcome RequestExchange::handleMemoryShortage()
{
    this->lastFault = "there is too little memory for the answer";
    this->recordAnswerEnd();
    if (this->isAnswerBegun)
        this->bindStreamVersion();
    if (!this->attempt.helper)
        this->triedUpstreams.push_back(this->attempt.upstream);
    this->attempt.call->cancel();
    this->log(LogLevel::Warning, "attempt failed", "memory", {"detail", this->lastFault});
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

/// Whether an answer with a status is a stream, or has to be one to continue what the caller has.
bool RequestExchange::isStreamAnswer(int status) const
{
    return this->isAnswerBegun || (this->route->kind == RequestKind::Stream && status == statusOk);
}

/// Reads the head of the current attempt's answer.
StreamHead RequestExchange::readHead(const AnswerAttributes &attributes) const
{
    const upstream::ParsedMessage &answer = this->attempt.call->answer();
    return readStreamHead(answer.status, answer.headers, attributes.isSigned);
}

/// Begins the stream in the current attempt's answer.
/// @return how the attempt ended if its head shows that it does not continue what the caller has
std::optional<AttemptOutcome> RequestExchange::beginStreamAnswer(const AnswerAttributes &attributes)
{
    const StreamHead head = this->readHead(attributes);
    const std::optional<std::string> defect = this->continuation.findDefect(head);
    if (defect)
        return this->handleBrokenStream(head.isSigned && head.status >= firstServerError
                                                ? UpstreamFault::ServerError
                                                : UpstreamFault::Malformed,
                                        *defect);
    this->continuation.beginAnswer(head);
    return std::nullopt;
}

/// Takes over what the answer says about its upstream, unless another process has sent it.
void RequestExchange::recordAnswer(const AnswerAttributes &attributes)
{
    const bool isOtherProcess
            = !attributes.answeredBy.isEmpty() && attributes.answeredBy != this->attempt.upstream;
    if (isOtherProcess)
        return;
    this->attempt.upstreamLimit = attributes.requestsPerSecond;
    this->gateway.recordAnswer(this->attempt.process, attributes);
}

AttemptOutcome RequestExchange::handleUpstreamRefusal(const AnswerAttributes &attributes,
                                                      int status)
{
    ++this->notRunAnswers;
    if (status == statusUnavailable)
        this->gateway.recordRejection(this->service->id, this->attempt.process);
    const bool isOtherProcess
            = !attributes.answeredBy.isEmpty() && attributes.answeredBy != this->attempt.upstream;
    if (this->isEngineTarget() && !isOtherProcess) {
        // The upstream may be loading or unloading the target, so it may be tried again later.
        this->gateway.table.recordRefusal(this->attempt.upstream, this->target.target,
                                          this->now() + refusedTargetRetryDelay);
        this->lastFault = "the upstream refused the model or adapter";
        this->log(LogLevel::Info, "upstream refused the model or adapter", "target",
                  {"status", std::to_string(status)});
        return AttemptOutcome::NotRun;
    }
    if (isOtherProcess) {
        this->replacedProcesses.push_back(this->attempt.process);
        this->recordFault(UpstreamFault::Unreachable,
                          "another process answers at the address of the upstream");
        return AttemptOutcome::NotRun;
    }
    // After a pause the upstream may be tried again.
    if (!attributes.pause)
        this->triedUpstreams.push_back(this->attempt.upstream);
    this->recordFault(UpstreamFault::Full, "the upstream has no capacity left");
    return AttemptOutcome::NotRun;
}

AttemptOutcome RequestExchange::handleCallFailure(const upstream::CallError &error)
{
    using upstream::CallFailure;
    if (this->attempt.helper)
        return this->handleHelperFailure(error);
    if (error.failure == CallFailure::Cancelled && !this->isCallerGone) {
        this->lastFault = stoppingReason;
        if (!error.isAnythingWritten)
            return AttemptOutcome::NotRun;
        return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
    }
    if (error.failure == CallFailure::Cancelled)
        return AttemptOutcome::Finished;
    this->recordAnswerEnd();
    if (this->isAnswerBegun)
        this->bindStreamVersion();
    this->recordLostLink(error);
    if (!error.isAnythingWritten) {
        this->attempt.isUnreached = true;
        this->unreachedProcesses.push_back(this->attempt.process);
        this->recordFault(UpstreamFault::Unreachable, error.message);
        return AttemptOutcome::NotRun;
    }
    this->triedUpstreams.push_back(this->attempt.upstream);
    std::erase(this->unreachedUpstreams, this->attempt.upstream);
    if (error.failure == CallFailure::TimedOut && this->timeLeft() < minSendTime) {
        this->hasTimedOut = true;
        this->attempt.linkCheckAt = std::min(this->attempt.linkCheckAt, this->now());
        this->recordSilentLink();
        this->recordFault(UpstreamFault::Slow, "no complete answer by the deadline of the request");
    } else if (error.failure == CallFailure::TimedOut) {
        this->unreachedUpstreams.push_back(this->attempt.upstream);
        this->recordFault(UpstreamFault::Slow,
                          "silent; this instance is cut off from the upstreams");
    } else {
        this->recordFault(error.failure == CallFailure::Malformed
                                          || error.failure == CallFailure::Oversized
                                  ? UpstreamFault::Malformed
                                  : UpstreamFault::Broken,
                          error.message);
    }
    if (error.failure == CallFailure::ConnectionLost)
        this->checkForCrash();
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

Awaitable<AttemptOutcome> RequestExchange::relayWholeAnswer()
{
    const int status = this->attempt.call->answer().status;
    std::string body;
    while (true) {
        const std::optional<CallResult<bool>> more = co_await this->readMoreBody();
        if (!more)
            co_return AttemptOutcome::Replaced;
        if (!*more)
            co_return this->handleCallFailure(more->error());
        if (!more->value())
            break;
        std::size_t added = 0;
        for (const std::string_view piece : this->attempt.call->answer().pieces)
            added += piece.size();
        // Answers that each hold a part, and wait for room for the rest, would block one another.
        const std::size_t announced = this->attempt.call->announcedBytes(maxAnswerBytes);
        const bool hasRoom = co_await this->reserveAnswer(std::max(body.size() + added, announced));
        if (!hasRoom)
            co_return this->handleMemoryShortage();
        body.reserve(announced);
        for (const std::string_view piece : this->attempt.call->answer().pieces)
            body += piece;
        if (body.size() > maxAnswerBytes)
            co_return this->handleCallFailure(
                    {upstream::CallFailure::Oversized, true,
                     fmt::format("the answer's body is longer than {} bytes", maxAnswerBytes),
                     false});
    }
    this->recordAnswerEnd();
    std::string head = this->buildAnswerHead(status, this->attempt.call->answer().headers);
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    head += "\r\n";
    this->attempt.call->cancel();
    if (status >= firstServerError) {
        this->recordFault(UpstreamFault::ServerError, fmt::format("status {}", status));
        this->triedUpstreams.push_back(this->attempt.upstream);
        this->upstreamErrorAnswer.emplace(std::move(head), std::move(body));
        co_return AttemptOutcome::MayHaveRun;
    }
    this->recordSuccess();
    this->recordCompletion();
    if (co_await this->writeToCaller(head, body))
        this->end = RequestEnd::Answered;
    this->log(LogLevel::Info, "request answered", std::to_string(status), this->durationField());
    co_return AttemptOutcome::Finished;
}

Awaitable<AttemptOutcome> RequestExchange::relayEventStream()
{
    std::string head;
    bool isFirst = true;
    while (true) {
        const std::optional<CallResult<bool>> more = co_await this->readMoreBody();
        if (!more)
            co_return AttemptOutcome::Replaced;
        if (!*more)
            co_return this->handleCallFailure(more->error());
        if (!more->value())
            break;
        if (this->requiredVersion && !this->bindStreamVersion())
            co_return this->handleBrokenStream(
                    UpstreamFault::Broken,
                    "the upstream has started again with another software version");
        // What is read and not sent yet counts as the body of an answer does. Short events are not
        // counted, as they would always be let in.
        const std::size_t bytes = this->streamBytes();
        const bool isLarge = this->answerMemory.isLarge(bytes + this->keptAnswerBytes());
        const bool hasRoom = !isLarge || co_await this->reserveAnswer(bytes);
        if (!hasRoom)
            co_return this->handleMemoryShortage();
        const auto completeEvents
                = this->events.extractWholeEvents(this->attempt.call->answer().pieces);
        if (!completeEvents)
            co_return this->handleBrokenStream(UpstreamFault::Malformed,
                                               completeEvents.error().message());
        std::string text;
        for (const std::string_view piece : completeEvents.value())
            text += piece;
        const StreamContinuation::Events added = this->continuation.addEvents(text);
        text.resize(added.length);
        if (text.empty() && added.defect)
            co_return this->handleBrokenStream(UpstreamFault::Malformed, *added.defect);
        if (text.empty())
            continue;
        this->bindStreamVersion();
        if (std::exchange(isFirst, false))
            this->recordSuccess();
        if (!this->isAnswerBegun)
            head = this->buildStreamHead();
        this->isAnswerBegun = true;
        const std::string chunk = fmt::format("{}{:x}\r\n", head, text.size());
        head.clear();
        text += "\r\n";
        const bool isSent = co_await this->writeToCaller(chunk, text);
        if (!isSent)
            co_return AttemptOutcome::Finished;
        if (isLarge) {
            this->events.releaseSentEvents();
            this->releaseAnswer();
            this->attempt.roomTimeLeft = answerRoomTimeout;
        }
        this->recordEventTime();
        this->silence.recordEvents(this->now());
        if (added.defect)
            co_return this->handleBrokenStream(UpstreamFault::Malformed, *added.defect);
    }
    this->recordAnswerEnd();
    const std::optional<AttemptOutcome> defective = this->findEndDefect();
    if (defective)
        co_return *defective;
    this->recordCompletion();
    // A stream without events is a valid answer.
    if (!this->isAnswerBegun)
        head = this->buildStreamHead();
    this->isAnswerBegun = true;
    if (co_await this->writeToCaller(head, "0\r\n\r\n"))
        this->end = RequestEnd::Answered;
    this->log(LogLevel::Info, "request answered", "stream", this->durationField());
    co_return AttemptOutcome::Finished;
}

std::string RequestExchange::buildStreamHead()
{
    std::string head = this->buildAnswerHead(statusOk, this->attempt.call->answer().headers);
    appendHeader(head, "Transfer-Encoding", "chunked");
    head += "\r\n";
    return head;
}

/// Returns how the attempt ended if its stream, which ended without an error, is incomplete or not
/// known to be complete.
///
/// The host of a crashed process closes its connections in order, which is also how an answer
/// without a length ends.
std::optional<AttemptOutcome> RequestExchange::findEndDefect()
{
    if (this->events.isInsideEvent())
        return this->handleBrokenStream(UpstreamFault::Broken, "the stream ended inside an event");
    const bool isUnframed
            = this->attempt.answerEnd
              && this->attempt.answerEnd->framing == upstream::BodyFraming::ConnectionClose;
    const StreamEnd streamEnd = this->continuation.endAnswer(!isUnframed);
    if (streamEnd == StreamEnd::Complete)
        return std::nullopt;
    if (streamEnd == StreamEnd::Broken)
        return this->handleBrokenStream(UpstreamFault::Broken,
                                        "the stream without a length ended before its first event");
    // The upstream may be right, so that this is no fault of it.
    if (!this->attempt.helper)
        this->triedUpstreams.push_back(this->attempt.upstream);
    this->lastFault = "an answer without events was to continue the stream";
    this->log(LogLevel::Warning, "end of stream not confirmed", "no_events", this->durationField());
    return AttemptOutcome::StreamBroken;
}

AttemptOutcome RequestExchange::handleBrokenStream(UpstreamFault fault, std::string_view reason)
{
    if (this->attempt.helper && fault == UpstreamFault::Broken)
        return this->handleHelperFailure(
                {upstream::CallFailure::ConnectionLost, true, std::string(reason), false});
    if (this->attempt.helper) {
        // The fault is that of an upstream behind the helper.
        this->lastFault = fmt::format("the instance that helped: {}", reason);
        this->log(LogLevel::Warning, "forwarded request failed", "malformed",
                  {"detail", std::string(reason)});
        return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
    }
    if (this->isAnswerBegun)
        this->bindStreamVersion();
    this->triedUpstreams.push_back(this->attempt.upstream);
    this->recordFault(fault, reason);
    if (fault == UpstreamFault::Broken)
        this->checkForCrash();
    return this->isAnswerBegun ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun;
}

/// Finds out whether the upstream of the failed attempt has crashed. One that leaves ends whatever
/// it runs.
void RequestExchange::checkForCrash()
{
    const UpstreamTable::Entry *entry = this->gateway.table.find(this->attempt.upstream);
    if (entry == nullptr || entry->isLeaving())
        return;
    this->gateway.quarantine.checkForCrash({this->attempt.process, this->attempt.endpoint,
                                            this->service->id, this->attributes.id, this->subjects,
                                            this->now() - this->attempt.sentAt});
}

std::string RequestExchange::buildAnswerHead(int status, const upstream::HeaderList &headers)
{
    std::string head;
    caller::appendStatusLine(head, status);
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        if (!sameHeaderName(header.name, "content-length") && !upstream::isHopByHop(header.name)
            && !forwarding::isForwardingHeader(header.name))
            appendHeader(head, header.name, header.value);
    }
    if (this->forwarded && this->requiredVersion)
        appendHeader(head, forwarding::streamVersionHeader, this->requiredVersion->value());
    this->appendConnectionHeader(head);
    return head;
}

} // namespace bamboochute::gateway
