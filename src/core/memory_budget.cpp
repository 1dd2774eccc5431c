#include "core/memory_budget.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bamboochute {

namespace {

/// Added to the time without progress, so that of holdings that make progress the largest costs
/// most.
constexpr Duration leastAge = std::chrono::milliseconds(10);
/// Part of the total that may wait to be freed before large holdings are refused.
constexpr std::size_t freeingDivisor = 8;

} // namespace

MemoryBudget::Holding::~Holding()
{
    if (this->lifetime.expired())
        return;
    const std::lock_guard lock(this->budget.mutex);
    this->setUse(MemoryUse::Admitted);
    this->confirmFreed();
    this->budget.used -= this->held;
}

void MemoryBudget::Holding::allowEviction(std::string peer, std::function<void()> free)
{
    const std::lock_guard lock(this->budget.mutex);
    // Takes it out of the holdings of a former owner.
    this->setUse(this->use);
    this->owner = std::move(peer);
    this->evict = std::move(free);
    this->budget.byOwner[this->owner].insert(this);
}

void MemoryBudget::Holding::setUse(MemoryUse newUse)
{
    if (this->lifetime.expired())
        return;
    const std::lock_guard lock(this->budget.mutex);
    if (this->evict) {
        const auto found = this->budget.byOwner.find(this->owner);
        found->second.erase(this);
        if (found->second.empty())
            this->budget.byOwner.erase(found);
        this->evict = nullptr;
    }
    if (this->use == MemoryUse::Arriving)
        this->budget.arriving -= this->held;
    if (newUse == MemoryUse::Arriving)
        this->budget.arriving += this->held;
    this->use = newUse;
}

void MemoryBudget::Holding::confirmFreed()
{
    const std::lock_guard lock(this->budget.mutex);
    this->budget.freeing -= std::exchange(this->freeing, 0);
}

bool MemoryBudget::Holding::isEvictable() const
{
    const std::lock_guard lock(this->budget.mutex);
    return this->evict != nullptr;
}

bool MemoryBudget::Holding::isEvicted() const
{
    if (this->lifetime.expired())
        return this->wasEvicted;
    const std::lock_guard lock(this->budget.mutex);
    return this->wasEvicted;
}

std::size_t MemoryBudget::Holding::bytes() const
{
    const std::lock_guard lock(this->budget.mutex);
    return this->held;
}

bool MemoryBudget::Holding::resize(std::size_t bytes, TimePoint now)
{
    const std::lock_guard lock(this->budget.mutex);
    if (this->wasEvicted)
        return false;
    const std::size_t added = bytes - std::min(bytes, this->held);
    const bool isSmall = bytes <= this->budget.limits.smallBytes;
    const bool canFit = isSmall || this->budget.canFit(*this, added);
    if (added > 0 && !isSmall && this->budget.isFreeingMuch()
        && this->budget.isTotalExceeded(added + this->budget.freeing)) {
        if (this->budget.onShortage)
            this->budget.onShortage(this->use, bytes);
        return false;
    }
    while (added > 0 && this->budget.isExceeded(this->use, added)) {
        // Answers make no room for requests that are still arriving unless the total is exceeded.
        Holding *costly
                = canFit ? this->budget.findMostCostly(now, !this->budget.isTotalExceeded(added))
                         : nullptr;
        if (costly == nullptr && isSmall)
            break;
        if (costly == nullptr || (costly == this && !isSmall)) {
            if (this->budget.onShortage)
                this->budget.onShortage(this->use, bytes);
            return false;
        }
        this->budget.giveUp(*costly);
    }
    this->budget.record(*this, bytes);
    this->progressAt = now;
    return true;
}

std::size_t MemoryBudget::usedBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->used;
}

std::size_t MemoryBudget::arrivingLimit() const
{
    return static_cast<std::size_t>(static_cast<double>(this->limits.totalBytes)
                                    * this->limits.arrivingShare);
}

bool MemoryBudget::isTotalExceeded(std::size_t added) const
{
    return this->limits.totalBytes > 0 && this->used + added > this->limits.totalBytes;
}

bool MemoryBudget::isExceeded(MemoryUse use, std::size_t added) const
{
    return this->isTotalExceeded(added)
           || (this->limits.totalBytes > 0 && use == MemoryUse::Arriving
               && this->arriving + added > this->arrivingLimit());
}

bool MemoryBudget::isFreeingMuch() const
{
    return this->limits.totalBytes > 0 && this->freeing > this->limits.totalBytes / freeingDivisor;
}

/// Whether more bytes of a holding fit if all others are given up that can be.
bool MemoryBudget::canFit(const Holding &holding, std::size_t added) const
{
    if (!this->isExceeded(holding.use, added))
        return true;
    std::size_t evictable = 0;
    std::size_t evictableArriving = 0;
    for (const auto &[owner, holdings] : this->byOwner) {
        for (const Holding *other : holdings) {
            if (other == &holding)
                continue;
            evictable += this->isCandidate(*other, false) ? other->held : 0;
            evictableArriving += this->isCandidate(*other, true) ? other->held : 0;
        }
    }
    return this->used - evictable + added <= this->limits.totalBytes
           && (holding.use != MemoryUse::Arriving
               || this->arriving - evictableArriving + added <= this->arrivingLimit());
}

/// Whether a holding is among those to be given up.
bool MemoryBudget::isCandidate(const Holding &holding, bool isArrivingOnly) const
{
    return holding.held > this->limits.smallBytes
           && (!isArrivingOnly || holding.use == MemoryUse::Arriving);
}

MemoryBudget::Holding *MemoryBudget::findMostCostly(TimePoint now, bool isArrivingOnly) const
{
    const std::set<Holding *> *largest = nullptr;
    std::size_t largestBytes = 0;
    for (const auto &[owner, holdings] : this->byOwner) {
        std::size_t bytes = 0;
        for (const Holding *holding : holdings)
            bytes += this->isCandidate(*holding, isArrivingOnly) ? holding->held : 0;
        if (bytes > largestBytes) {
            largest = &holdings;
            largestBytes = bytes;
        }
    }
    if (largest == nullptr)
        return nullptr;
    Holding *costly = nullptr;
    double highest = 0;
    for (Holding *holding : *largest) {
        if (!this->isCandidate(*holding, isArrivingOnly))
            continue;
        const std::chrono::duration<double> age = now - holding->progressAt + leastAge;
        const double cost = static_cast<double>(holding->held) * age.count();
        if (costly == nullptr || cost > highest) {
            costly = holding;
            highest = cost;
        }
    }
    return costly;
}

void MemoryBudget::giveUp(Holding &holding)
{
    if (this->onShortage)
        this->onShortage(holding.use, holding.held);
    const std::function<void()> evict = holding.evict;
    holding.setUse(holding.use);
    holding.freeing = holding.held;
    this->freeing += holding.held;
    this->record(holding, 0);
    holding.wasEvicted = true;
    evict();
}

void MemoryBudget::record(Holding &holding, std::size_t bytes)
{
    // Unsigned differences wrap around and add up to the right sums.
    this->used += bytes - holding.held;
    if (holding.use == MemoryUse::Arriving)
        this->arriving += bytes - holding.held;
    holding.held = bytes;
}

} // namespace bamboochute
