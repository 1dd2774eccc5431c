/// @file
/// @brief Kept connections of one thread to its upstreams.
#pragma once

#include "core/configuration.hpp"
#include "upstream/http_stream.hpp"

#include <map>
#include <vector>

namespace bamboochute::upstream {

/// @brief Bounds of a pool.
struct PoolLimits
{
    std::size_t maxIdlePerUpstream = 64;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Unread bytes that one connection holds.
    std::size_t maxBufferBytes = 64 << 10;
};

/// @brief Gives out connections that nobody else uses, kept ones first.
///
/// A kept connection that its peer closes leaves the pool at once.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &context, DeadlineWatch &watch, PoolLimits limits);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// @brief Takes out a kept connection; null when there is none.
    HttpStreamPointer takeIdle(const Endpoint &endpoint);

    /// @brief A stream that is not connected yet.
    HttpStreamPointer makeStream();

    /// @brief Connects a new stream.
    /// @param deadline the attempt ends then, or after the connect timeout
    Awaitable<StreamStatus> connect(HttpStream &stream, const Endpoint &endpoint,
                                    TimePoint deadline);

    /// @brief Keeps a connection whose last answer was read to its end.
    void giveBack(const Endpoint &endpoint, HttpStreamPointer stream);

    /// @brief Closes all kept connections; none is kept from now on.
    void shutdown();

    const PoolLimits &settings() const noexcept { return this->limits; }

private:
    void drop(const Endpoint &endpoint, const HttpStream *stream);

    asio::io_context &context;
    DeadlineWatch &watch;
    PoolLimits limits;
    bool isShutDown = false;
    std::map<Endpoint, std::vector<HttpStreamPointer>> idle;
};

} // namespace bamboochute::upstream
