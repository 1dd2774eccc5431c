#include "relay_fixture.hpp"

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A request that takes up a stream that request r1 began.
std::string resumeRequest(const std::string &path, const std::string &lastEvent)
{
    std::string text
            = request(path, {}, "test-resumes: r1\r\ntest-last-event: " + lastEvent + "\r\n");
    return text.replace(text.find("test-id: r1"), 11, "test-id: r2");
}

/// A request for a stream whose prompt has these parts beside its own last one.
std::string promptRequest(const std::string &id, const std::string &parts)
{
    std::string text = request("/stream/", {}, "test-prompt-parts: " + parts + "\r\n");
    return text.replace(text.find("test-id: r1"), 11, "test-id: " + id);
}

/// A request of a caller that names itself.
std::string callerRequest(const std::string &id, const std::string &caller, const std::string &path,
                          const std::string &body)
{
    std::string text = request(path, body, "test-caller: " + caller + "\r\n");
    return text.replace(text.find("test-id: r1"), 11, "test-id: " + id);
}

/// Twelve upstreams that follow the same script for each of their requests.
struct Fleet
{
    explicit Fleet(const Script &script)
    {
        for (int i = 0; i < 12; ++i) {
            this->owned.push_back(
                    std::make_unique<ScriptedUpstream>(std::vector<Script>(20, script)));
            this->upstreams.push_back(this->owned.back().get());
        }
    }

    /// Number of requests that the upstreams have received with a text.
    std::size_t countRequests(const std::string &text) const
    {
        std::size_t count = 0;
        for (const ScriptedUpstream *upstream : this->upstreams) {
            for (const std::string &received : upstream->requests())
                count += containsText(received, text);
        }
        return count;
    }

    std::vector<std::unique_ptr<ScriptedUpstream>> owned;
    std::vector<ScriptedUpstream *> upstreams;
};

/// Waits until the reports of crashes have been evaluated, or for a second.
void waitForQuarantine(RelayFixture &fixture)
{
    for (int i = 0; i < 100; ++i) {
        if (fixture.metrics.gauge("bamboochute_quarantined_requests").value() > 0)
            return;
        std::this_thread::sleep_for(10ms);
    }
}

} // namespace

TEST_CASE("a request and its answer are relayed unchanged but for headers that are not forwarded")
{
    ScriptedUpstream upstream({{answer(201, "a room", "Extra: yes\r\n")}});
    RelayFixture fixture({&upstream});
    const std::string got = fixture.call(
            request("/once/book?day=1", "who=me", "test-secret: x\r\nOther: kept\r\n"));
    CHECK(containsText(got, "HTTP/1.1 201 "));
    CHECK(containsText(got, "test-signature: s\r\n"));
    CHECK(containsText(got, "Extra: yes\r\n"));
    CHECK(got.ends_with("\r\n\r\na room"));
    const std::string sent = upstream.requests().at(0);
    CHECK(sent.starts_with("POST /once/book?day=1 HTTP/1.1\r\n"));
    CHECK(containsText(sent, "Other: kept\r\n"));
    CHECK(containsText(sent, "test-expected: u0\r\n"));
    CHECK_FALSE(containsText(sent, "test-secret"));
    CHECK_FALSE(containsText(sent, "Connection: close"));
    CHECK(sent.ends_with("\r\n\r\nwho=me"));
    CHECK(fixture.metrics.histogram("bamboochute_request_seconds", "kind=\"non_idempotent\"")
                  .count()
          == 1);
}

TEST_CASE("a request without a matching route is answered with 404")
{
    ScriptedUpstream upstream({});
    RelayFixture fixture({&upstream});
    CHECK(containsText(fixture.call(request("/nowhere/")), "HTTP/1.1 404 "));

    SUBCASE("a request with Content-Length and Transfer-Encoding is answered with 400 and not "
            "relayed")
    {
        const std::string smuggled = "POST /once/ HTTP/1.1\r\nHost: desk\r\nContent-Length: 5\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                                     "GET /once/ HTTP/1.1\r\nHost: desk\r\n\r\n";
        const std::string got = fixture.call(smuggled);
        CHECK(got.starts_with("HTTP/1.1 400 "));
        CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(upstream.requests().empty());
    }
}

TEST_CASE("a non-idempotent request is not retried after it may have run")
{
    ScriptedUpstream first({{"", true}});
    ScriptedUpstream second({{answer(200, "twice")}});
    RelayFixture fixture({&first, &second});
    const std::string got = fixture.call(request("/once/", "pay"));
    CHECK(got.starts_with("HTTP/1.1 502 "));
    CHECK_FALSE(containsText(got, "Retry-After"));
    CHECK(second.requests().empty());
}

TEST_CASE("a request that an upstream refused without running it is sent to another one")
{
    ScriptedUpstream first({{answer(503, "full", "test-not-run: 1\r\n")}});
    ScriptedUpstream second({{answer(200, "paid")}});
    RelayFixture fixture({&first, &second});
    CHECK(fixture.call(request("/once/", "pay")).ends_with("paid"));

    SUBCASE("when all upstreams refuse it, the caller gets 503 with Retry-After")
    {
        ScriptedUpstream full({{answer(503, "full", "test-not-run: 1\r\n")}});
        RelayFixture busy({&full});
        const std::string got = busy.call(request("/once/", "pay"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(containsText(got, "Retry-After: "));
    }
}

TEST_CASE("a failed idempotent request is retried once, and an error answer of the last upstream "
          "is relayed")
{
    ScriptedUpstream first({{answer(500, "broken here")}});
    SUBCASE("the other upstream succeeds")
    {
        ScriptedUpstream second({{answer(200, "status")}});
        RelayFixture fixture({&first, &second});
        CHECK(fixture.call(request("/plain/")).ends_with("status"));
    }
    SUBCASE("the other upstream fails too")
    {
        ScriptedUpstream second({{answer(500, "broken there")}});
        RelayFixture fixture({&first, &second});
        const std::string got = fixture.call(request("/plain/"));
        CHECK(got.starts_with("HTTP/1.1 500 "));
        CHECK(got.ends_with("broken there"));
        CHECK(containsText(got, "test-signature: s"));
    }
}

TEST_CASE("an invalid answer is not relayed to the caller")
{
    const auto checkNotRelayed = [](const std::string &bytes) {
        ScriptedUpstream upstream({{bytes}});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.call(request("/once/", "pay"));
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(containsText(got, "secret"));
    };
    SUBCASE("an answer to another request")
    {
        checkNotRelayed("HTTP/1.1 200 OK\r\ntest-id: r0\r\ntest-signature: s\r\nContent-Length: "
                        "6\r\n\r\nsecret");
    }
    SUBCASE("an answer without signature")
    {
        checkNotRelayed("HTTP/1.1 200 OK\r\ntest-id: {id}\r\nContent-Length: 6\r\n\r\nsecret");
    }
    SUBCASE("a truncated answer")
    {
        checkNotRelayed("HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\nContent-Length: "
                        "9\r\n\r\nsecret");
    }
    SUBCASE("bytes that are not HTTP")
    {
        checkNotRelayed("secret\r\n\r\n");
    }
}

TEST_CASE("an answer without a length is complete only if its connection is closed cleanly")
{
    const std::string unframed
            = "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n\r\nall of it";
    SUBCASE("closed cleanly")
    {
        ScriptedUpstream upstream({{unframed}});
        RelayFixture fixture({&upstream});
        CHECK(fixture.call(request("/once/", "pay")).ends_with("all of it"));
    }
    SUBCASE("reset")
    {
        ScriptedUpstream upstream({{unframed, true}});
        RelayFixture fixture({&upstream});
        CHECK(fixture.call(request("/once/", "pay")).starts_with("HTTP/1.1 502 "));
    }
}

TEST_CASE("bytes after the end of an answer are not taken for the answer to another request")
{
    ScriptedUpstream upstream(
            {{answer(200, "mine") + answer(200, "stray")}, {answer(200, "next")}});
    RelayFixture fixture({&upstream});
    CHECK(fixture.call(request("/once/", "one")).ends_with("mine"));
    CHECK(fixture.call(request("/once/", "two")).ends_with("next"));
}

TEST_CASE("a complete stream is relayed with its last chunk")
{
    ScriptedUpstream upstream({{streamAnswer(events, true)}});
    RelayFixture fixture({&upstream});
    const std::string got = fixture.call(request("/stream/"));
    CHECK(containsText(got, events));
    CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE(
        "a broken resumable stream is continued at another upstream after its last complete event")
{
    ScriptedUpstream first({{streamAnswer("id: 1\ndata: a\n\nid: 2\nda", false), true}});
    ScriptedUpstream second({{streamAnswer("id: 2\ndata: b\n\n", true)}});
    RelayFixture fixture({&first, &second});
    const std::string got = fixture.call(request("/stream/"));
    CHECK(containsText(second.requests().at(0), "test-last-event: 1\r\n"));
    CHECK(containsText(got, "id: 1\ndata: a\n\n"));
    CHECK(containsText(got, "id: 2\ndata: b\n\n"));
    CHECK_FALSE(containsText(got, "id: 2\nda\r\n"));
    CHECK(got.ends_with("0\r\n\r\n"));
    CHECK(got.find("HTTP/1.1", 1) == std::string::npos);

    SUBCASE("a broken stream that is not resumable ends without its last chunk")
    {
        ScriptedUpstream broken({{streamAnswer("id: 1\ndata: a\n\n", false), true}});
        ScriptedUpstream unused({{streamAnswer(events, true)}});
        RelayFixture fragile({&broken, &unused});
        const std::string cut = fragile.call(request("/fragile/"));
        CHECK(containsText(cut, "id: 1\ndata: a\n\n"));
        CHECK_FALSE(cut.ends_with("0\r\n\r\n"));
        CHECK(unused.requests().empty());
    }
}

TEST_CASE("the call to the upstream is cancelled when the caller disconnects")
{
    ScriptedUpstream upstream({{"", false, true}, {answer(200, "next")}});
    RelayFixture fixture({&upstream});
    fixture.callAndDisconnect(request("/once/", "pay"), 100ms);
    // The upstream serves connections one after another, so an answer to this request shows that
    // the first connection was closed.
    CHECK(fixture.call(request("/once/", "again")).ends_with("next"));
    CHECK(upstream.abandonedConnections() == 1);
}

// Guards against work, and memory, for callers that have left a process with more of their bytes
// than it reads ahead.
TEST_CASE("the call to the upstream is cancelled when the caller resets a connection with unread "
          "bytes")
{
    ScriptedUpstream upstream({{"", false, true}});
    RelayFixture fixture({&upstream});
    KeptConnection connection(fixture);
    const std::string first = keptRequest("/once/", "pay");

    SUBCASE("which came with its request")
    {
        connection.send(first + keptRequest("/once/"));
        REQUIRE(upstream.waitForRequests(1));
    }
    SUBCASE("which came after its request")
    {
        connection.send(first);
        REQUIRE(upstream.waitForRequests(1));
        connection.send(keptRequest("/once/"));
        std::this_thread::sleep_for(50ms);
    }
    SUBCASE("of which the kernel holds a part")
    {
        connection.send(first + std::string(200 << 10, 'x'));
        REQUIRE(upstream.waitForRequests(1));
    }
    connection.reset();
    CHECK(upstream.waitForAbandoned(1) == 1);
    fixture.waitForIdle();
    CHECK(fixture.requestEnds("caller_gone") == 1);
    // Noticed before the deadline of the request.
    CHECK(fixture.metrics.counter("bamboochute_errors_total", "kind=\"upstream_timed_out\"").value()
          == 0);
}

TEST_CASE("a request without an answer ends with 504 at the caller's timeout")
{
    ScriptedUpstream upstream({{"", false, true}});
    RelayFixture fixture({&upstream});
    const std::string got = fixture.call(request("/once/", "pay", "test-patience-ms: 200\r\n"));
    CHECK(got.starts_with("HTTP/1.1 504 "));
    CHECK_FALSE(containsText(got, "Retry-After"));
}

TEST_CASE("the end of an upstream's answer is counted by framing, connection and partial event")
{
    const std::string head = "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n\r\n";
    const auto countEnds = [](RelayFixture &fixture, const std::string &labels) {
        return fixture.metrics.counter("bamboochute_answer_ends_total", labels).value();
    };
    SUBCASE("an answer with a length")
    {
        ScriptedUpstream upstream({{answer(200, "paid")}});
        RelayFixture fixture({&upstream});
        fixture.call(request("/once/", "pay"));
        CHECK(countEnds(fixture, "framing=\"length\",connection=\"open\",partial_event=\"no\"")
              == 1);
    }
    SUBCASE("a stream without a length whose connection is closed inside an event")
    {
        ScriptedUpstream upstream({{head + "id: 1\ndata: a\n\nid: 2\nda"}});
        RelayFixture fixture({&upstream});
        fixture.call(request("/fragile/"));
        CHECK(countEnds(fixture, "framing=\"close\",connection=\"closed\",partial_event=\"yes\"")
              == 1);
    }
    SUBCASE("a chunked stream whose connection is reset")
    {
        ScriptedUpstream upstream({{streamAnswer("id: 1\ndata: a\n\n", false), true}});
        RelayFixture fixture({&upstream});
        fixture.call(request("/fragile/"));
        CHECK(countEnds(fixture, "framing=\"chunked\",connection=\"reset\",partial_event=\"no\"")
              == 1);
    }
}

// Guards against a stream that its upstream broke off reaching its caller framed as complete: the
// close of the connection was taken for the end of the last event.
TEST_CASE("a stream that ends inside an event is not framed as complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n\r\n";
    const std::string broken = "id: 1\ndata: a\n\nid: 2\nda";
    SUBCASE("without a length, on a route that is not resumable, it is cut")
    {
        ScriptedUpstream upstream({{head + broken}});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.call(request("/fragile/"));
        CHECK(containsText(got, "id: 1\ndata: a\n\n"));
        CHECK_FALSE(containsText(got, "id: 2"));
        CHECK_FALSE(got.ends_with("0\r\n\r\n"));
        CHECK(fixture.metrics.errors(ErrorKind::StreamBroken).value() == 1);
    }
    SUBCASE("without a length, on a resumable route, it goes on at another upstream")
    {
        ScriptedUpstream first({{head + broken}});
        ScriptedUpstream second({{head + "id: 2\ndata: b\n\n"}});
        RelayFixture fixture({&first, &second});
        const std::string got = fixture.call(request("/stream/"));
        const std::vector<std::string> continued = second.requests();
        CHECK(continued.size() == 1);
        CHECK((!continued.empty() && containsText(continued.front(), "test-last-event: 1\r\n")));
        CHECK(containsText(got, "id: 1\ndata: a\n\n"));
        CHECK(containsText(got, "id: 2\ndata: b\n\n"));
        CHECK(got.ends_with("0\r\n\r\n"));
    }
    SUBCASE("with its last chunk, it is cut as well")
    {
        ScriptedUpstream upstream({{streamAnswer(broken, true)}});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.call(request("/fragile/"));
        CHECK(containsText(got, "id: 1\ndata: a\n\n"));
        CHECK_FALSE(got.ends_with("0\r\n\r\n"));
    }
    SUBCASE("inside its first event, the request fails instead of being answered by an empty "
            "stream")
    {
        ScriptedUpstream upstream({{head + "id: 1\nda"}});
        RelayFixture fixture({&upstream});
        CHECK(fixture.call(request("/fragile/")).starts_with("HTTP/1.1 502 "));
    }
    SUBCASE("without a length and before its first byte, the request fails as well")
    {
        ScriptedUpstream upstream({{head}});
        RelayFixture fixture({&upstream});
        CHECK(fixture.call(request("/fragile/")).starts_with("HTTP/1.1 502 "));
    }
    SUBCASE("without a length but between two events, it is complete")
    {
        ScriptedUpstream upstream({{head + events}});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.call(request("/fragile/"));
        CHECK(containsText(got, events));
        CHECK(got.ends_with("0\r\n\r\n"));
    }
}

// Guards against a stream going on at an upstream of another software version than the one that
// began it, whose events don't fit to its first ones.
TEST_CASE("a stream goes on only at the software version that began it")
{
    const std::string begun = streamAnswer("id: 1\ndata: a\n\n", false);
    const std::string rest = streamAnswer("id: 2\ndata: b\n\n", true);
    SUBCASE("within one answer, at another upstream of the version")
    {
        ScriptedUpstream first({{begun, true}});
        ScriptedUpstream otherVersion({{rest}});
        ScriptedUpstream sameVersion({{rest}});
        RelayFixture fixture({&first, &otherVersion, &sameVersion}, {"v1", "v2", "v1"});
        const std::string got = fixture.call(request("/stream/"));
        CHECK(got.ends_with("0\r\n\r\n"));
        CHECK(otherVersion.requests().empty());
        CHECK(sameVersion.requests().size() == 1);
    }
    SUBCASE("within one answer, without another upstream of the version, it is cut")
    {
        ScriptedUpstream first({{begun, true}});
        ScriptedUpstream otherVersion({{rest}});
        RelayFixture fixture({&first, &otherVersion}, {"v1", "v2"});
        const std::string got = fixture.call(request("/stream/"));
        CHECK(containsText(got, "id: 1\ndata: a\n\n"));
        CHECK_FALSE(got.ends_with("0\r\n\r\n"));
        CHECK(otherVersion.requests().empty());

        SUBCASE("and a caller that takes it up there is refused, as long as there is none")
        {
            fixture.removeUpstream(0);
            const std::string refused = fixture.call(resumeRequest("/stream/", "1"));
            CHECK(refused.starts_with("HTTP/1.1 503 "));
            CHECK(containsText(refused, "Retry-After: "));
            CHECK(otherVersion.requests().empty());
        }
    }
    SUBCASE("when its caller takes it up at the instance that began it")
    {
        ScriptedUpstream first({{begun, true}, {rest}});
        ScriptedUpstream otherVersion({{rest}, {rest}});
        RelayFixture fixture({&first, &otherVersion}, {"v1", "v2"});
        fixture.call(request("/stream/"));
        const std::string got = fixture.call(resumeRequest("/stream/", "1"));
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(containsText(got, "id: 2\ndata: b\n\n"));
        CHECK(first.requests().size() == 2);
        CHECK(otherVersion.requests().empty());
    }
    SUBCASE("when its caller takes it up at an instance that doesn't know who began it")
    {
        ScriptedUpstream first({{rest}});
        SUBCASE("it goes on if all upstreams run one version")
        {
            RelayFixture fixture({&first});
            CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 200 "));
        }
        // Guards against a stream of a former version going on at the only one that an instance has
        // seen since all instances started again.
        SUBCASE("it is refused if the instance does not know the versions before its start")
        {
            RelayFixture fixture({&first}, {"v2"});
            std::optional<gateway::VersionRecord> record;
            SUBCASE("there is no record") {}
            SUBCASE("the record names another one")
            {
                record = gateway::VersionRecord{
                        {{gateway::ServiceId("rooms"), {SoftwareVersion("v1")}}}, true, 0};
            }
            fixture.forgetVersions(record);
            CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 503 "));
            CHECK(first.requests().empty());
        }
        // Guards against an instance that missed a version, as it was cut off from the store,
        // joining a stream of it with the only one that it has seen.
        SUBCASE("the record of versions is read first")
        {
            RelayFixture fixture({&first});
            bool isRead = true;
            bool hasOther = false;
            SUBCASE("it goes on if the record has no other version") {}
            SUBCASE("it is refused if it has one")
            {
                hasOther = true;
            }
            SUBCASE("it is refused if it can't be read")
            {
                isRead = false;
            }
            fixture.runOnLoop([&](gateway::Gateway &gateway) {
                gateway.onVersionsWanted = [&] {
                    const TimePoint now = SteadyClock().now();
                    if (hasOther)
                        gateway.versions.observe(gateway::ServiceId("rooms"), SoftwareVersion("v2"),
                                                 now);
                    if (isRead)
                        gateway.recordVersionsRead(now);
                };
            });
            const bool goesOn = isRead && !hasOther;
            CHECK(fixture.call(resumeRequest("/stream/", "1"))
                          .starts_with(goesOn ? "HTTP/1.1 200 " : "HTTP/1.1 503 "));
            CHECK(first.requests().size() == (goesOn ? 1 : 0));
        }
        SUBCASE("it is refused if several versions serve")
        {
            ScriptedUpstream second({{rest}});
            RelayFixture fixture({&first, &second}, {"v1", "v2"});
            CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 503 "));
            CHECK(first.requests().empty());
            CHECK(second.requests().empty());
            CHECK(fixture.originQueries > 1);
        }
        SUBCASE("it goes on at the version that another instance names")
        {
            ScriptedUpstream second({{rest}});
            RelayFixture fixture({&first, &second}, {"v1", "v2"});
            fixture.versionKnownElsewhere = "v2";
            CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 200 "));
            CHECK(first.requests().empty());
            CHECK(second.requests().size() == 1);
        }
        // Guards against streams that are refused because the process was held up after it asked.
        SUBCASE("other instances are asked again by a process that was held up")
        {
            ScriptedUpstream second({{rest}});
            RelayFixture fixture({&first, &second}, {"v1", "v2"});
            fixture.runOnLoop([](gateway::Gateway &gateway) {
                gateway.onOriginWanted = [&gateway](const RequestId &request, bool isRepeated) {
                    if (!isRepeated)
                        std::this_thread::sleep_for(250ms);
                    else
                        gateway.learnOrigin(
                                {request, gateway::ServiceId("rooms"), SoftwareVersion("v2")});
                };
            });
            CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 200 "));
            CHECK(second.requests().size() == 1);
        }
        SUBCASE("it waits until an instance that has just started has read the stored origins")
        {
            ScriptedUpstream second({{rest}});
            RelayFixture fixture({&first, &second}, {"v1", "v2"});
            fixture.runOnLoop(
                    [](gateway::Gateway &gateway) { gateway.areStoredOriginsRead = false; });
            std::future<std::string> answer = std::async(std::launch::async, [&] {
                return fixture.call(resumeRequest("/stream/", "1"));
            });
            SUBCASE("and goes on at the version that they name")
            {
                // Longer than other instances are asked.
                CHECK(answer.wait_for(400ms) == std::future_status::timeout);
                fixture.runOnLoop([](gateway::Gateway &gateway) {
                    gateway.learnOrigin(
                            {RequestId("r1"), gateway::ServiceId("rooms"), SoftwareVersion("v2")});
                });
                CHECK(answer.get().starts_with("HTTP/1.1 200 "));
                CHECK(second.requests().size() == 1);
            }
            SUBCASE("and is refused if they don't have its own")
            {
                CHECK(answer.wait_for(400ms) == std::future_status::timeout);
                fixture.runOnLoop([](gateway::Gateway &gateway) {
                    gateway.areStoredOriginsRead = true;
                    gateway.notifyChange();
                });
                CHECK(answer.get().starts_with("HTTP/1.1 503 "));
                CHECK(second.requests().empty());
            }
            CHECK(first.requests().empty());
        }
        SUBCASE("other instances are not asked for an id that is too long to be remembered")
        {
            ScriptedUpstream second({{rest}});
            RelayFixture fixture({&first, &second}, {"v1", "v2"});
            std::string longId = resumeRequest("/stream/", "1");
            longId.insert(longId.find("test-resumes: ") + 14, std::string(4096, 'r'));
            CHECK(fixture.call(longId).starts_with("HTTP/1.1 503 "));
            CHECK(fixture.originQueries == 0);
        }
    }
    SUBCASE("a request that got a part of an event may still be sent to any version")
    {
        ScriptedUpstream first({{streamAnswer("id: 1\nda", false), true}});
        ScriptedUpstream otherVersion({{streamAnswer(events, true)}});
        RelayFixture fixture({&first, &otherVersion}, {"v1", "v2"});
        CHECK(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(otherVersion.requests().size() == 1);
    }
    SUBCASE("a request that got no event may still be sent to any version")
    {
        ScriptedUpstream first({{"", true}});
        ScriptedUpstream otherVersion({{streamAnswer(events, true)}});
        RelayFixture fixture({&first, &otherVersion}, {"v1", "v2"});
        CHECK(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(otherVersion.requests().size() == 1);
    }
}

// Guards against a stream that goes on at another service of its route, whose upstreams run another
// software version.
TEST_CASE("a stream of a route with several services goes on at the version that began it")
{
    const gateway::ServiceId rooms("rooms");
    const gateway::ServiceId halls("halls");
    const std::string rest = streamAnswer("id: 2\ndata: b\n\n", true);
    ScriptedUpstream ofRooms({{rest}});
    ScriptedUpstream ofHalls({{rest}});
    RelayFixture fixture({&ofRooms});
    std::string versionOfHalls = "v2";
    std::vector<gateway::WeightedService> services{{rooms, 1}, {halls, 1}};
    std::optional<gateway::StreamOrigin> origin;
    std::string expected = "HTTP/1.1 503 ";
    std::size_t sent = 0;
    SUBCASE("nobody remembers it: it is refused if the services run different versions") {}
    SUBCASE("nobody remembers it: it goes on if they run the same one")
    {
        versionOfHalls = "v1";
        expected = "HTTP/1.1 200 ";
        sent = 1;
    }
    SUBCASE("its route was moved to a service that runs another one: it is refused")
    {
        services = {{halls, 1}};
        origin = gateway::StreamOrigin{RequestId("r1"), rooms, SoftwareVersion("v1")};
    }
    SUBCASE("its route was moved to a service that runs the same one: it goes on")
    {
        services = {{halls, 1}};
        origin = gateway::StreamOrigin{RequestId("r1"), rooms, SoftwareVersion("v1")};
        versionOfHalls = "v1";
        expected = "HTTP/1.1 200 ";
        sent = 1;
    }
    fixture.publishChange([&](gateway::RoutingConfiguration &configuration) {
        configuration.services.push_back({halls, 100, std::nullopt});
        for (gateway::Route &route : configuration.routes)
            route.services = services;
    });
    fixture.runOnLoop([&](gateway::Gateway &gateway) {
        const TimePoint now = SteadyClock().now();
        gateway::RegisteredUpstream upstream = gateway.table.find(UpstreamId("u0"))->registered;
        upstream.id = UpstreamId("h0");
        upstream.service = halls;
        upstream.endpoint = ofHalls.endpoint();
        upstream.softwareVersion = SoftwareVersion(versionOfHalls);
        gateway.table.applyRegistration(upstream, now);
        const gateway::VersionRecord record{
                {{rooms, {SoftwareVersion("v1")}}, {halls, {upstream.softwareVersion}}}, true, 0};
        gateway.versions.apply({0, 2, record}, now);
        if (origin)
            gateway.learnOrigin(*origin);
    });
    CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with(expected));
    CHECK(ofRooms.requests().size() + ofHalls.requests().size() == sent);
}

// Guards against streams of a version that an instance which starts does not know of.
TEST_CASE("streams begin at recorded versions as long as there are any")
{
    const std::string whole = streamAnswer(events, true);
    ScriptedUpstream unrecorded(std::vector<Script>(3, {whole}));
    ScriptedUpstream recorded(std::vector<Script>(3, {whole}));
    RelayFixture fixture({&unrecorded, &recorded}, {"v2", "v1"});
    gateway::VersionRecord record{
            {{gateway::ServiceId("rooms"), {SoftwareVersion("v1")}}}, true, 0};
    fixture.forgetVersions(record);
    SUBCASE("a resumable stream begins there")
    {
        CHECK(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(unrecorded.requests().empty());
        CHECK(recorded.requests().size() == 1);
    }
    SUBCASE("other requests go to any version")
    {
        CHECK(fixture.call(request("/fragile/")).ends_with("0\r\n\r\n"));
        CHECK(unrecorded.requests().size() == 1);
    }
    SUBCASE("without a recorded one, a stream begins at the others")
    {
        fixture.removeUpstream(1);
        CHECK(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(unrecorded.requests().size() == 1);
    }
    SUBCASE("once the version is recorded, streams begin there as well")
    {
        record.versions[gateway::ServiceId("rooms")].insert(SoftwareVersion("v2"));
        fixture.runOnLoop([&](gateway::Gateway &gateway) {
            gateway.versions.apply({0, 2, record}, SteadyClock().now());
        });
        CHECK(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(unrecorded.requests().size() == 1);
    }
}

// Guards against a stream counting as one of the software version that its upstream had before it
// started again, while the new registration was not read yet.
TEST_CASE("a stream does not go on if its upstream started again with another version meanwhile")
{
    const std::string firstEvent = streamAnswer("id: 1\ndata: a\n\n", false);
    const std::string rest = streamAnswer("id: 2\ndata: b\n\n", true);
    ScriptedUpstream formerVersion({{rest}, {rest}});
    ScriptedUpstream newVersion({{rest}, {rest}});
    Script begun{firstEvent, true};
    begun.delay = 100ms;
    Duration untilRestart = 50ms;
    SUBCASE("the registration is read before its first event") {}
    SUBCASE("the registration is read between two of its events")
    {
        begun.rest = "7\r\nid: 2\nd\r\n";
        untilRestart = 150ms;
    }
    SUBCASE("the registration is read after its last byte")
    {
        begun.isSilentAfterwards = true;
        untilRestart = 150ms;
    }
    ScriptedUpstream restarted({begun});
    RelayFixture fixture({&restarted, &formerVersion, &newVersion}, {"v1", "v1", "v2"});
    std::future<std::string> answer
            = std::async(std::launch::async, [&] { return fixture.call(request("/stream/")); });
    std::this_thread::sleep_for(untilRestart);
    fixture.restartUpstream(0, "v2");
    const std::string got = answer.get();
    CHECK(containsText(got, "id: 1\n"));
    CHECK_FALSE(got.ends_with("0\r\n\r\n"));
    CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 503 "));
    CHECK(formerVersion.requests().empty());
    CHECK(newVersion.requests().empty());
}

// Guards against a stream that counts as one of the software version that its upstream had before
// the start that so far only the placement owner has reported.
TEST_CASE("a stream of a process whose registration is not read yet has no known version")
{
    const std::string firstEvent = streamAnswer("id: 1\ndata: a\n\n", false);
    const std::string rest = streamAnswer("id: 2\ndata: b\n\n", true);
    Script begun{firstEvent, true};
    begun.delay = 100ms;
    ScriptedUpstream formerVersion({{rest}, {rest}});
    SUBCASE("it goes on nowhere")
    {
        ScriptedUpstream restarted({begun});
        RelayFixture fixture({&restarted, &formerVersion}, {"v1", "v1"});
        fixture.reportRestart(0);
        const std::string got = fixture.call(request("/stream/"));
        CHECK(containsText(got, "id: 1\n"));
        CHECK_FALSE(got.ends_with("0\r\n\r\n"));
        CHECK(fixture.call(resumeRequest("/stream/", "1")).starts_with("HTTP/1.1 503 "));
        CHECK(formerVersion.requests().empty());
    }
    SUBCASE("it goes on at the version of the registration that is read while it runs")
    {
        std::promise<void> registrationRead;
        begun.answerAfter = registrationRead.get_future().share();
        ScriptedUpstream restarted({begun});
        ScriptedUpstream newVersion({{rest}});
        RelayFixture fixture({&restarted, &formerVersion, &newVersion}, {"v1", "v1", "v2"});
        fixture.reportRestart(0);
        std::future<std::string> answer
                = std::async(std::launch::async, [&] { return fixture.call(request("/stream/")); });
        CHECK(restarted.waitForRequests(1));
        fixture.restartUpstream(0, "v2");
        registrationRead.set_value();
        CHECK(answer.get().ends_with("0\r\n\r\n"));
        CHECK(formerVersion.requests().empty());
        CHECK(newVersion.requests().size() == 1);
    }
    SUBCASE("another stream does not go on there, even if its version is not known either")
    {
        ScriptedUpstream first({begun});
        ScriptedUpstream restarted({{rest}});
        RelayFixture fixture({&first, &restarted}, {"v1", "v1"});
        fixture.reportRestart(0);
        fixture.reportRestart(1);
        CHECK_FALSE(fixture.call(request("/stream/")).ends_with("0\r\n\r\n"));
        CHECK(restarted.requests().empty());
    }
}

// Guards against events of another version at an upstream that was to go on with a stream.
TEST_CASE("a stream is cut if the upstream that goes on with it started again meanwhile")
{
    Script slow{streamAnswer("id: 2\ndata: b\n\n", true)};
    slow.delay = 400ms;
    ScriptedUpstream first({{streamAnswer("id: 1\ndata: a\n\n", false), true}});
    ScriptedUpstream restarted({slow});
    RelayFixture fixture({&first, &restarted}, {"v1", "v1"});
    std::future<std::string> answer
            = std::async(std::launch::async, [&] { return fixture.call(request("/stream/")); });
    std::this_thread::sleep_for(150ms);
    fixture.restartUpstream(1, "v2");
    const std::string got = answer.get();
    CHECK(containsText(got, "id: 1\n"));
    CHECK_FALSE(containsText(got, "id: 2\n"));
    CHECK_FALSE(got.ends_with("0\r\n\r\n"));
}

// Guards against requests with one prompt part crashing upstream after upstream.
TEST_CASE("requests with a prompt part that crashes upstreams are refused after three crashes")
{
    const Script script{streamAnswer(events, true), false, false, "bad"};
    const Fleet fleet(script);
    RelayFixture fixture(fleet.upstreams);
    const auto countCrashes = [&] {
        std::size_t crashes = 0;
        for (const ScriptedUpstream *upstream : fleet.upstreams) {
            const std::vector<std::string> requests = upstream->requests();
            crashes += !requests.empty() && containsText(requests.back(), "bad");
        }
        return crashes;
    };
    CHECK(containsText(fixture.call(promptRequest("s1", "common,fine")), events));
    for (int i = 0; i < 3; ++i) {
        const std::string parts = "common,bad,other" + std::to_string(i);
        CHECK(fixture.call(promptRequest("r" + std::to_string(i), parts))
                      .starts_with("HTTP/1.1 502 "));
        std::this_thread::sleep_for(100ms);
    }
    const std::size_t crashes = countCrashes();
    CHECK(crashes <= 6);
    // The third crash is evaluated when the reports of other instances may have arrived.
    for (int i = 0; i < 50 && fixture.metrics.gauge("bamboochute_quarantined_parts").value() == 0;
         ++i)
        std::this_thread::sleep_for(10ms);

    SUBCASE("a further request with the part is refused as not run, with Retry-After")
    {
        const std::string got = fixture.call(promptRequest("r9", "common,bad,new"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(containsText(got, "Retry-After: "));
        CHECK(countCrashes() == crashes);
    }
    SUBCASE("a request that takes up a stream with the part is refused as well")
    {
        std::string resumption = promptRequest("r9", "bad,new");
        resumption.insert(resumption.size() - 2, "test-resumes: r1\r\ntest-last-event: 1\r\n");
        CHECK(fixture.call(resumption).starts_with("HTTP/1.1 503 "));
        CHECK(countCrashes() == crashes);
    }
    SUBCASE("requests with the other parts are served")
    {
        CHECK(containsText(fixture.call(promptRequest("s2", "common,fine")), events));
        CHECK(containsText(fixture.call(promptRequest("s3", "common,other1")), events));
    }
}

// Guards against prompts being blamed for upstreams that end because they are shut down.
TEST_CASE("only the end of an upstream that does not leave counts as a crash")
{
    Script ending{"", false, false, "part"};
    ending.delay = 300ms;
    ScriptedUpstream upstream({ending});
    RelayFixture fixture({&upstream});
    std::future<std::string> answer = std::async(
            std::launch::async, [&] { return fixture.call(promptRequest("r1", "part")); });
    std::this_thread::sleep_for(100ms);
    std::uint64_t expected = 1;
    SUBCASE("it does not leave") {}
    SUBCASE("it leaves")
    {
        fixture.markLeaving(0);
        expected = 0;
    }
    CHECK(answer.get().starts_with("HTTP/1.1 502 "));
    std::this_thread::sleep_for(100ms);
    CHECK(fixture.metrics.counter("bamboochute_crash_broken_requests_total").value() == expected);
}

// Guards against a whole request crashing upstream after upstream, though nothing but itself is to
// blame and it has no prompt.
TEST_CASE("a request that crashes upstreams is refused after three crashes")
{
    const Script script{answer(200, "sound"), false, false, "test-caller: bad"};
    const Fleet fleet(script);
    RelayFixture fixture(fleet.upstreams);
    const auto countSends = [&fleet] { return fleet.countRequests("test-caller: bad"); };
    for (int i = 0; i < 2; ++i)
        CHECK(fixture.call(callerRequest("r" + std::to_string(i), "bad", "/plain/a", "body"))
                      .starts_with("HTTP/1.1 502 "));
    const std::size_t sends = countSends();
    CHECK(sends == 4);
    waitForQuarantine(fixture);

    SUBCASE("further ones are refused as not run, with Retry-After")
    {
        for (int i = 0; i < 8; ++i) {
            const std::string got = fixture.call(
                    callerRequest("s" + std::to_string(i), "bad", "/plain/a", "body"));
            CHECK(got.starts_with("HTTP/1.1 503 "));
            CHECK(containsText(got, "Retry-After: "));
            CHECK(containsText(got, "request_quarantined"));
        }
        CHECK(countSends() == sends);
    }
    SUBCASE("other requests of the same path and caller are sent")
    {
        CHECK_FALSE(fixture.call(callerRequest("s1", "bad", "/plain/a", "other"))
                            .starts_with("HTTP/1.1 503 "));
        CHECK(countSends() > sends);
    }
    SUBCASE("the same request of another caller is served")
    {
        CHECK(fixture.call(callerRequest("s1", "good", "/plain/a", "body"))
                      .starts_with("HTTP/1.1 200 "));
    }
}

// Guards against a request that goes on crashing upstreams because each of its attempts comes from
// another address.
TEST_CASE("a request that crashes upstreams for several callers is refused to all of them")
{
    const Script script{answer(200, "sound"), false, false, "fatal"};
    const Fleet fleet(script);
    RelayFixture fixture(fleet.upstreams);
    for (int i = 0; i < 2; ++i) {
        const std::string number = std::to_string(i);
        CHECK(fixture.call(callerRequest("r" + number, "c" + number, "/plain/a", "fatal"))
                      .starts_with("HTTP/1.1 502 "));
    }
    waitForQuarantine(fixture);

    SUBCASE("further ones are refused as not run")
    {
        const std::string got = fixture.call(callerRequest("s1", "c9", "/plain/a", "fatal"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(containsText(got, "request_quarantined"));
    }
    SUBCASE("other requests of their callers are served")
    {
        CHECK(fixture.call(callerRequest("s1", "c1", "/plain/a", "other"))
                      .starts_with("HTTP/1.1 200 "));
        CHECK(fixture.call(callerRequest("s2", "c1", "/plain/b", "body"))
                      .starts_with("HTTP/1.1 200 "));
    }
}

// Guards against crashes that are missed because the upstream is back before a connection to it is
// refused.
TEST_CASE("a request that crashes upstreams is refused although they are back at once")
{
    const Script ending{"", true};
    ScriptedUpstream first(std::vector<Script>(20, ending));
    ScriptedUpstream second(std::vector<Script>(20, ending));
    RelayFixture fixture({&first, &second});
    const auto crashBoth = [&](const std::string &id, bool isRestarted) {
        CHECK(fixture.call(callerRequest(id, "bad", "/plain/a", "body"))
                      .starts_with("HTTP/1.1 502 "));
        for (std::size_t i = 0; i < 2 && isRestarted; ++i)
            fixture.restartUpstream(i, "v1");
    };
    const auto countSends = [&] {
        std::size_t sends = 0;
        for (const ScriptedUpstream *upstream : {&first, &second}) {
            for (const std::string &received : upstream->requests())
                sends += containsText(received, "test-caller: bad");
        }
        return sends;
    };

    SUBCASE("each registers as another process after the request has broken")
    {
        crashBoth("r1", true);
        std::this_thread::sleep_for(300ms);
        crashBoth("r2", true);
        waitForQuarantine(fixture);
        CHECK(fixture.call(callerRequest("r3", "bad", "/plain/a", "body"))
                      .starts_with("HTTP/1.1 503 "));
        CHECK(countSends() == 4);
    }
    SUBCASE("connections that were only cut are no crashes")
    {
        for (int i = 0; i < 3; ++i)
            crashBoth("r" + std::to_string(i), false);
        std::this_thread::sleep_for(300ms);
        crashBoth("r3", false);
        CHECK(countSends() == 8);
    }
    SUBCASE("an upstream that says that it leaves ends without a crash")
    {
        for (int i = 0; i < 3; ++i) {
            CHECK(fixture.call(callerRequest("r" + std::to_string(i), "bad", "/plain/a", "body"))
                          .starts_with("HTTP/1.1 502 "));
            fixture.markLeaving(0);
            fixture.markLeaving(1);
            std::this_thread::sleep_for(300ms);
            fixture.restartUpstream(0, "v1");
            fixture.restartUpstream(1, "v1");
        }
        CHECK(fixture.call(callerRequest("r3", "bad", "/plain/a", "body"))
                      .starts_with("HTTP/1.1 502 "));
        CHECK(countSends() == 8);
    }
}

// Guards against crashes that are missed because upstreams keep accepting connections until their
// registration is removed.
TEST_CASE("a process whose registration is removed after it broke a request has crashed")
{
    const Script ending{"", true};
    std::vector<std::unique_ptr<ScriptedUpstream>> owned;
    std::vector<ScriptedUpstream *> upstreams;
    for (int i = 0; i < 4; ++i) {
        owned.push_back(std::make_unique<ScriptedUpstream>(std::vector<Script>(20, ending)));
        upstreams.push_back(owned.back().get());
    }
    RelayFixture fixture(upstreams);
    const auto call = [&](const std::string &id) {
        return fixture.call(callerRequest(id, "bad", "/plain/a", "body"));
    };
    const auto removeBroken = [&] {
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            // A connection without a request is a probe.
            const std::vector<std::string> received = upstreams[i]->requests();
            if (std::any_of(received.begin(), received.end(),
                            [](const std::string &text) { return !text.empty(); }))
                fixture.removeUpstream(i);
        }
    };
    CHECK(call("r1").starts_with("HTTP/1.1 502 "));
    removeBroken();
    std::this_thread::sleep_for(300ms);
    CHECK(call("r2").starts_with("HTTP/1.1 502 "));
    removeBroken();
    waitForQuarantine(fixture);
    CHECK(containsText(call("r3"), "request_quarantined"));
}

// Guards against an upstream getting more requests a second than it takes from all instances.
TEST_CASE("an upstream that names a limit gets no more requests than that")
{
    const double limit = 4;
    // The rule of the platform for any four seconds.
    const double allowed = 1.5 * 4 * limit + 5;
    const int calls = 60;
    ScriptedUpstream limited(
            std::vector<Script>(calls, {answer(200, "limited", "test-limit: 4\r\n")}));
    ScriptedUpstream other(std::vector<Script>(calls, {answer(200, "other")}));
    const auto callAll = [&](const RelayFixture &fixture) {
        std::vector<std::string> answers;
        for (int i = 0; i < calls; ++i) {
            answers.push_back(fixture.call(request("/plain/")));
            std::this_thread::sleep_for(10ms);
        }
        return answers;
    };

    SUBCASE("what it can't take goes to another upstream")
    {
        RelayFixture fixture({&limited, &other});
        for (const std::string &got : callAll(fixture))
            CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(static_cast<double>(limited.requests().size()) <= allowed);
        CHECK(!limited.requests().empty());
    }
    SUBCASE("without another upstream it is refused as not run, with Retry-After")
    {
        RelayFixture fixture({&limited});
        int refused = 0;
        for (const std::string &got : callAll(fixture)) {
            if (got.starts_with("HTTP/1.1 200 "))
                continue;
            ++refused;
            CHECK(got.starts_with("HTTP/1.1 503 "));
            CHECK(containsText(got, "Retry-After: "));
        }
        CHECK(static_cast<double>(limited.requests().size()) <= allowed);
        CHECK(refused > 0);
    }
}

// Guards against an upstream that sends bytes without end and holds memory or a request with them.
TEST_CASE("bytes without end are bounded in number and time, and never relayed as complete")
{
    const std::string signedHead = "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n";
    const std::string chunked = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string block(4096, 'a');
    std::string path = "/plain/";
    Script script;
    SUBCASE("in a status line")
    {
        script.endless = block;
    }
    SUBCASE("in a header")
    {
        script.answer = signedHead + "Extra: ";
        script.endless = block;
    }
    SUBCASE("as headers")
    {
        script.answer = signedHead;
        script.endless = "Extra: " + block + "\r\n";
    }
    SUBCASE("in a body without a length")
    {
        script.answer = signedHead + "\r\n";
        script.endless = block;
    }
    SUBCASE("in the size of a chunk")
    {
        script.answer = chunked;
        script.endless = std::string(4096, '0');
    }
    SUBCASE("in the extension of a chunk")
    {
        script.answer = chunked + "5;";
        script.endless = block;
    }
    SUBCASE("in the trailer")
    {
        script.answer = chunked + "5\r\nhello\r\n0\r\n";
        script.endless = "Extra: " + block + "\r\n";
    }
    SUBCASE("in one event of a stream")
    {
        path = "/stream/";
        script.answer = signedHead + "\r\n";
        script.endless = block;
    }
    SUBCASE("behind a complete answer")
    {
        script.answer = answer(200, "whole");
        script.endless = block;
    }
    SUBCASE("a byte at a time in a header")
    {
        script.answer = signedHead + "Extra: ";
        script.endless = "a";
        script.endlessPause = 50ms;
    }
    SUBCASE("a byte at a time in a body")
    {
        script.answer = signedHead + "\r\n";
        script.endless = "a";
        script.endlessPause = 50ms;
    }
    ScriptedUpstream upstream({script});
    RelayFixture fixture({&upstream});
    const TimePoint begin = SteadyClock().now();
    const std::string got = fixture.call(request(path));
    // The timeout of the route is 2 s.
    CHECK(SteadyClock().now() - begin < 3s);
    if (containsText(script.answer, "whole"))
        CHECK(got.ends_with("\r\n\r\nwhole"));
    else
        CHECK((got.starts_with("HTTP/1.1 502 ") || got.starts_with("HTTP/1.1 504 ")));
    CHECK(upstream.endlessBytes() < (32U << 20));
}

// Guards against new work for an upstream that only its answers say to be leaving.
TEST_CASE("an upstream that says in an answer that it leaves gets no new requests")
{
    const std::string leaving = "test-leaving: 1\r\n";
    ScriptedUpstream first({{answer(200, "first", leaving)}, {answer(200, "again")}});
    ScriptedUpstream second({{answer(200, "second")}, {answer(200, "second")}});
    SUBCASE("also when the answer is an error")
    {
        ScriptedUpstream failing({{answer(500, "no", leaving)}, {answer(200, "again")}});
        RelayFixture fixture({&failing, &second});
        CHECK(containsText(fixture.call(request("/plain/")), "second"));
        CHECK(containsText(fixture.call(request("/plain/")), "second"));
        CHECK(failing.requests().size() == 1);
    }
    SUBCASE("also when the answer says that the request was not run")
    {
        ScriptedUpstream full(
                {{answer(503, "", leaving + "test-not-run: 1\r\n")}, {answer(200, "again")}});
        RelayFixture fixture({&full, &second});
        CHECK(containsText(fixture.call(request("/plain/")), "second"));
        std::this_thread::sleep_for(200ms);
        CHECK(containsText(fixture.call(request("/plain/")), "second"));
        CHECK(full.requests().size() == 1);
    }
    SUBCASE("until another process starts under its id")
    {
        RelayFixture fixture({&first, &second});
        CHECK(containsText(fixture.call(request("/plain/")), "first"));
        CHECK(containsText(fixture.call(request("/plain/")), "second"));
        fixture.restartUpstream(0, "v1");
        fixture.removeUpstream(1);
        CHECK(containsText(fixture.call(request("/plain/")), "again"));
    }
    SUBCASE("and without another one a request is refused")
    {
        RelayFixture fixture({&first});
        CHECK(containsText(fixture.call(request("/plain/")), "first"));
        CHECK(fixture.call(request("/plain/")).starts_with("HTTP/1.1 503 "));
        CHECK(first.requests().size() == 1);
    }
}

// Guards against requests for an upstream that turned one away and asked for a pause.
TEST_CASE("an upstream that asks for a pause gets nothing before its end")
{
    const Script refusing{answer(503, "", "test-not-run: 1\r\ntest-pause-ms: 300\r\n")};
    const Script longer{answer(503, "", "test-not-run: 1\r\ntest-pause-ms: 30000\r\n")};
    const Script serving{answer(200, "served")};
    ScriptedUpstream other(std::vector<Script>(10, {answer(200, "other")}));

    SUBCASE("requests go to another one, and return after it")
    {
        ScriptedUpstream pausing({refusing, serving, serving});
        RelayFixture fixture({&pausing, &other});
        for (int i = 0; i < 4; ++i)
            CHECK(containsText(fixture.call(request("/plain/")), "other"));
        CHECK(pausing.requests().size() == 1);
        std::this_thread::sleep_for(350ms);
        CHECK(containsText(fixture.call(request("/plain/")), "served"));
    }
    SUBCASE("without another one a request waits if it can still be answered in time")
    {
        ScriptedUpstream pausing({refusing, serving});
        RelayFixture fixture({&pausing});
        const TimePoint begin = SteadyClock().now();
        CHECK(containsText(fixture.call(request("/plain/")), "served"));
        CHECK(SteadyClock().now() - begin >= 300ms);
    }
    SUBCASE("a slow first request after it does not keep others away")
    {
        Script slow{answer(200, "slow")};
        slow.delay = 1200ms;
        // One connection at a time is handled, so that the slow request is the last one here.
        ScriptedUpstream pausing({refusing, slow, serving});
        RelayFixture fixture({&pausing, &other});
        fixture.call(request("/plain/"));
        std::this_thread::sleep_for(350ms);
        std::future<std::string> running
                = std::async(std::launch::async, [&] { return fixture.call(request("/plain/")); });
        std::this_thread::sleep_for(50ms);
        fixture.removeUpstream(1);
        const std::string got = fixture.call(request("/plain/"));
        CHECK(got.starts_with("HTTP/1.1 200 "));
        running.get();
    }
    SUBCASE("else it is refused at once, with a true Retry-After")
    {
        ScriptedUpstream pausing({longer, serving});
        RelayFixture fixture({&pausing});
        for (int i = 0; i < 3; ++i) {
            const TimePoint begin = SteadyClock().now();
            const std::string got = fixture.call(request("/plain/"));
            CHECK(got.starts_with("HTTP/1.1 503 "));
            const std::size_t position = got.find("Retry-After: ");
            REQUIRE(position != std::string::npos);
            CHECK(std::stod(got.substr(position + 13)) > 28);
            CHECK(SteadyClock().now() - begin < 500ms);
        }
        CHECK(pausing.requests().size() == 1);
    }
}
