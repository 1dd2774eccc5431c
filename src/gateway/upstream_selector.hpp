/// @file
/// @brief Chooses the upstream for a request by affinity, load, health and place.
#pragma once

#include "core/random.hpp"
#include "gateway/upstream_health.hpp"
#include "gateway/upstream_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::gateway {

/// @brief Weights of the choice, in requests under way unless said otherwise.
struct SelectionLimits
{
    /// An upstream of another data centre costs as much as this many requests more.
    double otherDataCentreCost = 0.4;
    /// Cost of an upstream whose calls all failed lately.
    double failureCost = 4.0;
    /// Slowest factor by which the latency of an upstream multiplies its cost.
    double maxSlowness = 8.0;
    /// Affinity gives way at an upstream that runs this share of its slots.
    double affinityMaxSlotUse = 0.5;
    /// Affinity gives way where this share of the cache can't yield.
    double affinityMaxKvCacheUse = 0.8;
    /// Affinity gives way where the latency is this many times that of the fastest candidate.
    double affinityMaxSlowness = 2.5;
    auto operator<=>(const SelectionLimits &) const = default;
};

/// @brief What the choice for one request depends on.
struct SelectionQuery
{
    std::vector<const UpstreamTable::Entry *> candidates;
    /// Hash of the shared part of the prompt; zero when affinity does not apply.
    std::uint64_t affinityKey = 0;
    /// Upstreams that have been tried.
    std::vector<UpstreamId> excluded;
    /// Rather none than one that is avoided.
    bool isHealthRequired = false;
};

/// @brief Counts this instance's requests under way and chooses among upstreams; not thread-safe.
class UpstreamSelector
{
public:
    /// @param dataCentre the data centre of this instance
    /// @param seed of the choice between equals; differs between instances
    UpstreamSelector(DataCentreId dataCentre, std::uint64_t seed, SelectionLimits limits = {});

    /// @brief Chooses a candidate that is not excluded; avoided ones only when there is no other.
    std::optional<UpstreamId> pickUpstream(const SelectionQuery &query,
                                           const UpstreamHealth &health, TimePoint now);

    void recordStart(const UpstreamId &upstream);
    void recordFinish(const UpstreamId &upstream);
    std::uint32_t inFlight(const UpstreamId &upstream) const;

private:
    using Candidates = std::vector<const UpstreamTable::Entry *>;

    Candidates findUsable(const Candidates &candidates, const UpstreamHealth &health,
                          TimePoint now) const;
    double computeSlowness(const UpstreamId &upstream, double fastest, const UpstreamHealth &health,
                           TimePoint now) const;
    double computeCost(const UpstreamTable::Entry &entry, double fastest,
                       const UpstreamHealth &health, TimePoint now);
    const UpstreamTable::Entry *pickByAffinity(const Candidates &usable, std::uint64_t affinityKey,
                                               double fastest, const UpstreamHealth &health,
                                               TimePoint now) const;

    DataCentreId dataCentre;
    SelectionLimits limits;
    Random random;
    std::map<UpstreamId, std::uint32_t> inFlightRequests;
};

} // namespace bamboochute::gateway
