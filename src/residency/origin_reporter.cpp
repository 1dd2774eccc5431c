#include "residency/origin_reporter.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace bamboochute::residency {

namespace {

/// Longest pause between two checks whether the owner has changed, or origins have to be stored.
constexpr Duration checkInterval = std::chrono::milliseconds(500);

TimePoint now()
{
    return SteadyClock().now();
}

} // namespace

OriginReporter::OriginReporter(boost::asio::io_context &loop, OwnerElection &election,
                               Metrics &metrics, gateway::OriginBatchNumber firstNumber)
    : loop(loop)
    , election(election)
    , metrics(metrics)
    , wake(loop)
    , outbox(firstNumber)
{}

void OriginReporter::start(const Endpoint &selfEndpoint)
{
    this->self = selfEndpoint;
    boost::asio::co_spawn(this->loop, this->run(), boost::asio::detached);
}

void OriginReporter::stop()
{
    this->isStopped = true;
    this->wake.notifyAll();
}

void OriginReporter::add(const gateway::StreamOrigin &origin)
{
    this->outbox.add(origin, now());
    if (this->isStored && this->isStored(origin.service))
        this->wake.notifyAll();
}

void OriginReporter::receive(const OriginAcknowledgement &message)
{
    const std::optional<Duration> age = this->outbox.acknowledge(message.batch, now());
    if (!age)
        return;
    this->metrics.histogram("bamboochute_origin_store_seconds").record(*age);
    this->wake.notifyAll();
}

void OriginReporter::acknowledge(const gateway::OriginReceipt &receipt)
{
    const OriginAcknowledgement message{receipt.batch};
    if (receipt.sender == this->self)
        this->receive(message);
    else
        this->send(receipt.sender, message);
}

void OriginReporter::handleStoreLoss()
{
    this->outbox.handleStoreLoss();
    this->wake.notifyAll();
}

upstream::Awaitable<void> OriginReporter::run()
{
    while (!this->isStopped) {
        this->detectOwnerChange();
        this->sendDue();
        const TimePoint checkAt = now() + checkInterval;
        const bool canSend = this->election.owner() && this->isStored;
        const TimePoint due
                = canSend ? this->outbox.nextDue(this->isStored).value_or(checkAt) : checkAt;
        co_await this->wake.wait(std::min(due, checkAt));
    }
}

void OriginReporter::detectOwnerChange()
{
    const auto &owner = this->election.owner();
    const std::uint64_t nonce = owner ? owner->record.nonce : 0;
    if (std::exchange(this->ownerNonce, nonce) != nonce)
        this->outbox.handleOwnerChange(now());
}

void OriginReporter::sendDue()
{
    const auto &owner = this->election.owner();
    if (!owner || !this->isStored)
        return;
    for (const gateway::OriginBatch &batch : this->outbox.takeDue(this->isStored, now())) {
        if (owner->record.endpoint != this->self)
            this->send(owner->record.endpoint, OriginBatchMessage{batch});
        else if (this->onBatch)
            this->onBatch(this->self, batch);
    }
}

} // namespace bamboochute::residency
