#include "residency/quota_exchange.hpp"

#include "core/log.hpp"
#include "residency/message_size.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::residency {

QuotaExchange::QuotaExchange(gateway::QuotaMeter &meter, gateway::QuotaLimits limits,
                             InstanceId self, QuotaExchangeSettings settings)
    : meter(meter)
    , aggregate(limits)
    , self(std::move(self))
    , settings(settings)
{}

void QuotaExchange::configure(const std::vector<gateway::Workspace> &workspaces, TimePoint now)
{
    this->aggregate.configure(workspaces, now);
}

void QuotaExchange::sendDue(const std::optional<Endpoint> &aggregator, bool isSelf, TimePoint now)
{
    if (!this->meter.hasQuotas())
        return;
    this->sendReport(aggregator, isSelf, now);
    std::erase_if(this->reporters, [&](const auto &item) {
        return item.second.reportedAt + this->settings.reporterTimeout < now;
    });
    if (this->reporters.empty())
        this->reportsSince.reset();
    else if (now >= *this->reportsSince + this->settings.firstSharesDelay
             && now >= this->sharesSentAt + this->sharesInterval())
        this->sendShares(now);
}

Duration QuotaExchange::sharesInterval() const
{
    const std::chrono::duration<double> bounded(static_cast<double>(this->reporters.size())
                                                / this->settings.maxMessagesPerSecond);
    // A round begins a moment earlier or later than the one before.
    return std::max(this->settings.interval / 2, std::chrono::duration_cast<Duration>(bounded));
}

void QuotaExchange::sendReport(const std::optional<Endpoint> &aggregator, bool isSelf,
                               TimePoint now)
{
    const QuotaReportMessage message{this->meter.report(this->self, now)};
    if (isSelf)
        this->receiveReport(message, Endpoint(), now);
    else if (aggregator) {
        for (const QuotaReportMessage &part : splitMessage(message, maxPartBytes))
            this->send(*aggregator, part);
    }
}

void QuotaExchange::receiveReport(const QuotaReportMessage &message, const Endpoint &from,
                                  TimePoint now)
{
    // Without quotas nothing removes old reporters.
    if (!this->meter.hasQuotas()
        || (this->reporters.size() >= this->settings.maxReporters
            && !this->reporters.contains(message.report.reporter)))
        return;
    if (!this->reportsSince)
        this->reportsSince = now;
    this->reporters[message.report.reporter] = Reporter{from, now};
    this->aggregate.receive(message.report, now);
}

void QuotaExchange::sendShares(TimePoint now)
{
    const QuotaSharesMessage message{this->aggregate.computeShares(now)};
    const bool isEmpty = message.shares.empty();
    if (isEmpty && this->wereSharesEmpty && now < this->sharesSentAt + this->settings.idleInterval)
        return;
    this->wereSharesEmpty = isEmpty;
    this->sharesSentAt = now;
    const std::vector<QuotaSharesMessage> parts = splitMessage(message, maxPartBytes);
    for (const auto &[instance, reporter] : this->reporters) {
        for (const QuotaSharesMessage &part : parts) {
            if (instance == this->self)
                this->receiveShares(part, now);
            else
                this->send(reporter.endpoint, part);
        }
    }
}

void QuotaExchange::receiveShares(const QuotaSharesMessage &message, TimePoint now)
{
    std::map<WorkspaceId, double> present;
    if (message.isContinuation) {
        this->meter.addShares(message.shares, now);
        present = this->limited;
    } else {
        this->meter.receiveShares(message.shares, now);
    }
    for (const gateway::QuotaShare &share : message.shares) {
        if (share.admitted < 1)
            present.emplace(share.workspace, share.admitted);
    }
    for (const auto &[workspace, admitted] : present) {
        if (!this->limited.contains(workspace))
            logEvent(LogLevel::Info, "workspace quota reached",
                     {{"workspace", workspace.value()},
                      {"admitted_share", fmt::format("{:.3f}", admitted)}});
    }
    for (const auto &[workspace, admitted] : this->limited) {
        if (!present.contains(workspace))
            logEvent(LogLevel::Info, "workspace quota no longer reached",
                     {{"workspace", workspace.value()}});
    }
    this->limited = std::move(present);
}

} // namespace bamboochute::residency
