/// @file
/// @brief Takes upstreams that fail or slow down out of routing for a while.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/metrics.hpp"
#include "core/routing_table.hpp"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace bamboochute::admission {

/// @brief Why an upstream was ejected.
enum class EjectionReason { ConsecutiveFailures, ErrorRate, SlowAnswers };

/// @brief Name of a reason, as in the label of the counter.
std::string_view ejectionReasonName(EjectionReason reason) noexcept;

/// @brief When to eject, for how long, and how many at once.
struct EjectorLimits
{
    std::uint32_t consecutiveFailures = 5;
    /// Share of failures that ejects, once there are `minSamples` answers in a window.
    double errorRate = 0.2;
    std::uint32_t minSamples = 10;
    Duration window = std::chrono::seconds(10);
    /// An upstream whose mean latency is this many times the median of its pool is slow.
    double slowFactor = 4.0;
    /// Probes in a row that must succeed before an upstream is healthy again.
    std::uint32_t probes = 3;
    Duration firstBackOff = std::chrono::seconds(5);
    Duration maxBackOff = std::chrono::minutes(2);
    /// Share of a group of replicas that may be out at once; one may always be, if there are two.
    double maxEjectedShare = 0.34;
    auto operator<=>(const EjectorLimits &) const = default;
};

/// @brief Whether an upstream may get a request.
enum class UpstreamHealth {
    Healthy,
    /// Back-off is over; one request at a time finds out whether it works again.
    Probing,
    Ejected
};

/// @brief Health of every upstream that an instance talks to, judged by its own calls.
///
/// An upstream is ejected for a back-off that doubles at each ejection; after it, one request is
/// let through as a probe. Success brings it back, failure ejects it again.
class Ejector
{
public:
    explicit Ejector(Metrics &metrics, EjectorLimits limits = {});

    /// @brief Tells that a request was sent to an upstream; a probe is under way until it ends.
    void recordStart(const UpstreamId &upstream, TimePoint now);

    /// @brief Counts an answer in time.
    void recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now);

    /// @brief Counts a failure or time-out of the upstream; not one that the caller is to blame
    /// for.
    void recordFailure(const UpstreamId &upstream, TimePoint now);

    /// @brief Tells that a request ended without a verdict, such as one that the caller cancelled.
    void recordCancellation(const UpstreamId &upstream);

    /// @brief Whether an upstream may get a request now, judged alone.
    UpstreamHealth health(const UpstreamId &upstream, TimePoint now) const;

    /// @brief The upstreams of a group that may get a request; never fewer than the bound says.
    /// @param group replicas that could serve the request
    std::vector<UpstreamId> usable(const std::vector<UpstreamId> &group, TimePoint now) const;

    /// @brief Takes the pools of the upstreams, and forgets upstreams that are gone.
    void update(const RoutingTable &table);

private:
    struct Record
    {
        PoolId pool;
        std::uint32_t consecutive = 0;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        TimePoint windowStart{};
        double meanLatency = 0;
        std::uint32_t latencySamples = 0;
        TimePoint ejectedUntil{};
        Duration backOff{};
        bool isEjected = false;
        bool isProbeUnderWay = false;
        std::uint32_t probesPassed = 0;
    };

    void roll(Record &record, TimePoint now) const;
    void eject(Record &record, EjectionReason reason, TimePoint now);
    void probeSucceeded(Record &record, TimePoint now) const;
    void startWindow(Record &record, TimePoint now) const;
    bool failsOften(const Record &record) const;
    bool isSlow(const Record &record) const;
    UpstreamHealth health(const Record &record, TimePoint now) const;

    EjectorLimits limits;
    Metrics &metrics;
    std::map<UpstreamId, Record> records;
};

} // namespace bamboochute::admission
