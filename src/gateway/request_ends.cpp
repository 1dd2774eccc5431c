#include "gateway/request_ends.hpp"

#include <fmt/format.h>

namespace bamboochute::gateway {

std::string_view requestEndName(RequestEnd end) noexcept
{
    constexpr std::array<std::string_view, 6> names{"answered",    "refused", "cut",
                                                    "caller_gone", "unread",  "unanswered"};
    return names[static_cast<std::size_t>(end)];
}

RequestEnds::RequestEnds(Metrics &metrics)
    : readCount(metrics.counter("bamboochute_requests_read_total"))
{
    for (std::size_t i = 0; i < endKinds; ++i) {
        const std::string label
                = fmt::format("end=\"{}\"", requestEndName(static_cast<RequestEnd>(i)));
        this->endCounts[i] = &metrics.counter("bamboochute_request_ends_total", label);
    }
}

} // namespace bamboochute::gateway
