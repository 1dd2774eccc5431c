#include "caller/caller_request.hpp"

#include <algorithm>
#include <array>

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

/// Headers that decide what a request means; a second one could mean something else to others.
constexpr std::array<std::string_view, 9> singleHeaders{
        "host",         "content-length",        "transfer-encoding", "authorization",
        "content-type", "x-request-deadline-ms", "idempotency-key",   "x-request-id",
        "expect",
};

/// A request that is being read, and where the reader stands.
struct Reading
{
    HttpStream &stream;
    const ServerLimits &limits;
    CallerRequest &request;
    RequestParser parser;

    Reading(HttpStream &stream, const ServerLimits &limits, CallerRequest &request)
        : stream(stream)
        , limits(limits)
        , request(request)
        , parser(request.message)
    {
        this->parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        this->parser.body_limit(limits.maxBodyBytes);
    }
};

RequestReadFailure failed(ErrorKind kind, std::string message, std::string field = {})
{
    return RequestReadFailure{Error(kind, std::move(message), std::move(field))};
}

RequestReadFailure malformed(const Reading &reading, const upstream::error_code &code)
{
    if (code == http::error::header_limit)
        return failed(ErrorKind::HeaderTooLarge, fmt::format("the header is longer than {} bytes",
                                                             reading.limits.maxHeaderBytes));
    if (code == http::error::body_limit)
        return failed(ErrorKind::BodyTooLarge,
                      fmt::format("the body is longer than {} bytes", reading.limits.maxBodyBytes));
    if (code == http::error::bad_content_length)
        return failed(ErrorKind::MalformedRequest, "Content-Length is contradictory",
                      "Content-Length");
    if (code == http::error::bad_transfer_encoding)
        return failed(ErrorKind::MalformedRequest,
                      "Transfer-Encoding is given twice or beside Content-Length",
                      "Transfer-Encoding");
    return failed(ErrorKind::MalformedRequest, fmt::format("not HTTP/1.1: {}", code.message()));
}

/// Feeds what was read to the parser and keeps the pieces of the body.
OptionalReadFailure feed(Reading &reading)
{
    upstream::error_code code;
    const std::size_t used = reading.parser.feed(reading.stream.unread(), code);
    if (code)
        return malformed(reading, code);
    for (const std::string_view piece : reading.request.message.pieces)
        reading.request.body += piece;
    reading.request.message.pieces.clear();
    reading.stream.consume(used);
    return std::nullopt;
}

OptionalReadFailure checkTransferEncoding(const upstream::HeaderList &headers)
{
    const std::string_view encoding = headers.find("transfer-encoding");
    const bool isGiven = headers.contains("transfer-encoding");
    if (isGiven && !upstream::sameHeaderName(encoding, "chunked"))
        return failed(ErrorKind::MalformedRequest, "Transfer-Encoding must be \"chunked\"",
                      "Transfer-Encoding");
    if (isGiven && headers.contains("content-length"))
        return failed(ErrorKind::MalformedRequest,
                      "Content-Length and Transfer-Encoding are both given", "Transfer-Encoding");
    return std::nullopt;
}

OptionalReadFailure checkHeader(const Reading &reading)
{
    const CallerRequest &request = reading.request;
    for (const std::string_view name : singleHeaders) {
        if (request.headers().count(name) > 1)
            return failed(ErrorKind::MalformedRequest,
                          fmt::format("header \"{}\" is given more than once", name),
                          std::string(name));
    }
    if (request.message.version == http11 && !request.headers().contains("host"))
        return failed(ErrorKind::MalformedRequest, "header \"host\" is missing", "host");
    const std::string_view target = request.message.target;
    if (target.empty() || target.front() != '/')
        return failed(ErrorKind::MalformedRequest, "the request target must begin with \"/\"");
    if (target.size() > maxTargetBytes)
        return failed(ErrorKind::HeaderTooLarge,
                      fmt::format("the request target is longer than {} bytes", maxTargetBytes));
    return checkTransferEncoding(request.headers());
}

OptionalReadFailure ended(const Reading &reading, StreamStatus status, std::string_view part)
{
    if (status == StreamStatus::Expired)
        return failed(ErrorKind::SlowSender, fmt::format("the {} did not come in time", part));
    if (status == StreamStatus::BufferFull)
        return failed(ErrorKind::HeaderTooLarge, fmt::format("the header is longer than {} bytes",
                                                             reading.limits.maxHeaderBytes));
    return RequestReadFailure{};
}

Awaitable<OptionalReadFailure> waitForFirstByte(Reading &reading)
{
    reading.stream.expireAt(SteadyClock().now() + reading.limits.idleTimeout);
    const StreamStatus status = co_await reading.stream.readMore();
    if (status != StreamStatus::Ok)
        co_return RequestReadFailure{};
    co_return std::nullopt;
}

Awaitable<OptionalReadFailure> readHeader(Reading &reading)
{
    reading.stream.expireAt(reading.request.arrival + reading.limits.headerTimeout);
    OptionalReadFailure fault;
    while (!fault && !reading.parser.is_header_done()) {
        const StreamStatus status = co_await reading.stream.readMore();
        if (status != StreamStatus::Ok)
            co_return ended(reading, status, "header");
        fault = feed(reading);
    }
    co_return fault;
}

Awaitable<OptionalReadFailure> confirmExpectation(Reading &reading)
{
    if (!reading.request.headers().contains("expect"))
        co_return std::nullopt;
    constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::array<upstream::asio::const_buffer, 1> buffers{
            upstream::asio::buffer(answer.data(), answer.size())};
    const StreamStatus status = co_await reading.stream.write(buffers);
    if (status != StreamStatus::Ok)
        co_return RequestReadFailure{};
    co_return std::nullopt;
}

Awaitable<OptionalReadFailure> readBody(Reading &reading)
{
    reading.stream.expireAt(SteadyClock().now() + reading.limits.bodyTimeout);
    while (!reading.parser.is_done()) {
        const std::size_t before = reading.stream.unread().size();
        if (before > 0) {
            OptionalReadFailure fault = feed(reading);
            if (fault)
                co_return fault;
        }
        const bool isStuck = reading.stream.unread().size() == before;
        if (reading.parser.is_done() || !isStuck)
            continue;
        const StreamStatus status = co_await reading.stream.readMore();
        if (status != StreamStatus::Ok)
            co_return ended(reading, status, "body");
    }
    co_return std::nullopt;
}

} // namespace

std::string_view CallerRequest::path() const noexcept
{
    const std::string_view target = this->message.target;
    return target.substr(0, target.find('?'));
}

Awaitable<OptionalReadFailure> readRequest(HttpStream &stream, const ServerLimits &limits,
                                           CallerRequest &request)
{
    request.body.clear();
    Reading reading(stream, limits, request);
    OptionalReadFailure fault;
    if (stream.unread().empty())
        fault = co_await waitForFirstByte(reading);
    if (fault)
        co_return fault;
    request.arrival = SteadyClock().now();
    fault = feed(reading);
    // Most requests are there as a whole; a coroutine for each step would cost them allocations.
    if (!fault && !reading.parser.is_header_done())
        fault = co_await readHeader(reading);
    if (!fault)
        fault = checkHeader(reading);
    if (!fault && !reading.parser.is_done())
        fault = co_await confirmExpectation(reading);
    if (!fault && !reading.parser.is_done())
        fault = co_await readBody(reading);
    if (fault)
        co_return fault;
    stream.neverExpire();
    request.isKeepAlive = reading.parser.keep_alive();
    co_return std::nullopt;
}

} // namespace bamboochute::caller
