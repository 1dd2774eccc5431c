/// @file
/// @brief What an instance knows of the upstreams: where they are and what they hold.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/routing_table.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::gateway {

/// @brief A model that an upstream holds, with the adapters that are on it.
struct ResidentModel
{
    ModelId model;
    std::vector<AdapterId> adapters;
    auto operator<=>(const ResidentModel &) const = default;
};

/// @brief Orders the statements that are made about what an upstream holds.
struct ResidencyVersion
{
    /// Start of the upstream's process, in milliseconds since 1970.
    std::uint64_t startedAt = 0;
    /// Orders that the upstream had accepted.
    std::uint64_t acceptedOrders = 0;
    /// Whether the last accepted order was known to be complete.
    bool isSettled = false;
    auto operator<=>(const ResidencyVersion &) const = default;
};

/// @brief What an upstream holds, at one version.
struct Residency
{
    ResidencyVersion version;
    std::vector<ResidentModel> models;
    auto operator<=>(const Residency &) const = default;

    bool holds(const Target &target) const noexcept;
    const ResidentModel *find(const ModelId &model) const noexcept;
};

/// @brief Copies of weights that an upstream has at hand without holding them.
struct WeightCopies
{
    std::vector<ModelId> inMemory;
    std::vector<ModelId> onDisk;
    auto operator<=>(const WeightCopies &) const = default;
};

/// @brief An upstream as it registered itself.
struct RegisteredUpstream
{
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    std::uint32_t slots = 1;
    /// Counts what the upstream says of itself since its start.
    std::uint64_t heartbeat = 0;
    /// It gets no new work.
    bool isLeaving = false;
    Residency residency;
    WeightCopies copies;
    auto operator<=>(const RegisteredUpstream &) const = default;
};

/// @brief Load of an upstream as it reported it some time ago, from all instances together.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Share of the cache that can't yield.
    double kvCacheUse = 0;
    auto operator<=>(const ReportedLoad &) const = default;
};

/// @brief Registered upstreams, with what was learned of them since.
class UpstreamTable
{
public:
    struct Entry
    {
        RegisteredUpstream registered;
        /// What it holds: by the owner of the placement, or by the registration.
        Residency residency;
        /// When the owner said so.
        TimePoint ownerReportedAt{};
        ReportedLoad load;
        /// When the load was learned.
        TimePoint loadReportedAt{};
        /// Targets that it refused although it was said to hold them, until when.
        std::map<Target, TimePoint> refusedTargets;
        /// Set when the registration vanished while the list could not be relied on.
        std::optional<TimePoint> missingSince;
    };

    /// The owner's word goes before a registration for so long.
    static constexpr Duration ownerReportMaxAge = std::chrono::seconds(3);

    /// @brief Takes a registration.
    /// @return false when it is older than what is known
    bool applyRegistration(RegisteredUpstream upstream, TimePoint now);

    /// @brief Forgets an upstream at once.
    bool remove(const UpstreamId &id);

    /// @brief Keeps an upstream whose registration vanished during an outage of the list.
    void markMissing(const UpstreamId &id, TimePoint now);

    /// @brief Forgets the upstreams that are missing since before a time.
    /// @return their names
    std::vector<UpstreamId> removeMissing(TimePoint missingBefore);

    /// @brief Takes the owner's word on what an upstream holds, unless a newer one is known.
    /// @return whether it was taken
    bool updateResidency(const UpstreamId &id, const Residency &residency, TimePoint now);

    void updateLoad(const UpstreamId &id, const ReportedLoad &load, TimePoint now);

    /// @brief Notes that an upstream refused a target that it was said to hold.
    void recordRefusal(const UpstreamId &id, const Target &target, TimePoint until);

    const Entry *find(const UpstreamId &id) const;

    /// @brief Upstreams of a service that may get new work, in the order of their names.
    std::vector<const Entry *> findServing(const ServiceId &service) const;

    /// @brief Those of them that hold a target.
    std::vector<const Entry *> findHolding(const ServiceId &service, const Target &target,
                                           TimePoint now) const;

    const std::map<UpstreamId, Entry> &entries() const noexcept { return this->byId; }

private:
    std::map<UpstreamId, Entry> byId;
};

} // namespace bamboochute::gateway
