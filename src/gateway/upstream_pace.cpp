#include "gateway/upstream_pace.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboochute::gateway {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

UpstreamEvidence *PaceMeter::find(const ServiceId &service, const UpstreamProcess &process)
{
    if (!this->limits.isEnabled)
        return nullptr;
    UpstreamEvidence &found = this->evidence[process];
    found.service = service;
    found.process = process;
    return &found;
}

void PaceMeter::recordStart(const ServiceId &service, const UpstreamProcess &process)
{
    if (UpstreamEvidence *found = this->find(service, process))
        ++found->inFlight;
}

void PaceMeter::recordFinish(const ServiceId &service, const UpstreamProcess &process)
{
    UpstreamEvidence *found = this->find(service, process);
    if (found != nullptr && found->inFlight > 0)
        --found->inFlight;
}

void PaceMeter::recordCompletion(const ServiceId &service, const UpstreamProcess &process,
                                 Duration measured, Duration expected)
{
    UpstreamEvidence *found = this->find(service, process);
    if (found == nullptr)
        return;
    ++found->completions;
    if (measured <= Duration(0))
        return;
    found->measuredSeconds += toSeconds(measured);
    found->expectedSeconds += toSeconds(expected);
}

void PaceMeter::recordFailure(const ServiceId &service, const UpstreamProcess &process)
{
    if (UpstreamEvidence *found = this->find(service, process))
        ++found->failures;
}

void PaceMeter::recordRefusal(const ServiceId &service, const UpstreamProcess &process)
{
    if (UpstreamEvidence *found = this->find(service, process))
        ++found->refusals;
}

void PaceMeter::recordWanted(const ServiceId &service, const UpstreamProcess &process)
{
    if (UpstreamEvidence *found = this->find(service, process))
        ++found->wanted;
}

std::vector<UpstreamEvidence> PaceMeter::takeEvidence()
{
    std::vector<UpstreamEvidence> taken;
    std::map<UpstreamProcess, UpstreamEvidence> remaining;
    for (const auto &[process, item] : this->evidence) {
        taken.push_back(item);
        if (item.inFlight == 0)
            continue;
        UpstreamEvidence &kept = remaining[process];
        kept.service = item.service;
        kept.process = process;
        kept.inFlight = item.inFlight;
    }
    this->evidence = std::move(remaining);
    return taken;
}

void PaceMeter::recordUpstreamStart(const UpstreamProcess &process, TimePoint now)
{
    if (!this->limits.isEnabled)
        return;
    const auto found = this->known.find(process.upstream);
    if (found != this->known.end() && found->second.state.process.startedAt >= process.startedAt)
        return;
    this->known[process.upstream] = Known{{process, 1, this->limits.firstLimit, 0, false},
                                          now + this->limits.firstStateTime};
}

void PaceMeter::receiveStates(const std::vector<UpstreamPaceState> &states, TimePoint now)
{
    if (!this->limits.isEnabled)
        return;
    for (const UpstreamPaceState &state : states) {
        const auto found = this->known.find(state.process.upstream);
        if (found == this->known.end()
            || found->second.state.process.startedAt <= state.process.startedAt)
            this->known[state.process.upstream] = Known{state, now + this->limits.stateTimeout};
    }
    std::erase_if(this->known, [&](const auto &item) { return item.second.until < now; });
}

const UpstreamPaceState *PaceMeter::findState(const UpstreamProcess &process, TimePoint now) const
{
    const auto found = this->known.find(process.upstream);
    if (found == this->known.end() || found->second.state.process.startedAt != process.startedAt
        || found->second.until < now)
        return nullptr;
    return &found->second.state;
}

double PaceMeter::speed(const UpstreamProcess &process, TimePoint now) const
{
    const UpstreamPaceState *state = this->findState(process, now);
    return state == nullptr
                   ? 1
                   : std::clamp(state->speed, this->limits.minSpeed, this->limits.maxSpeed);
}

bool PaceMeter::hasPlace(const UpstreamProcess &process, bool mayBeRetried, TimePoint now) const
{
    const UpstreamPaceState *state = this->findState(process, now);
    if (state == nullptr || !state->limit)
        return true;
    if (state->isProbed && !mayBeRetried)
        return false;
    const auto found = this->evidence.find(process);
    const std::uint32_t inFlight = found == this->evidence.end() ? 0 : found->second.inFlight;
    return inFlight < state->places;
}

bool PaceMeter::isProbed(const UpstreamProcess &process, TimePoint now) const
{
    const UpstreamPaceState *state = this->findState(process, now);
    return state != nullptr && state->limit && state->isProbed;
}

std::vector<UpstreamPaceState> PaceMeter::states(TimePoint now) const
{
    std::vector<UpstreamPaceState> states;
    for (const auto &[upstream, item] : this->known) {
        if (item.until >= now)
            states.push_back(item.state);
    }
    return states;
}

void PaceAggregate::Sums::add(const UpstreamEvidence &evidence)
{
    this->completions += evidence.completions;
    this->failures += evidence.failures;
    this->refusals += evidence.refusals;
    this->measured += evidence.measuredSeconds;
    this->expected += evidence.expectedSeconds;
}

void PaceAggregate::Sums::scale(double factor)
{
    this->completions *= factor;
    this->failures *= factor;
    this->refusals *= factor;
    this->measured *= factor;
    this->expected *= factor;
}

std::optional<double> PaceAggregate::Sums::slowness() const
{
    if (this->measured <= 0 || this->expected <= 0)
        return std::nullopt;
    return this->measured / this->expected;
}

void PaceAggregate::adopt(const std::vector<UpstreamPaceState> &states, TimePoint now)
{
    for (const UpstreamPaceState &state : states) {
        if (this->paces.contains(state.process.upstream))
            continue;
        Pace &pace = this->findOrAdd(state.process.upstream);
        pace.process = state.process;
        pace.heardAt = now;
        pace.speed = state.speed;
        if (state.limit)
            pace.limit = std::min(*state.limit, this->limits.maxLimit);
        pace.isProbed = state.isProbed;
        pace.stepBegin = now;
        pace.limitedAt = now;
    }
}

void PaceAggregate::recordUpstreamStart(const ServiceId &service, const UpstreamProcess &process,
                                        TimePoint now)
{
    const auto found = this->paces.find(process.upstream);
    if (found != this->paces.end() && found->second.process.startedAt >= process.startedAt)
        return;
    Pace &pace = this->findOrAdd(process.upstream);
    pace.service = service;
    pace.process = process;
    pace.heardAt = now;
    pace.speed = 1;
    pace.uses.clear();
    this->beginLimit(pace, pace.isProbed, now);
}

PaceAggregate::Pace &PaceAggregate::findOrAdd(const UpstreamId &upstream)
{
    if (!this->paces.contains(upstream) && this->paces.size() >= this->limits.maxUpstreams)
        this->paces.erase(std::min_element(
                this->paces.begin(), this->paces.end(),
                [](const auto &a, const auto &b) { return a.second.heardAt < b.second.heardAt; }));
    return this->paces[upstream];
}

void PaceAggregate::beginLimit(Pace &pace, bool hasFailed, TimePoint now)
{
    const bool isRepeated
            = pace.limitedAt != TimePoint() && now < pace.limitedAt + this->limits.flapTime;
    pace.flaps = isRepeated ? std::min(pace.flaps + 1, this->limits.maxFlaps) : 0;
    pace.limitedAt = now;
    pace.limit = this->limits.firstLimit;
    pace.recent = Sums();
    pace.step = Sums();
    pace.stepBegin = now;
    pace.bestSlowness.reset();
    pace.isProbed = hasFailed;
}

void PaceAggregate::receive(const InstanceId &reporter,
                            const std::vector<UpstreamEvidence> &evidence, TimePoint now,
                            bool isContinuation)
{
    this->reporters[reporter] = now;
    for (auto &[upstream, pace] : this->paces) {
        if (!isContinuation)
            pace.uses.erase(reporter);
    }
    for (const UpstreamEvidence &item : evidence) {
        const auto found = this->paces.find(item.process.upstream);
        const bool isKnown = found != this->paces.end();
        if (isKnown && item.process.startedAt < found->second.process.startedAt)
            continue;
        if (isKnown && item.process.startedAt > found->second.process.startedAt)
            this->recordUpstreamStart(item.service, item.process, now);
        Pace &pace = this->findOrAdd(item.process.upstream);
        pace.heardAt = now;
        pace.service = item.service;
        pace.process = item.process;
        pace.recent.add(item);
        pace.step.add(item);
        pace.isProbed = pace.isProbed && item.completions == 0;
        pace.uses[reporter] = Use{item.inFlight, item.wanted, 0};
    }
}

/// Returns the median of the upstreams' slowness for each service, of those without a limit where
/// there are any.
std::map<ServiceId, double> PaceAggregate::computeSlowness() const
{
    std::map<ServiceId, std::vector<double>> settled;
    std::map<ServiceId, std::vector<double>> all;
    for (const auto &[upstream, pace] : this->paces) {
        const std::optional<double> slowness = pace.recent.slowness();
        if (!slowness || pace.recent.completions < this->limits.minSamples)
            continue;
        all[pace.service].push_back(*slowness);
        if (!pace.limit)
            settled[pace.service].push_back(*slowness);
    }
    std::map<ServiceId, double> medians;
    for (auto &[service, values] : all) {
        std::vector<double> &used = settled.contains(service) ? settled[service] : values;
        const auto middle = used.begin() + static_cast<std::ptrdiff_t>(used.size() / 2);
        std::nth_element(used.begin(), middle, used.end());
        medians[service] = *middle;
    }
    return medians;
}

std::map<ServiceId, PaceAggregate::Peers> PaceAggregate::computePeers() const
{
    struct Total
    {
        double count = 0;
        double inFlight = 0;
        double refusals = 0;
        double responses = 0;
    };
    std::map<ServiceId, Total> totals;
    for (const auto &[upstream, pace] : this->paces) {
        if (pace.limit)
            continue;
        Total &total = totals[pace.service];
        ++total.count;
        for (const auto &[reporter, use] : pace.uses)
            total.inFlight += use.inFlight;
        total.refusals += pace.recent.refusals;
        total.responses += pace.recent.refusals + pace.recent.completions;
    }
    std::map<ServiceId, Peers> peers;
    for (const auto &[service, total] : totals)
        peers[service] = {total.inFlight / total.count,
                          total.responses > 0 ? total.refusals / total.responses : 0};
    return peers;
}

void PaceAggregate::update(TimePoint now)
{
    const double age = this->updatedAt ? toSeconds(now - *this->updatedAt) : 0;
    this->updatedAt = now;
    std::erase_if(this->reporters,
                  [&](const auto &item) { return item.second + this->limits.reportTimeout < now; });
    const double weight = std::exp2(-age / toSeconds(this->limits.evidenceHalfLife));
    const double speedWeight = std::exp2(-age / toSeconds(this->limits.speedHalfLife));
    for (auto &[upstream, pace] : this->paces) {
        std::erase_if(pace.uses,
                      [&](const auto &item) { return !this->reporters.contains(item.first); });
        pace.recent.scale(weight);
    }
    const std::map<ServiceId, double> slowness = this->computeSlowness();
    const std::map<ServiceId, Peers> peers = this->computePeers();
    ++this->rotation;
    for (auto &[upstream, pace] : this->paces) {
        const auto median = slowness.find(pace.service);
        const double serviceSlowness = median == slowness.end() ? 0 : median->second;
        const std::optional<double> own = pace.recent.slowness();
        if (own && serviceSlowness > 0 && pace.recent.completions >= this->limits.minSamples)
            pace.speed = std::clamp(serviceSlowness / *own, this->limits.minSpeed,
                                    this->limits.maxSpeed);
        else
            pace.speed = 1 + (pace.speed - 1) * speedWeight;
        if (now >= pace.limitedAt + this->limits.probeTime)
            pace.isProbed = false;
        // One that is limited responds fast because it has less to do than its peers.
        if (pace.limit)
            pace.speed = std::min(pace.speed, 1.0);
        if (!pace.limit && pace.recent.failures >= this->limits.minFailures
            && pace.recent.failures > pace.recent.completions)
            this->beginLimit(pace, true, now);
        if (pace.limit) {
            const auto found = peers.find(pace.service);
            this->endStep(pace, serviceSlowness, found == peers.end() ? Peers() : found->second,
                          now);
        }
        if (pace.limit)
            this->givePlaces(pace);
        if (pace.limit || std::abs(pace.speed - 1) > this->limits.minDifference)
            pace.notableAt = now;
    }
}

/// Cuts, doubles or ends a limit once there is enough evidence for it.
void PaceAggregate::endStep(Pace &pace, double serviceSlowness, const Peers &peers, TimePoint now)
{
    if (now < pace.stepBegin + this->limits.stepTime * (1 << pace.flaps))
        return;
    const Sums &step = pace.step;
    const double responses = step.completions + step.failures;
    const std::optional<double> slowness = step.slowness();
    const bool isSlow = slowness && serviceSlowness > 0
                        && *slowness > this->limits.maxSlowness * serviceSlowness
                        && pace.bestSlowness
                        && *slowness > this->limits.maxSlowness * *pace.bestSlowness;
    // A service that is short of capacity refuses requests at all of its upstreams.
    const bool isRefusing = step.refusals > peers.refusalShare * (step.refusals + step.completions);
    const bool isBad
            = isRefusing || isSlow || step.failures > this->limits.maxFailureShare * responses;
    if (!isBad && step.completions < *pace.limit / 2.0)
        return;
    if (slowness)
        pace.bestSlowness = std::min(pace.bestSlowness.value_or(*slowness), *slowness);
    if (isBad)
        pace.limit = std::max(this->limits.firstLimit, *pace.limit / 2);
    else if (*pace.limit >= this->limits.maxLimit
             || *pace.limit >= std::max<double>(this->limits.minLiftedLimit,
                                                peers.inFlight * pace.speed))
        pace.limit.reset();
    else
        pace.limit = std::min(*pace.limit * 2, this->limits.maxLimit);
    pace.step = Sums();
    pace.stepBegin = now;
}

/// Gives the places first to the instances that use them, then to those that wanted one.
void PaceAggregate::givePlaces(Pace &pace)
{
    std::uint32_t left = *pace.limit;
    std::vector<std::pair<std::uint32_t, InstanceId>> order;
    for (const auto &[reporter, reportedAt] : this->reporters) {
        Use &use = pace.uses[reporter];
        use.places = std::min(use.inFlight, left);
        left -= use.places;
        order.emplace_back(use.wanted, reporter);
    }
    if (order.empty())
        return;
    std::rotate(order.begin(),
                order.begin() + static_cast<std::ptrdiff_t>(this->rotation % order.size()),
                order.end());
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &a, const auto &b) { return a.first > b.first; });
    for (std::size_t i = 0; left > 0; ++i, --left)
        ++pace.uses[order[i % order.size()].second].places;
}

std::vector<UpstreamPaceState> PaceAggregate::computeStates(const InstanceId &receiver) const
{
    std::vector<UpstreamPaceState> states;
    for (const auto &[upstream, pace] : this->paces) {
        if (pace.notableAt == TimePoint()
            || pace.notableAt + this->limits.stateTimeout < *this->updatedAt)
            continue;
        const auto use = pace.uses.find(receiver);
        const std::uint32_t places = use == pace.uses.end() ? 0 : use->second.places;
        // The places of a limit set the pace; a low speed as well would keep evidence from coming.
        const double speed = pace.limit ? 1 : pace.speed;
        states.push_back({pace.process, speed, pace.limit, pace.limit ? places : 0,
                          pace.limit && pace.isProbed});
    }
    return states;
}

std::optional<std::uint32_t> PaceAggregate::limit(const UpstreamId &upstream) const
{
    const auto found = this->paces.find(upstream);
    return found == this->paces.end() ? std::nullopt : found->second.limit;
}

double PaceAggregate::speed(const UpstreamId &upstream) const
{
    const auto found = this->paces.find(upstream);
    return found == this->paces.end() ? 1 : found->second.speed;
}

} // namespace bamboochute::gateway
