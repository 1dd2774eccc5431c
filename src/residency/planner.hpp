/// @file
/// @brief Decides which engine holds which models and adapters; no I/O, time is a parameter.
#pragma once

#include "core/clock.hpp"
#include "gateway/catalogue.hpp"
#include "gateway/upstream_table.hpp"
#include "residency/demand_tally.hpp"
#include "residency/engine_orders.hpp"
#include "store/pacing.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::residency {

/// @brief An engine as the planner sees it.
struct UpstreamSnapshot
{
    UpstreamId id;
    gateway::Residency residency;
    gateway::WeightCopies copies;
    std::vector<Target> pendingAdapters;
    /// It takes requests now and is not about to leave.
    bool isUsable = false;
    /// It can take an order now.
    bool isReady = false;
    /// When the order that it carries out is expected to be complete.
    TimePoint busyUntil{};
    /// The model that it is loading; empty when there is none.
    ModelId loading;
    /// Requests that run there, of all instances.
    std::uint32_t running = 0;
    auto operator<=>(const UpstreamSnapshot &) const = default;
};

/// @brief Where the weights of a load come from.
enum class WeightSource { Memory, Disk, Store };

/// @brief Name of a source in logs and metric labels.
std::string_view weightSourceName(WeightSource source) noexcept;

/// @brief An order that should be sent now.
struct PlannedOrder
{
    UpstreamId upstream;
    OrderOperation operation = OrderOperation::Load;
    Target target;
    WeightSource source = WeightSource::Disk;
    /// Time that it is expected to take.
    Duration expected{};
    /// Why it is sent, for the log.
    std::string_view reason;
    auto operator<=>(const PlannedOrder &) const = default;
};

/// @brief Weights of the decisions, in seconds of waiting unless said otherwise.
struct PlannerSettings
{
    /// Requests a second that are assumed of a model that nobody has asked for yet.
    double assumedRate = 0.03;
    /// Time over which a replica's use is counted.
    double horizonSeconds = 12;
    /// Requests under way that one replica of a model bears.
    double concurrencyPerReplica = 10;
    /// Requests a second from which a model has two replicas.
    double twoReplicasRate = 0.8;
    /// Replicas that are kept of a model before its demand is known: so many, and this share of
    /// those that there are.
    std::uint32_t initialReplicas = 3;
    double initialReplicaShare = 0.6;
    /// Goals for further replicas of one model at a time.
    std::uint32_t maxReplicaGoals = 3;
    /// Demand counts as known once so many requests were seen.
    std::uint64_t demandKnownAfterArrivals = 60;
    /// Cost of dropping a replica beyond those wanted, and one that is wanted.
    double surplusReplicaCost = 0.02;
    double replicaCost = 0.3;
    double soleReplicaCost = 0.25;
    /// Cost of an engine's request under way when a model is to be unloaded there.
    double runningRequestCost = 0.05;
    /// Cost of a request that might want an adapter while the engine loads a model.
    double adapterWaitCost = 0.5;
    /// A model is not unloaded for others within this time of its load.
    Duration minResidencyTime = std::chrono::milliseconds(1500);
    /// A model that is to be held only after this time, and sooner by as much elsewhere, is loaded
    /// there as well.
    Duration slowGoalThreshold = std::chrono::milliseconds(1500);
    /// A goal that is not reached in this time is given up.
    Duration goalTimeout = std::chrono::seconds(15);
    /// Pause between two looks for what nobody waits for.
    Duration preloadInterval = std::chrono::milliseconds(300);
    /// Models that one such look considers.
    std::size_t maxPreloadModels = 24;
    /// Time that an adapter takes.
    Duration adapterLoadTime = std::chrono::milliseconds(12);
    /// What is said to those who wait when nothing can be done for them now.
    Duration minUnplannedWait = std::chrono::seconds(4);
    auto operator<=>(const PlannerSettings &) const = default;
};

/// @brief Plans the engines of one service; keeps the goals that take several orders.
class ResidencyPlanner
{
public:
    explicit ResidencyPlanner(PlannerSettings settings = {})
        : settings(settings)
    {}

    void configure(const gateway::EngineSpec &engine);

    /// @brief Begins anew, as after a change of owner.
    void restart(TimePoint now);

    /// @brief What to order now; at most one order for each engine that is ready.
    std::vector<PlannedOrder> plan(const std::vector<UpstreamSnapshot> &upstreams,
                                   const DemandTally &demand, TimePoint now);

    /// @brief When a target that is waited for is expected to be held.
    std::optional<TimePoint> readyAt(const Target &target) const;

    /// @brief Tells that an engine accepted an order of the plan.
    void recordAcceptedOrder(const PlannedOrder &order, TimePoint now);

    /// @brief Tells that an engine completed a load from the weight store.
    void recordStoreLoadTime(Duration took, Duration expected);

private:
    struct Goal
    {
        ModelId model;
        std::vector<ModelId> victims;
        TimePoint createdAt{};
        TimePoint readyAt{};
        bool hasWaitingRequests = false;
        std::string_view reason;

        /// @brief Whether a model is dropped for it.
        bool evicts(const ModelId &modelId) const;
    };
    struct Candidate
    {
        const UpstreamSnapshot *upstream = nullptr;
        std::vector<ModelId> victims;
        double cost = 0;
        double evictionCost = 0;
        TimePoint readyAt{};
        WeightSource source = WeightSource::Disk;
    };
    /// What one call of plan() knows of a model; looked up by its place in the configuration.
    struct ModelState
    {
        const gateway::ModelWeights *weights = nullptr;
        std::uint32_t replicas = 0;
        std::uint32_t wantedReplicas = 1;
        double rate = 0;
        /// Requests under way or waiting, smoothed.
        double concurrency = 0;
        /// Requests that wait for it or for one of its adapters.
        std::uint32_t waiting = 0;
        /// Engines that are to load it.
        std::uint32_t goalCount = 0;
        /// Some engine has the weights at hand.
        bool hasCopy = false;
    };
    /// What one call of plan() knows of an engine.
    struct UpstreamState
    {
        const UpstreamSnapshot *upstream = nullptr;
        double usedMegabytes = 0;
        /// Places of the resident models in Scene::models.
        std::vector<std::size_t> resident;
        /// Where each model's weights would come from.
        std::vector<WeightSource> sources;
    };
    /// Everything that one call of plan() looks at.
    struct PlanningState
    {
        const DemandTally &demand;
        TimePoint now;
        bool isDemandKnown = false;
        std::vector<ModelState> models;
        std::map<ModelId, std::size_t> modelIndexes;
        std::vector<UpstreamState> upstreams;

        ModelState *find(const ModelId &model);
        UpstreamState *find(const UpstreamId &upstream);
    };

    PlanningState buildPlanningState(const std::vector<UpstreamSnapshot> &upstreams,
                                     const DemandTally &demand, TimePoint now) const;
    UpstreamState buildUpstreamState(const PlanningState &state,
                                     const UpstreamSnapshot &upstream) const;
    std::uint32_t computeWantedReplicas(const PlanningState &state, const ModelState &facts) const;
    void removeObsoleteGoals(PlanningState &state);
    void addGoalsForWaitingRequests(PlanningState &state);
    void addGoalsForReplicas(PlanningState &state);
    void addGoalsForUnloadedModels(PlanningState &state);
    void addOrdersForGoals(PlanningState &state, std::vector<PlannedOrder> &orders);
    void addOrdersForAdapters(PlanningState &state, std::vector<PlannedOrder> &orders);
    void addAdapterOrder(PlanningState &state, const Target &target,
                         std::vector<PlannedOrder> &orders);
    void addGoal(PlanningState &state, const Candidate &candidate, const ModelId &model,
                 bool hasWaitingRequests, std::string_view reason);

    std::optional<Candidate> findBestCandidate(PlanningState &state, std::size_t model,
                                               bool hasWaitingRequests);
    std::optional<Candidate> evaluateCandidate(const PlanningState &state,
                                               const UpstreamState &upstream,
                                               std::size_t model) const;
    std::optional<TimePoint> earliestLoadAfterGoals(const PlanningState &state,
                                                    std::size_t model) const;
    std::optional<TimePoint> earliestGoalReadyAt(const ModelId &model) const;
    double computeLoadBenefit(const ModelState &model) const;
    double computeAdapterBlockingCost(const PlanningState &state, const UpstreamState &facts,
                                      Duration load) const;
    double computeEvictionCost(const PlanningState &state, const UpstreamState &upstream,
                               std::size_t model) const;
    Duration loadTime(const gateway::ModelWeights &model, WeightSource source) const;
    std::uint32_t countStoreLoads(PlanningState &state) const;
    bool canLoadFromStore(PlanningState &state);
    TimePoint adapterReadyAt(const PlanningState &state, const Target &target) const;
    Duration estimateUnplannedWait(const gateway::ModelWeights &model) const;

    PlannerSettings settings;
    gateway::EngineSpec engine;
    store::Pacer pacer;
    std::map<UpstreamId, Goal> goals;
    std::map<std::pair<UpstreamId, ModelId>, TimePoint> loadedAt;
    std::map<UpstreamId, ModelId> runningStoreLoads;
    std::map<Target, TimePoint> expectedReadyTimes;
    TimePoint preloadPlannedAt{};
};

} // namespace bamboochute::residency
