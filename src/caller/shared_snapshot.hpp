/// @file
/// @brief Hands snapshots from the control thread to the traffic threads.
#pragma once

#include "caller/traffic_snapshot.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace bamboochute::caller {

/// @brief The newest snapshot.
class SharedSnapshot
{
public:
    void publish(TrafficSnapshotPointer snapshot)
    {
        const std::lock_guard lock(this->mutex);
        this->newest = std::move(snapshot);
        this->version.fetch_add(1, std::memory_order_release);
    }

    std::uint64_t currentVersion() const noexcept
    {
        return this->version.load(std::memory_order_acquire);
    }

    TrafficSnapshotPointer read() const
    {
        const std::lock_guard lock(this->mutex);
        return this->newest;
    }

private:
    mutable std::mutex mutex;
    TrafficSnapshotPointer newest;
    std::atomic<std::uint64_t> version{0};
};

/// @brief One thread's copy, which takes the mutex only after a new snapshot was published.
class SnapshotReader
{
public:
    explicit SnapshotReader(const SharedSnapshot &shared)
        : shared(shared)
    {}

    /// @brief The newest snapshot; null before the first one.
    const TrafficSnapshotPointer &get()
    {
        const std::uint64_t version = this->shared.currentVersion();
        if (version != this->seenVersion) {
            this->copy = this->shared.read();
            this->seenVersion = version;
        }
        return this->copy;
    }

private:
    const SharedSnapshot &shared;
    TrafficSnapshotPointer copy;
    std::uint64_t seenVersion = 0;
};

} // namespace bamboochute::caller
