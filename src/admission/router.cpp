#include "admission/router.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::admission {

namespace {

/// Share of the slots that less important classes leave free.
constexpr double headroomShare = 0.03;
/// Slots of each upstream that the most important class may use beyond the instance's share.
constexpr std::uint32_t overflowSlots = 1;

bool contains(const std::vector<UpstreamId> &list, const UpstreamId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool isMostImportant(const CallerClass &callerClass, const std::vector<CallerClass> &classes)
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
    if (isMostImportant(callerClass, classes))
        return 0;
    return static_cast<std::uint32_t>(std::lround(headroomShare * slots));
}

std::uint32_t overflowFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes)
{
    const bool isOnly = std::all_of(classes.begin(), classes.end(), [&](const auto &other) {
        return other.enginePriority == callerClass.enginePriority;
    });
    return !isOnly && isMostImportant(callerClass, classes) ? overflowSlots : 0;
}

Router::Router(DataCentreId dataCentre, std::uint64_t seed, RouterLimits limits)
    : dataCentre(std::move(dataCentre))
    , limits(limits)
    , random(seed)
    , table(std::make_shared<RoutingTable>())
    , recentRequests(limits.recentTime)
{}

void Router::update(RoutingTablePointer table)
{
    BC_INVARIANT(table != nullptr, "a routing table is never absent");
    this->table = std::move(table);
    this->smoothLoads();
    std::erase_if(this->ownInFlight, [this](const auto &entry) {
        return entry.second == 0 && !this->table->upstreams.contains(entry.first);
    });
    this->recentRequests.forgetIf(
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
        total += state == this->table->upstreams.end() ? 0 : this->share(state->second);
    }
    return total;
}

std::optional<UpstreamId> Router::pick(const RouteQuery &query, const Ejector &ejector,
                                       TimePoint now)
{
    const std::vector<Option> options = this->options(query, ejector, now);
    if (options.empty())
        return std::nullopt;
    const Option *chosen = query.prefix == 0 ? nullptr : this->byPrefix(options, query.prefix, now);
    if (chosen == nullptr)
        chosen = this->byLoad(options);
    BC_INVARIANT(!chosen->state->isLeaving, "a leaving upstream gets no new work");
    BC_INVARIANT(chosen->own < chosen->bound, "an upstream is used within its bound");
    return chosen->state->spec.id;
}

bool Router::canPick(const RouteQuery &query, const Ejector &ejector, TimePoint now) const
{
    return !this->options(query, ejector, now).empty();
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

std::vector<Router::Option> Router::options(const RouteQuery &query, const Ejector &ejector,
                                            TimePoint now) const
{
    const std::vector<UpstreamId> usable = ejector.usable(query.candidates, now);
    std::vector<Option> free = this->optionsWithin(query, usable, 0);
    if (free.empty() && query.overflow > 0)
        free = this->optionsWithin(query, usable, query.overflow);
    return free;
}

std::vector<Router::Option> Router::optionsWithin(const RouteQuery &query,
                                                  const std::vector<UpstreamId> &usable,
                                                  std::uint32_t overflow) const
{
    std::vector<Option> free;
    std::uint32_t freeSlots = 0;
    for (const UpstreamId &id : usable) {
        const auto found = this->table->upstreams.find(id);
        const bool isKnown = found != this->table->upstreams.end();
        if (!isKnown || found->second.isLeaving || contains(query.excluded, id))
            continue;
        const std::uint32_t own = this->inFlight(id);
        const std::uint32_t bound = this->bound(found->second, overflow);
        if (own >= bound)
            continue;
        free.push_back({&found->second, own, bound});
        freeSlots += bound - own;
    }
    if (freeSlots <= query.headroom)
        free.clear();
    return free;
}

std::uint32_t Router::share(const UpstreamState &state) const
{
    const std::uint64_t slots = state.spec.maxConcurrent;
    const std::uint64_t count = this->instanceCount;
    const std::uint64_t place = (this->instanceIndex + stableHash(state.spec.id.value())) % count;
    const std::uint64_t share = (place + 1) * slots / count - place * slots / count;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, share));
}

std::uint32_t Router::bound(const UpstreamState &state, std::uint32_t overflow) const
{
    const std::uint32_t slots = state.spec.maxConcurrent;
    const auto busy = static_cast<std::uint32_t>(this->limits.borrowBelow * slots);
    const std::uint32_t spare = busy > state.reportedLoad ? busy - state.reportedLoad : 0;
    return std::min(std::max(1U, slots), this->share(state) + spare + overflow);
}

void Router::smoothLoads()
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

double Router::meanSmoothed(const std::vector<Option> &options) const
{
    double total = 0;
    for (const Option &option : options)
        total += this->smoothedLoad.at(option.state->spec.id);
    return total / static_cast<double>(options.size());
}

double Router::cost(const Option &option, double meanSmoothed) const
{
    const double slots = std::max(1U, option.state->spec.maxConcurrent);
    const double own = option.own * static_cast<double>(this->instanceCount) / slots;
    const double smoothed = this->smoothedLoad.at(option.state->spec.id);
    const double excess = std::max(0.0, smoothed - meanSmoothed - this->limits.reportTolerance);
    const bool isNear = option.state->spec.dataCentre == this->dataCentre;
    const double distance = isNear ? 0.0 : this->limits.otherDataCentreCost;
    return own + excess + distance;
}

const Router::Option *Router::byPrefix(const std::vector<Option> &options, std::uint64_t prefix,
                                       TimePoint now) const
{
    double total = this->recentRequests.one(now);
    for (const Option &option : options)
        total += this->recentRequests.of(option.state->spec.id);
    const double mean = total / static_cast<double>(options.size());
    const double limit
            = std::max(this->recentRequests.one(now), this->limits.affinityLoadBound * mean);
    const Option *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const Option &option : options) {
        const UpstreamId &id = option.state->spec.id;
        const std::uint64_t rank = stableHash(id.value(), prefix);
        const bool isWithin = this->recentRequests.of(id) <= limit;
        if (isWithin && (best == nullptr || rank > bestRank)) {
            best = &option;
            bestRank = rank;
        }
    }
    return best;
}

const Router::Option *Router::byLoad(const std::vector<Option> &options)
{
    const Option *best = nullptr;
    double bestCost = 0;
    const double mean = this->meanSmoothed(options);
    for (std::uint32_t i = 0; i < std::max(1U, this->limits.choices); ++i) {
        const Option &drawn = options[this->random.below(options.size())];
        const double cost = this->cost(drawn, mean);
        if (best == nullptr || cost < bestCost) {
            best = &drawn;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace bamboochute::admission
