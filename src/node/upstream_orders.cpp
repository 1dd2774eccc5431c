#include "node/upstream_orders.hpp"

#include "core/log.hpp"
#include "core/overloaded.hpp"
#include "upstream/order_client.hpp"

#include <map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace bamboochute::node {

namespace {

upstream::OrderKind kindOf(const decision::Order &order)
{
    switch (order.kind) {
    case decision::OrderKind::Load:
        return order.target.adapter.isEmpty() ? upstream::OrderKind::LoadModel
                                              : upstream::OrderKind::LoadAdapter;
    case decision::OrderKind::Unload:
        return upstream::OrderKind::Unload;
    case decision::OrderKind::RaiseFence:
        return upstream::OrderKind::RaiseFence;
    case decision::OrderKind::ChangeRole:
        return upstream::OrderKind::ChangeRole;
    }
    return upstream::OrderKind::RaiseFence;
}

decision::InventoryState stateOf(upstream::PlacementState state)
{
    switch (state) {
    case upstream::PlacementState::Loading:
        return decision::InventoryState::Loading;
    case upstream::PlacementState::Loaded:
        return decision::InventoryState::Loaded;
    case upstream::PlacementState::Unloading:
        return decision::InventoryState::Unloading;
    }
    return decision::InventoryState::Loaded;
}

std::vector<decision::InventoryEntry>
inventoryOf(const std::vector<upstream::PlacementReport> &placements)
{
    std::vector<decision::InventoryEntry> inventory;
    inventory.reserve(placements.size());
    for (const upstream::PlacementReport &each : placements)
        inventory.push_back({each.target, stateOf(each.state), each.memory});
    return inventory;
}

decision::OrderOutcome outcomeOf(const upstream::OrderOutcome &outcome)
{
    return std::visit(
            Overloaded{
                    [](const upstream::OrderDone &) { return decision::OrderOutcome::Done; },
                    [](const upstream::OrderStale &) { return decision::OrderOutcome::StaleFence; },
                    [](const upstream::OrderRefused &) { return decision::OrderOutcome::Refused; },
                    [](const upstream::OrderUnconfirmed &) {
                        return decision::OrderOutcome::Unconfirmed;
                    },
                    [](const upstream::OrderNotSent &) { return decision::OrderOutcome::Refused; },
            },
            outcome);
}

std::string reasonOf(const upstream::OrderOutcome &outcome)
{
    return std::visit(Overloaded{
                              [](const upstream::OrderDone &) { return std::string(); },
                              [](const upstream::OrderStale &stale) {
                                  return "order has a stale fencing number; engine has "
                                         + std::to_string(stale.current.value());
                              },
                              [](const auto &other) { return other.reason; },
                      },
                      outcome);
}

/// Memory that a target occupies when it is loaded; 0 when the configuration lacks it.
Bytes memoryOf(const Configuration &configuration, const Target &target)
{
    for (const Deployment &deployment : configuration.deployments) {
        for (const ModelSpec &model : deployment.models) {
            if (target.adapter.isEmpty() && model.id == target.model)
                return model.memory;
        }
        for (const AdapterSpec &adapter : deployment.adapters) {
            if (adapter.id == target.adapter && adapter.base == target.model)
                return adapter.memory;
        }
    }
    return {};
}

decision::OrderFinished finishedOrder(const decision::Order &order,
                                      const upstream::OrderOutcome &outcome)
{
    decision::OrderFinished finished{order.id, order.upstream, outcomeOf(outcome), std::nullopt};
    const auto *done = std::get_if<upstream::OrderDone>(&outcome);
    if (done != nullptr && order.kind == decision::OrderKind::RaiseFence)
        finished.inventory = inventoryOf(done->inventory);
    return finished;
}

void logOrderOutcome(const decision::Order &order, const upstream::OrderOutcome &outcome)
{
    const bool isDone = std::holds_alternative<upstream::OrderDone>(outcome);
    logEvent(isDone ? LogLevel::Info : LogLevel::Warning, isDone ? "order done" : "order not done",
             {{"order", std::string(decision::orderKindName(order.kind))},
              {"number", std::to_string(order.id.number)},
              {"upstream", order.upstream.value()},
              {"model", order.target.model.value()},
              {"adapter", order.target.adapter.value()},
              {"detail", reasonOf(outcome)}});
}

} // namespace

struct UpstreamOrders::State : std::enable_shared_from_this<UpstreamOrders::State>
{
    explicit State(ControlContext &context)
        : context(context)
        , client(context.loop, context.settings.orderCredential, context.metrics)
    {}

    ControlContext &context;
    upstream::OrderClient client;
    ConfigurationPointer configuration;
    std::map<UpstreamId, UpstreamSpec> knownUpstreams;

    upstream::Order toUpstreamOrder(const decision::Order &order) const
    {
        upstream::Order sent;
        sent.number = upstream::OrderNumber(order.id.number);
        sent.sender = order.id.sender.instance;
        sent.incarnation = order.id.sender.incarnation;
        sent.fence = order.id.fence;
        sent.kind = kindOf(order);
        sent.target = order.target;
        sent.role = order.role;
        if (this->configuration)
            sent.memory = memoryOf(*this->configuration, order.target);
        return sent;
    }
};

UpstreamOrders::UpstreamOrders(ControlContext &context)
    : state(std::make_shared<State>(context))
{}

UpstreamOrders::~UpstreamOrders() = default;

void UpstreamOrders::setConfiguration(ConfigurationPointer configuration)
{
    // Upstreams removed from the configuration are kept, because their last orders must still
    // reach them.
    for (const Deployment &deployment : configuration->deployments) {
        for (const UpstreamSpec &spec : deployment.upstreams)
            this->state->knownUpstreams[spec.id] = spec;
    }
    this->state->configuration = std::move(configuration);
}

void UpstreamOrders::send(const decision::Order &order,
                          std::function<void(decision::OrderFinished)> done)
{
    const auto spec = this->state->knownUpstreams.find(order.upstream);
    if (spec == this->state->knownUpstreams.end()) {
        const decision::OrderFinished refused{order.id, order.upstream,
                                              decision::OrderOutcome::Refused, std::nullopt};
        boost::asio::post(this->state->context.loop, [done, refused] { done(refused); });
        return;
    }
    this->state->client.send(this->state->toUpstreamOrder(order), spec->second,
                             [order, done](const upstream::OrderOutcome &outcome) {
                                 logOrderOutcome(order, outcome);
                                 done(finishedOrder(order, outcome));
                             });
}

void UpstreamOrders::readReport(const UpstreamSpec &upstream,
                                std::function<void(Result<decision::ReportReceived>)> done)
{
    const TimePoint askedAt = this->state->context.clock.now();
    this->state->client.fetchReport(upstream, [id = upstream.id, askedAt,
                                               done](Result<upstream::EngineReport> report) {
        if (!report) {
            done(report.error());
            return;
        }
        const upstream::EngineReport &engine = report.value();
        done(decision::ReportReceived{
                id, askedAt, inventoryOf(engine.placements), {}, engine.running, engine.waiting});
    });
}

} // namespace bamboochute::node
