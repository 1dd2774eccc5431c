#include "gateway/retry_budget.hpp"
#include "gateway/upstream_selector.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

struct SelectionFixture
{
    SelectionFixture()
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

    std::string pickUpstream(std::uint64_t affinityKey = 0,
                             const std::vector<UpstreamId> &excluded = {})
    {
        SelectionQuery query;
        query.candidates = table.findServing(service);
        query.affinityKey = affinityKey;
        query.excluded = excluded;
        const auto picked = selector.pickUpstream(query, health, now);
        return picked ? picked->value() : std::string();
    }

    TimePoint now{10s};
    ServiceId service{"rooms"};
    UpstreamTable table;
    UpstreamHealth health;
    UpstreamSelector selector{DataCentreId("here"), 7};
};

} // namespace

TEST_CASE("an idle upstream in the instance's own data centre is preferred")
{
    SelectionFixture fixture;
    CHECK(fixture.pickUpstream() == "a");

    SUBCASE("unless it is busier than the others")
    {
        fixture.selector.recordStart(UpstreamId("a"));
        CHECK(fixture.pickUpstream() != "a");
        fixture.selector.recordFinish(UpstreamId("a"));
        CHECK(fixture.pickUpstream() == "a");
    }

    SUBCASE("unless it is much slower than the others")
    {
        for (const char *name : {"b", "c", "d"})
            fixture.health.recordSuccess(UpstreamId(name), 10ms, fixture.now);
        fixture.health.recordSuccess(UpstreamId("a"), 60ms, fixture.now);
        CHECK(fixture.pickUpstream() != "a");
    }

    SUBCASE("unless it fails more often")
    {
        for (int i = 0; i < 4; ++i)
            fixture.health.recordFault(UpstreamId("a"), UpstreamFault::ServerError, fixture.now);
        CHECK(fixture.pickUpstream() != "a");
    }
}

TEST_CASE("an unreachable upstream is avoided for a time that grows with each fault")
{
    SelectionFixture fixture;
    const UpstreamId a("a");
    CHECK(fixture.health.recordFault(a, UpstreamFault::Unreachable, fixture.now));
    CHECK(fixture.pickUpstream() != "a");
    CHECK_FALSE(fixture.health.isAvoided(a, fixture.now + 600ms));

    SUBCASE("the pause after the second fault is twice as long")
    {
        fixture.now += 600ms;
        fixture.health.recordFault(a, UpstreamFault::Unreachable, fixture.now);
        CHECK(fixture.health.isAvoided(a, fixture.now + 1100ms));
        CHECK_FALSE(fixture.health.isAvoided(a, fixture.now + 1200ms));
    }

    SUBCASE("a successful call ends the pause")
    {
        fixture.health.recordSuccess(a, 10ms, fixture.now);
        CHECK_FALSE(fixture.health.isAvoided(a, fixture.now));
        CHECK_FALSE(fixture.health.isUnreachable(a, fixture.now));
    }

    SUBCASE("and counts as unreachable, which one that fails or is full does not")
    {
        CHECK(fixture.health.isUnreachable(a, fixture.now));
        CHECK_FALSE(fixture.health.isUnreachable(a, fixture.now + 600ms));
        const UpstreamId b("b");
        fixture.health.recordFault(b, UpstreamFault::Broken, fixture.now);
        CHECK(fixture.health.recordFault(b, UpstreamFault::Broken, fixture.now));
        CHECK_FALSE(fixture.health.isUnreachable(b, fixture.now));
        fixture.health.recordFault(b, UpstreamFault::Full, fixture.now);
        CHECK_FALSE(fixture.health.isUnreachable(b, fixture.now));
    }

    SUBCASE("neither one broken call nor four slow ones make an upstream avoided, but five slow "
            "ones do")
    {
        const UpstreamId b("b");
        CHECK_FALSE(fixture.health.recordFault(b, UpstreamFault::Broken, fixture.now));
        const UpstreamId c("c");
        for (int i = 0; i < 4; ++i)
            CHECK_FALSE(fixture.health.recordFault(c, UpstreamFault::Slow, fixture.now));
        CHECK(fixture.health.recordFault(c, UpstreamFault::Slow, fixture.now));
    }

    SUBCASE("when all are avoided, the one whose pause ends first is selected unless health is "
            "required")
    {
        fixture.now += 100ms;
        for (const char *name : {"b", "c", "d"})
            fixture.health.recordFault(UpstreamId(name), UpstreamFault::Unreachable, fixture.now);
        CHECK(fixture.pickUpstream() == "a");
        SelectionQuery query;
        query.candidates = fixture.table.findServing(fixture.service);
        query.isHealthRequired = true;
        CHECK_FALSE(fixture.selector.pickUpstream(query, fixture.health, fixture.now));
    }
}

TEST_CASE("requests with the same prompt prefix go to the same upstream from every instance")
{
    SelectionFixture fixture;
    UpstreamSelector other(DataCentreId("there"), 99);
    std::set<std::string> used;
    for (std::uint64_t prompt = 1; prompt <= 32; ++prompt) {
        const std::string mine = fixture.pickUpstream(prompt);
        used.insert(mine);
        SelectionQuery query;
        query.candidates = fixture.table.findServing(fixture.service);
        query.affinityKey = prompt;
        CHECK(other.pickUpstream(query, fixture.health, fixture.now)->value() == mine);
    }
    CHECK(used.size() == 4);

    SUBCASE("unless requests wait at it")
    {
        const std::string preferred = fixture.pickUpstream(5);
        fixture.table.updateLoad(UpstreamId(preferred), {8, 1, 0.2}, fixture.now);
        CHECK(fixture.pickUpstream(5) != preferred);
    }

    SUBCASE("unless it was already tried")
    {
        const std::string preferred = fixture.pickUpstream(5);
        CHECK(fixture.pickUpstream(5, {UpstreamId(preferred)}) != preferred);
    }
}

TEST_CASE("no upstream is selected when all were already tried")
{
    SelectionFixture fixture;
    CHECK(fixture.pickUpstream(0,
                               {UpstreamId("a"), UpstreamId("b"), UpstreamId("c"), UpstreamId("d")})
                  .empty());
}

TEST_CASE("the retries of one instance are limited to its part of the budget")
{
    const ServiceId service("rooms");
    RetryLimits limits;
    limits.retriesPerRequest = 0.2;
    limits.freeRetries = 104;
    limits.window = 10s;
    RetryBudget budget(limits);
    TimePoint now(100s);
    budget.setInstanceCount(13, now);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest(service, now);
    int taken = 0;
    while (budget.takeRetry(service, now))
        ++taken;
    // 0.8 of the sum of 0.2 * 100 (requests) and 104 / 13 (free retries of one instance), rounded
    // down.
    CHECK(taken == 22);

    SUBCASE("requests and retries that are older than the window no longer count")
    {
        CHECK_FALSE(budget.takeRetry(service, now + 9s));
        now += 11s;
        CHECK(budget.remaining(service, now) == doctest::Approx(0.8 * 104 / 13));
    }

    SUBCASE("each service has a budget of its own")
    {
        CHECK(budget.takeRetry(ServiceId("desk"), now));
    }
}

// Guards against an upstream that costs the same as its peers until each instance has measured it.
TEST_CASE("the speed by the evidence of all instances is a factor of the cost")
{
    SelectionFixture fixture;
    PaceLimits limits;
    limits.isEnabled = true;
    PaceMeter pace(limits);
    SelectionQuery query;
    query.candidates = fixture.table.findServing(fixture.service);
    CHECK(fixture.selector.pickUpstream(query, fixture.health, fixture.now)->value() == "a");
    pace.receiveStates({{fixture.table.find(UpstreamId("a"))->process(), 0.55, {}, 0, false}},
                       fixture.now);
    CHECK(fixture.selector.pickUpstream(query, fixture.health, fixture.now)->value() == "a");
    query.pace = &pace;
    CHECK(fixture.selector.pickUpstream(query, fixture.health, fixture.now)->value() != "a");
}
