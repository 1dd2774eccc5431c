#include "node/pool_driver.hpp"

#include "core/overloaded.hpp"

#include <fmt/format.h>

namespace bamboochute::node {

PoolDriver::PoolDriver(ControlContext &context, const PoolId &pool,
                       platform::KeyValueClient &keyValue, PoolDriverCallbacks callbacks)
    : pool(pool)
    , context(context)
    , keyValue(keyValue)
    , callbacks(std::move(callbacks))
    , poolController({pool, {context.settings.instance, context.incarnation}, {}})
{}

void PoolDriver::handle(const decision::Event &event)
{
    const decision::Actions actions = this->poolController.handle(event, this->context.clock.now());
    for (const decision::Action &action : actions) {
        std::visit(
                Overloaded{
                        [this](const decision::SubmitTransaction &each) { this->carryOut(each); },
                        [this](const decision::SendOrder &each) { this->carryOut(each); },
                        [this](const decision::PublishPlacements &each) {
                            this->callbacks.publishPlacements(each);
                        },
                        [this](const decision::RefuseDemand &each) {
                            this->callbacks.refuseDemand(each);
                        },
                        [this](const decision::AnnounceOwner &each) {
                            this->callbacks.announceOwner(each);
                        },
                        [this](const decision::AnnounceOwnershipGivenUp &each) {
                            this->callbacks.announceOwnershipGivenUp(each);
                        },
                },
                action);
    }
}

void PoolDriver::exportMetrics(Metrics &metrics) const
{
    for (const auto &[event, total] : this->poolController.counters()) {
        const std::string labels
                = fmt::format("pool=\"{}\",event=\"{}\"", this->pool.value(), event);
        Counter &counter = metrics.counter("bamboochute_decisions_total", labels);
        counter.add(total - counter.value());
    }
}

void PoolDriver::carryOut(const decision::SubmitTransaction &submit)
{
    this->keyValue.submit(
            submit.purpose, submit.transaction,
            [weak = this->weak_from_this(),
             tag = submit.tag](Result<platform::TransactionResponse> result) {
                if (const auto self = weak.lock())
                    self->handle(decision::TransactionFinished{tag, std::move(result)});
            });
}

void PoolDriver::carryOut(const decision::SendOrder &send)
{
    this->callbacks.sendOrder(
            send.order, [weak = this->weak_from_this()](const decision::OrderFinished &finished) {
                if (const auto self = weak.lock())
                    self->handle(finished);
            });
}

} // namespace bamboochute::node
