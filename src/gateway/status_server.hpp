/// @file
/// @brief Answers whether the instance takes new connections, and serves its metrics.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/metrics.hpp"
#include "upstream/deadline_watch.hpp"
#include "upstream/http_stream.hpp"

#include <functional>
#include <set>

namespace bamboochute::gateway {

/// @brief A small HTTP server: GET /metrics, and readiness at every other path.
class StatusServer
{
public:
    StatusServer(boost::asio::io_context &loop, Metrics &metrics, std::function<bool()> isReady);

    /// @brief Binds the address and accepts connections.
    Result<Endpoint> start(const Endpoint &listen);
    void stop();

private:
    upstream::Awaitable<void> accept();
    upstream::Awaitable<void> serve(upstream::HttpStreamPointer stream);

    boost::asio::io_context &loop;
    Metrics &metrics;
    std::function<bool()> isReady;
    upstream::DeadlineWatch deadlineWatch;
    upstream::Acceptor acceptor;
    std::set<upstream::HttpStreamPointer> streams;
    bool isStopped = false;
};

} // namespace bamboochute::gateway
