#include "caller/caller_request.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::Awaitable;
using upstream::HttpStream;
using upstream::RequestParser;
using upstream::StreamStatus;
namespace http = upstream::http;

constexpr std::size_t maxTargetBytes = 4 << 10;
constexpr int http11 = 11;
/// Time to read bytes that the kernel already has.
constexpr Duration arrivedBytesReadTime = std::chrono::seconds(1);
/// Memory of an answered request that its connection keeps for the next one.
constexpr std::size_t maxKeptBytes = 4 << 10;
/// Time for which the rest of a refused request is read and dropped; a round trip to a caller takes
/// much less.
constexpr Duration discardTime = std::chrono::seconds(1);
/// Most bytes that are dropped of it; several bodies of the usual limit.
constexpr std::size_t maxDiscardedBytes = 32 << 20;

/// Headers that decide what a request means. With a repeated one, a proxy or an upstream could pick
/// another value than this server does.
constexpr std::array<std::string_view, 9> nonRepeatableHeaders{
        "host",         "content-length",        "transfer-encoding", "authorization",
        "content-type", "x-request-deadline-ms", "idempotency-key",   "x-request-id",
        "expect",
};

/// State of reading one request.
struct RequestReader
{
    HttpStream &stream;
    const ServerLimits &limits;
    CallerRequest &request;
    RequestAccount account;
    RequestParser parser;
    /// Memory that the body may take, in bytes.
    std::size_t bodyCapacity = 0;
    /// False once the request has ended; an eviction that comes later from another thread must not
    /// touch it.
    std::shared_ptr<bool> isReading = std::make_shared<bool>(true);

    RequestReader(HttpStream &stream, const ServerLimits &limits, CallerRequest &request,
                  RequestAccount account)
        : stream(stream)
        , limits(limits)
        , request(request)
        , account(account)
        , parser(request.message)
    {
        this->parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        this->parser.body_limit(limits.maxBodyBytes);
    }
    ~RequestReader()
    {
        *this->isReading = false;
        this->account.memory.setUse(MemoryUse::Admitted);
    }
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;
};

RequestReadFailure makeFailure(ErrorKind kind, std::string message, std::string field = {})
{
    return RequestReadFailure{Error(kind, std::move(message), std::move(field))};
}

RequestReadFailure parserFailure(const RequestReader &reader, const upstream::error_code &code)
{
    if (code == http::error::header_limit)
        return makeFailure(
                ErrorKind::HeaderTooLarge,
                fmt::format("the header is longer than {} bytes", reader.limits.maxHeaderBytes));
    if (code == http::error::body_limit)
        return makeFailure(ErrorKind::BodyTooLarge, fmt::format("the body is longer than {} bytes",
                                                                reader.limits.maxBodyBytes));
    if (code == http::error::bad_content_length)
        return makeFailure(ErrorKind::MalformedRequest,
                           "Content-Length is invalid or given with different values",
                           "Content-Length");
    if (code == http::error::bad_transfer_encoding)
        return makeFailure(ErrorKind::MalformedRequest,
                           "Transfer-Encoding is given twice or together with Content-Length",
                           "Transfer-Encoding");
    return makeFailure(ErrorKind::MalformedRequest,
                       fmt::format("the request is not valid HTTP/1.1: {}", code.message()));
}

RequestReadFailure memoryFailure()
{
    return makeFailure(ErrorKind::MemoryExhausted,
                       "there is too little memory for the request at present");
}

/// Frees a body that is given up, and ends the wait for the rest of it.
void evictBody(RequestReader &reader)
{
    // Assigning an empty string would keep the memory.
    std::string().swap(reader.request.body);
    reader.account.memory.confirmFreed();
    reader.stream.expireAt(SteadyClock().now());
}

void allowEviction(RequestReader &reader)
{
    reader.account.memory.allowEviction(reader.stream.peerAddress(), [&reader] {
        reader.stream.dispatch([&reader, isReading = reader.isReading] {
            if (*isReading)
                evictBody(reader);
        });
    });
}

/// Counts what the request holds; returns false if there is too little memory.
bool countHeldBytes(RequestReader &reader)
{
    const std::size_t bytes = reader.request.message.heldBytes() + reader.stream.bufferBytes()
                              + reader.bodyCapacity;
    if (!reader.account.memory.isEvictable() && reader.account.memory.isLarge(bytes))
        allowEviction(reader);
    return reader.account.memory.resize(bytes, SteadyClock().now());
}

/// Makes room for more bytes of the body; returns false if there is too little memory.
bool reserveBody(RequestReader &reader, std::size_t added)
{
    std::string &body = reader.request.body;
    const std::size_t size = body.size() + added;
    const boost::optional<std::uint64_t> length = reader.parser.content_length();
    // Memory that is reserved and not written to is not resident, so that an announced length takes
    // nothing. Without one, the string grows in steps, and a step copies it.
    std::size_t capacity = size;
    if (length)
        body.reserve(static_cast<std::size_t>(
                std::min<std::uint64_t>(*length, reader.limits.maxBodyBytes)));
    else if (size > body.capacity())
        capacity = std::min(size + size / 2, std::max(size, reader.limits.maxBodyBytes));
    else
        capacity = body.capacity();
    reader.bodyCapacity = capacity;
    if (!countHeldBytes(reader))
        return false;
    body.reserve(capacity);
    return true;
}

/// Passes the unread bytes to the parser and appends the pieces of the body.
OptionalReadFailure parseUnread(RequestReader &reader)
{
    upstream::error_code code;
    const std::size_t used = reader.parser.feed(reader.stream.unread(), code);
    if (code)
        return parserFailure(reader, code);
    std::size_t added = 0;
    for (const std::string_view piece : reader.request.message.pieces)
        added += piece.size();
    const bool hasRoom = added > 0 ? reserveBody(reader, added) : countHeldBytes(reader);
    if (!hasRoom)
        return memoryFailure();
    for (const std::string_view piece : reader.request.message.pieces)
        reader.request.body += piece;
    reader.request.message.pieces.clear();
    reader.stream.consume(used);
    reader.account.place.noteProgress(SteadyClock().now());
    return std::nullopt;
}

OptionalReadFailure checkTransferEncoding(const upstream::HeaderList &headers)
{
    const std::string_view encoding = headers.find("transfer-encoding");
    const bool isGiven = headers.contains("transfer-encoding");
    if (isGiven && !upstream::sameHeaderName(encoding, "chunked"))
        return makeFailure(ErrorKind::MalformedRequest, "Transfer-Encoding must be \"chunked\"",
                           "Transfer-Encoding");
    if (isGiven && headers.contains("content-length"))
        return makeFailure(ErrorKind::MalformedRequest,
                           "Content-Length and Transfer-Encoding are both given",
                           "Transfer-Encoding");
    return std::nullopt;
}

OptionalReadFailure checkHeader(const RequestReader &reader)
{
    const CallerRequest &request = reader.request;
    for (const std::string_view name : nonRepeatableHeaders) {
        if (request.headers().count(name) > 1)
            return makeFailure(ErrorKind::MalformedRequest,
                               fmt::format("header \"{}\" is given more than once", name),
                               std::string(name));
    }
    if (request.message.version == http11 && !request.headers().contains("host"))
        return makeFailure(ErrorKind::MalformedRequest, "header \"host\" is missing", "host");
    const std::string_view target = request.message.target;
    if (target.empty() || target.front() != '/')
        return makeFailure(ErrorKind::MalformedRequest, "the request target must begin with \"/\"");
    if (target.size() > maxTargetBytes)
        return makeFailure(
                ErrorKind::HeaderTooLarge,
                fmt::format("the request target is longer than {} bytes", maxTargetBytes));
    return checkTransferEncoding(request.headers());
}

OptionalReadFailure streamFailure(const RequestReader &reader, StreamStatus status,
                                  std::string_view part)
{
    if (status == StreamStatus::Expired)
        return makeFailure(ErrorKind::SlowSender,
                           fmt::format("the {} was not received in time", part));
    if (status == StreamStatus::BufferFull)
        return makeFailure(
                ErrorKind::HeaderTooLarge,
                fmt::format("the header is longer than {} bytes", reader.limits.maxHeaderBytes));
    return RequestReadFailure{};
}

Awaitable<OptionalReadFailure> readHeader(RequestReader &reader)
{
    reader.stream.expireAt(reader.request.arrival + reader.limits.headerTimeout);
    OptionalReadFailure failure;
    while (!failure && !reader.parser.is_header_done()) {
        const StreamStatus status = co_await reader.stream.readMore();
        if (status != StreamStatus::Ok)
            co_return streamFailure(reader, status, "header");
        failure = parseUnread(reader);
    }
    co_return failure;
}

Awaitable<OptionalReadFailure> sendContinue(RequestReader &reader)
{
    if (!reader.request.headers().contains("expect"))
        co_return std::nullopt;
    constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::array<upstream::asio::const_buffer, 1> buffers{
            upstream::asio::buffer(answer.data(), answer.size())};
    const StreamStatus status = co_await reader.stream.write(buffers);
    if (status != StreamStatus::Ok)
        co_return RequestReadFailure{};
    co_return std::nullopt;
}

Awaitable<OptionalReadFailure> readBody(RequestReader &reader)
{
    reader.stream.expireAt(SteadyClock().now() + reader.limits.bodyTimeout);
    while (!reader.parser.is_done()) {
        const std::size_t unreadBefore = reader.stream.unread().size();
        if (unreadBefore > 0) {
            OptionalReadFailure failure = parseUnread(reader);
            if (failure)
                co_return failure;
        }
        const bool needsMoreBytes = reader.stream.unread().size() == unreadBefore;
        if (reader.parser.is_done() || !needsMoreBytes)
            continue;
        const StreamStatus status = co_await reader.stream.readMore();
        if (reader.account.memory.isEvicted())
            co_return memoryFailure();
        if (status != StreamStatus::Ok)
            co_return streamFailure(reader, status, "body");
    }
    co_return std::nullopt;
}

} // namespace

std::string_view CallerRequest::path() const noexcept
{
    const std::string_view target = this->message.target;
    return target.substr(0, target.find('?'));
}

void CallerRequest::trim()
{
    if (this->heldBytes() <= maxKeptBytes)
        return;
    // Assigning an empty request would keep the memory of its strings.
    const CallerRequest freed = std::exchange(*this, CallerRequest());
}

Awaitable<void> discardRest(HttpStream &stream)
{
    stream.expireAt(SteadyClock().now() + discardTime);
    StreamStatus status = StreamStatus::Ok;
    std::size_t discarded = 0;
    while (status == StreamStatus::Ok && discarded <= maxDiscardedBytes) {
        discarded += stream.unread().size();
        stream.consume(stream.unread().size());
        status = co_await stream.readMore();
    }
}

Awaitable<bool> waitForRequest(HttpStream &stream)
{
    if (!stream.unread().empty())
        co_return true;
    StreamStatus status = co_await stream.readMore();
    // Bytes may arrive while this thread is busy or paused, or together with the end of the time.
    const bool haveArrived = status == StreamStatus::Ok || stream.hasArrivedBytes();
    if (haveArrived && stream.isExpired())
        stream.expireAt(SteadyClock().now() + arrivedBytesReadTime);
    if (haveArrived && status == StreamStatus::Expired)
        status = co_await stream.readMore();
    co_return status == StreamStatus::Ok;
}

Awaitable<OptionalReadFailure> readRequest(HttpStream &stream, const ServerLimits &limits,
                                           CallerRequest &request, RequestAccount account)
{
    request.body.clear();
    RequestReader reader(stream, limits, request, account);
    if (stream.unread().empty()) {
        stream.expireAt(SteadyClock().now() + limits.idleTimeout);
        const bool hasRequest = co_await waitForRequest(stream);
        if (!hasRequest)
            co_return RequestReadFailure{};
    }
    request.arrival = SteadyClock().now();
    OptionalReadFailure failure = parseUnread(reader);
    // Most requests arrive in one read; calling a coroutine for each step would allocate its frame.
    if (!failure && !reader.parser.is_header_done())
        failure = co_await readHeader(reader);
    if (!failure)
        failure = checkHeader(reader);
    if (!failure && !reader.parser.is_done())
        failure = co_await sendContinue(reader);
    if (!failure && !reader.parser.is_done())
        failure = co_await readBody(reader);
    account.memory.setUse(MemoryUse::Admitted);
    // It may have been given up by another thread while its last bytes were read.
    if (!failure && account.memory.isEvicted())
        failure = memoryFailure();
    if (!failure && !account.place.hold())
        failure = RequestReadFailure{};
    if (failure) {
        std::string().swap(request.body);
        co_return failure;
    }
    stream.neverExpire();
    request.isKeepAlive = reader.parser.keep_alive();
    co_return std::nullopt;
}

} // namespace bamboochute::caller
