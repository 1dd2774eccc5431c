#include "upstream/upstream_call.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

/// The code that reads a body limits its size. boost::none would refuse every body with a length.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();
constexpr int statusContinue = 100;
constexpr int statusSwitchingProtocols = 101;
/// No status above it has a class.
constexpr int lastStatus = 599;
/// Answers with a status below 200 that may precede the final one.
constexpr int maxInformationalAnswers = 16;
constexpr int firstFinalStatus = 200;

Awaitable<CallResult<WholeAnswer>> exchangeMessages(UpstreamCall &call, std::string_view head,
                                                    std::string_view body, TimePoint deadline,
                                                    std::size_t maxAnswerBytes, ConnectionUse use)
{
    const CallResult<void> sent = co_await call.send(head, body, deadline, use);
    if (!sent)
        co_return sent.error();
    const CallResult<void> headRead = co_await call.readHead();
    if (!headRead)
        co_return headRead.error();
    const TimePoint headReadAt = SteadyClock().now();
    CallResult<std::string> answerBody = co_await call.readWholeBody(maxAnswerBytes);
    if (!answerBody)
        co_return answerBody.error();
    WholeAnswer answer{call.answer().status, call.answer().headers, std::move(answerBody).value(),
                       SteadyClock().now() - headReadAt};
    call.finish();
    co_return answer;
}

} // namespace

std::string_view bodyFramingName(BodyFraming framing) noexcept
{
    constexpr std::array<std::string_view, 3> names{"length", "chunked", "close"};
    return names[static_cast<std::size_t>(framing)];
}

std::string_view connectionStateName(ConnectionState state) noexcept
{
    constexpr std::array<std::string_view, 3> names{"open", "closed", "reset"};
    return names[static_cast<std::size_t>(state)];
}

UpstreamCall::UpstreamCall(ConnectionPool &pool, Endpoint endpoint)
    : pool(pool)
    , endpoint(std::move(endpoint))
{}

UpstreamCall::~UpstreamCall()
{
    if (this->stream)
        this->stream->close();
}

Awaitable<CallResult<void>> UpstreamCall::open(TimePoint deadline)
{
    this->stream = this->pool.makeStream();
    const StreamStatus status
            = co_await this->pool.connect(*this->stream, this->endpoint, deadline);
    if (status == StreamStatus::Ok)
        co_return boost::outcome_v2::success();
    CallError failed = this->makeError(
            this->isCancelled ? CallFailure::Cancelled : CallFailure::ConnectFailed,
            fmt::format("cannot connect to {}:{}", this->endpoint.address, this->endpoint.port));
    failed.isRefused = status == StreamStatus::Refused;
    co_return failed;
}

Awaitable<CallResult<void>> UpstreamCall::send(std::string_view head, std::string_view body,
                                               TimePoint deadline, ConnectionUse use)
{
    this->idleTime.reset();
    if (use == ConnectionUse::Any) {
        if (std::optional<IdleConnection> taken = this->pool.takeIdle(this->endpoint)) {
            this->stream = std::move(taken->stream);
            this->idleTime = SteadyClock().now() - taken->idleSince;
        }
    }
    if (!this->stream) {
        const CallResult<void> opened = co_await this->open(deadline);
        if (!opened)
            co_return opened.error();
    }
    if (SteadyClock().now() >= deadline)
        co_return this->makeError(CallFailure::TimedOut, "the time to send the request is over");
    if (this->sendCondition && !this->sendCondition())
        co_return this->makeError(CallFailure::Cancelled, "the request may not be sent any more");
    this->parser.emplace(this->message);
    this->parser->body_limit(unlimitedBody);
    this->stream->resetWrittenBytes();
    this->stream->expireAt(deadline);
    this->deadline = deadline;
    this->beganAt.reset();
    this->receivedBytes = 0;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head.data(), head.size()),
                                                    asio::buffer(body.data(), body.size())};
    std::optional<StreamStatus> status = this->stream->tryWrite(buffers);
    if (!status)
        status = co_await this->stream->writeRest(buffers);
    if (*status != StreamStatus::Ok)
        co_return this->makeStreamError(*status);
    co_return boost::outcome_v2::success();
}

CallResult<void> UpstreamCall::parse()
{
    error_code parseError;
    const std::size_t count = this->parser->feed(this->stream->unread(), parseError);
    this->parsedBytes = count;
    this->hasAnswerStarted = true;
    if (parseError == http::error::header_limit)
        return this->makeError(CallFailure::Oversized, "the answer's header is too large");
    if (parseError)
        return this->makeError(CallFailure::Malformed,
                               fmt::format("the answer is malformed: {}", parseError.message()));
    return boost::outcome_v2::success();
}

void UpstreamCall::consumeParsedBytes()
{
    this->stream->consume(this->parsedBytes);
    this->parsedBytes = 0;
}

Awaitable<CallResult<void>> UpstreamCall::readHead()
{
    int informationalAnswers = 0;
    while (true) {
        while (!this->parser->is_header_done()) {
            this->consumeParsedBytes();
            const StreamStatus read = co_await this->readMoreInput();
            if (read != StreamStatus::Ok)
                co_return this->makeStreamError(read);
            const CallResult<void> parsed = this->parse();
            if (!parsed)
                co_return parsed.error();
        }
        const int status = this->message.status;
        const bool isInvalid = status < statusContinue || status > lastStatus
                               || status == statusSwitchingProtocols;
        if (isInvalid)
            co_return this->makeError(CallFailure::Malformed,
                                      fmt::format("the answer has the invalid status {}", status));
        if (status >= firstFinalStatus)
            break;
        if (++informationalAnswers > maxInformationalAnswers)
            co_return this->makeError(
                    CallFailure::Malformed,
                    fmt::format("more than {} informational answers", maxInformationalAnswers));
        this->consumeParsedBytes();
        this->parser.emplace(this->message);
        this->parser->body_limit(unlimitedBody);
        if (!this->stream->unread().empty()) {
            const CallResult<void> parsed = this->parse();
            if (!parsed)
                co_return parsed.error();
        }
    }
    this->hasUnreadPieces = !this->message.pieces.empty();
    co_return boost::outcome_v2::success();
}

Awaitable<CallResult<bool>> UpstreamCall::readBody()
{
    if (this->hasUnreadPieces) {
        this->hasUnreadPieces = false;
        co_return true;
    }
    this->message.pieces.clear();
    while (!this->parser->is_done()) {
        // A parser that made no progress needs more bytes than are buffered.
        const bool mustRead
                = this->stream->unread().size() == this->parsedBytes || this->needsMoreInput;
        this->consumeParsedBytes();
        if (mustRead) {
            const StreamStatus read = co_await this->readMoreInput();
            if (read != StreamStatus::Ok && this->finishUnframedAnswer(read))
                break;
            if (read != StreamStatus::Ok)
                co_return this->makeStreamError(read);
        }
        const CallResult<void> parsed = this->parse();
        if (!parsed)
            co_return parsed.error();
        this->needsMoreInput = this->parsedBytes == 0;
        if (!this->message.pieces.empty())
            co_return true;
    }
    co_return false;
}

/// Ends an answer without a length when the connection was closed in order. An upstream that has
/// not taken the whole request may reset the connection next, and the answer need not be whole.
/// @return whether it has ended so
bool UpstreamCall::finishUnframedAnswer(StreamStatus status)
{
    if (status != StreamStatus::Closed || !this->parser->need_eof()
        || !this->stream->isClosedInOrder() || this->stream->hasUndeliveredBytes())
        return false;
    error_code parseError;
    this->parser->put_eof(parseError);
    return !parseError;
}

/// Bytes of the body that were read and not taken yet.
std::size_t UpstreamCall::pieceBytes() const
{
    std::size_t size = 0;
    for (const std::string_view piece : this->message.pieces)
        size += piece.size();
    return size;
}

std::optional<std::string> UpstreamCall::takeBody(std::size_t maxBytes)
{
    if (!this->isWhole())
        return std::nullopt;
    const std::size_t size = this->pieceBytes();
    if (size > maxBytes)
        return std::nullopt;
    std::string body;
    body.reserve(size);
    for (const std::string_view piece : this->message.pieces)
        body += piece;
    this->hasUnreadPieces = false;
    return body;
}

Awaitable<CallResult<std::string>> UpstreamCall::readWholeBody(std::size_t maxBytes,
                                                               BodyReservation reserve)
{
    if (this->parser->need_eof() && !this->parser->is_done() && !this->isUnframedAllowed)
        co_return this->makeError(CallFailure::Malformed,
                                  "the answer has neither Content-Length nor chunked encoding");
    std::string body;
    const std::size_t announced = this->announcedBytes(maxBytes);
    body.reserve(announced);
    while (this->hasUnreadPieces || !this->parser->is_done()) {
        const CallResult<bool> more = co_await this->readBody();
        if (!more)
            co_return more.error();
        if (!more.value())
            break;
        const std::size_t size = body.size() + this->pieceBytes();
        if (size > maxBytes)
            co_return this->makeError(
                    CallFailure::Oversized,
                    fmt::format("the answer's body is longer than {} bytes", maxBytes));
        if (reserve) {
            const bool hasRoom = co_await reserve(std::max(size, announced));
            if (!hasRoom)
                co_return this->makeError(CallFailure::NoMemory,
                                          "there is too little memory for the answer");
        }
        for (const std::string_view piece : this->message.pieces)
            body += piece;
    }
    co_return body;
}

std::size_t UpstreamCall::announcedBytes(std::size_t maxBytes) const
{
    const std::uint64_t length = this->parser->content_length().value_or(0);
    return length <= maxBytes ? static_cast<std::size_t>(length) : 0;
}

bool UpstreamCall::isWhole() const
{
    return this->parser && this->parser->is_done();
}

std::optional<AnswerEnd> UpstreamCall::answerEnd() const
{
    if (!this->parser || !this->parser->is_header_done())
        return std::nullopt;
    AnswerEnd end;
    if (this->parser->chunked())
        end.framing = BodyFraming::Chunked;
    else if (this->parser->need_eof())
        end.framing = BodyFraming::ConnectionClose;
    if (this->stream && this->stream->isClosedInOrder())
        end.connection = ConnectionState::Closed;
    else if (!this->stream || this->stream->isPeerClosed())
        end.connection = ConnectionState::Reset;
    return end;
}

void UpstreamCall::readAhead()
{
    this->consumeParsedBytes();
    if (!this->bytesBeforeReadAhead)
        this->bytesBeforeReadAhead = this->stream->unread().size();
    this->stream->readAhead();
}

PeerActivity UpstreamCall::activity() const
{
    if (this->stream->unread().size() > this->bytesBeforeReadAhead.value_or(0)
        || this->stream->hasArrivedBytes())
        return PeerActivity::GoesOn;
    if (!this->stream->isPeerClosed())
        return PeerActivity::Silent;
    const bool isEnd = this->stream->isClosedInOrder() && this->parser->is_header_done()
                       && this->parser->need_eof();
    return isEnd ? PeerActivity::GoesOn : PeerActivity::Lost;
}

/// Waits until there are more bytes than when the parser last needed them.
Awaitable<StreamStatus> UpstreamCall::readMoreInput()
{
    const bool hasMore = this->bytesBeforeReadAhead
                         && this->stream->unread().size() > *this->bytesBeforeReadAhead;
    this->bytesBeforeReadAhead.reset();
    if (hasMore)
        co_return StreamStatus::Ok;
    const std::size_t knownBytes = this->stream->unread().size();
    const StreamStatus status = co_await this->stream->readMore();
    if (status == StreamStatus::Ok && this->transferLimits)
        this->extendDeadline(this->stream->unread().size() - knownBytes);
    co_return status;
}

/// Gives an answer that is arriving the time that its limits allow.
void UpstreamCall::extendDeadline(std::size_t newBytes)
{
    const TransferLimits &limits = *this->transferLimits;
    const TimePoint now = SteadyClock().now();
    if (!this->beganAt)
        this->beganAt = now;
    this->receivedBytes += newBytes;
    const std::chrono::milliseconds timeOfBytes(this->receivedBytes / limits.minRate);
    const TimePoint latest
            = std::min({now + limits.maxPause, *this->beganAt + limits.maxPause + timeOfBytes,
                        *this->beganAt + limits.maxTime});
    this->stream->expireAt(std::max(this->deadline, latest));
}

bool UpstreamCall::isAnythingWritten() const
{
    return this->stream && this->stream->writtenBytes() > 0;
}

void UpstreamCall::setDeadline(TimePoint deadline)
{
    this->stream->expireAt(deadline);
}

void UpstreamCall::cancel()
{
    this->isCancelled = true;
    if (this->stream)
        this->stream->close();
}

void UpstreamCall::finish()
{
    if (!this->stream)
        return;
    this->consumeParsedBytes();
    this->message.pieces.clear();
    HttpStreamPointer finished = std::move(this->stream);
    if (this->isWhole() && this->parser->keep_alive())
        this->pool.release(this->endpoint, std::move(finished));
    else
        finished->close();
}

CallError UpstreamCall::makeError(CallFailure failure, std::string message) const
{
    return CallError{failure, this->isAnythingWritten(), std::move(message), false, this->idleTime};
}

CallError UpstreamCall::makeStreamError(StreamStatus status) const
{
    if (this->isCancelled)
        return this->makeError(CallFailure::Cancelled, "the call was cancelled");
    if (status == StreamStatus::Expired)
        return this->makeError(CallFailure::TimedOut, "the upstream did not answer in time");
    if (status == StreamStatus::BufferFull)
        return this->makeError(CallFailure::Oversized,
                               "a part of the answer exceeds the read buffer");
    if (this->idleTime && !this->hasAnswerStarted)
        return this->makeError(CallFailure::IdleConnectionClosed,
                               "the upstream had closed the reused connection");
    return this->makeError(CallFailure::ConnectionLost,
                           "the connection ended before the answer was complete");
}

Awaitable<CallResult<WholeAnswer>>
sendAndReadAnswer(ConnectionPool &pool, Endpoint endpoint, std::string head, std::string body,
                  TimePoint deadline, std::size_t maxAnswerBytes, ConnectionUse use,
                  std::function<bool()> sendCondition, std::optional<TransferLimits> transferLimits)
{
    UpstreamCall call(pool, endpoint);
    call.allowUnframedAnswer();
    call.setSendCondition(std::move(sendCondition));
    call.setTransferLimits(transferLimits);
    CallResult<WholeAnswer> answer
            = co_await exchangeMessages(call, head, body, deadline, maxAnswerBytes, use);
    // The other idle connections may have fallen silent together with this one.
    if (!answer && answer.error().failure == CallFailure::TimedOut)
        pool.closeIdle(endpoint);
    co_return answer;
}

} // namespace bamboochute::upstream
