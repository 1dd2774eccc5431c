#include "gateway/upstream_selector.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <limits>

namespace bamboochute::gateway {

namespace {

/// Upper bound of the random cost that breaks ties.
constexpr double maxTieBreakCost = 0.05;

} // namespace

UpstreamSelector::UpstreamSelector(DataCentreId dataCentre, std::uint64_t seed,
                                   SelectionLimits limits)
    : dataCentre(std::move(dataCentre))
    , limits(limits)
    , random(seed)
{}

std::optional<UpstreamId> UpstreamSelector::pickUpstream(const SelectionQuery &query,
                                                         const UpstreamHealth &health,
                                                         TimePoint now)
{
    Candidates untried;
    for (const UpstreamTable::Entry *entry : query.candidates) {
        const auto &excluded = query.excluded;
        if (std::find(excluded.begin(), excluded.end(), entry->registered.id) == excluded.end())
            untried.push_back(entry);
    }
    if (untried.empty())
        return std::nullopt;
    Candidates usable = this->findUsable(untried, health, now);
    if (usable.empty() && query.isHealthRequired)
        return std::nullopt;
    if (usable.empty()) {
        const auto earlier = [&health](const auto *left, const auto *right) {
            return health.avoidedUntil(left->registered.id)
                   < health.avoidedUntil(right->registered.id);
        };
        return (*std::min_element(untried.begin(), untried.end(), earlier))->registered.id;
    }
    double fastest = std::numeric_limits<double>::max();
    for (const UpstreamTable::Entry *entry : usable) {
        const double seconds = health.latencySeconds(entry->registered.id, now);
        if (seconds > 0)
            fastest = std::min(fastest, seconds);
    }
    if (query.affinityKey != 0) {
        const auto *preferred
                = this->pickByAffinity(usable, query.affinityKey, fastest, health, now);
        if (preferred != nullptr)
            return preferred->registered.id;
    }
    const UpstreamTable::Entry *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const UpstreamTable::Entry *entry : usable) {
        double cost = this->computeCost(*entry, fastest, health, now);
        if (query.pace != nullptr)
            cost /= query.pace->speed(entry->process(), now);
        if (cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    return best->registered.id;
}

/// Returns the candidates that health does not avoid; those whose registration is missing only if
/// there are no others.
UpstreamSelector::Candidates UpstreamSelector::findUsable(const Candidates &candidates,
                                                          const UpstreamHealth &health,
                                                          TimePoint now) const
{
    Candidates registered;
    Candidates missing;
    for (const UpstreamTable::Entry *entry : candidates) {
        if (!health.isAvoided(entry->registered.id, now))
            (entry->missingSince ? missing : registered).push_back(entry);
    }
    return registered.empty() ? missing : registered;
}

double UpstreamSelector::computeSlowness(const UpstreamId &upstream, double fastest,
                                         const UpstreamHealth &health, TimePoint now) const
{
    const double seconds = health.latencySeconds(upstream, now);
    if (seconds <= 0 || fastest <= 0)
        return 1;
    return std::clamp(seconds / fastest, 1.0, this->limits.maxSlowness);
}

double UpstreamSelector::computeCost(const UpstreamTable::Entry &entry, double fastest,
                                     const UpstreamHealth &health, TimePoint now)
{
    const UpstreamId &id = entry.registered.id;
    const double slots = std::max<double>(entry.registered.slots, 1);
    const double own = this->inFlight(id);
    const double reported = (entry.load.running + 4.0 * entry.load.waiting) / slots;
    double cost = (1 + own + reported) * this->computeSlowness(id, fastest, health, now);
    cost += this->limits.failureCost * health.failureRate(id);
    if (entry.registered.dataCentre != this->dataCentre)
        cost += this->limits.otherDataCentreCost;
    return cost + maxTieBreakCost * this->random.unit();
}

const UpstreamTable::Entry *
UpstreamSelector::pickByAffinity(const Candidates &usable, std::uint64_t affinityKey,
                                 double fastest, const UpstreamHealth &health, TimePoint now) const
{
    // Rendezvous hashing: the highest hash of upstream and prompt wins, so all instances agree
    // without coordination.
    const UpstreamTable::Entry *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const UpstreamTable::Entry *entry : usable) {
        const UpstreamId &id = entry->registered.id;
        const double use = (1.0 * this->inFlight(id) + entry->load.running)
                           / (2.0 * std::max(entry->registered.slots, 1U));
        const bool isBusy = entry->load.waiting > 0 || use > this->limits.affinityMaxSlotUse
                            || entry->load.kvCacheUse > this->limits.affinityMaxKvCacheUse
                            || this->computeSlowness(id, fastest, health, now)
                                       > this->limits.affinityMaxSlowness;
        if (isBusy)
            continue;
        const std::uint64_t score = stableHash(id.value(), affinityKey);
        if (best == nullptr || score > bestScore) {
            best = entry;
            bestScore = score;
        }
    }
    return best;
}

void UpstreamSelector::recordStart(const UpstreamId &upstream)
{
    ++this->inFlightRequests[upstream];
}

void UpstreamSelector::recordFinish(const UpstreamId &upstream)
{
    const auto found = this->inFlightRequests.find(upstream);
    BC_INVARIANT(found != this->inFlightRequests.end() && found->second > 0,
                 "a request to an upstream finished without having started");
    if (--found->second == 0)
        this->inFlightRequests.erase(found);
}

std::uint32_t UpstreamSelector::inFlight(const UpstreamId &upstream) const
{
    const auto found = this->inFlightRequests.find(upstream);
    return found == this->inFlightRequests.end() ? 0 : found->second;
}

} // namespace bamboochute::gateway
