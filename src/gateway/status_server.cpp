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
constexpr std::size_t maxConnections = 64;
constexpr std::size_t maxBufferBytes = 16 << 10;
constexpr Duration writeTimeout = std::chrono::seconds(2);

} // namespace

StatusServer::StatusServer(boost::asio::io_context &loop, Metrics &metrics,
                           std::function<bool()> isReady)
    : loop(loop)
    , metrics(metrics)
    , isReady(std::move(isReady))
    , deadlineWatch(loop)
    , acceptor(loop)
{}

Result<Endpoint> StatusServer::start(const Endpoint &listen)
{
    Result<Endpoint> bound = upstream::listenOn(this->acceptor, listen, maxBacklog);
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
        if (this->streams.size() >= maxConnections)
            continue;
        auto stream = std::make_shared<upstream::HttpStream>(std::move(*socket),
                                                             this->deadlineWatch, maxBufferBytes);
        this->streams.insert(stream);
        asio::co_spawn(this->loop, this->serve(stream),
                       [this, stream](const std::exception_ptr &) { this->streams.erase(stream); });
    }
}

Awaitable<void> StatusServer::serve(upstream::HttpStreamPointer stream)
{
    caller::CallerRequest request;
    const caller::ServerLimits limits;
    while (!this->isStopped) {
        const caller::OptionalReadFailure noRequest
                = co_await caller::readRequest(*stream, limits, request);
        if (noRequest)
            break;
        const bool isMetrics = request.path() == "/metrics";
        if (isMetrics)
            this->metrics.gauge("bamboochute_log_lines_dropped")
                    .set(static_cast<std::int64_t>(droppedLogLines()));
        const std::string body = isMetrics ? this->metrics.print() : std::string();
        const std::string_view status
                = isMetrics || this->isReady() ? "200 OK" : "503 Service Unavailable";
        const std::string head = fmt::format(
                "HTTP/1.1 {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n", status,
                body.size());
        const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(body)};
        stream->expireAt(SteadyClock().now() + writeTimeout);
        const upstream::StreamStatus written = co_await stream->write(parts);
        stream->neverExpire();
        if (written != upstream::StreamStatus::Ok || !request.isKeepAlive)
            break;
    }
    stream->neverExpire();
    stream->close();
}

} // namespace bamboochute::gateway
