#include "../../bench/random_run.hpp"

#include "decision/ledger.hpp"
#include "decision/records.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::decision;
using bamboochute::bench::InvariantBroken;
using bamboochute::bench::ThrowingInvariants;

namespace {

const Target baseModel{ModelId("m"), {}};
const Target otherModel{ModelId("n"), {}};
const Target adapter{ModelId("m"), AdapterId("a")};
const UpstreamId enforcingUpstream("refusing");
const UpstreamId ignoringUpstream("ignoring");

PoolViewPointer makeView()
{
    auto view = std::make_shared<PoolView>();
    view->targets[baseModel] = TargetSpec{Bytes{10}, 0, 1, {}, {}};
    view->targets[otherModel] = TargetSpec{Bytes{10}, 0, 2, {}, {}};
    view->targets[adapter] = TargetSpec{Bytes{1}, 0, 1, {}, {}};
    for (const UpstreamId &id : {enforcingUpstream, ignoringUpstream}) {
        UpstreamSpec spec;
        spec.id = id;
        spec.memory = Bytes{15};
        spec.fencing = id == enforcingUpstream ? Fencing::Refuses : Fencing::Ignores;
        view->upstreams[id] = spec;
    }
    return view;
}

OrderId orderId(std::uint64_t number, std::uint64_t fence = 10, const char *sender = "i1")
{
    return OrderId{{InstanceId(sender), Incarnation(1)}, Fence(fence), number};
}

} // namespace

TEST_CASE("hazards 7 and 8: the ledger counts memory and replicas from the decision to load on")
{
    const ThrowingInvariants throwing;
    Ledger ledger;
    ledger.configure(makeView());
    ledger.decideLoad(enforcingUpstream, baseModel, orderId(1));

    SUBCASE("the decision counts before any report shows it")
    {
        CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{5});
        CHECK(ledger.replicas(baseModel) == 1);
        CHECK_FALSE(ledger.canLoad(ignoringUpstream, baseModel));
        CHECK_FALSE(ledger.canLoad(enforcingUpstream, otherModel));
    }

    SUBCASE("a load beyond the replica bound breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(ignoringUpstream, baseModel, orderId(2)),
                        InvariantBroken);
    }

    SUBCASE("a load beyond the upstream's memory breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(enforcingUpstream, otherModel, orderId(2)),
                        InvariantBroken);
    }

    SUBCASE("an adapter whose base model is not loaded breaks an invariant")
    {
        CHECK_FALSE(ledger.canLoad(enforcingUpstream, adapter));
        CHECK_THROWS_AS(ledger.decideLoad(enforcingUpstream, adapter, orderId(2)), InvariantBroken);
    }

    SUBCASE("an adapter whose base model is loaded may be loaded")
    {
        ledger.confirmLoad(enforcingUpstream, orderId(1));
        CHECK(ledger.canLoad(enforcingUpstream, adapter));
    }

    SUBCASE("a second placement of a target at an upstream breaks an invariant")
    {
        CHECK_THROWS_AS(ledger.decideLoad(enforcingUpstream, baseModel, orderId(2)),
                        InvariantBroken);
    }

    SUBCASE("a lowered fencing number breaks an invariant")
    {
        ledger.raiseFence(enforcingUpstream, Fence(20));
        CHECK_THROWS_AS(ledger.raiseFence(enforcingUpstream, Fence(19)), InvariantBroken);
        CHECK_THROWS_AS(ledger.decideUnload(enforcingUpstream, baseModel, orderId(2, 19)),
                        InvariantBroken);
    }

    SUBCASE("an unload frees memory only when it is confirmed")
    {
        ledger.confirmLoad(enforcingUpstream, orderId(1));
        ledger.decideUnload(enforcingUpstream, baseModel, orderId(2));
        CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{5});
        ledger.confirmUnload(enforcingUpstream, orderId(2));
        CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{15});
    }
}

TEST_CASE("hazard 3: a placement counts while its upstream may still execute an order for it")
{
    Ledger ledger;
    ledger.configure(makeView());

    SUBCASE("until the sender has terminated, at an upstream that ignores fencing numbers")
    {
        ledger.decideLoad(ignoringUpstream, baseModel, orderId(1, 10, "former"));
        ledger.repeatLoad(ignoringUpstream, baseModel, orderId(1, 20));
        ledger.confirmLoad(ignoringUpstream, orderId(1, 20));
        ledger.decideUnload(ignoringUpstream, baseModel, orderId(2, 20));
        ledger.confirmUnload(ignoringUpstream, orderId(2, 20));
        CHECK(ledger.replicas(baseModel) == 1);
        ledger.applyInventory(ignoringUpstream, Fence(20), {});
        CHECK(ledger.replicas(baseModel) == 1);

        SUBCASE("an unresolved order stays outstanding when its sender gives the pool up")
        {
            ledger.voidOrders({InstanceId("former"), Incarnation(1)}, Fence(10), {1});
            CHECK(ledger.isOutstanding(ignoringUpstream, baseModel));
        }

        SUBCASE("the placement can be freed after its sender has terminated")
        {
            ledger.voidOrdersOfTerminated({InstanceId("former"), Incarnation(1)});
            ledger.decideUnload(ignoringUpstream, baseModel, orderId(3, 20));
            ledger.confirmUnload(ignoringUpstream, orderId(3, 20));
            CHECK(ledger.replicas(baseModel) == 0);
        }
    }

    SUBCASE("until a raised fencing number is confirmed, at an upstream that enforces them")
    {
        ledger.decideLoad(enforcingUpstream, baseModel, orderId(1, 10, "former"));
        ledger.markMayHoldUnrecordedTargets(enforcingUpstream);
        CHECK(ledger.replicas(otherModel) == 1);
        CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{});
        ledger.raiseFence(enforcingUpstream, Fence(20));
        ledger.applyInventory(enforcingUpstream, Fence(20), {});
        CHECK(ledger.replicas(baseModel) == 0);
        CHECK(ledger.replicas(otherModel) == 0);
        CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{15});
    }
}

TEST_CASE("an inventory beyond the upstream's memory breaks no bound")
{
    Ledger ledger;
    ledger.configure(makeView());
    const Target unknown{ModelId("unknown"), {}};
    const auto findings = ledger.applyInventory(enforcingUpstream, Fence(1),
                                                {{unknown, InventoryState::Loaded, Bytes{~0ULL}},
                                                 {baseModel, InventoryState::Loaded, Bytes{0}}});
    CHECK(findings.unknownTargets == 1);
    CHECK(findings.exceedsCapacity);
    CHECK(ledger.usedMemory(enforcingUpstream) <= Bytes{15});
    CHECK(ledger.availableMemory(enforcingUpstream) == Bytes{});
}

TEST_CASE("parsing returns the encoded record and rejects malformed texts")
{
    UpstreamRecord record;
    record.upstream = enforcingUpstream;
    record.fence = Fence(7);
    record.token = "i1/1/7/3";
    record.mayHoldUnrecordedTargets = true;
    record.placements.push_back({adapter, Bytes{3}, PlacementState::Unloading});
    record.orders.push_back({orderId(4), OrderKind::Unload, adapter, false});
    CHECK(parseUpstreamRecord(encode(record)).value() == record);

    const OwnerRecord owner{{InstanceId("i1"), Incarnation(2)}, Fence(65536), 3, true};
    CHECK(parseOwnerRecord(encode(owner)).value() == owner);

    for (const char *text : {"", "{}", "[1]", "{\"u\":1}", "{\"u\":\"w\",\"f\":-1}"}) {
        CAPTURE(text);
        CHECK_FALSE(parseUpstreamRecord(text).has_value());
        CHECK_FALSE(parseOwnerRecord(text).has_value());
    }
}
