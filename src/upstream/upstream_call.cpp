#include "upstream/upstream_call.hpp"

#include "core/invariant.hpp"

#include <array>
#include <limits>

#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

/// Bodies are bounded where they are read; boost::none would refuse every body with a length.
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();
constexpr int statusContinue = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;

} // namespace

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
    CallError failed = this->error(
            this->isCancelled ? CallFailure::Cancelled : CallFailure::ConnectFailed,
            fmt::format("{}:{} can't be reached", this->endpoint.address, this->endpoint.port));
    failed.isRefused = status == StreamStatus::Refused;
    co_return failed;
}

Awaitable<CallResult<void>> UpstreamCall::send(std::string_view head, std::string_view body,
                                               TimePoint deadline, ConnectionUse use)
{
    if (use == ConnectionUse::Any)
        this->stream = this->pool.takeIdle(this->endpoint);
    this->isKept = this->stream != nullptr;
    if (!this->isKept) {
        const CallResult<void> opened = co_await this->open(deadline);
        if (!opened)
            co_return opened.error();
    }
    this->parser.emplace(this->message);
    this->parser->body_limit(unlimitedBody);
    this->stream->resetWrittenBytes();
    this->stream->expireAt(deadline);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head.data(), head.size()),
                                                    asio::buffer(body.data(), body.size())};
    std::optional<StreamStatus> status = this->stream->tryWrite(buffers);
    if (!status)
        status = co_await this->stream->writeRest(buffers);
    if (*status != StreamStatus::Ok)
        co_return this->streamError(*status);
    co_return boost::outcome_v2::success();
}

CallResult<void> UpstreamCall::parse()
{
    error_code code;
    const std::size_t count = this->parser->feed(this->stream->unread(), code);
    this->used = count;
    this->isAnswerBegun = true;
    if (code == http::error::header_limit)
        return this->error(CallFailure::Oversized, "the answer's header is too long");
    if (code)
        return this->error(CallFailure::Malformed,
                           fmt::format("the answer is malformed: {}", code.message()));
    return boost::outcome_v2::success();
}

void UpstreamCall::dropUsed()
{
    this->stream->consume(this->used);
    this->used = 0;
}

Awaitable<CallResult<void>> UpstreamCall::readHead()
{
    while (true) {
        while (!this->parser->is_header_done()) {
            this->dropUsed();
            const StreamStatus read = co_await this->stream->readMore();
            if (read != StreamStatus::Ok)
                co_return this->streamError(read);
            const CallResult<void> parsed = this->parse();
            if (!parsed)
                co_return parsed.error();
        }
        const int status = this->message.status;
        if (status >= firstFinalStatus)
            break;
        if (status < statusContinue || status == statusSwitchingProtocols)
            co_return this->error(CallFailure::Malformed, fmt::format("status {}", status));
        this->dropUsed();
        this->parser.emplace(this->message);
        this->parser->body_limit(unlimitedBody);
        if (!this->stream->unread().empty()) {
            const CallResult<void> parsed = this->parse();
            if (!parsed)
                co_return parsed.error();
        }
    }
    if (this->parser->need_eof() && !this->parser->is_done() && !this->isUnframedAllowed)
        co_return this->error(CallFailure::Malformed,
                              "the answer has neither Content-Length nor chunks");
    this->hasFreshPieces = !this->message.pieces.empty();
    co_return boost::outcome_v2::success();
}

Awaitable<CallResult<bool>> UpstreamCall::readBody()
{
    if (this->hasFreshPieces) {
        this->hasFreshPieces = false;
        co_return true;
    }
    this->message.pieces.clear();
    while (!this->parser->is_done()) {
        // Without progress the parser needs more than is there.
        const bool needsMore = this->stream->unread().size() == this->used || this->isStuck;
        this->dropUsed();
        if (needsMore) {
            const StreamStatus read = co_await this->stream->readMore();
            if (read != StreamStatus::Ok && this->endsWithConnection(read))
                break;
            if (read != StreamStatus::Ok)
                co_return this->streamError(read);
        }
        const CallResult<void> parsed = this->parse();
        if (!parsed)
            co_return parsed.error();
        this->isStuck = this->used == 0;
        if (!this->message.pieces.empty())
            co_return true;
    }
    co_return false;
}

/// Whether the end of the connection is the end of an answer without a length.
bool UpstreamCall::endsWithConnection(StreamStatus status)
{
    if (status != StreamStatus::Closed || !this->isUnframedAllowed || !this->parser->need_eof()
        || !this->stream->isCleanEnd())
        return false;
    error_code code;
    this->parser->put_eof(code);
    return !code;
}

std::optional<std::string> UpstreamCall::takeBody(std::size_t maxBytes)
{
    if (!this->isWhole())
        return std::nullopt;
    std::size_t size = 0;
    for (const std::string_view piece : this->message.pieces)
        size += piece.size();
    if (size > maxBytes)
        return std::nullopt;
    std::string body;
    body.reserve(size);
    for (const std::string_view piece : this->message.pieces)
        body += piece;
    this->hasFreshPieces = false;
    return body;
}

Awaitable<CallResult<std::string>> UpstreamCall::readWholeBody(std::size_t maxBytes)
{
    std::string body;
    const boost::optional<std::uint64_t> length = this->parser->content_length();
    if (length && *length <= maxBytes)
        body.reserve(static_cast<std::size_t>(*length));
    while (this->hasFreshPieces || !this->parser->is_done()) {
        const CallResult<bool> more = co_await this->readBody();
        if (!more)
            co_return more.error();
        if (!more.value())
            break;
        for (const std::string_view piece : this->message.pieces) {
            if (body.size() + piece.size() > maxBytes)
                co_return this->error(CallFailure::Oversized,
                                      fmt::format("the answer is longer than {} bytes", maxBytes));
            body += piece;
        }
    }
    co_return body;
}

bool UpstreamCall::isWhole() const
{
    return this->parser && this->parser->is_done();
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
    this->dropUsed();
    this->message.pieces.clear();
    HttpStreamPointer finished = std::move(this->stream);
    if (this->isWhole() && this->parser->keep_alive())
        this->pool.giveBack(this->endpoint, std::move(finished));
    else
        finished->close();
}

CallError UpstreamCall::error(CallFailure failure, std::string message) const
{
    return CallError{failure, this->isAnythingWritten(), std::move(message), false};
}

CallError UpstreamCall::streamError(StreamStatus status) const
{
    if (this->isCancelled)
        return this->error(CallFailure::Cancelled, "the call was cancelled");
    if (status == StreamStatus::Expired)
        return this->error(CallFailure::TimedOut, "the upstream did not answer in time");
    if (status == StreamStatus::BufferFull)
        return this->error(CallFailure::Oversized, "a part of the answer is too long");
    if (this->isKept && !this->isAnswerBegun)
        return this->error(CallFailure::IdleConnectionClosed, "a kept connection was closed");
    return this->error(CallFailure::ConnectionLost, "the connection ended before the answer");
}

Awaitable<CallResult<WholeAnswer>> sendAndReadAnswer(ConnectionPool &pool, Endpoint endpoint,
                                                     std::string head, std::string body,
                                                     TimePoint deadline, std::size_t maxAnswerBytes,
                                                     ConnectionUse use)
{
    UpstreamCall call(pool, std::move(endpoint));
    const CallResult<void> sent = co_await call.send(head, body, deadline, use);
    if (!sent)
        co_return sent.error();
    const CallResult<void> headRead = co_await call.readHead();
    if (!headRead)
        co_return headRead.error();
    CallResult<std::string> whole = co_await call.readWholeBody(maxAnswerBytes);
    if (!whole)
        co_return whole.error();
    WholeAnswer answer{call.answer().status, call.answer().headers, std::move(whole).value()};
    call.finish();
    co_return answer;
}

} // namespace bamboochute::upstream
