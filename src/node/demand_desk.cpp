#include "node/demand_desk.hpp"

#include "core/log.hpp"
#include "decision/ledger.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bamboochute::node {

namespace {

constexpr std::chrono::milliseconds collectDelay{2};
constexpr std::chrono::milliseconds repeatPeriod{250};
constexpr Duration callTimeout = std::chrono::milliseconds(800);
/// How long a refusal is told to instances that report the same demand.
constexpr Duration refusalMemory = std::chrono::seconds(2);
constexpr std::size_t maxRememberedRefusals = 1024;

std::chrono::milliseconds remaining(TimePoint until, TimePoint now)
{
    const Duration left = std::max(Duration::zero(), until - now);
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

std::vector<UpstreamId> placesOf(const decision::Ledger &ledger, const Target &target)
{
    std::vector<UpstreamId> places;
    for (const auto &[upstream, record] : ledger.records()) {
        if (ledger.find(upstream, target) != nullptr)
            places.push_back(upstream);
    }
    return places;
}

} // namespace

struct DemandDesk::State : std::enable_shared_from_this<DemandDesk::State>
{
    State(ControlContext &context, ColdStarts &coldStarts, peer::CallClient &calls,
          DemandDeskCallbacks callbacks)
        : context(context)
        , coldStarts(coldStarts)
        , calls(calls)
        , callbacks(std::move(callbacks))
        , collectTimer(context.loop)
        , repeatTimer(context.loop)
    {}

    struct RememberedRefusal
    {
        decision::RefuseDemand refusal;
        TimePoint at;
    };

    ControlContext &context;
    ColdStarts &coldStarts;
    peer::CallClient &calls;
    DemandDeskCallbacks callbacks;
    boost::asio::steady_timer collectTimer;
    boost::asio::steady_timer repeatTimer;
    std::set<Target> changed;
    std::deque<RememberedRefusal> refusals;

    TimePoint now() const { return this->context.clock.now(); }

    void collectSoon()
    {
        this->collectTimer.expires_after(collectDelay);
        this->collectTimer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (!error && self)
                self->report(std::exchange(self->changed, {}));
        });
    }

    void repeatLater()
    {
        this->repeatTimer.expires_after(repeatPeriod);
        this->repeatTimer.async_wait([weak = this->weak_from_this()](const auto &error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            std::set<Target> waiting;
            for (const WaitingDemand &demand : self->coldStarts.all())
                waiting.insert(demand.target);
            self->report(waiting);
            self->repeatLater();
        });
    }

    void report(const std::set<Target> &targets)
    {
        std::map<PoolId, std::vector<WaitingDemand>> byPool;
        for (const Target &target : targets) {
            if (const auto pool = this->callbacks.poolOf(target))
                byPool[*pool].push_back(this->coldStarts.demandFor(target));
        }
        for (const auto &[pool, demands] : byPool)
            this->reportPool(pool, demands);
    }

    void reportPool(const PoolId &pool, const std::vector<WaitingDemand> &demands)
    {
        PoolDriver *driver = this->callbacks.driverOf(pool);
        if (driver == nullptr)
            return;
        if (driver->controller().isOwner()) {
            for (const WaitingDemand &demand : demands)
                this->handIn(*driver, this->context.settings.instance, demand);
            return;
        }
        if (const auto owner = this->callbacks.ownerOf(pool))
            this->send(*owner, pool, demands);
    }

    void handIn(PoolDriver &driver, const InstanceId &from, const WaitingDemand &demand)
    {
        driver.handle(decision::DemandReported{from,
                                               demand.target,
                                               demand.waiting,
                                               demand.earliestDeadline,
                                               std::max<std::uint32_t>(1, demand.weight),
                                               {}});
    }

    /// Hands a target's usage in for each of its replicas; the first one gets the new requests.
    void handInUsage(PoolDriver &driver, const InstanceId &from, const peer::TargetUsage &usage)
    {
        auto started
                = static_cast<std::uint32_t>(std::min<std::uint64_t>(usage.requests, UINT32_MAX));
        const TimePoint lastUsed = this->now() - usage.sinceLastUse;
        for (const UpstreamId &upstream : placesOf(driver.controller().ledger(), usage.target)) {
            driver.handle(decision::UsageReported{from, upstream, usage.target,
                                                  std::exchange(started, 0), usage.active,
                                                  lastUsed});
        }
    }

    void send(const OwnerPlace &owner, const PoolId &pool,
              const std::vector<WaitingDemand> &demands)
    {
        peer::DemandReport report{pool, {}};
        const TimePoint sentAt = this->now();
        for (const WaitingDemand &demand : demands) {
            report.demands.push_back({demand.target, demand.waiting,
                                      remaining(demand.earliestDeadline, sentAt), demand.weight});
        }
        this->calls.call(owner.callEndpoint, report, callTimeout,
                         [weak = this->weak_from_this()](const Result<peer::DemandAnswer> &answer) {
                             const auto self = weak.lock();
                             if (self)
                                 self->onAnswer(answer);
                         });
    }

    void onAnswer(const Result<peer::DemandAnswer> &answer)
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

    void forgetOldRefusals()
    {
        const TimePoint oldest = this->now() - refusalMemory;
        while (!this->refusals.empty()
               && (this->refusals.front().at < oldest
                   || this->refusals.size() > maxRememberedRefusals))
            this->refusals.pop_front();
    }

    std::vector<peer::DemandRefusal> refusalsFor(const peer::DemandReport &report)
    {
        this->forgetOldRefusals();
        std::vector<peer::DemandRefusal> found;
        const TimePoint time = this->now();
        for (const peer::TargetDemand &demand : report.demands) {
            for (const RememberedRefusal &each : this->refusals) {
                const bool isSame
                        = each.refusal.pool == report.pool && each.refusal.target == demand.target;
                if (!isSame || each.refusal.deadlineBefore <= time + demand.earliestDeadline)
                    continue;
                const Error &error = each.refusal.error;
                found.push_back({demand.target, error.kind(), error.message(),
                                 error.retryAfter().value_or(std::chrono::seconds::zero()),
                                 remaining(each.refusal.deadlineBefore, time)});
            }
        }
        return found;
    }
};

DemandDesk::DemandDesk(ControlContext &context, ColdStarts &coldStarts, peer::CallClient &calls,
                       DemandDeskCallbacks callbacks)
    : state(std::make_shared<State>(context, coldStarts, calls, std::move(callbacks)))
{}

DemandDesk::~DemandDesk()
{
    this->state->collectTimer.cancel();
    this->state->repeatTimer.cancel();
}

void DemandDesk::start()
{
    this->state->repeatLater();
}

void DemandDesk::onDemandChanged(const Target &target)
{
    const bool isFirst = this->state->changed.empty();
    this->state->changed.insert(target);
    if (isFirst)
        this->state->collectSoon();
}

void DemandDesk::reportUsage(const PoolId &pool, const std::vector<peer::TargetUsage> &usages)
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

peer::DemandAnswer DemandDesk::onDemandReport(const InstanceId &from,
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
        this->state->handIn(*driver, from,
                            {demand.target, demand.waiting, now + demand.earliestDeadline, weight});
    }
    answer.refusals = this->state->refusalsFor(report);
    return answer;
}

peer::UsageAnswer DemandDesk::onUsageReport(const InstanceId &from, const peer::UsageReport &report)
{
    peer::UsageAnswer answer;
    PoolDriver *driver = this->state->callbacks.driverOf(report.pool);
    if (driver == nullptr || !driver->controller().isOwner()) {
        answer.outcome = peer::ReportOutcome::NotOwner;
        return answer;
    }
    for (const peer::TargetUsage &usage : report.usages)
        this->state->handInUsage(*driver, from, usage);
    return answer;
}

void DemandDesk::onRefuseDemand(const decision::RefuseDemand &refusal)
{
    this->state->coldStarts.refuse(refusal.target, refusal.error, refusal.deadlineBefore);
    this->state->refusals.push_back({refusal, this->state->now()});
    this->state->forgetOldRefusals();
}

} // namespace bamboochute::node
