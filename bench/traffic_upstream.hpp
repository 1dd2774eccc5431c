/// @file
/// @brief A simulated upstream in virtual time, with slots, a priority queue and a prefix cache.
#pragma once

#include "core/configuration.hpp"
#include "virtual_time.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace bamboochute::bench {

/// @brief One request at an upstream.
struct Job
{
    std::int32_t priority = 0;
    double serviceSeconds = 0;
    /// Number of the prompt prefix (a style book), from one; zero when there is none.
    std::uint32_t prefix = 0;
    bool isStarted = false;
    bool isEnded = false;
    std::function<void()> onStart;
    std::function<void()> onEnd;
};

using JobPointer = std::shared_ptr<Job>;

/// @brief A server with slots; waiting jobs start by priority, then in the order of arrival.
class TrafficUpstream
{
public:
    TrafficUpstream(VirtualTime &time, std::uint32_t slots, std::uint32_t cachedPrefixes,
                    double prefixSeconds)
        : time(time)
        , slots(slots)
        , cachedPrefixes(cachedPrefixes)
        , prefixSeconds(prefixSeconds)
    {}

    void add(const JobPointer &job)
    {
        ++this->received;
        this->waiting[-job->priority].push_back(job);
        ++this->waitingCount;
        this->startNext();
    }

    /// @brief Ends a job early, as an engine does when its stream is cancelled.
    void cancel(const JobPointer &job)
    {
        if (!job->isStarted) {
            this->waiting[-job->priority].remove(job);
            --this->waitingCount;
            job->isEnded = true;
            return;
        }
        this->end(job);
    }

    /// @brief Number of jobs that are running or waiting.
    std::uint32_t load() const { return this->running + this->waitingCount; }
    /// @brief Number of jobs received so far.
    std::uint64_t requests() const { return this->received; }
    /// @brief Number of jobs so far whose prefix was cached.
    std::uint64_t hits() const { return this->cacheHits; }

    /// @brief Seconds for which slots were busy so far, summed over the slots.
    double busySeconds()
    {
        this->updateBusyTime();
        return this->busySlotSeconds;
    }

private:
    void startNext()
    {
        while (this->running<this->slots &&this->waitingCount> 0) {
            auto queue = this->waiting.begin();
            while (queue->second.empty())
                ++queue;
            const JobPointer job = queue->second.front();
            queue->second.pop_front();
            --this->waitingCount;
            this->start(job);
        }
    }

    void start(const JobPointer &job)
    {
        this->updateBusyTime();
        ++this->running;
        job->isStarted = true;
        const double saved
                = job->prefix != 0 && this->usePrefix(job->prefix) ? this->prefixSeconds : 0.0;
        const std::chrono::duration<double> seconds(job->serviceSeconds - saved);
        job->onStart();
        this->time.after(std::chrono::duration_cast<Duration>(seconds), [this, job] {
            if (!job->isEnded) {
                this->end(job);
                job->onEnd();
            }
        });
    }

    void end(const JobPointer &job)
    {
        this->updateBusyTime();
        job->isEnded = true;
        --this->running;
        this->startNext();
    }

    /// Returns whether the prefix was cached, and makes it the most recently used one of the cache.
    bool usePrefix(std::uint32_t prefix)
    {
        const auto found = std::find(this->cache.begin(), this->cache.end(), prefix);
        const bool isHit = found != this->cache.end();
        if (isHit)
            this->cache.erase(found);
        this->cache.push_front(prefix);
        if (this->cache.size() > this->cachedPrefixes)
            this->cache.pop_back();
        this->cacheHits += isHit ? 1 : 0;
        return isHit;
    }

    void updateBusyTime()
    {
        this->busySlotSeconds += this->running * toSeconds(this->time.now() - this->busyUpdatedAt);
        this->busyUpdatedAt = this->time.now();
    }

    VirtualTime &time;
    std::uint32_t slots;
    std::uint32_t cachedPrefixes;
    double prefixSeconds;
    std::uint32_t running = 0;
    std::uint32_t waitingCount = 0;
    std::map<std::int32_t, std::list<JobPointer>> waiting;
    std::list<std::uint32_t> cache;
    std::uint64_t received = 0;
    std::uint64_t cacheHits = 0;
    double busySlotSeconds = 0;
    TimePoint busyUpdatedAt{};
};

} // namespace bamboochute::bench
