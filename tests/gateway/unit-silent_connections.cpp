// One test for each kind of connection of the gateway in the table of docs/operate/platform.md,
// with the time that finds it silent.
#include "relay_fixture.hpp"

#include <chrono>
#include <thread>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

/// Left for the threads of a test to run.
constexpr Duration margin = 500ms;

Script staysSilent()
{
    Script script;
    script.isSilent = true;
    return script;
}

Script fallsSilentAfter(const std::string &begin)
{
    Script script;
    script.answer = begin;
    script.isSilentAfterwards = true;
    return script;
}

template<typename Function>
Duration timeOf(const Function &function)
{
    const TimePoint begin = SteadyClock().now();
    function();
    return SteadyClock().now() - begin;
}

} // namespace

TEST_CASE("from callers, silent while idle: closed after the idle time")
{
    ScriptedUpstream upstream({{answer(200, "one")}});
    RelayFixture fixture({&upstream});
    fixture.publishLimits({.headerTimeout = 3s, .idleTimeout = 300ms});
    KeptConnection connection(fixture);
    CHECK(connection.call(keptRequest("/plain/")).ends_with("one"));
    std::string rest = "none";
    const Duration taken = timeOf([&] { rest = connection.readAnswer(); });
    CHECK(rest.empty());
    CHECK(taken > 200ms);
    CHECK(taken < 300ms + margin);
}

TEST_CASE("from callers, silent in the middle of a request: closed after the header time")
{
    ScriptedUpstream upstream({});
    RelayFixture fixture({&upstream});
    fixture.publishLimits({.headerTimeout = 300ms, .idleTimeout = 5s});
    const std::string whole = keptRequest("/plain/", "body");
    KeptConnection connection(fixture);
    SUBCASE("in its head")
    {
        connection.send(whole.substr(0, 20));
    }
    SUBCASE("in its body")
    {
        connection.send(whole.substr(0, whole.size() - 2));
    }
    std::string got;
    CHECK(timeOf([&] { got = connection.readAnswer(); }) < 300ms + 1s + margin);
    CHECK_FALSE(got.starts_with("HTTP/1.1 200 "));
    CHECK(upstream.requests().empty());
}

TEST_CASE("from callers, silent in the middle of an answer: closed after a second for a write")
{
    const std::string body(7 << 20, 'x');
    ScriptedUpstream upstream({{answer(200, body)}});
    RelayFixture fixture({&upstream});
    const std::string got
            = fixture.callAndReadLate(request("/plain/", {}, "test-patience-ms: 300\r\n"), 2500ms);
    CHECK(got.size() < body.size());
    CHECK(fixture.requestEnds("unread") == 1);
}

TEST_CASE("to upstreams, plain requests that may be repeated: another upstream is asked")
{
    Script script;
    SUBCASE("silent in the middle of the call")
    {
        script = staysSilent();
    }
    SUBCASE("silent in the middle of the answer")
    {
        script = fallsSilentAfter(answer(200, "whole").substr(0, 40));
    }
    ScriptedUpstream silent({script});
    ScriptedUpstream other({{answer(200, "other")}});
    RelayFixture fixture({&silent, &other});
    std::string got;
    CHECK(timeOf([&] { got = fixture.call(request("/quick/")); }) < 500ms + margin);
    CHECK(got.ends_with("other"));
}

TEST_CASE("to upstreams, streams that may be resumed: another upstream goes on")
{
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    Script script;
    SUBCASE("silent in the middle of the call")
    {
        script = staysSilent();
    }
    SUBCASE("silent in the middle of the answer")
    {
        script = fallsSilentAfter(streamHead() + chunk(first));
    }
    ScriptedUpstream silent({script});
    ScriptedUpstream other({{streamAnswer(second, true)}});
    RelayFixture fixture({&silent, &other});
    std::string got;
    CHECK(timeOf([&] { got = fixture.call(request("/talk/")); }) < 1s + margin);
    CHECK(containsText(got, "data: b"));
    CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE("to upstreams, requests that may run once: 504 at the request's deadline")
{
    Script script;
    SUBCASE("silent in the middle of the call")
    {
        script = staysSilent();
    }
    SUBCASE("silent in the middle of the answer")
    {
        script = fallsSilentAfter(answer(200, "whole").substr(0, 40));
    }
    ScriptedUpstream silent({script});
    ScriptedUpstream other({{answer(200, "twice")}});
    RelayFixture fixture({&silent, &other});
    std::string got;
    const Duration taken = timeOf(
            [&] { got = fixture.call(request("/once/", "pay", "test-patience-ms: 400\r\n")); });
    CHECK(got.starts_with("HTTP/1.1 504 "));
    CHECK(taken > 300ms);
    CHECK(taken < 400ms + margin);
    CHECK(other.requests().empty());
}

// Guards against requests behind a cut that wait to their deadline because the connection to the
// instance that helps has fallen silent, while another one could answer them.
TEST_CASE(
        "to helpers: another one is asked when the connection falls silent in the middle of a call")
{
    RefusingUpstream refusing;
    RelayFixture cut({&refusing});
    std::vector<Script> never(8, staysSilent());
    ScriptedUpstream silentHelper(never);
    const std::string events = "id: 1\ndata: a\n\n";
    std::string path = "/quick/";
    std::string served = answer(200, "served");
    SUBCASE("a request that may be repeated") {}
    SUBCASE("a stream that may be resumed")
    {
        path = "/talk/";
        served = streamAnswer(events, true);
    }
    ScriptedUpstream upstream(std::vector<Script>(8, Script{served}));
    RelayFixture helper({&upstream});
    cut.offerHelp({silentHelper.endpoint(), helper.instanceEndpoint()});
    // Finds out that it is cut off.
    cut.call(request(path, {}, "test-patience-ms: 1000\r\n"));
    std::this_thread::sleep_for(500ms);
    for (int i = 0; i < 4; ++i) {
        const std::string got = cut.call(request(path, {}, "test-patience-ms: 2000\r\n"));
        CHECK(got.starts_with("HTTP/1.1 200 "));
    }
    CHECK_FALSE(silentHelper.requests().empty());
}
