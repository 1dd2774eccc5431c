#include "gateway/upstream_limits.hpp"

#include "core/bounded_duration.hpp"

#include <algorithm>

namespace bamboochute::gateway {

namespace {

Duration fromSeconds(double seconds)
{
    return toBoundedDuration(std::chrono::duration<double>(seconds));
}

/// Makes room for the bucket of a process; one that is dropped begins empty if it is needed again.
void makeRoomFor(const UpstreamProcess &process, std::map<UpstreamProcess, PermitBucket> &buckets,
                 std::size_t maxUpstreams)
{
    if (buckets.size() >= maxUpstreams && !buckets.contains(process))
        buckets.erase(buckets.begin());
}

} // namespace

bool UpstreamLimits::recordAnswer(const UpstreamProcess &process,
                                  std::optional<double> requestsPerSecond, TimePoint now)
{
    const auto found = this->states.find(process);
    if (!requestsPerSecond) {
        if (found == this->states.end() || !found->second.requestsPerSecond)
            return false;
        if (++found->second.answersWithout < this->settings.answersToEnd)
            return false;
        return this->set(found->second, std::nullopt, now);
    }
    if (found == this->states.end())
        this->makeRoom();
    return this->set(this->states[process], requestsPerSecond, now);
}

bool UpstreamLimits::learn(const LimitReport &report, TimePoint now)
{
    const TimePoint saidAt = now - std::max(Duration(0), report.age);
    const auto found = this->states.find(report.process);
    if (found == this->states.end() && !report.requestsPerSecond)
        return false;
    if (found != this->states.end() && found->second.saidAt >= saidAt)
        return false;
    if (found == this->states.end())
        this->makeRoom();
    return this->set(this->states[report.process], report.requestsPerSecond, saidAt);
}

bool UpstreamLimits::set(State &state, std::optional<double> requestsPerSecond,
                         TimePoint saidAt) const
{
    if (requestsPerSecond)
        requestsPerSecond = std::clamp(*requestsPerSecond, this->settings.minRequestsPerSecond,
                                       this->settings.maxRequestsPerSecond);
    const bool isChange = state.requestsPerSecond != requestsPerSecond;
    state = {requestsPerSecond, saidAt, 0};
    return isChange;
}

void UpstreamLimits::makeRoom()
{
    if (this->states.size() < this->settings.maxUpstreams)
        return;
    const auto oldest = std::min_element(
            this->states.begin(), this->states.end(),
            [](const auto &a, const auto &b) { return a.second.saidAt < b.second.saidAt; });
    this->states.erase(oldest);
}

std::optional<double> UpstreamLimits::limitOf(const UpstreamProcess &process) const
{
    const auto found = this->states.find(process);
    return found == this->states.end() ? std::nullopt : found->second.requestsPerSecond;
}

LimitReport UpstreamLimits::reportOf(const UpstreamProcess &process, TimePoint now) const
{
    const auto found = this->states.find(process);
    if (found == this->states.end())
        return {process, std::nullopt, Duration(0)};
    return {process, found->second.requestsPerSecond,
            std::max(Duration(0), now - found->second.saidAt)};
}

std::vector<LimitReport> UpstreamLimits::reports(TimePoint now) const
{
    std::vector<LimitReport> all;
    for (const auto &[process, state] : this->states) {
        if (state.requestsPerSecond)
            all.push_back(this->reportOf(process, now));
    }
    return all;
}

PermitDecision PermitBucket::take(double rate, double capacity, TimePoint now)
{
    const double added = rate * std::max(0.0, toSeconds(now - this->filledAt));
    this->permits = std::min(capacity, this->permits + added);
    this->filledAt = std::max(this->filledAt, now);
    if (this->permits >= 1) {
        this->permits -= 1;
        return {};
    }
    return {false, fromSeconds((1 - this->permits) / rate)};
}

PermitDecision PermitIssuer::take(const UpstreamProcess &process, double requestsPerSecond,
                                  TimePoint now)
{
    makeRoomFor(process, this->buckets, this->settings.maxUpstreams);
    // A former issuer may just have issued permits.
    const auto bucket = this->buckets.try_emplace(process, 0.0, now).first;
    const double capacity = 1 + this->settings.burstSeconds * requestsPerSecond;
    return bucket->second.take(requestsPerSecond, capacity, now);
}

PermitDecision OwnPermits::take(const UpstreamProcess &process, double requestsPerSecond,
                                std::uint32_t instances, TimePoint now)
{
    makeRoomFor(process, this->buckets, this->settings.maxUpstreams);
    const auto [bucket, isNew] = this->buckets.try_emplace(process, 0.0, now);
    if (isNew)
        bucket->second = PermitBucket(this->random.unit(), now);
    const double rate = requestsPerSecond * this->settings.shareWithoutIssuer
                        / std::max<std::uint32_t>(1, instances);
    return bucket->second.take(rate, 1, now);
}

} // namespace bamboochute::gateway
