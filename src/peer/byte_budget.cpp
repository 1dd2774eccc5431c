#include "peer/byte_budget.hpp"

#include <algorithm>

namespace bamboochute::peer {

ByteBudget::ByteBudget(std::uint32_t bytesPerSecond, std::uint32_t burstBytes)
    : rate(bytesPerSecond)
    , burst(burstBytes)
    , level(burstBytes)
{}

std::size_t ByteBudget::available(TimePoint now)
{
    this->refill(now);
    return this->level > 0 ? static_cast<std::size_t>(this->level) : 0;
}

void ByteBudget::spend(TimePoint now, std::size_t bytes)
{
    this->refill(now);
    this->level = std::max(this->level - static_cast<double>(bytes), -this->rate);
}

void ByteBudget::refill(TimePoint now)
{
    if (this->isStarted && now > this->refilledAt) {
        const double added = toSeconds(now - this->refilledAt) * this->rate;
        this->level = std::min(this->level + added, this->burst);
    }
    if (!this->isStarted || now > this->refilledAt)
        this->refilledAt = now;
    this->isStarted = true;
}

} // namespace bamboochute::peer
