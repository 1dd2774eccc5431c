#include "test_bed.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace std::chrono_literals;
using test::chatBody;
using test::Client;
using test::ClientAnswer;
using test::CustomEngineBed;
using test::TestBed;

namespace {

constexpr std::string_view streamHead = "HTTP/1.1 200 OK\r\nContent-Type: "
                                        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view event = "data: {\"choices\":[]}\n\n";
constexpr std::string_view endMarker = "data: [DONE]\n\n";

std::string codeOf(const ClientAnswer &answer)
{
    return nlohmann::json::parse(answer.body).at("error").at("code").get<std::string>();
}

std::string chunk(std::string_view text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

upstream::Awaitable<void> writeRaw(fakes::FakeCall &call, std::string text)
{
    const std::array<upstream::asio::const_buffer, 1> buffers{
            upstream::asio::buffer(text.data(), text.size())};
    co_await call.stream.write(buffers);
}

upstream::Awaitable<void> pauseFor(Duration duration)
{
    upstream::asio::basic_waitable_timer<std::chrono::steady_clock,
                                         upstream::asio::wait_traits<std::chrono::steady_clock>,
                                         upstream::Executor>
            timer(co_await upstream::asio::this_coro::executor);
    timer.expires_after(duration);
    upstream::error_code ignored;
    co_await timer.async_wait(upstream::asio::redirect_error(upstream::UseAwaitable(), ignored));
}

/// Waits until the caller of a fake engine has closed its connection.
upstream::Awaitable<void> waitForClose(fakes::FakeCall &call)
{
    while (true) {
        const upstream::StreamStatus status = co_await call.stream.readMore();
        if (status != upstream::StreamStatus::Ok)
            break;
        call.stream.consume(call.stream.unread().size());
    }
    call.writer.closeAfterAnswer();
}

} // namespace

// Guards against ending a stream for silence that the caller's deadline still has time for.
TEST_CASE("a stream whose upstream is silent for a while goes on within its deadline")
{
    std::vector<std::string> parts;
    SUBCASE("before its first event")
    {
        parts = {std::string(streamHead), chunk(event)};
    }
    SUBCASE("between two events")
    {
        parts = {std::string(streamHead) + chunk(event), chunk(event)};
    }
    SUBCASE("inside an event")
    {
        parts = {std::string(streamHead) + chunk(event.substr(0, 9)), chunk(event.substr(9))};
    }
    SUBCASE("before its end")
    {
        parts = {std::string(streamHead) + chunk(event), ""};
    }
    caller::ServerLimits limits;
    limits.streamIdleTimeout = 100ms;
    CustomEngineBed bed(
            [&parts](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                co_await writeRaw(call, parts[0]);
                co_await pauseFor(600ms);
                co_await writeRaw(call, parts[1] + chunk(endMarker) + "0\r\n\r\n");
            },
            limits);
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small", true),
                                            "x-request-deadline-ms: 20000\r\n");
    CHECK(answer.status == 200);
    CHECK(answer.isWhole);
    CHECK(answer.body.ends_with(endMarker));
}

// Guards against giving up the resumption of a stream because the upstream is silent before it.
TEST_CASE("a broken stream is resumed although the upstream is silent for a while")
{
    caller::ServerLimits limits;
    limits.streamIdleTimeout = 100ms;
    int calls = 0;
    CustomEngineBed bed(
            [&calls](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                if (calls++ == 0) {
                    co_await writeRaw(call, std::string(streamHead)
                                                    + chunk("id: 1\n" + std::string(event)));
                    call.writer.closeAfterAnswer();
                    co_return;
                }
                co_await pauseFor(600ms);
                co_await writeRaw(call, std::string(streamHead) + chunk(endMarker) + "0\r\n\r\n");
            },
            limits);
    bed.routing.upstreams.at(UpstreamId("odd")).spec.vendor = Vendor::Bromelia;
    bed.publish();
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small", true),
                                            "x-request-deadline-ms: 20000\r\n");
    CHECK(answer.isWhole);
    CHECK(answer.body.ends_with(endMarker));
}

TEST_CASE("a stream that is silent beyond its deadline and the longest pause ends as incomplete")
{
    caller::ServerLimits limits;
    limits.streamIdleTimeout = 100ms;
    CustomEngineBed bed(
            [](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                co_await writeRaw(call, std::string(streamHead) + chunk(event));
                co_await waitForClose(call);
            },
            limits);
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small", true),
                                            "x-request-deadline-ms: 300\r\n");
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.isWhole);
    CHECK(answer.body.find("\"code\":\"upstream_timed_out\"") != std::string::npos);
}

// Guards against answering a stream without events only when the longest pause has passed.
TEST_CASE("a stream without an event by its deadline is answered with an error")
{
    CustomEngineBed bed([](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        co_await writeRaw(call, std::string(streamHead));
        co_await waitForClose(call);
    });
    Client client(bed.endpoint);
    const auto begin = std::chrono::steady_clock::now();
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small", true),
                                            "x-request-deadline-ms: 300\r\n");
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
    CHECK(answer.isWhole);
    CHECK(answer.status == 504);
    CHECK(codeOf(answer) == "upstream_timed_out");
}

// Guards against a success status for a stream that failed before its first event, and against
// closing the connection without an answer when the caller has closed its sending side.
TEST_CASE("a stream that ends before its first event gets an answer with the status of its error")
{
    std::atomic<bool> hasBegun = false;
    std::string reply = std::string(streamHead);
    bool isBroken = false;
    int status = 0;
    std::string code;
    SUBCASE("the caller closes its sending side")
    {
        status = 499;
        code = "caller_gone";
    }
    SUBCASE("the upstream breaks the connection")
    {
        isBroken = true;
        status = 502;
        code = "stream_broken";
    }
    SUBCASE("the upstream ends the stream without its end marker")
    {
        reply += "0\r\n\r\n";
        status = 502;
        code = "stream_broken";
    }
    SUBCASE("the event is larger than the buffer")
    {
        reply += chunk("data: " + std::string(100000, 'a'));
        status = 502;
        code = "upstream_oversized";
    }
    CustomEngineBed bed([&](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        co_await writeRaw(call, reply);
        hasBegun = true;
        if (isBroken)
            call.writer.closeAfterAnswer();
        else
            co_await waitForClose(call);
    });
    Client client(bed.endpoint);
    client.send(test::requestText("POST", "/v1/chat/completions", chatBody("small", true)));
    if (status == 499) {
        while (!hasBegun)
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(50ms);
        client.finishSending();
    }
    const ClientAnswer answer = client.read();
    CHECK(answer.isWhole);
    CHECK(answer.status == status);
    REQUIRE_FALSE(answer.body.empty());
    CHECK(codeOf(answer) == code);
    CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
}

// Guards against closing a connection without an answer when a step of a request fails.
TEST_CASE("a request whose handling throws is answered with an internal error")
{
    TestBed bed;
    bed.addService({"127.0.0.1", 1});
    bed.publish();
    bed.control.throwsOnClaim = true;
    Client client(bed.endpoint);
    const ClientAnswer answer
            = client.call("POST", "/reservations/book", "{}", "idempotency-key: one\r\n");
    CHECK(answer.isWhole);
    CHECK(answer.status == 500);
    REQUIRE_FALSE(answer.body.empty());
    CHECK(codeOf(answer) == "internal");
    CHECK(bed.server->openRequestCount() == 0);
}

// Guards against closing the connection of a request without an answer when a stop finds it
// between two steps.
TEST_CASE("a stop refuses an operation whose claim is not decided")
{
    TestBed bed;
    bed.addService({"127.0.0.1", 1});
    bed.publish();
    bed.control.holdsClaims = true;
    const auto heldCount = [&bed] {
        const std::lock_guard lock(bed.control.mutex);
        return bed.control.heldClaims.size();
    };
    Client client(bed.endpoint);
    client.send(test::requestText("POST", "/reservations/book", "{}", "idempotency-key: one\r\n"));
    while (heldCount() == 0)
        std::this_thread::sleep_for(1ms);
    bed.server->stop();
    const ClientAnswer answer = client.read();
    CHECK(answer.isWhole);
    CHECK(answer.status == 503);
    REQUIRE_FALSE(answer.body.empty());
    CHECK(codeOf(answer) == "draining");
    CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
    CHECK(bed.control.abandonedCount == 1);

    SUBCASE("and releases the claim if it is granted afterwards")
    {
        bed.control.heldClaims[0](admission::Dispatch{SteadyClock().now() + 60s});
        REQUIRE(bed.control.records.size() == 1);
        CHECK(std::holds_alternative<admission::Released>(bed.control.records.begin()->second));
    }
}

// Guards against closing the connection of a request without an answer when it arrives while a
// stop waits for other requests.
TEST_CASE("a stop refuses the requests that arrive while it waits for others")
{
    CustomEngineBed bed([](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        co_await call.writer.write(fakes::jsonAnswer(200, std::string(6 << 20, 'a')));
    });
    Client idle(bed.endpoint);
    Client pipelining(bed.endpoint);
    // The server has accepted both connections.
    CHECK(idle.call("GET", "/healthz").status == 200);
    CHECK(pipelining.call("GET", "/healthz").status == 200);
    // Two slow readers delay the stop of both threads; which thread accepts is up to the kernel.
    std::vector<std::unique_ptr<Client>> slowReaders;
    for (int i = 0; i < 16; ++i) {
        slowReaders.push_back(std::make_unique<Client>(bed.endpoint));
        slowReaders.back()->send(
                test::requestText("POST", "/v1/chat/completions", chatBody("small")));
    }
    while (bed.server->openRequestCount() < 16)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(300ms);
    const auto stopping = std::async(std::launch::async, [&bed] { bed.server->stop(); });
    std::this_thread::sleep_for(200ms);
    idle.send(test::requestText("POST", "/v1/chat/completions", chatBody("cold")));
    const std::string one = test::requestText("POST", "/v1/chat/completions", chatBody("cold"));
    pipelining.send(one + one);
    for (Client *client : {&idle, &pipelining}) {
        const ClientAnswer answer = client->read();
        CHECK(answer.isWhole);
        CHECK(answer.status == 503);
        REQUIRE_FALSE(answer.body.empty());
        CHECK(codeOf(answer) == "draining");
        CHECK(answer.headers.at("connection") == "close");
    }
}

// Guards against another attempt after a stop, which nothing ended before the connection closed.
TEST_CASE("a stop ends the requests that pause before a retry")
{
    std::atomic<bool> mayFail = false;
    std::atomic<int> calls = 0;
    constexpr int requests = 12;
    CustomEngineBed bed([&](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        if (++calls > requests) {
            co_await waitForClose(call);
            co_return;
        }
        while (!mayFail)
            co_await pauseFor(1ms);
        co_await call.writer.write(fakes::jsonAnswer(500, "{}"));
    });
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < requests; ++i) {
        clients.push_back(std::make_unique<Client>(bed.endpoint));
        clients.back()->send(test::requestText("POST", "/v1/chat/completions", chatBody("small")));
    }
    while (calls < requests)
        std::this_thread::sleep_for(1ms);
    mayFail = true;
    std::this_thread::sleep_for(3ms);
    bed.server->stop();
    for (const auto &client : clients) {
        const ClientAnswer answer = client->read();
        CHECK(answer.isWhole);
        CHECK(answer.status >= 500);
    }
}
