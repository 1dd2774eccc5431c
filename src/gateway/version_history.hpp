/// @file
/// @brief Knows which software versions may have begun the streams that callers can still take up.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/stream_origins.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace bamboochute::gateway {

using ServiceVersions = std::map<ServiceId, std::set<SoftwareVersion>>;

/// @brief The record of all instances in the store, which outlasts them.
struct VersionRecord
{
    /// Versions that may have begun streams which callers can still take up.
    ServiceVersions versions;
    /// Whether no other version has begun such streams.
    bool isComplete = false;
    /// Era of the store in which it was written; zero where the store names none.
    std::uint64_t storeEra = 0;
    auto operator<=>(const VersionRecord &) const = default;
};

/// @brief What the store held when it was read or written.
struct StoredVersions
{
    /// Era of the store, and revision of the record; the revision is zero if there is none.
    std::uint64_t storeEra = 0;
    std::uint64_t revision = 0;
    /// Unset if the store has no valid record.
    std::optional<VersionRecord> record;
    auto operator<=>(const StoredVersions &) const = default;
};

/// @brief Times by which the history goes.
struct VersionHistoryTimes
{
    /// How long a version stays possible after its last upstream has gone: the longest life of a
    /// stream, and the time in which an instance notices that a registration is gone.
    Duration retention = StreamOriginLimits().lifetime + std::chrono::seconds(5);
    /// How long upstreams of a version that the store lacks are passed over for new streams.
    Duration recordingTime = std::chrono::seconds(2);
    /// Age up to which a sighting shows that the version is registered now.
    Duration registeredTime = std::chrono::seconds(5);
    /// Largest number of versions of a service in the record; more tell nothing else than several.
    std::size_t maxVersions = 16;
    auto operator<=>(const VersionHistoryTimes &) const = default;
};

/// @brief What is known of the version of a stream whose origin nobody remembers.
struct SoleVersion
{
    enum class Kind : std::uint8_t {
        Known,
        /// The versions of the time before this instance started are not known.
        HistoryUnknown,
        /// Several versions may have begun it.
        Several,
        /// One is known, but the record could not be read just now, and may have another one.
        NotConfirmed,
        /// No upstream of the service has been seen.
        None,
    };
    Kind kind = Kind::None;
    /// Set if it is known.
    std::optional<SoftwareVersion> version;
    auto operator<=>(const SoleVersion &) const = default;
};

/// @brief Name of a kind in log lines and metrics.
std::string_view kindName(SoleVersion::Kind kind);

/// @brief Versions of all services, from the store's record and from the registrations that this
/// instance has seen; not thread-safe.
///
/// An instance that has just started has seen only what is registered now. It concludes from the
/// record what was there before, or from its own memory after the longest life of a stream.
class VersionHistory
{
public:
    explicit VersionHistory(VersionHistoryTimes times = {})
        : times(times)
    {}

    /// @brief Notes that an upstream of a version is registered.
    void observe(const ServiceId &service, const SoftwareVersion &version, TimePoint now);

    /// @brief Forgets versions whose last stream has ended.
    void forgetOutdated(TimePoint now);

    /// @brief Notes that all registrations have been read and are followed from now on.
    void beginFollowing(TimePoint now);

    /// @brief Notes that no instance has run before: if the store has no record, there are no
    /// streams.
    void assumeFirstStart() { this->isFirstStart = true; }

    /// @brief Takes over what the store holds, unless something newer is known.
    ///
    /// In a later era of the store, which has come back from a copy, nothing that is known is
    /// forgotten.
    void apply(const StoredVersions &read, TimePoint now);

    /// @brief The version that began a stream whose origin nobody remembers.
    /// @param services those that may have begun it
    SoleVersion soleVersion(const std::set<ServiceId> &services, TimePoint now) const;

    /// @brief Whether the origins of streams have to outlast the instances, as the version of a
    /// stream could not be told without.
    /// @param services those that may begin the streams
    bool needsOrigins(const std::set<ServiceId> &services, TimePoint now) const;

    /// @brief Whether upstreams of a version are to be passed over for streams that begin, as long
    /// as there are others, because the store does not hold the version yet.
    bool isUnrecorded(const ServiceId &service, const SoftwareVersion &version,
                      TimePoint now) const;

    /// @brief The record that is to be written.
    /// @param ownerSince since when this instance has been the placement owner, which also removes
    /// versions and completes the record; unset if it is not
    /// @param storeEra present era of the store
    /// @return unset if the store holds it, or has not been read
    std::optional<VersionRecord> findDueRecord(TimePoint now, std::optional<TimePoint> ownerSince,
                                               std::uint64_t storeEra) const;

    /// @brief Revision of the record in the store; zero while there is none.
    std::uint64_t revision() const noexcept { return this->stored ? this->stored->revision : 0; }

    /// @brief Whether the store has been read.
    bool isRead() const noexcept { return this->stored.has_value(); }

private:
    struct Sighting
    {
        TimePoint first;
        TimePoint last;
    };

    bool isRetained(const Sighting &sighting, TimePoint now) const
    {
        return now < sighting.last + this->times.retention;
    }
    bool isHistoryKnown(TimePoint now) const;
    void addPossible(std::set<SoftwareVersion> &possible, const ServiceId &service,
                     TimePoint now) const;
    const Sighting *findSighting(const ServiceId &service, const SoftwareVersion &version) const;
    void addSightings(VersionRecord &due, Duration maxAge, TimePoint now) const;

    VersionHistoryTimes times;
    std::map<ServiceId, std::map<SoftwareVersion, Sighting>> sightings;
    std::optional<TimePoint> followingSince;
    bool isFirstStart = false;
    /// What the store holds.
    std::optional<StoredVersions> stored;
    /// When each version of the record was first read in it.
    std::map<ServiceId, std::map<SoftwareVersion, TimePoint>> recordedAt;
    /// Versions of the record; more than the store holds after it has come back from a copy.
    ServiceVersions knownVersions;
    bool isComplete = false;
};

} // namespace bamboochute::gateway
