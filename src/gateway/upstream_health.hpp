/// @file
/// @brief Passive health checks of upstreams, from the outcomes of this instance's own calls.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string_view>

namespace bamboochute::gateway {

/// @brief How a call to an upstream failed, by what that says about the upstream.
enum class UpstreamFault {
    /// No connection could be made, or another process had the upstream's address.
    Unreachable,
    /// The connection ended early, or no answer came before another upstream was to be tried.
    Broken,
    /// The upstream sent something that is not a valid answer to the request.
    Malformed,
    /// The upstream answered with an HTTP status of 500 or above.
    ServerError,
    /// The upstream refused the request for lack of capacity and did not run it.
    Full,
    /// No answer came by the request's deadline, which may have been short.
    Slow,
};

/// @brief The fault's name in logs and metric labels.
std::string_view upstreamFaultName(UpstreamFault fault) noexcept;

/// @brief When an upstream is avoided, and for how long.
struct HealthLimits
{
    /// Consecutive faults after which an upstream is avoided. ServerError and Full are not counted;
    /// after Unreachable it is avoided at once.
    std::uint32_t maxConsecutiveFaults = 2;
    /// The same number when the last fault is Slow.
    std::uint32_t maxConsecutiveSlow = 5;
    /// Time for which an upstream is avoided at first; doubled by each further fault.
    Duration firstPause = std::chrono::milliseconds(600);
    /// Longest time for which an upstream is avoided.
    Duration longestPause = std::chrono::seconds(5);
    /// Time for which an upstream is avoided that refused a request for lack of capacity.
    Duration fullPause = std::chrono::milliseconds(150);
    /// Weight of the newest call in the moving averages of failure rate and latency.
    double smoothingFactor = 0.25;
    /// A latency that no call has updated for this long is discarded.
    Duration latencyMaxAge = std::chrono::seconds(4);
    auto operator<=>(const HealthLimits &) const = default;
};

/// @brief Tracks the health of upstreams; not thread-safe.
class UpstreamHealth
{
public:
    explicit UpstreamHealth(HealthLimits limits = {})
        : limits(limits)
    {}

    /// @brief Records a call that got an answer; the upstream is no longer avoided.
    /// @param latency time to the whole answer, or to the first event of a stream
    void recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now);

    /// @brief Records a call that failed.
    /// @return whether the upstream is avoided from now on and was not before
    bool recordFault(const UpstreamId &upstream, UpstreamFault fault, TimePoint now);

    /// @brief Avoids an upstream because another instance reported that it can't be used.
    /// @param pause time for which it is avoided; limited to HealthLimits::longestPause
    void recordSuspicion(const UpstreamId &upstream, Duration pause, TimePoint now);

    /// @brief Whether requests should be sent to other upstreams if there are any.
    bool isAvoided(const UpstreamId &upstream, TimePoint now) const;

    /// @brief Whether an upstream is avoided because no connection to it could be made: its process
    /// has probably ended, and holds nothing any more.
    bool isUnreachable(const UpstreamId &upstream, TimePoint now) const;

    /// @brief When an upstream is no longer avoided; in the past, or zero, if it isn't avoided.
    TimePoint avoidedUntil(const UpstreamId &upstream) const;

    /// @brief Moving average of the share of failed calls, from 0 to 1.
    double failureRate(const UpstreamId &upstream) const;

    /// @brief Moving average of the latency in seconds; zero when there is no recent one.
    double latencySeconds(const UpstreamId &upstream, TimePoint now) const;

    /// @brief Discards all that was recorded of an upstream.
    void forget(const UpstreamId &upstream) { this->records.erase(upstream); }

private:
    struct Record
    {
        std::uint32_t consecutiveFaults = 0;
        Duration nextPause{};
        TimePoint avoidedUntil{};
        /// Until when it counts as unreachable.
        TimePoint unreachableUntil{};
        double failureRate = 0;
        double latencySeconds = 0;
        /// When the latency was last updated.
        TimePoint latencyAt{};
    };

    void extendAvoidance(Record &record, Duration pause, TimePoint now) const;

    HealthLimits limits;
    std::map<UpstreamId, Record> records;
};

} // namespace bamboochute::gateway
