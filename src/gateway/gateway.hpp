/// @file
/// @brief Accepts callers' connections and relays their requests to upstreams by route.
#pragma once

#include "caller/caller_request.hpp"
#include "caller/server_settings.hpp"
#include "core/inbound_budget.hpp"
#include "core/metrics.hpp"
#include "gateway/brittle_upstreams.hpp"
#include "gateway/call_codec.hpp"
#include "gateway/change_signal.hpp"
#include "gateway/demand_tracker.hpp"
#include "gateway/forwarding_driver.hpp"
#include "gateway/limit_driver.hpp"
#include "gateway/quarantine_driver.hpp"
#include "gateway/queue_forecast.hpp"
#include "gateway/request_ends.hpp"
#include "gateway/request_metrics.hpp"
#include "gateway/retry_budget.hpp"
#include "gateway/routing_configuration.hpp"
#include "gateway/silence_watch.hpp"
#include "gateway/stream_origins.hpp"
#include "gateway/upstream_pace.hpp"
#include "gateway/upstream_pauses.hpp"
#include "gateway/upstream_selector.hpp"
#include "gateway/version_history.hpp"
#include "gateway/workspace_quota.hpp"
#include "upstream/connection_pool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bamboochute::gateway {

class RequestExchange;

/// @brief Settings of the process that a gateway runs in.
struct GatewaySettings
{
    /// Address for callers.
    Endpoint listen;
    /// Address for requests that other instances forward; unset: none are taken.
    std::optional<Endpoint> instanceListen;
    /// Data centre of this instance.
    DataCentreId dataCentre;
    /// Seed of random choices; has to differ between instances.
    std::uint64_t seed = 1;
    RetryLimits retryBudget;
    HealthLimits health;
    QuarantineLimits quarantine;
    LimitSettings upstreamLimits;
    PauseLimits pauses;
    BrittleLimits brittle;
    SilenceLimits silence;
    ForwardingSettings forwarding;
    QuotaLimits quotas;
    PaceLimits pace;
    InboundLimits inbound;
    /// No instance has run before, so that nothing of any quota is used.
    bool isFirstStart = false;
    /// Own address of the connections to upstreams; empty to let the kernel choose.
    std::string sourceAddress = {};
};

/// @brief State that all callers' connections share; used on the event loop's thread only.
class Gateway
{
public:
    Gateway(boost::asio::io_context &loop, GatewaySettings settings, CallCodec codec,
            Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// @brief Binds the addresses for callers and for other instances, and accepts connections.
    /// @return the bound address for callers; SettingInvalid when an address can't be bound
    Result<Endpoint> start();

    /// @brief Bound address for requests that other instances forward; unset if none are taken.
    const std::optional<Endpoint> &instanceEndpoint() const noexcept
    {
        return this->settings.instanceListen;
    }

    /// @brief Uses a routing configuration for the requests that arrive from now on.
    void publish(RouteIndexPointer index);

    /// @brief Sends "Connection: close" with the answers of all requests that arrive from now on.
    void beginDrain();

    /// @brief Stops accepting connections and closes those without a request.
    void closeIdleConnections();

    /// @brief Refuses the requests that wait for a target, and those that would begin to wait.
    void refuseWaitingRequests();

    /// @brief Ends the open requests: those without an answer get one, streams are cut.
    /// @note Their connections take a turn of the event loop to close.
    void endOpenRequests();

    /// @brief Aborts the open requests and closes all connections.
    void stop();

    /// @brief Notes that the record of versions has been read.
    /// @param begin when the read began
    void recordVersionsRead(TimePoint begin);

    /// @brief Remembers the origin of a stream that another instance began.
    void learnOrigin(const StreamOrigin &origin);

    /// @brief Whether the origins of a service's streams have to outlast the instances.
    bool needsOrigins(const ServiceId &service) const;

    /// @brief Notes the software versions of all registered upstreams in the version history.
    void observeVersions();

    /// @brief Takes over what an answer says about its upstream beside the request.
    /// @param process that answered
    void recordAnswer(const UpstreamProcess &process, const AnswerAttributes &answer);

    /// @brief Records that an upstream turned a request away for want of room.
    void recordRejection(const ServiceId &service, const UpstreamProcess &process);

    /// @brief Records that a process of a service has started.
    void recordUpstreamStart(const ServiceId &service, const UpstreamProcess &process);

    /// @brief Raises the limits of brittle upstreams that reject nothing; one instance at a time
    /// should.
    void growLimits();

    /// @brief Gives no new requests to a process that is shutting down.
    /// @return whether that is new
    bool recordLeaving(const UpstreamProcess &process, std::string_view source);

    /// @brief Takes over the announced number of instances that share budgets and limits.
    void setInstanceCount(std::uint32_t count)
    {
        this->budget.setInstanceCount(count, SteadyClock().now());
        this->upstreamLimits.setInstanceCount(count);
    }

    /// @brief Wakes the waiting requests after a change of upstreams, their residency or promises.
    void notifyChange() { this->change.notifyAll(); }

    /// @brief Number of requests that have begun to arrive and are not answered.
    std::size_t openRequests() const noexcept { return this->openRequestCount; }
    bool isDraining() const noexcept { return this->draining; }

    /// Routing configuration in force; null until the first one is published.
    RouteIndexPointer index;
    UpstreamTable table;
    UpstreamHealth health;
    UpstreamSelector selector;
    RetryBudget budget;
    QueueForecast forecast;
    DemandTracker demand;
    StreamOrigins origins;
    /// Whether the origins of streams that former processes stored have been read; a request that
    /// takes a stream up waits for it.
    bool areStoredOriginsRead = true;
    VersionHistory versions;
    LimitDriver upstreamLimits;
    UpstreamPauses pauses;
    BrittleUpstreams brittle;
    QuotaMeter quotas;
    PaceMeter pace;
    /// Called when a process of a service has started; unset while the pace is not in force.
    std::function<void(const ServiceId &, const UpstreamProcess &)> onUpstreamStart;
    /// Called when a request begins to wait for a target that no usable upstream holds.
    std::function<void()> onTargetWait;
    /// Called with the origin of a resumable stream before its first event is sent to the caller.
    std::function<void(const StreamOrigin &)> onStreamBegun;
    /// Called when a caller takes up a stream of unknown origin; again, with isRepeated, until it
    /// is known or the request gives up.
    std::function<void(const RequestId &, bool isRepeated)> onOriginWanted;
    /// Called when a stream of unknown origin is taken up, so that the record of versions is read
    /// now: this instance may have missed a version. Unset where there is no record.
    std::function<void()> onVersionsWanted;
    /// Called when an answer to this instance is the first to say that its upstream shuts down.
    std::function<void(const UpstreamProcess &)> onUpstreamLeaving;

    /// @brief The links of this instance to the upstreams, and the instances that help.
    ForwardingDriver &forwardingDriver() noexcept { return this->forwarding; }

    /// @brief Times of the measurement of quotas.
    const QuotaLimits &quotaLimits() const noexcept { return this->settings.quotas; }

    /// @brief Times and bounds of the pace of upstreams.
    const PaceLimits &paceLimits() const noexcept { return this->settings.pace; }

    /// @brief What the peers of this process may make it hold, for its other listeners.
    InboundBudget &inboundBudget() noexcept { return this->inbound; }

    /// @brief The quarantine of requests and prompt parts that crash upstreams.
    QuarantineDriver &quarantineDriver() noexcept { return this->quarantine; }

private:
    friend class RequestExchange;

    upstream::Awaitable<void> accept(upstream::Acceptor &listener, ListenerKind kind);
    upstream::Awaitable<void> serve(upstream::HttpStreamPointer stream, ListenerKind kind);
    upstream::Awaitable<bool> waitForRequest(upstream::HttpStream &stream);
    upstream::Awaitable<bool> serveRequest(upstream::HttpStream &stream,
                                           caller::CallerRequest &request, ConnectionPlace &place,
                                           bool isFromInstance);
    caller::ServerLimits limits() const;
    caller::ServerLimits limitsFor(bool isFromInstance) const;
    void recordInvalidHeader(std::string_view header, const UpstreamProcess &process);

    boost::asio::io_context &loop;
    GatewaySettings settings;
    CallCodec codec;
    Metrics &metrics;
    RequestMetrics requestMetrics;
    RequestEnds requestEnds;
    InboundBudget inbound;
    upstream::DeadlineWatch deadlineWatch;
    upstream::ConnectionPool pool;
    QuarantineDriver quarantine;
    upstream::Acceptor acceptor;
    upstream::Acceptor instanceAcceptor;
    ChangeSignal change;
    ForwardingDriver forwarding;
    Random random;
    std::set<upstream::HttpStreamPointer> streams;
    /// Connections without a request, and since when.
    std::map<upstream::HttpStream *, TimePoint> idleStreams;
    /// Requests of which a part has arrived and that are not answered.
    std::size_t openRequestCount = 0;
    std::set<RequestExchange *> exchanges;
    bool draining = false;
    /// No connection is accepted or read from any more.
    bool closing = false;
    bool refusingWaitingRequests = false;
    /// No request is sent to an upstream any more.
    bool endingRequests = false;
    /// Processes whose invalid headers were logged, by the header.
    std::map<std::string, std::set<UpstreamProcess>, std::less<>> invalidSources;
    /// Begin of the last complete read of the record of versions that was asked for.
    TimePoint versionsReadAt{};
    /// Number of requests that wait for the origin of a stream.
    std::size_t originWaits = 0;
};

} // namespace bamboochute::gateway
