/// @file
/// @brief HTTP server for readiness probes and metrics.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/inbound_budget.hpp"
#include "core/metrics.hpp"
#include "upstream/deadline_watch.hpp"
#include "upstream/http_stream.hpp"

#include <functional>
#include <set>

namespace bamboochute::gateway {

/// @brief Serves metrics at /metrics and readiness at every other path; used on the event loop's
/// thread only.
class StatusServer
{
public:
    /// @param inbound bounds of what peers make this process hold
    /// @param isReady whether the instance accepts new connections; answered with 200 or 503
    StatusServer(boost::asio::io_context &loop, Metrics &metrics, InboundBudget &inbound,
                 std::function<bool()> isReady);

    /// @brief Binds an address and accepts connections.
    /// @return the bound address; an error when the address can't be bound
    Result<Endpoint> start(const Endpoint &listen);
    /// @brief Stops accepting connections and closes the open ones.
    void stop();

private:
    upstream::Awaitable<void> accept();
    upstream::Awaitable<void> serve(upstream::HttpStreamPointer stream);
    upstream::Awaitable<bool> answerNext(upstream::HttpStream &stream, ConnectionPlace &place);

    boost::asio::io_context &loop;
    Metrics &metrics;
    InboundBudget &inbound;
    std::function<bool()> isReady;
    upstream::DeadlineWatch deadlineWatch;
    upstream::Acceptor acceptor;
    std::set<upstream::HttpStreamPointer> streams;
    bool isStopped = false;
};

} // namespace bamboochute::gateway
