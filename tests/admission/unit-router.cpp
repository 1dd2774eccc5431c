#include "admission/router.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

const DataCentreId quitoNorte("quito-norte");
const DataCentreId ambato("ambato");
const Target chat{ModelId("chat@3"), {}};

UpstreamState worker(const std::string &name, const DataCentreId &dataCentre,
                     std::uint32_t concurrent)
{
    UpstreamState state;
    state.spec.id = UpstreamId(name);
    state.spec.pool = PoolId("assistant");
    state.spec.dataCentre = dataCentre;
    state.spec.maxConcurrent = concurrent;
    return state;
}

RoutingTable fourWorkers(std::uint32_t concurrent)
{
    RoutingTable table;
    for (const char *name : {"w1", "w2", "w3", "w4"}) {
        table.upstreams[UpstreamId(name)] = worker(name, quitoNorte, concurrent);
        table.replicas[chat].push_back(UpstreamId(name));
    }
    return table;
}

RouterLimits limitsSamplingAll()
{
    RouterLimits limits;
    limits.sampleSize = 64;
    return limits;
}

} // namespace

TEST_CASE("a router picks among the replicas of a target")
{
    Metrics metrics;
    const Ejector ejector(metrics);
    const TimePoint now{};
    Router router(quitoNorte, 7, limitsSamplingAll());
    RoutingTable table = fourWorkers(4);
    const auto applyTable = [&] { router.update(std::make_shared<RoutingTable>(table)); };
    applyTable();
    const auto pick = [&] {
        return router.pick({router.replicas(chat), 0, 0, 0, {}}, ejector, now);
    };

    SUBCASE("requests in flight are spread evenly, up to the slots of each upstream")
    {
        for (int i = 0; i < 16; ++i)
            router.recordStart(pick().value(), now);
        CHECK(router.inFlight(UpstreamId("w3")) == 4);
        CHECK_FALSE(pick());

        SUBCASE("a finished request frees a slot")
        {
            router.recordFinish(UpstreamId("w2"));
            CHECK(pick() == UpstreamId("w2"));
        }
    }

    SUBCASE("a leaving upstream gets no new requests")
    {
        for (const char *name : {"w1", "w2", "w3"})
            table.upstreams[UpstreamId(name)].isLeaving = true;
        applyTable();
        for (int i = 0; i < 4; ++i) {
            CHECK(pick() == UpstreamId("w4"));
            router.recordStart(UpstreamId("w4"), now);
        }
        CHECK_FALSE(pick());
    }

    SUBCASE("an upstream that was tried, or is ejected, is not picked")
    {
        Ejector ejectorAfterFailures(metrics);
        for (int i = 0; i < 5; ++i)
            ejectorAfterFailures.recordFailure(UpstreamId("w1"), now + 1s);
        const RouteQuery query{
                router.replicas(chat), 0, 0, 0, {UpstreamId("w2"), UpstreamId("w3")}};
        CHECK(router.pick(query, ejectorAfterFailures, now + 1s) == UpstreamId("w4"));
    }

    SUBCASE("an upstream of another data centre is picked once the local ones are busier")
    {
        table.upstreams[UpstreamId("w4")] = worker("w4", ambato, 4);
        applyTable();
        for (int i = 0; i < 3; ++i) {
            const UpstreamId chosen = pick().value();
            CHECK(chosen != UpstreamId("w4"));
            router.recordStart(chosen, now);
        }
        for (int i = 0; i < 3; ++i)
            router.recordStart(pick().value(), now);
        CHECK(router.inFlight(UpstreamId("w4")) == 1);
    }

    SUBCASE("one report of a high load does not exclude an upstream")
    {
        table.upstreams[UpstreamId("w1")].reportedLoad = 4;
        applyTable();
        std::set<UpstreamId> chosen;
        for (int i = 0; i < 50; ++i)
            chosen.insert(pick().value());
        CHECK(chosen.size() == 4);

        SUBCASE("an upstream that stays busier than the others is avoided")
        {
            for (int i = 0; i < 100; ++i)
                applyTable();
            for (int i = 0; i < 50; ++i)
                CHECK(pick() != UpstreamId("w1"));
        }
    }
}

TEST_CASE("instances divide the slots of busy upstreams without communicating")
{
    constexpr std::uint32_t instances = 12;
    RoutingTable table = fourWorkers(64);
    for (auto &[id, state] : table.upstreams)
        state.reportedLoad = 64;
    const auto shared = std::make_shared<const RoutingTable>(table);
    Metrics metrics;
    const Ejector ejector(metrics);
    std::map<UpstreamId, std::uint32_t> total;
    for (std::uint32_t i = 0; i < instances; ++i) {
        Router router(quitoNorte, i);
        router.update(shared);
        router.setShare(i, instances);
        while (const auto chosen = router.pick({router.replicas(chat), 0, 0, 0, {}}, ejector, {})) {
            router.recordStart(*chosen, TimePoint());
            ++total[*chosen];
        }
    }
    for (const auto &[id, count] : total)
        CHECK(count == 64);

    SUBCASE("classes of a lower priority leave slots free for the highest one")
    {
        const std::vector<CallerClass> classes{{CallerClassId("officer"), 4, 5, 8, {}},
                                               {CallerClassId("guest"), 1, 0, 8, {}}};
        CHECK(headroomFor(classes[0], classes, 64) == 0);
        CHECK(headroomFor(classes[1], classes, 64) == 2);
        Router router(quitoNorte, 1);
        router.update(shared);
        router.setShare(0, instances);
        const auto candidates = router.replicas(chat);
        const std::uint32_t slots = router.slots(candidates);
        for (std::uint32_t i = 0; i + 2 < slots; ++i)
            router.recordStart(router.pick({candidates, 0, 2, 0, {}}, ejector, {}).value(),
                               TimePoint());
        CHECK_FALSE(router.canPick({candidates, 0, 2, 0, {}}, ejector, {}));
        CHECK(router.canPick({candidates, 0, 0, 0, {}}, ejector, {}));

        SUBCASE("the highest priority may use slots beyond the share when it is full")
        {
            CHECK(overflowFor(classes[0], classes) == 1);
            CHECK(overflowFor(classes[1], classes) == 0);
            while (const auto chosen = router.pick({candidates, 0, 0, 0, {}}, ejector, {}))
                router.recordStart(*chosen, TimePoint());
            for (std::uint32_t i = 0; i < 4; ++i)
                router.recordStart(router.pick({candidates, 0, 0, 1, {}}, ejector, {}).value(),
                                   TimePoint());
            CHECK_FALSE(router.canPick({candidates, 0, 0, 1, {}}, ejector, {}));
        }
    }
}

TEST_CASE("prompts with the same beginning go to the same worker while it has free slots")
{
    Metrics metrics;
    const Ejector ejector(metrics);
    const auto table = std::make_shared<const RoutingTable>(fourWorkers(64));
    Router first(quitoNorte, 1);
    Router second(quitoNorte, 2);
    first.update(table);
    second.update(table);
    const std::string beginning(2 * prefixBytes, 'b');
    const std::uint64_t prefix = prefixHash(beginning + "one wording");
    CHECK(prefix == prefixHash(beginning + "another wording"));
    CHECK(prefixHash("short") == 0);
    const RouteQuery query{first.replicas(chat), prefix, 0, 0, {}};
    const UpstreamId preferred = first.pick(query, ejector, {}).value();
    CHECK(second.pick(query, ejector, {}) == preferred);

    SUBCASE("affinity never loads a worker beyond its bound")
    {
        for (int i = 0; i < 100; ++i)
            first.recordStart(first.pick(query, ejector, {}).value(), TimePoint());
        for (const UpstreamId &id : query.candidates)
            CHECK(first.inFlight(id) <= 30);
    }
}
