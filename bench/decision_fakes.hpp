/// @file
/// @brief Fakes of engines, the weight store and the key-value service in virtual time.
#pragma once

#include "core/random.hpp"
#include "decision/actions.hpp"
#include "decision/events.hpp"
#include "platform/key_value_state.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace bamboochute::bench {

/// @brief Runs callbacks in the order of virtual time; equal times in the order of their addition.
class Scheduler
{
public:
    TimePoint now() const { return this->time; }

    void at(TimePoint when, std::function<void()> callback)
    {
        this->queue.push(Entry{std::max(when, this->time), ++this->sequence, std::move(callback)});
    }

    void after(Duration delay, std::function<void()> callback)
    {
        this->at(this->time + delay, std::move(callback));
    }

    /// @brief Runs the next callback.
    /// @return false when there is none
    bool step()
    {
        if (this->queue.empty())
            return false;
        const std::function<void()> callback = this->queue.top().callback;
        this->time = this->queue.top().when;
        this->queue.pop();
        callback();
        return true;
    }

    void runUntil(TimePoint end)
    {
        while (!this->queue.empty() && this->queue.top().when <= end)
            this->step();
        this->time = std::max(this->time, end);
    }

private:
    struct Entry
    {
        TimePoint when;
        std::uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator<(const Entry &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(this->when, this->sequence);
        }
    };

    std::priority_queue<Entry> queue;
    TimePoint time{};
    std::uint64_t sequence = 0;
};

/// @brief Durations of loads, by the place of the checkpoint, and of unloads.
struct LoadModel
{
    Duration remote = std::chrono::seconds(8);
    Duration disk = std::chrono::seconds(3);
    Duration memory = std::chrono::seconds(1);
    Duration adapter = std::chrono::milliseconds(5);
    Duration unload = std::chrono::milliseconds(200);
};

/// @brief Fake weight store: applies the limits of the whole fleet and counts loads beyond them.
class StoreFake
{
public:
    explicit StoreFake(StoreLimits limits)
        : limits(limits)
        , tokens(std::max(1.0, limits.loadsPerSecond))
    {}

    /// @brief Starts a load.
    /// @param usual duration without contention
    /// @return duration of this load
    Duration start(bool isAdapter, Duration usual, TimePoint now)
    {
        std::uint32_t &running = isAdapter ? this->adapters : this->models;
        ++running;
        const std::uint32_t atOnce
                = isAdapter ? this->limits.adaptersInTransit : this->limits.loadsAtOnce;
        if (running > atOnce)
            ++this->exceeded;
        double factor = this->slowness;
        factor *= std::max(1.0, static_cast<double>(running) / std::max(1U, atOnce));
        if (!isAdapter)
            this->takeToken(now);
        this->highest = std::max(this->highest, this->models);
        return std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(toSeconds(usual) * factor));
    }

    void end(bool isAdapter) { --(isAdapter ? this->adapters : this->models); }

    StoreLimits limits;
    /// Factor on the duration of each load.
    double slowness = 1.0;
    std::uint32_t models = 0;
    std::uint32_t adapters = 0;
    std::uint32_t highest = 0;
    std::uint64_t loads = 0;
    /// Loads that started beyond a limit.
    std::uint64_t exceeded = 0;

private:
    void takeToken(TimePoint now)
    {
        ++this->loads;
        // Orders take different times to arrive, so one load more than the burst is tolerated.
        const double burst = std::max(1.0, this->limits.loadsPerSecond) + 1.0;
        const double elapsed = toSeconds(now - this->refilledAt);
        this->tokens = std::min(burst, this->tokens + elapsed * this->limits.loadsPerSecond);
        this->refilledAt = now;
        this->tokens -= 1.0;
        if (this->tokens < -1e-6) {
            ++this->exceeded;
            this->tokens = 0.0;
        }
    }

    double tokens = 0.0;
    TimePoint refilledAt{};
};

/// @brief Fake engine: executes orders and holds the actual inventory.
class EngineFake
{
public:
    using Answer = std::function<void(decision::OrderOutcome,
                                      std::optional<std::vector<decision::InventoryEntry>>)>;

    EngineFake(UpstreamSpec spec, Scheduler &scheduler, StoreFake &store, LoadModel times)
        : spec(std::move(spec))
        , scheduler(&scheduler)
        , store(&store)
        , times(times)
    {}

    /// @brief Executes an order and reports its outcome to `answer`, at once or later.
    void take(const decision::Order &order, const Answer &answer)
    {
        if (!this->isAlive) {
            answer(decision::OrderOutcome::Refused, std::nullopt);
            return;
        }
        if (this->spec.fencing == Fencing::Refuses && !this->isFenceIgnored) {
            if (order.id.fence < this->fence) {
                answer(decision::OrderOutcome::StaleFence, std::nullopt);
                return;
            }
            this->fence = order.id.fence;
        }
        switch (order.kind) {
        case decision::OrderKind::Load:
            this->load(order, answer);
            break;
        case decision::OrderKind::Unload:
            this->unload(order.target, answer);
            break;
        case decision::OrderKind::RaiseFence:
            answer(decision::OrderOutcome::Done, this->inventory());
            break;
        case decision::OrderKind::ChangeRole:
            answer(decision::OrderOutcome::Done, std::nullopt);
            break;
        }
    }

    /// @brief Ends the process; orders in progress end unconfirmed.
    void die()
    {
        this->isAlive = false;
        ++this->life;
        auto ended = std::exchange(this->held, {});
        for (auto &[target, one] : ended) {
            if (one.isFromStore)
                this->store->end(!target.adapter.isEmpty());
            one.answers.insert(one.answers.end(), one.cancelled.begin(), one.cancelled.end());
            for (const Answer &answer : one.answers)
                answer(decision::OrderOutcome::Unconfirmed, std::nullopt);
        }
    }

    void restart() { this->isAlive = true; }

    /// @brief Returns the number of the current process; connections end with their process.
    std::uint64_t process() const { return this->life; }

    std::vector<decision::InventoryEntry> inventory() const
    {
        std::vector<decision::InventoryEntry> entries;
        for (const auto &[target, one] : this->held)
            entries.push_back({target, one.state, one.memory});
        return entries;
    }

    Bytes used() const
    {
        Bytes sum;
        for (const auto &[target, one] : this->held)
            sum = sum + one.memory;
        return sum;
    }

    bool holds(const Target &target) const { return this->held.contains(target); }

    /// @brief Returns where the target's checkpoint is.
    decision::CheckpointLocation placeOf(const Target &target) const
    {
        const auto found = std::find(this->cached.begin(), this->cached.end(), target);
        if (found == this->cached.end())
            return decision::CheckpointLocation::Remote;
        return found - this->cached.begin() < checkpointsInMemory
                       ? decision::CheckpointLocation::Memory
                       : decision::CheckpointLocation::Disk;
    }

    /// @brief Returns where the held target was loaded from; remote when it is not held.
    decision::CheckpointLocation loadedFrom(const Target &target) const
    {
        const auto found = this->held.find(target);
        return found == this->held.end() ? decision::CheckpointLocation::Remote
                                         : found->second.from;
    }

    /// @brief Returns when the target's load began; the earliest time when it is not held.
    TimePoint loadBegan(const Target &target) const
    {
        const auto found = this->held.find(target);
        return found == this->held.end() ? TimePoint() : found->second.began;
    }

    bool isLoaded(const Target &target) const
    {
        const auto found = this->held.find(target);
        return found != this->held.end() && found->second.state == decision::InventoryState::Loaded;
    }

    UpstreamSpec spec;
    std::map<Target, Bytes> sizes;
    bool isAlive = true;
    /// Defect: accepts orders with any fencing number.
    bool isFenceIgnored = false;
    /// Defect: reports loads as done without loading.
    bool isLying = false;
    /// Models whose checkpoints are cached on the host, most recently used first.
    std::deque<Target> cached;
    /// Called after each change of the inventory.
    std::function<void()> changed = [] {};
    std::uint64_t loadsStarted = 0;

private:
    /// Numbers of checkpoints cached in the host's memory, and in its memory and on its disk
    /// together.
    static constexpr std::ptrdiff_t checkpointsInMemory = 1;
    static constexpr std::size_t cachedCheckpoints = 4;

    void keepCheckpoint(const Target &target)
    {
        if (!target.adapter.isEmpty())
            return;
        std::erase(this->cached, target);
        this->cached.push_front(target);
        if (this->cached.size() > cachedCheckpoints)
            this->cached.pop_back();
    }

    struct Held
    {
        decision::InventoryState state = decision::InventoryState::Loading;
        Bytes memory;
        bool isFromStore = false;
        decision::CheckpointLocation from = decision::CheckpointLocation::Remote;
        TimePoint began;
        std::vector<Answer> answers;
        /// Loads cancelled by an unload; they are refused once the unload is complete.
        std::vector<Answer> cancelled;
        std::uint64_t number = 0;
    };

    void load(const decision::Order &order, const Answer &answer)
    {
        const Target &target = order.target;
        if (this->isLying) {
            answer(decision::OrderOutcome::Done, std::nullopt);
            return;
        }
        const auto found = this->held.find(target);
        if (found != this->held.end()) {
            if (found->second.state == decision::InventoryState::Loaded)
                answer(decision::OrderOutcome::Done, std::nullopt);
            else if (found->second.state == decision::InventoryState::Loading)
                found->second.answers.push_back(answer);
            else
                answer(decision::OrderOutcome::Refused, std::nullopt);
            return;
        }
        const bool isAdapter = !target.adapter.isEmpty();
        const auto place = this->placeOf(target);
        const bool isLocal = place != decision::CheckpointLocation::Remote;
        const bool isBaseThere = !isAdapter || this->isLoaded(Target{target.model, {}});
        if (!isBaseThere || (!isLocal && !order.mayFetch)) {
            answer(decision::OrderOutcome::Refused, std::nullopt);
            return;
        }
        ++this->loadsStarted;
        Held &one = this->held[target];
        one.memory = this->sizes.at(target);
        one.answers.push_back(answer);
        one.number = ++this->count;
        one.isFromStore = !isLocal;
        one.from = place;
        one.began = this->scheduler->now();
        Duration takes = isAdapter                                       ? this->times.adapter
                         : place == decision::CheckpointLocation::Memory ? this->times.memory
                         : isLocal                                       ? this->times.disk
                                                                         : this->times.remote;
        if (one.isFromStore)
            takes = this->store->start(isAdapter, takes, this->scheduler->now());
        this->changed();
        this->scheduler->after(takes, [this, target, number = one.number, at = this->life] {
            this->finishLoad(target, number, at);
        });
    }

    void finishLoad(const Target &target, std::uint64_t number, std::uint64_t at)
    {
        const auto found = this->held.find(target);
        if (at != this->life || found == this->held.end() || found->second.number != number
            || found->second.state != decision::InventoryState::Loading)
            return;
        Held &one = found->second;
        if (std::exchange(one.isFromStore, false))
            this->store->end(!target.adapter.isEmpty());
        one.state = decision::InventoryState::Loaded;
        this->keepCheckpoint(target);
        const auto answers = std::exchange(one.answers, {});
        this->changed();
        for (const Answer &answer : answers)
            answer(decision::OrderOutcome::Done, std::nullopt);
    }

    void unload(const Target &target, const Answer &answer)
    {
        const auto found = this->held.find(target);
        if (found == this->held.end()) {
            answer(decision::OrderOutcome::Done, std::nullopt);
            return;
        }
        Held &one = found->second;
        if (one.state == decision::InventoryState::Unloading) {
            one.answers.push_back(answer);
            return;
        }
        if (std::exchange(one.isFromStore, false))
            this->store->end(!target.adapter.isEmpty());
        one.state = decision::InventoryState::Unloading;
        one.number = ++this->count;
        one.cancelled = std::exchange(one.answers, {});
        one.answers.push_back(answer);
        this->scheduler->after(this->times.unload,
                               [this, target, number = one.number, at = this->life] {
                                   this->finishUnload(target, number, at);
                               });
    }

    void finishUnload(const Target &target, std::uint64_t number, std::uint64_t at)
    {
        const auto found = this->held.find(target);
        if (at != this->life || found == this->held.end() || found->second.number != number)
            return;
        const auto answers = std::exchange(found->second.answers, {});
        const auto cancelled = std::exchange(found->second.cancelled, {});
        this->held.erase(found);
        this->changed();
        for (const Answer &answer : cancelled)
            answer(decision::OrderOutcome::Refused, std::nullopt);
        for (const Answer &answer : answers)
            answer(decision::OrderOutcome::Done, std::nullopt);
    }

    Scheduler *scheduler;
    StoreFake *store;
    LoadModel times;
    Fence fence;
    std::map<Target, Held> held;
    std::uint64_t life = 0;
    std::uint64_t count = 0;
};

/// @brief Fake key-value service with injected faults; counts calls by purpose.
class KeyValueFake
{
public:
    using Answer = std::function<void(Result<platform::TransactionResponse>)>;

    KeyValueFake(Scheduler &scheduler, Random &random)
        : scheduler(&scheduler)
        , random(&random)
    {}

    void submit(platform::Purpose purpose, const platform::Transaction &transaction,
                const Answer &answer)
    {
        ++this->calls[static_cast<std::size_t>(purpose)];
        if (this->isDown) {
            const bool isKnown = this->random->chance(0.5);
            this->scheduler->after(this->timeout / 2, [answer, isKnown] {
                answer(Error(isKnown ? ErrorKind::KeyValueUnavailable
                                     : ErrorKind::KeyValueOutcomeUnknown,
                             "key-value service is down"));
            });
            return;
        }
        const Duration delay = this->isSlow ? Duration(this->random->below(3000000))
                                            : Duration(500 + this->random->below(1500));
        const bool isLost = this->random->chance(this->lostAnswers);
        const TimePoint deadline = this->scheduler->now() + this->timeout;
        this->scheduler->after(delay, [this, transaction, answer, isLost, deadline] {
            auto result = this->state.apply(transaction);
            if (!isLost && this->scheduler->now() <= deadline)
                this->scheduler->after(Duration(500), [answer, result] { answer(result); });
            else if (isLost)
                this->scheduler->at(deadline, [answer] { answer(unknown()); });
        });
        if (this->scheduler->now() + delay > deadline && !isLost)
            this->scheduler->at(deadline, [answer] { answer(unknown()); });
    }

    platform::KeyValueState state;
    bool isDown = false;
    bool isSlow = false;
    double lostAnswers = 0.0;
    Duration timeout = std::chrono::seconds(1);
    std::array<std::uint64_t, 5> calls{};

    std::uint64_t totalCalls() const
    {
        std::uint64_t sum = 0;
        for (const std::uint64_t each : this->calls)
            sum += each;
        return sum;
    }

private:
    static Error unknown()
    {
        return Error(ErrorKind::KeyValueOutcomeUnknown, "no answer from the key-value service");
    }

    Scheduler *scheduler;
    Random *random;
};

} // namespace bamboochute::bench
