/// @file
/// @brief A traffic thread with its event loop, acceptor and connections.
#pragma once

#include "caller/thread_context.hpp"

#include <memory>
#include <unordered_set>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::caller {

/// @brief Accepts connections and serves them until it is stopped.
class TrafficThread
{
public:
    /// @param server state shared by all threads
    /// @param checksQueues whether this thread also expires and dispatches waiting requests
    TrafficThread(ServerContext &server, bool checksQueues);

    /// @brief Binds the port, which all traffic threads share by SO_REUSEPORT.
    /// @return the bound endpoint, or SettingInvalid when it can't be bound
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Serves on the calling thread until stop() was called and all connections have ended.
    void run();

    /// @brief Stops accepting, ends all requests with an error and closes all connections;
    /// thread-safe.
    void stop();

private:
    using Timer = upstream::asio::basic_waitable_timer<
            std::chrono::steady_clock, upstream::asio::wait_traits<std::chrono::steady_clock>,
            upstream::Executor>;

    upstream::Awaitable<void> acceptConnections();
    upstream::Awaitable<void> checkQueuesPeriodically();
    upstream::Awaitable<void> endRequestsAndClose();
    upstream::Awaitable<void> pauseFor(Duration duration);
    void serveConnection(upstream::Socket socket);
    void stopAccepting();
    void closeConnections();

    ServerContext &server;
    std::shared_ptr<upstream::asio::io_context> ioContext;
    ThreadContext thread;
    upstream::asio::executor_work_guard<upstream::Executor> workGuard;
    upstream::Acceptor acceptor;
    Timer queueTimer;
    std::unordered_set<upstream::HttpStreamPointer> openConnections;
    bool checksQueues;
    bool isStopping = false;
};

} // namespace bamboochute::caller
