/// @file
/// @brief Serves callers by routes: one event loop for connections, choices and upstreams.
#pragma once

#include "caller/server_settings.hpp"
#include "core/metrics.hpp"
#include "gateway/call_codec.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/demand_tracker.hpp"
#include "gateway/queue_forecast.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/retry_budget.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_selector.hpp"
#include "upstream/connection_pool.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace bamboochute::gateway {

/// @brief What a gateway needs to know of its process.
struct GatewaySettings
{
    Endpoint listen;
    DataCentreId dataCentre;
    /// Of random choices; differs between instances.
    std::uint64_t seed = 1;
    RetryLimits retryBudget;
    HealthLimits health;
    /// Connections of callers at a time.
    std::size_t maxConnections = 2000;
};

/// @brief What the connections of callers share; used on the loop's thread only.
class Gateway
{
public:
    Gateway(boost::asio::io_context &loop, GatewaySettings settings, CallCodec codec,
            Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// @brief Binds the callers' address and accepts connections.
    /// @return SettingInvalid when the address can't be bound
    Result<Endpoint> start();

    /// @brief Takes a catalogue into use unless a newer one is in force.
    void publish(RouteIndexPointer index);

    /// @brief From now on answers ask their callers to close the connection.
    void beginDrain();

    /// @brief Accepts no more connections and closes those that wait for a request.
    void closeIdleConnections();

    /// @brief Refuses the requests that wait for a target, now and from now on.
    void refuseWaitingRequests();

    /// @brief Ends the requests that are still open and closes everything.
    void stop();

    /// @brief Tells all that wait that upstreams, their contents or promises have changed.
    void notifyChange() { this->change.notifyAll(); }

    std::size_t openRequests() const noexcept { return this->openRequestCount; }
    bool isDraining() const noexcept { return this->draining; }

    RouteIndexPointer index;
    UpstreamTable table;
    UpstreamHealth health;
    UpstreamSelector selector;
    RetryBudget budget;
    QueueForecast forecast;
    DemandTracker demand;
    /// Called when a request begins to wait for a target that nobody holds.
    std::function<void()> onTargetWait;
    /// Called when an upstream begins to be avoided.
    std::function<void(const UpstreamId &, UpstreamFault)> onUpstreamAvoided;

private:
    friend class RequestExchange;

    upstream::Awaitable<void> accept();
    upstream::Awaitable<void> serve(upstream::HttpStreamPointer stream);
    caller::ServerLimits limits() const;

    boost::asio::io_context &loop;
    GatewaySettings settings;
    CallCodec codec;
    Metrics &metrics;
    RequestMetrics requestMetrics;
    upstream::DeadlineWatch deadlineWatch;
    upstream::ConnectionPool pool;
    upstream::Acceptor acceptor;
    ChangeSignal change;
    Random random;
    std::set<upstream::HttpStreamPointer> streams;
    std::set<upstream::HttpStream *> idleStreams;
    std::size_t openRequestCount = 0;
    bool draining = false;
    bool closing = false;
    bool refusingWaitingRequests = false;
};

} // namespace bamboochute::gateway
