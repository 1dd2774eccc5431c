/// @file
/// @brief Judges upstreams by the ends of this instance's own calls.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string_view>

namespace bamboochute::gateway {

/// @brief How a call to an upstream failed, by what it says of the upstream.
enum class UpstreamFault {
    /// No connection could be made, or it was refused.
    Unreachable,
    /// The connection ended, or no answer came in time.
    Broken,
    /// The answer was no valid answer to the request.
    Malformed,
    /// The upstream answered with an error of its own.
    ServerError,
    /// The upstream was full and did not run the request.
    Full,
    /// No answer came by the end of the request's time, which may have been short.
    Slow,
};

/// @brief Name of a fault in logs and metric labels.
std::string_view upstreamFaultName(UpstreamFault fault) noexcept;

/// @brief When an upstream is avoided, and for how long.
struct HealthLimits
{
    /// Faults in a row that are no server errors; the first pause begins with the last of them.
    std::uint32_t maxConsecutiveFaults = 2;
    /// Requests in a row without an answer in time after which the upstream is avoided.
    std::uint32_t maxConsecutiveSlow = 5;
    Duration firstPause = std::chrono::milliseconds(600);
    Duration longestPause = std::chrono::seconds(5);
    /// Pause after an answer that said that the upstream is full.
    Duration fullPause = std::chrono::milliseconds(150);
    /// Weight of the newest call in the smoothed share of failures and the smoothed latency.
    double smoothingFactor = 0.25;
    /// A smoothed latency is forgotten when no call refreshed it for this long.
    Duration latencyMaxAge = std::chrono::seconds(4);
    auto operator<=>(const HealthLimits &) const = default;
};

/// @brief Health of the upstreams; not thread-safe.
class UpstreamHealth
{
public:
    explicit UpstreamHealth(HealthLimits limits = {})
        : limits(limits)
    {}

    /// @brief Counts an answer.
    /// @param latency time to the answer, or to the first event of a stream
    void recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now);

    /// @brief Counts a failure.
    /// @return whether the upstream is avoided from now on and was not before
    bool recordFault(const UpstreamId &upstream, UpstreamFault fault, TimePoint now);

    /// @brief Takes another instance's word that an upstream can't be used.
    void recordSuspicion(const UpstreamId &upstream, Duration pause, TimePoint now);

    /// @brief Whether new requests should go elsewhere if they can.
    bool isAvoided(const UpstreamId &upstream, TimePoint now) const;

    /// @brief End of the pause of an avoided upstream.
    TimePoint avoidedUntil(const UpstreamId &upstream) const;

    /// @brief Smoothed share of failed calls, from 0 to 1.
    double failureRate(const UpstreamId &upstream) const;

    /// @brief Smoothed latency in seconds; zero when it is not known.
    double latencySeconds(const UpstreamId &upstream, TimePoint now) const;

    void forget(const UpstreamId &upstream) { this->records.erase(upstream); }

private:
    struct Record
    {
        std::uint32_t consecutiveFaults = 0;
        Duration nextPause{};
        TimePoint avoidedUntil{};
        double failureRate = 0;
        double latencySeconds = 0;
        TimePoint latencyAt{};
    };

    void extendAvoidance(Record &record, Duration pause, TimePoint now) const;

    HealthLimits limits;
    std::map<UpstreamId, Record> records;
};

} // namespace bamboochute::gateway
