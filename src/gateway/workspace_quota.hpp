/// @file
/// @brief Keeps the quotas of workspaces over all instances together, without a call for each
/// request.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "gateway/routing_configuration.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboochute::gateway {

/// @brief Times of the measurement of quotas.
struct QuotaLimits
{
    /// Time that reports cover, and over which the quota must hold.
    Duration window = std::chrono::seconds(8);
    /// What may be admitted beyond the quota within the window: a part of it, and units of quotas
    /// in tokens. Half of it is used, so that short bursts are not refused; the other half is for
    /// what is admitted before the instances hear of each other.
    double overage = 0;
    double slackTokens = 0;
    /// Resolution of the sums; reports have at most as many numbers for each workspace as this fits
    /// into the window.
    Duration slot = std::chrono::milliseconds(250);
    /// Time over which the present rate of a workspace is measured; a small workspace has a few
    /// requests in it.
    Duration rateWindow = std::chrono::seconds(2);
    /// The same for a rate that has risen just now; the higher one counts.
    Duration riseWindow = std::chrono::milliseconds(500);
    /// Time that the admitted share has to last: several times as long as a report takes to the
    /// aggregator and a share back (0.3 s between two of either).
    Duration horizon = std::chrono::milliseconds(1500);
    /// Shares that are older are corrected by this instance's own demand; the aggregator sends them
    /// each 0.5 s at least. After 2 s, a workspace at five times its rate had exceeded its quota.
    Duration shareMaxAge = std::chrono::milliseconds(1200);
    /// Share that a process admits that has started, not as the first of all, and has heard of no
    /// aggregator: callers may ask for several times their quota, and the window before the start
    /// may be used up.
    double unknownShare = 0.25;
    /// Workspaces that ask for less than this part of their quota are left out of messages.
    double reportedUse = 0.5;
    /// Lower and upper bound of Retry-After.
    Duration minRetryAfter = std::chrono::milliseconds(500);
    Duration maxRetryAfter = std::chrono::seconds(4);
    auto operator<=>(const QuotaLimits &) const = default;
};

/// @brief Units that one instance has admitted, and was asked for, in one slot of time.
struct QuotaSlot
{
    /// Number of slots since; zero for the present one.
    std::uint32_t age = 0;
    double admitted = 0;
    double asked = 0;
    auto operator<=>(const QuotaSlot &) const = default;
};

/// @brief What one instance has admitted of a workspace within the window.
struct QuotaUse
{
    WorkspaceId workspace;
    std::vector<QuotaSlot> slots;
    auto operator<=>(const QuotaUse &) const = default;
};

/// @brief Report of one instance to the aggregator.
///
/// What it says of a workspace covers the whole window, so that nothing is missing after a lost
/// report or at another aggregator.
struct QuotaReport
{
    InstanceId reporter;
    /// Part of the window that the reporter can account for; less than the window after its start.
    Duration known{};
    std::vector<QuotaUse> uses;
    auto operator<=>(const QuotaReport &) const = default;
};

/// @brief What all instances may admit of a workspace.
struct QuotaShare
{
    WorkspaceId workspace;
    /// Part of the requests to admit, from 0 to 1.
    double admitted = 1;
    /// Units that callers ask for in a second, over all instances.
    double askedPerSecond = 0;
    auto operator<=>(const QuotaShare &) const = default;
};

/// @brief Whether a request is within its workspace's quota.
struct QuotaDecision
{
    bool isAdmitted = true;
    /// When to come back; has no meaning for an admitted request.
    Duration retryAfter{};
    auto operator<=>(const QuotaDecision &) const = default;
};

/// @brief A quota that comes into force.
///
/// A lowered quota falls to its new value within one window, as callers could not know of it.
class QuotaBound
{
public:
    /// @brief Takes over a quota that is in force from now on.
    void configure(const Quota &quota, const QuotaLimits &limits, TimePoint now);

    /// @brief The quota at a time, between the former and the new one.
    Quota at(const QuotaLimits &limits, TimePoint now) const;

    const Quota &quota() const noexcept { return this->present; }

private:
    Quota present;
    Quota former;
    TimePoint changedAt{};
};

/// @brief Admits the requests of one instance within the shares of the aggregator; not thread-safe.
class QuotaMeter
{
public:
    /// @param isFirstStart no instance has run before, so that nothing was admitted
    /// @param seed of the first remainders; has to differ between instances
    QuotaMeter(QuotaLimits limits, bool isFirstStart, std::uint64_t seed, TimePoint now);

    /// @brief Takes over the workspaces of a configuration.
    void configure(const std::vector<Workspace> &workspaces, TimePoint now);

    /// @brief Decides on a request.
    /// @param units that it counts; see requestUnits()
    QuotaDecision admit(const WorkspaceId &workspace, double units, TimePoint now);

    /// @brief Takes an admitted request back that was not sent to an upstream.
    void release(const WorkspaceId &workspace, double units, TimePoint admittedAt);

    /// @brief Takes over the shares of all workspaces; one that is missing has used little.
    void receiveShares(const std::vector<QuotaShare> &shares, TimePoint now);

    /// @brief Takes over further shares, and leaves those of other workspaces as they are.
    void addShares(const std::vector<QuotaShare> &shares, TimePoint now);

    /// @brief Whether a workspace has a quota.
    bool hasQuotas() const noexcept { return !this->meters.empty(); }

    /// @brief Report to the aggregator.
    QuotaReport report(const InstanceId &reporter, TimePoint now) const;

    /// @brief Part of a workspace's requests that is admitted now.
    double admittedShare(const WorkspaceId &workspace, TimePoint now) const;

private:
    struct Slot
    {
        std::int64_t number = 0;
        double admitted = 0;
        double asked = 0;
    };
    struct Meter
    {
        QuotaBound bound;
        std::deque<Slot> slots;
        /// Part of a request that is still to be admitted.
        double remainder = 0;
        /// The last share; unset while the aggregator names none for the workspace.
        std::optional<QuotaShare> share;
        /// Units that this instance was asked for within the window when the share came.
        double askedAtShare = 0;
        /// Units that it was asked for since.
        double askedSinceShare = 0;
        /// Smoothed units of a request.
        double requestUnits = 0;
    };

    std::int64_t slotNumber(TimePoint now) const;
    Slot &presentSlot(Meter &meter, TimePoint now) const;
    double askedInWindow(const Meter &meter, TimePoint now) const;
    double computeShare(const Meter &meter, TimePoint now) const;

    QuotaLimits limits;
    bool isFirstStart;
    std::uint64_t seed;
    TimePoint startedAt;
    std::optional<TimePoint> sharesReceivedAt;
    std::map<WorkspaceId, Meter> meters;
};

/// @brief Sums the reports of all instances and computes what they may admit; not thread-safe.
class QuotaAggregate
{
public:
    explicit QuotaAggregate(QuotaLimits limits)
        : limits(limits)
    {}

    /// @brief Takes over the workspaces of a configuration.
    void configure(const std::vector<Workspace> &workspaces, TimePoint now);

    /// @brief Takes over a report, which replaces what the same instance said of its workspaces.
    void receive(const QuotaReport &report, TimePoint now);

    /// @brief Shares of the workspaces that have used a good part of their limit.
    std::vector<QuotaShare> computeShares(TimePoint now);

private:
    struct ReceivedUse
    {
        QuotaUse use;
        TimePoint receivedAt{};
    };
    struct Reporter
    {
        Duration known{};
        TimePoint receivedAt{};
        std::map<WorkspaceId, ReceivedUse> uses;
    };
    struct Sum
    {
        /// Units admitted in each slot of the window, the present one first.
        std::vector<double> admitted;
        /// Within the time over which rates are measured, and the shorter time of a rise.
        double recentAdmitted = 0;
        double recentAsked = 0;
        double newAdmitted = 0;
        double newAsked = 0;
    };

    std::size_t slotCount() const;
    void addUse(Sum &sum, const QuotaUse &use, Duration age) const;
    double computeLevel(const Quota &quota, const Sum &sum, double knownPart) const;
    double allowance(const Quota &quota) const;

    QuotaLimits limits;
    std::map<WorkspaceId, QuotaBound> bounds;
    std::map<InstanceId, Reporter> reporters;
};

/// @brief Units that a request counts.
/// @param tokens of its prompt and its longest answer; unset if it does not state them
double requestUnits(const Quota &quota, std::optional<double> tokens);

} // namespace bamboochute::gateway
