#include "store/pacing.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::store {

namespace {

/// A load that takes more than this multiple of its duration at full speed has waited for others,
/// because the store assigns its bandwidth in the order of the requests.
constexpr double slowLoadRatio = 1.3;
constexpr double decreaseFactor = 0.7;
constexpr double increaseStep = 0.1;
constexpr double minFactor = 0.25;
/// Capacity of the token bucket in seconds of the rate: the loads that start at once after an idle
/// period.
constexpr double burstSeconds = 1.0;

} // namespace

void Pacer::configure(const StoreLimits &newLimits)
{
    this->limits = newLimits;
    this->tokens = std::min(this->tokens, this->bucketCapacity());
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
                     "more concurrent adapter loads than the weight store's limit");
        return;
    }
    this->refill(now);
    BC_INVARIANT(this->tokens >= 1.0, "a load exceeds the weight store's rate limit");
    BC_INVARIANT(inTransit < this->limits.loadsAtOnce,
                 "more concurrent loads than the weight store's limit");
    this->tokens -= 1.0;
}

void Pacer::recordFinish(LoadKind kind, Duration took, Duration expected)
{
    if (kind == LoadKind::Adapter)
        return;
    const bool isSlow = toSeconds(took) > slowLoadRatio * toSeconds(expected);
    const auto adaptFactor = [&](double factor) {
        const double changed = isSlow ? factor * decreaseFactor : factor + increaseStep;
        return std::clamp(changed, minFactor, 1.0);
    };
    this->concurrencyFactor = adaptFactor(this->concurrencyFactor);
    this->rateFactor = adaptFactor(this->rateFactor);
}

TimePoint Pacer::estimateStart(std::uint32_t ahead, std::uint32_t inTransit, Duration loadTime,
                               TimePoint now) const
{
    const double rate = std::max(this->loadsPerSecond(), 1e-3);
    const double elapsed = toSeconds(now - this->refilledAt);
    const double available = std::min(this->bucketCapacity(), this->tokens + elapsed * rate);
    const double byRate = std::max(0.0, (static_cast<double>(ahead) + 1.0 - available) / rate);
    const std::uint32_t concurrency = std::max(1U, this->loadsAtOnce());
    const std::uint32_t rounds = (ahead + inTransit) / concurrency;
    const double byConcurrency = static_cast<double>(rounds) * toSeconds(loadTime);
    const std::chrono::duration<double> wait(std::max(byRate, byConcurrency));
    return now + std::chrono::duration_cast<Duration>(wait);
}

std::uint32_t Pacer::loadsAtOnce() const
{
    if (this->limits.loadsAtOnce == 0)
        return 0;
    const double allowedLoads = std::floor(this->limits.loadsAtOnce * this->concurrencyFactor);
    return std::max(1U, static_cast<std::uint32_t>(allowedLoads));
}

void Pacer::refill(TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - this->refilledAt));
    this->tokens
            = std::min(this->bucketCapacity(), this->tokens + elapsed * this->loadsPerSecond());
    this->refilledAt = std::max(this->refilledAt, now);
}

double Pacer::bucketCapacity() const
{
    return std::max(1.0, this->limits.loadsPerSecond * burstSeconds);
}

} // namespace bamboochute::store
