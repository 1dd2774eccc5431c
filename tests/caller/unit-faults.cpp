#include "test_bed.hpp"

#include <chrono>
#include <memory>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using test::chatBody;
using test::Client;
using test::ClientAnswer;
using test::CustomEngineBed;
using test::TestBed;

namespace {

std::string codeOf(const ClientAnswer &answer)
{
    return nlohmann::json::parse(answer.body).at("error").at("code").get<std::string>();
}

upstream::Awaitable<void> writeRaw(fakes::FakeCall &call, std::string_view text)
{
    const std::array<upstream::asio::const_buffer, 1> buffers{
            upstream::asio::buffer(text.data(), text.size())};
    co_await call.stream.write(buffers);
}

/// Waits until a condition, checked on the thread of the loop, holds; false after 2000 checks.
template<typename Condition>
bool eventually(TestBed &bed, Condition condition)
{
    for (int i = 0; i < 2000; ++i) {
        bool holds = false;
        bed.loop.run([&] { holds = condition(); });
        if (holds)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

std::string metricsOf(TestBed &bed)
{
    Client client(bed.endpoint);
    return client.call("GET", "/metrics").body;
}

} // namespace

TEST_CASE("an incomplete or malformed upstream answer becomes a 502 error")
{
    std::string reply;

    SUBCASE("the body is shorter than its Content-Length")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"half\":";
    }

    SUBCASE("the final chunk is missing")
    {
        reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n";
    }

    SUBCASE("there is neither a Content-Length nor chunks")
    {
        reply = "HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}";
    }

    SUBCASE("the answer is not HTTP")
    {
        reply = "220 smtp ready\r\n\r\n";
    }

    CustomEngineBed bed([&reply](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        co_await writeRaw(call, reply);
        call.writer.closeAfterAnswer();
    });
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"));
    CHECK(answer.status == 502);
    CHECK(answer.isWhole);
    CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
    CHECK(client.call("GET", "/healthz").status == 200);
}

// Guards against refusing a stream because it has neither a length nor chunks, and against taking
// the close of its connection for its end.
TEST_CASE("a stream without a length is complete if it ends with its end marker")
{
    const std::string event = "data: {\"choices\":[]}\n\n";
    std::string text;
    bool isWhole = false;
    SUBCASE("closed after its end marker")
    {
        text = event + "data: [DONE]\n\n";
        isWhole = true;
    }
    SUBCASE("closed between two events")
    {
        text = event;
    }
    SUBCASE("closed inside an event")
    {
        text = event + "data: {\"cho";
    }
    SUBCASE("closed inside its end marker")
    {
        text = event + "data: [DONE]\n";
    }
    CustomEngineBed bed([&text](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        const std::string reply
                = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + text;
        co_await writeRaw(call, reply);
        call.writer.closeAfterAnswer();
    });
    Client client(bed.endpoint);
    const ClientAnswer answer
            = client.call("POST", "/v1/chat/completions", chatBody("small", true));
    CHECK(answer.status == 200);
    CHECK(answer.isWhole == isWhole);
    CHECK(answer.body.starts_with(event));
    CHECK((answer.body.find("stream_broken") == std::string::npos) == isWhole);
}

TEST_CASE("an upstream answer over the size limit becomes a 502 error")
{
    caller::ServerLimits limits;
    limits.maxAnswerBytes = 100000;
    CustomEngineBed bed(
            [](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                co_await writeRaw(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                const std::string chunk = "1000\r\n" + std::string(4096, 'a') + "\r\n";
                while (!call.stream.isPeerClosed() && call.stream.isOpen()) {
                    const std::array<upstream::asio::const_buffer, 1> buffers{
                            upstream::asio::buffer(chunk)};
                    if (co_await call.stream.write(buffers) != upstream::StreamStatus::Ok)
                        break;
                }
                call.writer.closeAfterAnswer();
            },
            limits);
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"));
    CHECK(answer.status == 502);
    CHECK(codeOf(answer) == "upstream_oversized");
}

TEST_CASE("the late answer of a timed-out request is not given to the next request")
{
    // The engine answers each request with the request's identifier, the first one only after the
    // server has closed the connection.
    std::vector<std::shared_ptr<upstream::HttpStream>> keptStreams;
    int calls = 0;
    CustomEngineBed bed([&](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        const std::string id(call.request.headers().find("x-request-id"));
        if (calls++ == 0) {
            while (!call.stream.isPeerClosed()) {
                if (co_await call.stream.readMore() != upstream::StreamStatus::Ok)
                    break;
            }
        }
        co_await call.writer.write(fakes::jsonAnswer(200, "{\"id\":\"" + id + "\"}"));
    });
    Client client(bed.endpoint);
    const ClientAnswer timedOut
            = client.call("POST", "/v1/chat/completions", chatBody("small"),
                          "x-request-id: late\r\nx-request-deadline-ms: 100\r\n");
    CHECK(timedOut.status == 504);
    CHECK(codeOf(timedOut) == "upstream_timed_out");
    for (const char *id : {"one", "two"}) {
        const ClientAnswer next = client.call("POST", "/v1/chat/completions", chatBody("small"),
                                              std::string("x-request-id: ") + id + "\r\n");
        CHECK(next.status == 200);
        CHECK(next.body == "{\"id\":\"" + std::string(id) + "\"}");
    }
}

TEST_CASE("a stream whose upstream connection breaks")
{
    TestBed bed;
    fakes::EngineSettings settings;
    settings.breakAfterTokens = 4;

    SUBCASE("ends with an error event and without its final chunk if the engine can't resume")
    {
        bed.addEngine(settings);
        bed.publish();
        Client client(bed.endpoint);
        const ClientAnswer answer
                = client.call("POST", "/v1/chat/completions", chatBody("small", true));
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.isWhole);
        CHECK(answer.body.find("[DONE]") == std::string::npos);
        CHECK(answer.body.find("\"code\":\"stream_broken\"") != std::string::npos);
        CHECK(metricsOf(bed).find("kind=\"stream_broken\"} 1") != std::string::npos);
    }

    SUBCASE("continues after the last event, without gap or repeat, if the engine can resume")
    {
        settings.vendor = Vendor::Bromelia;
        settings.tokensPerAnswer = 10;
        fakes::FakeEngine &engine = bed.addEngine(settings);
        bed.publish();
        Client client(bed.endpoint);
        const ClientAnswer answer
                = client.call("POST", "/v1/chat/completions", chatBody("small", true));
        CHECK(answer.isWhole);
        CHECK(answer.body.ends_with("data: [DONE]\n\n"));
        std::size_t position = 0;
        for (int token = 1; token <= 10; ++token) {
            const std::string id = "id: " + std::to_string(token) + "\n";
            const std::size_t found = answer.body.find(id, position);
            CHECK(found != std::string::npos);
            CHECK(answer.body.find(id, found + 1) == std::string::npos);
            position = found;
        }
        bed.loop.run([&] { CHECK(engine.state().stats.resumed == 2); });
    }
}

TEST_CASE("a request is cancelled at the engine when its caller disconnects")
{
    for (const Vendor vendor : {Vendor::Araucaria, Vendor::Bromelia, Vendor::Cinchona}) {
        for (const bool isStream : {true, false}) {
            CAPTURE(static_cast<int>(vendor));
            CAPTURE(isStream);
            TestBed bed;
            fakes::EngineSettings settings;
            settings.vendor = vendor;
            settings.tokensPerAnswer = 100000;
            settings.tokensPerSecond = 500;
            fakes::FakeEngine &engine = bed.addEngine(settings);
            bed.publish();
            Client client(bed.endpoint);
            client.send(
                    test::requestText("POST", "/v1/chat/completions", chatBody("small", isStream)));
            if (isStream)
                client.readUntil(" t3\"");
            CHECK(eventually(bed, [&] { return engine.state().running == 1; }));
            client.close();
            CHECK(eventually(bed, [&] { return engine.state().stats.cancelled == 1; }));
            if (isStream)
                CHECK(eventually(bed, [&] { return engine.state().running == 0; }));
            CHECK(metricsOf(bed).find("bamboochute_upstream_cancels_total 1") != std::string::npos);
        }
    }
}

TEST_CASE(
        "a caller that does not read its stream is timed out, and little of the stream is buffered")
{
    caller::ServerLimits limits;
    limits.writeTimeout = std::chrono::milliseconds(200);
    TestBed bed(limits);
    fakes::EngineSettings settings;
    settings.tokensPerAnswer = 1000000;
    fakes::FakeEngine &engine = bed.addEngine(settings);
    bed.publish();
    Client client(bed.endpoint);
    client.send(test::requestText("POST", "/v1/chat/completions", chatBody("small", true)));
    CHECK(eventually(bed, [&] { return engine.state().stats.requests == 1; }));
    CHECK(eventually(bed, [&] { return engine.state().running == 0; }));
    bed.loop.run([&] { CHECK(engine.state().stats.tokens < 200000); });
    CHECK(metricsOf(bed).find("kind=\"slow_reader\"} 1") != std::string::npos);
}

TEST_CASE("idempotent requests are retried within the retry budget")
{
    TestBed bed;

    SUBCASE("at another engine if one fails")
    {
        fakes::EngineSettings failing;
        failing.failShare = 1;
        fakes::FakeEngine &failingEngine = bed.addEngine(failing);
        bed.addEngine();
        bed.publish();
        Client client(bed.endpoint);
        for (int i = 0; i < 10; ++i)
            CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
        bed.loop.run([&] { CHECK(failingEngine.state().stats.requests <= 10); });
    }

    SUBCASE("a bounded number of times if every engine fails")
    {
        fakes::EngineSettings failing;
        failing.failShare = 1;
        fakes::FakeEngine &failingEngine = bed.addEngine(failing);
        bed.publish();
        Client client(bed.endpoint);
        const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"));
        CHECK(answer.status == 502);
        CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
        bed.loop.run([&] { CHECK(failingEngine.state().stats.requests <= 4); });
        CHECK(metricsOf(bed).find("bamboochute_retries_total") != std::string::npos);
    }

    SUBCASE("at another engine if one has unloaded the model")
    {
        fakes::FakeEngine &unloadedEngine = bed.addEngine();
        bed.addEngine();
        bed.loop.run([&] {
            upstream::Order unload;
            unload.kind = upstream::OrderKind::Unload;
            unload.target = {ModelId("small"), AdapterId()};
            unloadedEngine.state().beginOrder(unload);
            unloadedEngine.state().finishOrder(unload);
        });
        bed.publish();
        Client client(bed.endpoint);
        for (int i = 0; i < 6; ++i)
            CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
    }
}
