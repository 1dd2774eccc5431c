#include "gateway/workspace_quota.hpp"

#include "core/bounded_duration.hpp"
#include "core/random.hpp"

#include <algorithm>
#include <cmath>

namespace bamboochute::gateway {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double fullUnits(const Quota &quota, const QuotaLimits &limits)
{
    return quota.perSecond * toSeconds(limits.window) + quota.burst;
}

/// Bounds the times, which come from settings: a window has at least one slot, and no more than fit
/// into a datagram with a workspace's report.
QuotaLimits boundTimes(QuotaLimits limits)
{
    constexpr Duration minWindow = std::chrono::milliseconds(250);
    constexpr int maxSlots = 64;
    limits.window = std::clamp(limits.window, minWindow, maxReadDuration);
    limits.slot = std::max(limits.slot, limits.window / maxSlots);
    // A rate needs two slots; reports have nothing from before the window.
    limits.riseWindow = std::min(std::max(limits.riseWindow, 2 * limits.slot), limits.window);
    limits.rateWindow = std::min(std::max(limits.rateWindow, 2 * limits.slot), limits.window);
    return limits;
}

} // namespace

double requestUnits(const Quota &quota, std::optional<double> tokens)
{
    return quota.unit == QuotaUnit::Requests ? 1 : tokens.value_or(quota.plainTokens);
}

void QuotaBound::configure(const Quota &quota, const QuotaLimits &limits, TimePoint now)
{
    if (quota == this->present)
        return;
    // Units of another kind can't be compared.
    const bool isComparable = this->present.isLimited() && quota.unit == this->present.unit;
    this->former = isComparable ? this->at(limits, now) : quota;
    this->former.perSecond = std::max(this->former.perSecond, quota.perSecond);
    this->former.burst = std::max(this->former.burst, quota.burst);
    this->changedAt = now;
    this->present = quota;
}

Quota QuotaBound::at(const QuotaLimits &limits, TimePoint now) const
{
    const double passed
            = std::clamp(toSeconds(now - this->changedAt) / toSeconds(limits.window), 0.0, 1.0);
    Quota quota = this->present;
    quota.perSecond = std::lerp(this->former.perSecond, this->present.perSecond, passed);
    quota.burst = std::lerp(this->former.burst, this->present.burst, passed);
    return quota;
}

QuotaMeter::QuotaMeter(QuotaLimits limits, bool isFirstStart, std::uint64_t seed, TimePoint now)
    : limits(boundTimes(limits))
    , isFirstStart(isFirstStart)
    , seed(seed)
    , startedAt(now)
{}

void QuotaMeter::configure(const std::vector<Workspace> &workspaces, TimePoint now)
{
    std::map<WorkspaceId, Meter> configured;
    for (const Workspace &workspace : workspaces) {
        if (!workspace.quota.isLimited())
            continue;
        const auto former = this->meters.find(workspace.id);
        Meter meter;
        if (former != this->meters.end()
            && former->second.bound.quota().unit == workspace.quota.unit)
            meter = std::move(former->second);
        else
            meter.remainder = Random(stableHash(workspace.id.value(), this->seed)).unit();
        meter.bound.configure(workspace.quota, this->limits, now);
        configured.emplace(workspace.id, std::move(meter));
    }
    this->meters = std::move(configured);
}

std::int64_t QuotaMeter::slotNumber(TimePoint now) const
{
    return now.time_since_epoch() / this->limits.slot;
}

QuotaMeter::Slot &QuotaMeter::presentSlot(Meter &meter, TimePoint now) const
{
    const std::int64_t number = this->slotNumber(now);
    const std::int64_t oldest = number - this->limits.window / this->limits.slot;
    while (!meter.slots.empty() && meter.slots.front().number < oldest)
        meter.slots.pop_front();
    if (meter.slots.empty() || meter.slots.back().number < number)
        meter.slots.push_back(Slot{number});
    return meter.slots.back();
}

double QuotaMeter::askedInWindow(const Meter &meter, TimePoint now) const
{
    const std::int64_t oldest = this->slotNumber(now) - this->limits.window / this->limits.slot;
    double asked = 0;
    for (const Slot &slot : meter.slots)
        asked += slot.number >= oldest ? slot.asked : 0;
    return asked;
}

double QuotaMeter::computeShare(const Meter &meter, TimePoint now) const
{
    if (!this->sharesReceivedAt) {
        const bool isWindowKnown
                = this->isFirstStart || now >= this->startedAt + this->limits.window;
        return isWindowKnown ? 1 : this->limits.unknownShare;
    }
    const double admitted = meter.share ? meter.share->admitted : 1;
    if (now < *this->sharesReceivedAt + this->limits.shareMaxAge)
        return admitted;
    // What all instances ask for has probably changed as this one's own demand has. One request
    // is added to both, as a quotient of small numbers says little.
    const double perSecond = meter.bound.at(this->limits, now).perSecond;
    // A workspace that was idle may ask for as much as one that is not reported.
    const double formerRate = std::max(meter.share ? meter.share->askedPerSecond : 0.0,
                                       this->limits.reportedUse * perSecond);
    const double one = std::max(1.0, meter.requestUnits);
    const double sinceShare = toSeconds(now - *this->sharesReceivedAt);
    const double expected = meter.askedAtShare * sinceShare / toSeconds(this->limits.window);
    const double growth = (meter.askedSinceShare + one) / (expected + one);
    return std::clamp(perSecond / std::max(formerRate * growth, 1e-9), 0.0, 1.0);
}

double QuotaMeter::admittedShare(const WorkspaceId &workspace, TimePoint now) const
{
    const auto found = this->meters.find(workspace);
    return found == this->meters.end() ? 1 : this->computeShare(found->second, now);
}

QuotaDecision QuotaMeter::admit(const WorkspaceId &workspace, double units, TimePoint now)
{
    const auto found = this->meters.find(workspace);
    if (found == this->meters.end())
        return {};
    Meter &meter = found->second;
    Slot &slot = this->presentSlot(meter, now);
    // Whatever other instances admit, more than the whole quota is never within it. One request is
    // admitted also by a quota of less than one in a window.
    const double least = meter.bound.quota().unit == QuotaUnit::Requests ? 1 : 0;
    const Quota quota = meter.bound.at(this->limits, now);
    const double bound = std::max(least, fullUnits(quota, this->limits));
    const std::int64_t slots = std::max<std::int64_t>(1, this->limits.window / this->limits.slot);
    double admitted = 0;
    for (const Slot &one : meter.slots)
        admitted += one.number + slots > slot.number ? one.admitted : 0;
    if (units > bound)
        return {false, this->limits.maxRetryAfter};
    slot.asked += units;
    meter.askedSinceShare += units;
    if (admitted + units > bound)
        return {false, this->limits.minRetryAfter};
    constexpr double newestWeight = 0.1;
    meter.requestUnits
            += (units - meter.requestUnits) * (meter.requestUnits == 0 ? 1 : newestWeight);
    const double share = this->computeShare(meter, now);
    meter.remainder = std::min(meter.remainder + share, 1 + share);
    if (share >= 1 || meter.remainder >= 1) {
        meter.remainder = std::max(0.0, meter.remainder - 1);
        slot.admitted += units;
        return {};
    }
    // The fewer are admitted, the later they are to come back.
    constexpr double minShare = 0.01;
    const double wait = 1 / std::max(share, minShare);
    const Duration retryAfter = toBoundedDuration(
            std::chrono::duration<double>(wait * toSeconds(this->limits.minRetryAfter)));
    return {false, std::clamp(retryAfter, this->limits.minRetryAfter, this->limits.maxRetryAfter)};
}

void QuotaMeter::release(const WorkspaceId &workspace, double units, TimePoint admittedAt)
{
    const auto found = this->meters.find(workspace);
    if (found == this->meters.end())
        return;
    for (Slot &slot : found->second.slots) {
        if (slot.number == this->slotNumber(admittedAt))
            slot.admitted = std::max(0.0, slot.admitted - units);
    }
}

void QuotaMeter::receiveShares(const std::vector<QuotaShare> &shares, TimePoint now)
{
    this->sharesReceivedAt = now;
    for (auto &[workspace, meter] : this->meters) {
        const auto share = std::find_if(
                shares.begin(), shares.end(),
                [&id = workspace](const QuotaShare &one) { return one.workspace == id; });
        meter.share = share == shares.end() ? std::nullopt : std::optional(*share);
        meter.askedAtShare = this->askedInWindow(meter, now);
        meter.askedSinceShare = 0;
    }
}

void QuotaMeter::addShares(const std::vector<QuotaShare> &shares, TimePoint now)
{
    for (const QuotaShare &share : shares) {
        const auto found = this->meters.find(share.workspace);
        if (found == this->meters.end())
            continue;
        found->second.share = share;
        found->second.askedAtShare = this->askedInWindow(found->second, now);
        found->second.askedSinceShare = 0;
    }
}

QuotaReport QuotaMeter::report(const InstanceId &reporter, TimePoint now) const
{
    QuotaReport report;
    report.reporter = reporter;
    report.known = this->isFirstStart ? this->limits.window
                                      : std::min(this->limits.window, now - this->startedAt);
    const std::int64_t present = this->slotNumber(now);
    const std::int64_t slots = this->limits.window / this->limits.slot;
    for (const auto &[workspace, meter] : this->meters) {
        QuotaUse use{workspace, {}};
        for (const Slot &slot : meter.slots) {
            if (slot.number + slots >= present && slot.asked > 0)
                use.slots.push_back({static_cast<std::uint32_t>(present - slot.number),
                                     slot.admitted, slot.asked});
        }
        if (!use.slots.empty())
            report.uses.push_back(std::move(use));
    }
    return report;
}

void QuotaAggregate::configure(const std::vector<Workspace> &workspaces, TimePoint now)
{
    this->limits = boundTimes(this->limits);
    std::map<WorkspaceId, QuotaBound> configured;
    for (const Workspace &workspace : workspaces) {
        if (!workspace.quota.isLimited())
            continue;
        QuotaBound bound = this->bounds[workspace.id];
        bound.configure(workspace.quota, this->limits, now);
        configured.emplace(workspace.id, bound);
    }
    this->bounds = std::move(configured);
}

void QuotaAggregate::receive(const QuotaReport &report, TimePoint now)
{
    Reporter &reporter = this->reporters[report.reporter];
    reporter.known = std::clamp(report.known, Duration(0), this->limits.window);
    reporter.receivedAt = now;
    for (const QuotaUse &use : report.uses) {
        if (this->bounds.contains(use.workspace))
            reporter.uses[use.workspace] = ReceivedUse{use, now};
    }
}

std::size_t QuotaAggregate::slotCount() const
{
    return static_cast<std::size_t>(this->limits.window / this->limits.slot) + 1;
}

/// Adds what an instance reported some time ago, and what it has admitted and was asked for of
/// late.
void QuotaAggregate::addUse(Sum &sum, const QuotaUse &use, Duration age) const
{
    sum.admitted.resize(this->slotCount());
    for (const QuotaSlot &slot : use.slots) {
        if (slot.age > this->limits.window / this->limits.slot)
            continue;
        const std::size_t index = slot.age + static_cast<std::size_t>(age / this->limits.slot);
        if (index < sum.admitted.size())
            sum.admitted[index] += slot.admitted;
        const Duration slotAge = this->limits.slot * slot.age;
        if (slotAge < this->limits.rateWindow && age < this->limits.rateWindow) {
            sum.recentAdmitted += slot.admitted;
            sum.recentAsked += slot.asked;
        }
        if (slotAge < this->limits.riseWindow && age < this->limits.rateWindow) {
            sum.newAdmitted += slot.admitted;
            sum.newAsked += slot.asked;
        }
    }
}

/// Units that are left of a token bucket after what was admitted within the window.
/// @param knownPart part of the instances' time within the window that reports account for; for the
/// rest, the quota counts as used
double QuotaAggregate::computeLevel(const Quota &quota, const Sum &sum, double knownPart) const
{
    const double perSlot = quota.perSecond * toSeconds(this->limits.slot);
    double level = quota.burst * knownPart;
    for (std::size_t i = sum.admitted.size(); i > 0; --i)
        level = std::min(quota.burst, level + perSlot) - sum.admitted[i - 1];
    return level;
}

/// Units beyond the quota that are admitted at a time.
double QuotaAggregate::allowance(const Quota &quota) const
{
    const double full = quota.perSecond * toSeconds(this->limits.window) + quota.burst;
    const double slack = quota.unit == QuotaUnit::Tokens ? this->limits.slackTokens : 0;
    return (full * this->limits.overage + slack) / 2;
}

std::vector<QuotaShare> QuotaAggregate::computeShares(TimePoint now)
{
    std::erase_if(this->reporters, [&](const auto &item) {
        return item.second.receivedAt + this->limits.window < now;
    });
    if (this->reporters.empty())
        return {};
    const auto count = static_cast<double>(this->reporters.size());
    std::map<WorkspaceId, Sum> sums;
    double knownSeconds = 0;
    double totalAge = 0;
    for (const auto &[instance, reporter] : this->reporters) {
        const Duration age = now - reporter.receivedAt;
        for (const auto &[workspace, received] : reporter.uses)
            this->addUse(sums[workspace], received.use, now - received.receivedAt);
        totalAge += toSeconds(age);
        knownSeconds += toSeconds(std::min(this->limits.window, reporter.known + age));
    }
    const double knownPart = knownSeconds / count / toSeconds(this->limits.window);
    const double horizon = toSeconds(this->limits.horizon);
    std::vector<QuotaShare> shares;
    for (const auto &[workspace, bound] : this->bounds) {
        const Sum &sum = sums[workspace];
        const Quota quota = bound.at(this->limits, now);
        const double longTime = toSeconds(this->limits.rateWindow);
        const double shortTime = toSeconds(this->limits.riseWindow);
        const double asked = std::max(sum.recentAsked / longTime, sum.newAsked / shortTime);
        // Since their reports, the instances have gone on at about the present rate.
        const double since = std::max(sum.recentAdmitted / longTime, sum.newAdmitted / shortTime)
                             * totalAge / count;
        const double level = this->computeLevel(quota, sum, knownPart) - since;
        const double free
                = std::max(0.0, level + this->allowance(quota) + quota.perSecond * horizon);
        const double wanted = asked * horizon;
        if (wanted < free && asked < this->limits.reportedUse * quota.perSecond)
            continue;
        shares.push_back({workspace, wanted > free ? free / wanted : 1.0, asked});
    }
    return shares;
}

} // namespace bamboochute::gateway
