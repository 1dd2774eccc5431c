/// @file
/// @brief Reports what this instance has admitted of quotas, and sums the reports of others.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "gateway/workspace_quota.hpp"
#include "residency/peer_messages.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace bamboochute::residency {

/// @brief Times and bounds of the exchange.
struct QuotaExchangeSettings
{
    /// Pause between two reports, and between two messages with shares.
    Duration interval = std::chrono::milliseconds(300);
    /// Messages that the aggregator sends in a second at most, so that control stays within its
    /// part of a core; with more instances each gets its shares less often.
    double maxMessagesPerSecond = 600;
    /// Pause between two messages while no workspace is near its quota.
    Duration idleInterval = std::chrono::milliseconds(500);
    /// Pause between two looks for quotas in the configuration while it has none.
    Duration disabledInterval = std::chrono::seconds(1);
    /// Time for which an instance that has reported gets shares. Rates are measured over this time;
    /// a former aggregator that went on longer would take callers to ask for nothing.
    Duration reporterTimeout = std::chrono::seconds(2);
    /// Reporters that are known at a time: several times as many as the largest deployment has
    /// instances (1,000), as each restart is another one.
    std::size_t maxReporters = 4096;
    /// Time from the first report until shares are computed: every instance has reported by then.
    Duration firstSharesDelay = std::chrono::milliseconds(700);
    auto operator<=>(const QuotaExchangeSettings &) const = default;
};

/// @brief Exchanges reports and shares with other instances; used on the loop's thread only.
///
/// The instance to which the others report is the aggregator. It needs neither the placement's
/// ownership nor the store for that.
class QuotaExchange
{
public:
    /// @param meter of this instance
    QuotaExchange(gateway::QuotaMeter &meter, gateway::QuotaLimits limits, InstanceId self,
                  QuotaExchangeSettings settings = {});

    /// @brief Takes over the workspaces of a configuration.
    void configure(const std::vector<gateway::Workspace> &workspaces, TimePoint now);

    /// @brief Sends what is due.
    /// @param aggregator unset while none is known
    /// @param isSelf whether this instance is the aggregator
    void sendDue(const std::optional<Endpoint> &aggregator, bool isSelf, TimePoint now);

    /// @brief Time until something may be due.
    Duration nextExchange() const
    {
        return this->meter.hasQuotas() ? this->settings.interval : this->settings.disabledInterval;
    }

    /// @brief Handles the report of an instance.
    void receiveReport(const QuotaReportMessage &message, const Endpoint &from, TimePoint now);

    /// @brief Handles the shares that the aggregator computed.
    void receiveShares(const QuotaSharesMessage &message, TimePoint now);

    /// @brief Sends a message to an instance; set before sendDue().
    std::function<void(const Endpoint &to, const PeerMessage &message)> send;

private:
    struct Reporter
    {
        Endpoint endpoint;
        TimePoint reportedAt{};
    };

    void sendReport(const std::optional<Endpoint> &aggregator, bool isSelf, TimePoint now);
    void sendShares(TimePoint now);
    Duration sharesInterval() const;

    gateway::QuotaMeter &meter;
    gateway::QuotaAggregate aggregate;
    InstanceId self;
    QuotaExchangeSettings settings;
    std::map<InstanceId, Reporter> reporters;
    /// First report of an unbroken series; unset while nobody reports.
    std::optional<TimePoint> reportsSince;
    TimePoint sharesSentAt{};
    bool wereSharesEmpty = false;
    /// Workspaces whose requests are refused in part, for the log.
    std::map<WorkspaceId, double> limited;
};

} // namespace bamboochute::residency
