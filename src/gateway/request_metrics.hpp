/// @file
/// @brief Latency histograms of requests, looked up once at start.
#pragma once

#include "core/metrics.hpp"
#include "gateway/routing_configuration.hpp"

#include <array>

namespace bamboochute::gateway {

/// @brief Histograms for one kind of request; null where the kind has no such histogram.
struct KindMetrics
{
    /// Time from a request's arrival to the end of its answer, whatever its outcome.
    LatencyHistogram *requestDuration = nullptr;
    /// Time from the arrival to the first event of a stream.
    LatencyHistogram *firstEventDelay = nullptr;
    /// Longest gap between two events of a stream.
    LatencyHistogram *longestEventGap = nullptr;
};

/// @brief The latency histograms of a gateway.
class RequestMetrics
{
public:
    explicit RequestMetrics(Metrics &metrics);

    /// @brief The histograms for a kind of request.
    const KindMetrics &forKind(RequestKind kind) const
    {
        return this->byKind[static_cast<std::size_t>(kind)];
    }

    /// Time that requests waited until an upstream held their target.
    LatencyHistogram &targetWait;

private:
    std::array<KindMetrics, 3> byKind;
};

} // namespace bamboochute::gateway
