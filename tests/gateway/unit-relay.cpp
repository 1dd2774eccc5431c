#include "relay_bed.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// An answer whose events come in one chunk; whole only with its last chunk.
std::string stream(const std::string &text, bool isWhole)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n"
           "Transfer-Encoding: chunked\r\n\r\n"
           + std::string(size) + "\r\n" + text + "\r\n" + (isWhole ? "0\r\n\r\n" : "");
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request goes on unchanged, and its answer comes back unchanged")
{
    ScriptedUpstream upstream({{answer(201, "a room", "Extra: yes\r\n")}});
    RelayBed bed({&upstream});
    const std::string got
            = bed.call(request("/once/book?day=1", "who=me", "test-secret: x\r\nOther: kept\r\n"));
    CHECK(has(got, "HTTP/1.1 201 "));
    CHECK(has(got, "test-signature: s\r\n"));
    CHECK(has(got, "Extra: yes\r\n"));
    CHECK(got.ends_with("\r\n\r\na room"));
    const std::string sent = upstream.requests().at(0);
    CHECK(sent.starts_with("POST /once/book?day=1 HTTP/1.1\r\n"));
    CHECK(has(sent, "Other: kept\r\n"));
    CHECK(has(sent, "test-expected: u0\r\n"));
    CHECK_FALSE(has(sent, "test-secret"));
    CHECK_FALSE(has(sent, "Connection: close"));
    CHECK(sent.ends_with("\r\n\r\nwho=me"));
    CHECK(bed.metrics.histogram("bamboochute_request_seconds", "kind=\"non_idempotent\"").count()
          == 1);
}

TEST_CASE("what can't be routed is refused")
{
    ScriptedUpstream upstream({});
    RelayBed bed({&upstream});
    CHECK(has(bed.call(request("/nowhere/")), "HTTP/1.1 404 "));

    SUBCASE("and so is a request that could hide another one")
    {
        const std::string smuggled = "POST /once/ HTTP/1.1\r\nHost: desk\r\nContent-Length: 5\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                                     "GET /once/ HTTP/1.1\r\nHost: desk\r\n\r\n";
        const std::string got = bed.call(smuggled);
        CHECK(got.starts_with("HTTP/1.1 400 "));
        CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(upstream.requests().empty());
    }
}

TEST_CASE("a request that may run once is not sent again after it may have run")
{
    ScriptedUpstream first({{"", true}});
    ScriptedUpstream second({{answer(200, "twice")}});
    RelayBed bed({&first, &second});
    const std::string got = bed.call(request("/once/", "pay"));
    CHECK(got.starts_with("HTTP/1.1 502 "));
    CHECK_FALSE(has(got, "Retry-After"));
    CHECK(second.requests().empty());
}

TEST_CASE("a request that was refused unrun goes to another upstream")
{
    ScriptedUpstream first({{answer(503, "full", "test-not-run: 1\r\n")}});
    ScriptedUpstream second({{answer(200, "paid")}});
    RelayBed bed({&first, &second});
    CHECK(bed.call(request("/once/", "pay")).ends_with("paid"));

    SUBCASE("and when all refuse it, the caller is told that it has not run and when to return")
    {
        ScriptedUpstream full({{answer(503, "full", "test-not-run: 1\r\n")}});
        RelayBed busy({&full});
        const std::string got = busy.call(request("/once/", "pay"));
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(has(got, "Retry-After: "));
    }
}

TEST_CASE(
        "a failed idempotent request is repeated once, and the last failure is the upstream's own")
{
    ScriptedUpstream first({{answer(500, "broken here")}});
    SUBCASE("another upstream answers")
    {
        ScriptedUpstream second({{answer(200, "status")}});
        RelayBed bed({&first, &second});
        CHECK(bed.call(request("/plain/")).ends_with("status"));
    }
    SUBCASE("the other one fails too")
    {
        ScriptedUpstream second({{answer(500, "broken there")}});
        RelayBed bed({&first, &second});
        const std::string got = bed.call(request("/plain/"));
        CHECK(got.starts_with("HTTP/1.1 500 "));
        CHECK(got.ends_with("broken there"));
        CHECK(has(got, "test-signature: s"));
    }
}

TEST_CASE("bytes that are no answer to the request never reach the caller")
{
    const auto bad = [](const std::string &bytes) {
        ScriptedUpstream upstream({{bytes}});
        RelayBed bed({&upstream});
        const std::string got = bed.call(request("/once/", "pay"));
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(has(got, "secret"));
    };
    SUBCASE("an answer to another request")
    {
        bad("HTTP/1.1 200 OK\r\ntest-id: r0\r\ntest-signature: s\r\nContent-Length: "
            "6\r\n\r\nsecret");
    }
    SUBCASE("an answer that nobody vouches for")
    {
        bad("HTTP/1.1 200 OK\r\ntest-id: {id}\r\nContent-Length: 6\r\n\r\nsecret");
    }
    SUBCASE("an answer that is cut short")
    {
        bad("HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\nContent-Length: "
            "9\r\n\r\nsecret");
    }
    SUBCASE("no HTTP at all")
    {
        bad("secret\r\n\r\n");
    }
}

TEST_CASE("an answer without a length is whole only when its connection ends in order")
{
    const std::string unframed
            = "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n\r\nall of it";
    SUBCASE("in order")
    {
        ScriptedUpstream upstream({{unframed}});
        RelayBed bed({&upstream});
        CHECK(bed.call(request("/once/", "pay")).ends_with("all of it"));
    }
    SUBCASE("by a reset")
    {
        ScriptedUpstream upstream({{unframed, true}});
        RelayBed bed({&upstream});
        CHECK(bed.call(request("/once/", "pay")).starts_with("HTTP/1.1 502 "));
    }
}

TEST_CASE("a second answer behind the first belongs to nobody")
{
    ScriptedUpstream upstream(
            {{answer(200, "mine") + answer(200, "stray")}, {answer(200, "next")}});
    RelayBed bed({&upstream});
    CHECK(bed.call(request("/once/", "one")).ends_with("mine"));
    CHECK(bed.call(request("/once/", "two")).ends_with("next"));
}

TEST_CASE("a stream comes whole and ends with its last chunk")
{
    ScriptedUpstream upstream({{stream(events, true)}});
    RelayBed bed({&upstream});
    const std::string got = bed.call(request("/stream/"));
    CHECK(has(got, events));
    CHECK(got.ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that breaks goes on at another upstream after its last whole event")
{
    ScriptedUpstream first({{stream("id: 1\ndata: a\n\nid: 2\nda", false), true}});
    ScriptedUpstream second({{stream("id: 2\ndata: b\n\n", true)}});
    RelayBed bed({&first, &second});
    const std::string got = bed.call(request("/stream/"));
    CHECK(has(second.requests().at(0), "test-last-event: 1\r\n"));
    CHECK(has(got, "id: 1\ndata: a\n\n"));
    CHECK(has(got, "id: 2\ndata: b\n\n"));
    CHECK_FALSE(has(got, "id: 2\nda\r\n"));
    CHECK(got.ends_with("0\r\n\r\n"));
    CHECK(got.find("HTTP/1.1", 1) == std::string::npos);

    SUBCASE("where it can't, it is recognisably cut")
    {
        ScriptedUpstream broken({{stream("id: 1\ndata: a\n\n", false), true}});
        ScriptedUpstream unused({{stream(events, true)}});
        RelayBed fragile({&broken, &unused});
        const std::string cut = fragile.call(request("/fragile/"));
        CHECK(has(cut, "id: 1\ndata: a\n\n"));
        CHECK_FALSE(cut.ends_with("0\r\n\r\n"));
        CHECK(unused.requests().empty());
    }
}

TEST_CASE("work is cancelled when its caller leaves")
{
    ScriptedUpstream upstream({{"", false, true}, {answer(200, "next")}});
    RelayBed bed({&upstream});
    bed.callAndLeave(request("/once/", "pay"), 100ms);
    // The upstream serves one connection after the other: it saw the first one end.
    CHECK(bed.call(request("/once/", "again")).ends_with("next"));
    CHECK(upstream.abandoned() == 1);
}

TEST_CASE("a request without an answer ends at its time limit")
{
    ScriptedUpstream upstream({{"", false, true}});
    RelayBed bed({&upstream});
    const std::string got = bed.call(request("/once/", "pay", "test-patience-ms: 200\r\n"));
    CHECK(got.starts_with("HTTP/1.1 504 "));
    CHECK_FALSE(has(got, "Retry-After"));
}
