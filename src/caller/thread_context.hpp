/// @file
/// @brief What the requests of one traffic thread share.
#pragma once

#include "caller/admission_control.hpp"
#include "caller/one_shot.hpp"
#include "caller/request_metrics.hpp"
#include "caller/server_settings.hpp"
#include "caller/shared_snapshot.hpp"
#include "upstream/connection_pool.hpp"

#include <atomic>
#include <memory>
#include <unordered_set>

namespace bamboochute::caller {

/// @brief What all traffic threads share.
struct ServerContext
{
    ServerContext(ServerSettings settings, Ports ports, Metrics &metrics)
        : settings(std::move(settings))
        , ports(std::move(ports))
        , metrics(metrics)
        , requestMetrics(metrics)
        , admission(std::make_shared<AdmissionControl>(this->settings.dataCentre,
                                                       this->settings.seed, this->ports, metrics))
    {}

    ServerSettings settings;
    Ports ports;
    Metrics &metrics;
    RequestMetrics requestMetrics;
    SharedSnapshot snapshot;
    std::shared_ptr<AdmissionControl> admission;
    std::atomic<bool> isDraining{false};
    std::atomic<bool> isStopping{false};
    /// Requests from their first byte to the end of their answer.
    std::atomic<std::size_t> open{0};
    std::atomic<std::uint64_t> lastRequest{0};
};

class Exchange;

/// @brief What the requests of one thread use.
struct ThreadContext
{
    ThreadContext(ServerContext &server, std::shared_ptr<upstream::asio::io_context> context)
        : server(server)
        , context(std::move(context))
        , watch(*this->context)
        , pool(*this->context, this->watch,
               upstream::PoolLimits{server.settings.limits.maxIdleUpstreamConnections,
                                    server.settings.limits.connectTimeout,
                                    server.settings.limits.maxStreamBytes})
        , snapshot(server.snapshot)
    {}

    ServerContext &server;
    std::shared_ptr<upstream::asio::io_context> context;
    upstream::DeadlineWatch watch;
    upstream::ConnectionPool pool;
    SnapshotReader snapshot;
    /// Requests on their way.
    std::unordered_set<Exchange *> exchanges;
};

} // namespace bamboochute::caller
