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

bool UpstreamTable::applyRegistration(RegisteredUpstream upstream, TimePoint now, bool isRestored)
{
    const auto removed = this->removedRegistrations.find(upstream.id);
    if (removed != this->removedRegistrations.end()) {
        if (isRestored && orderOf(upstream) <= removed->second)
            return false;
        this->removedRegistrations.erase(removed);
    }
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
        entry.refusedTargets.clear();
    }
    entry.missingSince.reset();
    const auto leaving = this->leavingStarts.find(upstream.id);
    if (leaving != this->leavingStarts.end())
        entry.leavingStart = leaving->second;
    entry.registered = std::move(upstream);
    const bool isOwnerReportFresh = entry.residency.version.startedAt >= start
                                    && entry.ownerReportedAt != TimePoint()
                                    && now < entry.ownerReportedAt + ownerReportMaxAge;
    if (!isOwnerReportFresh)
        entry.residency = entry.registered.residency;
    return true;
}

bool UpstreamTable::isRelevantToOthers(const RegisteredUpstream &upstream) const
{
    const auto known = this->byId.find(upstream.id);
    return known == this->byId.end() || known->second.missingSince.has_value()
           || known->second.registered.isLeaving != upstream.isLeaving
           || known->second.registered.residency.version.startedAt
                      != upstream.residency.version.startedAt;
}

bool UpstreamTable::recordLeaving(const UpstreamProcess &process)
{
    const auto found = this->byId.find(process.upstream);
    if (found != this->byId.end()) {
        const UpstreamProcess latest = found->second.process();
        if (process.startedAt < latest.startedAt
            || (process == latest && found->second.isLeaving()))
            return false;
    }
    // Without a start, a later process could not be told from this one.
    if (process.startedAt > 0 && !this->rememberLeaving(process))
        return false;
    if (found != this->byId.end())
        found->second.leavingStart = process.startedAt;
    return found != this->byId.end() || process.startedAt > 0;
}

/// Returns whether the statement is new.
bool UpstreamTable::rememberLeaving(const UpstreamProcess &process)
{
    const auto known = this->leavingStarts.find(process.upstream);
    if (known != this->leavingStarts.end() && known->second >= process.startedAt)
        return false;
    if (known == this->leavingStarts.end() && this->leavingStarts.size() >= maxLeavingUpstreams)
        this->leavingStarts.erase(
                std::min_element(this->leavingStarts.begin(), this->leavingStarts.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
    this->leavingStarts[process.upstream] = process.startedAt;
    return true;
}

bool UpstreamTable::remove(const UpstreamId &id)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return false;
    this->rememberRemoved(found->second.registered);
    this->byId.erase(found);
    return true;
}

void UpstreamTable::rememberRemoved(const RegisteredUpstream &upstream)
{
    auto &known = this->removedRegistrations;
    if (known.size() >= maxRemovedUpstreams && !known.contains(upstream.id))
        known.erase(std::min_element(known.begin(), known.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        }));
    known[upstream.id] = orderOf(upstream);
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
    for (auto position = this->byId.begin(); position != this->byId.end();) {
        const auto &since = position->second.missingSince;
        if (!since || *since >= missingBefore) {
            ++position;
            continue;
        }
        removed.push_back(position->first);
        this->rememberRemoved(position->second.registered);
        position = this->byId.erase(position);
    }
    return removed;
}

bool UpstreamTable::updateResidency(const UpstreamId &id, const Residency &residency, TimePoint now)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return false;
    Entry &entry = found->second;
    const bool isOwnerReportFresh = entry.ownerReportedAt != TimePoint()
                                    && now < entry.ownerReportedAt + ownerReportMaxAge;
    const bool isOlder = residency.version.startedAt < entry.registered.residency.version.startedAt
                         || (isOwnerReportFresh && residency.version < entry.residency.version);
    if (isOlder)
        return false;
    entry.residency = residency;
    entry.ownerReportedAt = now;
    entry.refusedTargets.clear();
    return true;
}

void UpstreamTable::updateLoad(const UpstreamId &id, const ReportedLoad &load, TimePoint now)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end())
        return;
    found->second.load = load;
    found->second.loadReportedAt = now;
}

void UpstreamTable::recordRefusal(const UpstreamId &id, const Target &target, TimePoint until)
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end())
        found->second.refusedTargets[target] = until;
}

const UpstreamTable::Entry *UpstreamTable::find(const UpstreamId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

std::vector<const UpstreamTable::Entry *> UpstreamTable::findServing(const ServiceId &service) const
{
    std::vector<const Entry *> result;
    for (const auto &[id, entry] : this->byId) {
        if (entry.registered.service == service && !entry.isLeaving())
            result.push_back(&entry);
    }
    return result;
}

std::vector<const UpstreamTable::Entry *>
UpstreamTable::findHolding(const ServiceId &service, const Target &target, TimePoint now) const
{
    std::vector<const Entry *> result;
    for (const Entry *entry : this->findServing(service)) {
        if (!entry->residency.holds(target))
            continue;
        const auto refusal = entry->refusedTargets.find(target);
        if (refusal == entry->refusedTargets.end() || refusal->second <= now)
            result.push_back(entry);
    }
    return result;
}

} // namespace bamboochute::gateway
