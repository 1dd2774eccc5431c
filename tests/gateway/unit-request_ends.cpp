#include "relay_fixture.hpp"

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

/// An upstream that says nothing until the peer closes the connection.
Script staysSilent()
{
    Script script;
    script.isSilent = true;
    return script;
}

/// A stream that begins and then says nothing until the peer closes the connection.
Script beginsStream()
{
    Script script;
    script.answer = streamHead() + chunk("id: 1\ndata: a\n\n");
    script.isSilentAfterwards = true;
    return script;
}

/// Sends the parts of a request with pauses between them and reads until the connection ends.
/// @return the begin of the answer, and how the connection ended
std::string sendAndReadToEnd(const RelayFixture &fixture, const std::vector<std::string> &parts)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(
            {boost::asio::ip::make_address(fixture.endpoint().address), fixture.endpoint().port});
    boost::system::error_code sendError;
    for (const std::string &part : parts) {
        if (!sendError)
            boost::asio::write(socket, boost::asio::buffer(part), sendError);
        std::this_thread::sleep_for(50ms);
    }
    std::string answer;
    boost::system::error_code readError;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), readError);
    const bool isInOrder = !sendError && readError == boost::asio::error::eof;
    return answer.substr(0, answer.find(' ', answer.find(' ') + 1))
           + (isInOrder ? ", closed in order" : ", reset");
}

} // namespace

// Guards against a request that was read whole and whose connection closes without an answer or a
// refusal because its caller has closed only its sending side.
TEST_CASE("a caller that closes only its sending side gets an answer before its connection closes")
{
    ScriptedUpstream upstream({staysSilent()});
    RelayFixture fixture({&upstream});

    SUBCASE("a request that an upstream may run is answered with 502, and its work is cancelled")
    {
        const std::string got = fixture.callAndCloseSending(request("/once/", "pay"), 100ms);
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(upstream.requests().size() == 1);
        fixture.waitForIdle();
        CHECK(upstream.waitForAbandoned(1) == 1);
    }
    SUBCASE("a request that was not sent yet is refused as not run")
    {
        const std::string got = fixture.callAndCloseSending(request("/once/", "pay"), 0ms);
        const bool isRefused = got.starts_with("HTTP/1.1 503 ") && upstream.requests().empty();
        // The close may arrive after the request was sent.
        const bool isUnknown = got.starts_with("HTTP/1.1 502 ");
        CHECK((isRefused || isUnknown));
    }
    CHECK(fixture.requestsRead() == 1);
    CHECK(fixture.requestEnds("unanswered") == 0);
}

// Guards against requests that get nothing when the process stops before they are answered.
TEST_CASE("requests that are not answered when an instance stops get an answer")
{
    SUBCASE("one that an upstream may run is answered with 502")
    {
        ScriptedUpstream upstream({staysSilent()});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.callAndStop(request("/once/", "pay"),
                                                    [&] { return upstream.waitForRequests(1); });
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(containsText(got, "Connection: close"));
        CHECK(fixture.requestEnds("refused") == 1);
    }
    SUBCASE("one that may run again is not sent to another upstream")
    {
        ScriptedUpstream upstream({staysSilent()});
        ScriptedUpstream other({{answer(200, "late")}});
        RelayFixture fixture({&upstream, &other});
        const std::string got = fixture.callAndStop(request("/plain/"),
                                                    [&] { return upstream.waitForRequests(1); });
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK(other.requests().empty());
    }
    SUBCASE("one that waits for the end of a pause is refused as not run")
    {
        ScriptedUpstream upstream(
                {{answer(503, "busy", "test-not-run: 1\r\ntest-pause-ms: 900\r\n")},
                 {answer(200, "late")}});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.callAndStop(request("/plain/"),
                                                    [&] { return fixture.upstreamPauses() == 1; });
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(upstream.requests().size() == 1);
        CHECK(fixture.requestEnds("refused") == 1);
    }
    SUBCASE("a stream that has begun ends without its last chunk")
    {
        ScriptedUpstream upstream({beginsStream()});
        RelayFixture fixture({&upstream});
        const std::string got = fixture.callAndStop(
                request("/stream/"), [&] { return upstream.waitForRequests(1); }, "id: 1");
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK_FALSE(got.ends_with("0\r\n\r\n"));
        CHECK(fixture.requestEnds("cut") == 1);
    }
}

// Guards against requests that are sent when they can't be answered any more.
TEST_CASE("a request that is read when an instance stops is refused as not run")
{
    ScriptedUpstream upstream({{answer(200, "late")}});
    RelayFixture fixture({&upstream});
    KeptConnection connection(fixture);
    const std::string whole = keptRequest("/plain/", "body");
    connection.send(whole.substr(0, whole.size() - 2));
    std::this_thread::sleep_for(50ms);
    fixture.runOnLoop([](gateway::Gateway &gateway) { gateway.endOpenRequests(); });
    connection.send(whole.substr(whole.size() - 2));
    CHECK(connection.readAnswer().starts_with("HTTP/1.1 503 "));
    CHECK(upstream.requests().empty());
}

// Guards against a refusal that is lost because the request's deadline has passed before the
// caller has read what was sent to it.
TEST_CASE("an answer is written although the deadline has passed and the caller reads slowly")
{
    const std::string body(6 << 20, 'x');
    ScriptedUpstream upstream({{answer(200, body)}});
    RelayFixture fixture({&upstream});
    const std::string got
            = fixture.callAndReadLate(request("/plain/", {}, "test-patience-ms: 300\r\n"), 500ms);
    CHECK(got.ends_with(body));
    CHECK(fixture.requestEnds("answered") == 1);
}

// Guards against connections that go by the limits of a configuration that is no longer in force.
TEST_CASE("a configuration that comes into force applies to open connections")
{
    ScriptedUpstream upstream({{answer(200, "one")}, {answer(200, "two")}});
    RelayFixture fixture({&upstream});
    fixture.publishLimits({.headerTimeout = 1s, .idleTimeout = 200ms});
    KeptConnection connection(fixture);
    CHECK(connection.call(keptRequest("/plain/")).ends_with("one"));

    SUBCASE("a longer idle time")
    {
        fixture.publishLimits({.headerTimeout = 1s, .idleTimeout = 2s});
        std::this_thread::sleep_for(400ms);
        CHECK(connection.call(keptRequest("/plain/")).ends_with("two"));
    }
    SUBCASE("a longer body")
    {
        fixture.publishLimits({.maxBodyBytes = 4, .headerTimeout = 1s, .idleTimeout = 2s});
        CHECK(connection.call(keptRequest("/plain/", "too long")).starts_with("HTTP/1.1 413 "));
    }
}

// Guards against a refusal that is lost because its connection is reset by the rest of the request,
// which is not read; a caller that goes by a longer limit sends such requests.
TEST_CASE("a refused request whose rest is not read does not reset its connection")
{
    ScriptedUpstream upstream({{answer(200, "one")}});
    RelayFixture fixture({&upstream});
    fixture.publishLimits({.maxBodyBytes = 1024, .headerTimeout = 1s, .idleTimeout = 2s});
    const std::string whole = request("/plain/", std::string(200 << 10, 'x'));
    const std::string longer = request("/plain/", std::string(16 << 20, 'x'));

    SUBCASE("when its body has arrived")
    {
        CHECK(sendAndReadToEnd(fixture, {whole}) == "HTTP/1.1 413, closed in order");
    }
    SUBCASE("when its rest arrives after the refusal")
    {
        CHECK(sendAndReadToEnd(fixture,
                               {whole.substr(0, whole.size() / 2), whole.substr(whole.size() / 2)})
              == "HTTP/1.1 413, closed in order");
    }
    SUBCASE("when its caller sends all of a long body before it reads")
    {
        CHECK(sendAndReadToEnd(fixture, {longer}) == "HTTP/1.1 413, closed in order");
    }
    CHECK(upstream.requests().empty());
    fixture.waitForIdle();
    CHECK(fixture.requestEnds("refused") == 1);
}

// Guards against requests that arrive at the moment in which their connection is closed as idle.
TEST_CASE("a connection with a request on it is not idle")
{
    ScriptedUpstream upstream({{answer(200, "one")}, {answer(200, "two")}});
    RelayFixture fixture({&upstream});
    KeptConnection connection(fixture);
    CHECK(connection.call(keptRequest("/plain/")).ends_with("one"));

    SUBCASE("when its first part has been read")
    {
        const std::string whole = keptRequest("/plain/", "body");
        connection.send(whole.substr(0, whole.size() - 2));
        std::this_thread::sleep_for(50ms);
        fixture.runOnLoop([](gateway::Gateway &gateway) { gateway.closeIdleConnections(); });
        connection.send(whole.substr(whole.size() - 2));
        CHECK(connection.readAnswer().ends_with("two"));
    }
    SUBCASE("when it waits in the socket")
    {
        fixture.runOnLoop([&](gateway::Gateway &gateway) {
            connection.send(keptRequest("/plain/"));
            std::this_thread::sleep_for(50ms);
            gateway.closeIdleConnections();
        });
        CHECK(connection.readAnswer().ends_with("two"));
    }
    SUBCASE("when its idle time has passed while the event loop was busy")
    {
        fixture.publishLimits({.headerTimeout = 1s, .idleTimeout = 200ms});
        KeptConnection later(fixture);
        std::this_thread::sleep_for(100ms);
        fixture.runOnLoop([&](gateway::Gateway &) {
            later.send(keptRequest("/plain/"));
            std::this_thread::sleep_for(300ms);
        });
        CHECK(later.readAnswer().ends_with("two"));
    }
}

// Guards against callers that keep a connection which a stopping instance is about to close.
TEST_CASE("an answer that is written while an instance stops says that its connection closes")
{
    Script slow;
    slow.delay = 150ms;
    slow.answer = answer(200, "status");
    ScriptedUpstream upstream({slow});
    RelayFixture fixture({&upstream});
    KeptConnection connection(fixture);
    connection.send(keptRequest("/plain/"));
    std::this_thread::sleep_for(50ms);
    fixture.runOnLoop([](gateway::Gateway &gateway) { gateway.beginDrain(); });
    CHECK(containsText(connection.readAnswer(), "Connection: close"));
}
