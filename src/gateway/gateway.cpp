#include "gateway/gateway.hpp"

#include "caller/caller_request.hpp"
#include "gateway/request_exchange.hpp"
#include "upstream/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::gateway {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;
using upstream::error_code;

constexpr int maxBacklog = 512;
/// Unread bytes that one connection holds.
constexpr std::size_t maxBufferBytes = 64 << 10;
/// Time in which an upstream accepts a connection; links have a round trip of a few milliseconds.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// From the end of the header to the end of the body, in header timeouts.
constexpr int bodyTimeouts = 5;

upstream::PoolLimits poolLimits()
{
    upstream::PoolLimits limits;
    limits.connectTimeout = connectTimeout;
    limits.maxBufferBytes = maxBufferBytes;
    return limits;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &loop, GatewaySettings settings, CallCodec codec,
                 Metrics &metrics)
    : health(settings.health)
    , choice(settings.dataCentre, settings.seed)
    , budget(settings.repeats)
    , loop(loop)
    , settings(std::move(settings))
    , codec(std::move(codec))
    , metrics(metrics)
    , latencies(metrics)
    , watch(loop)
    , pool(loop, this->watch, poolLimits())
    , acceptor(loop)
    , change(loop)
    , random(this->settings.seed)
{}

Gateway::~Gateway() = default;

Result<Endpoint> Gateway::start()
{
    Result<Endpoint> bound = upstream::listenOn(this->acceptor, this->settings.listen, maxBacklog);
    if (!bound)
        return bound.error();
    asio::co_spawn(this->loop, this->accept(), asio::detached);
    return bound;
}

void Gateway::publish(RouteIndexPointer newer)
{
    this->index = std::move(newer);
    this->changed();
}

void Gateway::beginDrain()
{
    this->draining = true;
}

void Gateway::closeIdle()
{
    this->closing = true;
    error_code ignored;
    this->acceptor.close(ignored);
    for (upstream::HttpStream *stream : this->idleStreams)
        stream->close();
}

void Gateway::refuseWaiting()
{
    this->refusing = true;
    this->changed();
}

void Gateway::stop()
{
    this->closeIdle();
    for (const upstream::HttpStreamPointer &stream : this->streams)
        stream->close();
    this->pool.shutdown();
    this->changed();
}

caller::ServerLimits Gateway::limits() const
{
    caller::ServerLimits limits;
    const CallerLimits given = this->index ? this->index->catalogue().limits : CallerLimits();
    limits.maxHeaderBytes = given.maxHeaderBytes;
    limits.maxBodyBytes = given.maxBodyBytes;
    limits.headerTimeout = given.headerTimeout;
    limits.idleTimeout = given.idleTimeout;
    limits.bodyTimeout = bodyTimeouts * given.headerTimeout;
    return limits;
}

Awaitable<void> Gateway::accept()
{
    while (!this->closing) {
        std::optional<upstream::Socket> socket = co_await upstream::acceptNext(this->acceptor);
        if (!socket)
            co_return;
        if (this->streams.size() >= this->settings.maxConnections) {
            this->metrics.counter("bamboochute_connections_refused_total").add();
            continue;
        }
        auto stream = std::make_shared<upstream::HttpStream>(std::move(*socket), this->watch,
                                                             maxBufferBytes);
        this->streams.insert(stream);
        asio::co_spawn(this->loop, this->serve(stream),
                       [this, stream](const std::exception_ptr &failure) {
                           this->streams.erase(stream);
                           if (failure)
                               std::rethrow_exception(failure);
                       });
    }
}

Awaitable<void> Gateway::serve(upstream::HttpStreamPointer stream)
{
    caller::CallerRequest request;
    while (!this->closing) {
        this->idleStreams.insert(stream.get());
        const caller::ServerLimits limits = this->limits();
        const caller::OptionalReadFailure none
                = co_await caller::readRequest(*stream, limits, request);
        this->idleStreams.erase(stream.get());
        if (none && !none->error)
            break;
        ++this->requests;
        RequestExchange exchange(*this, *stream, request);
        if (none)
            co_await exchange.refuseUnread(*none->error);
        else
            co_await exchange.run();
        --this->requests;
        if (none || !exchange.isKeepAlive() || stream->isExpired())
            break;
    }
    stream->neverExpire();
    stream->close();
}

} // namespace bamboochute::gateway
