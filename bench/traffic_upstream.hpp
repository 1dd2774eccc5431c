/// @file
/// @brief An upstream in virtual time: slots, a queue by priority, a cache of prefixes.
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
    /// Number of the style book, from one; zero when there is none.
    std::uint32_t book = 0;
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
    TrafficUpstream(VirtualTime &time, std::uint32_t slots, std::uint32_t cachedBooks,
                    double prefixSeconds)
        : time(time)
        , slots(slots)
        , cachedBooks(cachedBooks)
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

    std::uint32_t load() const { return this->running + this->waitingCount; }
    std::uint64_t requests() const { return this->received; }
    std::uint64_t hits() const { return this->cacheHits; }

    /// @brief Slot seconds at work so far.
    double busySeconds()
    {
        this->accountBusy();
        return this->busy;
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
        this->accountBusy();
        ++this->running;
        job->isStarted = true;
        const double saved = job->book != 0 && this->touch(job->book) ? this->prefixSeconds : 0.0;
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
        this->accountBusy();
        job->isEnded = true;
        --this->running;
        this->startNext();
    }

    /// Whether the book's prefix was kept; it is afterwards.
    bool touch(std::uint32_t book)
    {
        const auto found = std::find(this->cache.begin(), this->cache.end(), book);
        const bool isHit = found != this->cache.end();
        if (isHit)
            this->cache.erase(found);
        this->cache.push_front(book);
        if (this->cache.size() > this->cachedBooks)
            this->cache.pop_back();
        this->cacheHits += isHit ? 1 : 0;
        return isHit;
    }

    void accountBusy()
    {
        this->busy += this->running * toSeconds(this->time.now() - this->accountedAt);
        this->accountedAt = this->time.now();
    }

    VirtualTime &time;
    std::uint32_t slots;
    std::uint32_t cachedBooks;
    double prefixSeconds;
    std::uint32_t running = 0;
    std::uint32_t waitingCount = 0;
    std::map<std::int32_t, std::list<JobPointer>> waiting;
    std::list<std::uint32_t> cache;
    std::uint64_t received = 0;
    std::uint64_t cacheHits = 0;
    double busy = 0;
    TimePoint accountedAt{};
};

} // namespace bamboochute::bench
