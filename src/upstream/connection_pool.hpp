/// @file
/// @brief Pool of the HTTP connections of one thread to its upstreams.
#pragma once

#include "core/configuration.hpp"
#include "upstream/http_stream.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::upstream {

/// @brief Limits of a connection pool.
struct PoolLimits
{
    std::size_t maxIdlePerUpstream = 64;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Largest size of one connection's read buffer.
    std::size_t maxBufferBytes = 64 << 10;
    /// Own address of the connections, on hosts with several; empty to let the kernel choose.
    std::string sourceAddress = {};
    /// Longest time for which a connection is kept without a call; it may have fallen silent.
    Duration maxIdleTime = Duration::max();
};

/// @brief A connection that no call uses.
struct IdleConnection
{
    HttpStreamPointer stream;
    /// End of its last answer, until which the connection is known to have worked.
    TimePoint idleSince;
};

/// @brief Keeps idle connections for reuse; a connection in use belongs to its user alone.
///
/// An idle connection is removed as soon as its peer closes it.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &context, DeadlineWatch &watch, PoolLimits limits);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// @brief Takes an idle connection out of the pool.
    /// @return nothing when there is none that has been idle for less than the limit
    std::optional<IdleConnection> takeIdle(const Endpoint &endpoint);

    /// @brief Creates a stream that is not connected yet.
    HttpStreamPointer makeStream();

    /// @brief Connects a new stream.
    /// @param deadline latest end of the attempt; the connect timeout may end it earlier
    /// @return Ok, Expired, Refused, or Closed for any other failure
    Awaitable<StreamStatus> connect(HttpStream &stream, const Endpoint &endpoint,
                                    TimePoint deadline);

    /// @brief Returns a connection whose last answer was read to its end.
    ///
    /// It is closed instead of kept when the pool is full or the connection can't be reused.
    void release(const Endpoint &endpoint, HttpStreamPointer stream);

    /// @brief Closes the idle connections to an endpoint.
    void closeIdle(const Endpoint &endpoint);

    /// @brief Closes all idle connections; those that are returned later are closed too.
    void shutdown();

    const PoolLimits &poolLimits() const noexcept { return this->limits; }

private:
    static void close(const IdleConnection &connection);
    void removeClosed(const Endpoint &endpoint, const HttpStream *stream);

    asio::io_context &context;
    DeadlineWatch &watch;
    PoolLimits limits;
    bool isShutDown = false;
    std::map<Endpoint, std::vector<IdleConnection>> idle;
};

} // namespace bamboochute::upstream
