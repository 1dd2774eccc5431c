#include "residency/pace_exchange.hpp"

#include "residency/message_size.hpp"

#include <algorithm>

namespace bamboochute::residency {

PaceExchange::PaceExchange(gateway::PaceMeter &meter, gateway::PaceLimits limits, InstanceId self,
                           PaceExchangeSettings settings)
    : meter(meter)
    , limits(limits)
    , self(std::move(self))
    , settings(settings)
{}

void PaceExchange::sendDue(const std::optional<Endpoint> &owner, bool isSelf, TimePoint now)
{
    if (!this->isEnabled())
        return;
    if (owner || isSelf) {
        const PaceReportMessage message{this->self, false, this->meter.takeEvidence()};
        if (isSelf)
            this->receiveReport(message, Endpoint(), now);
        else
            for (const PaceReportMessage &part : splitMessage(message, maxPartBytes))
                this->send(*owner, part);
    }
    std::erase_if(this->reporters, [&](const auto &item) {
        return item.second.reportedAt + this->settings.reporterTimeout < now;
    });
    if (this->reporters.empty()) {
        this->aggregate.reset();
        return;
    }
    const std::chrono::duration<double> bounded(static_cast<double>(this->reporters.size())
                                                / this->settings.maxMessagesPerSecond);
    // A round begins a moment earlier or later than the one before.
    const Duration pause
            = std::max(this->settings.interval / 2, std::chrono::duration_cast<Duration>(bounded));
    if (now >= this->statesSentAt + pause)
        this->sendStates(now);
}

void PaceExchange::sendStates(TimePoint now)
{
    this->statesSentAt = now;
    this->aggregate->update(now);
    for (const auto &[instance, reporter] : this->reporters) {
        const PaceStatesMessage message{this->aggregate->computeStates(instance)};
        if (message.states.empty())
            continue;
        if (instance == this->self) {
            this->receiveStates(message, now);
            continue;
        }
        for (const PaceStatesMessage &part : splitMessage(message, maxPartBytes))
            this->send(reporter.endpoint, part);
    }
}

void PaceExchange::recordUpstreamStart(const gateway::ServiceId &service,
                                       const gateway::UpstreamProcess &process, TimePoint now)
{
    if (this->aggregate)
        this->aggregate->recordUpstreamStart(service, process, now);
}

void PaceExchange::receiveReport(const PaceReportMessage &message, const Endpoint &from,
                                 TimePoint now)
{
    if (!this->isEnabled())
        return;
    if (!this->aggregate) {
        this->aggregate.emplace(this->limits);
        this->aggregate->adopt(this->meter.states(now), now);
    }
    this->reporters[message.reporter] = Reporter{from, now};
    this->aggregate->receive(message.reporter, message.evidence, now, message.isContinuation);
}

void PaceExchange::receiveStates(const PaceStatesMessage &message, TimePoint now)
{
    this->meter.receiveStates(message.states, now);
}

} // namespace bamboochute::residency
