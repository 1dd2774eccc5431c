#include "gateway/queue_forecast.hpp"

namespace bamboochute::gateway {

void QueueForecast::observed(const ServiceId &service, std::uint32_t waiting, Duration firstEvent)
{
    if (waiting < this->limits.leastWaiting)
        return;
    const double each = toSeconds(firstEvent) / (waiting + 1);
    const auto [place, isNew] = this->secondsEach.try_emplace(service, each);
    if (!isNew)
        place->second += this->limits.newestWeight * (each - place->second);
}

Duration QueueForecast::behind(const ServiceId &service, std::uint32_t waiting) const
{
    const auto found = this->secondsEach.find(service);
    const double each
            = found == this->secondsEach.end() ? toSeconds(this->limits.firstGuess) : found->second;
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(each * (waiting + 1)));
}

std::optional<Duration> QueueForecast::excess(const ServiceId &service, const EngineQueue &queue,
                                              Duration objective) const
{
    std::uint32_t ahead = queue.waiting;
    for (std::uint32_t rank = 0; rank < queue.lessUrgentRanks; ++rank)
        ahead /= this->limits.waitingByRank;
    const Duration wait = this->behind(service, ahead);
    if (wait <= objective * this->limits.waitObjectives)
        return std::nullopt;
    return wait - objective;
}

} // namespace bamboochute::gateway
