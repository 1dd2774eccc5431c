/// @file
/// @brief Bounds the bytes that others make this process hold, over all connections.
#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace bamboochute {

/// @brief Bounds of the bytes that are held for others.
struct MemoryLimits
{
    /// Bytes of requests and answers together; zero for no bound.
    std::size_t totalBytes = 0;
    /// Part of them that requests may take that are still arriving; the rest is kept for requests
    /// that are complete and for answers.
    double arrivingShare = 0.6;
    /// A holding of at most this size is always let in, so that ordinary requests are served while
    /// large ones are refused.
    std::size_t smallBytes = 32 << 10;
    auto operator<=>(const MemoryLimits &) const = default;
};

/// @brief What bytes are held for.
enum class MemoryUse {
    /// A request that is still arriving.
    Arriving,
    /// A complete request, or an answer that is still arriving; neither is given up.
    Admitted,
    /// An answer that is written to a caller.
    Delivery,
};

/// @brief Shares the memory among all connections of all threads; thread-safe.
///
/// When there is too little, what costs most is given up: of the peer whose arriving requests and
/// undelivered answers are largest together, the one that is largest and has made no progress for
/// longest. What belongs to another thread is freed by that thread a little later; while more than
/// an eighth of the total waits for that, nothing large is let in.
class MemoryBudget
{
public:
    /// @brief The bytes that one request or answer holds; released when it ends.
    class Holding
    {
    public:
        Holding(MemoryBudget &budget, MemoryUse use)
            : budget(budget)
            , lifetime(budget.lifetime)
            , use(use)
        {}
        ~Holding();
        Holding(const Holding &) = delete;
        Holding &operator=(const Holding &) = delete;

        /// @brief Makes it possible to give up what is held.
        /// @param owner address of the peer
        /// @param evict frees the memory, or has its thread free it, and calls confirmFreed();
        /// called at most once, on the thread that needs the memory, which holds the budget's lock
        void allowEviction(std::string owner, std::function<void()> evict);

        /// @brief Changes the number of bytes; if there are too few left, others are given up.
        /// @return false if this holding may not grow: it is the one to be given up, or nothing is
        bool resize(std::size_t bytes, TimePoint now);

        /// @brief Changes what the bytes are held for; they can't be given up any more until
        /// allowEviction().
        void setUse(MemoryUse use);

        /// @brief Notes that what was given up is free; so does the end of the holding.
        void confirmFreed();

        /// @brief Whether a number of bytes is more than is always let in.
        bool isLarge(std::size_t bytes) const noexcept
        {
            return bytes > this->budget.limits.smallBytes;
        }
        bool isEvictable() const;
        bool isEvicted() const;
        std::size_t bytes() const;

    private:
        friend class MemoryBudget;

        MemoryBudget &budget;
        /// Expired once the budget has ended. Requests that are suspended when the event loop stops
        /// are freed after the gateway that has the budget.
        std::weak_ptr<const int> lifetime;
        MemoryUse use;
        std::size_t held = 0;
        /// Bytes that were given up and are not free yet.
        std::size_t freeing = 0;
        std::string owner;
        std::function<void()> evict;
        /// When its size last changed.
        TimePoint progressAt{};
        bool wasEvicted = false;
    };

    explicit MemoryBudget(MemoryLimits limits)
        : limits(limits)
    {}

    const MemoryLimits &bounds() const noexcept { return this->limits; }
    std::size_t usedBytes() const;

    /// @brief Called when a holding is given up, or refused more bytes, under the budget's lock. To
    /// be set before the budget is used.
    std::function<void(MemoryUse use, std::size_t bytes)> onShortage;

private:
    std::size_t arrivingLimit() const;
    bool isTotalExceeded(std::size_t added) const;
    bool isExceeded(MemoryUse use, std::size_t added) const;
    bool isFreeingMuch() const;
    bool canFit(const Holding &holding, std::size_t added) const;
    bool isCandidate(const Holding &holding, bool isArrivingOnly) const;
    Holding *findMostCostly(TimePoint now, bool isArrivingOnly) const;
    void giveUp(Holding &holding);
    void record(Holding &holding, std::size_t bytes);

    /// Recursive: an evict function may change its holding.
    mutable std::recursive_mutex mutex;
    MemoryLimits limits;
    std::size_t used = 0;
    /// Bytes that were given up and are not free yet.
    std::size_t freeing = 0;
    std::size_t arriving = 0;
    /// Holdings that can be given up, by owner.
    std::map<std::string, std::set<Holding *>> byOwner;
    std::shared_ptr<const int> lifetime = std::make_shared<const int>(0);
};

} // namespace bamboochute
