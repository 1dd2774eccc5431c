/// @file
/// @brief Metrics of the request path, looked up once by name.
#pragma once

#include "core/error.hpp"
#include "core/metrics.hpp"

#include <vector>

namespace bamboochute::caller {

/// @brief References to the metrics that requests update.
class RequestMetrics
{
public:
    /// @param metrics that hold the counters; must outlive this object
    explicit RequestMetrics(Metrics &metrics)
        : requests(metrics.counter("bamboochute_requests_total"))
        , answers(metrics.counter("bamboochute_answers_total"))
        , unanswered(metrics.counter("bamboochute_unanswered_requests_total"))
        , connections(metrics.gauge("bamboochute_caller_connections"))
        , refusedConnections(metrics.counter("bamboochute_refused_connections_total"))
        , cancelledUpstream(metrics.counter("bamboochute_upstream_cancels_total"))
        , failedCancels(metrics.counter("bamboochute_upstream_cancel_failures_total"))
        , resumedStreams(metrics.counter("bamboochute_streams_resumed_total"))
        , replayedOperations(metrics.counter("bamboochute_operations_replayed_total"))
        , upstreamAttempts(metrics.counter("bamboochute_upstream_attempts_total"))
        , latency(metrics.histogram("bamboochute_request_seconds"))
    {
        for (const ErrorRow &row : errorTable())
            this->errors.push_back(&metrics.errors(row.kind));
    }

    void countError(ErrorKind kind) { this->errors[static_cast<std::size_t>(kind)]->add(); }

    Counter &requests;
    Counter &answers;
    Counter &unanswered;
    Gauge &connections;
    Counter &refusedConnections;
    Counter &cancelledUpstream;
    Counter &failedCancels;
    Counter &resumedStreams;
    Counter &replayedOperations;
    Counter &upstreamAttempts;
    LatencyHistogram &latency;

private:
    std::vector<Counter *> errors;
};

} // namespace bamboochute::caller
