#include "residency/peer_link.hpp"

#include "core/log.hpp"
#include "peer/datagram.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::residency {

namespace {

/// Requests that begin to wait at about the same time go into one report.
constexpr Duration gatherTime = std::chrono::milliseconds(2);
/// Room that the encoding of the lists around the elements takes.
constexpr std::size_t envelopeBytes = 64;
constexpr std::size_t maxPartBytes = peer::maxDatagramBytes - envelopeBytes;

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

PeerLink::PeerLink(boost::asio::io_context &loop, gateway::Gateway &gateway,
                   OwnerElection &election, PlacementDriver &driver, InstanceId self,
                   PeerLinkLimits limits)
    : loop(loop)
    , gateway(gateway)
    , election(election)
    , driver(driver)
    , self(std::move(self))
    , limits(limits)
    , wake(loop)
{}

Result<Endpoint> PeerLink::start(const Endpoint &listen)
{
    auto opened = peer::DatagramSocket::open(this->loop, listen);
    if (!opened)
        return opened.error();
    this->socket = std::move(opened).value();
    this->socket->start(
            [this](std::string_view bytes, const Endpoint &from) { this->receive(bytes, from); },
            nullptr);
    this->gateway.budget.setInstanceCount(this->limits.assumedInstances);
    this->gateway.onTargetWait = [this] { this->wake.notifyAll(); };
    this->gateway.onUpstreamAvoided = [this](const UpstreamId &id, gateway::UpstreamFault fault) {
        if (fault == gateway::UpstreamFault::Full)
            return;
        this->suspected.push_back(id);
        this->wake.notifyAll();
    };
    this->driver.send = [this](const std::vector<Endpoint> &to, const OwnerMessage &message) {
        for (const OwnerMessage &part : divide(message, maxPartBytes)) {
            const std::string bytes = encodePeerMessage(part);
            for (const Endpoint &receiver : to)
                this->socket->send(receiver, bytes);
        }
    };
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
    return this->socket->localEndpoint();
}

void PeerLink::stop()
{
    this->isStopped = true;
    this->socket->close();
    this->wake.notifyAll();
}

upstream::Awaitable<void> PeerLink::run()
{
    while (!this->isStopped) {
        this->report();
        const Duration pause
                = this->isAnyWaiting ? this->limits.waitingInterval : this->limits.reportInterval;
        co_await this->wake.wait(now() + pause);
        if (this->gateway.demand.hasNewWait())
            co_await this->wake.wait(now() + gatherTime);
    }
}

void PeerLink::report()
{
    DemandMessage message;
    message.sender = this->self;
    message.demand = this->gateway.demand.takeReport(now());
    message.suspected.swap(this->suspected);
    this->isAnyWaiting = std::any_of(message.demand.begin(), message.demand.end(),
                                     [](const auto &demand) { return demand.waiting > 0; });
    const auto &owner = this->election.owner();
    if (!owner)
        return;
    if (owner->record.instance == this->self) {
        this->driver.receive(message, owner->record.endpoint);
        return;
    }
    for (const DemandMessage &part : divide(message, maxPartBytes))
        this->socket->send(owner->record.endpoint, encodePeerMessage(part));
}

void PeerLink::receive(std::string_view bytes, const Endpoint &from)
{
    const Result<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        logEvent(LogLevel::Warning, "datagram dropped",
                 {{"from", from.address}, {"error", message.error().message()}});
        return;
    }
    if (const auto *demand = std::get_if<DemandMessage>(&message.value()))
        this->driver.receive(*demand, from);
    else
        this->take(std::get<OwnerMessage>(message.value()));
}

void PeerLink::take(const OwnerMessage &message)
{
    if (message.fence < this->newest)
        return;
    this->newest = message.fence;
    this->election.ownerHeard(message.fence);
    const TimePoint time = now();
    if (message.instances > 0)
        this->gateway.budget.setInstanceCount(message.instances);
    for (const HeldTargets &held : message.held)
        this->gateway.table.updateResidency(held.upstream, held.residency, time);
    for (const UpstreamLoad &load : message.loads)
        this->gateway.table.updateLoad(load.upstream, load.load, time);
    for (const PromisedTarget &promise : message.promises)
        this->gateway.demand.recordPromise(promise.target, {time + promise.readyIn, time});
    for (const UpstreamId &id : message.suspected)
        this->gateway.health.recordSuspicion(id, gateway::HealthLimits().firstPause, time);
    if (this->onForwarded) {
        for (const ForwardedChange &change : message.changes)
            this->onForwarded(change);
    }
    if (message.followed && this->onFollowed)
        this->onFollowed(message.fence, *message.followed);
    if (!message.held.empty() || !message.promises.empty())
        this->gateway.notifyChange();
}

} // namespace bamboochute::residency
