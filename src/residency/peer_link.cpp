#include "residency/peer_link.hpp"

#include "core/log.hpp"
#include "peer/datagram.hpp"
#include "residency/message_size.hpp"

#include <algorithm>
#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::residency {

namespace {

/// Delay before a report of new waiting requests, so that those of about the same time share one.
constexpr Duration coalescingDelay = std::chrono::milliseconds(2);

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

PeerLink::PeerLink(boost::asio::io_context &loop, gateway::Gateway &gateway,
                   OwnerElection &election, PlacementDriver &driver, InstanceId self,
                   Metrics &metrics, std::uint64_t seed, PeerLinkSettings settings)
    : loop(loop)
    , gateway(gateway)
    , election(election)
    , driver(driver)
    , self(std::move(self))
    , settings(settings)
    , wake(loop)
    , quotaTimer(loop)
    , paceTimer(loop)
    , origins(loop, election, metrics, gateway::OriginBatchNumber(Random(seed)()))
    , quotas(gateway.quotas, gateway.quotaLimits(), this->self)
    , pace(gateway.pace, gateway.paceLimits(), this->self)
    , random(stableHash(this->self.value()))
{}

Result<Endpoint> PeerLink::start(const Endpoint &listen)
{
    auto opened = peer::DatagramSocket::open(this->loop, listen);
    if (!opened)
        return opened.error();
    this->socket = std::move(opened).value();
    this->socket->start([this](std::string_view bytes,
                               const Endpoint &from) { this->receiveDatagram(bytes, from); },
                        nullptr);
    this->gateway.onTargetWait = [this] { this->wake.notifyAll(); };
    this->gateway.forwardingDriver().onUpstreamAvoided
            = [this](const UpstreamId &id, gateway::UpstreamFault fault) {
                  if (fault == gateway::UpstreamFault::Full)
                      return;
                  this->pendingSuspicions.push_back(id);
                  this->wake.notifyAll();
              };
    this->gateway.onStreamBegun = [this](const gateway::StreamOrigin &origin) {
        this->sendToHolders(origin.request, this->settings.originHolders,
                            StreamOriginMessage{origin});
        this->origins.add(origin);
    };
    this->origins.send = [this](const Endpoint &to, const PeerMessage &message) {
        this->socket->send(to, encodePeerMessage(message));
    };
    this->origins.start(this->socket->localEndpoint());
    this->gateway.onOriginWanted = [this](const RequestId &request, bool isRepeated) {
        this->sendToHolders(request,
                            isRepeated ? this->settings.maxAskedInstances
                                       : this->settings.originHolders,
                            StreamOriginQuery{request});
    };
    this->connectQuarantine();
    this->connectLimits();
    this->quotas.send = [this](const Endpoint &to, const PeerMessage &message) {
        this->socket->send(to, encodePeerMessage(message));
    };
    this->connectPace();
    this->connectForwarding();
    this->election.askForConsent
            = [this](const std::vector<Endpoint> &to, const ConsentQuery &query) {
                  const std::string bytes = encodePeerMessage(query);
                  for (const Endpoint &receiver : to)
                      this->socket->send(receiver, bytes);
              };
    this->election.sendNotice = [this](const Endpoint &to, const CandidateNotice &notice) {
        this->socket->send(to, encodePeerMessage(notice));
    };
    this->gateway.onUpstreamLeaving = [this](const gateway::UpstreamProcess &process) {
        this->sendToReceivers(process.upstream.value(), this->settings.changeReceivers,
                              LeavingMessage{process});
    };
    this->driver.knownInstances = [this] {
        std::vector<Endpoint> known = this->directory.holdersOf(
                this->self.value(), std::numeric_limits<std::size_t>::max());
        // An instance that has just started knows of no others.
        if (this->election.predecessor())
            known.push_back(*this->election.predecessor());
        return known;
    };
    this->driver.send = [this](const std::vector<Endpoint> &to, const OwnerMessage &message) {
        this->directory.addListed(message.instances, this->socket->localEndpoint(), now());
        for (const OwnerMessage &part : splitMessage(message, maxPartBytes)) {
            const std::string bytes = encodePeerMessage(part);
            for (const Endpoint &receiver : to)
                this->socket->send(receiver, bytes);
        }
    };
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
    boost::asio::co_spawn(this->loop, this->runQuotas(), boost::asio::detached);
    return this->socket->localEndpoint();
}

void PeerLink::stop()
{
    this->isStopped = true;
    this->origins.stop();
    this->socket->close();
    this->wake.notifyAll();
    this->quotaTimer.notifyAll();
    this->paceTimer.notifyAll();
}

upstream::Awaitable<void> PeerLink::run()
{
    while (!this->isStopped) {
        this->reportDemand();
        if (now() >= this->stateSentAt + this->settings.stateInterval) {
            if (this->election.isOwner())
                this->gateway.growLimits();
            this->spreadState();
        }
        const Duration pause = this->isAnyWaiting ? this->settings.waitingInterval
                                                  : this->settings.reportInterval;
        co_await this->wake.wait(now() + pause);
        if (this->gateway.demand.hasNewWait())
            co_await this->wake.wait(now() + coalescingDelay);
    }
}

void PeerLink::reportDemand()
{
    DemandMessage message;
    message.sender = this->self;
    message.demand = this->gateway.demand.takeReport(now());
    message.suspected.swap(this->pendingSuspicions);
    this->isAnyWaiting = std::any_of(message.demand.begin(), message.demand.end(),
                                     [](const auto &demand) { return demand.waiting > 0; });
    const std::optional<Endpoint> owner = this->ownerEndpoint();
    if (!owner)
        return;
    if (this->isOwnEndpoint(*owner)) {
        this->driver.receiveDemand(message, *owner);
        return;
    }
    for (const DemandMessage &part : splitMessage(message, maxPartBytes))
        this->socket->send(*owner, encodePeerMessage(part));
}

upstream::Awaitable<void> PeerLink::runQuotas()
{
    while (!this->isStopped) {
        if (this->gateway.index)
            this->exchangeQuotas();
        co_await this->quotaTimer.wait(now() + this->quotas.nextExchange());
    }
}

/// The aggregator of the quotas is the owner, or the last one that was heard of.
void PeerLink::exchangeQuotas()
{
    if (this->quotaIndex != this->gateway.index) {
        this->quotaIndex = this->gateway.index;
        this->quotas.configure(this->quotaIndex->configuration().workspaces, now());
    }
    const std::optional<Endpoint> owner = this->ownerEndpoint();
    if (owner)
        this->aggregator = owner;
    this->quotas.sendDue(this->aggregator,
                         this->aggregator && this->isOwnEndpoint(*this->aggregator), now());
}

void PeerLink::connectPace()
{
    if (!this->pace.isEnabled())
        return;
    this->pace.send = [this](const Endpoint &to, const PeerMessage &message) {
        this->socket->send(to, encodePeerMessage(message));
    };
    this->gateway.onUpstreamStart
            = [this](const gateway::ServiceId &service, const gateway::UpstreamProcess &process) {
                  this->pace.recordUpstreamStart(service, process, now());
              };
    boost::asio::co_spawn(this->loop, this->runPace(), boost::asio::detached);
}

upstream::Awaitable<void> PeerLink::runPace()
{
    while (!this->isStopped) {
        const std::optional<Endpoint> owner = this->ownerEndpoint();
        if (owner)
            this->paceOwner = owner;
        this->pace.sendDue(this->paceOwner,
                           this->paceOwner && this->isOwnEndpoint(*this->paceOwner), now());
        co_await this->paceTimer.wait(now() + this->pace.interval());
    }
}

std::optional<Endpoint> PeerLink::ownerEndpoint() const
{
    return this->ownerContact.endpoint(this->election.owner(), now());
}

bool PeerLink::isOwnEndpoint(const Endpoint &endpoint) const
{
    const auto &owner = this->election.owner();
    return endpoint == this->socket->localEndpoint()
           || (owner && owner->record.instance == this->self && endpoint == owner->record.endpoint);
}

void PeerLink::receiveDatagram(std::string_view bytes, const Endpoint &from)
{
    const Result<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        logEvent(LogLevel::Warning, "undecodable peer datagram dropped",
                 {{"from", from.address}, {"error", message.error().message()}});
        return;
    }
    if (const auto *demand = std::get_if<DemandMessage>(&message.value()))
        this->driver.receiveDemand(*demand, from);
    else if (const auto *origin = std::get_if<StreamOriginMessage>(&message.value()))
        this->gateway.learnOrigin(origin->origin);
    else if (const auto *query = std::get_if<StreamOriginQuery>(&message.value()))
        this->answerOriginQuery(*query, from);
    else if (const auto *crash = std::get_if<CrashReportMessage>(&message.value()))
        this->gateway.quarantineDriver().receiveReport(crash->report);
    else if (const auto *quarantine = std::get_if<QuarantineMessage>(&message.value()))
        this->gateway.quarantineDriver().receiveEntries(quarantine->entries);
    else if (const auto *limits = std::get_if<LimitMessage>(&message.value()))
        this->learnLimits(*limits);
    else if (const auto *leaving = std::get_if<LeavingMessage>(&message.value()))
        this->gateway.recordLeaving(leaving->process, "instance");
    else if (const auto *help = std::get_if<HelpQuery>(&message.value()))
        boost::asio::co_spawn(this->loop, this->answerHelpQuery(*help, from),
                              boost::asio::detached);
    else if (const auto *offer = std::get_if<forwarding::HelpOffer>(&message.value()))
        this->gateway.forwardingDriver().receiveOffer(from, *offer);
    else if (const auto *request = std::get_if<gateway::PermitRequest>(&message.value()))
        this->socket->send(from, encodePeerMessage(this->gateway.upstreamLimits.answer(*request)));
    else if (const auto *permit = std::get_if<gateway::PermitAnswer>(&message.value()))
        this->gateway.upstreamLimits.receiveAnswer(*permit);
    else if (const auto *quotaReport = std::get_if<QuotaReportMessage>(&message.value()))
        this->quotas.receiveReport(*quotaReport, from, now());
    else if (const auto *quotaShares = std::get_if<QuotaSharesMessage>(&message.value()))
        this->quotas.receiveShares(*quotaShares, now());
    else if (const auto *paceReport = std::get_if<PaceReportMessage>(&message.value()))
        this->pace.receiveReport(*paceReport, from, now());
    else if (const auto *paceStates = std::get_if<PaceStatesMessage>(&message.value()))
        this->pace.receiveStates(*paceStates, now());
    else if (const auto *batch = std::get_if<OriginBatchMessage>(&message.value()))
        this->receiveOrigins(batch->batch, from);
    else if (const auto *stored = std::get_if<OriginAcknowledgement>(&message.value()))
        this->origins.receive(*stored);
    else if (const auto *consentQuery = std::get_if<ConsentQuery>(&message.value()))
        this->answerConsentQuery(*consentQuery, from);
    else if (const auto *consent = std::get_if<ConsentAnswer>(&message.value()))
        this->election.handleConsentAnswer(*consent);
    else if (const auto *notice = std::get_if<CandidateNotice>(&message.value()))
        this->answerNotice(*notice, from);
    else if (const auto *answer = std::get_if<CandidateAnswer>(&message.value()))
        this->election.handleNoticeAnswer(*answer);
    else
        this->applyOwnerMessage(std::get<OwnerMessage>(message.value()), from);
}

void PeerLink::answerOriginQuery(const StreamOriginQuery &query, const Endpoint &from)
{
    const std::optional<gateway::StreamOrigin> origin = this->gateway.origins.find(query.request);
    if (origin)
        this->socket->send(from, encodePeerMessage(StreamOriginMessage{*origin}));
}

void PeerLink::answerNotice(const CandidateNotice &notice, const Endpoint &from)
{
    const std::optional<CandidateAnswer> answer = this->election.answerNotice(notice, from);
    if (answer)
        this->socket->send(from, encodePeerMessage(*answer));
}

void PeerLink::answerConsentQuery(const ConsentQuery &query, const Endpoint &from)
{
    if (!this->storeSilence)
        return;
    const ConsentAnswer answer = this->election.answerConsentQuery(query, this->storeSilence());
    this->socket->send(from, encodePeerMessage(answer));
}

void PeerLink::receiveOrigins(const gateway::OriginBatch &batch, const Endpoint &from)
{
    if (this->origins.onBatch)
        this->origins.onBatch(from, batch);
}

void PeerLink::connectQuarantine()
{
    gateway::QuarantineDriver &quarantine = this->gateway.quarantineDriver();
    // Ownership is exclusive, so at most one instance tries a part whose time is over.
    quarantine.mayTry = [this] { return this->election.isOwner(); };
    quarantine.onReport = [this](const gateway::CrashReport &report) {
        for (const CrashReportMessage &part :
             splitMessage(CrashReportMessage{report}, maxPartBytes))
            this->sendToReceivers(report.service.value(), this->settings.changeReceivers, part);
    };
    quarantine.onChange = [this](const gateway::QuarantineEntry &entry) {
        this->sendToReceivers(entry.key.service.value(), this->settings.changeReceivers,
                              QuarantineMessage{{entry}});
    };
}

void PeerLink::connectLimits()
{
    gateway::LimitDriver &limits = this->gateway.upstreamLimits;
    // Ownership is exclusive, so the permits of all instances come from one at a time.
    limits.issuerTerm = [this]() -> std::uint64_t {
        return this->election.isOwner() ? this->election.fence().value() : 0;
    };
    limits.sendRequest = [this](const gateway::PermitRequest &request) {
        const std::optional<Endpoint> owner = this->ownerEndpoint();
        if (!owner || this->isOwnEndpoint(*owner))
            return false;
        this->socket->send(*owner, encodePeerMessage(request));
        return true;
    };
    limits.onChange = [this](const gateway::LimitReport &report) {
        this->sendToReceivers(report.process.upstream.value(), this->settings.changeReceivers,
                              LimitMessage{{report}});
    };
}

void PeerLink::connectForwarding()
{
    this->gateway.forwardingDriver().onHelpWanted = [this](const gateway::ServiceId &service,
                                                           std::size_t count) {
        const bool isAnswerNeeded = this->gateway.forwardingDriver().isUnanswered(service);
        this->sendToReceivers(std::to_string(this->random()), count,
                              HelpQuery{service, isAnswerNeeded});
    };
    this->gateway.forwardingDriver().onCutOff
            = [this] { this->election.setEligible(this->canReachEngines()); };
}

/// Whether no other instance would be a better owner because of this one's links.
bool PeerLink::canReachEngines() const
{
    if (!this->gateway.index)
        return true;
    const auto &services = this->gateway.index->configuration().services;
    return std::none_of(services.begin(), services.end(), [this](const gateway::Service &service) {
        return service.engine && this->gateway.forwardingDriver().isHelped(service.id);
    });
}

upstream::Awaitable<void> PeerLink::answerHelpQuery(HelpQuery query, Endpoint from)
{
    const forwarding::HelpOffer offer = co_await this->gateway.forwardingDriver().makeOffer(
            query.service, query.isAnswerNeeded);
    if (!this->isStopped)
        this->socket->send(from, encodePeerMessage(offer));
}

void PeerLink::learnLimits(const LimitMessage &message)
{
    for (const gateway::LimitReport &report : message.limits)
        this->gateway.upstreamLimits.learn(report);
}

/// Sends all quarantined parts and limits to a few instances of random choice: those that have
/// started, were cut off or missed a message learn of them from any other.
void PeerLink::spreadState()
{
    this->stateSentAt = now();
    const std::string key = std::to_string(this->random());
    const auto spread = [&](const auto &message) {
        for (const auto &part : splitMessage(message, maxPartBytes))
            this->sendToReceivers(key, this->settings.stateReceivers, part);
    };
    const QuarantineMessage quarantine{this->gateway.quarantineDriver().entries()};
    if (!quarantine.entries.empty())
        spread(quarantine);
    const LimitMessage limits{this->gateway.upstreamLimits.reports()};
    if (!limits.limits.empty())
        spread(limits);
}

void PeerLink::sendToHolders(const RequestId &request, std::size_t count,
                             const PeerMessage &message)
{
    this->sendToReceivers(request.value(), count, message);
}

/// Sends a message to the instances that are responsible for a key; to the owner while no other
/// instance is known.
void PeerLink::sendToReceivers(std::string_view key, std::size_t count, const PeerMessage &message)
{
    std::vector<Endpoint> holders = this->directory.holdersOf(key, count);
    const auto &owner = this->election.owner();
    if (holders.empty() && owner && owner->record.instance != this->self)
        holders.push_back(owner->record.endpoint);
    if (holders.empty())
        return;
    const std::string bytes = encodePeerMessage(message);
    for (const Endpoint &holder : holders)
        this->socket->send(holder, bytes);
}

void PeerLink::applyOwnerMessage(const OwnerMessage &message, const Endpoint &from)
{
    if (message.fence < this->newestFence)
        return;
    this->newestFence = message.fence;
    this->ownerContact.recordMessage(message.fence, from, now());
    this->election.handleOwnerMessage(message.fence);
    this->gateway.upstreamLimits.recordIssuer();
    const TimePoint time = now();
    this->directory.addListed(message.instances, this->socket->localEndpoint(), time);
    if (message.instanceCount > 0)
        this->gateway.setInstanceCount(message.instanceCount);
    for (const UpstreamResidency &upstreamResidency : message.residencies)
        this->gateway.table.updateResidency(upstreamResidency.upstream, upstreamResidency.residency,
                                            time);
    for (const UpstreamLoad &load : message.loads)
        this->gateway.table.updateLoad(load.upstream, load.load, time);
    for (const PromisedTarget &promise : message.promises)
        this->gateway.demand.recordPromise(promise.target, {time + promise.readyIn, time});
    for (const UpstreamId &id : message.suspected)
        this->gateway.health.recordSuspicion(id, gateway::HealthLimits().firstPause, time);
    if (this->onForwardedChange) {
        for (const ForwardedChange &change : message.changes)
            this->onForwardedChange(change);
    }
    if (message.watchProgress && this->onWatchProgress)
        this->onWatchProgress(message.fence, *message.watchProgress);
    if (!message.residencies.empty() || !message.promises.empty())
        this->gateway.notifyChange();
}

} // namespace bamboochute::residency
