#include "decision/ledger.hpp"
#include "decision/pool_controller.hpp"
#include "platform/key_value_state.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::decision;
using namespace std::chrono_literals;

namespace {

ConfigurationPointer makeConfiguration()
{
    Deployment deployment;
    deployment.id = DeploymentId("d");
    for (const char *name : {"m1", "m2"}) {
        ModelSpec model;
        model.id = ModelId(name);
        model.memory = Bytes{10};
        deployment.models.push_back(model);
    }
    for (const char *name : {"w1", "w2"}) {
        UpstreamSpec upstream;
        upstream.id = UpstreamId(name);
        upstream.pool = PoolId("p");
        upstream.memory = Bytes{24};
        deployment.upstreams.push_back(upstream);
    }
    Configuration configuration;
    configuration.revision = Revision(1);
    configuration.deployments.push_back(deployment);
    return std::make_shared<const Configuration>(configuration);
}

/// Performs the controller's actions at once: applies transactions to an in-memory store and
/// reports each order as done.
struct ControllerHarness
{
    platform::KeyValueState store;
    PoolController controller{{PoolId("p"), {InstanceId("a"), Incarnation(1)}, {}}};
    TimePoint now{};
    std::vector<Order> orders;
    std::vector<PublishPlacements> published;
    std::vector<RefuseDemand> refused;

    void tell(const Event &event)
    {
        for (const Action &action : this->controller.handle(event, this->now))
            this->carryOut(action);
    }

    void carryOut(const Action &action)
    {
        if (const auto *submit = std::get_if<SubmitTransaction>(&action)) {
            this->tell(TransactionFinished{submit->tag, this->store.apply(submit->transaction)});
        } else if (const auto *send = std::get_if<SendOrder>(&action)) {
            this->orders.push_back(send->order);
            OrderFinished finished{send->order.id, send->order.upstream, OrderOutcome::Done, {}};
            if (send->order.kind == OrderKind::RaiseFence)
                finished.inventory.emplace();
            this->tell(finished);
        } else if (const auto *publish = std::get_if<PublishPlacements>(&action)) {
            this->published.push_back(*publish);
        } else if (const auto *refuse = std::get_if<RefuseDemand>(&action)) {
            this->refused.push_back(*refuse);
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += 100ms)
            this->tell(Tick{});
    }
};

} // namespace

TEST_CASE("a candidate takes the pool and acts on reported demand")
{
    ControllerHarness harness;
    harness.tell(ConfigurationChanged{makeConfiguration()});
    harness.tell(CandidacyChanged{true});
    REQUIRE(harness.controller.isOwner());
    harness.run(2s);

    const Target target{ModelId("m1"), {}};
    harness.tell(DemandReported{InstanceId("a"), target, 1, harness.now + 30s, 1, {}});
    harness.tell(DemandReported{InstanceId("b"), target, 3, harness.now + 30s, 1, {}});
    harness.run(1s);

    SUBCASE("demand from two instances causes one load")
    {
        REQUIRE(harness.orders.size() == 1);
        CHECK(harness.orders.front().kind == OrderKind::Load);
        CHECK(harness.orders.front().target == target);
        CHECK(harness.controller.ledger().replicas(target) == 1);
    }

    SUBCASE("the loaded replica is published")
    {
        REQUIRE_FALSE(harness.published.empty());
        CHECK(harness.published.back().loaded == std::vector{target});
    }

    SUBCASE("demand for an unknown model is refused")
    {
        harness.tell(DemandReported{
                InstanceId("a"), Target{ModelId("x"), {}}, 1, harness.now + 30s, 1, {}});
        REQUIRE(harness.refused.size() == 1);
        CHECK(harness.refused.front().error.kind() == ErrorKind::UnknownModel);
    }

    SUBCASE("handing over ends the ownership and marks the owner record as released")
    {
        harness.tell(HandOverRequested{});
        harness.run(1s);
        CHECK_FALSE(harness.controller.isOwner());
        CHECK(harness.store.entries().at("pools/p/owner").value.find("\"released\":true")
              != std::string::npos);
    }
}
