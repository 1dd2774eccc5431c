/// @file
/// @brief Temporarily excludes failing and slow upstreams from routing.
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

/// @brief Name of a reason in the label of bamboochute_ejections_total.
std::string_view ejectionReasonName(EjectionReason reason) noexcept;

/// @brief When to eject, for how long, and how many at once.
struct EjectorLimits
{
    std::uint32_t consecutiveFailures = 5;
    /// Share of failed requests in a window that causes an ejection, once the window has
    /// `minSamples` requests.
    double errorRate = 0.2;
    std::uint32_t minSamples = 10;
    /// Time over which the error rate is measured.
    Duration window = std::chrono::seconds(10);
    /// An upstream is slow when its mean latency is more than this many times the median of its
    /// pool.
    double slowFactor = 4.0;
    /// Probes in a row that must succeed before an upstream is healthy again.
    std::uint32_t requiredProbes = 3;
    /// Duration of a first ejection; a further one soon after it takes twice as long, up to
    /// maxBackOff.
    Duration firstBackOff = std::chrono::seconds(5);
    Duration maxBackOff = std::chrono::minutes(2);
    /// Share of a group of replicas that may be ejected at once; in a group of at least two, one
    /// always may be.
    double maxEjectedShare = 0.34;
    auto operator<=>(const EjectorLimits &) const = default;
};

/// @brief Whether an upstream may get a request.
enum class UpstreamHealth {
    Healthy,
    /// The back-off is over; one request at a time tests whether the upstream works again.
    Probing,
    Ejected
};

/// @brief Health of the upstreams that an instance uses, measured from its own calls.
///
/// An upstream is ejected for a back-off that doubles with each ejection. After it, requests are
/// let through one at a time as probes: `requiredProbes` successes in a row make the upstream
/// healthy, a failure ejects it again.
class Ejector
{
public:
    explicit Ejector(Metrics &metrics, EjectorLimits limits = {});

    /// @brief Records that a request was sent; if the upstream was Probing, the request is its
    /// probe until it ends.
    void recordStart(const UpstreamId &upstream, TimePoint now);

    /// @brief Records an answer that came in time.
    void recordSuccess(const UpstreamId &upstream, Duration latency, TimePoint now);

    /// @brief Records a failure or time-out that the upstream caused, not the caller.
    void recordFailure(const UpstreamId &upstream, TimePoint now);

    /// @brief Records that a request ended without showing whether the upstream works, such as one
    /// that the caller cancelled.
    void recordCancellation(const UpstreamId &upstream);

    /// @brief Whether an upstream may get a request now, without regard to how many others are
    /// ejected.
    UpstreamHealth health(const UpstreamId &upstream, TimePoint now) const;

    /// @brief Selects the upstreams of a group that may get a request.
    /// @param group replicas that could serve the request
    /// @return those that are not ejected; when more than `maxEjectedShare` are, also the excess,
    /// in the order in which their back-offs end
    std::vector<UpstreamId> selectUsable(const std::vector<UpstreamId> &group, TimePoint now) const;

    /// @brief Updates the pool of each upstream, and removes upstreams that are not in the table.
    void update(const RoutingTable &table);

private:
    struct UpstreamRecord
    {
        PoolId pool;
        std::uint32_t consecutiveFailures = 0;
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

    void rollWindow(UpstreamRecord &record, TimePoint now) const;
    void eject(UpstreamRecord &record, EjectionReason reason, TimePoint now);
    void recordProbeSuccess(UpstreamRecord &record, TimePoint now) const;
    void startWindow(UpstreamRecord &record, TimePoint now) const;
    bool exceedsErrorRate(const UpstreamRecord &record) const;
    bool isSlow(const UpstreamRecord &record) const;
    UpstreamHealth health(const UpstreamRecord &record, TimePoint now) const;

    EjectorLimits limits;
    Metrics &metrics;
    std::map<UpstreamId, UpstreamRecord> records;
};

} // namespace bamboochute::admission
