#include "node/cold_starts.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bamboochute::node {

ColdStarts::ColdStarts(ControlContext &context, std::function<void(const Target &)> onDemandChanged)
    : context(context)
    , onDemandChanged(std::move(onDemandChanged))
{}

void ColdStarts::demand(caller::Ticket ticket, caller::ColdStartDemand demand,
                        caller::ColdStartCallback answered)
{
    boost::asio::post(this->context.loop,
                      [this, ticket, demand = std::move(demand), answered = std::move(answered)] {
                          this->addWaiter(ticket, {demand, this->weightOf(demand), answered});
                      });
}

void ColdStarts::withdraw(caller::Ticket ticket)
{
    boost::asio::post(this->context.loop, [this, ticket] { this->removeWaiter(ticket); });
}

void ColdStarts::setConfiguration(ConfigurationPointer changed)
{
    this->configuration = std::move(changed);
}

void ColdStarts::refuse(const Target &target, const Error &error, TimePoint deadlineBefore)
{
    const auto found = this->waiters.find(target);
    if (found == this->waiters.end())
        return;
    std::vector<std::pair<caller::Ticket, caller::ColdStartCallback>> refused;
    for (const auto &[ticket, waiter] : found->second) {
        if (waiter.demand.deadline < deadlineBefore)
            refused.emplace_back(ticket, waiter.answered);
    }
    for (const auto &[ticket, answered] : refused) {
        this->removeWaiter(ticket);
        answered(error);
    }
}

DemandSummary ColdStarts::demandFor(const Target &target) const
{
    DemandSummary sum{target, 0, TimePoint::max(), 0};
    const auto found = this->waiters.find(target);
    if (found == this->waiters.end())
        return sum;
    for (const auto &[ticket, waiter] : found->second) {
        ++sum.waiting;
        sum.earliestDeadline = std::min(sum.earliestDeadline, waiter.demand.deadline);
        sum.weight = std::max(sum.weight, waiter.weight);
    }
    return sum;
}

std::vector<DemandSummary> ColdStarts::allDemand() const
{
    std::vector<DemandSummary> demands;
    for (const auto &[target, waiting] : this->waiters)
        demands.push_back(this->demandFor(target));
    return demands;
}

void ColdStarts::addWaiter(caller::Ticket ticket, Waiter waiter)
{
    const Target target = waiter.demand.target;
    this->targetByTicket[ticket] = target;
    this->waiters[target].insert_or_assign(ticket, std::move(waiter));
    this->onDemandChanged(target);
}

void ColdStarts::removeWaiter(caller::Ticket ticket)
{
    const auto found = this->targetByTicket.find(ticket);
    if (found == this->targetByTicket.end())
        return;
    const Target target = found->second;
    this->targetByTicket.erase(found);
    auto &waiting = this->waiters[target];
    waiting.erase(ticket);
    if (waiting.empty())
        this->waiters.erase(target);
    this->onDemandChanged(target);
}

std::uint32_t ColdStarts::weightOf(const caller::ColdStartDemand &demand) const
{
    if (!this->configuration)
        return 1;
    for (const Deployment &deployment : this->configuration->deployments) {
        if (deployment.id != demand.deployment)
            continue;
        for (const CallerClass &callerClass : deployment.callerClasses) {
            if (callerClass.id == demand.callerClass)
                return callerClass.weight;
        }
    }
    return 1;
}

} // namespace bamboochute::node
