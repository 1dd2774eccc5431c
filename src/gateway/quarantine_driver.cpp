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
                                   const UpstreamTable &table, Metrics &metrics)
    : loop(loop)
    , metrics(metrics)
    , detector(loop, pool, table)
    , timer(loop)
{
    this->detector.onCrash = [this](const BrokenRequest &broken, ProcessEnd end) {
        this->handleCrash(broken, end);
    };
    this->detector.onAlive = [](const BrokenRequest &broken) {
        logEvent(LogLevel::Info, "upstream of a broken request not seen to end",
                 {{"request", broken.request.value()},
                  {"upstream", broken.process.upstream.value()},
                  {"started_at", std::to_string(broken.process.startedAt)},
                  {"fingerprint", formatSubjects(broken.subjects, SubjectKind::Request)},
                  {"ran_ms", formatMilliseconds(broken.ranFor)}});
    };
    this->quarantine.onChange = [this](const QuarantineEntry &entry, QuarantineCause cause) {
        this->handleChange(entry, cause);
    };
}

void QuarantineDriver::configure(const QuarantineLimits &limits)
{
    this->quarantine.configure(limits);
    this->detector.setConfirmationTime(limits.confirmationTime);
}

void QuarantineDriver::checkForCrash(const BrokenRequest &broken)
{
    this->detector.check(broken);
}

void QuarantineDriver::recordCompletion(const ServiceId &service,
                                        const std::vector<QuarantineSubject> &subjects)
{
    this->quarantine.recordCompletion(service, subjects, now());
}

QuarantineDecision QuarantineDriver::admit(const ServiceId &service,
                                           const std::vector<QuarantineSubject> &subjects)
{
    QuarantineDecision decision
            = this->quarantine.admit(service, subjects, this->isTrying(), now());
    if (decision.kind == QuarantineDecision::Kind::Trial) {
        const std::string_view kind = subjectKindName(decision.subject.kind);
        this->metrics
                .counter("bamboochute_quarantine_trials_total", fmt::format("kind=\"{}\"", kind))
                .add();
        logEvent(LogLevel::Info, "quarantined request tried",
                 {{"service", service.value()},
                  {std::string(kind), decision.subject.id},
                  {"fingerprint", formatSubjects(subjects, SubjectKind::Request)}});
    }
    return decision;
}

bool QuarantineDriver::isRefused(const ServiceId &service,
                                 const std::vector<QuarantineSubject> &subjects) const
{
    return this->quarantine.isRefused(service, subjects, this->isTrying(), now());
}

void QuarantineDriver::receiveReport(const CrashReport &report)
{
    this->addReport(report);
    this->detector.recordEnd(report.process, ProcessEnd::Reported);
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

void QuarantineDriver::handleCrash(const BrokenRequest &broken, ProcessEnd end)
{
    this->metrics.counter("bamboochute_crash_broken_requests_total").add();
    logEvent(LogLevel::Warning, "upstream process ended under a request",
             {{"request", broken.request.value()},
              {"upstream", broken.process.upstream.value()},
              {"started_at", std::to_string(broken.process.startedAt)},
              {"service", broken.service.value()},
              {"found_by", std::string(processEndName(end))},
              {"prompt_parts", formatSubjects(broken.subjects, SubjectKind::PromptPart)},
              {"fingerprint", formatSubjects(broken.subjects, SubjectKind::Request)},
              {"ran_ms", formatMilliseconds(broken.ranFor)}});
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
    const auto count = [&all](SubjectKind kind) {
        return std::count_if(all.begin(), all.end(), [kind](const QuarantineEntry &known) {
            return known.isQuarantined && known.key.subject.kind == kind;
        });
    };
    this->metrics.gauge("bamboochute_quarantined_parts").set(count(SubjectKind::PromptPart));
    this->metrics.gauge("bamboochute_quarantined_requests").set(count(SubjectKind::Request));
    this->metrics
            .counter("bamboochute_quarantine_changes_total",
                     fmt::format("kind=\"{}\",cause=\"{}\"",
                                 subjectKindName(entry.key.subject.kind),
                                 quarantineCauseName(cause)))
            .add();
    logChange(entry, cause);
    if (this->onChange)
        this->onChange(entry);
}

void QuarantineDriver::logChange(const QuarantineEntry &entry, QuarantineCause cause)
{
    const LogLevel level = entry.isQuarantined ? LogLevel::Warning : LogLevel::Info;
    const std::string causeName(quarantineCauseName(cause));
    if (entry.key.subject.kind == SubjectKind::PromptPart)
        logEvent(level, entry.isQuarantined ? "prompt part quarantined" : "prompt part released",
                 {{"service", entry.key.service.value()},
                  {"part", entry.key.subject.id},
                  {"cause", causeName},
                  {"generation", std::to_string(entry.generation)},
                  {"crashes", std::to_string(entry.crashes)},
                  {"remaining_ms", formatMilliseconds(entry.remaining)}});
    else
        logEvent(level, entry.isQuarantined ? "request quarantined" : "request released",
                 {{"service", entry.key.service.value()},
                  {"fingerprint", entry.key.subject.id},
                  {"cause", causeName},
                  {"generation", std::to_string(entry.generation)},
                  {"crashes", std::to_string(entry.crashes)},
                  {"trials", std::to_string(entry.trials)},
                  {"remaining_ms", formatMilliseconds(entry.remaining)}});
}

} // namespace bamboochute::gateway
