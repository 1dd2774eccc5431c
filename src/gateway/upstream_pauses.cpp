#include "gateway/upstream_pauses.hpp"

#include <algorithm>

namespace bamboochute::gateway {

void UpstreamPauses::record(const UpstreamProcess &process, Duration pause, TimePoint now)
{
    if (pause <= Duration(0))
        return;
    TimePoint until = now + std::min(pause, this->limits.longestPause);
    const auto known = this->pauses.find(process.upstream);
    if (known != this->pauses.end() && known->second.startedAt == process.startedAt)
        until = std::max(until, known->second.until);
    if (known == this->pauses.end() && this->pauses.size() >= this->limits.maxUpstreams)
        this->pauses.erase(std::min_element(
                this->pauses.begin(), this->pauses.end(),
                [](const auto &a, const auto &b) { return a.second.until < b.second.until; }));
    this->pauses[process.upstream] = {process.startedAt, now, until, {}};
}

void UpstreamPauses::recordAnswer(const UpstreamProcess &process, TimePoint now)
{
    const Pause *pause = this->find(process, now);
    if (pause != nullptr && pause->until <= now)
        this->pauses.erase(process.upstream);
}

void UpstreamPauses::recordSend(const UpstreamProcess &process, TimePoint now)
{
    const Pause *pause = this->find(process, now);
    if (pause != nullptr && pause->until <= now)
        this->pauses[process.upstream].firstSentAt = now;
}

std::optional<Duration> UpstreamPauses::waitFor(const UpstreamProcess &process, TimePoint now) const
{
    const Pause *pause = this->find(process, now);
    if (pause == nullptr)
        return std::nullopt;
    if (pause->until > now)
        return pause->until - now;
    const TimePoint nextAt = pause->firstSentAt + this->limits.firstRequestTime;
    if (pause->firstSentAt == TimePoint() || nextAt <= now)
        return std::nullopt;
    return nextAt - now;
}

bool UpstreamPauses::isPaused(const UpstreamProcess &process, TimePoint now) const
{
    const Pause *pause = this->find(process, now);
    return pause != nullptr && pause->until > now;
}

/// Returns the pause that holds for a process; null if there is none.
const UpstreamPauses::Pause *UpstreamPauses::find(const UpstreamProcess &process,
                                                  TimePoint now) const
{
    const auto found = this->pauses.find(process.upstream);
    if (found == this->pauses.end())
        return nullptr;
    const Pause &pause = found->second;
    const bool holds = pause.startedAt == process.startedAt
                       || now < pause.recordedAt + this->limits.processChangeTime;
    return holds ? &pause : nullptr;
}

} // namespace bamboochute::gateway
