#include "gateway/forwarding_driver.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace bamboochute::gateway {

namespace {

using forwarding::HelpOffer;
using forwarding::ProbeKind;
using forwarding::ReachabilityState;
using upstream::Awaitable;

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

ForwardingDriver::ForwardingDriver(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                                   const UpstreamTable &table, ChangeSignal &change,
                                   Metrics &metrics, DataCentreId dataCentre, std::uint64_t seed,
                                   ForwardingSettings settings)
    : helpers(settings.helpers)
    , loop(loop)
    , pool(pool)
    , table(table)
    , change(change)
    , metrics(metrics)
    , dataCentre(std::move(dataCentre))
    , settings(settings)
    , random(seed)
    , probeEnd(loop)
    , stateChange(loop)
    , timer(loop)
{}

ForwardingDriver::Links &ForwardingDriver::linksTo(const ServiceId &service)
{
    return this->links.try_emplace(service, this->settings.reachability).first->second;
}

ReachabilityState ForwardingDriver::stateOf(const ServiceId &service) const
{
    const auto found = this->links.find(service);
    return found == this->links.end() ? ReachabilityState::Reachable
                                      : found->second.reachability.state(now());
}

void ForwardingDriver::recordAnswer(const ServiceId &service, TimePoint begunAt)
{
    this->linksTo(service).reachability.recordAnswer(begunAt, now());
    this->noteState(service);
}

void ForwardingDriver::recordFailure(const ServiceId &service, TimePoint begunAt)
{
    this->linksTo(service).reachability.recordFailure(begunAt, now());
    this->noteState(service);
}

void ForwardingDriver::recordSilence(const ServiceId &service, TimePoint begunAt)
{
    if (this->probeTarget(service).empty())
        return;
    Links &own = this->linksTo(service);
    const bool wasUnanswered = own.reachability.isUnanswered();
    own.reachability.recordSilence(begunAt, now());
    if (own.reachability.isUnanswered() && !wasUnanswered)
        this->stateChange.notifyAll();
    this->noteState(service);
}

std::string ForwardingDriver::probeTarget(const ServiceId &service) const
{
    return this->findProbeTarget ? this->findProbeTarget(service) : std::string();
}

void ForwardingDriver::recordAvoided(const ServiceId &service, const UpstreamId &id,
                                     UpstreamFault fault)
{
    if (fault == UpstreamFault::Unreachable || fault == UpstreamFault::Broken)
        this->linksTo(service).failedAt[id] = now();
    if (this->isInDoubt(service))
        this->linksTo(service).heldBack.insert_or_assign(id, fault);
    else if (this->onUpstreamAvoided)
        this->onUpstreamAvoided(id, fault);
}

void ForwardingDriver::recordUpstreamStart(const ServiceId &service)
{
    const auto found = this->links.find(service);
    if (found == this->links.end())
        return;
    found->second.reachability.expectChange(now());
    this->stateChange.notifyAll();
}

bool ForwardingDriver::isCutOff(const ServiceId &service) const
{
    return this->stateOf(service) == ReachabilityState::CutOff;
}

bool ForwardingDriver::isHelped(const ServiceId &service) const
{
    return this->isCutOff(service) && this->helpers.hasOffer(service.value(), now());
}

bool ForwardingDriver::isInDoubt(const ServiceId &service) const
{
    const auto found = this->links.find(service);
    return found != this->links.end() && found->second.reachability.isInDoubt(now());
}

bool ForwardingDriver::awaitsFirstRound(const ServiceId &service) const
{
    const auto found = this->links.find(service);
    return found != this->links.end() && found->second.reachability.awaitsFirstRound();
}

Awaitable<void> ForwardingDriver::waitForFirstRound(ServiceId service, TimePoint until,
                                                    std::function<bool()> isGivenUp)
{
    // A round may have to wait for the least time between two of them.
    const TimePoint latest
            = std::min(until, now() + this->settings.reachability.minRoundInterval
                                      + this->settings.probeTimeout + this->settings.holdTime);
    while (this->awaitsFirstRound(service) && now() < latest && !isGivenUp())
        co_await this->change.wait(latest);
}

bool ForwardingDriver::isUnanswered(const ServiceId &service) const
{
    const auto found = this->links.find(service);
    return found != this->links.end() && found->second.reachability.isUnanswered();
}

bool ForwardingDriver::isUndecided(const ServiceId &service) const
{
    return this->isInDoubt(service) && this->helpers.hasOffer(service.value(), now());
}

bool ForwardingDriver::wasCutOff(const ServiceId &service, TimePoint at) const
{
    const auto found = this->links.find(service);
    return found != this->links.end() && found->second.reachability.wasCutOff(at);
}

void ForwardingDriver::recordHelp(const ServiceId &service)
{
    this->linksTo(service).reachability.recordHelp();
}

bool ForwardingDriver::wantsHelper(const ServiceId &service, std::uint32_t failedConnects)
{
    switch (this->stateOf(service)) {
    case ReachabilityState::CutOff:
        return true;
    case ReachabilityState::Suspected:
        return failedConnects >= this->settings.helpers.failuresInDoubt;
    case ReachabilityState::Returning:
        return failedConnects > 0
               || this->random.unit() >= this->linksTo(service).reachability.ownShare(now());
    default:
        return false;
    }
}

Awaitable<std::optional<Endpoint>> ForwardingDriver::findHelper(ServiceId service,
                                                                std::vector<Endpoint> tried)
{
    const forwarding::HelperLimits &limits = this->settings.helpers;
    const TimePoint begin = now();
    while (true) {
        std::optional<Endpoint> helper
                = this->helpers.pick(service.value(), tried, this->dataCentre, this->random, now());
        // Others are asked on the loop's next turn if they were not of late.
        const TimePoint askedAt = this->linksTo(service).askedAt;
        const bool isAskDue = begin >= askedAt + limits.askInterval;
        const TimePoint answeredUntil = (isAskDue ? begin : askedAt) + limits.offerWait;
        const bool isNeeded = this->stateOf(service) != ReachabilityState::Reachable;
        if (helper || !isNeeded || !tried.empty() || now() >= answeredUntil)
            co_return helper;
        co_await this->change.wait(answeredUntil);
    }
}

bool ForwardingDriver::takePlace()
{
    if (this->isStopping || this->helped >= this->settings.helpers.maxHelped)
        return false;
    ++this->helped;
    return true;
}

Awaitable<HelpOffer> ForwardingDriver::makeOffer(ServiceId service, bool isAnswerNeeded)
{
    const ProbeKind kind = isAnswerNeeded ? ProbeKind::Answer : ProbeKind::Connection;
    // Nothing is kept for what other instances name and this one doesn't know.
    if (this->table.findServing(service).empty())
        co_return HelpOffer{service.value(), this->dataCentre, 0};
    Links &own = this->linksTo(service);
    const auto hasEvidence = [&] {
        return own.reachability.hasEvidence(this->settings.helpers.evidenceMaxAge, now(), kind);
    };
    const bool isPossible = !isAnswerNeeded || !this->probeTarget(service).empty();
    const bool isWorthProbing = !this->isStopping && !this->isInDoubt(service) && !own.isRoundOpen
                                && now() >= own.reachability.earliestRound(kind);
    if (isPossible && isWorthProbing && !hasEvidence())
        co_await this->runRound(service, kind);
    HelpOffer offer{service.value(), this->dataCentre, 0};
    const bool isAble = !this->isStopping && !this->isInDoubt(service) && hasEvidence();
    if (isAble && this->helped < this->settings.helpers.maxHelped)
        offer.freePlaces = this->settings.helpers.maxHelped - this->helped;
    co_return offer;
}

void ForwardingDriver::receiveOffer(const Endpoint &helper, const HelpOffer &offer)
{
    this->helpers.recordOffer(helper, offer, now());
    if (offer.freePlaces == 0)
        return;
    this->change.notifyAll();
    if (this->onCutOff)
        this->onCutOff();
}

/// Asks for help and probes until this instance's links to a service are as good as before.
Awaitable<void> ForwardingDriver::watch(ServiceId service)
{
    Links &own = this->linksTo(service);
    while (own.reachability.state(now()) != ReachabilityState::Reachable) {
        const TimePoint nextAsk = own.askedAt + this->settings.helpers.askInterval;
        if (now() >= nextAsk) {
            own.askedAt = now();
            if (this->onHelpWanted)
                this->onHelpWanted(service, this->settings.helpers.askedInstances);
            continue;
        }
        if (now() >= own.reachability.nextRound() && !own.isRoundOpen) {
            co_await this->runRound(service, own.reachability.probeKind());
            continue;
        }
        // A round may be open for another instance's question.
        const TimePoint nextRound
                = own.isRoundOpen ? now() + this->settings.holdTime : own.reachability.nextRound();
        co_await this->stateChange.wait(std::min(nextAsk, nextRound));
    }
    own.isWatching = false;
    this->noteState(service);
}

/// Connects to some upstreams of a service at a time, or sends them a request, and records how many
/// connections held, or were answered on.
Awaitable<void> ForwardingDriver::runRound(ServiceId service, ProbeKind kind)
{
    Links &own = this->linksTo(service);
    own.isRoundOpen = true;
    const std::vector<Probed> probed = this->pickProbed(service, kind);
    const auto round = std::make_shared<Round>();
    round->service = service;
    round->begunAt = now();
    round->isInDoubt = own.noted != ReachabilityState::Reachable;
    round->open = probed.size();
    for (const Probed &each : probed)
        boost::asio::co_spawn(this->loop,
                              kind == ProbeKind::Answer
                                      ? this->ask(each, this->probeTarget(service), round)
                                      : this->probe(each.endpoint, round),
                              boost::asio::detached);
    while (round->open > 0)
        co_await this->probeEnd.wait(now() + this->settings.probeTimeout);
    own.isRoundOpen = false;
    const bool isUnreached = !probed.empty() && round->reached == 0;
    this->recordRound(*round, probed.size(), isUnreached ? ProbeKind::Connection : kind);
}

void ForwardingDriver::recordRound(const Round &round, std::size_t probes, ProbeKind kind)
{
    const ServiceId &service = round.service;
    Links &own = this->linksTo(service);
    const bool isHelped = this->helpers.hasOffer(service.value(), now());
    const bool wasAwaited = own.reachability.awaitsFirstRound();
    own.reachability.recordRound(round.begunAt, probes, round.held, isHelped, now(), kind);
    const bool isAnswer = kind == ProbeKind::Answer;
    const auto count = [this](std::string_view result, std::size_t number) {
        this->metrics
                .counter("bamboochute_reachability_probes_total",
                         fmt::format("result=\"{}\"", result))
                .add(number);
    };
    count(isAnswer ? "answered" : "held", round.held);
    count(isAnswer ? "unanswered" : "failed", probes - round.held);
    if (round.isInDoubt)
        logEvent(LogLevel::Info, "upstreams probed",
                 {{"service", service.value()},
                  {"probes", std::to_string(probes)},
                  {isAnswer ? "answered" : "held", std::to_string(round.held)}});
    this->noteState(service);
    if (wasAwaited && !own.reachability.awaitsFirstRound())
        this->change.notifyAll();
}

/// Records a connection of an open round that holds: others of the round may take long to fail.
void ForwardingDriver::recordHeldProbe(Round &round)
{
    ++round.held;
    this->linksTo(round.service).reachability.recordHeldProbe(round.begunAt, now());
    this->noteState(round.service);
}

/// Sends a request of this instance's own; any head of an answer shows that the upstream is
/// reached.
Awaitable<void> ForwardingDriver::ask(Probed probed, std::string target,
                                      std::shared_ptr<Round> round)
{
    const Endpoint &endpoint = probed.endpoint;
    const auto position = this->probeCalls.emplace(this->probeCalls.end(), this->pool, endpoint);
    const std::string head
            = fmt::format("GET {} HTTP/1.1\r\nHost: {}:{}\r\nConnection: close\r\n\r\n", target,
                          endpoint.address, endpoint.port);
    const TimePoint deadline = now() + this->settings.answerTime;
    const upstream::CallResult<void> sent
            = co_await position->send(head, {}, deadline, upstream::ConnectionUse::Fresh);
    if (sent) {
        ++round->reached;
        const upstream::CallResult<void> read = co_await position->readHead();
        if (read)
            ++round->held;
        if (read && this->onProbeAnswered)
            this->onProbeAnswered(probed.process, position->answer());
    }
    this->probeCalls.erase(position);
    --round->open;
    this->probeEnd.notifyAll();
}

Awaitable<void> ForwardingDriver::probe(Endpoint endpoint, std::shared_ptr<Round> round)
{
    const auto position
            = this->probeStreams.insert(this->probeStreams.end(), this->pool.makeStream());
    upstream::HttpStream &stream = **position;
    const TimePoint deadline = now() + this->settings.probeTimeout;
    const upstream::StreamStatus status = co_await this->pool.connect(stream, endpoint, deadline);
    if (status == upstream::StreamStatus::Ok) {
        // Where a cut resets connections, it may do so after it has accepted them.
        stream.readAhead();
        co_await this->timer.wait(now() + this->settings.holdTime);
        if (!stream.isPeerClosed())
            this->recordHeldProbe(*round);
    }
    stream.close();
    this->probeStreams.erase(position);
    --round->open;
    this->probeEnd.notifyAll();
}

/// Picks upstreams of a service that are not leaving, and first of all those that have not failed
/// of late: behind a cut none of them can be reached, and in a crash of many these can.
std::vector<ForwardingDriver::Probed> ForwardingDriver::pickProbed(const ServiceId &service,
                                                                   ProbeKind kind)
{
    const bool isAnswer = kind == ProbeKind::Answer;
    std::map<UpstreamId, TimePoint> &failedAt = this->linksTo(service).failedAt;
    std::erase_if(failedAt, [&](const auto &failed) {
        return now() - failed.second >= this->settings.failedTime;
    });
    std::vector<Probed> sound;
    std::vector<Probed> failed;
    for (const UpstreamTable::Entry *entry : this->table.findServing(service)) {
        if (isAnswer && this->mayAsk && !this->mayAsk(entry->process()))
            continue;
        std::vector<Probed> &group = failedAt.contains(entry->registered.id) ? failed : sound;
        group.push_back({entry->process(), entry->registered.endpoint});
    }
    const std::uint32_t count
            = isAnswer ? this->settings.askedUpstreams : this->settings.probedUpstreams;
    std::vector<Probed> picked;
    for (std::vector<Probed> *group : {&sound, &failed}) {
        while (picked.size() < count && !group->empty()) {
            const std::size_t index = this->random.below(group->size());
            picked.push_back((*group)[index]);
            group->erase(group->begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return picked;
}

/// Tells those who depend on the state of a service of its change.
void ForwardingDriver::noteState(const ServiceId &service)
{
    Links &own = this->linksTo(service);
    const ReachabilityState state = own.reachability.state(now());
    const ReachabilityState former = std::exchange(own.noted, state);
    if (state == former)
        return;
    this->logState(service, former);
    if (state != ReachabilityState::Reachable && !std::exchange(own.isWatching, true))
        boost::asio::co_spawn(this->loop, this->watch(service), boost::asio::detached);
    if (state == ReachabilityState::CutOff) {
        own.heldBack.clear();
    } else if (former == ReachabilityState::CutOff && this->onReturn) {
        this->onReturn(service);
    }
    if (state != ReachabilityState::Suspected) {
        for (const auto &[id, fault] : std::exchange(own.heldBack, {})) {
            if (this->onUpstreamAvoided)
                this->onUpstreamAvoided(id, fault);
        }
    }
    const bool isCutChange
            = (state == ReachabilityState::CutOff) != (former == ReachabilityState::CutOff);
    if (isCutChange && this->onCutOff)
        this->onCutOff();
    if (state == ReachabilityState::CutOff)
        this->doubtOtherLinks(service);
    this->stateChange.notifyAll();
    this->change.notifyAll();
}

/// Has the upstreams of all other services probed: a cut seldom spares them, and the first request
/// for each of them would have to find out.
void ForwardingDriver::doubtOtherLinks(const ServiceId &lost)
{
    std::set<ServiceId> others;
    for (const auto &[id, entry] : this->table.entries()) {
        if (entry.registered.service != lost)
            others.insert(entry.registered.service);
    }
    const bool isSilent = this->isUnanswered(lost);
    for (const ServiceId &service : others) {
        if (isSilent)
            this->recordSilence(service, now());
        else
            this->recordFailure(service, now());
    }
}

void ForwardingDriver::logState(const ServiceId &service, ReachabilityState former)
{
    if (this->isCutOff(service)) {
        const bool isSilent = this->isUnanswered(service);
        this->metrics.counter("bamboochute_cuts_total").add();
        if (isSilent)
            this->metrics.counter("bamboochute_unanswered_cuts_total").add();
        const bool isHelped = this->helpers.hasOffer(service.value(), now());
        logEvent(LogLevel::Warning, "cut off from the upstreams of a service",
                 {{"service", service.value()},
                  {"cause", isSilent ? "unanswered" : "unreachable"},
                  {"helped", isHelped ? "yes" : "no"}});
    } else if (former == ReachabilityState::CutOff) {
        logEvent(LogLevel::Info, "upstreams of a service reached again",
                 {{"service", service.value()}});
    }
}

} // namespace bamboochute::gateway
