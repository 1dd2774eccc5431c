/// @file
/// @brief The HTTP server for callers.
#pragma once

#include "caller/ports.hpp"
#include "caller/server_settings.hpp"
#include "caller/target_usage.hpp"
#include "caller/traffic_snapshot.hpp"
#include "core/inbound_budget.hpp"
#include "core/metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute::caller {

/// @brief Serves callers on traffic threads, which run in a oneTBB arena.
class Server
{
public:
    /// @param settings of this process
    /// @param ports to the control thread
    /// @param metrics that the server updates; must outlive the server
    /// @param inbound bounds of what callers make this process hold; must outlive the server
    Server(ServerSettings settings, Ports ports, Metrics &metrics, InboundBudget &inbound);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Binds the port and starts the traffic threads.
    /// @return the bound endpoint, or SettingInvalid when it can't be bound
    Result<Endpoint> start();

    /// @brief Replaces the snapshot for later requests and for those that wait; thread-safe.
    void publish(TrafficSnapshotPointer snapshot);

    /// @brief Usage by target; arrived requests are counted since the last call. Thread-safe.
    std::vector<TargetUsage> takeUsage();

    /// @brief Begins a graceful stop: the instance reports that it is not ready, connections close
    /// after their answer, and requests in flight run to their end.
    void beginDrain();

    /// @brief Number of requests that wait or are in flight, including streams.
    std::size_t openRequestCount() const noexcept;

    /// @brief Calls drained once, on any thread, when openRequestCount() is zero or the server
    /// stops. To be called once, after beginDrain().
    void whenDrained(std::function<void()> drained);

    /// @brief Ends all remaining requests with an error, closes all connections and waits for the
    /// traffic threads.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

/// @brief All metrics in the Prometheus text format; the port for operators serves them too.
std::string metricsText(const Metrics &metrics);

} // namespace bamboochute::caller
