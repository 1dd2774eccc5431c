#include "relay_fixture.hpp"

#include <algorithm>
#include <chrono>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const gateway::ServiceId rooms("rooms");

/// An upstream that accepts connections and answers nothing, to many requests.
std::vector<Script> answersNothing()
{
    constexpr std::size_t connections = 64;
    return {connections, Script{"", false, true}};
}

/// Tells an instance where upstreams answer without a caller's request.
void publishProbeTarget(RelayFixture &instance)
{
    instance.publishChange([](gateway::RoutingConfiguration &configuration) {
        configuration.services.front().probeTarget = "/health";
    });
}

/// An instance whose connections to all upstreams are accepted and never answered.
struct UnansweredInstance
{
    UnansweredInstance() { publishProbeTarget(this->instance); }

    ScriptedUpstream first{answersNothing()};
    ScriptedUpstream second{answersNothing()};
    RelayFixture instance{{&this->first, &this->second}};
};

/// Whether an instance knows that it is cut off, and whether that is for want of answers.
std::pair<bool, bool> cutState(const RelayFixture &instance)
{
    std::pair<bool, bool> state;
    instance.runOnLoop([&state](gateway::Gateway &own) {
        state = {own.forwardingDriver().isCutOff(rooms),
                 own.forwardingDriver().isUnanswered(rooms)};
    });
    return state;
}

std::size_t countRequests(const ScriptedUpstream &upstream, const std::string &part)
{
    const std::vector<std::string> requests = upstream.requests();
    return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [&part](const std::string &one) { return containsText(one, part); }));
}

} // namespace

// Guards against callers that wait to their deadlines because the connections of their instance are
// accepted and never answered, although other instances reach the upstreams.
TEST_CASE("an instance that no upstream answers sends requests through another one")
{
    UnansweredInstance behindCut;
    RelayFixture &cut = behindCut.instance;
    ScriptedUpstream upstream({Script{answer(200, "one")}, Script{answer(200, "two")}});
    RelayFixture helper({&upstream});
    cut.offerHelp({helper.instanceEndpoint()});

    SUBCASE("one that may be repeated and was not answered; the next ones at once")
    {
        const std::string first = cut.call(request("/quick/a"));
        CHECK(containsText(first, "HTTP/1.1 200"));
        CHECK(containsText(first, "one"));
        CHECK(cutState(cut) == std::pair(true, true));
        const auto begin = std::chrono::steady_clock::now();
        CHECK(containsText(cut.call(request("/once/b", "body")), "two"));
        CHECK(std::chrono::steady_clock::now() - begin < 1s);
        CHECK(cut.metrics.counter("bamboochute_unanswered_cuts_total").value() == 1);
    }
    SUBCASE("not one that may run once and was sent, but it shows the cut")
    {
        CHECK(containsText(cut.call(request("/once/a", "body")), "HTTP/1.1 504"));
        CHECK(upstream.requests().empty());
        CHECK(cutState(cut) == std::pair(true, true));
        CHECK(containsText(cut.call(request("/once/b", "body")), "one"));
    }
}

// Guards against refusals, and against a cut that is none, while all upstreams are silent to
// everybody.
TEST_CASE("requests to silent upstreams wait while no instance helps")
{
    UnansweredInstance alone;
    CHECK(containsText(alone.instance.call(request("/quick/a")), "HTTP/1.1 504"));
    CHECK(cutState(alone.instance) == std::pair(false, true));
    const auto begin = std::chrono::steady_clock::now();
    CHECK(containsText(alone.instance.call(request("/once/b", "body")), "HTTP/1.1 504"));
    CHECK(std::chrono::steady_clock::now() - begin >= 1900ms);
}

// Guards against an instance that takes one silent upstream for a cut.
TEST_CASE("a silent upstream beside a sound one is replaced, and probes are answered once")
{
    ScriptedUpstream silent(answersNothing());
    ScriptedUpstream sound(std::vector<Script>(8, Script{answer(200, "sound")}));
    RelayFixture instance({&silent, &sound});
    publishProbeTarget(instance);
    ScriptedUpstream unused({});
    RelayFixture helper({&unused});
    instance.offerHelp({helper.instanceEndpoint()});
    for (int i = 0; i < 3; ++i)
        CHECK(containsText(instance.call(request("/quick/a")), "sound"));
    CHECK(cutState(instance) == std::pair(false, false));
    CHECK(countRequests(sound, "GET /health ") <= 1);
    CHECK(countRequests(sound, "GET /quick/a ") == 3);
    CHECK(unused.requests().empty());
}

// Guards against an instance that offers help with upstreams that answer nobody.
TEST_CASE("where answers are needed, only an instance that is answered offers help")
{
    SUBCASE("connections alone don't show it")
    {
        UnansweredInstance other;
        CHECK(other.instance.askForHelp(true) == 0);
        CHECK(other.instance.askForHelp(false) > 0);
        CHECK(other.instance.askForHelp(true) == 0);
    }
    SUBCASE("an answered probe does")
    {
        ScriptedUpstream sound({Script{answer(503, "full")}});
        RelayFixture other({&sound});
        publishProbeTarget(other);
        CHECK(other.askForHelp(true) > 0);
        CHECK(countRequests(sound, "GET /health ") == 1);
    }
}

// Guards against requests to an upstream that asked for a pause, or said that it leaves, in its
// answer to a probe.
TEST_CASE("what an upstream says in its answer to a probe holds for requests as well")
{
    std::string said = "test-not-run: 1\r\n";
    SUBCASE("it asks for a pause")
    {
        said += "test-pause-ms: 5000\r\n";
    }
    SUBCASE("it leaves")
    {
        said += "test-leaving: 1\r\n";
    }
    ScriptedUpstream upstream({Script{answer(503, "full", said)}, Script{answer(200, "sent")}});
    RelayFixture instance({&upstream});
    publishProbeTarget(instance);
    CHECK(instance.askForHelp(true) > 0);
    CHECK(containsText(instance.call(request("/once/a", "body")), "HTTP/1.1 503"));
    CHECK(countRequests(upstream, "/once/a") == 0);
}
