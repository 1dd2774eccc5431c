/// @file
/// @brief Baselines for cold starts: instances that load without coordination, and the lower bound
/// given by the weight store's limits.
#pragma once

#include "cold_start_run.hpp"

namespace bamboochute::bench {

/// @brief Time at which the load of an episode would end if only the weight store's limits applied.
struct IdealEpisode
{
    const ColdEpisode *episode = nullptr;
    TimePoint ready;
};

/// @brief Schedules the loads in the order in which their episodes began, as early as the limits
/// allow.
inline std::vector<IdealEpisode> idealSchedule(const std::vector<ColdEpisode> &episodes,
                                               const StoreLimits &limits)
{
    std::vector<const ColdEpisode *> inOrder;
    inOrder.reserve(episodes.size());
    for (const ColdEpisode &episode : episodes)
        inOrder.push_back(&episode);
    std::stable_sort(inOrder.begin(), inOrder.end(), [](const auto *left, const auto *right) {
        return left->began < right->began;
    });
    const double burst = std::max(1.0, limits.loadsPerSecond);
    double tokens = burst;
    TimePoint refilled{};
    std::vector<TimePoint> slots(std::max(1U, limits.loadsAtOnce));
    std::vector<IdealEpisode> ideal;
    for (const ColdEpisode *episode : inOrder) {
        if (!episode->isFromStore) {
            ideal.push_back({episode, episode->began + episode->takes});
            continue;
        }
        const auto slot = std::min_element(slots.begin(), slots.end());
        TimePoint start = std::max(episode->began, *slot);
        start = std::max(start, refilled);
        tokens = std::min(burst, tokens + toSeconds(start - refilled) * limits.loadsPerSecond);
        refilled = start;
        if (tokens < 1.0) {
            const double wait = (1.0 - tokens) / limits.loadsPerSecond;
            start += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
            tokens = 1.0;
            refilled = start;
        }
        tokens -= 1.0;
        *slot = start + episode->takes;
        ideal.push_back({episode, *slot});
    }
    return ideal;
}

/// @brief Computes the waits of all measured cold requests under the ideal schedule.
inline ColdStartResult lowerBound(const ColdStartRun &run, const StoreLimits &limits)
{
    ColdStartResult result;
    for (const IdealEpisode &ideal : idealSchedule(run.episodes(), limits)) {
        for (const TraceRequest &request : ideal.episode->requests) {
            if (!run.isMeasured(request.at))
                continue;
            ++result.cold;
            if (ideal.ready > request.deadline)
                ++result.refused;
            else
                result.waits.push_back(std::max(0.0, toSeconds(ideal.ready - request.at)));
        }
    }
    std::sort(result.waits.begin(), result.waits.end());
    return result;
}

/// @brief Counts the refused requests whose deadline the ideal schedule would have met.
inline std::uint64_t refusedInVain(const ColdStartRun &run, const StoreLimits &limits)
{
    std::uint64_t count = 0;
    const auto ideal = idealSchedule(run.episodes(), limits);
    for (const TraceRequest &refused : run.refusedRequests()) {
        const bool isInVain = std::any_of(ideal.begin(), ideal.end(), [&](const auto &each) {
            const auto &requests = each.episode->requests;
            const bool isIts = each.episode->target == refused.target
                               && std::any_of(requests.begin(), requests.end(),
                                              [&](const TraceRequest &one) {
                                                  return one.at == refused.at
                                                         && one.instance == refused.instance;
                                              });
            return isIts && each.ready <= refused.deadline;
        });
        count += isInVain ? 1 : 0;
    }
    return count;
}

/// @brief Simulates instances that each load onto a worker of their own and evict the least
/// recently used target.
class LocalLruRun
{
public:
    LocalLruRun(const Configuration &configuration, std::size_t instances, LoadModel loads,
                TimePoint measuredFrom)
        : view(decision::makePoolView(configuration, PoolId("pool")))
        , store(view.store)
        , loads(loads)
        , measuredFrom(measuredFrom)
        , workers(instances)
    {}

    ColdStartResult run(const std::vector<TraceRequest> &trace, TimePoint end)
    {
        this->sampleIdle();
        for (const TraceRequest &request : trace) {
            this->scheduler.at(request.at, [this, &request] { this->arrive(request); });
        }
        this->scheduler.runUntil(end);
        std::sort(this->result.waits.begin(), this->result.waits.end());
        this->result.idleHours = this->idleSeconds / 3600.0;
        this->result.storeExceeded = this->store.exceeded;
        this->result.loads = this->store.loads;
        return this->result;
    }

private:
    struct LoadedTarget
    {
        TimePoint ready;
        TimePoint lastUsed;
        TimePoint busyUntil;
        Bytes memory;
    };
    using Worker = std::map<Target, LoadedTarget>;

    void arrive(const TraceRequest &request)
    {
        const bool isCounted = request.at >= this->measuredFrom;
        this->result.requests += isCounted ? 1 : 0;
        Worker &worker = this->workers[request.instance % this->workers.size()];
        const bool isWarm = worker.contains(request.target);
        const LoadedTarget *loaded = this->ensureLoaded(worker, request.target);
        if (loaded == nullptr || loaded->ready > request.deadline) {
            this->result.refused += isCounted ? 1 : 0;
            return;
        }
        const TimePoint start = std::max(request.at, loaded->ready);
        const bool isCold = !isWarm || loaded->ready > request.at;
        if (isCounted && isCold) {
            ++this->result.cold;
            this->result.waits.push_back(toSeconds(start - request.at));
        }
        for (const Target &used : {request.target, Target{request.target.model, {}}}) {
            LoadedTarget &each = worker.at(used);
            each.lastUsed = start;
            each.busyUntil = std::max(each.busyUntil, start + request.runs);
        }
    }

    const LoadedTarget *ensureLoaded(Worker &worker, const Target &target)
    {
        TimePoint from = this->scheduler.now();
        if (!target.adapter.isEmpty()) {
            const LoadedTarget *base = this->ensureLoaded(worker, Target{target.model, {}});
            if (base == nullptr)
                return nullptr;
            from = std::max(from, base->ready);
        }
        const auto found = worker.find(target);
        if (found != worker.end())
            return &found->second;
        const Bytes wanted = this->view.targets.at(target).memory;
        if (!this->evictUntilFits(worker, target, wanted))
            return nullptr;
        for (const Worker &other : this->workers)
            this->result.duplicates += &other != &worker && other.contains(target) ? 1 : 0;
        const bool isAdapter = !target.adapter.isEmpty();
        const Duration takes
                = this->store.start(isAdapter, isAdapter ? this->loads.adapter : this->loads.remote,
                                    this->scheduler.now());
        this->scheduler.after(takes, [this, isAdapter] { this->store.end(isAdapter); });
        return &(worker[target] = LoadedTarget{from + takes, from, from + takes, wanted});
    }

    bool evictUntilFits(Worker &worker, const Target &target, Bytes wanted)
    {
        const Bytes capacity = this->view.upstreams.begin()->second.memory;
        for (;;) {
            Bytes used;
            for (const auto &[each, loaded] : worker)
                used = used + loaded.memory;
            if (used + wanted <= capacity)
                return true;
            auto oldest = worker.end();
            for (auto each = worker.begin(); each != worker.end(); ++each) {
                const bool isBusy = each->second.busyUntil > this->scheduler.now()
                                    || each->first == Target{target.model, {}};
                if (!isBusy
                    && (oldest == worker.end() || each->second.lastUsed < oldest->second.lastUsed))
                    oldest = each;
            }
            if (oldest == worker.end())
                return false;
            const Target evicted = oldest->first;
            std::erase_if(worker, [&](const auto &each) {
                return each.first == evicted
                       || (evicted.adapter.isEmpty() && each.first.model == evicted.model);
            });
        }
    }

    void sampleIdle()
    {
        const TimePoint now = this->scheduler.now();
        const UpstreamSpec &spec = this->view.upstreams.begin()->second;
        for (const Worker &worker : this->workers) {
            for (const auto &[target, loaded] : worker) {
                if (now >= this->measuredFrom && loaded.ready <= now && loaded.busyUntil <= now)
                    this->idleSeconds += spec.accelerators
                                         * static_cast<double>(loaded.memory.count)
                                         / static_cast<double>(spec.memory.count);
            }
        }
        this->scheduler.after(std::chrono::seconds(1), [this] { this->sampleIdle(); });
    }

    decision::PoolView view;
    Scheduler scheduler;
    StoreFake store;
    LoadModel loads;
    TimePoint measuredFrom;
    std::vector<Worker> workers;
    ColdStartResult result;
    double idleSeconds = 0.0;
};

} // namespace bamboochute::bench
