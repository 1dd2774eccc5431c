#include "store/pacing.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::store {

namespace {

/// A load that takes this many times as long as at full speed has waited for others: the store
/// hands out its bandwidth in the order of the requests.
constexpr double slowRatio = 1.3;
constexpr double decrease = 0.7;
constexpr double increase = 0.1;
constexpr double leastFactor = 0.25;
/// Loads that start at once after a quiet time, in seconds of the rate.
constexpr double burstSeconds = 1.0;

} // namespace

void Pacer::configure(const StoreLimits &newLimits)
{
    this->limits = newLimits;
    this->tokens = std::min(this->tokens, this->burst());
}

void Pacer::restart(TimePoint now)
{
    this->tokens = 0.0;
    this->refilledAt = now;
}

bool Pacer::mayStart(LoadKind kind, std::uint32_t inTransit, TimePoint now)
{
    if (kind == LoadKind::Adapter)
        return inTransit < this->limits.adaptersInTransit;
    this->refill(now);
    return inTransit < this->loadsAtOnce() && this->tokens >= 1.0;
}

void Pacer::recordStart(LoadKind kind, std::uint32_t inTransit, TimePoint now)
{
    if (kind == LoadKind::Adapter) {
        BC_INVARIANT(inTransit < this->limits.adaptersInTransit,
                     "more adapters are in transit than the weight store's limit");
        return;
    }
    this->refill(now);
    BC_INVARIANT(this->tokens >= 1.0, "a load starts beyond the weight store's rate");
    BC_INVARIANT(inTransit < this->limits.loadsAtOnce,
                 "more loads run at once than the weight store's limit");
    this->tokens -= 1.0;
}

void Pacer::recordFinish(LoadKind kind, Duration took, Duration expected)
{
    if (kind == LoadKind::Adapter)
        return;
    const bool isSlow = toSeconds(took) > slowRatio * toSeconds(expected);
    const auto adapt = [&](double factor) {
        const double changed = isSlow ? factor * decrease : factor + increase;
        return std::clamp(changed, leastFactor, 1.0);
    };
    this->atOnceFactor = adapt(this->atOnceFactor);
    this->rateFactor = adapt(this->rateFactor);
}

TimePoint Pacer::estimateStart(std::uint32_t ahead, std::uint32_t inTransit, Duration loadTime,
                               TimePoint now) const
{
    const double rate = std::max(this->loadsPerSecond(), 1e-3);
    const double elapsed = toSeconds(now - this->refilledAt);
    const double available = std::min(this->burst(), this->tokens + elapsed * rate);
    const double byRate = std::max(0.0, (static_cast<double>(ahead) + 1.0 - available) / rate);
    const std::uint32_t atOnce = std::max(1U, this->loadsAtOnce());
    const std::uint32_t rounds = (ahead + inTransit) / atOnce;
    const double byLoads = static_cast<double>(rounds) * toSeconds(loadTime);
    const std::chrono::duration<double> wait(std::max(byRate, byLoads));
    return now + std::chrono::duration_cast<Duration>(wait);
}

std::uint32_t Pacer::loadsAtOnce() const
{
    if (this->limits.loadsAtOnce == 0)
        return 0;
    const double bearable = std::floor(this->limits.loadsAtOnce * this->atOnceFactor);
    return std::max(1U, static_cast<std::uint32_t>(bearable));
}

void Pacer::refill(TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - this->refilledAt));
    this->tokens = std::min(this->burst(), this->tokens + elapsed * this->loadsPerSecond());
    this->refilledAt = std::max(this->refilledAt, now);
}

double Pacer::burst() const
{
    return std::max(1.0, this->limits.loadsPerSecond * burstSeconds);
}

} // namespace bamboochute::store
