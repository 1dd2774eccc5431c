#include "node/control.hpp"

#include "admin/admin_server.hpp"
#include "caller/server.hpp"
#include "core/log.hpp"
#include "node/admin_ports.hpp"
#include "node/claims.hpp"
#include "node/cold_starts.hpp"
#include "node/configuration_driver.hpp"
#include "node/control_context.hpp"
#include "node/demand_reporter.hpp"
#include "node/gossip_driver.hpp"
#include "node/members.hpp"
#include "node/pool_choice.hpp"
#include "node/pools.hpp"
#include "node/snapshot_publisher.hpp"
#include "node/timers.hpp"
#include "node/upstream_monitor.hpp"
#include "node/upstream_orders.hpp"

#include <map>
#include <utility>

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bamboochute::node {

namespace {

constexpr Duration ownerTickPeriod = std::chrono::milliseconds(100);
constexpr Duration observerTickPeriod = std::chrono::seconds(1);
constexpr Duration usagePeriod = std::chrono::seconds(2);
constexpr Duration stopPollPeriod = std::chrono::milliseconds(20);
/// Limit for handing over pools and settling claims after the last request has ended.
constexpr Duration handOverTimeout = std::chrono::seconds(3);

constexpr int maxFreePortAttempts = 8;
/// Bounds callers' connections on machines with much memory and many descriptors.
constexpr std::size_t maxCallerConnections = 8192;

/// Microseconds since 1970, so that a later process of the same instance has a higher number.
Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return Incarnation(static_cast<std::uint64_t>(count));
}

Result<peer::KeyRing> keyRingOf(const Settings &settings)
{
    std::vector<peer::SharedKey> keys;
    for (const PeerKey &key : settings.peerKeys)
        keys.push_back({key.id, key.secret});
    return peer::KeyRing::create(std::move(keys));
}

/// The file descriptors that the process may have; zero if that can't be found out.
std::size_t descriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return 0;
    return limit.rlim_cur;
}

InboundLimits inboundLimits(const Settings &settings)
{
    InboundLimits limits;
    limits.memoryBytes = static_cast<std::size_t>(settings.memoryMegabytes) << 20;
    limits.descriptors = descriptorLimit();
    limits.maxCallerConnections = maxCallerConnections;
    return limits;
}

caller::ServerSettings serverSettings(const Settings &settings, Incarnation incarnation)
{
    caller::ServerSettings server;
    server.listen = settings.listen;
    server.trafficThreads = settings.trafficThreads;
    server.dataCentre = settings.dataCentre;
    server.orderCredential = settings.orderCredential;
    server.seed = incarnation.value();
    return server;
}

} // namespace

struct Control::State : std::enable_shared_from_this<Control::State>
{
    State(boost::asio::io_context &loop, const Settings &settings, Metrics &metrics)
        : context{loop, settings, metrics, newIncarnation(), {}}
        , inbound(inboundLimits(settings), metrics)
        , timers(loop)
        , keyValue(loop, settings.keyValue, metrics)
        , orders(context)
        , coldStarts(context, [this](const Target &target) { this->onDemandChanged(target); })
        , claims(context, keyValue,
                 [this](const InstanceId &instance, Incarnation incarnation) {
                     return this->gossip
                            && this->gossip->gossip().membership().isKnownGone(instance,
                                                                               incarnation);
                 })
        , server(serverSettings(settings, context.incarnation),
                 caller::makePorts(coldStarts, claims), metrics, inbound)
    {}

    ControlContext context;
    InboundBudget inbound;
    Timers timers;
    platform::KeyValueClient keyValue;
    UpstreamOrders orders;
    ColdStarts coldStarts;
    Claims claims;
    caller::Server server;
    std::unique_ptr<peer::CallServer> callServer;
    std::unique_ptr<peer::CallClient> callClient;
    std::unique_ptr<GossipDriver> gossip;
    std::unique_ptr<Pools> pools;
    std::unique_ptr<DemandReporter> demandReporter;
    std::unique_ptr<ConfigurationDriver> configuration;
    std::unique_ptr<UpstreamMonitor> upstreams;
    std::unique_ptr<SnapshotPublisher> publisher;
    std::unique_ptr<AdminPorts> ports;
    std::unique_ptr<admin::AdminApi<AdminPorts>> api;
    std::unique_ptr<admin::AdminServer> adminServer;
    std::function<void()> onStopped;
    TimePoint drainedAt{};
    bool isStopping = false;
    bool isDrained = false;

    Result<BoundEndpoints> start(std::function<void()> callback)
    {
        this->onStopped = std::move(callback);
        BOOST_OUTCOME_TRY(keys, keyRingOf(this->context.settings));
        BOOST_OUTCOME_TRYV(this->bindPeerEndpoint(keys));
        this->createParts();
        BOOST_OUTCOME_TRY(callers, this->server.start());
        BOOST_OUTCOME_TRY(admin, this->openAdmin());
        this->startParts();
        return BoundEndpoints{callers, admin, this->callServer->localEndpoint()};
    }

    /// Binds TCP and UDP at the same port. With port 0 the system picks a port that is free for
    /// TCP; when it is taken for UDP, another one is tried.
    Result<void> bindPeerEndpoint(const peer::KeyRing &keys)
    {
        Result<void> opened = this->tryBindPeerEndpoint(keys);
        const bool isFreePort = this->context.settings.peerListen.port == 0;
        for (int attempt = 1; isFreePort && !opened && attempt < maxFreePortAttempts; ++attempt)
            opened = this->tryBindPeerEndpoint(keys);
        return opened;
    }

    Result<void> tryBindPeerEndpoint(const peer::KeyRing &keys)
    {
        const Settings &settings = this->context.settings;
        BOOST_OUTCOME_TRY(opened, peer::CallServer::open(this->context.loop, settings.peerListen,
                                                         keys, this->inbound));
        this->callServer = std::move(opened);
        this->callClient = std::make_unique<peer::CallClient>(
                this->context.loop, keys,
                peer::CallingInstance{settings.instance, this->context.incarnation});
        GossipCallbacks callbacks;
        callbacks.onMemberChanged = [this](const auto &each) { this->onMemberChanged(each); };
        callbacks.onStateChanged = [this](const auto &each) { this->onStateChanged(each.delta); };
        callbacks.onSelfDeclaredGone = [this](const auto &each) { this->onSelfDeclaredGone(each); };
        BOOST_OUTCOME_TRY(driver,
                          GossipDriver::open(this->context, keys, this->callServer->localEndpoint(),
                                             std::move(callbacks)));
        this->gossip = std::move(driver);
        return boost::outcome_v2::success();
    }

    void createParts()
    {
        this->pools = std::make_unique<Pools>(
                this->context, this->keyValue, *this->gossip, *this->callClient, this->orders,
                PoolsCallbacks{
                        [this](const auto &refusal) {
                            this->demandReporter->onRefuseDemand(refusal);
                        },
                        [this] { this->publisher->schedulePublish(); },
                });
        this->demandReporter = std::make_unique<DemandReporter>(this->context, this->coldStarts,
                                                                *this->callClient,
                                                                this->demandReporterCallbacks());
        this->configuration = std::make_unique<ConfigurationDriver>(
                this->context, this->timers, this->keyValue, *this->gossip, *this->callClient,
                ConfigurationCallbacks{
                        [this](const ConfigurationPointer &applied) {
                            this->onConfiguration(applied);
                        },
                        [this] { this->publisher->schedulePublish(); },
                });
        this->upstreams = std::make_unique<UpstreamMonitor>(
                this->context, this->timers, *this->gossip, *this->pools, this->orders,
                [this] { this->publisher->schedulePublish(); });
        this->publisher = std::make_unique<SnapshotPublisher>(
                this->context, *this->configuration, *this->gossip, *this->upstreams, this->server);
        this->ports = std::make_unique<AdminPorts>(AdminPortsDependencies{
                this->context, *this->configuration, *this->gossip, *this->pools, *this->upstreams,
                this->keyValue, this->server, [this] { this->beginStop(); }});
        this->api = std::make_unique<admin::AdminApi<AdminPorts>>(
                *this->ports, this->context.settings.bootstrapCredentialHash);
    }

    DemandReporterCallbacks demandReporterCallbacks()
    {
        DemandReporterCallbacks callbacks;
        callbacks.poolOf = [this](const Target &target) { return this->poolOf(target); };
        callbacks.driverOf = [this](const PoolId &pool) { return this->pools->find(pool); };
        callbacks.ownerOf = [this](const PoolId &pool) { return this->pools->ownerOf(pool); };
        return callbacks;
    }

    Result<Endpoint> openAdmin()
    {
        this->adminServer = std::make_unique<admin::AdminServer>(
                this->context.loop, admin::makeHandler(*this->api), this->inbound);
        return this->adminServer->listen(this->context.settings.adminListen);
    }

    void startParts()
    {
        this->registerCalls();
        this->callServer->start();
        this->gossip->start();
        this->configuration->start();
        this->upstreams->start();
        this->demandReporter->start();
        this->timers.every(ownerTickPeriod, [this] { this->pools->tick(true); });
        this->timers.every(observerTickPeriod, [this] { this->pools->tick(false); });
        this->timers.every(usagePeriod, [this] { this->reportUsage(); });
        this->publisher->schedulePublish();
    }

    void registerCalls()
    {
        this->callServer->handle<peer::DemandReport>([this](const peer::CallingInstance &caller,
                                                            const peer::DemandReport &report,
                                                            auto reply) {
            reply(this->demandReporter->onDemandReport(caller.instance, report));
        });
        this->callServer->handle<peer::UsageReport>([this](const peer::CallingInstance &caller,
                                                           const peer::UsageReport &report,
                                                           auto reply) {
            reply(this->demandReporter->onUsageReport(caller.instance, report));
        });
        this->callServer->handle<peer::OwnershipGivenUpReport>(
                [this](const peer::CallingInstance &, const peer::OwnershipGivenUpReport &gaveUp,
                       auto reply) {
                    this->pools->onGaveUp(gaveUp);
                    reply(peer::OwnershipGivenUpAnswer{true});
                });
        this->callServer->handle<peer::ConfigurationPartsRequest>(
                [this](const peer::CallingInstance &,
                       const peer::ConfigurationPartsRequest &request,
                       auto reply) { reply(this->configuration->onPartsRequest(request)); });
    }

    std::optional<PoolId> poolOf(const Target &target) const
    {
        const ConfigurationPointer &inForce = this->configuration->inForce().configuration();
        if (!inForce)
            return std::nullopt;
        return poolOfTarget(*inForce, target, this->context.settings.dataCentre);
    }

    void onConfiguration(const ConfigurationPointer &applied)
    {
        this->coldStarts.setConfiguration(applied);
        this->pools->setConfiguration(applied);
        this->upstreams->setConfiguration(applied);
        this->publisher->schedulePublish();
    }

    void onMemberChanged(const peer::MemberChanged &changed)
    {
        const peer::Membership &membership = this->gossip->gossip().membership();
        logEvent(LogLevel::Info, "member state changed",
                 {{"member", changed.member.identity.instance.value()},
                  {"state", std::string(peer::memberStateName(changed.member.state))}});
        this->claims.setInstanceCount(membership.reachableCount() + 1);
        this->configuration->onMembersChanged();
        this->pools->onMemberChanged(changed);
        this->publisher->schedulePublish();
    }

    void onStateChanged(const peer::StateDelta &delta)
    {
        this->configuration->onStateChanged(delta);
        this->upstreams->onStateChanged(delta);
        if (delta.key.stream.topic == peer::Topic::Placements)
            this->publisher->schedulePublish();
    }

    void onSelfDeclaredGone(const peer::DeclaredGoneByPeers &gone)
    {
        logEvent(LogLevel::Critical, "declared gone by other instances; stopping",
                 {{"evidence", std::string(peer::goneEvidenceName(gone.evidence))}});
        this->beginStop();
    }

    void onDemandChanged(const Target &target)
    {
        if (this->demandReporter)
            this->demandReporter->onDemandChanged(target);
    }

    void reportUsage()
    {
        std::map<PoolId, std::vector<peer::TargetUsage>> byPool;
        for (const caller::TargetUsage &usage : this->server.takeUsage()) {
            const auto pool = this->poolOf(usage.target);
            const bool isUsed = usage.arrived != 0 || usage.inFlight != 0;
            if (pool && isUsed)
                byPool[*pool].push_back({usage.target, usage.arrived, usage.inFlight,
                                         std::chrono::milliseconds::zero()});
        }
        for (const auto &[pool, usages] : byPool)
            this->demandReporter->reportUsage(pool, usages);
    }

    void beginStop()
    {
        if (this->isStopping)
            return;
        this->isStopping = true;
        logEvent(LogLevel::Info, "graceful stop begins");
        this->server.beginDrain();
        this->gossip->announceLeaving();
        this->pools->handOverPools();
        this->server.whenDrained([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (self)
                boost::asio::post(self->context.loop, [self] { self->onDrained(); });
        });
        const auto limit = this->context.settings.drainTimeout;
        if (limit > std::chrono::seconds::zero())
            this->timers.after(limit, [this] { this->stopNow(); });
    }

    void onDrained()
    {
        if (std::exchange(this->isDrained, true))
            return;
        this->drainedAt = this->context.clock.now();
        this->finishStopWhenIdle();
    }

    void finishStopWhenIdle()
    {
        const bool isIdle = !this->pools->ownsAnyPool() && this->claims.openClaims() == 0;
        if (!isIdle && this->context.clock.now() - this->drainedAt < handOverTimeout) {
            this->timers.after(stopPollPeriod, [this] { this->finishStopWhenIdle(); });
            return;
        }
        this->gossip->leave();
        this->server.stop();
        logEvent(LogLevel::Info, "graceful stop ended");
        this->onStopped();
    }

    void stopNow()
    {
        if (this->isDrained)
            return;
        logEvent(LogLevel::Warning, "graceful stop cut short; open requests get an error",
                 {{"open", std::to_string(this->server.openRequestCount())}});
        this->server.stop();
        this->onDrained();
    }
};

Control::Control(boost::asio::io_context &loop, const Settings &settings, Metrics &metrics)
    : state(std::make_shared<State>(loop, settings, metrics))
{}

Control::~Control() = default;

Result<BoundEndpoints> Control::start(std::function<void()> onStopped)
{
    return this->state->start(std::move(onStopped));
}

void Control::beginStop()
{
    this->state->beginStop();
}

void Control::stopNow()
{
    this->state->stopNow();
}

} // namespace bamboochute::node
