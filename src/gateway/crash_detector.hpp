/// @file
/// @brief Tells upstreams whose process has ended from connections that were only cut.
#pragma once

#include "core/configuration.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/quarantine_subject.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_process.hpp"
#include "gateway/upstream_table.hpp"
#include "upstream/connection_pool.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboochute::gateway {

/// @brief A request whose connection to an upstream ended before its answer was complete.
struct BrokenRequest
{
    UpstreamProcess process;
    Endpoint endpoint;
    ServiceId service;
    RequestId request;
    std::vector<QuarantineSubject> subjects;
    /// From the sending of the request to the end of its connection.
    Duration ranFor{};
    auto operator<=>(const BrokenRequest &) const = default;
};

/// @brief What showed that a process has ended.
enum class ProcessEnd {
    /// The host refused a connection.
    Refused,
    /// Another process was registered under its id or at its address.
    Replaced,
    /// Its registration was removed.
    Removed,
    /// Another instance found out.
    Reported
};

/// @brief The name in logs.
std::string_view processEndName(ProcessEnd end) noexcept;

/// @brief Parameters of the detection.
struct CrashDetectorLimits
{
    /// Delay before the first connection: a process that ends may close its connections before its
    /// listening socket. Doubled and more for each further one.
    Duration connectDelay = std::chrono::milliseconds(20);
    int connectDelayFactor = 8;
    /// Connections for the requests that broke at about the same time.
    int maxConnects = 3;
    /// Time after a request broke within which the end of the process is a crash.
    Duration confirmationTime = std::chrono::seconds(6);
    /// Pause between two looks at the registrations.
    Duration lookInterval = std::chrono::milliseconds(100);
    /// Ended processes that are remembered; for their requests no further connection is made.
    std::size_t maxEndedProcesses = 256;
    /// Processes that are watched at a time, and broken requests of each; further ones are not
    /// reported.
    std::size_t maxWatchedProcesses = 256;
    std::size_t maxPendingRequests = 512;
    auto operator<=>(const CrashDetectorLimits &) const = default;
};

/// @brief Finds out whether the process of an upstream that broke a request has ended. Used on the
/// event loop's thread only.
///
/// It connects to the address a few times: if the host refuses, the process has ended. One that is
/// back sooner shows by its registration.
class CrashDetector
{
public:
    CrashDetector(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                  const UpstreamTable &table, CrashDetectorLimits limits = {});

    /// @brief Sets the time within which the end of a process is a crash.
    void setConfirmationTime(Duration time) { this->limits.confirmationTime = time; }

    /// @brief Begins to find out whether the process has ended.
    void check(const BrokenRequest &broken);

    /// @brief Records that a process has ended; reports the requests that it broke.
    void recordEnd(const UpstreamProcess &process, ProcessEnd end);

    /// @brief Whether a process was found to have ended, here or at another instance.
    bool hasEnded(const UpstreamProcess &process) const;

    /// @brief Whether a process has broken a request, and may or may not have ended.
    bool isUndecidedFor(const UpstreamProcess &process) const
    {
        return this->watched.contains(process);
    }

    /// @brief Called once for each process that has broken requests and has ended.
    std::function<void(const ServiceId &, const UpstreamProcess &)> onEnd;

    /// @brief Called for each broken request whose upstream's process has ended.
    std::function<void(const BrokenRequest &, ProcessEnd)> onCrash;

    /// @brief Called for each broken request whose upstream's process was not seen to end.
    std::function<void(const BrokenRequest &)> onAlive;

    /// @brief Whether it is open if this instance is cut off from a service or its upstreams have
    /// ended; what failed connections show is judged later then.
    std::function<bool(const ServiceId &)> isUndecided;

    /// @brief Whether this instance's own links to a service were cut at a time; a request that
    /// broke then is not taken for one that a crash broke.
    std::function<bool(const ServiceId &, TimePoint brokeAt)> wasCutOff;

private:
    /// A process that broke requests and may have ended.
    struct Watched
    {
        Endpoint endpoint;
        ServiceId service;
        std::vector<std::pair<TimePoint, BrokenRequest>> requests;
        /// Processes that were registered at the address when the first request broke.
        std::set<UpstreamProcess> neighbours;
        TimePoint lastBrokeAt{};
        int connects = 0;
        TimePoint nextConnectAt{};
    };

    upstream::Awaitable<void> watch(UpstreamProcess process);
    upstream::Awaitable<bool> isRefused(Endpoint endpoint);
    std::set<UpstreamProcess> registeredAt(const Endpoint &endpoint) const;
    std::optional<ProcessEnd> findEnd(const UpstreamProcess &process, const Watched &watched) const;
    bool isLeaving(const UpstreamProcess &process) const;
    bool wasBrokenByCut(const BrokenRequest &broken, TimePoint brokeAt) const
    {
        return this->wasCutOff && this->wasCutOff(broken.service, brokeAt);
    }

    boost::asio::io_context &loop;
    upstream::ConnectionPool &pool;
    const UpstreamTable &table;
    CrashDetectorLimits limits;
    /// Never notified.
    ChangeSignal timer;
    std::map<UpstreamProcess, Watched> watched;
    std::deque<std::pair<UpstreamProcess, ProcessEnd>> ended;
};

} // namespace bamboochute::gateway
