/// @file
/// @brief Passes snapshots from the control thread to the traffic threads.
#pragma once

#include "caller/traffic_snapshot.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace bamboochute::caller {

/// @brief Holds the newest snapshot; thread-safe.
class SharedSnapshot
{
public:
    /// @brief Replaces the snapshot and increments the version.
    void publish(TrafficSnapshotPointer snapshot)
    {
        const std::lock_guard lock(this->mutex);
        this->newest = std::move(snapshot);
        this->version.fetch_add(1, std::memory_order_release);
    }

    /// @brief Number of snapshots published so far.
    std::uint64_t currentVersion() const noexcept
    {
        return this->version.load(std::memory_order_acquire);
    }

    /// @brief The newest snapshot; null before the first one.
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

/// @brief Caches the newest snapshot for one thread; locks the mutex only to read a new one.
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
            this->cached = this->shared.read();
            this->seenVersion = version;
        }
        return this->cached;
    }

private:
    const SharedSnapshot &shared;
    TrafficSnapshotPointer cached;
    std::uint64_t seenVersion = 0;
};

} // namespace bamboochute::caller
