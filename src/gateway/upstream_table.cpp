#include "gateway/upstream_table.hpp"

#include <algorithm>

namespace bamboochute::gateway {

const ResidentModel *Residency::find(const ModelId &model) const noexcept
{
    const auto found
            = std::find_if(this->models.begin(), this->models.end(),
                           [&model](const ResidentModel &one) { return one.model == model; });
    return found == this->models.end() ? nullptr : &*found;
}

bool Residency::holds(const Target &target) const noexcept
{
    const ResidentModel *resident = this->find(target.model);
    if (resident == nullptr)
        return false;
    return target.adapter.isEmpty()
           || std::find(resident->adapters.begin(), resident->adapters.end(), target.adapter)
                      != resident->adapters.end();
}

bool UpstreamTable::applyRegistration(RegisteredUpstream upstream, TimePoint now)
{
    Entry &entry = this->byId[upstream.id];
    const bool isKnown = !entry.registered.id.isEmpty();
    const std::uint64_t knownStart = entry.registered.residency.version.startedAt;
    const std::uint64_t start = upstream.residency.version.startedAt;
    const bool isOlder
            = start < knownStart
              || (start == knownStart && upstream.heartbeat < entry.registered.heartbeat);
    if (isKnown && isOlder)
        return false;
    const bool isRestarted = isKnown && start != knownStart;
    if (isRestarted) {
        entry.load = {};
        entry.refused.clear();
    }
    entry.missingSince.reset();
    entry.registered = std::move(upstream);
    const bool isOwnerHeard = entry.residency.version.startedAt >= start
                              && entry.learnedAt != TimePoint()
                              && now < entry.learnedAt + ownerWordTime;
    if (!isOwnerHeard)
        entry.residency = entry.registered.residency;
    return true;
}

bool UpstreamTable::remove(const UpstreamId &id)
{
    return this->byId.erase(id) > 0;
}

void UpstreamTable::markMissing(const UpstreamId &id, TimePoint now)
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end() && !found->second.missingSince)
        found->second.missingSince = now;
}

std::vector<UpstreamId> UpstreamTable::removeMissing(TimePoint missingBefore)
{
    std::vector<UpstreamId> removed;
    for (auto place = this->byId.begin(); place != this->byId.end();) {
        const auto &since = place->second.missingSince;
        if (!since || *since >= missingBefore) {
            ++place;
            continue;
        }
        removed.push_back(place->first);
        place = this->byId.erase(place);
    }
    return removed;
}

bool UpstreamTable::updateResidency(const UpstreamId &id, const Residency &residency, TimePoint now)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return false;
    Entry &entry = found->second;
    const bool isOwnerHeard
            = entry.learnedAt != TimePoint() && now < entry.learnedAt + ownerWordTime;
    const bool isOlder = residency.version.startedAt < entry.registered.residency.version.startedAt
                         || (isOwnerHeard && residency.version < entry.residency.version);
    if (isOlder)
        return false;
    entry.residency = residency;
    entry.learnedAt = now;
    entry.refused.clear();
    return true;
}

void UpstreamTable::updateLoad(const UpstreamId &id, const ReportedLoad &load, TimePoint now)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return;
    found->second.load = load;
    found->second.loadAt = now;
}

void UpstreamTable::refused(const UpstreamId &id, const Target &target, TimePoint until)
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end())
        found->second.refused[target] = until;
}

const UpstreamTable::Entry *UpstreamTable::find(const UpstreamId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

std::vector<const UpstreamTable::Entry *> UpstreamTable::serving(const ServiceId &service) const
{
    std::vector<const Entry *> result;
    for (const auto &[id, entry] : this->byId) {
        if (entry.registered.service == service && !entry.registered.isLeaving)
            result.push_back(&entry);
    }
    return result;
}

std::vector<const UpstreamTable::Entry *>
UpstreamTable::holding(const ServiceId &service, const Target &target, TimePoint now) const
{
    std::vector<const Entry *> result;
    for (const Entry *entry : this->serving(service)) {
        if (!entry->residency.holds(target))
            continue;
        const auto refusal = entry->refused.find(target);
        if (refusal == entry->refused.end() || refusal->second <= now)
            result.push_back(entry);
    }
    return result;
}

} // namespace bamboochute::gateway
