#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace bamboochute::upstream {

ConnectionPool::ConnectionPool(asio::io_context &context, DeadlineWatch &watch, PoolLimits limits)
    : context(context)
    , watch(watch)
    , limits(std::move(limits))
{}

ConnectionPool::~ConnectionPool()
{
    this->shutdown();
}

std::optional<IdleConnection> ConnectionPool::takeIdle(const Endpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return std::nullopt;
    while (!found->second.empty()) {
        IdleConnection connection = std::move(found->second.back());
        found->second.pop_back();
        HttpStream &stream = *connection.stream;
        stream.setPeerClosedHandler(nullptr);
        const bool isRecent
                = SteadyClock().now() - connection.idleSince <= this->limits.maxIdleTime;
        // Bytes received while idle belong to no request; such a connection is not reused. They may
        // have arrived since the event loop read last.
        if (isRecent && stream.isOpen() && !stream.isPeerClosed() && stream.unread().empty()
            && !stream.hasArrivedBytes())
            return connection;
        stream.close();
    }
    return std::nullopt;
}

HttpStreamPointer ConnectionPool::makeStream()
{
    return std::make_shared<HttpStream>(Socket(this->context), this->watch,
                                        this->limits.maxBufferBytes);
}

Awaitable<StreamStatus> ConnectionPool::connect(HttpStream &stream, const Endpoint &endpoint,
                                                TimePoint deadline)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        co_return StreamStatus::Closed;
    if (!this->limits.sourceAddress.empty()
        && !stream.bindTo(asio::ip::make_address(this->limits.sourceAddress, error)))
        co_return StreamStatus::Closed;
    const TimePoint latest = SteadyClock().now() + this->limits.connectTimeout;
    stream.expireAt(std::min(deadline, latest));
    const StreamStatus status
            = co_await stream.connect(asio::ip::tcp::endpoint(address, endpoint.port));
    stream.neverExpire();
    co_return status;
}

void ConnectionPool::release(const Endpoint &endpoint, HttpStreamPointer stream)
{
    std::vector<IdleConnection> &idleConnections = this->idle[endpoint];
    const bool isFull = idleConnections.size() >= this->limits.maxIdlePerUpstream;
    if (this->isShutDown || isFull || !stream->isOpen() || stream->isPeerClosed()
        || !stream->unread().empty()) {
        stream->close();
        return;
    }
    stream->neverExpire();
    stream->setPeerClosedHandler(
            [this, endpoint, released = stream.get()] { this->removeClosed(endpoint, released); });
    stream->readAhead();
    idleConnections.push_back({std::move(stream), SteadyClock().now()});
}

void ConnectionPool::removeClosed(const Endpoint &endpoint, const HttpStream *stream)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return;
    const auto isStream = [stream](const IdleConnection &candidate) {
        return candidate.stream.get() == stream;
    };
    const auto position = std::find_if(found->second.begin(), found->second.end(), isStream);
    if (position == found->second.end())
        return;
    position->stream->close();
    found->second.erase(position);
}

void ConnectionPool::close(const IdleConnection &connection)
{
    connection.stream->setPeerClosedHandler(nullptr);
    connection.stream->close();
}

void ConnectionPool::closeIdle(const Endpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return;
    for (const IdleConnection &connection : found->second)
        close(connection);
    this->idle.erase(found);
}

void ConnectionPool::shutdown()
{
    this->isShutDown = true;
    for (auto &[endpoint, connections] : this->idle) {
        for (const IdleConnection &connection : connections)
            close(connection);
    }
    this->idle.clear();
}

} // namespace bamboochute::upstream
