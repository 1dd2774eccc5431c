/// @file
/// @brief The HTTP server towards callers.
#pragma once

#include "caller/ports.hpp"
#include "caller/server_settings.hpp"
#include "caller/target_usage.hpp"
#include "caller/traffic_snapshot.hpp"
#include "core/metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute::caller {

/// @brief Serves callers on traffic threads of a oneTBB arena.
class Server
{
public:
    /// @param settings of this process
    /// @param ports to the control thread
    /// @param metrics where everything is counted; must outlive the server
    Server(ServerSettings settings, Ports ports, Metrics &metrics);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// @brief Binds the port and starts the traffic threads.
    /// @return the bound endpoint, or SettingInvalid when it can't be bound
    Result<Endpoint> start();

    /// @brief Puts a new snapshot into force; safe to call from any thread.
    void publish(TrafficSnapshotPointer snapshot);

    /// @brief Number of requests by target since the last call; safe to call from any thread.
    std::vector<TargetUsage> takeUsage();

    /// @brief Stops gracefully: not ready at once, nothing in flight is cut.
    void beginDrain();

    /// @brief Requests that wait or are in flight, streams among them.
    std::size_t openRequestCount() const noexcept;

    /// @brief Calls back once, on any thread, when the drain has begun and openRequestCount() is
    /// zero.
    void whenDrained(std::function<void()> drained);

    /// @brief Ends all requests that are left with an error, closes all connections, joins.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

/// @brief All metrics in Prometheus' text format, for the port of the operators.
std::string metricsText(const Metrics &metrics);

} // namespace bamboochute::caller
