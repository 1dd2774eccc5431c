#include "gateway/request_metrics.hpp"

#include <fmt/format.h>

namespace bamboochute::gateway {

RequestMetrics::RequestMetrics(Metrics &metrics)
    : targetWait(metrics.histogram("bamboochute_target_wait_seconds"))
{
    for (std::size_t i = 0; i < this->byKind.size(); ++i) {
        const std::string label
                = fmt::format("kind=\"{}\"", requestKindName(static_cast<RequestKind>(i)));
        this->byKind[i].requestDuration = &metrics.histogram("bamboochute_request_seconds", label);
    }
    KindMetrics &stream = this->byKind[static_cast<std::size_t>(RequestKind::Stream)];
    stream.firstEventDelay = &metrics.histogram("bamboochute_first_event_seconds");
    stream.longestEventGap = &metrics.histogram("bamboochute_longest_event_gap_seconds");
}

} // namespace bamboochute::gateway
