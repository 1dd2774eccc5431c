#include "decision/keep_alive.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include <boost/histogram.hpp>

namespace bamboochute::decision {

namespace {

using namespace std::chrono_literals;
namespace histogram = boost::histogram;

constexpr double shortestGapSeconds = 1.0;
constexpr double longestGapSeconds = 7 * 86400.0;
constexpr int binCount = 56;
/// Number of gaps that the distribution over all targets counts for beside a target's own gaps.
constexpr double priorWeight = 3.0;
/// Factor on the weight of a target's earlier gaps with each further gap; a weight halves after
/// about 34 of them.
constexpr double gapDecay = 0.98;
/// A use this soon after that of another target counts as following it.
constexpr Duration followWindow = 60s;
/// Share of a target's uses that a likely follower must follow.
constexpr double minFollowShare = 0.5;
constexpr std::uint32_t minFollows = 4;
constexpr std::size_t maxFollowers = 8;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Gaps = decltype(histogram::make_histogram_with(
        std::vector<float>(), Axis(1, shortestGapSeconds, longestGapSeconds)));

Gaps makeGaps()
{
    return histogram::make_histogram_with(std::vector<float>(),
                                          Axis(binCount, shortestGapSeconds, longestGapSeconds));
}

/// Probability of each gap bin, with the bin's upper edge in seconds. Index 0 is below the first
/// edge; the last is beyond the longest gap, taken as "never used again".
struct Distribution
{
    std::array<double, binCount + 2> probabilities{};
    std::array<double, binCount + 2> upperEdge{};
};

struct TargetGaps
{
    Gaps gaps = makeGaps();
    double weight = 0.0;
    TimePoint lastUsed;
    std::map<Target, std::uint32_t> followers;
    std::uint32_t uses = 0;
};

} // namespace

struct KeepAlivePredictor::Data
{
    Gaps all = makeGaps();
    double allWeight = 0.0;
    std::map<Target, TargetGaps> targets;
    std::map<Target, TimePoint> recentUses;

    Distribution distributionOf(const Target &target) const
    {
        Distribution result;
        const auto found = this->targets.find(target);
        const auto &axis = this->all.axis(0);
        double total = 0.0;
        std::size_t index = 0;
        for (int bin = -1; bin <= binCount; ++bin, ++index) {
            const double prior = this->allWeight > 0.0
                                         ? priorWeight * this->all.at(bin) / this->allWeight
                                         : priorWeight / (binCount + 2);
            const double own = found == this->targets.end() ? 0.0 : found->second.gaps.at(bin);
            result.probabilities[index] = prior + own;
            result.upperEdge[index] = bin < binCount ? axis.value(bin + 1) : longestGapSeconds * 2;
            total += result.probabilities[index];
        }
        for (double &probability : result.probabilities)
            probability /= total;
        return result;
    }
};

KeepAlivePredictor::KeepAlivePredictor()
    : data(std::make_unique<Data>())
{}

KeepAlivePredictor::~KeepAlivePredictor() = default;
KeepAlivePredictor::KeepAlivePredictor(KeepAlivePredictor &&) noexcept = default;
KeepAlivePredictor &KeepAlivePredictor::operator=(KeepAlivePredictor &&) noexcept = default;

void KeepAlivePredictor::recordUse(const Target &target, TimePoint at)
{
    TargetGaps &own = this->data->targets[target];
    if (own.uses == 0) {
        own.uses = 1;
        own.lastUsed = at;
        return;
    }
    const double gap = toSeconds(at - own.lastUsed);
    if (gap < shortestGapSeconds) {
        own.lastUsed = std::max(own.lastUsed, at);
        return;
    }
    own.gaps *= static_cast<float>(gapDecay);
    own.gaps(gap);
    own.weight = own.weight * gapDecay + 1.0;
    this->data->all(gap);
    this->data->allWeight += 1.0;
    own.lastUsed = at;
    ++own.uses;
    for (auto each = this->data->recentUses.begin(); each != this->data->recentUses.end();) {
        if (at - each->second > followWindow) {
            each = this->data->recentUses.erase(each);
            continue;
        }
        auto &followers = this->data->targets[each->first].followers;
        const bool hasRoom = followers.size() < maxFollowers || followers.contains(target);
        if (each->first != target && hasRoom)
            ++followers[target];
        ++each;
    }
    this->data->recentUses[target] = at;
}

Duration KeepAlivePredictor::keepAliveTime(const Target &target, double idleCostPerSecond,
                                           double coldStartCost) const
{
    const Distribution gaps = this->data->distributionOf(target);
    double bestKeepTime = 0.0;
    double bestCost = coldStartCost;
    double idleInShorterGaps = 0.0;
    double longerShare = 1.0;
    double lowerEdge = 0.0;
    for (std::size_t bin = 0; bin + 1 < gaps.probabilities.size(); ++bin) {
        const double edge = gaps.upperEdge[bin];
        idleInShorterGaps += gaps.probabilities[bin] * (lowerEdge + edge) / 2;
        longerShare -= gaps.probabilities[bin];
        const double idle = idleInShorterGaps + longerShare * edge;
        const double cost = idleCostPerSecond * idle + coldStartCost * longerShare;
        if (cost < bestCost) {
            bestCost = cost;
            bestKeepTime = edge;
        }
        lowerEdge = edge;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bestKeepTime));
}

double KeepAlivePredictor::useProbability(const Target &target, Duration idle,
                                          Duration window) const
{
    const Distribution gaps = this->data->distributionOf(target);
    const double from = toSeconds(idle);
    const double to = from + toSeconds(window);
    double longerThanIdle = 0.0;
    double usedInWindow = 0.0;
    double lowerEdge = 0.0;
    for (std::size_t bin = 0; bin < gaps.probabilities.size(); ++bin) {
        const double width = gaps.upperEdge[bin] - lowerEdge;
        const double afterFrom = std::clamp((gaps.upperEdge[bin] - from) / width, 0.0, 1.0);
        const double afterTo = std::clamp((gaps.upperEdge[bin] - to) / width, 0.0, 1.0);
        longerThanIdle += gaps.probabilities[bin] * afterFrom;
        usedInWindow += gaps.probabilities[bin] * (afterFrom - afterTo);
        lowerEdge = gaps.upperEdge[bin];
    }
    return longerThanIdle <= 0.0 ? 0.0 : usedInWindow / longerThanIdle;
}

std::optional<TimePoint> KeepAlivePredictor::lastUsed(const Target &target) const
{
    const auto found = this->data->targets.find(target);
    if (found == this->data->targets.end() || found->second.uses == 0)
        return std::nullopt;
    return found->second.lastUsed;
}

std::optional<Target> KeepAlivePredictor::likelyFollower(const Target &target) const
{
    const auto found = this->data->targets.find(target);
    if (found == this->data->targets.end())
        return std::nullopt;
    const TargetGaps &own = found->second;
    for (const auto &[next, count] : own.followers) {
        if (count >= minFollows && count >= minFollowShare * own.uses)
            return next;
    }
    return std::nullopt;
}

void KeepAlivePredictor::forget(const Target &target)
{
    this->data->targets.erase(target);
    this->data->recentUses.erase(target);
}

} // namespace bamboochute::decision
