#include "gateway/gateway.hpp"

#include "caller/caller_request.hpp"
#include "core/log.hpp"
#include "gateway/log_fields.hpp"
#include "gateway/request_exchange.hpp"
#include "upstream/listen.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;
using upstream::error_code;

constexpr int maxBacklog = 512;
/// Processes of upstreams that a kind of invalid header is remembered for.
constexpr std::size_t maxInvalidSources = 4096;
/// Limit of the unread bytes that one connection buffers.
constexpr std::size_t maxBufferBytes = 64 << 10;
/// Links have a round trip of a few milliseconds, so a connect that takes longer is a failure.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// Size of what one instance tells another one of a request that it forwards.
constexpr std::size_t maxForwardingBytes = 8 << 10;
/// Time to receive a body after its header, as a multiple of the header timeout.
constexpr int bodyTimeoutFactor = 5;

upstream::PoolLimits makePoolLimits(const std::string &sourceAddress)
{
    upstream::PoolLimits limits;
    limits.sourceAddress = sourceAddress;
    limits.connectTimeout = connectTimeout;
    limits.maxBufferBytes = maxBufferBytes;
    return limits;
}

/// Process age up to which its first registration is that of a start. An instance that starts reads
/// the registrations of all upstreams; an engine registers within some 13 s of model loading.
constexpr Duration maxStartAge = std::chrono::seconds(30);

bool hasJustStarted(const UpstreamProcess &process)
{
    const auto age = std::chrono::system_clock::now().time_since_epoch()
                     - std::chrono::milliseconds(process.startedAt);
    return age < maxStartAge;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &loop, GatewaySettings settings, CallCodec codec,
                 Metrics &metrics)
    : health(settings.health)
    , selector(settings.dataCentre, settings.seed)
    , budget(settings.retryBudget)
    , upstreamLimits(loop, metrics, settings.seed, settings.upstreamLimits)
    , pauses(settings.pauses)
    , brittle(settings.brittle)
    , quotas(settings.quotas, settings.isFirstStart, settings.seed, SteadyClock().now())
    , pace(settings.pace)
    , loop(loop)
    , settings(std::move(settings))
    , codec(std::move(codec))
    , metrics(metrics)
    , requestMetrics(metrics)
    , requestEnds(metrics)
    , inbound(this->settings.inbound, metrics)
    , deadlineWatch(loop)
    , pool(loop, this->deadlineWatch, makePoolLimits(this->settings.sourceAddress))
    , quarantine(loop, this->pool, this->table, metrics)
    , acceptor(loop)
    , instanceAcceptor(loop)
    , change(loop)
    , forwarding(loop, this->pool, this->table, this->change, metrics, this->settings.dataCentre,
                 this->settings.seed, this->settings.forwarding)
    , random(this->settings.seed)
{
    this->quarantine.configure(this->settings.quarantine);
    this->quarantine.setLinkState(
            [this](const ServiceId &service) { return this->forwarding.isUndecided(service); },
            [this](const ServiceId &service, TimePoint at) {
                return this->forwarding.wasCutOff(service, at);
            });
    // The placement owner hears of it, and can have the models of the upstream loaded elsewhere.
    this->quarantine.crashDetector().onEnd = [this](const ServiceId &service,
                                                    const UpstreamProcess &process) {
        const UpstreamTable::Entry *entry = this->table.find(process.upstream);
        const bool isPresent = entry != nullptr && entry->process() == process;
        if (isPresent
            && this->health.recordFault(process.upstream, UpstreamFault::Unreachable,
                                        SteadyClock().now()))
            this->forwarding.recordAvoided(service, process.upstream, UpstreamFault::Unreachable);
        this->notifyChange();
    };
    this->forwarding.findProbeTarget = [this](const ServiceId &id) {
        const Service *service = this->index ? this->index->service(id) : nullptr;
        return service != nullptr ? service->probeTarget : std::string();
    };
    this->forwarding.mayAsk = [this](const UpstreamProcess &process) {
        return !this->pauses.isPaused(process, SteadyClock().now())
               && !this->upstreamLimits.isScarce(process);
    };
    // A probe's answer need not name the limit, so that its absence says nothing.
    this->forwarding.onProbeAnswered = [this](const UpstreamProcess &process,
                                              const upstream::ParsedMessage &answer) {
        const AnswerAttributes attributes = this->codec.readAnswer(answer.status, answer.headers);
        const bool isOtherProcess
                = !attributes.answeredBy.isEmpty() && attributes.answeredBy != process.upstream;
        if (!isOtherProcess && (attributes.isLeaving || attributes.pause))
            this->recordAnswer(process, attributes);
    };
    // What failed behind the cut says nothing about the upstreams.
    this->forwarding.onReturn = [this](const ServiceId &service) {
        for (const UpstreamTable::Entry *entry : this->table.findServing(service))
            this->health.forget(entry->registered.id);
    };
}

Gateway::~Gateway() = default;

Result<Endpoint> Gateway::start()
{
    Result<Endpoint> bound
            = upstream::listenOn(this->acceptor, this->settings.listen, maxBacklog, this->inbound);
    if (!bound)
        return bound.error();
    asio::co_spawn(this->loop, this->accept(this->acceptor, ListenerKind::Callers), asio::detached);
    if (!this->settings.instanceListen)
        return bound;
    const Result<Endpoint> boundForInstances = upstream::listenOn(
            this->instanceAcceptor, *this->settings.instanceListen, maxBacklog, this->inbound);
    if (!boundForInstances)
        return boundForInstances.error();
    this->settings.instanceListen = boundForInstances.value();
    asio::co_spawn(this->loop, this->accept(this->instanceAcceptor, ListenerKind::Instances),
                   asio::detached);
    return bound;
}

void Gateway::publish(RouteIndexPointer newIndex)
{
    const Duration formerIdleTimeout = this->limits().idleTimeout;
    this->index = std::move(newIndex);
    this->quotas.configure(this->index->configuration().workspaces, SteadyClock().now());
    const Duration idleTimeout = this->limits().idleTimeout;
    // A shorter time applies from the next request on: callers may still go by the former one.
    if (idleTimeout > formerIdleTimeout) {
        for (const auto &[stream, since] : this->idleStreams)
            stream->expireAt(since + idleTimeout);
    }
    this->notifyChange();
}

void Gateway::beginDrain()
{
    this->draining = true;
    this->forwarding.stopHelping();
}

void Gateway::closeIdleConnections()
{
    this->closing = true;
    error_code ignored;
    this->acceptor.close(ignored);
    this->instanceAcceptor.close(ignored);
    for (const auto &[stream, since] : this->idleStreams) {
        // A request that has arrived, even one that is just being read, is answered first.
        stream->expireAt(SteadyClock().now());
    }
}

void Gateway::refuseWaitingRequests()
{
    this->refusingWaitingRequests = true;
    this->notifyChange();
}

void Gateway::endOpenRequests()
{
    this->endingRequests = true;
    this->refuseWaitingRequests();
    for (RequestExchange *exchange : this->exchanges)
        exchange->abort();
}

void Gateway::stop()
{
    this->closeIdleConnections();
    for (const upstream::HttpStreamPointer &stream : this->streams)
        stream->close();
    this->pool.shutdown();
    this->notifyChange();
}

void Gateway::learnOrigin(const StreamOrigin &origin)
{
    this->origins.record(origin, SteadyClock().now());
    if (this->originWaits > 0)
        this->notifyChange();
}

void Gateway::recordVersionsRead(TimePoint begin)
{
    this->versionsReadAt = begin;
    this->notifyChange();
}

bool Gateway::needsOrigins(const ServiceId &service) const
{
    const std::set<ServiceId> services
            = this->index ? this->index->findStreamServices(service) : std::set{service};
    return this->versions.needsOrigins(services, SteadyClock().now());
}

void Gateway::observeVersions()
{
    const TimePoint now = SteadyClock().now();
    this->versions.forgetOutdated(now);
    for (const auto &[id, entry] : this->table.entries())
        this->versions.observe(entry.registered.service, entry.registered.softwareVersion, now);
}

void Gateway::recordAnswer(const UpstreamProcess &process, const AnswerAttributes &answer)
{
    const bool isBrittle = answer.maxRejectionsPerSecond.has_value();
    if (isBrittle || answer.isSigned)
        this->brittle.recordStatement(process, isBrittle, SteadyClock().now());
    // The limit of a brittle upstream is found out by rejections; its answers don't name one.
    const bool isLimitBelow
            = answer.requestsPerSecond
              && *answer.requestsPerSecond < this->upstreamLimits.limitOf(process).value_or(
                         *answer.requestsPerSecond + 1);
    if (!isBrittle || isLimitBelow)
        this->upstreamLimits.recordAnswer(process, answer);
    if (answer.isBrittleInvalid)
        this->recordInvalidHeader("brittle", process);
    if (answer.isLimitInvalid)
        this->recordInvalidHeader("limit", process);
    if (answer.isLeavingInvalid)
        this->recordInvalidHeader("leaving", process);
    if (answer.isPauseInvalid)
        this->recordInvalidHeader("pause", process);
    if (answer.isLeaving && this->recordLeaving(process, "answer") && this->onUpstreamLeaving)
        this->onUpstreamLeaving(process);
    const TimePoint now = SteadyClock().now();
    if (answer.pause) {
        this->pauses.record(process, *answer.pause, now);
        this->metrics.counter("bamboochute_upstream_pauses_total").add();
        logEvent(LogLevel::Info, "upstream asks for a pause",
                 {{"upstream", process.upstream.value()},
                  {"pause_ms", formatMilliseconds(*answer.pause)}});
    } else if (answer.isSigned) {
        this->pauses.recordAnswer(process, now);
    }
}

void Gateway::recordRejection(const ServiceId &service, const UpstreamProcess &process)
{
    const std::optional<double> limit = this->brittle.recordRejection(
            service, process, this->upstreamLimits.limitOf(process),
            this->upstreamLimits.instanceCount(), SteadyClock().now());
    if (!limit)
        return;
    this->metrics.counter("bamboochute_brittle_cuts_total").add();
    this->upstreamLimits.setLimit(process, *limit);
}

void Gateway::recordUpstreamStart(const ServiceId &service, const UpstreamProcess &process)
{
    this->forwarding.recordUpstreamStart(service);
    if (this->pace.isEnabled() && hasJustStarted(process)) {
        this->pace.recordUpstreamStart(process, SteadyClock().now());
        if (this->onUpstreamStart)
            this->onUpstreamStart(service, process);
    }
    const std::optional<double> limit = this->brittle.startLimit(service, SteadyClock().now());
    if (!limit)
        return;
    this->brittle.recordStatement(process, true, SteadyClock().now());
    this->upstreamLimits.setLimit(process, *limit);
}

void Gateway::growLimits()
{
    for (const LimitReport &report : this->upstreamLimits.reports()) {
        if (!report.requestsPerSecond)
            continue;
        const std::optional<double> grown = this->brittle.grow(
                report.process, *report.requestsPerSecond, SteadyClock().now());
        if (grown)
            this->upstreamLimits.setLimit(report.process, *grown);
    }
}

/// Logs a header whose value has no meaning, once for each process.
void Gateway::recordInvalidHeader(std::string_view header, const UpstreamProcess &process)
{
    this->metrics
            .counter("bamboochute_invalid_upstream_headers_total",
                     fmt::format("header=\"{}\"", header))
            .add();
    std::set<UpstreamProcess> &logged = this->invalidSources[std::string(header)];
    if (logged.size() >= maxInvalidSources)
        logged.clear();
    if (logged.insert(process).second)
        logEvent(LogLevel::Warning, "upstream header invalid; ignored",
                 {{"header", std::string(header)}, {"upstream", process.upstream.value()}});
}

bool Gateway::recordLeaving(const UpstreamProcess &process, std::string_view source)
{
    if (!this->table.recordLeaving(process))
        return false;
    logEvent(LogLevel::Info, "upstream says that it leaves",
             {{"upstream", process.upstream.value()},
              {"started_at", std::to_string(process.startedAt)},
              {"source", std::string(source)}});
    this->notifyChange();
    return true;
}

caller::ServerLimits Gateway::limits() const
{
    caller::ServerLimits limits;
    const CallerLimits configured
            = this->index ? this->index->configuration().limits : CallerLimits();
    limits.maxHeaderBytes = configured.maxHeaderBytes;
    limits.maxBodyBytes = configured.maxBodyBytes;
    limits.headerTimeout = configured.headerTimeout;
    limits.idleTimeout = configured.idleTimeout;
    limits.bodyTimeout = bodyTimeoutFactor * configured.headerTimeout;
    return limits;
}

/// Limits of a caller's request, or of one that another instance forwards: that one has applied its
/// limits, which may be later ones, and the header has the state of the request in addition.
caller::ServerLimits Gateway::limitsFor(bool isFromInstance) const
{
    caller::ServerLimits limits = this->limits();
    if (!isFromInstance)
        return limits;
    const CallerLimits least;
    limits.maxBodyBytes = std::max(limits.maxBodyBytes, least.maxBodyBytes);
    limits.maxHeaderBytes
            = std::max(limits.maxHeaderBytes, least.maxHeaderBytes) + maxForwardingBytes;
    return limits;
}

Awaitable<void> Gateway::accept(upstream::Acceptor &listener, ListenerKind kind)
{
    while (!this->closing) {
        std::optional<upstream::Socket> socket = co_await upstream::acceptNext(listener);
        if (!socket)
            co_return;
        auto stream = std::make_shared<upstream::HttpStream>(std::move(*socket),
                                                             this->deadlineWatch, maxBufferBytes);
        this->streams.insert(stream);
        asio::co_spawn(this->loop, this->serve(stream, kind),
                       [this, stream](const std::exception_ptr &failure) {
                           this->streams.erase(stream);
                           if (failure)
                               std::rethrow_exception(failure);
                       });
    }
}

/// @param kind whether the connection is a caller's, or another instance's that forwards requests
Awaitable<void> Gateway::serve(upstream::HttpStreamPointer stream, ListenerKind kind)
{
    ConnectionPlace place(this->inbound.connections(kind), stream->peerAddress(),
                          stream->makeCloser());
    const bool hasPlace = place.take(SteadyClock().now());
    if (!hasPlace)
        this->metrics.counter("bamboochute_connections_refused_total").add();
    caller::CallerRequest request;
    while (hasPlace && (!this->closing || !stream->unread().empty())) {
        const bool hasRequest = co_await this->waitForRequest(*stream);
        if (!hasRequest)
            break;
        ++this->openRequestCount;
        const bool isKeepAlive = co_await this->serveRequest(*stream, request, place,
                                                             kind == ListenerKind::Instances);
        --this->openRequestCount;
        request.trim();
        if (!isKeepAlive)
            break;
    }
    stream->neverExpire();
    stream->close();
}

/// Waits for a request on a connection that has none, as long as it may be idle.
Awaitable<bool> Gateway::waitForRequest(upstream::HttpStream &stream)
{
    const TimePoint begin = SteadyClock().now();
    stream.expireAt(begin + this->limits().idleTimeout);
    this->idleStreams.emplace(&stream, begin);
    const bool hasRequest = co_await caller::waitForRequest(stream);
    this->idleStreams.erase(&stream);
    co_return hasRequest;
}

/// Reads a request that has begun to arrive, by the limits in force at that time, and answers it.
/// @return whether the connection may be used for another request
Awaitable<bool> Gateway::serveRequest(upstream::HttpStream &stream, caller::CallerRequest &request,
                                      ConnectionPlace &place, bool isFromInstance)
{
    const caller::ServerLimits limits = this->limitsFor(isFromInstance);
    MemoryBudget::Holding memory(this->inbound.requests(), MemoryUse::Arriving);
    const caller::OptionalReadFailure noRequest
            = co_await caller::readRequest(stream, limits, request, {memory, place});
    if (noRequest && !noRequest->error)
        co_return false;
    this->requestEnds.recordRead();
    RequestExchange exchange(*this, stream, place, request, isFromInstance);
    if (noRequest)
        co_await exchange.refuseUnread(*noRequest->error);
    else
        co_await exchange.run();
    this->requestEnds.recordEnd(exchange.requestEnd());
    if (noRequest)
        co_await caller::discardRest(stream);
    place.release(SteadyClock().now());
    co_return !noRequest && exchange.isKeepAlive() && !stream.isExpired();
}

} // namespace bamboochute::gateway
