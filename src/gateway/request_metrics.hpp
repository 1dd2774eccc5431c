/// @file
/// @brief Latency histograms of requests, looked up once.
#pragma once

#include "core/metrics.hpp"
#include "gateway/routing_configuration.hpp"

#include <array>

namespace bamboochute::gateway {

/// @brief Histograms of one kind of request.
struct KindMetrics
{
    /// From the request's arrival to the end of its answer, of whatever outcome.
    LatencyHistogram *requestDuration = nullptr;
    /// From the arrival to the first event of a stream.
    LatencyHistogram *firstEventDelay = nullptr;
    /// Longest pause between two events of a stream.
    LatencyHistogram *longestEventGap = nullptr;
};

/// @brief The histograms that a gateway fills.
class RequestMetrics
{
public:
    explicit RequestMetrics(Metrics &metrics);

    const KindMetrics &forKind(RequestKind kind) const
    {
        return this->byKind[static_cast<std::size_t>(kind)];
    }

    /// Time that requests waited for a target that nobody held.
    LatencyHistogram &targetWait;

private:
    std::array<KindMetrics, 3> byKind;
};

} // namespace bamboochute::gateway
