/// @file
/// @brief The upstreams that an instance knows, with their addresses, resident models and load.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/routing_table.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_process.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboochute::gateway {

/// @brief A model that an upstream has loaded, with its loaded adapters.
struct ResidentModel
{
    ModelId model;
    std::vector<AdapterId> adapters;
    auto operator<=>(const ResidentModel &) const = default;
};

/// @brief Version of a residency; of two reports, the one with the greater version is newer.
struct ResidencyVersion
{
    /// Start of the upstream's process, in milliseconds since 1970 (Unix time).
    std::uint64_t startedAt = 0;
    /// Number of load and unload orders that the upstream had accepted.
    std::uint64_t acceptedOrders = 0;
    /// Whether the last accepted order was known to be completed.
    bool isSettled = false;
    auto operator<=>(const ResidencyVersion &) const = default;
};

/// @brief Models and adapters that an upstream has loaded ("holds"), at one version.
struct Residency
{
    ResidencyVersion version;
    std::vector<ResidentModel> models;
    auto operator<=>(const Residency &) const = default;

    /// @brief Whether the model and, if the target names one, the adapter are loaded.
    bool holds(const Target &target) const noexcept;

    /// @brief Finds a loaded model by its id.
    /// @return null when the model is not loaded
    const ResidentModel *find(const ModelId &model) const noexcept;
};

/// @brief Models whose weights an upstream keeps in host memory or on disk.
struct WeightCopies
{
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
    auto operator<=>(const WeightCopies &) const = default;
};

/// @brief An upstream's registration, as written by the upstream.
struct RegisteredUpstream
{
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /// Streams of different versions don't fit together.
    SoftwareVersion softwareVersion;
    /// Requests that it runs at a time.
    std::uint32_t slots = 1;
    /// Sequence number of the registration since the upstream's start.
    std::uint64_t heartbeat = 0;
    /// The upstream is shutting down and gets no new requests.
    bool isLeaving = false;
    Residency residency;
    WeightCopies copies;
    auto operator<=>(const RegisteredUpstream &) const = default;
};

/// @brief Load of an upstream by all instances together, from its last report.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Share of the KV cache that can't be evicted, from 0 to 1.
    double kvCacheUse = 0;
    auto operator<=>(const ReportedLoad &) const = default;
};

/// @brief Registered upstreams with their latest known residency and load; not thread-safe.
class UpstreamTable
{
public:
    /// @brief One upstream.
    struct Entry
    {
        RegisteredUpstream registered;
        /// Residency in force: from the placement owner's report, or from the registration.
        Residency residency;
        /// When the placement owner's last report arrived; zero when there was none.
        TimePoint ownerReportedAt{};
        ReportedLoad load;
        /// When the load report arrived.
        TimePoint loadReportedAt{};
        /// Targets that the upstream refused although it was reported to hold them, with the time
        /// until which it is not asked for them.
        std::map<Target, TimePoint> refusedTargets;
        /// Set when the registration disappeared while the list of registrations was unreliable.
        std::optional<TimePoint> missingSince;
        /// Start of the process that said in an answer that it is shutting down.
        std::optional<std::uint64_t> leavingStart;

        /// Whether the upstream is shutting down, by its registration or its answers.
        bool isLeaving() const
        {
            return this->registered.isLeaving || this->leavingStart == this->process().startedAt;
        }
        /// The latest process that is known, by its registration or by a report of the owner.
        UpstreamProcess process() const
        {
            return {this->registered.id, std::max(this->registered.residency.version.startedAt,
                                                  this->residency.version.startedAt)};
        }
        /// Software version of that process; empty while its registration has not been read.
        SoftwareVersion softwareVersion() const
        {
            const bool isRegistered
                    = this->process().startedAt == this->registered.residency.version.startedAt;
            return isRegistered ? this->registered.softwareVersion : SoftwareVersion();
        }
    };

    /// Time for which the placement owner's report takes precedence over registrations.
    static constexpr Duration ownerReportMaxAge = std::chrono::seconds(3);

    /// @brief Adds an upstream or updates it from a newer registration.
    /// @param isRestored the registration was read right after the list of registrations came back
    /// older, so it may be one that was removed since
    /// @return false when the registration is older than the known one, or is restored and not
    /// later than one that was removed; it is ignored
    bool applyRegistration(RegisteredUpstream upstream, TimePoint now, bool isRestored = false);

    /// @brief Whether other instances need a registration that was just read: the upstream is new
    /// or restarted, or began or stopped leaving. One that only says otherwise what it holds is not
    /// relevant to them.
    bool isRelevantToOthers(const RegisteredUpstream &upstream) const;

    /// Upstreams whose removal is remembered; the one that started first is forgotten first.
    static constexpr std::size_t maxRemovedUpstreams = 4096;

    /// Upstreams whose leaving is remembered; the one that started first is forgotten first.
    static constexpr std::size_t maxLeavingUpstreams = 4096;

    /// @brief Records that a process said that it is shutting down, also one whose registration
    /// has not been read yet.
    /// @return whether that is new; false for a process that is earlier than the latest known one
    bool recordLeaving(const UpstreamProcess &process);

    /// @brief Removes an upstream.
    /// @return whether it was known
    bool remove(const UpstreamId &id);

    /// @brief Marks an upstream whose registration disappeared while the list of registrations was
    /// unreliable, but keeps it.
    void markMissing(const UpstreamId &id, TimePoint now);

    /// @brief Removes the upstreams that were marked as missing before a point in time.
    /// @return their ids
    std::vector<UpstreamId> removeMissing(TimePoint missingBefore);

    /// @brief Updates an upstream's residency from a report of the placement owner.
    /// @return false when the upstream is unknown or the report is older than what is known; it is
    /// ignored
    bool updateResidency(const UpstreamId &id, const Residency &residency, TimePoint now);

    /// @brief Updates an upstream's load; ignored when the upstream is unknown.
    void updateLoad(const UpstreamId &id, const ReportedLoad &load, TimePoint now);

    /// @brief Records that an upstream refused a target that it was reported to hold.
    /// @param until when the upstream may be asked for the target again
    void recordRefusal(const UpstreamId &id, const Target &target, TimePoint until);

    /// @brief Finds an upstream by its id.
    /// @return null when it is unknown
    const Entry *find(const UpstreamId &id) const;

    /// @brief Finds the upstreams of a service that may get new requests, ordered by id.
    std::vector<const Entry *> findServing(const ServiceId &service) const;

    /// @brief Finds the upstreams among these that hold a target and have not recently refused it.
    std::vector<const Entry *> findHolding(const ServiceId &service, const Target &target,
                                           TimePoint now) const;

    /// @brief All known upstreams.
    const std::map<UpstreamId, Entry> &entries() const noexcept { return this->byId; }

private:
    /// Order of the registrations of one upstream: start of its process, and heartbeat.
    using RegistrationOrder = std::pair<std::uint64_t, std::uint64_t>;

    static RegistrationOrder orderOf(const RegisteredUpstream &upstream)
    {
        return {upstream.residency.version.startedAt, upstream.heartbeat};
    }
    bool rememberLeaving(const UpstreamProcess &process);
    void rememberRemoved(const RegisteredUpstream &upstream);

    std::map<UpstreamId, Entry> byId;
    /// Last registration of each upstream that was removed.
    std::map<UpstreamId, RegistrationOrder> removedRegistrations;
    /// Start of the latest process of each upstream that said that it is shutting down, also of
    /// those that are not known, or not any more.
    std::map<UpstreamId, std::uint64_t> leavingStarts;
};

} // namespace bamboochute::gateway
