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

/// Waits until a condition holds; false after 2000 checks.
template<typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 2000; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

std::size_t coldStartDemandCount(TestBed &bed)
{
    const std::lock_guard lock(bed.control.mutex);
    return bed.control.demandCount;
}

} // namespace

TEST_CASE("requests for a model that is not loaded wait until it is loaded")
{
    TestBed bed;
    fakes::FakeEngine &engine = bed.addEngine();
    bed.publish();
    const Target cold{ModelId("cold"), AdapterId()};
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(std::make_unique<Client>(bed.endpoint));
        clients.back()->send(test::requestText("POST", "/v1/chat/completions", chatBody("cold")));
    }
    CHECK(eventually([&] { return coldStartDemandCount(bed) == 20; }));

    SUBCASE("all are answered after the model is loaded")
    {
        bed.loop.run([&] { engine.state().preload(cold, Bytes{1}); });
        bed.routing.replicas[cold] = {UpstreamId("engine-0")};
        bed.publish();
        for (const auto &client : clients)
            CHECK(client->read().status == 200);
        const std::lock_guard lock(bed.control.mutex);
        CHECK(bed.control.withdrawnCount == 20);
    }

    SUBCASE("the usage of the target counts them as arrived and waiting")
    {
        bool isFound = false;
        for (const caller::TargetUsage &usage : bed.server->takeUsage()) {
            if (usage.target == cold) {
                isFound = true;
                CHECK(usage.arrived == 20);
                CHECK(usage.waiting == 20);
            }
        }
        CHECK(isFound);
    }

    SUBCASE("requests whose callers disconnect are removed from the queue")
    {
        clients.clear();
        CHECK(eventually([&] { return bed.server->openRequestCount() == 0; }));
        const std::lock_guard lock(bed.control.mutex);
        CHECK(bed.control.withdrawnCount == 20);
    }
}

TEST_CASE("a request whose cold start fails is refused with the error of the cold start")
{
    TestBed bed;
    bed.publish();
    Client client(bed.endpoint);
    bed.control.onDemand
            = [](const caller::ColdStartDemand &, const caller::ColdStartCallback &tell) {
                  tell(Error(ErrorKind::NoCapacity, "every worker is full")
                               .withRetryAfter(std::chrono::seconds(42)));
              };
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("cold"));
    CHECK(answer.status == 503);
    CHECK(codeOf(answer) == "no_capacity");
    CHECK(answer.headers.at("retry-after") == "42");
    CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
}

TEST_CASE("a request whose cold start would end after its deadline is refused before the deadline")
{
    TestBed bed;
    bed.publish();
    bed.control.onDemand
            = [](const caller::ColdStartDemand &demand, const caller::ColdStartCallback &tell) {
                  tell(caller::ColdStartExpected{demand.deadline + std::chrono::seconds(1)});
              };
    Client client(bed.endpoint);
    const auto begin = std::chrono::steady_clock::now();
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("cold"),
                                            "x-request-deadline-ms: 20000\r\n");
    CHECK(codeOf(answer) == "deadline_unreachable");
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(10));
}

TEST_CASE("a waiting request is refused when its deadline passes")
{
    TestBed bed;
    bed.publish();
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("cold"),
                                            "x-request-deadline-ms: 120\r\n");
    CHECK(answer.status == 504);
    CHECK(codeOf(answer) == "deadline_exceeded_in_queue");
    CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
}

TEST_CASE("an engine never runs more requests than it has slots")
{
    TestBed bed;
    fakes::EngineSettings settings;
    settings.tokensPerSecond = 400;
    fakes::FakeEngine &engine = bed.addEngine(settings, 2);
    bed.publish();
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(std::make_unique<Client>(bed.endpoint));
        clients.back()->send(test::requestText("POST", "/v1/chat/completions", chatBody("small")));
    }
    bool isWithinSlots = true;
    std::uint64_t startedCount = 0;
    while (startedCount < 12) {
        bed.loop.run([&] {
            isWithinSlots = isWithinSlots && engine.state().running <= 2;
            startedCount = engine.state().stats.requests;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(isWithinSlots);
    for (const auto &client : clients)
        CHECK(client->read().status == 200);
}

TEST_CASE("a request that finds the queue full is refused")
{
    TestBed bed;
    bed.configuration.deployments[0].callerClasses[1].maxQueued = 3;
    bed.publish();
    std::vector<std::unique_ptr<Client>> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.push_back(std::make_unique<Client>(bed.endpoint));
        waiting.back()->send(test::requestText("POST", "/v1/chat/completions", chatBody("cold")));
    }
    CHECK(eventually([&] { return coldStartDemandCount(bed) == 3; }));
    Client client(bed.endpoint);
    const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("cold"));
    CHECK(answer.status == 429);
    CHECK(codeOf(answer) == "queue_full");
    CHECK(answer.headers.contains("retry-after"));
}

TEST_CASE("a graceful stop lets streams and waiting requests run to their end")
{
    TestBed bed;
    fakes::EngineSettings settings;
    settings.tokensPerAnswer = 40;
    settings.tokensPerSecond = 100;
    bed.addEngine(settings);
    bed.publish();
    Client stream(bed.endpoint);
    stream.send(test::requestText("POST", "/v1/chat/completions", chatBody("small", true)));
    stream.readUntil(" t1\"");
    Client waiting(bed.endpoint);
    waiting.send(test::requestText("POST", "/v1/chat/completions", chatBody("cold"),
                                   "x-request-deadline-ms: 300\r\n"));
    CHECK(eventually([&] { return coldStartDemandCount(bed) == 1; }));
    Client idle(bed.endpoint);
    CHECK(idle.call("GET", "/readyz").status == 200);

    std::promise<void> drained;
    bed.server->beginDrain();
    bed.server->whenDrained([&drained] { drained.set_value(); });

    const ClientAnswer notReady = idle.call("GET", "/readyz");
    CHECK(notReady.status == 503);
    CHECK(codeOf(notReady) == "draining");
    CHECK(notReady.headers.at("connection") == "close");
    CHECK(codeOf(waiting.read()) == "deadline_exceeded_in_queue");
    const ClientAnswer streamAnswer = stream.read();
    CHECK(streamAnswer.isWhole);
    CHECK(streamAnswer.body.ends_with("data: [DONE]\n\n"));
    drained.get_future().wait();
    CHECK(bed.server->openRequestCount() == 0);
}

TEST_CASE("an immediate stop refuses every waiting request")
{
    TestBed bed;
    bed.publish();
    Client waiting(bed.endpoint);
    waiting.send(test::requestText("POST", "/v1/chat/completions", chatBody("cold")));
    CHECK(eventually([&] { return coldStartDemandCount(bed) == 1; }));
    bed.server->stop();
    const ClientAnswer answer = waiting.read();
    CHECK(answer.status == 503);
    CHECK(codeOf(answer) == "draining");
}

TEST_CASE("an immediate stop ends every request in flight with an error")
{
    TestBed bed;
    fakes::EngineSettings settings;
    settings.tokensPerAnswer = 100000;
    settings.tokensPerSecond = 200;
    fakes::FakeEngine &engine = bed.addEngine(settings);
    bed.publish();
    Client stream(bed.endpoint);
    stream.send(test::requestText("POST", "/v1/chat/completions", chatBody("small", true)));
    stream.readUntil(" t1\"");
    Client plain(bed.endpoint);
    plain.send(test::requestText("POST", "/v1/chat/completions", chatBody("small")));
    CHECK(eventually([&] {
        std::uint32_t running = 0;
        bed.loop.run([&] { running = engine.state().running; });
        return running == 2;
    }));
    bed.server->stop();
    const ClientAnswer answer = plain.read();
    // 503 would say that the request did not run.
    CHECK(answer.status == 502);
    CHECK_FALSE(answer.headers.contains("retry-after"));
    CHECK(codeOf(answer) == "draining");
    CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
    const ClientAnswer cut = stream.read();
    CHECK_FALSE(cut.isWhole);
    CHECK(cut.body.find("\"code\":\"draining\"") != std::string::npos);
}
