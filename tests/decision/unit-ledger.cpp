#include "../../bench/random_run.hpp"

#include "decision/ledger.hpp"
#include "decision/records.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::decision;
using bamboochute::bench::InvariantBroken;
using bamboochute::bench::ThrowingInvariants;

namespace {

const Target model{ModelId("m"), {}};
const Target other{ModelId("n"), {}};
const Target adapter{ModelId("m"), AdapterId("a")};
const UpstreamId refusing("refusing");
const UpstreamId ignoring("ignoring");

PoolViewPointer makeView()
{
    auto view = std::make_shared<PoolView>();
    view->targets[model] = TargetSpec{Bytes{10}, 0, 1, {}, {}};
    view->targets[other] = TargetSpec{Bytes{10}, 0, 2, {}, {}};
    view->targets[adapter] = TargetSpec{Bytes{1}, 0, 1, {}, {}};
    for (const UpstreamId &id : {refusing, ignoring}) {
        UpstreamSpec spec;
        spec.id = id;
        spec.memory = Bytes{15};
        spec.fencing = id == refusing ? Fencing::Refuses : Fencing::Ignores;
        view->upstreams[id] = spec;
    }
    return view;
}

OrderId order(std::uint64_t number, std::uint64_t fence = 10, const char *sender = "i1")
{
    return OrderId{{InstanceId(sender), Incarnation(1)}, Fence(fence), number};
}

} // namespace

TEST_CASE("hazards 7 and 8: one book holds memory and replicas from the decision on")
{
    const ThrowingInvariants throwing;
    Ledger ledger;
    ledger.configure(makeView());
    ledger.decideLoad(refusing, model, order(1));

    SUBCASE("the decision counts before any report shows it")
    {
        CHECK(ledger.free(refusing) == Bytes{5});
        CHECK(ledger.replicas(model) == 1);
        CHECK_FALSE(ledger.canLoad(ignoring, model));
        CHECK_FALSE(ledger.canLoad(refusing, other));
    }

    SUBCASE("a replica too many breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(ignoring, model, order(2)), InvariantBroken);
    }

    SUBCASE("memory too much breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(refusing, other, order(2)), InvariantBroken);
    }

    SUBCASE("an adapter before its base is loaded breaks an invariant")
    {
        CHECK_FALSE(ledger.canLoad(refusing, adapter));
        CHECK_THROWS_AS(ledger.decideLoad(refusing, adapter, order(2)), InvariantBroken);
    }

    SUBCASE("an adapter beside its loaded base is allowed")
    {
        ledger.confirmLoad(refusing, order(1));
        CHECK(ledger.canLoad(refusing, adapter));
    }

    SUBCASE("a target placed twice at an upstream breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(refusing, model, order(2)), InvariantBroken);
    }

    SUBCASE("a fencing number that falls breaks an invariant")
    {
        ledger.raiseFence(refusing, Fence(20));
        CHECK_THROWS_AS(ledger.raiseFence(refusing, Fence(19)), InvariantBroken);
        CHECK_THROWS_AS(ledger.decideUnload(refusing, model, order(2, 19)), InvariantBroken);
    }

    SUBCASE("an unload frees memory only when it is confirmed")
    {
        ledger.confirmLoad(refusing, order(1));
        ledger.decideUnload(refusing, model, order(2));
        CHECK(ledger.free(refusing) == Bytes{5});
        ledger.confirmUnload(refusing, order(2));
        CHECK(ledger.free(refusing) == Bytes{15});
    }
}

TEST_CASE("hazard 3: what an upstream may still carry out goes on counting")
{
    Ledger ledger;
    ledger.configure(makeView());

    SUBCASE("at an upstream that ignores fencing numbers, until the sender is gone")
    {
        ledger.decideLoad(ignoring, model, order(1, 10, "former"));
        ledger.repeatLoad(ignoring, model, order(1, 20));
        ledger.confirmLoad(ignoring, order(1, 20));
        ledger.decideUnload(ignoring, model, order(2, 20));
        ledger.confirmUnload(ignoring, order(2, 20));
        CHECK(ledger.replicas(model) == 1);
        ledger.takeInventory(ignoring, Fence(20), {});
        CHECK(ledger.replicas(model) == 1);

        SUBCASE("gave up, with the order still open")
        {
            ledger.clearSender({InstanceId("former"), Incarnation(1)}, Fence(10), {1});
            CHECK(ledger.isOutstanding(ignoring, model));
        }

        SUBCASE("known gone")
        {
            ledger.clearGone({InstanceId("former"), Incarnation(1)});
            ledger.decideUnload(ignoring, model, order(3, 20));
            ledger.confirmUnload(ignoring, order(3, 20));
            CHECK(ledger.replicas(model) == 0);
        }
    }

    SUBCASE("at one that refuses old numbers, until the raised number is confirmed")
    {
        ledger.decideLoad(refusing, model, order(1, 10, "former"));
        ledger.markUnaccounted(refusing);
        CHECK(ledger.replicas(other) == 1);
        CHECK(ledger.free(refusing) == Bytes{});
        ledger.raiseFence(refusing, Fence(20));
        ledger.takeInventory(refusing, Fence(20), {});
        CHECK(ledger.replicas(model) == 0);
        CHECK(ledger.replicas(other) == 0);
        CHECK(ledger.free(refusing) == Bytes{15});
    }
}

TEST_CASE("an inventory that can't be true breaks no bound")
{
    Ledger ledger;
    ledger.configure(makeView());
    const Target unknown{ModelId("unknown"), {}};
    const auto findings = ledger.takeInventory(refusing, Fence(1),
                                               {{unknown, InventoryState::Loaded, Bytes{~0ULL}},
                                                {model, InventoryState::Loaded, Bytes{0}}});
    CHECK(findings.unknownTargets == 1);
    CHECK(findings.exceedsCapacity);
    CHECK(ledger.usedMemory(refusing) <= Bytes{15});
    CHECK(ledger.free(refusing) == Bytes{});
}

TEST_CASE("records come back as they were written")
{
    UpstreamRecord record;
    record.upstream = refusing;
    record.fence = Fence(7);
    record.token = "i1/1/7/3";
    record.isUnaccounted = true;
    record.placements.push_back({adapter, Bytes{3}, PlacementState::Unloading});
    record.orders.push_back({order(4), OrderKind::Unload, adapter, false});
    CHECK(parseUpstreamRecord(encode(record)).value() == record);

    const OwnerRecord owner{{InstanceId("i1"), Incarnation(2)}, Fence(65536), 3, true};
    CHECK(parseOwnerRecord(encode(owner)).value() == owner);

    for (const char *text : {"", "{}", "[1]", "{\"u\":1}", "{\"u\":\"w\",\"f\":-1}"}) {
        CAPTURE(text);
        CHECK_FALSE(parseUpstreamRecord(text).has_value());
        CHECK_FALSE(parseOwnerRecord(text).has_value());
    }
}
