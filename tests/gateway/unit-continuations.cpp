#include "forwarding/forwarded_request.hpp"
#include "relay_fixture.hpp"

#include <chrono>
#include <future>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvents = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";
const std::string lastChunk = "0\r\n\r\n";
/// Part of everything that must not reach a caller.
const std::string foreign = "FOREIGN";

/// Builds an answer's head up to its framing.
std::string beginHead(int status, const std::string &type, const std::string &headers = {})
{
    return fmt::format("HTTP/1.1 {} Status\r\ntest-id: {{id}}\r\ntest-signature: s\r\n"
                       "Content-Type: {}\r\n{}: v1\r\n{}",
                       status, type, forwarding::streamVersionHeader, headers);
}

/// Builds the head and a first chunk of a stream.
std::string beginStream(const std::string &text)
{
    return beginHead(200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n" + chunk(text);
}

std::string wholeStream(const std::string &text)
{
    return beginHead(200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n"
           + (text.empty() ? "" : chunk(text)) + lastChunk;
}

std::string withLength(std::string head, const std::string &body)
{
    return std::move(head) + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string foreignEvent(const std::string &id)
{
    return fmt::format("id: {}\ndata: {}\n\n", id, foreign);
}

/// An answer that does not continue the stream.
struct Defect
{
    std::string name;
    std::string answer;
};

/// Answers whose heads are none of a continuation.
std::vector<Defect> defectiveHeads()
{
    const std::string stream = "text/event-stream";
    const std::string page = foreign + "\n\n" + foreignEvent("3");
    std::string unsignedStream = wholeStream(foreignEvent("3"));
    unsignedStream.erase(unsignedStream.find("test-signature: s\r\n"), 19);
    std::string otherStream = wholeStream(foreignEvent("3"));
    otherStream.replace(otherStream.find("{id}"), 4, "other");
    return {{"500", withLength(beginHead(500, "text/plain"), foreign)},
            {"500 in chunks", beginHead(500, "text/plain") + "Transfer-Encoding: chunked\r\n\r\n"
                                      + chunk(page) + lastChunk},
            {"500 without a length", beginHead(500, "text/plain") + "\r\n" + page},
            {"500 cut short", beginHead(500, "text/plain") + "Content-Length: 100\r\n\r\n" + page},
            {"500 with the type of a stream", withLength(beginHead(500, stream), page)},
            {"500 after an informational head",
             "HTTP/1.1 100 Continue\r\n\r\n" + withLength(beginHead(500, "text/plain"), page)},
            {"503", withLength(beginHead(503, "text/plain"), foreign)},
            {"404", withLength(beginHead(404, "text/plain"), foreign)},
            {"404 with the type of a stream", withLength(beginHead(404, stream), page)},
            {"302", withLength(beginHead(302, stream, "Location: /elsewhere\r\n"), page)},
            {"another success", withLength(beginHead(206, stream), page)},
            {"a page", withLength(beginHead(200, "text/html"), page)},
            {"a page in chunks", beginHead(200, "text/html; charset=utf-8")
                                         + "Transfer-Encoding: chunked\r\n\r\n" + chunk(page)
                                         + lastChunk},
            {"an encoded stream",
             withLength(beginHead(200, stream, "Content-Encoding: gzip\r\n"), page)},
            {"an unsigned stream", unsignedStream},
            {"the stream of another request", otherStream}};
}

/// Answers with the head of a continuation and other events.
std::vector<Defect> defectiveEvents()
{
    const std::string noIds = fmt::format("data: {}\n\n", foreign);
    return {{"events without ids", wholeStream(noIds + noIds)},
            {"events from the first one on",
             wholeStream(foreignEvent("1") + foreignEvent("2") + foreignEvent("3"))},
            {"the last event again", wholeStream(foreignEvent("2") + foreignEvent("3"))},
            {"a missing event", wholeStream(foreignEvent("4") + foreignEvent("5"))},
            {"an id that is no number", wholeStream(foreignEvent("3x"))},
            {"a page with the type of a stream", wholeStream(foreign + "\n\n")},
            {"a missing event without a length",
             beginHead(200, "text/event-stream") + "\r\n" + foreignEvent("4")}};
}

std::vector<Defect> allDefects()
{
    std::vector<Defect> defects = defectiveHeads();
    for (const Defect &defect : defectiveEvents())
        defects.push_back(defect);
    return defects;
}

/// Upstreams that refuse every connection, as behind a cut, and an instance with no others.
struct CutInstance
{
    RefusingUpstream first;
    RefusingUpstream second;
    RefusingUpstream third;
    RelayFixture instance{{&this->first, &this->second, &this->third}};
};

/// Lets requests of all routes be sent to three upstreams.
/// @param maxEventGap longest time between two events of a stream
void allowThreeUpstreams(RelayFixture &fixture, Duration maxEventGap = 1s)
{
    fixture.publishChange([maxEventGap](gateway::RoutingConfiguration &configuration) {
        for (gateway::Route &route : configuration.routes) {
            route.maxUpstreams = 3;
            route.maxEventGap = maxEventGap;
        }
    });
}

/// Returns the decoded body of a chunked answer; "cut: " and what came when its last chunk is
/// missing.
std::string decodeBody(const std::string &answered)
{
    if (!answered.starts_with("HTTP/1.1 200 "))
        return "not 200";
    const std::size_t end = answered.find("\r\n\r\n");
    std::string rest = end == std::string::npos ? std::string() : answered.substr(end + 4);
    std::string body;
    while (!rest.empty()) {
        const std::size_t size = std::stoul(rest, nullptr, 16);
        if (size == 0)
            return body;
        body += rest.substr(rest.find("\r\n") + 2, size);
        rest.erase(0, rest.find("\r\n") + 2 + size + 2);
    }
    return "cut: " + body;
}

std::string takeUp(const std::string &path = "/stream/")
{
    return request(path, {}, "test-last-event: 2\r\n");
}

/// An upstream of a helper or a helper, which answers once a further helper was offered.
class AnswersLater
{
public:
    /// @param isReset whether it then resets the connection
    AnswersLater(const std::string &answer, bool isReset)
        : server({this->makeScript(answer, isReset)})
    {}

    ~AnswersLater()
    {
        if (this->offering.joinable())
            this->offering.join();
    }

    /// Has the further helper offered once this one was asked.
    void offerNext(RelayFixture &asking, const Endpoint &helper)
    {
        this->offering = std::thread([this, &asking, helper] {
            this->server.waitForRequests(1);
            asking.runOnLoop([&](gateway::Gateway &own) {
                own.forwardingDriver().receiveOffer(helper, {"rooms", {}, 8});
            });
            this->isOffered.set_value();
        });
    }

private:
    Script makeScript(const std::string &answer, bool isReset)
    {
        Script script{answer, isReset};
        script.answerAfter = this->isOffered.get_future().share();
        return script;
    }

    std::promise<void> isOffered;
    std::thread offering;

public:
    ScriptedUpstream server;
};

} // namespace

// Guards against an answer that does not continue a broken stream reaching the caller: pages,
// events without ids, events that come twice or are missing, and ends that were none.
TEST_CASE("after a break, only what continues the stream reaches the caller")
{
    SUBCASE("a third upstream goes on with it")
    {
        for (const Defect &defect : allDefects()) {
            CAPTURE(defect.name);
            ScriptedUpstream breaks({{beginStream(firstEvents), true}});
            ScriptedUpstream defective({{defect.answer}, {defect.answer}});
            ScriptedUpstream sound({{wholeStream(lastEvents)}, {wholeStream(lastEvents)}});
            RelayFixture fixture({&breaks, &sound, &defective});
            allowThreeUpstreams(fixture);
            const std::string got = fixture.call(request("/stream/"));
            CHECK(decodeBody(got) == firstEvents + lastEvents);
            CHECK_FALSE(containsText(got, foreign));
            CHECK(fixture.requestEnds("answered") == 1);
            CHECK(defective.requests().size() == 1);
        }
    }
    SUBCASE("it is cut if no other one may be asked")
    {
        for (const Defect &defect : allDefects()) {
            CAPTURE(defect.name);
            ScriptedUpstream breaks({{beginStream(firstEvents), true}});
            ScriptedUpstream defective({{defect.answer}, {defect.answer}});
            RelayFixture fixture({&breaks, &defective});
            allowThreeUpstreams(fixture);
            const std::string got = fixture.call(request("/stream/"));
            CHECK(decodeBody(got) == "cut: " + firstEvents);
            CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
            CHECK_FALSE(containsText(got, foreign));
            CHECK(defective.requests().size() == 1);
            CHECK(fixture.requestEnds("cut") == 1);
        }
    }
}

TEST_CASE("what a defective continuation sent before its defect reaches the caller once")
{
    const std::string third = "id: 3\ndata: c\n\n";
    ScriptedUpstream breaks({{beginStream(firstEvents), true}});
    ScriptedUpstream defective({{wholeStream(third + foreignEvent("3") + foreignEvent("4"))}});
    ScriptedUpstream sound({{wholeStream("id: 4\ndata: d\n\n")}});
    RelayFixture fixture({&breaks, &sound, &defective});
    allowThreeUpstreams(fixture);
    const std::string got = fixture.call(request("/stream/"));
    CHECK_FALSE(containsText(got, foreign));
    REQUIRE(sound.requests().size() == 1);
    const bool isSoundLast = containsText(sound.requests().front(), "test-last-event: 3\r\n");
    CHECK(decodeBody(got)
          == (isSoundLast ? firstEvents + lastEvents : "cut: " + firstEvents + third));
}

// Guards against a silent upstream being replaced by one that does not continue its stream.
TEST_CASE("for a silent upstream, only what continues the stream reaches the caller")
{
    Script silent{beginStream(firstEvents)};
    silent.delayBeforeRest = 800ms;
    silent.rest = chunk(lastEvents) + lastChunk;
    std::vector<Defect> defects = defectiveEvents();
    for (const Defect &defect : defectiveHeads()) {
        const bool isWanted
                = defect.name == "500" || defect.name == "302" || defect.name == "a page";
        if (isWanted)
            defects.push_back(defect);
    }
    for (const Defect &defect : defects) {
        CAPTURE(defect.name);
        // It goes on at last, or is asked once more.
        ScriptedUpstream falls({silent, {wholeStream(lastEvents)}});
        ScriptedUpstream defective({{defect.answer}});
        RelayFixture fixture({&falls, &defective});
        allowThreeUpstreams(fixture, 50ms);
        const std::string got = fixture.call(request("/stream/"));
        CHECK(decodeBody(got) == firstEvents + lastEvents);
        CHECK_FALSE(containsText(got, foreign));
        CHECK(defective.requests().size() == 1);
    }
}

// Guards against an instance passing on what another one, which may not check it, relays as the
// continuation of a stream.
TEST_CASE("through another instance, only what continues the stream reaches the caller")
{
    for (const Defect &defect : allDefects()) {
        CAPTURE(defect.name);
        CutInstance behindCut;
        RelayFixture &cut = behindCut.instance;
        allowThreeUpstreams(cut);
        AnswersLater first(beginStream(firstEvents), true);
        AnswersLater relaying(defect.answer, false);
        ScriptedUpstream sound({{wholeStream(lastEvents)}});
        cut.offerHelp({first.server.endpoint()});
        first.offerNext(cut, relaying.server.endpoint());
        relaying.offerNext(cut, sound.endpoint());
        const std::string got = cut.call(request("/stream/"));
        CHECK(decodeBody(got) == firstEvents + lastEvents);
        CHECK_FALSE(containsText(got, foreign));
        CHECK(relaying.server.requests().size() == 1);
    }
}

// Guards against a caller that takes its stream up getting events that it has, or what is no
// stream.
TEST_CASE("a caller that takes a stream up gets what continues it, or none")
{
    std::vector<Defect> defects = defectiveEvents();
    std::erase_if(defects, [](const Defect &defect) {
        // Nothing seen so far tells that the ids rise by one.
        return defect.name.starts_with("a missing event");
    });
    defects.push_back({"a page", withLength(beginHead(200, "text/html"), foreign + "\n\n")});
    SUBCASE("from another upstream")
    {
        for (const Defect &defect : defects) {
            CAPTURE(defect.name);
            ScriptedUpstream defective({{defect.answer}});
            ScriptedUpstream sound({{wholeStream(lastEvents)}});
            RelayFixture fixture({&defective, &sound});
            CHECK(decodeBody(fixture.call(takeUp())) == lastEvents);
        }
    }
    SUBCASE("or a failure")
    {
        for (const Defect &defect : defects) {
            CAPTURE(defect.name);
            ScriptedUpstream defective({{defect.answer}, {defect.answer}});
            RelayFixture fixture({&defective});
            const std::string got = fixture.call(takeUp());
            CHECK(got.starts_with("HTTP/1.1 502 "));
            CHECK_FALSE(containsText(got, foreign));
        }
    }
    SUBCASE("also through another instance, which checks it")
    {
        for (const Defect &defect : defects) {
            CAPTURE(defect.name);
            CutInstance behindCut;
            ScriptedUpstream defective({{defect.answer}});
            ScriptedUpstream sound({{wholeStream(lastEvents)}});
            RelayFixture helper({&defective, &sound});
            behindCut.instance.offerHelp({helper.instanceEndpoint()});
            CHECK(decodeBody(behindCut.instance.call(takeUp())) == lastEvents);
            CHECK(defective.requests().size() == 1);
        }
    }
    SUBCASE("also through another instance, which does not")
    {
        for (const Defect &defect : defects) {
            CAPTURE(defect.name);
            CutInstance behindCut;
            ScriptedUpstream defective({{defect.answer}});
            behindCut.instance.offerHelp({defective.endpoint()});
            const std::string got = behindCut.instance.call(takeUp());
            CHECK(got.starts_with("HTTP/1.1 502 "));
            CHECK_FALSE(containsText(got, foreign));
            CHECK(defective.requests().size() == 1);
        }
    }
    SUBCASE("a route whose streams can't be resumed relays what comes")
    {
        ScriptedUpstream upstream({{wholeStream(firstEvents)}});
        RelayFixture fixture({&upstream});
        CHECK(decodeBody(fixture.call(takeUp("/fragile/"))) == firstEvents);
    }
    SUBCASE("an answer without events is whole")
    {
        ScriptedUpstream upstream({{wholeStream("")}});
        RelayFixture fixture({&upstream});
        CHECK(decodeBody(fixture.call(takeUp())).empty());
        CHECK(fixture.requestEnds("answered") == 1);
    }
}

// Guards against a broken stream being called whole because one upstream had nothing to add.
TEST_CASE("a stream that broke behind its last event ends in order once that is certain")
{
    const std::string unframed = beginHead(200, "text/event-stream") + "\r\n";
    ScriptedUpstream breaks({{beginStream(firstEvents), true}});
    SUBCASE("not by one answer without events: it is cut")
    {
        ScriptedUpstream empty({{wholeStream("")}, {wholeStream("")}});
        RelayFixture fixture({&breaks, &empty});
        CHECK(decodeBody(fixture.call(request("/stream/"))) == "cut: " + firstEvents);
        SUBCASE("and whole for its caller, which takes it up")
        {
            CHECK(decodeBody(fixture.call(takeUp())).empty());
        }
    }
    SUBCASE("not by one that goes on: its events follow")
    {
        ScriptedUpstream empty({{wholeStream("")}, {wholeStream("")}});
        ScriptedUpstream sound({{wholeStream(lastEvents)}});
        RelayFixture fixture({&breaks, &sound, &empty});
        allowThreeUpstreams(fixture);
        CHECK(decodeBody(fixture.call(request("/stream/"))) == firstEvents + lastEvents);
    }
    SUBCASE("by two answers without events")
    {
        ScriptedUpstream empty({{wholeStream("")}});
        ScriptedUpstream alsoEmpty({{wholeStream("")}});
        RelayFixture fixture({&breaks, &empty, &alsoEmpty});
        allowThreeUpstreams(fixture);
        CHECK(decodeBody(fixture.call(request("/stream/"))) == firstEvents);
        CHECK(fixture.requestEnds("answered") == 1);
    }
    SUBCASE("not by ends of connections")
    {
        ScriptedUpstream empty({{unframed}});
        ScriptedUpstream alsoEmpty({{unframed}});
        RelayFixture fixture({&breaks, &empty, &alsoEmpty});
        allowThreeUpstreams(fixture);
        CHECK(decodeBody(fixture.call(request("/stream/"))) == "cut: " + firstEvents);
    }
    SUBCASE("by its end marker")
    {
        const std::string marked = firstEvents + "data: [DONE]\n\n";
        ScriptedUpstream done({{beginStream(marked), true}});
        ScriptedUpstream empty({{wholeStream("")}});
        RelayFixture fixture({&done, &empty});
        CHECK(decodeBody(fixture.call(request("/stream/"))) == marked);
    }
}

// Guards against a stream whose events have no ids going on from its begin at another upstream.
TEST_CASE("a stream whose last event has no id is cut where it breaks")
{
    const std::string noId = "data: a\n\n";
    ScriptedUpstream other({{wholeStream(lastEvents)}});
    SUBCASE("none of its events has one")
    {
        ScriptedUpstream breaks({{beginStream(noId), true}});
        RelayFixture fixture({&breaks, &other});
        CHECK(decodeBody(fixture.call(request("/stream/"))) == "cut: " + noId);
    }
    SUBCASE("its first ones have")
    {
        ScriptedUpstream breaks({{beginStream(firstEvents + noId), true}});
        RelayFixture fixture({&breaks, &other});
        CHECK(decodeBody(fixture.call(request("/stream/"))) == "cut: " + firstEvents + noId);
    }
    SUBCASE("also if it stays silent: no other upstream is asked")
    {
        Script silent{beginStream(noId)};
        silent.isSilentAfterwards = true;
        ScriptedUpstream falls({silent});
        RelayFixture fixture({&falls, &other});
        CHECK(decodeBody(fixture.call(request("/talk/", {}, "test-patience-ms: 700\r\n")))
              == "cut: " + noId);
    }
    CHECK(other.requests().empty());
}

TEST_CASE("a stream of which its caller has only comments begins again")
{
    const std::string comment = ": soon\n\n";
    ScriptedUpstream breaks({{beginStream(comment), true}});
    ScriptedUpstream other({{wholeStream(firstEvents)}});
    RelayFixture fixture({&breaks, &other});
    CHECK(decodeBody(fixture.call(request("/stream/"))) == comment + firstEvents);
}
