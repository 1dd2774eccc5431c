#include "gateway/quarantine_driver.hpp"

#include "core/log.hpp"
#include "gateway/log_fields.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

QuarantineDriver::QuarantineDriver(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                                   Metrics &metrics)
    : loop(loop)
    , metrics(metrics)
    , detector(loop, pool)
    , timer(loop)
{
    this->detector.onCrash = [this](const BrokenRequest &broken) { this->handleCrash(broken); };
    this->detector.onAlive = [](const BrokenRequest &broken) {
        logEvent(LogLevel::Info, "upstream of a broken request not seen to end",
                 {{"request", broken.request.value()},
                  {"upstream", broken.process.upstream.value()},
                  {"started_at", std::to_string(broken.process.startedAt)},
                  {"fingerprint", broken.fingerprint.value()},
                  {"ran_ms", formatMilliseconds(broken.ranFor)}});
    };
    this->quarantine.onChange = [this](const QuarantineEntry &entry, QuarantineCause cause) {
        this->handleChange(entry, cause);
    };
}

void QuarantineDriver::checkForCrash(const BrokenRequest &broken)
{
    this->detector.check(broken);
}

void QuarantineDriver::recordCompletion(const ServiceId &service,
                                        const std::vector<PromptPartId> &parts)
{
    if (!parts.empty())
        this->quarantine.recordCompletion(service, parts, now());
}

QuarantineDecision QuarantineDriver::admit(const ServiceId &service,
                                           const std::vector<PromptPartId> &parts)
{
    QuarantineDecision decision = this->quarantine.admit(service, parts, this->isTrying(), now());
    if (decision.kind == QuarantineDecision::Kind::Trial) {
        this->metrics.counter("bamboochute_quarantine_trials_total").add();
        logEvent(LogLevel::Info, "quarantined prompt part tried",
                 {{"service", service.value()}, {"part", decision.part.value()}});
    }
    return decision;
}

bool QuarantineDriver::isRefused(const ServiceId &service,
                                 const std::vector<PromptPartId> &parts) const
{
    return this->quarantine.isRefused(service, parts, this->isTrying(), now());
}

void QuarantineDriver::receiveReport(const CrashReport &report)
{
    this->addReport(report);
}

void QuarantineDriver::receiveEntries(const std::vector<QuarantineEntry> &entries)
{
    for (const QuarantineEntry &entry : entries)
        this->quarantine.merge(entry, now());
}

std::vector<QuarantineEntry> QuarantineDriver::entries()
{
    return this->quarantine.entries(now());
}

void QuarantineDriver::handleCrash(const BrokenRequest &broken)
{
    this->metrics.counter("bamboochute_crash_broken_requests_total").add();
    logEvent(LogLevel::Warning, "upstream process ended under a request",
             {{"request", broken.request.value()},
              {"upstream", broken.process.upstream.value()},
              {"started_at", std::to_string(broken.process.startedAt)},
              {"service", broken.service.value()},
              {"prompt_parts", formatPromptParts(broken.promptParts)},
              {"fingerprint", broken.fingerprint.value()},
              {"ran_ms", formatMilliseconds(broken.ranFor)}});
    if (broken.promptParts.empty())
        return;
    const CrashReport report = this->quarantine.makeReport(broken, now());
    this->addReport(report);
    if (this->onReport)
        this->onReport(report);
}

void QuarantineDriver::addReport(const CrashReport &report)
{
    this->quarantine.recordCrash(report, now());
    this->hasNewReport = true;
    if (!std::exchange(this->isEvaluating, true))
        boost::asio::co_spawn(this->loop, this->evaluateReports(), boost::asio::detached);
}

/// Evaluates the reports once they have settled; a crash brings many of them at about the same
/// time.
upstream::Awaitable<void> QuarantineDriver::evaluateReports()
{
    while (std::exchange(this->hasNewReport, false)) {
        co_await this->timer.wait(now() + this->quarantine.currentLimits().settleTime);
        this->quarantine.evaluate(now());
    }
    this->isEvaluating = false;
}

void QuarantineDriver::handleChange(const QuarantineEntry &entry, QuarantineCause cause)
{
    const std::vector<QuarantineEntry> all = this->entries();
    const auto count = std::count_if(all.begin(), all.end(), [](const QuarantineEntry &known) {
        return known.isQuarantined;
    });
    this->metrics.gauge("bamboochute_quarantined_parts").set(count);
    this->metrics
            .counter("bamboochute_quarantine_changes_total",
                     fmt::format("cause=\"{}\"", quarantineCauseName(cause)))
            .add();
    logEvent(entry.isQuarantined ? LogLevel::Warning : LogLevel::Info,
             entry.isQuarantined ? "prompt part quarantined" : "prompt part released",
             {{"service", entry.key.service.value()},
              {"part", entry.key.part.value()},
              {"cause", std::string(quarantineCauseName(cause))},
              {"generation", std::to_string(entry.generation)},
              {"crashes", std::to_string(entry.crashes)},
              {"remaining_ms", formatMilliseconds(entry.remaining)}});
    if (this->onChange)
        this->onChange(entry);
}

} // namespace bamboochute::gateway
