#include "node/demand_reporter.hpp"

#include "core/log.hpp"
#include "decision/ledger.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

constexpr std::chrono::milliseconds reportDelay{2};
constexpr std::chrono::milliseconds repeatReportPeriod{250};
constexpr Duration callTimeout = std::chrono::milliseconds(800);
/// How long a refusal is kept to answer instances that report the same demand.
constexpr Duration refusalRetention = std::chrono::seconds(2);
constexpr std::size_t maxRecentRefusals = 1024;

std::chrono::milliseconds remainingTime(TimePoint until, TimePoint now)
{
    const Duration left = std::max(Duration::zero(), until - now);
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

std::vector<UpstreamId> upstreamsHolding(const decision::Ledger &ledger, const Target &target)
{
    std::vector<UpstreamId> upstreams;
    for (const auto &[upstream, record] : ledger.records()) {
        if (ledger.find(upstream, target) != nullptr)
            upstreams.push_back(upstream);
    }
    return upstreams;
}

} // namespace

struct DemandReporter::State : std::enable_shared_from_this<DemandReporter::State>
{
    State(ControlContext &context, ColdStarts &coldStarts, peer::CallClient &calls,
          DemandReporterCallbacks callbacks)
        : context(context)
        , coldStarts(coldStarts)
        , calls(calls)
        , callbacks(std::move(callbacks))
        , reportTimer(context.loop)
        , repeatTimer(context.loop)
    {}

    struct RecentRefusal
    {
        decision::RefuseDemand refusal;
        TimePoint refusedAt;
    };

    ControlContext &context;
    ColdStarts &coldStarts;
    peer::CallClient &calls;
    DemandReporterCallbacks callbacks;
    boost::asio::steady_timer reportTimer;
    boost::asio::steady_timer repeatTimer;
    std::set<Target> changedTargets;
    std::deque<RecentRefusal> recentRefusals;

    TimePoint now() const { return this->context.clock.now(); }

    void reportSoon()
    {
        this->reportTimer.expires_after(reportDelay);
        this->reportTimer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (!error && self)
                self->reportDemand(std::exchange(self->changedTargets, {}));
        });
    }

    void scheduleRepeat()
    {
        this->repeatTimer.expires_after(repeatReportPeriod);
        this->repeatTimer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            std::set<Target> waiting;
            for (const DemandSummary &demand : self->coldStarts.allDemand())
                waiting.insert(demand.target);
            self->reportDemand(waiting);
            self->scheduleRepeat();
        });
    }

    void reportDemand(const std::set<Target> &targets)
    {
        std::map<PoolId, std::vector<DemandSummary>> byPool;
        for (const Target &target : targets) {
            if (const auto pool = this->callbacks.poolOf(target))
                byPool[*pool].push_back(this->coldStarts.demandFor(target));
        }
        for (const auto &[pool, demands] : byPool)
            this->reportPoolDemand(pool, demands);
    }

    void reportPoolDemand(const PoolId &pool, const std::vector<DemandSummary> &demands)
    {
        PoolDriver *driver = this->callbacks.driverOf(pool);
        if (driver == nullptr)
            return;
        if (driver->controller().isOwner()) {
            for (const DemandSummary &demand : demands)
                this->addDemand(*driver, this->context.settings.instance, demand);
            return;
        }
        if (const auto owner = this->callbacks.ownerOf(pool))
            this->sendDemandReport(*owner, pool, demands);
    }

    void addDemand(PoolDriver &driver, const InstanceId &from, const DemandSummary &demand)
    {
        driver.handle(decision::DemandReported{from,
                                               demand.target,
                                               demand.waiting,
                                               demand.earliestDeadline,
                                               std::max<std::uint32_t>(1, demand.weight),
                                               {}});
    }

    /// Reports a target's usage to the controller for each of its replicas. The number of new
    /// requests is given for the first replica only, so that it is counted once.
    void addUsage(PoolDriver &driver, const InstanceId &from, const peer::TargetUsage &usage)
    {
        auto started
                = static_cast<std::uint32_t>(std::min<std::uint64_t>(usage.requests, UINT32_MAX));
        const TimePoint lastUsed = this->now() - usage.sinceLastUse;
        for (const UpstreamId &upstream :
             upstreamsHolding(driver.controller().ledger(), usage.target)) {
            driver.handle(decision::UsageReported{from, upstream, usage.target,
                                                  std::exchange(started, 0), usage.active,
                                                  lastUsed});
        }
    }

    void sendDemandReport(const OwnerAddress &owner, const PoolId &pool,
                          const std::vector<DemandSummary> &demands)
    {
        peer::DemandReport report{pool, {}};
        const TimePoint sentAt = this->now();
        for (const DemandSummary &demand : demands) {
            report.demands.push_back({demand.target, demand.waiting,
                                      remainingTime(demand.earliestDeadline, sentAt),
                                      demand.weight});
        }
        this->calls.call(owner.callEndpoint, report, callTimeout,
                         [weak = this->weak_from_this()](const Result<peer::DemandAnswer> &answer) {
                             const auto self = weak.lock();
                             if (self)
                                 self->handleDemandAnswer(answer);
                         });
    }

    void handleDemandAnswer(const Result<peer::DemandAnswer> &answer)
    {
        if (!answer) {
            this->context.metrics.errors(answer.error().kind()).add();
            return;
        }
        for (const peer::DemandRefusal &refusal : answer.value().refusals) {
            Error error(refusal.kind, refusal.message);
            if (refusal.retryAfter > std::chrono::seconds::zero())
                error = error.withRetryAfter(refusal.retryAfter);
            this->coldStarts.refuse(refusal.target, error, this->now() + refusal.deadlineWithin);
        }
    }

    void removeOldRefusals()
    {
        const TimePoint oldest = this->now() - refusalRetention;
        while (!this->recentRefusals.empty()
               && (this->recentRefusals.front().refusedAt < oldest
                   || this->recentRefusals.size() > maxRecentRefusals))
            this->recentRefusals.pop_front();
    }

    std::vector<peer::DemandRefusal> refusalsFor(const peer::DemandReport &report)
    {
        this->removeOldRefusals();
        std::vector<peer::DemandRefusal> found;
        const TimePoint time = this->now();
        for (const peer::TargetDemand &demand : report.demands) {
            for (const RecentRefusal &each : this->recentRefusals) {
                const bool isSame
                        = each.refusal.pool == report.pool && each.refusal.target == demand.target;
                if (!isSame || each.refusal.deadlineBefore <= time + demand.earliestDeadline)
                    continue;
                const Error &error = each.refusal.error;
                found.push_back({demand.target, error.kind(), error.message(),
                                 error.retryAfter().value_or(std::chrono::seconds::zero()),
                                 remainingTime(each.refusal.deadlineBefore, time)});
            }
        }
        return found;
    }
};

DemandReporter::DemandReporter(ControlContext &context, ColdStarts &coldStarts,
                               peer::CallClient &calls, DemandReporterCallbacks callbacks)
    : state(std::make_shared<State>(context, coldStarts, calls, std::move(callbacks)))
{}

DemandReporter::~DemandReporter()
{
    this->state->reportTimer.cancel();
    this->state->repeatTimer.cancel();
}

void DemandReporter::start()
{
    this->state->scheduleRepeat();
}

void DemandReporter::onDemandChanged(const Target &target)
{
    const bool isFirst = this->state->changedTargets.empty();
    this->state->changedTargets.insert(target);
    if (isFirst)
        this->state->reportSoon();
}

void DemandReporter::reportUsage(const PoolId &pool, const std::vector<peer::TargetUsage> &usages)
{
    PoolDriver *driver = this->state->callbacks.driverOf(pool);
    if (driver == nullptr)
        return;
    const peer::UsageReport report{pool, usages};
    if (driver->controller().isOwner()) {
        this->onUsageReport(this->state->context.settings.instance, report);
        return;
    }
    const auto owner = this->state->callbacks.ownerOf(pool);
    if (!owner)
        return;
    this->state->calls.call(owner->callEndpoint, report, callTimeout,
                            [](const Result<peer::UsageAnswer> &) {});
}

peer::DemandAnswer DemandReporter::onDemandReport(const InstanceId &from,
                                                  const peer::DemandReport &report)
{
    peer::DemandAnswer answer;
    PoolDriver *driver = this->state->callbacks.driverOf(report.pool);
    if (driver == nullptr || !driver->controller().isOwner()) {
        answer.outcome = peer::ReportOutcome::NotOwner;
        return answer;
    }
    const TimePoint now = this->state->now();
    for (const peer::TargetDemand &demand : report.demands) {
        const auto weight = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(demand.classWeight, UINT32_MAX));
        this->state->addDemand(
                *driver, from,
                {demand.target, demand.waiting, now + demand.earliestDeadline, weight});
    }
    answer.refusals = this->state->refusalsFor(report);
    return answer;
}

peer::UsageAnswer DemandReporter::onUsageReport(const InstanceId &from,
                                                const peer::UsageReport &report)
{
    peer::UsageAnswer answer;
    PoolDriver *driver = this->state->callbacks.driverOf(report.pool);
    if (driver == nullptr || !driver->controller().isOwner()) {
        answer.outcome = peer::ReportOutcome::NotOwner;
        return answer;
    }
    for (const peer::TargetUsage &usage : report.usages)
        this->state->addUsage(*driver, from, usage);
    return answer;
}

void DemandReporter::onRefuseDemand(const decision::RefuseDemand &refusal)
{
    this->state->coldStarts.refuse(refusal.target, refusal.error, refusal.deadlineBefore);
    this->state->recentRefusals.push_back({refusal, this->state->now()});
    this->state->removeOldRefusals();
}

} // namespace bamboochute::node
