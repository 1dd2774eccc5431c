#include "admission/router.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::admission {

namespace {

/// Share of the slots that classes below the highest engine priority leave free.
constexpr double headroomShare = 0.03;
/// Slots of each upstream that the class with the highest priority may use beyond the share.
constexpr std::uint32_t overflowSlots = 1;

bool contains(const std::vector<UpstreamId> &list, const UpstreamId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool hasHighestPriority(const CallerClass &callerClass, const std::vector<CallerClass> &classes)
{
    return std::none_of(classes.begin(), classes.end(), [&](const auto &other) {
        return other.enginePriority > callerClass.enginePriority;
    });
}

} // namespace

std::uint64_t prefixHash(std::string_view prompt)
{
    if (prompt.size() < prefixBytes)
        return 0;
    return std::max<std::uint64_t>(1, stableHash(prompt.substr(0, prefixBytes)));
}

std::uint32_t headroomFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes,
                          std::uint32_t slots)
{
    if (hasHighestPriority(callerClass, classes))
        return 0;
    return static_cast<std::uint32_t>(std::lround(headroomShare * slots));
}

std::uint32_t overflowFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes)
{
    const bool isSinglePriority
            = std::all_of(classes.begin(), classes.end(), [&](const auto &other) {
                  return other.enginePriority == callerClass.enginePriority;
              });
    return !isSinglePriority && hasHighestPriority(callerClass, classes) ? overflowSlots : 0;
}

Router::Router(DataCentreId dataCentre, std::uint64_t seed, RouterLimits limits)
    : dataCentre(std::move(dataCentre))
    , limits(limits)
    , random(seed)
    , table(std::make_shared<RoutingTable>())
    , recentRequests(limits.recentRequestDecayTime)
{}

void Router::update(RoutingTablePointer table)
{
    BC_INVARIANT(table != nullptr, "a routing table is never absent");
    this->table = std::move(table);
    this->updateSmoothedLoads();
    std::erase_if(this->ownInFlight, [this](const auto &entry) {
        return entry.second == 0 && !this->table->upstreams.contains(entry.first);
    });
    this->recentRequests.removeIf(
            [this](const UpstreamId &id) { return !this->table->upstreams.contains(id); });
}

void Router::setShare(std::uint32_t index, std::uint32_t instances)
{
    this->instanceCount = std::max(1U, instances);
    this->instanceIndex = index % this->instanceCount;
}

std::vector<UpstreamId> Router::replicas(const Target &target) const
{
    const auto found = this->table->replicas.find(target);
    if (found == this->table->replicas.end())
        return {};
    std::vector<UpstreamId> usable;
    for (const UpstreamId &id : found->second) {
        const auto state = this->table->upstreams.find(id);
        if (state != this->table->upstreams.end() && !state->second.isLeaving)
            usable.push_back(id);
    }
    return usable;
}

std::vector<UpstreamId> Router::services(const PoolId &pool) const
{
    std::vector<UpstreamId> usable;
    for (const auto &[id, state] : this->table->upstreams) {
        const bool isService = state.spec.kind == UpstreamKind::Service;
        if (isService && state.spec.pool == pool && !state.isLeaving)
            usable.push_back(id);
    }
    return usable;
}

std::uint32_t Router::slots(const std::vector<UpstreamId> &candidates) const
{
    std::uint32_t total = 0;
    for (const UpstreamId &id : candidates) {
        const auto state = this->table->upstreams.find(id);
        total += state == this->table->upstreams.end() ? 0 : this->instanceShare(state->second);
    }
    return total;
}

std::optional<UpstreamId> Router::pick(const RouteQuery &query, const Ejector &ejector,
                                       TimePoint now)
{
    const std::vector<FreeUpstream> freeUpstreams = this->freeUpstreams(query, ejector, now);
    if (freeUpstreams.empty())
        return std::nullopt;
    const FreeUpstream *chosen
            = query.prefix == 0 ? nullptr : this->pickByPrefix(freeUpstreams, query.prefix, now);
    if (chosen == nullptr)
        chosen = this->pickByLoad(freeUpstreams);
    BC_INVARIANT(!chosen->state->isLeaving, "a leaving upstream gets no new work");
    BC_INVARIANT(chosen->inFlight < chosen->maxInFlight, "an upstream is used within its bound");
    return chosen->state->spec.id;
}

bool Router::canPick(const RouteQuery &query, const Ejector &ejector, TimePoint now) const
{
    return !this->freeUpstreams(query, ejector, now).empty();
}

void Router::recordStart(const UpstreamId &upstream, TimePoint now)
{
    ++this->ownInFlight[upstream];
    this->recentRequests.add(upstream, now);
}

void Router::recordFinish(const UpstreamId &upstream)
{
    const auto found = this->ownInFlight.find(upstream);
    BC_INVARIANT(found != this->ownInFlight.end() && found->second > 0,
                 "a request that finishes was started");
    if (--found->second == 0 && !this->table->upstreams.contains(upstream))
        this->ownInFlight.erase(found);
}

std::uint32_t Router::inFlight(const UpstreamId &upstream) const
{
    const auto found = this->ownInFlight.find(upstream);
    return found == this->ownInFlight.end() ? 0 : found->second;
}

std::vector<Router::FreeUpstream> Router::freeUpstreams(const RouteQuery &query,
                                                        const Ejector &ejector, TimePoint now) const
{
    const std::vector<UpstreamId> usable = ejector.selectUsable(query.candidates, now);
    std::vector<FreeUpstream> available = this->freeUpstreamsWithin(query, usable, 0);
    if (available.empty() && query.overflow > 0)
        available = this->freeUpstreamsWithin(query, usable, query.overflow);
    return available;
}

std::vector<Router::FreeUpstream> Router::freeUpstreamsWithin(const RouteQuery &query,
                                                              const std::vector<UpstreamId> &usable,
                                                              std::uint32_t overflow) const
{
    std::vector<FreeUpstream> available;
    std::uint32_t freeSlots = 0;
    for (const UpstreamId &id : usable) {
        const auto found = this->table->upstreams.find(id);
        const bool isKnown = found != this->table->upstreams.end();
        if (!isKnown || found->second.isLeaving || contains(query.excluded, id))
            continue;
        const std::uint32_t inFlight = this->inFlight(id);
        const std::uint32_t maxInFlight = this->maxInFlight(found->second, overflow);
        if (inFlight >= maxInFlight)
            continue;
        available.push_back({&found->second, inFlight, maxInFlight});
        freeSlots += maxInFlight - inFlight;
    }
    if (freeSlots <= query.headroom)
        available.clear();
    return available;
}

std::uint32_t Router::instanceShare(const UpstreamState &state) const
{
    const std::uint64_t slots = state.spec.maxConcurrent;
    const std::uint64_t count = this->instanceCount;
    const std::uint64_t position
            = (this->instanceIndex + stableHash(state.spec.id.value())) % count;
    const std::uint64_t instanceShare = (position + 1) * slots / count - position * slots / count;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, instanceShare));
}

std::uint32_t Router::maxInFlight(const UpstreamState &state, std::uint32_t overflow) const
{
    const std::uint32_t slots = state.spec.maxConcurrent;
    const auto borrowableSlots = static_cast<std::uint32_t>(this->limits.borrowBelowLoad * slots);
    const std::uint32_t spare
            = borrowableSlots > state.reportedLoad ? borrowableSlots - state.reportedLoad : 0;
    return std::min(std::max(1U, slots), this->instanceShare(state) + spare + overflow);
}

void Router::updateSmoothedLoads()
{
    for (const auto &[id, state] : this->table->upstreams) {
        const double slots = std::max(1U, state.spec.maxConcurrent);
        const double reported = state.reportedLoad / slots;
        double &smoothed = this->smoothedLoad.try_emplace(id, reported).first->second;
        smoothed += this->limits.newReportWeight * (reported - smoothed);
    }
    std::erase_if(this->smoothedLoad, [this](const auto &entry) {
        return !this->table->upstreams.contains(entry.first);
    });
}

double Router::meanSmoothedLoad(const std::vector<FreeUpstream> &freeUpstreams) const
{
    double total = 0;
    for (const FreeUpstream &upstream : freeUpstreams)
        total += this->smoothedLoad.at(upstream.state->spec.id);
    return total / static_cast<double>(freeUpstreams.size());
}

double Router::cost(const FreeUpstream &upstream, double meanSmoothedLoad) const
{
    const double slots = std::max(1U, upstream.state->spec.maxConcurrent);
    const double ownLoad = upstream.inFlight * static_cast<double>(this->instanceCount) / slots;
    const double smoothed = this->smoothedLoad.at(upstream.state->spec.id);
    const double excessLoad
            = std::max(0.0, smoothed - meanSmoothedLoad - this->limits.reportTolerance);
    const bool isLocal = upstream.state->spec.dataCentre == this->dataCentre;
    const double distanceCost = isLocal ? 0.0 : this->limits.otherDataCentreCost;
    return ownLoad + excessLoad + distanceCost;
}

const Router::FreeUpstream *Router::pickByPrefix(const std::vector<FreeUpstream> &freeUpstreams,
                                                 std::uint64_t prefix, TimePoint now) const
{
    double total = this->recentRequests.eventWeight(now);
    for (const FreeUpstream &upstream : freeUpstreams)
        total += this->recentRequests.weightedCount(upstream.state->spec.id);
    const double mean = total / static_cast<double>(freeUpstreams.size());
    const double limit = std::max(this->recentRequests.eventWeight(now),
                                  this->limits.affinityLoadBound * mean);
    const FreeUpstream *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const FreeUpstream &upstream : freeUpstreams) {
        const UpstreamId &id = upstream.state->spec.id;
        const std::uint64_t rank = stableHash(id.value(), prefix);
        const bool isWithin = this->recentRequests.weightedCount(id) <= limit;
        if (isWithin && (best == nullptr || rank > bestRank)) {
            best = &upstream;
            bestRank = rank;
        }
    }
    return best;
}

const Router::FreeUpstream *Router::pickByLoad(const std::vector<FreeUpstream> &freeUpstreams)
{
    const FreeUpstream *best = nullptr;
    double bestCost = 0;
    const double mean = this->meanSmoothedLoad(freeUpstreams);
    for (std::uint32_t i = 0; i < std::max(1U, this->limits.sampleSize); ++i) {
        const FreeUpstream &sampled = freeUpstreams[this->random.below(freeUpstreams.size())];
        const double cost = this->cost(sampled, mean);
        if (best == nullptr || cost < bestCost) {
            best = &sampled;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace bamboochute::admission
