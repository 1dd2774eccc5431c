/// @file
/// @brief Decides which engine holds which models and adapters; does no I/O, and the time is always
/// a parameter.
#pragma once

#include "core/clock.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/upstream_table.hpp"
#include "residency/demand_tally.hpp"
#include "residency/engine_orders.hpp"
#include "store/pacing.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::residency {

/// @brief State of an engine at the time of a plan.
struct UpstreamSnapshot
{
    UpstreamId id;
    SoftwareVersion softwareVersion;
    gateway::Residency residency;
    gateway::WeightCopies copies;
    /// Adapters that are being loaded.
    std::vector<Target> pendingAdapters;
    /// Whether it takes requests and is not leaving.
    bool isUsable = false;
    /// Whether it can take an order now.
    bool isReady = false;
    /// When the order in progress is expected to be complete.
    TimePoint busyUntil{};
    /// Model that is being loaded; empty when there is none.
    ModelId loading;
    /// Requests of all instances that run on it.
    std::uint32_t running = 0;
    auto operator<=>(const UpstreamSnapshot &) const = default;
};

/// @brief Place from which weights are loaded: host memory, disk, or weight store.
enum class WeightSource { Memory, Disk, Store };

/// @brief Name of a source, as logs show it.
std::string_view weightSourceName(WeightSource source) noexcept;

/// @brief An order that should be sent now.
struct PlannedOrder
{
    UpstreamId upstream;
    OrderOperation operation = OrderOperation::Load;
    Target target;
    WeightSource source = WeightSource::Disk;
    /// Expected duration.
    Duration expected{};
    /// Reason for the order, for the log.
    std::string_view reason;
    auto operator<=>(const PlannedOrder &) const = default;
};

/// @brief Parameters of the planning; costs are in seconds that callers wait.
struct PlannerSettings
{
    /// Lowest rate that is assumed for a model, also when nobody has asked for it yet, in requests
    /// per second.
    double assumedRate = 0.03;
    /// Time over which the expected use of a replica is counted, in seconds.
    double horizonSeconds = 12;
    /// Requests at a time, running or waiting, that one replica of a model serves.
    double concurrencyPerReplica = 10;
    /// Rate from which a model gets two replicas, in requests per second.
    double twoReplicasRate = 0.8;
    /// Replicas of a model that are kept until the demand is known: the larger of this number and
    /// the following share of the present replicas, as far as there are so many.
    std::uint32_t initialReplicas = 3;
    double initialReplicaShare = 0.6;
    /// Number of goals for one model from which no further replica is planned.
    std::uint32_t maxReplicaGoals = 3;
    /// Number of requests in all reports from which the demand counts as known.
    std::uint64_t demandKnownAfterArrivals = 60;
    /// Base cost of evicting a replica beyond the wanted ones.
    double surplusReplicaCost = 0.02;
    /// Base cost of evicting a wanted replica that is not the only one, and base benefit of adding
    /// a replica.
    double replicaCost = 0.3;
    /// Base cost of evicting the only replica.
    double soleReplicaCost = 0.25;
    /// Additional cost of evicting the only replica at a software version while requests run at
    /// it and engines of other versions serve: streams that break go on only at their version.
    double soleReplicaAtVersionCost = 10;
    /// Time for which streams that waited at a software version are expected to come back.
    Duration streamReturnTime = std::chrono::seconds(8);
    /// Share of these streams that is expected to come back.
    double streamReturnShare = 0.5;
    /// Smoothed number of requests for a model from which streams count as open.
    double openStreamConcurrency = 0.1;
    /// Cost for each request that runs on an engine when a model is evicted from it.
    double runningRequestCost = 0.05;
    /// Cost of each request that may need an adapter and arrives while its engine loads a model.
    double adapterWaitCost = 0.5;
    /// Time after its load within which a model is not evicted.
    Duration minResidencyTime = std::chrono::milliseconds(1500);
    /// If the goals for a model will take longer than this, and another engine could hold the model
    /// sooner by at least this time, the model is loaded there as well.
    Duration slowGoalThreshold = std::chrono::milliseconds(1500);
    /// Time after which a goal that is not reached is given up.
    Duration goalTimeout = std::chrono::seconds(15);
    /// Pause between two plans for replicas and models that no request waits for.
    Duration preloadInterval = std::chrono::milliseconds(300);
    /// Models without a replica that one such plan considers.
    std::size_t maxPreloadModels = 24;
    /// Expected time of loading or unloading an adapter.
    Duration adapterLoadTime = std::chrono::milliseconds(12);
    /// Minimum wait that is announced for a target that can't be loaded now.
    Duration minUnplannedWait = std::chrono::seconds(4);
    auto operator<=>(const PlannerSettings &) const = default;
};

/// @brief Plans the orders to the engines of one service; keeps goals that take several orders.
class ResidencyPlanner
{
public:
    explicit ResidencyPlanner(PlannerSettings settings = {})
        : settings(settings)
    {}

    /// @brief Sets the models and limits of the service's engines.
    void configure(const gateway::EngineSpec &engine);

    /// @brief Discards goals and loads in progress, as after a change of owner.
    void restart(TimePoint now);

    /// @brief Plans the next orders.
    /// @param upstreams all engines of the service
    /// @return orders to send now: at most one for each engine, only for engines that are ready
    std::vector<PlannedOrder> plan(const std::vector<UpstreamSnapshot> &upstreams,
                                   const DemandTally &demand, TimePoint now);

    /// @brief When the last plan expects some engine to hold a target that requests wait for.
    /// @param version software version that the waiting requests are bound to; empty for all others
    /// @return nothing when no request waited for the target
    std::optional<TimePoint> readyAt(const Target &target,
                                     const SoftwareVersion &version = {}) const;

    /// @brief Records that an engine accepted a planned order.
    void recordAcceptedOrder(const PlannedOrder &order, TimePoint now);

    /// @brief Records how long a load from the weight store took.
    /// @param took measured duration
    /// @param expected duration at full speed
    void recordStoreLoadTime(Duration took, Duration expected);

private:
    /// What a model is loaded for; a goal may replace one of lower precedence.
    enum class Precedence {
        /// Requests that are expected.
        Expected,
        /// Requests that wait.
        Waiting,
        /// Requests that wait and that only the engines of one software version serve.
        Bound,
    };
    /// A model that an engine is to load, after it has unloaded the victims.
    struct Goal
    {
        ModelId model;
        /// Models that the engine unloads first.
        std::vector<ModelId> victims;
        TimePoint createdAt{};
        /// When the engine is expected to hold the model.
        TimePoint readyAt{};
        /// Whether requests waited for the model in some plan since the goal was set.
        bool hasWaitingRequests = false;
        std::string_view reason;
        /// Whether requests that only the engine's software version serves wait for the model.
        bool hasBoundRequests = false;

        /// @brief Whether the goal evicts a model.
        bool evicts(const ModelId &modelId) const;

        /// @brief What the model is loaded for.
        Precedence precedence() const
        {
            if (this->hasBoundRequests)
                return Precedence::Bound;
            return this->hasWaitingRequests ? Precedence::Waiting : Precedence::Expected;
        }
    };
    using Goals = std::map<UpstreamId, Goal>;
    /// An engine that could load a model.
    struct Candidate
    {
        const UpstreamSnapshot *upstream = nullptr;
        std::vector<ModelId> victims;
        /// Time until the engine holds the model, plus the disruption cost; in seconds.
        double cost = 0;
        /// Cost of the evictions, and of blocking adapter loads during the load.
        double disruptionCost = 0;
        TimePoint readyAt{};
        WeightSource source = WeightSource::Disk;
    };
    /// State of a model within one call of plan(); found by the model's index in the configuration.
    struct ModelState
    {
        const gateway::ModelWeights *weights = nullptr;
        /// Usable engines that hold it and are not to evict it.
        std::uint32_t replicas = 0;
        std::uint32_t wantedReplicas = 1;
        /// Requests per second.
        double rate = 0;
        /// Smoothed number of requests that run or wait.
        double concurrency = 0;
        /// Requests that wait for it or for one of its adapters.
        std::uint64_t waitingRequests = 0;
        /// Number of goals to load it.
        std::uint32_t goalCount = 0;
        /// Whether some usable engine has the weights on its disk or in its host memory.
        bool hasCopy = false;
    };
    /// State of an engine within one call of plan().
    struct UpstreamState
    {
        const UpstreamSnapshot *snapshot = nullptr;
        double usedMegabytes = 0;
        /// Indexes of the resident models in PlanningState::models.
        std::vector<std::size_t> resident;
        /// Where the weights of each model would be loaded from, by index in PlanningState::models.
        std::vector<WeightSource> sources;

        /// @brief Whether the engine runs a version; true for the empty one.
        bool isOfVersion(const SoftwareVersion &version) const
        {
            return version.isEmpty() || this->snapshot->softwareVersion == version;
        }
    };
    /// Input and working state of one call of plan().
    struct PlanningState
    {
        const DemandTally &demand;
        TimePoint now;
        bool isDemandKnown = false;
        /// Whether usable engines run several software versions.
        bool hasSeveralVersions = false;
        std::vector<ModelState> models = {};
        std::map<ModelId, std::size_t> modelIndexes = {};
        std::vector<UpstreamState> upstreams = {};

        ModelState *find(const ModelId &model);
        UpstreamState *find(const UpstreamId &upstream);
    };

    PlanningState buildPlanningState(const std::vector<UpstreamSnapshot> &upstreams,
                                     const DemandTally &demand, TimePoint now) const;
    UpstreamState buildUpstreamState(const PlanningState &state,
                                     const UpstreamSnapshot &upstream) const;
    std::uint32_t computeWantedReplicas(const PlanningState &state,
                                        const ModelState &modelState) const;
    void removeObsoleteGoals(PlanningState &state);
    void addGoalsForWaitingRequests(PlanningState &state);
    void markGoalsOfBoundRequests(PlanningState &state);
    void addGoalsForBoundRequests(PlanningState &state);
    TimePoint planBoundTarget(PlanningState &state, const VersionedTarget &wanted,
                              Duration shortestWait);
    void addGoalsForReturningStreams(PlanningState &state);
    bool isPlannedAtVersion(const PlanningState &state, const ModelId &model,
                            const SoftwareVersion &version) const;
    std::optional<TimePoint> findBoundReplica(PlanningState &state, const VersionedTarget &wanted);
    std::optional<TimePoint> findBoundGoal(const PlanningState &state,
                                           const VersionedTarget &wanted);
    TimePoint goalReadyAt(const PlanningState &state, const UpstreamState &upstreamState,
                          const Goal &goal) const;
    std::optional<Candidate> findBoundCandidate(PlanningState &state, const VersionedTarget &wanted,
                                                Duration shortestWait, double benefit);
    void addGoalsForReplicas(PlanningState &state);
    void addGoalsForUnloadedModels(PlanningState &state);
    void addOrdersForGoals(PlanningState &state, std::vector<PlannedOrder> &orders);
    void addOrdersForAdapters(PlanningState &state, std::vector<PlannedOrder> &orders);
    void addAdapterOrder(PlanningState &state, const VersionedTarget &wanted,
                         std::vector<PlannedOrder> &orders);
    std::optional<PlannedOrder> makeAdapterOrder(const PlanningState &state,
                                                 const UpstreamState &upstreamState,
                                                 const Target &target, double megabytes) const;
    bool isAdapterAwaited(const PlanningState &state, const UpstreamState &upstreamState,
                          const Target &target) const;
    void addGoal(PlanningState &state, const Candidate &candidate, const ModelId &model,
                 Precedence precedence, std::string_view reason);
    void dropGoal(PlanningState &state, Goals::iterator goal);

    /// @param model index in PlanningState::models, here and below
    /// @param precedence what the model is loaded for
    /// @param version software version of the engines to consider; empty for all
    std::optional<Candidate> findBestCandidate(PlanningState &state, std::size_t model,
                                               Precedence precedence,
                                               const SoftwareVersion &version = {});
    bool isReservedFor(const UpstreamState &upstreamState, Precedence precedence) const;
    std::optional<Candidate> evaluateCandidate(const PlanningState &state,
                                               const UpstreamState &upstreamState,
                                               std::size_t model, bool isBound) const;
    std::optional<TimePoint> earliestLoadAfterGoals(const PlanningState &state,
                                                    std::size_t model) const;
    std::optional<TimePoint> earliestGoalReadyAt(const ModelId &model) const;
    std::optional<TimePoint> earliestBoundLoad(const PlanningState &state, std::size_t model,
                                               const SoftwareVersion &version,
                                               double benefit) const;
    std::optional<TimePoint> earliestLoadAt(const PlanningState &state,
                                            const UpstreamState &upstreamState, std::size_t model,
                                            double benefit) const;
    double computeLoadBenefit(const ModelState &model) const;
    double computeAdapterBlockingCost(const PlanningState &state,
                                      const UpstreamState &upstreamState,
                                      Duration loadDuration) const;
    TimePoint evictableAt(const PlanningState &state, const UpstreamState &upstreamState,
                          std::size_t model) const;
    double computeEvictionCost(const PlanningState &state, const UpstreamState &upstreamState,
                               std::size_t model) const;
    bool mayStreamsNeed(const PlanningState &state, const UpstreamState &upstreamState,
                        std::size_t model) const;
    Duration loadTime(const gateway::ModelWeights &model, WeightSource source) const;
    std::uint32_t countStoreLoads(PlanningState &state) const;
    bool canLoadFromStore(PlanningState &state);
    TimePoint adapterReadyAt(const PlanningState &state, const VersionedTarget &wanted) const;
    Duration estimateUnplannedWait(const gateway::ModelWeights &model) const;

    /// Expected time of unloading an idle model.
    static constexpr Duration unloadTime = std::chrono::milliseconds(30);

    PlannerSettings settings;
    gateway::EngineSpec engine;
    store::Pacer pacer;
    /// At most one goal for each engine.
    Goals goals;
    /// When accepted loads of models are expected to be complete.
    std::map<std::pair<UpstreamId, ModelId>, TimePoint> loadedAt;
    /// When loads of adapters were accepted, for the minimum time of residency.
    std::map<std::pair<UpstreamId, Target>, TimePoint> adapterLoadedAt;
    std::map<UpstreamId, ModelId> runningStoreLoads;
    /// Streams that waited for a model at a software version.
    struct ReturningStreams
    {
        std::uint64_t count = 0;
        TimePoint seenAt{};
    };
    std::map<std::pair<ModelId, SoftwareVersion>, ReturningStreams> returningStreams;
    /// Results of the last plan, for readyAt().
    std::map<VersionedTarget, TimePoint> expectedReadyTimes;
    TimePoint preloadPlannedAt{};
};

} // namespace bamboochute::residency
