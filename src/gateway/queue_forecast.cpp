#include "gateway/queue_forecast.hpp"

#include "core/bounded_duration.hpp"

namespace bamboochute::gateway {

void QueueForecast::recordFirstEvent(const ServiceId &service, std::uint32_t waiting,
                                     Duration firstEventDelay)
{
    if (waiting < this->limits.minWaiting)
        return;
    const double seconds = toSeconds(firstEventDelay) / (waiting + 1.0);
    const auto [position, isNew] = this->secondsPerRequest.try_emplace(service, seconds);
    if (!isNew)
        position->second += this->limits.smoothingFactor * (seconds - position->second);
}

Duration QueueForecast::predictFirstEventDelay(const ServiceId &service,
                                               std::uint32_t waiting) const
{
    const auto found = this->secondsPerRequest.find(service);
    const double seconds = found == this->secondsPerRequest.end()
                                   ? toSeconds(this->limits.initialTimePerRequest)
                                   : found->second;
    return toBoundedDuration(std::chrono::duration<double>(seconds * (waiting + 1.0)));
}

std::optional<Duration> QueueForecast::predictLateness(const ServiceId &service,
                                                       const EngineQueue &queue,
                                                       Duration objective) const
{
    std::uint32_t ahead = queue.waiting;
    for (std::uint32_t priority = 0; priority < queue.lessUrgentPriorities; ++priority)
        ahead /= this->limits.waitingDivisorPerPriority;
    const Duration wait = this->predictFirstEventDelay(service, ahead);
    if (wait <= objective * this->limits.maxWaitObjectives)
        return std::nullopt;
    return wait - objective;
}

} // namespace bamboochute::gateway
