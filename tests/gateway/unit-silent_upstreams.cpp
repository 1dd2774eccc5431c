#include "relay_fixture.hpp"

#include <algorithm>
#include <memory>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

/// Longer than an upstream of the routes /quick/ and /talk/ is silent before another one is asked.
constexpr Duration silence = 400ms;

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string lastChunk = "0\r\n\r\n";

/// An upstream that sends the first part of its answer, falls silent and goes on to the end.
Script fallsSilent(const std::string &begin, const std::string &rest)
{
    Script script;
    script.answer = begin;
    script.delayBeforeRest = silence;
    script.rest = rest;
    return script;
}

/// An upstream that says nothing until the peer closes the connection.
Script staysSilent()
{
    Script script;
    script.isSilent = true;
    return script;
}

/// Scripts of upstreams that don't serve the request: one is full, one breaks the connection, one
/// answers another request, and the last one has ended.
std::vector<std::vector<Script>> unwillingUpstreams()
{
    return {std::vector<Script>(8, Script{answer(503, "full", "test-not-run: 1\r\n")}),
            {Script{"", true}},
            {Script{"HTTP/1.1 200 OK\r\ntest-id: other\r\nContent-Length: 0\r\n\r\n"}},
            {}};
}

/// Returns the body of an answer; "incomplete" when its last chunk is missing.
std::string wholeBody(const std::string &answered)
{
    const std::size_t end = answered.find("\r\n\r\n");
    if (end == std::string::npos)
        return "incomplete";
    std::string rest = answered.substr(end + 4);
    if (!containsText(answered, "Transfer-Encoding: chunked"))
        return rest;
    std::string body;
    while (!rest.empty()) {
        const std::size_t size = std::stoul(rest, nullptr, 16);
        if (size == 0)
            return body;
        const std::size_t begin = rest.find("\r\n") + 2;
        body += rest.substr(begin, size);
        rest = rest.substr(begin + size + 2);
    }
    return "incomplete";
}

} // namespace

// Guards against an answer that is given up because its upstream is silent, though no other
// upstream takes the request.
TEST_CASE("an upstream that falls silent and goes on answers in full when no other one takes the "
          "request")
{
    Script script;
    std::string path = "/talk/";
    std::string expected = firstEvent + secondEvent;
    SUBCASE("silent before the head of a plain answer")
    {
        path = "/quick/";
        expected = "status";
        script = fallsSilent("", answer(200, "status"));
    }
    SUBCASE("silent between the head and the body of a plain answer")
    {
        path = "/quick/";
        expected = "status";
        const std::string whole = answer(200, "status");
        script = fallsSilent(whole.substr(0, whole.size() - 6), "status");
    }
    SUBCASE("silent before the head of a stream")
    {
        script = fallsSilent("", streamAnswer(expected, true));
    }
    SUBCASE("silent between the head and the first event")
    {
        script = fallsSilent(streamHead(), chunk(expected) + lastChunk);
    }
    SUBCASE("silent between two events")
    {
        script = fallsSilent(streamHead() + chunk(firstEvent), chunk(secondEvent) + lastChunk);
    }
    SUBCASE("silent inside an event")
    {
        script = fallsSilent(streamHead() + chunk(firstEvent) + chunk("id: 2\nda"),
                             chunk("ta: b\n\n") + lastChunk);
    }
    for (const std::vector<Script> &others : unwillingUpstreams()) {
        const std::string refusal = others.empty() ? "none" : others.front().answer;
        CAPTURE(refusal);
        ScriptedUpstream silent({script});
        auto other = std::make_unique<ScriptedUpstream>(others);
        RelayFixture fixture({&silent, other.get()});
        if (others.empty())
            other.reset();
        const std::string got = fixture.call(request(path));
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(wholeBody(got) == expected);
        CHECK(fixture.requestEnds("answered") == 1);
    }
}

TEST_CASE("a silent upstream is given up once another one has taken the request")
{
    SUBCASE("before its answer")
    {
        ScriptedUpstream silent({staysSilent()});
        ScriptedUpstream other({{answer(200, "status")}});
        RelayFixture fixture({&silent, &other});
        CHECK(wholeBody(fixture.call(request("/quick/"))) == "status");
        CHECK(fixture.requestEnds("answered") == 1);
        CHECK(silent.waitForAbandoned(1) == 1);
    }
    SUBCASE("in the middle of a stream")
    {
        Script begun;
        begun.answer = streamHead() + chunk(firstEvent) + chunk("id: 2\nda");
        begun.isSilentAfterwards = true;
        ScriptedUpstream silent({begun});
        ScriptedUpstream other({{streamAnswer(secondEvent, true)}});
        RelayFixture fixture({&silent, &other});
        CHECK(wholeBody(fixture.call(request("/talk/"))) == firstEvent + secondEvent);
        CHECK(containsText(other.requests().at(0), "test-last-event: 1\r\n"));
    }
    SUBCASE("also when the other one takes a while to answer")
    {
        Script slow;
        slow.delay = silence;
        slow.answer = answer(200, "status");
        ScriptedUpstream silent({staysSilent()});
        ScriptedUpstream other({slow});
        RelayFixture fixture({&silent, &other});
        CHECK(wholeBody(fixture.call(request("/quick/"))) == "status");
        CHECK(silent.waitForAbandoned(1) == 1);
    }
}

TEST_CASE("an upstream that goes on while another one is asked keeps the request")
{
    Script late = fallsSilent("", answer(200, "first"));
    late.delayBeforeRest = 250ms;
    Script slow;
    slow.delay = silence;
    slow.answer = answer(200, "second");
    ScriptedUpstream silent({late});
    ScriptedUpstream other({slow});
    RelayFixture fixture({&silent, &other});
    CHECK(wholeBody(fixture.call(request("/quick/"))) == "first");
}

// Guards against a request that is lost because its first upstream ends while another one is asked.
TEST_CASE("an upstream that ends while another one is asked leaves the request to it")
{
    Script ends;
    ends.delay = 250ms;
    ends.isReset = true;
    Script slow;
    slow.delay = silence;
    slow.answer = answer(200, "second");
    ScriptedUpstream silent({ends});
    ScriptedUpstream other({slow});
    RelayFixture fixture({&silent, &other});
    CHECK(wholeBody(fixture.call(request("/quick/"))) == "second");
}

// Guards against an answer that is given up for an upstream that takes the bytes of the request and
// says nothing either.
TEST_CASE("an upstream that goes on is not given up for another one that is silent as well")
{
    Script late = fallsSilent("", answer(200, "first"));
    late.delayBeforeRest = 900ms;
    std::string path = "/quick/";
    std::string expected = "first";
    SUBCASE("a plain answer") {}
    SUBCASE("a stream that has not begun")
    {
        path = "/talk/";
        expected = firstEvent + secondEvent;
        late.rest = streamAnswer(expected, true);
    }
    ScriptedUpstream silent({late});
    ScriptedUpstream other({staysSilent()});
    RelayFixture fixture({&silent, &other});
    CHECK(wholeBody(fixture.call(request(path))) == expected);
}

// Guards against work that goes on for a caller that has left while another upstream was asked.
TEST_CASE("both upstreams are told when the caller leaves while another one is asked")
{
    ScriptedUpstream silent({staysSilent()});
    ScriptedUpstream other({staysSilent()});
    RelayFixture fixture({&silent, &other});
    SUBCASE("the caller disconnects")
    {
        fixture.callAndDisconnect(request("/quick/"), 300ms);
    }
    SUBCASE("the process stops")
    {
        const std::string got
                = fixture.callAndStop(request("/quick/"), [&] { return other.waitForRequests(1); });
        CHECK(got.starts_with("HTTP/1.1 502 "));
    }
    const TimePoint ended = SteadyClock().now();
    fixture.waitForIdle();
    CHECK(SteadyClock().now() - ended < 500ms);
    CHECK(silent.waitForAbandoned(1) == 1);
    CHECK(other.waitForAbandoned(1) == 1);
}

// Guards against an upstream that is taken for silent while the bytes of a long event arrive.
TEST_CASE("an upstream that sends a long event slowly is not silent")
{
    Script slow;
    slow.answer = streamHead() + chunk(firstEvent);
    slow.pieces = {chunk("id: 2"), chunk("\nda"), chunk("ta: "), chunk("b\n\n") + lastChunk};
    slow.pieceDelay = 100ms;
    ScriptedUpstream upstream({slow});
    ScriptedUpstream other({{streamAnswer(secondEvent, true)}});
    RelayFixture fixture({&upstream, &other});
    CHECK(wholeBody(fixture.call(request("/talk/"))) == firstEvent + secondEvent);
    CHECK(other.requests().empty());
}

// Guards against one silent request that uses up the retries of a service.
TEST_CASE("an upstream that refuses the request of a silent one is not asked for it again")
{
    Script late = fallsSilent("", answer(200, "status"));
    late.delayBeforeRest = 1200ms;
    ScriptedUpstream silent({late});
    ScriptedUpstream full(std::vector<Script>(
            8, Script{answer(503, "full", "test-not-run: 1\r\ntest-pause-ms: 1\r\n")}));
    RelayFixture fixture({&silent, &full});
    CHECK(wholeBody(fixture.call(request("/quick/"))) == "status");
    CHECK(full.requests().size() == 1);
}

TEST_CASE("a request that may run once stays at its silent upstream")
{
    ScriptedUpstream silent({fallsSilent("", answer(200, "booked"))});
    ScriptedUpstream other({{answer(200, "booked twice")}});
    RelayFixture fixture({&silent, &other});
    CHECK(wholeBody(fixture.call(request("/once/", "pay"))) == "booked");
    CHECK(other.requests().empty());
}

namespace {

/// A stream that falls silent after its first event and goes on 900 ms later.
Script pausesInStream()
{
    Script script = fallsSilent(streamHead() + chunk(firstEvent), chunk(secondEvent) + lastChunk);
    script.delayBeforeRest = 900ms;
    return script;
}

/// Upstreams that say nothing for so long that they count as having taken a stream, and then don't
/// serve it: one is full, one breaks the connection, and one fails.
std::vector<Script> lateUnwillingUpstreams()
{
    Script full{answer(503, "full", "test-not-run: 1\r\n")};
    Script breaks{"", true};
    Script fails{answer(500, "failed")};
    for (Script *script : {&full, &breaks, &fails})
        script->delay = 600ms;
    return {full, breaks, fails};
}

/// An upstream that breaks the connection before it has sent a whole event.
Script breaksWithoutEvent()
{
    Script script{streamHead() + chunk("id: 2\nda"), true};
    return script;
}

} // namespace

// Guards against a stream that is cut because its silent upstream was given up for one that refuses
// it later.
TEST_CASE(
        "a stream goes back to its silent upstream if the one that has taken it does not serve it")
{
    std::vector<Script> others = lateUnwillingUpstreams();
    others.push_back(breaksWithoutEvent());
    for (const Script &script : others) {
        CAPTURE(script.answer);
        ScriptedUpstream silent({pausesInStream(), {streamAnswer(secondEvent, true)}});
        ScriptedUpstream other(std::vector<Script>(8, script));
        RelayFixture fixture({&silent, &other});
        CHECK(wholeBody(fixture.call(request("/talk/"))) == firstEvent + secondEvent);
        CHECK(fixture.requestEnds("answered") == 1);
        CHECK(fixture.requestEnds("cut") == 0);
        const std::vector<std::string> asked = other.requests();
        CHECK(std::count_if(asked.begin(), asked.end(),
                            [](const std::string &text) { return containsText(text, "/talk/"); })
              == 1);
    }
}

// Guards against a stream that is cut because no retry is left after its silent upstream was given
// up.
TEST_CASE("a stream stays at its silent upstream if it may not be sent again after another one")
{
    for (const Script &script : lateUnwillingUpstreams()) {
        CAPTURE(script.answer);
        ScriptedUpstream silent({pausesInStream()});
        ScriptedUpstream other({script});
        RelayFixture fixture({&silent, &other});
        fixture.runOnLoop([](gateway::Gateway &gateway) {
            const TimePoint now = SteadyClock().now();
            while (gateway.budget.remaining(gateway::ServiceId("rooms"), now) >= 2)
                gateway.budget.takeRetry(gateway::ServiceId("rooms"), now);
        });
        CHECK(wholeBody(fixture.call(request("/talk/"))) == firstEvent + secondEvent);
        CHECK(fixture.requestEnds("answered") == 1);
    }
}
