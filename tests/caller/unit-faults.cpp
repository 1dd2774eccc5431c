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
using test::TestBed;

namespace {

std::string codeOf(const ClientAnswer &answer)
{
    return nlohmann::json::parse(answer.body).at("error").at("code").get<std::string>();
}

upstream::Awaitable<void> sendRaw(fakes::FakeCall &call, std::string_view text)
{
    const std::array<upstream::asio::const_buffer, 1> buffers{
            upstream::asio::buffer(text.data(), text.size())};
    co_await call.stream.write(buffers);
}

/// A bed whose only engine answers as the test says.
struct OddBed : TestBed
{
    explicit OddBed(fakes::FakeHandler handler, caller::ServerLimits limits = {})
        : TestBed(limits)
        , odd(this->loop.context, std::move(handler))
    {
        UpstreamSpec spec;
        spec.id = UpstreamId("odd");
        this->loop.run([&] { spec.endpoint = this->odd.listen({"127.0.0.1", 0}).value(); });
        this->routing.upstreams[spec.id] = UpstreamState{spec};
        this->routing.replicas[{ModelId("small"), AdapterId()}].push_back(spec.id);
        this->publish();
    }
    ~OddBed()
    {
        this->server->stop();
        this->loop.run([this] { this->odd.close(); });
    }

    fakes::FakeHttpServer odd;
};

/// Waits until a condition on the loop's thread holds.
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

TEST_CASE("an answer that is not whole is never passed off as whole")
{
    std::string reply;

    SUBCASE("Content-Length longer than what came")
    {
        reply = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"half\":";
    }

    SUBCASE("chunks without the last one")
    {
        reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n";
    }

    SUBCASE("neither a length nor chunks")
    {
        reply = "HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}";
    }

    SUBCASE("not HTTP")
    {
        reply = "220 smtp ready\r\n\r\n";
    }

    OddBed bed([&reply](fakes::FakeCall &call) -> upstream::Awaitable<void> {
        co_await sendRaw(call, reply);
        call.writer.closeAfterAnswer();
    });
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"));
    CHECK(answer.status == 502);
    CHECK(answer.isWhole);
    CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
    CHECK(client.call("GET", "/healthz").status == 200);
}

TEST_CASE("an answer without an end is cut off with an error")
{
    caller::ServerLimits limits;
    limits.maxAnswerBytes = 100000;
    OddBed bed(
            [](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                co_await sendRaw(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
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

TEST_CASE("a late answer never reaches the next request")
{
    // The engine answers each request with its own identifier, the first one too late.
    std::vector<std::shared_ptr<upstream::HttpStream>> kept;
    int calls = 0;
    OddBed bed([&](fakes::FakeCall &call) -> upstream::Awaitable<void> {
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
    const ClientAnswer late = client.call("POST", "/v1/chat/completions", chatBody("small"),
                                          "x-request-id: late\r\nx-request-deadline-ms: 100\r\n");
    CHECK(late.status == 504);
    CHECK(codeOf(late) == "upstream_timed_out");
    for (const char *id : {"one", "two"}) {
        const ClientAnswer next = client.call("POST", "/v1/chat/completions", chatBody("small"),
                                              std::string("x-request-id: ") + id + "\r\n");
        CHECK(next.status == 200);
        CHECK(next.body == "{\"id\":\"" + std::string(id) + "\"}");
    }
}

TEST_CASE("a stream that breaks in the middle")
{
    TestBed bed;
    fakes::EngineSettings settings;
    settings.breakAfterTokens = 4;

    SUBCASE("ends with an error event and without its end, where the engine can't resume")
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

    SUBCASE("goes on where it broke, where the engine can resume")
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
        std::size_t place = 0;
        for (int token = 1; token <= 10; ++token) {
            const std::string id = "id: " + std::to_string(token) + "\n";
            const std::size_t found = answer.body.find(id, place);
            CHECK(found != std::string::npos);
            CHECK(answer.body.find(id, found + 1) == std::string::npos);
            place = found;
        }
        bed.loop.run([&] { CHECK(engine.state().stats.resumed == 2); });
    }
}

TEST_CASE("a caller that goes away cancels its work at the engine")
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

TEST_CASE("a reader that is too slow holds a bounded part of the answer, and is timed out")
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

TEST_CASE("idempotent calls are tried again within the budget")
{
    TestBed bed;

    SUBCASE("at another engine when one fails")
    {
        fakes::EngineSettings failing;
        failing.failShare = 1;
        fakes::FakeEngine &bad = bed.addEngine(failing);
        bed.addEngine();
        bed.publish();
        Client client(bed.endpoint);
        for (int i = 0; i < 10; ++i)
            CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
        bed.loop.run([&] { CHECK(bad.state().stats.requests <= 10); });
    }

    SUBCASE("but not without end when all fail")
    {
        fakes::EngineSettings failing;
        failing.failShare = 1;
        fakes::FakeEngine &bad = bed.addEngine(failing);
        bed.publish();
        Client client(bed.endpoint);
        const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"));
        CHECK(answer.status == 502);
        CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
        bed.loop.run([&] { CHECK(bad.state().stats.requests <= 4); });
        CHECK(metricsOf(bed).find("bamboochute_retries_total") != std::string::npos);
    }

    SUBCASE("when the engine has unloaded the model meanwhile")
    {
        fakes::FakeEngine &without = bed.addEngine();
        bed.addEngine();
        bed.loop.run([&] {
            upstream::Order unload;
            unload.kind = upstream::OrderKind::Unload;
            unload.target = {ModelId("small"), AdapterId()};
            without.state().begin(unload);
            without.state().finish(unload);
        });
        bed.publish();
        Client client(bed.endpoint);
        for (int i = 0; i < 6; ++i)
            CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
    }
}
