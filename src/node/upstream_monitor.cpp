#include "node/upstream_monitor.hpp"

#include "core/log.hpp"
#include "node/load_summary.hpp"
#include "node/members.hpp"

#include <algorithm>

namespace bamboochute::node {

namespace {

constexpr Duration reportPeriod = std::chrono::milliseconds(500);
/// Mean time between two reads of the platform's list, counted over all instances of the fleet.
constexpr Duration fleetListReadPeriod = std::chrono::milliseconds(100);
constexpr Duration minListReadPeriod = std::chrono::seconds(1);
/// Time between two load summaries is this times the number of instances, which keeps gossip within
/// its byte budget.
constexpr Duration summaryPeriodPerInstance = std::chrono::milliseconds(15);
constexpr std::uint32_t refusedReportsUntilGone = 2;
constexpr const char *drainScopeSuffix = "/drain";

std::vector<peer::ListedInstance>
toPeerListedInstances(const std::vector<platform::ListedInstance> &rows)
{
    std::vector<peer::ListedInstance> listed;
    listed.reserve(rows.size());
    for (const platform::ListedInstance &row : rows) {
        listed.push_back({InstanceId(row.name), row.dataCentre, row.endpoint,
                          static_cast<peer::ListedState>(row.state), row.generation});
    }
    return listed;
}

} // namespace

struct UpstreamMonitor::State : std::enable_shared_from_this<UpstreamMonitor::State>
{
    State(ControlContext &context, Timers &timers, GossipDriver &gossip, Pools &pools,
          UpstreamOrders &orders, std::function<void()> onObservationsChanged)
        : context(context)
        , timers(timers)
        , gossip(gossip)
        , pools(pools)
        , orders(orders)
        , onObservationsChanged(std::move(onObservationsChanged))
    {
        if (!context.settings.instanceList.empty())
            this->listClient = std::make_unique<platform::InstanceListClient>(
                    context.loop, context.settings.instanceList);
    }

    ControlContext &context;
    Timers &timers;
    GossipDriver &gossip;
    Pools &pools;
    UpstreamOrders &orders;
    std::function<void()> onObservationsChanged;
    ConfigurationPointer configuration;
    std::unique_ptr<platform::InstanceListClient> listClient;
    std::set<UpstreamId> listedLeaving;
    std::set<UpstreamId> gone;
    std::set<UpstreamId> pendingReports;
    /// Consecutive reads of a report that found the upstream's port closed.
    std::map<UpstreamId, std::uint32_t> refusedReports;
    std::map<PoolId, std::map<UpstreamId, std::uint32_t>> ownedPoolLoads;
    UpstreamObservations mergedObservations;
    TimePoint nextSummaryAt{};

    const UpstreamSpec *find(const UpstreamId &upstream) const
    {
        if (!this->configuration)
            return nullptr;
        for (const Deployment &deployment : this->configuration->deployments) {
            for (const UpstreamSpec &spec : deployment.upstreams) {
                if (spec.id == upstream)
                    return &spec;
            }
        }
        return nullptr;
    }

    void readReports()
    {
        if (!this->configuration)
            return;
        for (const Deployment &deployment : this->configuration->deployments) {
            for (const UpstreamSpec &spec : deployment.upstreams) {
                PoolDriver *driver = this->pools.find(spec.pool);
                const bool isOwnedHere = spec.kind == UpstreamKind::Engine && driver != nullptr
                                         && driver->controller().isOwner();
                if (isOwnedHere && this->pendingReports.insert(spec.id).second)
                    this->readReport(spec);
            }
        }
        this->publishLoads();
    }

    void readReport(const UpstreamSpec &spec)
    {
        this->orders.readReport(spec, [weak = this->weak_from_this(), id = spec.id,
                                       pool = spec.pool](Result<decision::ReportReceived> report) {
            if (const auto self = weak.lock())
                self->onReport(id, pool, std::move(report));
        });
    }

    void onReport(const UpstreamId &upstream, const PoolId &pool,
                  Result<decision::ReportReceived> report)
    {
        this->pendingReports.erase(upstream);
        if (report)
            this->refusedReports.erase(upstream);
        if (!report) {
            this->onReportFailed(upstream, pool, report.error());
            return;
        }
        if (this->gone.erase(upstream) != 0) {
            logEvent(LogLevel::Info, "upstream answers reports again",
                     {{"upstream", upstream.value()}});
            this->pools.handle(pool, decision::UpstreamReturned{upstream});
        }
        this->ownedPoolLoads[pool][upstream] = report.value().running + report.value().waiting;
        this->pools.handle(pool, report.value());
    }

    void onReportFailed(const UpstreamId &upstream, const PoolId &pool, const Error &error)
    {
        this->context.metrics.counter("bamboochute_reports_failed_total").add();
        // Only a refused connection shows that the process has ended; a timeout may come from a
        // paused process or a network partition.
        if (error.kind() != ErrorKind::UpstreamUnavailable) {
            this->refusedReports.erase(upstream);
            return;
        }
        const bool isGone = ++this->refusedReports[upstream] >= refusedReportsUntilGone;
        if (isGone && this->gone.insert(upstream).second) {
            logEvent(LogLevel::Warning, "upstream refuses connections; treated as gone",
                     {{"upstream", upstream.value()}, {"detail", error.message()}});
            this->pools.handle(pool, decision::UpstreamGone{upstream});
        }
    }

    void publishLoads()
    {
        const TimePoint now = this->context.clock.now();
        if (now < this->nextSummaryAt)
            return;
        const auto instances = this->gossip.gossip().membership().reachableCount() + 1;
        this->nextSummaryAt = now + summaryPeriodPerInstance * static_cast<std::int64_t>(instances);
        for (const auto &[pool, loads] : this->ownedPoolLoads) {
            PoolDriver *driver = this->pools.find(pool);
            const auto owner = driver ? driver->controller().knownOwner() : std::nullopt;
            if (driver != nullptr && driver->controller().isOwner() && owner)
                this->publishLoads(pool, owner->fence, loads);
        }
    }

    void publishLoads(const PoolId &pool, Fence fence,
                      const std::map<UpstreamId, std::uint32_t> &loads)
    {
        const std::vector<std::string> payloads = serializeLoads(loads);
        for (std::size_t i = 0; i < payloads.size(); ++i)
            this->gossip.publish({{peer::Topic::LoadSummary, pool.value()}, std::to_string(i)},
                                 fence, payloads[i]);
        for (const auto &[upstream, load] : loads)
            this->mergedObservations.reportedLoad[upstream] = load;
        this->onObservationsChanged();
    }

    void readInstanceList()
    {
        const auto instances = this->gossip.gossip().membership().reachableCount() + 1;
        const Duration period = std::max(
                minListReadPeriod, fleetListReadPeriod * static_cast<std::int64_t>(instances));
        this->timers.after(period, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->readInstanceList();
        });
        if (!this->listClient)
            return;
        this->listClient->read(
                [weak = this->weak_from_this()](Result<platform::InstanceList> list) {
                    const auto self = weak.lock();
                    if (self && list)
                        self->onInstanceList(list.value());
                });
    }

    void onInstanceList(const platform::InstanceList &list)
    {
        this->gossip.onPlatformList(toPeerListedInstances(list.entryInstances));
        for (const platform::ListedInstance &row : list.upstreams) {
            const UpstreamId upstream(row.name);
            const bool isLeaving = row.state != platform::ListedState::Live;
            const bool wasLeaving = this->listedLeaving.contains(upstream);
            if (isLeaving && !wasLeaving)
                this->publishLeaving(upstream);
            else if (!isLeaving && wasLeaving)
                this->withdrawLeaving(upstream);
        }
    }

    peer::StateKey leavingKey(const UpstreamId &upstream) const
    {
        return {{peer::Topic::LeavingUpstreams, this->context.settings.instance.value()},
                upstream.value()};
    }

    void publishLeaving(const UpstreamId &upstream)
    {
        logEvent(LogLevel::Info, "upstream is leaving, by the platform's list",
                 {{"upstream", upstream.value()}});
        this->listedLeaving.insert(upstream);
        this->gossip.publish(this->leavingKey(upstream), Fence(this->context.incarnation.value()),
                             {});
        this->mergeLeaving();
    }

    void withdrawLeaving(const UpstreamId &upstream)
    {
        this->listedLeaving.erase(upstream);
        this->gossip.erase(this->leavingKey(upstream), Fence(this->context.incarnation.value()));
        this->mergeLeaving();
    }

    /// Merges the leaving upstreams that all instances announce, and notifies the pools of changes.
    void mergeLeaving()
    {
        std::set<UpstreamId> leaving = this->listedLeaving;
        const peer::Dissemination &dissemination = this->gossip.gossip().dissemination();
        for (const std::string &scope : dissemination.scopes(peer::Topic::LeavingUpstreams)) {
            for (const peer::StateDelta &entry :
                 dissemination.entries({peer::Topic::LeavingUpstreams, scope}))
                leaving.insert(UpstreamId(entry.key.item));
        }
        const std::set<UpstreamId> before
                = std::exchange(this->mergedObservations.leaving, leaving);
        for (const UpstreamId &upstream : leaving) {
            if (!before.contains(upstream))
                this->notifyPool(upstream, decision::UpstreamLeaving{upstream});
        }
        for (const UpstreamId &upstream : before) {
            if (!leaving.contains(upstream))
                this->notifyPool(upstream, decision::UpstreamReturned{upstream});
        }
        if (before != leaving)
            this->onObservationsChanged();
    }

    void notifyPool(const UpstreamId &upstream, const decision::Event &event)
    {
        if (const UpstreamSpec *spec = this->find(upstream))
            this->pools.handle(spec->pool, event);
    }

    void mergeLoads(const peer::StateDelta &delta)
    {
        for (const auto &[upstream, load] : parseLoads(delta.payload))
            this->mergedObservations.reportedLoad[upstream] = load;
        this->onObservationsChanged();
    }
};

UpstreamMonitor::UpstreamMonitor(ControlContext &context, Timers &timers, GossipDriver &gossip,
                                 Pools &pools, UpstreamOrders &orders,
                                 std::function<void()> onObservationsChanged)
    : state(std::make_shared<State>(context, timers, gossip, pools, orders,
                                    std::move(onObservationsChanged)))
{}

UpstreamMonitor::~UpstreamMonitor() = default;

void UpstreamMonitor::start()
{
    this->state->readInstanceList();
    this->state->timers.every(reportPeriod, [weak = std::weak_ptr(this->state)] {
        if (const auto self = weak.lock())
            self->readReports();
    });
}

void UpstreamMonitor::setConfiguration(ConfigurationPointer configuration)
{
    this->state->configuration = std::move(configuration);
    this->state->mergeLeaving();
    for (const UpstreamId &upstream : this->state->mergedObservations.leaving)
        this->state->notifyPool(upstream, decision::UpstreamLeaving{upstream});
}

void UpstreamMonitor::onStateChanged(const peer::StateDelta &delta)
{
    if (delta.key.stream.topic == peer::Topic::LeavingUpstreams)
        this->state->mergeLeaving();
    else if (delta.key.stream.topic == peer::Topic::LoadSummary)
        this->state->mergeLoads(delta);
}

bool UpstreamMonitor::drain(const UpstreamId &upstream)
{
    if (this->state->find(upstream) == nullptr)
        return false;
    const std::string scope = this->state->context.settings.instance.value() + drainScopeSuffix;
    this->state->gossip.publish({{peer::Topic::LeavingUpstreams, scope}, upstream.value()},
                                Fence(this->state->context.incarnation.value()), {});
    this->state->mergeLeaving();
    return true;
}

const UpstreamObservations &UpstreamMonitor::observations() const
{
    return this->state->mergedObservations;
}

} // namespace bamboochute::node
