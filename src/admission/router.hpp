/// @file
/// @brief Picks the upstream for a request among the replicas of its target.
#pragma once

#include "admission/ejector.hpp"
#include "admission/recent_counts.hpp"
#include "core/random.hpp"
#include "core/routing_table.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace bamboochute::admission {

/// @brief What the choice of an upstream depends on.
struct RouteQuery
{
    /// Upstreams that could serve the request.
    std::vector<UpstreamId> candidates;
    /// Hash of the prompt's beginning, by prefixHash(); zero when affinity does not apply.
    std::uint64_t prefix = 0;
    /// Slots over all candidates that must stay free for more important callers.
    std::uint32_t headroom = 0;
    /// Slots beyond our share of each upstream that the request may use when our share is full.
    std::uint32_t overflow = 0;
    /// Upstreams that have been tried before.
    std::vector<UpstreamId> excluded;
    auto operator<=>(const RouteQuery &) const = default;
};

/// @brief Bounds and weights of the choice.
struct RouterLimits
{
    /// An upstream of another data centre is chosen once ours are busier by this share of their
    /// slots.
    double otherDataCentreCost = 0.25;
    /// Affinity applies while an upstream got at most this many times the mean of recent requests.
    double affinityLoadBound = 1.15;
    /// Time over which recent requests are forgotten.
    Duration recentTime = std::chrono::seconds(30);
    /// An upstream that reports less than this share of its slots may get more than our share.
    double borrowBelow = 0.85;
    /// Weight of a new report in the smoothed load of an upstream.
    double newReportWeight = 0.03;
    /// Smoothed load above the mean of all candidates that counts for nothing, in shares of the
    /// slots: reports only tell of upstreams that stay busier than others.
    double reportTolerance = 0.5;
    /// Upstreams drawn at random, of which the least loaded is chosen.
    std::uint32_t choices = 4;
    auto operator<=>(const RouterLimits &) const = default;
};

/// Bytes at the beginning of a prompt that affinity looks at.
constexpr std::size_t prefixBytes = 4096;

/// @brief Hash of a prompt's beginning.
/// @return zero when the prompt is shorter than prefixBytes
std::uint64_t prefixHash(std::string_view prompt);

/// @brief Slots that requests of a class leave free for classes with a higher engine priority.
/// @param callerClass class of the request
/// @param classes all classes of the deployment
/// @param slots slots of this instance over the request's candidates
std::uint32_t headroomFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes,
                          std::uint32_t slots);

/// @brief Slots beyond an instance's share that requests of a class may use.
///
/// The most important class may: every instance leaves headroom, so some slot of the upstream is
/// most likely free, and if not, the engine's own queue serves the class first.
std::uint32_t overflowFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes);

/// @brief Chooses upstreams by own requests in flight, reported load, place and prompt prefix.
/// @note Not safe for use by several threads at once; guarded by the mutex of the queue.
class Router
{
public:
    /// @param dataCentre the data centre of this instance
    /// @param seed of the choice between equals; differs between instances
    Router(DataCentreId dataCentre, std::uint64_t seed, RouterLimits limits = {});

    /// @brief Takes a new routing table into use.
    void update(RoutingTablePointer table);

    /// @brief Divides each upstream's slots among the live instances.
    /// @param index place of this instance in the sorted list of live instances
    /// @param instances number of live instances, at least one
    void setShare(std::uint32_t index, std::uint32_t instances);

    /// @brief Upstreams that have a target loaded and are not leaving.
    std::vector<UpstreamId> replicas(const Target &target) const;

    /// @brief Plain services of a pool that are not leaving.
    std::vector<UpstreamId> services(const PoolId &pool) const;

    /// @brief Slots of this instance over the given upstreams.
    std::uint32_t slots(const std::vector<UpstreamId> &candidates) const;

    /// @brief Chooses an upstream with a free slot.
    /// @return nothing when every candidate is full, leaving, ejected or excluded
    std::optional<UpstreamId> pick(const RouteQuery &query, const Ejector &ejector, TimePoint now);

    /// @brief Whether pick() would find an upstream.
    bool canPick(const RouteQuery &query, const Ejector &ejector, TimePoint now) const;

    /// @brief Counts a request that is sent to an upstream.
    void recordStart(const UpstreamId &upstream, TimePoint now);

    /// @brief Counts the end of a request, whatever it was.
    void recordFinish(const UpstreamId &upstream);

    /// @brief Requests of this instance that an upstream works on.
    std::uint32_t inFlight(const UpstreamId &upstream) const;

private:
    struct Option
    {
        const UpstreamState *state;
        std::uint32_t own;
        std::uint32_t bound;
    };

    std::vector<Option> options(const RouteQuery &query, const Ejector &ejector,
                                TimePoint now) const;
    std::vector<Option> optionsWithin(const RouteQuery &query,
                                      const std::vector<UpstreamId> &usable,
                                      std::uint32_t overflow) const;
    std::uint32_t bound(const UpstreamState &state, std::uint32_t overflow) const;
    std::uint32_t share(const UpstreamState &state) const;
    void smoothLoads();
    double meanSmoothed(const std::vector<Option> &options) const;
    double cost(const Option &option, double meanSmoothed) const;
    const Option *byPrefix(const std::vector<Option> &options, std::uint64_t prefix,
                           TimePoint now) const;
    const Option *byLoad(const std::vector<Option> &options);

    DataCentreId dataCentre;
    RouterLimits limits;
    Random random;
    RoutingTablePointer table;
    std::uint32_t instanceIndex = 0;
    std::uint32_t instanceCount = 1;
    std::map<UpstreamId, std::uint32_t> ownInFlight;
    RecentCounts recentRequests;
    /// Reported load in shares of the slots, smoothed over many reports.
    std::map<UpstreamId, double> smoothedLoad;
};

} // namespace bamboochute::admission
