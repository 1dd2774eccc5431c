#include "caller/upstream_request.hpp"

#include "upstream/dialects.hpp"
#include "upstream/upstream_call.hpp"

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::caller {

namespace {

using upstream::appendHeader;

constexpr Duration cancelTimeout = std::chrono::seconds(1);
constexpr std::size_t usualHeadBytes = 512;
constexpr std::size_t maxCancelAnswerBytes = 4 << 10;

/// Headers of the caller that this server replaces or must not forward.
constexpr std::array<std::string_view, 5> unforwardedHeaders{
        "host", "content-length", "authorization", "x-request-id", "expect",
};

bool isForwarded(std::string_view name)
{
    const auto isSame
            = [name](std::string_view own) { return upstream::sameHeaderName(name, own); };
    return !upstream::isHopByHop(name)
           && std::none_of(unforwardedHeaders.begin(), unforwardedHeaders.end(), isSame);
}

void appendRequestLine(std::string &head, std::string_view method, std::string_view target,
                       const UpstreamSpec &upstream)
{
    fmt::format_to(std::back_inserter(head), "{} {} HTTP/1.1\r\nHost: {}:{}\r\n", method, target,
                   upstream.endpoint.address, upstream.endpoint.port);
}

void appendEngineHeaders(std::string &head, const ClassifiedRequest &request,
                         const UpstreamSpec &upstream, std::string_view resumeAfter)
{
    const std::string priority = std::to_string(request.callerClass->enginePriority);
    appendHeader(head, "Content-Type", "application/json");
    upstream::withDialect(upstream.vendor, [&](auto dialect) {
        appendHeader(head, decltype(dialect)::priorityHeader, priority);
    });
    if (!resumeAfter.empty())
        appendHeader(head, upstream::resumeHeader, resumeAfter);
}

void appendServiceHeaders(std::string &head, const upstream::HeaderList &headers)
{
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const upstream::Header header = headers[i];
        if (isForwarded(header.name))
            appendHeader(head, header.name, header.value);
    }
}

} // namespace

std::string upstreamRequestHead(const Exchange &exchange, const ClassifiedRequest &request,
                                const UpstreamSpec &upstream, std::string_view resumeAfter)
{
    const upstream::ParsedMessage &message = exchange.request.message;
    std::string head;
    head.reserve(usualHeadBytes);
    appendRequestLine(head, message.method, message.target, upstream);
    if (std::holds_alternative<GenerationCall>(request.call))
        appendEngineHeaders(head, request, upstream, resumeAfter);
    else
        appendServiceHeaders(head, message.headers);
    appendHeader(head, "x-request-id", exchange.writer.requestId());
    appendHeader(head, "Content-Length", std::to_string(exchange.request.body.size()));
    if (!request.isIdempotent())
        appendHeader(head, "Connection", "close");
    head += "\r\n";
    return head;
}

void cancelUpstream(Exchange &exchange, const UpstreamSpec &upstream)
{
    const RequestId id(exchange.writer.requestId());
    const upstream::DialectCall call = upstream::withDialect(
            upstream.vendor, [&](auto dialect) { return decltype(dialect)::cancelCall(id); });
    std::string head;
    appendRequestLine(head, call.method, call.target, upstream);
    appendHeader(head, "Content-Type", "application/json");
    appendHeader(head, "Content-Length", std::to_string(call.body.size()));
    const std::string &credential = exchange.thread.server.settings.orderCredential;
    if (upstream.checksSender && !credential.empty())
        appendHeader(head, "Authorization", "Bearer " + credential);
    head += call.headers;
    head += "\r\n";
    exchange.thread.server.requestMetrics.cancelledUpstream.add();
    const TimePoint deadline = SteadyClock().now() + cancelTimeout;
    upstream::asio::co_spawn(
            exchange.thread.ioContext->get_executor(),
            [&connectionPool = exchange.thread.connectionPool,
             &failures = exchange.thread.server.requestMetrics.failedCancels,
             endpoint = upstream.endpoint, head, body = call.body,
             deadline]() -> upstream::Awaitable<void> {
                const auto answer = co_await upstream::sendAndReadAnswer(
                        connectionPool, endpoint, head, body, deadline, maxCancelAnswerBytes,
                        upstream::ConnectionUse::Any);
                if (!answer)
                    failures.add();
            },
            upstream::asio::detached);
}

} // namespace bamboochute::caller
