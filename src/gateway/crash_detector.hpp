/// @file
/// @brief Tells upstreams whose process has ended from connections that were only cut.
#pragma once

#include "core/configuration.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_process.hpp"
#include "upstream/connection_pool.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace bamboochute::gateway {

/// @brief A request whose connection to an upstream ended before its answer was complete.
struct BrokenRequest
{
    UpstreamProcess process;
    Endpoint endpoint;
    ServiceId service;
    RequestId request;
    std::vector<PromptPartId> promptParts;
    RequestFingerprint fingerprint;
    /// From the sending of the request to the end of its connection.
    Duration ranFor{};
    auto operator<=>(const BrokenRequest &) const = default;
};

/// @brief Parameters of the detection.
struct CrashDetectorLimits
{
    /// Delay before the connection: a process that ends may close its connections before its
    /// listening socket.
    Duration connectDelay = std::chrono::milliseconds(20);
    /// Ended processes that are remembered; for their requests no further connection is made.
    std::size_t maxEndedProcesses = 256;
    /// Broken requests that wait for one connection; further ones are not reported.
    std::size_t maxPendingRequests = 512;
    auto operator<=>(const CrashDetectorLimits &) const = default;
};

/// @brief Connects once to the address of an upstream that broke a request: if the host refuses the
/// connection, the process has ended. Used on the event loop's thread only.
class CrashDetector
{
public:
    CrashDetector(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                  CrashDetectorLimits limits = {});

    /// @brief Begins to find out whether the process has ended.
    void check(const BrokenRequest &broken);

    /// @brief Called for each broken request whose upstream's process has ended.
    std::function<void(const BrokenRequest &)> onCrash;

    /// @brief Called for each broken request whose upstream's host did not refuse the connection.
    std::function<void(const BrokenRequest &)> onAlive;

private:
    upstream::Awaitable<void> probe(UpstreamProcess process, Endpoint endpoint);
    bool hasEnded(const UpstreamProcess &process) const;
    void report(const BrokenRequest &broken) const;

    boost::asio::io_context &loop;
    upstream::ConnectionPool &pool;
    CrashDetectorLimits limits;
    /// Never notified.
    ChangeSignal timer;
    std::map<UpstreamProcess, std::vector<BrokenRequest>> pending;
    std::deque<UpstreamProcess> ended;
};

} // namespace bamboochute::gateway
