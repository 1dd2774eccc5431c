/// @file
/// @brief Decides which engine holds which models and adapters; no I/O, time is a parameter.
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

/// @brief An engine as the planner sees it.
struct PlannedUpstream
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
    auto operator<=>(const PlannedUpstream &) const = default;
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
struct PlannerLimits
{
    /// Requests a second that are assumed of a model that nobody has asked for yet.
    double assumedRate = 0.03;
    /// Time over which a replica's use is counted.
    double horizonSeconds = 12;
    /// Requests under way that one replica of a model bears.
    double concurrencyPerReplica = 10;
    /// Requests a second from which a model has two replicas.
    double twoReplicasFrom = 0.8;
    /// Replicas that are kept of a model before its demand is known: so many, and this share of
    /// those that there are.
    std::uint32_t assumedReplicas = 3;
    double assumedShare = 0.6;
    /// Goals for further replicas of one model at a time.
    std::uint32_t replicaGoals = 3;
    /// Demand counts as known once so many requests were seen.
    std::uint64_t knownAfterArrivals = 60;
    /// Cost of dropping a replica beyond those wanted, and one that is wanted.
    double surplusCost = 0.02;
    double replicaCost = 0.3;
    double soleReplicaCost = 0.25;
    /// Cost of an engine's request under way when a model is to be unloaded there.
    double runningCost = 0.05;
    /// Cost of a request that might want an adapter while the engine loads a model.
    double adapterWaitCost = 0.5;
    /// A model is not unloaded for others within this time of its load.
    Duration minResidency = std::chrono::milliseconds(1500);
    /// A model that is to be held only after this time, and sooner by as much elsewhere, is loaded
    /// there as well.
    Duration slowGoal = std::chrono::milliseconds(1500);
    /// A goal that is not reached in this time is given up.
    Duration goalPatience = std::chrono::seconds(15);
    /// Pause between two looks for what nobody waits for.
    Duration aheadInterval = std::chrono::milliseconds(300);
    /// Models that one such look considers.
    std::size_t modelsAhead = 24;
    /// Time that an adapter takes.
    Duration adapterTime = std::chrono::milliseconds(12);
    /// What is said to those who wait when nothing can be done for them now.
    Duration hopelessWait = std::chrono::seconds(4);
    auto operator<=>(const PlannerLimits &) const = default;
};

/// @brief Plans the engines of one service; keeps the goals that take several orders.
class ResidencyPlanner
{
public:
    explicit ResidencyPlanner(PlannerLimits limits = {})
        : limits(limits)
    {}

    void configure(const gateway::EngineSpec &engine);

    /// @brief Begins anew, as after a change of owner.
    void restart(TimePoint now);

    /// @brief What to order now; at most one order for each engine that is ready.
    std::vector<PlannedOrder> plan(const std::vector<PlannedUpstream> &upstreams,
                                   const DemandTally &demand, TimePoint now);

    /// @brief When a target that is waited for is expected to be held.
    std::optional<TimePoint> readyAt(const Target &target) const;

    /// @brief Tells that an engine accepted an order of the plan.
    void accepted(const PlannedOrder &order, TimePoint now);

    /// @brief Tells that an engine completed a load from the weight store.
    void storeLoadFinished(Duration took, Duration expected);

private:
    struct Goal
    {
        ModelId model;
        std::vector<ModelId> victims;
        TimePoint since{};
        TimePoint readyAt{};
        bool isWaitedFor = false;
        std::string_view reason;

        /// @brief Whether a model is dropped for it.
        bool drops(const ModelId &dropped) const;
    };
    struct Place
    {
        const PlannedUpstream *upstream = nullptr;
        std::vector<ModelId> victims;
        double cost = 0;
        double evictionCost = 0;
        TimePoint readyAt{};
        WeightSource source = WeightSource::Disk;
    };
    /// What one call of plan() knows of a model; looked up by its place in the configuration.
    struct ModelFacts
    {
        const gateway::ModelWeights *weights = nullptr;
        std::uint32_t replicas = 0;
        std::uint32_t wanted = 1;
        double rate = 0;
        /// Requests under way or waiting, smoothed.
        double concurrency = 0;
        /// Requests that wait for it or for one of its adapters.
        std::uint32_t waiting = 0;
        /// Engines that are to load it.
        std::uint32_t goals = 0;
        /// Some engine has the weights at hand.
        bool hasCopy = false;
    };
    /// What one call of plan() knows of an engine.
    struct UpstreamFacts
    {
        const PlannedUpstream *upstream = nullptr;
        double usedMegabytes = 0;
        /// Places of the resident models in Scene::models.
        std::vector<std::size_t> resident;
        /// Where each model's weights would come from.
        std::vector<WeightSource> sources;
    };
    /// Everything that one call of plan() looks at.
    struct Scene
    {
        const DemandTally &demand;
        TimePoint now;
        bool isDemandKnown = false;
        std::vector<ModelFacts> models;
        std::map<ModelId, std::size_t> modelPlaces;
        std::vector<UpstreamFacts> upstreams;

        ModelFacts *find(const ModelId &model);
        UpstreamFacts *find(const UpstreamId &upstream);
    };

    Scene survey(const std::vector<PlannedUpstream> &upstreams, const DemandTally &demand,
                 TimePoint now) const;
    UpstreamFacts surveyUpstream(const Scene &scene, const PlannedUpstream &upstream) const;
    std::uint32_t wantedReplicas(const Scene &scene, const ModelFacts &facts) const;
    void dropGoals(Scene &scene);
    void goalsForWaiting(Scene &scene);
    void goalsForReplicas(Scene &scene);
    void goalsForCoverage(Scene &scene);
    void ordersForGoals(Scene &scene, std::vector<PlannedOrder> &orders);
    void ordersForAdapters(Scene &scene, std::vector<PlannedOrder> &orders);
    void orderAdapter(Scene &scene, const Target &target, std::vector<PlannedOrder> &orders);
    void addGoal(Scene &scene, const Place &place, const ModelId &model, bool isWaitedFor,
                 std::string_view reason);

    std::optional<Place> bestPlace(Scene &scene, std::size_t model, bool isWaitedFor);
    std::optional<Place> placeAt(const Scene &scene, const UpstreamFacts &upstream,
                                 std::size_t model) const;
    std::optional<TimePoint> nextTurn(const Scene &scene, std::size_t model) const;
    std::optional<TimePoint> earliestGoal(const ModelId &model) const;
    double waitingValue(const ModelFacts &model) const;
    double blockedAdapters(const Scene &scene, const UpstreamFacts &facts, Duration load) const;
    double keepValue(const Scene &scene, const UpstreamFacts &upstream, std::size_t model) const;
    Duration loadTime(const gateway::ModelWeights &model, WeightSource source) const;
    std::uint32_t storeLoads(Scene &scene) const;
    bool canLoadFromStore(Scene &scene);
    TimePoint adapterReadyAt(const Scene &scene, const Target &target) const;
    Duration hopelessWait(const gateway::ModelWeights &model) const;

    PlannerLimits limits;
    gateway::EngineSpec engine;
    store::Pacer pacer;
    std::map<UpstreamId, Goal> goals;
    std::map<std::pair<UpstreamId, ModelId>, TimePoint> loadedAt;
    std::map<UpstreamId, ModelId> storeLoading;
    std::map<Target, TimePoint> expectations;
    TimePoint plannedAheadAt{};
};

} // namespace bamboochute::residency
