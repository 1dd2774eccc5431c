#include "gateway/request_metrics.hpp"

#include <fmt/format.h>

namespace bamboochute::gateway {

RequestMetrics::RequestMetrics(Metrics &metrics)
    : targetWait(metrics.histogram("bamboochute_target_wait_seconds"))
{
    constexpr std::array<std::string_view, 3> names{"idempotent", "non_idempotent", "stream"};
    for (std::size_t i = 0; i < names.size(); ++i) {
        const std::string label = fmt::format("kind=\"{}\"", names[i]);
        this->byKind[i].requestDuration = &metrics.histogram("bamboochute_request_seconds", label);
    }
    KindMetrics &stream = this->byKind[static_cast<std::size_t>(RequestKind::Stream)];
    stream.firstEventDelay = &metrics.histogram("bamboochute_first_event_seconds");
    stream.longestEventGap = &metrics.histogram("bamboochute_longest_event_gap_seconds");
}

} // namespace bamboochute::gateway
