#include "gateway/repeat_budget.hpp"
#include "gateway/upstream_choice.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

struct Scene
{
    Scene()
    {
        for (const char *name : {"a", "b", "c", "d"}) {
            RegisteredUpstream upstream;
            upstream.id = UpstreamId(name);
            upstream.service = service;
            upstream.dataCentre = DataCentreId(name == std::string("a") ? "here" : "there");
            upstream.slots = 8;
            table.applyRegistration(upstream, now);
        }
    }

    std::string pick(std::uint64_t affinity = 0, const std::vector<UpstreamId> &excluded = {})
    {
        ChoiceQuery query;
        query.candidates = table.serving(service);
        query.affinity = affinity;
        query.excluded = excluded;
        const auto picked = choice.pick(query, health, now);
        return picked ? picked->value() : std::string();
    }

    TimePoint now{10s};
    ServiceId service{"rooms"};
    UpstreamTable table;
    UpstreamHealth health;
    UpstreamChoice choice{DataCentreId("here"), 7};
};

} // namespace

TEST_CASE("an idle upstream of the own data centre goes first")
{
    Scene scene;
    CHECK(scene.pick() == "a");

    SUBCASE("until it is busier than the others")
    {
        scene.choice.started(UpstreamId("a"));
        CHECK(scene.pick() != "a");
        scene.choice.finished(UpstreamId("a"));
        CHECK(scene.pick() == "a");
    }

    SUBCASE("or slower than the others by far")
    {
        for (const char *name : {"b", "c", "d"})
            scene.health.succeeded(UpstreamId(name), 10ms, scene.now);
        scene.health.succeeded(UpstreamId("a"), 60ms, scene.now);
        CHECK(scene.pick() != "a");
    }

    SUBCASE("or fails more often")
    {
        for (int i = 0; i < 4; ++i)
            scene.health.failed(UpstreamId("a"), UpstreamFault::ServerError, scene.now);
        CHECK(scene.pick() != "a");
    }
}

TEST_CASE("an upstream that can't be reached is avoided for a growing while")
{
    Scene scene;
    const UpstreamId a("a");
    CHECK(scene.health.failed(a, UpstreamFault::Unreachable, scene.now));
    CHECK(scene.pick() != "a");
    CHECK_FALSE(scene.health.isAvoided(a, scene.now + 600ms));

    SUBCASE("longer after the next failure")
    {
        scene.now += 600ms;
        scene.health.failed(a, UpstreamFault::Unreachable, scene.now);
        CHECK(scene.health.isAvoided(a, scene.now + 1100ms));
        CHECK_FALSE(scene.health.isAvoided(a, scene.now + 1200ms));
    }

    SUBCASE("an answer ends the pause")
    {
        scene.health.succeeded(a, 10ms, scene.now);
        CHECK_FALSE(scene.health.isAvoided(a, scene.now));
    }

    SUBCASE("one broken call alone does not make it avoided, nor do a few without answer in time")
    {
        const UpstreamId b("b");
        CHECK_FALSE(scene.health.failed(b, UpstreamFault::Broken, scene.now));
        const UpstreamId c("c");
        for (int i = 0; i < 4; ++i)
            CHECK_FALSE(scene.health.failed(c, UpstreamFault::Slow, scene.now));
        CHECK(scene.health.failed(c, UpstreamFault::Slow, scene.now));
    }

    SUBCASE("when all are avoided, the one whose pause ends first is tried, unless health is asked")
    {
        scene.now += 100ms;
        for (const char *name : {"b", "c", "d"})
            scene.health.failed(UpstreamId(name), UpstreamFault::Unreachable, scene.now);
        CHECK(scene.pick() == "a");
        ChoiceQuery query;
        query.candidates = scene.table.serving(scene.service);
        query.isHealthRequired = true;
        CHECK_FALSE(scene.choice.pick(query, scene.health, scene.now));
    }
}

TEST_CASE("requests that share a prompt go to one upstream, at every instance")
{
    Scene scene;
    UpstreamChoice other(DataCentreId("there"), 99);
    std::set<std::string> used;
    for (std::uint64_t prompt = 1; prompt <= 32; ++prompt) {
        const std::string mine = scene.pick(prompt);
        used.insert(mine);
        ChoiceQuery query;
        query.candidates = scene.table.serving(scene.service);
        query.affinity = prompt;
        CHECK(other.pick(query, scene.health, scene.now)->value() == mine);
    }
    CHECK(used.size() == 4);

    SUBCASE("until it is crowded")
    {
        const std::string kept = scene.pick(5);
        scene.table.updateLoad(UpstreamId(kept), {8, 1, 0.2}, scene.now);
        CHECK(scene.pick(5) != kept);
    }

    SUBCASE("or was tried")
    {
        const std::string kept = scene.pick(5);
        CHECK(scene.pick(5, {UpstreamId(kept)}) != kept);
    }
}

TEST_CASE("nobody is left when all were tried")
{
    Scene scene;
    CHECK(scene.pick(0, {UpstreamId("a"), UpstreamId("b"), UpstreamId("c"), UpstreamId("d")})
                  .empty());
}

TEST_CASE("a retry storm keeps to the part of one instance")
{
    const ServiceId service("rooms");
    RepeatLimits limits;
    limits.retriesPerRequest = 0.2;
    limits.freeRetries = 104;
    limits.window = 10s;
    RepeatBudget budget(limits);
    budget.setInstanceCount(13);
    TimePoint now(100s);
    for (int i = 0; i < 100; ++i)
        budget.request(service, now);
    int taken = 0;
    while (budget.take(service, now))
        ++taken;
    // 0.8 of a fifth of the requests and of an instance's part of the slack.
    CHECK(taken == 22);

    SUBCASE("the window slides")
    {
        CHECK_FALSE(budget.take(service, now + 9s));
        now += 11s;
        CHECK(budget.left(service, now) == doctest::Approx(0.8 * 104 / 13));
    }

    SUBCASE("other services have windows of their own")
    {
        CHECK(budget.take(ServiceId("desk"), now));
    }
}
