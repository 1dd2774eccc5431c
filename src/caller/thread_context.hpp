/// @file
/// @brief State that the requests of a server and of a traffic thread share.
#pragma once

#include "caller/admission_control.hpp"
#include "caller/one_shot_channel.hpp"
#include "caller/request_metrics.hpp"
#include "caller/server_settings.hpp"
#include "caller/shared_snapshot.hpp"
#include "core/inbound_budget.hpp"
#include "upstream/connection_pool.hpp"

#include <atomic>
#include <memory>
#include <unordered_set>

namespace bamboochute::caller {

/// @brief State that all traffic threads share.
struct ServerContext
{
    ServerContext(ServerSettings settings, Ports ports, Metrics &metrics, InboundBudget &inbound)
        : settings(std::move(settings))
        , ports(std::move(ports))
        , metrics(metrics)
        , inbound(inbound)
        , requestMetrics(metrics)
        , admission(std::make_shared<AdmissionControl>(this->settings.dataCentre,
                                                       this->settings.seed, this->ports, metrics))
    {}

    ServerSettings settings;
    Ports ports;
    Metrics &metrics;
    InboundBudget &inbound;
    RequestMetrics requestMetrics;
    SharedSnapshot snapshot;
    std::shared_ptr<AdmissionControl> admission;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isStopping{false};
    /// Requests that were read whole and whose answer has not ended.
    std::atomic<std::size_t> openRequests{0};
    std::atomic<std::uint64_t> lastRequestNumber{0};
};

class Exchange;

/// @brief State that the requests of one traffic thread share.
struct ThreadContext
{
    ThreadContext(ServerContext &server, std::shared_ptr<upstream::asio::io_context> ioContext)
        : server(server)
        , ioContext(std::move(ioContext))
        , deadlineWatch(*this->ioContext)
        , connectionPool(*this->ioContext, this->deadlineWatch,
                         upstream::PoolLimits{server.settings.limits.maxIdleUpstreamConnections,
                                              server.settings.limits.connectTimeout,
                                              server.settings.limits.maxStreamBytes})
        , snapshot(server.snapshot)
    {}

    ServerContext &server;
    std::shared_ptr<upstream::asio::io_context> ioContext;
    upstream::DeadlineWatch deadlineWatch;
    upstream::ConnectionPool connectionPool;
    SnapshotReader snapshot;
    /// Exchanges in progress.
    std::unordered_set<Exchange *> exchanges;
};

/// @brief Suspends a request of a thread for some time.
upstream::Awaitable<void> waitFor(ThreadContext &thread, Duration delay);

} // namespace bamboochute::caller
