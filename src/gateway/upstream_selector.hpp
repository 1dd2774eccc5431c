/// @file
/// @brief Selects the upstream for a request by affinity, load, health and data centre.
#pragma once

#include "core/random.hpp"
#include "gateway/upstream_health.hpp"
#include "gateway/upstream_pace.hpp"
#include "gateway/upstream_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboochute::gateway {

/// @brief Parameters of the selection; costs are in requests in flight.
struct SelectionLimits
{
    /// Added cost of an upstream in another data centre.
    double otherDataCentreCost = 0.4;
    /// Added cost of an upstream whose recent calls all failed; scaled by the failure rate.
    double failureCost = 4.0;
    /// Limit of the factor by which an upstream's latency multiplies its cost.
    double maxSlowness = 8.0;
    /// Affinity skips an upstream that uses more than this share of its slots.
    double affinityMaxSlotUse = 0.5;
    /// Affinity skips an upstream where more than this share of the KV cache can't be evicted.
    double affinityMaxKvCacheUse = 0.8;
    /// Affinity skips an upstream whose latency is more than this many times the fastest one's.
    double affinityMaxSlowness = 2.5;
    auto operator<=>(const SelectionLimits &) const = default;
};

/// @brief Input of the selection for one request.
struct SelectionQuery
{
    std::vector<const UpstreamTable::Entry *> candidates;
    /// Hash of the prompt prefix that requests share; zero when affinity does not apply.
    std::uint64_t affinityKey = 0;
    /// Upstreams that the request has already been tried at.
    std::vector<UpstreamId> excluded;
    /// Select no upstream rather than an avoided one.
    bool isHealthRequired = false;
    /// Speeds of the upstreams by the evidence of all instances; null where they are not in force.
    const PaceMeter *pace = nullptr;
};

/// @brief Selects upstreams and counts this instance's requests in flight at each; not thread-safe.
class UpstreamSelector
{
public:
    /// @param dataCentre the data centre of this instance
    /// @param seed seed for choices among equal costs; has to differ between instances
    UpstreamSelector(DataCentreId dataCentre, std::uint64_t seed, SelectionLimits limits = {});

    /// @brief Selects the cheapest candidate that is not excluded, or by affinity.
    ///
    /// If health avoids all of them, selects the one whose pause ends first, unless the query
    /// requires health.
    /// @return unset when no candidate can be used
    std::optional<UpstreamId> pickUpstream(const SelectionQuery &query,
                                           const UpstreamHealth &health, TimePoint now);

    /// @brief Counts a request that is sent to an upstream.
    void recordStart(const UpstreamId &upstream);

    /// @brief Ends a request that recordStart() counted.
    void recordFinish(const UpstreamId &upstream);

    /// @brief Number of this instance's requests in flight at an upstream.
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
