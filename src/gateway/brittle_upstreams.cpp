#include "gateway/brittle_upstreams.hpp"

#include <algorithm>

namespace bamboochute::gateway {

namespace {

/// Sends that are counted for the rate; more tell nothing new.
constexpr std::size_t maxCountedSends = 1024;

} // namespace

void BrittleUpstreams::recordStatement(const UpstreamProcess &process, bool isBrittle,
                                       TimePoint now)
{
    if (!isBrittle) {
        this->states.erase(process);
        return;
    }
    if (!this->states.contains(process))
        this->makeRoom();
    this->states[process].saidAt = now;
}

void BrittleUpstreams::makeRoom()
{
    if (this->states.size() < this->limits.maxUpstreams)
        return;
    this->states.erase(std::min_element(
            this->states.begin(), this->states.end(),
            [](const auto &a, const auto &b) { return a.second.saidAt < b.second.saidAt; }));
}

bool BrittleUpstreams::isBrittle(const UpstreamProcess &process) const
{
    return this->states.contains(process);
}

void BrittleUpstreams::recordSend(const UpstreamProcess &process, TimePoint now)
{
    const auto found = this->states.find(process);
    if (found == this->states.end())
        return;
    std::deque<TimePoint> &sends = found->second.sends;
    sends.push_back(now);
    while (sends.front() + this->limits.rateWindow < now || sends.size() > maxCountedSends)
        sends.pop_front();
}

std::optional<double> BrittleUpstreams::recordRejection(const ServiceId &service,
                                                        const UpstreamProcess &process,
                                                        std::optional<double> present,
                                                        std::uint32_t instances, TimePoint now)
{
    const auto found = this->states.find(process);
    if (found == this->states.end())
        return std::nullopt;
    State &state = found->second;
    if (state.cutAt != TimePoint() && now < state.cutAt + this->limits.cutInterval)
        return std::nullopt;
    state.cutAt = now;
    state.grownAt = now;
    const auto recent = std::count_if(state.sends.begin(), state.sends.end(), [&](TimePoint sent) {
        return sent + this->limits.rateWindow >= now;
    });
    const double sent = static_cast<double>(std::max<std::ptrdiff_t>(recent, 1))
                        * std::max<std::uint32_t>(instances, 1)
                        / toSeconds(this->limits.rateWindow);
    const double rate = std::min(present.value_or(sent), sent);
    const double cut = std::max(this->limits.minRate, rate * this->limits.cutFactor);
    this->services[service] = {cut, now};
    return cut;
}

std::optional<double> BrittleUpstreams::startLimit(const ServiceId &service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.at + this->limits.serviceMemory < now)
        return std::nullopt;
    return std::max(this->limits.minRate, found->second.rate * this->limits.cutFactor);
}

std::optional<double> BrittleUpstreams::grow(const UpstreamProcess &process, double present,
                                             TimePoint now)
{
    const auto found = this->states.find(process);
    if (found == this->states.end())
        return std::nullopt;
    State &state = found->second;
    if (state.grownAt == TimePoint())
        state.grownAt = now;
    const Duration passed = now - state.grownAt;
    if (passed < this->limits.rateWindow)
        return std::nullopt;
    state.grownAt = now;
    return present * (1 + this->limits.growthPerSecond * toSeconds(passed));
}

} // namespace bamboochute::gateway
