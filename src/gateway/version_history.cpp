#include "gateway/version_history.hpp"

#include <algorithm>

namespace bamboochute::gateway {

std::string_view kindName(SoleVersion::Kind kind)
{
    switch (kind) {
    case SoleVersion::Kind::Known:
        return "known";
    case SoleVersion::Kind::HistoryUnknown:
        return "history_unknown";
    case SoleVersion::Kind::Several:
        return "several";
    case SoleVersion::Kind::NotConfirmed:
        return "not_confirmed";
    case SoleVersion::Kind::None:
        break;
    }
    return "none";
}

void VersionHistory::observe(const ServiceId &service, const SoftwareVersion &version,
                             TimePoint now)
{
    auto &ofService = this->sightings[service];
    const auto [found, isNew] = ofService.try_emplace(version, Sighting{now, now});
    if (!isNew && !this->isRetained(found->second, now))
        found->second.first = now;
    found->second.last = std::max(found->second.last, now);
}

void VersionHistory::forgetOutdated(TimePoint now)
{
    for (auto &[service, versions] : this->sightings)
        std::erase_if(versions,
                      [&](const auto &seen) { return !this->isRetained(seen.second, now); });
    std::erase_if(this->sightings, [](const auto &ofService) { return ofService.second.empty(); });
}

void VersionHistory::beginFollowing(TimePoint now)
{
    if (!this->followingSince)
        this->followingSince = now;
}

void VersionHistory::apply(const StoredVersions &read, TimePoint now)
{
    const bool isOlder = this->stored
                         && (read.storeEra < this->stored->storeEra
                             || (read.storeEra == this->stored->storeEra && read.record
                                 && read.revision < this->stored->revision));
    if (isOlder)
        return;
    const bool isFirst = !this->stored;
    const bool isSameEra = !isFirst && read.storeEra == this->stored->storeEra;
    // A version that is known and was never stored in this era is not there because the store has
    // lost it, not because the owner has removed it.
    const bool wasStored = isSameEra && this->stored->record
                           && this->stored->record->versions == this->knownVersions;
    if (wasStored && read.record)
        this->knownVersions.clear();
    if (read.record) {
        for (const auto &[service, versions] : read.record->versions)
            this->knownVersions[service].insert(versions.begin(), versions.end());
    }
    std::map<ServiceId, std::map<SoftwareVersion, TimePoint>> formerlyRecordedAt;
    formerlyRecordedAt.swap(this->recordedAt);
    if (read.record) {
        for (const auto &[service, versions] : read.record->versions) {
            for (const SoftwareVersion &version : versions) {
                const auto &former = formerlyRecordedAt[service];
                const auto known = former.find(version);
                this->recordedAt[service][version] = known == former.end() ? now : known->second;
            }
        }
    }
    const bool isFirstRecord = isFirst && read.revision == 0 && this->isFirstStart;
    const bool isRecordComplete
            = read.record && read.record->isComplete && read.record->storeEra == read.storeEra;
    this->isComplete = this->isComplete || isFirstRecord || isRecordComplete;
    this->stored = read;
}

bool VersionHistory::isHistoryKnown(TimePoint now) const
{
    return this->isComplete
           || (this->followingSince && now >= *this->followingSince + this->times.retention);
}

/// Adds the versions that may have begun streams of a service.
void VersionHistory::addPossible(std::set<SoftwareVersion> &possible, const ServiceId &service,
                                 TimePoint now) const
{
    const auto known = this->knownVersions.find(service);
    if (known != this->knownVersions.end())
        possible.insert(known->second.begin(), known->second.end());
    const auto seen = this->sightings.find(service);
    if (seen == this->sightings.end())
        return;
    for (const auto &[version, sighting] : seen->second) {
        if (this->isRetained(sighting, now))
            possible.insert(version);
    }
}

SoleVersion VersionHistory::soleVersion(const std::set<ServiceId> &services, TimePoint now) const
{
    std::set<SoftwareVersion> possible;
    for (const ServiceId &service : services)
        this->addPossible(possible, service, now);
    if (possible.empty())
        return {SoleVersion::Kind::None, std::nullopt};
    if (possible.size() > 1)
        return {SoleVersion::Kind::Several, std::nullopt};
    if (!this->isHistoryKnown(now))
        return {SoleVersion::Kind::HistoryUnknown, std::nullopt};
    return {SoleVersion::Kind::Known, *possible.begin()};
}

bool VersionHistory::needsOrigins(const std::set<ServiceId> &services, TimePoint now) const
{
    const SoleVersion::Kind kind = this->soleVersion(services, now).kind;
    return kind == SoleVersion::Kind::Several || kind == SoleVersion::Kind::HistoryUnknown;
}

const VersionHistory::Sighting *VersionHistory::findSighting(const ServiceId &service,
                                                             const SoftwareVersion &version) const
{
    const auto ofService = this->sightings.find(service);
    if (ofService == this->sightings.end())
        return nullptr;
    const auto found = ofService->second.find(version);
    return found == ofService->second.end() ? nullptr : &found->second;
}

bool VersionHistory::isUnrecorded(const ServiceId &service, const SoftwareVersion &version,
                                  TimePoint now) const
{
    const auto known = this->knownVersions.find(service);
    if (known != this->knownVersions.end() && known->second.contains(version))
        return false;
    const Sighting *sighting = this->findSighting(service, version);
    return sighting == nullptr || now < sighting->first + this->times.recordingTime;
}

/// Adds the versions that were seen last within a time.
void VersionHistory::addSightings(VersionRecord &due, Duration maxAge, TimePoint now) const
{
    for (const auto &[service, versions] : this->sightings) {
        for (const auto &[version, sighting] : versions) {
            std::set<SoftwareVersion> &recorded = due.versions[service];
            if (now < sighting.last + maxAge && recorded.size() < this->times.maxVersions)
                recorded.insert(version);
        }
    }
    std::erase_if(due.versions, [](const auto &ofService) { return ofService.second.empty(); });
}

std::optional<VersionRecord> VersionHistory::findDueRecord(TimePoint now,
                                                           std::optional<TimePoint> ownerSince,
                                                           std::uint64_t storeEra) const
{
    if (!this->stored)
        return std::nullopt;
    VersionRecord due{this->knownVersions, this->isComplete, storeEra};
    const bool isSettledOwner
            = ownerSince && this->followingSince
              && now >= std::max(*ownerSince, *this->followingSince) + this->times.retention;
    if (isSettledOwner) {
        due.isComplete = true;
        due.versions.clear();
        // Another instance may have seen one that this one has not.
        for (const auto &[service, versions] : this->recordedAt) {
            for (const auto &[version, firstReadAt] : versions) {
                if (now < firstReadAt + this->times.retention)
                    due.versions[service].insert(version);
            }
        }
    }
    // Others add only what is registered, or they would add again what the owner has removed.
    this->addSightings(due, ownerSince ? this->times.retention : this->times.registeredTime, now);
    const bool isNeedless = due.versions.empty() && !due.isComplete;
    const std::optional<VersionRecord> &present = this->stored->record;
    if (!present)
        return isNeedless ? std::nullopt : std::optional(due);
    const bool isPresentComplete = present->isComplete && present->storeEra == storeEra;
    if (present->versions == due.versions && isPresentComplete == due.isComplete)
        return std::nullopt;
    return due;
}

} // namespace bamboochute::gateway
