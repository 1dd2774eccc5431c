/// @file
/// @brief One traffic thread: its event loop, its acceptor and its connections.
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
    /// @param server shared by all threads
    /// @param isTicking whether this thread also drives the queue's deadlines
    TrafficThread(ServerContext &server, bool isTicking);

    /// @brief Binds the port, which several threads may share.
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Serves on the calling thread until stop() was called and everything has ended.
    void run();

    /// @brief Accepts no more and closes all connections; safe to call from any thread.
    void stop();

private:
    using Timer = upstream::asio::basic_waitable_timer<
            std::chrono::steady_clock, upstream::asio::wait_traits<std::chrono::steady_clock>,
            upstream::Executor>;

    upstream::Awaitable<void> accept();
    upstream::Awaitable<void> tick();
    upstream::Awaitable<void> endAll();
    void serve(upstream::Socket socket);
    void stopAccepting();
    void closeAll();

    ServerContext &server;
    std::shared_ptr<upstream::asio::io_context> context;
    ThreadContext thread;
    upstream::asio::executor_work_guard<upstream::Executor> guard;
    upstream::Acceptor acceptor;
    Timer timer;
    std::unordered_set<upstream::HttpStreamPointer> streams;
    bool isTicking;
    bool isStopping = false;
};

} // namespace bamboochute::caller
