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

/// @brief Criteria for the choice of an upstream.
struct RouteQuery
{
    /// Upstreams that could serve the request.
    std::vector<UpstreamId> candidates;
    /// Hash of the prompt's beginning, by prefixHash(); zero when affinity does not apply.
    std::uint64_t prefix = 0;
    /// Slots, over all candidates, that must stay free for classes with a higher engine priority.
    std::uint32_t headroom = 0;
    /// Slots of each upstream beyond this instance's share that the request may use when the share
    /// is full.
    std::uint32_t overflow = 0;
    /// Upstreams that have been tried before.
    std::vector<UpstreamId> excluded;
    auto operator<=>(const RouteQuery &) const = default;
};

/// @brief Bounds and weights of the choice.
struct RouterLimits
{
    /// An upstream of another data centre is chosen once the local ones are busier by this share of
    /// their slots.
    double otherDataCentreCost = 0.25;
    /// Affinity applies while an upstream got at most this many times the mean of recent requests.
    double affinityLoadBound = 1.15;
    /// Time constant of the decay of the counts of recent requests.
    Duration recentRequestDecayTime = std::chrono::seconds(30);
    /// An upstream that reports a load below this share of its slots may get more requests than
    /// this instance's share.
    double borrowBelowLoad = 0.85;
    /// Weight of a new report in the smoothed load of an upstream.
    double newReportWeight = 0.03;
    /// Smoothed load above the mean of all candidates that is ignored, in shares of the slots:
    /// reports only serve to find upstreams that stay busier than others.
    double reportTolerance = 0.5;
    /// Number of upstreams drawn at random, of which the least loaded is chosen.
    std::uint32_t sampleSize = 4;
    auto operator<=>(const RouterLimits &) const = default;
};

/// Bytes at the beginning of a prompt that decide its affinity.
constexpr std::size_t prefixBytes = 4096;

/// @brief Hash of a prompt's beginning.
/// @return zero when the prompt is shorter than prefixBytes
std::uint64_t prefixHash(std::string_view prompt);

/// @brief Slots that requests of a class leave free for classes with a higher engine priority.
/// @param callerClass class of the request
/// @param classes all classes of the deployment
/// @param slots slots of this instance, over all candidates of the request
std::uint32_t headroomFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes,
                          std::uint32_t slots);

/// @brief Slots of each upstream beyond an instance's share that requests of a class may use.
///
/// Only the class with the highest engine priority gets any: every instance leaves headroom, so
/// some slot of the upstream is most likely free, and if not, the engine's own queue serves that
/// class first.
std::uint32_t overflowFor(const CallerClass &callerClass, const std::vector<CallerClass> &classes);

/// @brief Chooses upstreams by this instance's requests in flight, reported load, data centre and
/// prompt prefix.
/// @note Not thread-safe; guarded by the mutex of the queue.
class Router
{
public:
    /// @param dataCentre the data centre of this instance
    /// @param seed of the random draws; differs between instances
    Router(DataCentreId dataCentre, std::uint64_t seed, RouterLimits limits = {});

    /// @brief Switches to a new routing table.
    void update(RoutingTablePointer table);

    /// @brief Divides each upstream's slots among the live instances.
    /// @param index position of this instance in the sorted list of live instances
    /// @param instances number of live instances, at least one
    void setShare(std::uint32_t index, std::uint32_t instances);

    /// @brief Upstreams that have a target loaded and are not leaving.
    std::vector<UpstreamId> replicas(const Target &target) const;

    /// @brief Upstreams of a pool of the kind Service that are not leaving.
    std::vector<UpstreamId> services(const PoolId &pool) const;

    /// @brief Number of slots that this instance has at the given upstreams together.
    std::uint32_t slots(const std::vector<UpstreamId> &candidates) const;

    /// @brief Chooses an upstream with a free slot.
    /// @return nothing when every candidate is full, leaving, ejected or excluded
    std::optional<UpstreamId> pick(const RouteQuery &query, const Ejector &ejector, TimePoint now);

    /// @brief Whether pick() would find an upstream.
    bool canPick(const RouteQuery &query, const Ejector &ejector, TimePoint now) const;

    /// @brief Records that a request is sent to an upstream.
    void recordStart(const UpstreamId &upstream, TimePoint now);

    /// @brief Records the end of a request, with whatever result.
    void recordFinish(const UpstreamId &upstream);

    /// @brief Number of requests of this instance in flight at an upstream.
    std::uint32_t inFlight(const UpstreamId &upstream) const;

private:
    /// An upstream with free slots.
    struct FreeUpstream
    {
        const UpstreamState *state;
        std::uint32_t inFlight;
        std::uint32_t maxInFlight;
    };

    std::vector<FreeUpstream> freeUpstreams(const RouteQuery &query, const Ejector &ejector,
                                            TimePoint now) const;
    std::vector<FreeUpstream> freeUpstreamsWithin(const RouteQuery &query,
                                                  const std::vector<UpstreamId> &usable,
                                                  std::uint32_t overflow) const;
    std::uint32_t maxInFlight(const UpstreamState &state, std::uint32_t overflow) const;
    std::uint32_t instanceShare(const UpstreamState &state) const;
    void updateSmoothedLoads();
    double meanSmoothedLoad(const std::vector<FreeUpstream> &freeUpstreams) const;
    double cost(const FreeUpstream &upstream, double meanSmoothedLoad) const;
    const FreeUpstream *pickByPrefix(const std::vector<FreeUpstream> &freeUpstreams,
                                     std::uint64_t prefix, TimePoint now) const;
    const FreeUpstream *pickByLoad(const std::vector<FreeUpstream> &freeUpstreams);

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
