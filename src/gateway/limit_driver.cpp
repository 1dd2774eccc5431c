#include "gateway/limit_driver.hpp"

#include "core/bounded_duration.hpp"
#include "core/log.hpp"
#include "gateway/log_fields.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

LimitDriver::LimitDriver(boost::asio::io_context &loop, Metrics &metrics, std::uint64_t seed,
                         LimitSettings settings)
    : metrics(metrics)
    , settings(settings)
    , limits(settings)
    , issuer(settings)
    , ownPermits(seed, settings)
    , answered(loop)
{}

void LimitDriver::recordAnswer(const UpstreamProcess &process, const AnswerAttributes &answer)
{
    if (answer.isLimitInvalid)
        return;
    // An answer that the upstream's process did not write in full says nothing.
    if (!answer.requestsPerSecond && !answer.isSigned)
        return;
    if (!this->limits.recordAnswer(process, answer.requestsPerSecond, now()))
        return;
    const LimitReport report = this->limits.reportOf(process, now());
    this->logChange(report, "answer");
    if (this->onChange)
        this->onChange(report);
}

void LimitDriver::setLimit(const UpstreamProcess &process, double requestsPerSecond)
{
    if (!this->limits.recordAnswer(process, requestsPerSecond, now()))
        return;
    const LimitReport report = this->limits.reportOf(process, now());
    this->logChange(report, "rejections");
    if (this->onChange)
        this->onChange(report);
}

void LimitDriver::learn(const LimitReport &report)
{
    if (this->limits.learn(report, now()))
        this->logChange(this->limits.reportOf(report.process, now()), "instance");
}

void LimitDriver::logChange(const LimitReport &report, std::string_view source) const
{
    logEvent(LogLevel::Info,
             report.requestsPerSecond ? "upstream limit changed" : "upstream limit ended",
             {{"upstream", report.process.upstream.value()},
              {"started_at", std::to_string(report.process.startedAt)},
              {"requests_per_second",
               report.requestsPerSecond ? fmt::format("{}", *report.requestsPerSecond) : ""},
              {"source", std::string(source)}});
}

bool LimitDriver::isLimited(const UpstreamProcess &process) const
{
    return this->limits.limitOf(process).has_value();
}

bool LimitDriver::isExhausted(const UpstreamProcess &process) const
{
    const auto found = this->exhaustedUntil.find(process);
    return found != this->exhaustedUntil.end() && found->second > now() && this->isLimited(process);
}

bool LimitDriver::isScarce(const UpstreamProcess &process) const
{
    const auto found = this->deniedAt.find(process);
    return found != this->deniedAt.end() && found->second + this->settings.scarcityMemory >= now()
           && this->isLimited(process);
}

upstream::Awaitable<PermitDecision> LimitDriver::acquire(UpstreamProcess process)
{
    const std::optional<double> limit = this->limits.limitOf(process);
    if (!limit)
        co_return PermitDecision{};
    if (this->isExhausted(process))
        co_return PermitDecision{false, this->exhaustedUntil[process] - now()};
    std::string_view source = "issued_here";
    std::optional<PermitDecision> decision = this->issue(process, *limit);
    if (!decision) {
        source = "issued_elsewhere";
        decision = co_await this->ask(process);
    }
    if (!decision) {
        source = "own_share";
        const std::optional<std::uint32_t> count = this->instances.value(now());
        decision = count ? this->ownPermits.take(process, *limit, *count, now())
                         : PermitDecision{false, this->settings.issuerTimeout};
    }
    this->count(source, decision->isGranted);
    if (decision->isGranted) {
        this->refusedCallers.erase(process);
    } else {
        decision->nextIn = std::min(decision->nextIn, this->settings.maxPause);
        std::erase_if(this->exhaustedUntil,
                      [time = now()](const auto &item) { return item.second < time; });
        this->exhaustedUntil[process] = now() + decision->nextIn;
    }
    co_return *decision;
}

std::optional<PermitDecision> LimitDriver::issue(const UpstreamProcess &process, double limit)
{
    const std::uint64_t term = this->issuerTerm ? this->issuerTerm() : 0;
    if (term == 0)
        return std::nullopt;
    if (std::exchange(this->lastTerm, term) != term)
        this->issuer.reset();
    const PermitDecision decision = this->issuer.take(process, limit, now());
    if (!decision.isGranted) {
        std::erase_if(this->deniedAt, [&](const auto &item) {
            return item.second + this->settings.scarcityMemory < now();
        });
        this->deniedAt[process] = now();
    }
    return decision;
}

/// Asks the issuer; returns nothing when it does not answer in time.
upstream::Awaitable<std::optional<PermitDecision>> LimitDriver::ask(UpstreamProcess process)
{
    const std::uint64_t number = ++this->lastNumber;
    const PermitRequest request{number, this->limits.reportOf(process, now())};
    this->pending[number];
    if (!this->sendRequest || !this->sendRequest(request)) {
        this->pending.erase(number);
        co_return std::nullopt;
    }
    const TimePoint giveUpAt = now() + this->settings.issuerTimeout;
    while (!this->pending[number] && now() < giveUpAt)
        co_await this->answered.wait(giveUpAt);
    const std::optional<PermitAnswer> answer = this->pending[number];
    this->pending.erase(number);
    if (!answer || !answer->isIssuer)
        co_return std::nullopt;
    co_return answer->decision;
}

PermitAnswer LimitDriver::answer(const PermitRequest &request)
{
    this->learn(request.limit);
    const std::optional<double> limit = this->limits.limitOf(request.limit.process);
    if (!limit)
        return {request.number, true, {}};
    const std::optional<PermitDecision> decision = this->issue(request.limit.process, *limit);
    return {request.number, decision.has_value(), decision.value_or(PermitDecision())};
}

void LimitDriver::receiveAnswer(const PermitAnswer &answer)
{
    const auto found = this->pending.find(answer.number);
    if (found == this->pending.end())
        return;
    found->second = answer;
    if (answer.isIssuer)
        this->recordIssuer();
    this->answered.notifyAll();
}

void LimitDriver::setInstanceCount(std::uint32_t count)
{
    this->instances.record(count, now());
}

void LimitDriver::recordIssuer()
{
    // What the own share denied, the issuer may grant.
    if (this->ownPermits.reset())
        this->exhaustedUntil.clear();
}

Duration LimitDriver::recordRefusal(const UpstreamProcess &process, Duration nextIn)
{
    this->metrics.counter("bamboochute_limit_refusals_total").add();
    const double limit
            = this->limits.limitOf(process).value_or(this->settings.maxRequestsPerSecond);
    if (this->refusedCallers.size() > this->settings.maxUpstreams)
        this->refusedCallers.clear();
    // The other instances refuse callers as well, and each gets its part of the permits.
    const double ahead = static_cast<double>(this->refusedCallers[process]++)
                         * this->instances.value(now()).value_or(1);
    const Duration wait = toBoundedDuration(std::chrono::duration<double>(ahead / limit));
    return std::min(this->settings.maxPause, nextIn + wait);
}

std::vector<LimitReport> LimitDriver::reports() const
{
    return this->limits.reports(now());
}

void LimitDriver::count(std::string_view source, bool isGranted)
{
    this->metrics
            .counter("bamboochute_upstream_permits_total",
                     fmt::format("source=\"{}\",granted=\"{}\"", source, isGranted ? "yes" : "no"))
            .add();
}

} // namespace bamboochute::gateway
