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
struct ChoiceLimits
{
    /// An upstream of another data centre costs as much as this many requests more.
    double otherDataCentreCost = 0.4;
    /// Cost of an upstream whose calls all failed lately.
    double failureCost = 4.0;
    /// Slowest factor by which the latency of an upstream multiplies its cost.
    double maxSlowness = 8.0;
    /// Affinity gives way at an upstream that runs this share of its slots.
    double affinityMaxUse = 0.5;
    /// Affinity gives way where this share of the cache can't yield.
    double affinityMaxCache = 0.8;
    /// Affinity gives way where the latency is this many times that of the fastest candidate.
    double affinityMaxSlowness = 2.5;
    auto operator<=>(const ChoiceLimits &) const = default;
};

/// @brief What the choice for one request depends on.
struct ChoiceQuery
{
    std::vector<const UpstreamTable::Entry *> candidates;
    /// Hash of the shared part of the prompt; zero when affinity does not apply.
    std::uint64_t affinity = 0;
    /// Upstreams that have been tried.
    std::vector<UpstreamId> excluded;
    /// Rather none than one that is avoided.
    bool isHealthRequired = false;
};

/// @brief Counts this instance's requests under way and chooses among upstreams; not thread-safe.
class UpstreamChoice
{
public:
    /// @param dataCentre the data centre of this instance
    /// @param seed of the choice between equals; differs between instances
    UpstreamChoice(DataCentreId dataCentre, std::uint64_t seed, ChoiceLimits limits = {});

    /// @brief Chooses a candidate that is not excluded; avoided ones only when there is no other.
    std::optional<UpstreamId> pick(const ChoiceQuery &query, const UpstreamHealth &health,
                                   TimePoint now);

    void started(const UpstreamId &upstream);
    void finished(const UpstreamId &upstream);
    std::uint32_t underWay(const UpstreamId &upstream) const;

private:
    using Candidates = std::vector<const UpstreamTable::Entry *>;

    Candidates usable(const Candidates &candidates, const UpstreamHealth &health,
                      TimePoint now) const;
    double slowness(const UpstreamId &upstream, double fastest, const UpstreamHealth &health,
                    TimePoint now) const;
    double cost(const UpstreamTable::Entry &entry, double fastest, const UpstreamHealth &health,
                TimePoint now);
    const UpstreamTable::Entry *byAffinity(const Candidates &usable, std::uint64_t affinity,
                                           double fastest, const UpstreamHealth &health,
                                           TimePoint now) const;

    DataCentreId dataCentre;
    ChoiceLimits limits;
    Random random;
    std::map<UpstreamId, std::uint32_t> requests;
};

} // namespace bamboochute::gateway
