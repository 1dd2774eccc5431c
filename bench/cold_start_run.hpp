/// @file
/// @brief Runs a trace of requests against the pool controllers and measures cold starts.
#pragma once

#include "cold_start_trace.hpp"
#include "decision_world.hpp"

namespace bamboochute::bench {

/// @brief Result of one variant on one trace.
struct ColdStartResult
{
    std::uint64_t requests = 0;
    /// Requests whose target was not loaded on arrival.
    std::uint64_t cold = 0;
    std::uint64_t refused = 0;
    /// Requests whose deadline passed without an answer.
    std::uint64_t late = 0;
    std::uint64_t refusedInVain = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t storeExceeded = 0;
    std::uint64_t loads = 0;
    double idleHours = 0.0;
    double keyValueCallsPerSecond = 0.0;
    std::uint64_t failedWarm = 0;
    std::map<std::string, double> callsByPurpose;
    /// Seconds that each cold request waited, sorted.
    std::vector<double> waits;
    std::map<std::string, std::uint64_t> counters;

    double quantile(double share) const
    {
        if (this->waits.empty())
            return 0.0;
        const auto index
                = static_cast<std::size_t>(share * static_cast<double>(this->waits.size()));
        return this->waits[std::min(index, this->waits.size() - 1)];
    }
};

/// @brief A load that requests waited for, with these requests.
struct ColdEpisode
{
    Target target;
    TimePoint began;
    /// Duration of the load when nothing slows it down.
    Duration takes;
    bool isFromStore = true;
    std::vector<TraceRequest> requests;
};

/// @brief Sends the requests of a trace to a simulated pool and measures their waits.
class ColdStartRun
{
public:
    ColdStartRun(WorldSettings settings, std::vector<TraceRequest> given, TimePoint measuredFrom)
        : world(std::move(settings))
        , trace(std::move(given))
        , measuredFrom(measuredFrom)
    {
        this->world.published = [this](const auto &) { this->serveRoutedRequests(); };
        this->world.refused = [this](const auto &refusal) { this->handleRefusal(refusal); };
    }

    void start()
    {
        this->scheduleNextArrival();
        this->reportDemandPeriodically();
        this->sampleIdle();
    }

    void runUntil(TimePoint end) { this->world.scheduler.runUntil(end); }

    ColdStartResult result(TimePoint end)
    {
        ColdStartResult found = this->counted;
        std::sort(found.waits.begin(), found.waits.end());
        found.idleHours = this->idleSeconds / 3600.0;
        found.storeExceeded = this->world.store.exceeded;
        found.loads = this->world.store.loads;
        found.duplicates = this->world.failure.empty() ? 0 : 1;
        const double seconds = toSeconds(end - TimePoint());
        found.keyValueCallsPerSecond
                = static_cast<double>(this->world.keyValue.totalCalls()) / seconds;
        for (std::size_t i = 0; i < this->world.keyValue.calls.size(); ++i) {
            const auto purpose = static_cast<platform::Purpose>(i);
            found.callsByPurpose[std::string(platform::purposeName(purpose))]
                    = static_cast<double>(this->world.keyValue.calls[i]) / seconds;
        }
        if (InstanceFake *owner = this->world.announcedOwner(); owner != nullptr && owner->isAlive)
            found.counters = owner->controller->counters();
        return found;
    }

    World &theWorld() { return this->world; }
    const std::vector<ColdEpisode> &episodes() const { return this->closedEpisodes; }
    const std::vector<TraceRequest> &refusedRequests() const { return this->refusedByOwner; }
    bool isMeasured(TimePoint at) const { return at >= this->measuredFrom; }

private:
    struct Running
    {
        std::map<InstanceId, std::uint32_t> byInstance;
        std::uint32_t sum = 0;
    };

    void scheduleNextArrival()
    {
        if (this->next >= this->trace.size())
            return;
        this->world.scheduler.at(this->trace[this->next].at, [this] {
            this->handleArrival(this->trace[this->next++]);
            this->scheduleNextArrival();
        });
    }

    void handleArrival(const TraceRequest &request)
    {
        const bool isCounted = this->isMeasured(request.at);
        this->counted.requests += isCounted ? 1 : 0;
        if (this->world.isRouted(request.target)) {
            this->serve(request);
            return;
        }
        this->counted.cold += isCounted ? 1 : 0;
        auto [episode, isNew] = this->openEpisodes.try_emplace(request.target);
        if (isNew) {
            episode->second.target = request.target;
            episode->second.began = request.at;
        }
        episode->second.requests.push_back(request);
        this->waiting[{request.instance, request.target}].push_back(request);
        this->reportDemand(request.instance, request.target);
        this->world.scheduler.at(request.deadline,
                                 [this, request] { this->expireRequests(request); });
    }

    void expireRequests(const TraceRequest &request)
    {
        const auto found = this->waiting.find({request.instance, request.target});
        if (found == this->waiting.end())
            return;
        auto &requests = found->second;
        const auto count = std::erase_if(requests, [&](const TraceRequest &each) {
            return each.deadline <= this->world.scheduler.now();
        });
        if (this->isMeasured(request.at))
            this->counted.late += count;
        this->reportDemand(request.instance, request.target);
        this->closeEpisodeWithoutWaiters(request.target);
    }

    void reportDemand(std::size_t instance, const Target &target)
    {
        decision::DemandReported demand;
        demand.instance = this->world.instances[instance].id;
        demand.target = target;
        const auto found = this->waiting.find({instance, target});
        if (found != this->waiting.end() && !found->second.empty()) {
            demand.waiting = static_cast<std::uint32_t>(found->second.size());
            demand.earliestDeadline = TimePoint::max();
            for (const TraceRequest &each : found->second) {
                demand.earliestDeadline = std::min(demand.earliestDeadline, each.deadline);
                demand.weight = std::max(demand.weight, each.weight);
            }
        }
        this->world.demand(demand);
    }

    void reportDemandPeriodically()
    {
        std::erase_if(this->waiting, [](const auto &each) { return each.second.empty(); });
        for (const auto &[key, requests] : this->waiting)
            this->reportDemand(key.first, key.second);
        this->world.scheduler.after(std::chrono::seconds(1),
                                    [this] { this->reportDemandPeriodically(); });
    }

    void serveRoutedRequests()
    {
        for (auto each = this->waiting.begin(); each != this->waiting.end();) {
            const Target target = each->first.second;
            const std::size_t instance = each->first.first;
            if (!this->world.isRouted(target)) {
                ++each;
                continue;
            }
            const auto requests = std::exchange(each->second, {});
            each = this->waiting.erase(each);
            for (const TraceRequest &request : requests) {
                if (this->isMeasured(request.at))
                    this->counted.waits.push_back(
                            toSeconds(this->world.scheduler.now() - request.at));
                this->serve(request);
            }
            this->reportDemand(instance, target);
            this->closeEpisode(target);
        }
    }

    void closeEpisode(const Target &target)
    {
        auto node = this->openEpisodes.extract(target);
        if (node.empty())
            return;
        ColdEpisode episode = std::move(node.mapped());
        const auto &loads = this->world.settings.loads;
        const Target base{target.model, {}};
        const bool isAdapter = !target.adapter.isEmpty();
        episode.takes = isAdapter ? loads.adapter : loads.remote;
        episode.isFromStore = !isAdapter;
        for (const UpstreamId &upstream : this->world.routesOf(target)) {
            const EngineFake &engine = *this->world.engines.at(upstream);
            // An adapter waits for its base model only if that was not loaded either.
            if (isAdapter && engine.loadBegan(base) < episode.began)
                continue;
            const auto place = engine.loadedFrom(base);
            episode.isFromStore = place == decision::CheckpointLocation::Remote;
            episode.takes = place == decision::CheckpointLocation::Memory ? loads.memory
                            : place == decision::CheckpointLocation::Disk ? loads.disk
                                                                          : loads.remote;
            episode.takes += isAdapter ? loads.adapter : Duration{};
        }
        this->closedEpisodes.push_back(std::move(episode));
    }

    /// Closes the target's episode if no request waits for it any more.
    void closeEpisodeWithoutWaiters(const Target &target)
    {
        const bool isWaiting
                = std::any_of(this->waiting.begin(), this->waiting.end(), [&](const auto &each) {
                      return each.first.second == target && !each.second.empty();
                  });
        if (!isWaiting)
            this->closeEpisode(target);
    }

    void serve(const TraceRequest &request)
    {
        const std::vector<UpstreamId> routes = this->world.routesOf(request.target);
        const UpstreamId &upstream = routes[this->world.below(routes.size())];
        if (!this->world.engines.at(upstream)->isLoaded(request.target)) {
            ++this->counted.failedWarm;
            return;
        }
        this->recordUsage(request, upstream, true);
        this->world.scheduler.after(request.runs, [this, request, upstream] {
            this->recordUsage(request, upstream, false);
        });
    }

    void recordUsage(const TraceRequest &request, const UpstreamId &upstream, bool isStart)
    {
        Running &running = this->running[{upstream, request.target}];
        const InstanceId instance = this->world.instances[request.instance].id;
        std::uint32_t &own = running.byInstance[instance];
        own += isStart ? 1 : -1;
        running.sum += isStart ? 1 : -1;
        if (InstanceFake *owner = this->world.announcedOwner()) {
            this->world.tell(*owner, decision::UsageReported{instance, upstream, request.target,
                                                             isStart ? 1U : 0U, own,
                                                             this->world.scheduler.now()});
        }
    }

    void handleRefusal(const decision::RefuseDemand &refusal)
    {
        for (auto &[key, requests] : this->waiting) {
            if (key.second != refusal.target)
                continue;
            std::erase_if(requests, [&](const TraceRequest &each) {
                if (each.deadline >= refusal.deadlineBefore)
                    return false;
                if (this->isMeasured(each.at)) {
                    ++this->counted.refused;
                    this->refusedByOwner.push_back(each);
                }
                return true;
            });
        }
        this->closeEpisodeWithoutWaiters(refusal.target);
    }

    void sampleIdle()
    {
        constexpr Duration interval = std::chrono::seconds(1);
        if (this->isMeasured(this->world.scheduler.now())) {
            for (const auto &[id, engine] : this->world.engines) {
                for (const auto &entry : engine->inventory()) {
                    const auto found = this->running.find({id, entry.target});
                    const bool isRunning = found != this->running.end() && found->second.sum > 0;
                    if (isRunning || entry.state != decision::InventoryState::Loaded)
                        continue;
                    // A base model that is used only through its adapters is not idle.
                    if (entry.target.adapter.isEmpty() && this->isRunningAdapter(id, entry.target))
                        continue;
                    this->idleSeconds += toSeconds(interval) * engine->spec.accelerators
                                         * static_cast<double>(entry.memory.count)
                                         / static_cast<double>(engine->spec.memory.count);
                }
            }
        }
        this->world.scheduler.after(interval, [this] { this->sampleIdle(); });
    }

    bool isRunningAdapter(const UpstreamId &upstream, const Target &base) const
    {
        return std::any_of(this->running.begin(), this->running.end(), [&](const auto &each) {
            return each.first.first == upstream && each.first.second.model == base.model
                   && each.second.sum > 0;
        });
    }

    World world;
    std::vector<TraceRequest> trace;
    std::size_t next = 0;
    TimePoint measuredFrom;
    std::map<std::pair<std::size_t, Target>, std::vector<TraceRequest>> waiting;
    std::map<std::pair<UpstreamId, Target>, Running> running;
    std::map<Target, ColdEpisode> openEpisodes;
    std::vector<ColdEpisode> closedEpisodes;
    std::vector<TraceRequest> refusedByOwner;
    ColdStartResult counted;
    double idleSeconds = 0.0;
};

} // namespace bamboochute::bench
