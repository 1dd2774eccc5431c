/// @file
/// @brief The HTTP server towards callers.
#pragma once

#include "caller/ports.hpp"
#include "caller/traffic_snapshot.hpp"
#include "core/metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute::caller {

/// @brief Bounds of what callers may send and how long they may take.
struct ServerLimits
{
    /// Connections that one traffic thread holds.
    std::size_t maxConnections = 4096;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    /// Longest nesting of objects and arrays in a JSON body.
    std::size_t maxJsonDepth = 64;
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(10);
    /// From the end of the header to the end of the body.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// Connections that wait for their next request.
    Duration idleTimeout = std::chrono::minutes(5);
    /// Time that one write to a caller may take.
    Duration writeTimeout = std::chrono::seconds(30);
    /// Bytes of an answer that is not a stream.
    std::size_t maxAnswerBytes = 8 << 20;
    /// Bytes of one stream that this instance holds at a time.
    std::size_t maxStreamBytes = 64 << 10;
    /// Longest pause of a stream between two pieces.
    Duration streamIdleTimeout = std::chrono::minutes(2);
    Duration connectTimeout = std::chrono::seconds(1);
    /// Kept connections to each upstream, by traffic thread.
    std::size_t maxIdleUpstreamConnections = 64;
};

/// @brief What the server needs to know of its process.
struct ServerSettings
{
    Endpoint listen{"127.0.0.1", 0};
    std::uint32_t trafficThreads = 2;
    DataCentreId dataCentre;
    /// Bearer credential for cancel calls to upstreams that check the sender.
    std::string orderCredential;
    /// Of random choices; differs between instances.
    std::uint64_t seed = 1;
    ServerLimits limits;
};

/// @brief How much a target is wanted at this instance.
struct TargetUsage
{
    DeploymentId deployment;
    Target target;
    /// Requests that arrived since the last call.
    std::uint64_t arrived = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    auto operator<=>(const TargetUsage &) const = default;
};

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
    std::size_t open() const noexcept;

    /// @brief Calls back once, on any thread, when the drain has begun and open() is zero.
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
