#include "gateway/status_server.hpp"

#include "core/log.hpp"

#include "caller/caller_request.hpp"
#include "upstream/listen.hpp"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;
using upstream::error_code;

constexpr int maxBacklog = 64;
constexpr std::size_t maxBufferBytes = 16 << 10;
constexpr Duration writeTimeout = std::chrono::seconds(2);
/// Probes and readers of metrics send no body, or a short one.
constexpr std::size_t maxBodyBytes = 1 << 10;

caller::ServerLimits makeLimits()
{
    caller::ServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

} // namespace

StatusServer::StatusServer(boost::asio::io_context &loop, Metrics &metrics, InboundBudget &inbound,
                           std::function<bool()> isReady)
    : loop(loop)
    , metrics(metrics)
    , inbound(inbound)
    , isReady(std::move(isReady))
    , deadlineWatch(loop)
    , acceptor(loop)
{}

Result<Endpoint> StatusServer::start(const Endpoint &listen)
{
    Result<Endpoint> bound = upstream::listenOn(this->acceptor, listen, maxBacklog, this->inbound);
    if (!bound)
        return bound.error();
    asio::co_spawn(this->loop, this->accept(), asio::detached);
    return bound;
}

void StatusServer::stop()
{
    this->isStopped = true;
    error_code ignored;
    this->acceptor.close(ignored);
    for (const upstream::HttpStreamPointer &stream : this->streams)
        stream->close();
}

Awaitable<void> StatusServer::accept()
{
    while (!this->isStopped) {
        std::optional<upstream::Socket> socket = co_await upstream::acceptNext(this->acceptor);
        if (!socket)
            co_return;
        auto stream = std::make_shared<upstream::HttpStream>(std::move(*socket),
                                                             this->deadlineWatch, maxBufferBytes);
        this->streams.insert(stream);
        asio::co_spawn(this->loop, this->serve(stream),
                       [this, stream](const std::exception_ptr &) { this->streams.erase(stream); });
    }
}

Awaitable<void> StatusServer::serve(upstream::HttpStreamPointer stream)
{
    ConnectionPlace place(this->inbound.connections(ListenerKind::Status), stream->peerAddress(),
                          stream->makeCloser());
    bool isKeepAlive = place.take(SteadyClock().now());
    while (isKeepAlive && !this->isStopped)
        isKeepAlive = co_await this->answerNext(*stream, place);
    stream->neverExpire();
    stream->close();
}

/// Reads the next request of a connection and answers it.
/// @return whether the connection may be used for another one
Awaitable<bool> StatusServer::answerNext(upstream::HttpStream &stream, ConnectionPlace &place)
{
    static const caller::ServerLimits limits = makeLimits();
    caller::CallerRequest request;
    MemoryBudget::Holding memory(this->inbound.requests(), MemoryUse::Arriving);
    const caller::OptionalReadFailure noRequest
            = co_await caller::readRequest(stream, limits, request, {memory, place});
    if (noRequest)
        co_return false;
    const bool isMetrics = request.path() == "/metrics";
    if (isMetrics)
        this->metrics.gauge("bamboochute_log_lines_dropped")
                .set(static_cast<std::int64_t>(droppedLogLines()));
    const std::string body = isMetrics ? this->metrics.print() : std::string();
    const std::string_view status
            = isMetrics || this->isReady() ? "200 OK" : "503 Service Unavailable";
    const std::string head
            = fmt::format("HTTP/1.1 {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
                          status, body.size());
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(body)};
    // A peer that does not read its answer must not keep the place.
    place.release(SteadyClock().now());
    stream.expireAt(SteadyClock().now() + writeTimeout);
    const upstream::StreamStatus written = co_await stream.write(parts);
    stream.neverExpire();
    co_return written == upstream::StreamStatus::Ok &&request.isKeepAlive;
}

} // namespace bamboochute::gateway
