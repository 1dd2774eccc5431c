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

HttpStreamPointer ConnectionPool::takeIdle(const Endpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return nullptr;
    while (!found->second.empty()) {
        HttpStreamPointer stream = std::move(found->second.back());
        found->second.pop_back();
        stream->setPeerClosedHandler(nullptr);
        // Bytes received while idle belong to no request; such a connection is not reused. They may
        // have arrived since the event loop read last.
        if (stream->isOpen() && !stream->isPeerClosed() && stream->unread().empty()
            && !stream->hasArrivedBytes())
            return stream;
        stream->close();
    }
    return nullptr;
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
    std::vector<HttpStreamPointer> &idleStreams = this->idle[endpoint];
    const bool isFull = idleStreams.size() >= this->limits.maxIdlePerUpstream;
    if (this->isShutDown || isFull || !stream->isOpen() || stream->isPeerClosed()
        || !stream->unread().empty()) {
        stream->close();
        return;
    }
    stream->neverExpire();
    stream->setPeerClosedHandler(
            [this, endpoint, released = stream.get()] { this->removeClosed(endpoint, released); });
    stream->readAhead();
    idleStreams.push_back(std::move(stream));
}

void ConnectionPool::removeClosed(const Endpoint &endpoint, const HttpStream *stream)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return;
    const auto isStream
            = [stream](const HttpStreamPointer &candidate) { return candidate.get() == stream; };
    const auto position = std::find_if(found->second.begin(), found->second.end(), isStream);
    if (position == found->second.end())
        return;
    (*position)->close();
    found->second.erase(position);
}

void ConnectionPool::shutdown()
{
    this->isShutDown = true;
    for (auto &[endpoint, streams] : this->idle) {
        for (const HttpStreamPointer &stream : streams) {
            stream->setPeerClosedHandler(nullptr);
            stream->close();
        }
    }
    this->idle.clear();
}

} // namespace bamboochute::upstream
