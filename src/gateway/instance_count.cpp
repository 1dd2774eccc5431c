#include "gateway/instance_count.hpp"

namespace bamboochute::gateway {

void InstanceCount::record(std::uint32_t count, TimePoint now)
{
    if (count == 0)
        return;
    while (!this->announced.empty() && this->announced.front().first + this->memory < now)
        this->announced.pop_front();
    while (!this->announced.empty() && this->announced.back().second <= count)
        this->announced.pop_back();
    this->announced.emplace_back(now, count);
}

std::optional<std::uint32_t> InstanceCount::value(TimePoint now) const
{
    for (const auto &[time, count] : this->announced) {
        if (time + this->memory >= now || time == this->announced.back().first)
            return count;
    }
    return std::nullopt;
}

} // namespace bamboochute::gateway
