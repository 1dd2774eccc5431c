#include "gateway/prompt_quarantine.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("drafting");

std::vector<PromptPartId> makeParts(const std::vector<std::string> &names)
{
    std::vector<PromptPartId> parts;
    parts.reserve(names.size());
    for (const std::string &name : names)
        parts.emplace_back(name);
    return parts;
}

/// Several instances' evidence at one of them, in virtual time.
struct Scene
{
    PromptQuarantine quarantine;
    TimePoint now{1000s};
    int crashes = 0;
    int requests = 0;

    /// A process ends under requests with these parts, a second after the one before.
    void crash(const std::vector<std::vector<std::string>> &victims, Duration after = 1s)
    {
        this->now += after;
        ++this->crashes;
        for (const std::vector<std::string> &parts : victims)
            this->report(fmt::format("r{}", ++this->requests), parts);
        this->now += 100ms;
        this->quarantine.evaluate(this->now);
    }

    void report(const std::string &request, const std::vector<std::string> &parts)
    {
        const BrokenRequest broken{{UpstreamId(fmt::format("u{}", this->crashes)), 7},
                                   {"127.0.0.1", 1},
                                   service,
                                   RequestId(request),
                                   makeParts(parts),
                                   {},
                                   {}};
        this->quarantine.recordCrash(this->quarantine.makeReport(broken, this->now), this->now);
    }

    void complete(const std::vector<std::string> &parts)
    {
        this->quarantine.recordCompletion(service, makeParts(parts), this->now);
    }

    bool refuses(const std::vector<std::string> &parts, bool mayTry = false)
    {
        return this->quarantine.isRefused(service, makeParts(parts), mayTry, this->now);
    }
};

} // namespace

TEST_CASE("a part that is in each of three crashes and was never answered is quarantined")
{
    Scene scene;
    scene.complete({"tenant", "guide"});
    scene.crash({{"tenant", "bad", "a"}});
    scene.crash({{"tenant", "bad", "b"}, {"tenant", "guide"}});
    CHECK_FALSE(scene.refuses({"tenant", "bad"}));
    scene.crash({{"bad"}, {"tenant", "other"}});
    CHECK(scene.refuses({"tenant", "bad", "new"}));

    SUBCASE("requests without it are served, whatever else they share with the broken ones")
    {
        CHECK_FALSE(scene.refuses({"tenant", "guide"}));
        CHECK_FALSE(scene.refuses({"tenant", "a"}));
        CHECK_FALSE(scene.refuses({"tenant", "other"}));
    }
    SUBCASE("at another service it is not refused")
    {
        CHECK_FALSE(scene.quarantine.isRefused(ServiceId("orders"), makeParts({"bad"}), false,
                                               scene.now));
    }
    SUBCASE("its further crashes are no evidence against the parts beside it")
    {
        for (int i = 0; i < 5; ++i)
            scene.crash({{"bad", "beside"}});
        CHECK_FALSE(scene.refuses({"beside"}));
    }
    SUBCASE("a second part is found while the first one is quarantined")
    {
        for (int i = 0; i < 3; ++i)
            scene.crash({{"tenant", "worse", std::to_string(i)}});
        CHECK(scene.refuses({"worse"}));
    }
    SUBCASE("requests that began before and are answered in full release it")
    {
        scene.complete({"bad"});
        scene.complete({"bad"});
        CHECK_FALSE(scene.refuses({"bad"}));
    }
}

TEST_CASE("a part is not quarantined for crashes that have another reason")
{
    Scene scene;

    SUBCASE("many upstreams end at the same time")
    {
        for (int i = 0; i < 12; ++i)
            scene.crash({{"tenant", "guide"}}, i == 0 ? 1s : -99ms);
        CHECK_FALSE(scene.refuses({"tenant"}));
    }
    SUBCASE("requests with the part were answered in full, here or at another instance")
    {
        scene.complete({"tenant"});
        scene.complete({"tenant"});
        for (int i = 0; i < 3; ++i)
            scene.crash({{"tenant", std::to_string(i)}});
        CHECK_FALSE(scene.refuses({"tenant"}));
        for (int i = 0; i < 3; ++i) {
            ++scene.crashes;
            scene.now += 1s;
            scene.quarantine.recordCrash({{UpstreamId(fmt::format("u{}", scene.crashes)), 7},
                                          service,
                                          RequestId(fmt::format("x{}", i)),
                                          {{PromptPartId("elsewhere"), 9}}},
                                         scene.now);
        }
        scene.now += 1s;
        scene.quarantine.evaluate(scene.now);
        CHECK_FALSE(scene.refuses({"elsewhere"}));
    }
    SUBCASE("a single request broke at each of its upstreams")
    {
        for (int i = 0; i < 3; ++i) {
            ++scene.crashes;
            scene.now += 1s;
            scene.report("same", {"part"});
            scene.now += 100ms;
            scene.quarantine.evaluate(scene.now);
        }
        CHECK_FALSE(scene.refuses({"part"}));
    }
    SUBCASE("most crashes of the service had no request with the part")
    {
        for (int i = 0; i < 14; ++i)
            scene.crash({{i % 6 == 0 ? "part" : "p" + std::to_string(i)}});
        CHECK_FALSE(scene.refuses({"part"}));
    }
    SUBCASE("the crashes are further apart than evidence counts")
    {
        for (int i = 0; i < 6; ++i)
            scene.crash({{"part", std::to_string(i)}}, 200s);
        CHECK_FALSE(scene.refuses({"part"}));
    }
    SUBCASE("reports of one crash come from several instances")
    {
        scene.crash({{"part"}, {"part"}, {"part"}, {"part"}});
        CHECK_FALSE(scene.refuses({"part"}));
    }
}

TEST_CASE("a part that crashes most upstreams, but not all, is quarantined")
{
    Scene scene;
    for (int i = 0; i < 10 && !scene.refuses({"bad"}); ++i) {
        scene.complete({"tenant", "guide"});
        if (i % 3 == 0)
            scene.complete({"tenant", "bad", "answered"});
        else
            scene.crash({{"tenant", "bad", std::to_string(i)}});
    }
    CHECK(scene.refuses({"bad"}));
    CHECK_FALSE(scene.refuses({"tenant"}));
}

TEST_CASE("a part is quarantined although other upstreams end at the same time")
{
    Scene scene;
    for (int i = 0; i < 3; ++i) {
        scene.crash({{"bad", std::to_string(i)}});
        for (int other = 0; other < 6; ++other)
            scene.crash({{"x" + std::to_string(10 * i + other)}}, other == 0 ? 5s : -99ms);
    }
    CHECK(scene.refuses({"bad"}));
}

TEST_CASE("of parts that are in equally many crashes none is quarantined until they differ")
{
    Scene scene;
    for (int i = 0; i < 3; ++i)
        scene.crash({{"bad"}, {"beside", std::to_string(i)}});
    CHECK_FALSE(scene.refuses({"bad"}));
    CHECK_FALSE(scene.refuses({"beside"}));

    SUBCASE("the next crash has only one of them")
    {
        scene.crash({{"bad"}});
        CHECK(scene.refuses({"bad"}));
        CHECK_FALSE(scene.refuses({"beside"}));
    }
    SUBCASE("after five crashes the more specific one is quarantined")
    {
        scene.crash({{"bad"}, {"beside"}});
        scene.crash({{"bad"}, {"beside"}, {"beside"}});
        CHECK(scene.refuses({"bad"}));
        CHECK_FALSE(scene.refuses({"beside"}));
    }
}

TEST_CASE("a part is released when another part explains all of its crashes")
{
    Scene scene;
    // The reports of the request with the part to blame are lost at first.
    scene.crash({{"beside", "a"}});
    scene.crash({{"beside", "b"}});
    scene.crash({{"beside", "c"}});
    REQUIRE(scene.refuses({"beside"}));
    for (int i = 0; i < 3; ++i) {
        scene.crashes = i;
        ++scene.crashes;
        scene.report(fmt::format("late{}", i), {"bad"});
    }
    scene.crashes = 3;
    for (int i = 0; i < 3; ++i)
        scene.crash({{"bad"}});
    CHECK(scene.refuses({"bad"}));
    CHECK_FALSE(scene.refuses({"beside"}));
}

TEST_CASE("when its time is over, one request with a quarantined part is tried")
{
    Scene scene;
    const std::vector<PromptPartId> bad = makeParts({"bad"});
    const auto admit = [&](bool mayTry) {
        return scene.quarantine.admit(service, bad, mayTry, scene.now).kind;
    };
    using Kind = QuarantineDecision::Kind;
    for (int i = 0; i < 3; ++i)
        scene.crash({{"bad", std::to_string(i)}});
    const QuarantineDecision refusal = scene.quarantine.admit(service, bad, true, scene.now);
    REQUIRE(refusal.kind == Kind::Refused);
    CHECK(refusal.part == PromptPartId("bad"));
    CHECK(refusal.retryAfter == 120s);
    scene.now += 121s;
    CHECK(admit(false) == Kind::Refused);
    CHECK(admit(true) == Kind::Trial);
    CHECK(admit(true) == Kind::Refused);

    SUBCASE("a complete answer releases the part")
    {
        scene.complete({"bad"});
        CHECK(admit(false) == Kind::Allowed);
        scene.crash({{"bad"}});
        CHECK(admit(false) == Kind::Allowed);
    }
    SUBCASE("a crash begins a quarantine of twice the length")
    {
        scene.crash({{"bad"}});
        const QuarantineDecision longer = scene.quarantine.admit(service, bad, true, scene.now);
        CHECK(longer.kind == Kind::Refused);
        CHECK(longer.retryAfter > 235s);
    }
    SUBCASE("without a clear result another one is tried later")
    {
        scene.now += 31s;
        CHECK(admit(true) == Kind::Trial);
    }
}

TEST_CASE("instances that exchange their states come to the newest one")
{
    Scene first;
    for (int i = 0; i < 3; ++i)
        first.crash({{"bad", std::to_string(i)}});
    Scene second;
    second.now = TimePoint(5s);
    const auto exchange = [](Scene &from, Scene &to) {
        for (const QuarantineEntry &entry : from.quarantine.entries(from.now))
            to.quarantine.merge(entry, to.now);
    };
    int changes = 0;
    second.quarantine.onChange = [&](const QuarantineEntry &, QuarantineCause cause) {
        CHECK(cause == QuarantineCause::Learned);
        ++changes;
    };
    exchange(first, second);
    exchange(first, second);
    CHECK(second.refuses({"bad"}));
    CHECK(changes == 1);

    SUBCASE("a release replaces the quarantine, and an old message does not bring it back")
    {
        const std::vector<QuarantineEntry> old = first.quarantine.entries(first.now);
        first.complete({"bad"});
        first.complete({"bad"});
        exchange(first, second);
        CHECK_FALSE(second.refuses({"bad"}));
        second.quarantine.merge(old.front(), second.now);
        CHECK_FALSE(second.refuses({"bad"}));
    }
    SUBCASE("messages that circulate don't prolong the quarantine")
    {
        for (int i = 0; i < 100; ++i) {
            const std::vector<QuarantineEntry> sent = first.quarantine.entries(first.now);
            first.now += 500ms;
            second.now += 500ms;
            second.quarantine.merge(sent.front(), second.now);
            exchange(second, first);
        }
        first.now += 72s;
        CHECK_FALSE(first.refuses({"bad"}, true));
    }
    SUBCASE("an absurd remaining time is limited")
    {
        second.quarantine.merge({{service, PromptPartId("x")}, 1, true, 100000h, 3}, second.now);
        second.now += 3601s;
        CHECK_FALSE(second.refuses({"x"}, true));
    }
}
