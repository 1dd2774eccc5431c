#include "relay_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <future>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const std::string model = "draft";

/// A request that takes up a stream of version v1 after its first event.
std::string takeUp()
{
    return request("/stream/", {},
                   "test-resumes: r1\r\ntest-last-event: 1\r\ntest-model: " + model + "\r\n");
}

/// Answers with the rest of that stream.
std::vector<Script> continuation()
{
    return {Script{streamAnswer("id: 2\ndata: rest\n\n", true)}};
}

/// Waits until the instance has tried to reach an upstream, or for two seconds.
void waitForFault(RelayFixture &fixture, const std::string &fault)
{
    const std::string label = "fault=\"" + fault + "\"";
    for (int i = 0; i < 200; ++i) {
        if (fixture.metrics.counter("bamboochute_upstream_faults_total", label).value() > 0)
            return;
        std::this_thread::sleep_for(10ms);
    }
}

/// Answers as a placement owner that expects an upstream of v1 to hold the model after a time.
void answerWithPromise(const RelayFixture &fixture, Duration readyIn)
{
    const gateway::ServiceTarget wanted{gateway::ServiceId("rooms"), Target{ModelId(model), {}},
                                        SoftwareVersion("v1")};
    fixture.runOnLoop([wanted, readyIn](gateway::Gateway &gateway) {
        gateway.onTargetWait = [&gateway, wanted, readyIn] {
            const TimePoint now = SteadyClock().now();
            gateway.demand.recordPromise(wanted, {now + readyIn, now});
        };
    });
}

} // namespace

// Guards against a stream that is taken up and refused although an upstream of its version is
// there, because the only one that held its model has ended.
TEST_CASE("a stream that is taken up waits for its model when the upstream that held it has ended")
{
    ScriptedUpstream sameVersion(continuation());
    ScriptedUpstream otherVersion(continuation());
    RefusingUpstream ended;
    // Its host accepts further connections, so that only recordEnd() tells that it has ended.
    std::vector<Script> broken(8);
    broken.front().isReset = true;
    ScriptedUpstream holder(broken);
    ScriptedUpstream replaced({{answer(421, "", "test-not-run: 1\r\ntest-answered-by: u9\r\n")}});
    ScriptedUpstream *first = &ended;
    std::string fault = "unreachable";
    SUBCASE("and refuses connections") {}
    SUBCASE("and another process has its address")
    {
        first = &replaced;
    }
    bool hasSecond = false;
    SUBCASE("and broke the connection")
    {
        first = &holder;
        fault = "broken";

        SUBCASE("and no other one held it") {}
        SUBCASE("and a second one that held it can't be reached")
        {
            hasSecond = true;
            fault = "unreachable";
        }
    }
    RelayFixture fixture({first, &sameVersion, &otherVersion, &ended}, {"v1", "v1", "v2", "v1"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model);
    fixture.reportModel(0, model);
    fixture.reportModel(2, model);
    if (hasSecond)
        fixture.reportModel(3, model);
    std::vector<UpstreamId> told;
    fixture.runOnLoop([&told](gateway::Gateway &gateway) {
        gateway.forwardingDriver().onUpstreamAvoided
                = [&told](const UpstreamId &id, gateway::UpstreamFault) { told.push_back(id); };
    });
    std::future<std::string> called
            = std::async(std::launch::async, [&fixture] { return fixture.call(takeUp()); });
    waitForFault(fixture, fault);
    if (first == &holder)
        std::this_thread::sleep_for(100ms);
    if (first == &holder)
        fixture.runOnLoop([](gateway::Gateway &gateway) {
            const gateway::UpstreamProcess process
                    = gateway.table.find(UpstreamId("u0"))->process();
            gateway.quarantineDriver().crashDetector().recordEnd(process,
                                                                 gateway::ProcessEnd::Reported);
        });
    std::this_thread::sleep_for(50ms);
    fixture.reportModel(1, model);
    const std::string got = called.get();
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(containsText(got, "data: rest"));
    CHECK(otherVersion.requests().empty());
    // The placement owner, so that it can have the model loaded elsewhere.
    fixture.runOnLoop([&told](gateway::Gateway &gateway) {
        gateway.forwardingDriver().onUpstreamAvoided = nullptr;
        CHECK(std::find(told.begin(), told.end(), UpstreamId("u0")) != told.end());
    });
}

// Guards against a stream that is refused although the upstream with its model, which has not read
// it, can be reached again.
TEST_CASE("a stream that is taken up goes to the upstream with its model once that can be reached")
{
    RefusingUpstream unreachable;
    ScriptedUpstream later(continuation());
    ScriptedUpstream other(continuation());
    bool isRestarted = false;
    SUBCASE("as the same process") {}
    SUBCASE("as a later process")
    {
        isRestarted = true;
    }
    RelayFixture fixture({&unreachable, &other}, {"v1", "v1"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model);
    fixture.reportModel(0, model);
    answerWithPromise(fixture, 100ms);
    std::future<std::string> called
            = std::async(std::launch::async, [&fixture] { return fixture.call(takeUp()); });
    waitForFault(fixture, "unreachable");
    fixture.moveUpstream(0, later.endpoint(), isRestarted);
    if (isRestarted)
        fixture.reportModel(0, model);
    const std::string got = called.get();
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(containsText(got, "data: rest"));
    CHECK(other.requests().empty());
}

// Guards against a request that is held for a model beyond the time that its caller waits.
TEST_CASE("a stream that waits for its model is refused before its caller gives up")
{
    ScriptedUpstream upstream(continuation());
    RelayFixture fixture({&upstream}, {"v1"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model, 500ms);
    answerWithPromise(fixture, 100ms);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(fixture.call(takeUp()).starts_with("HTTP/1.1 503 "));
    CHECK(std::chrono::steady_clock::now() - begin < 1s);
    CHECK(upstream.requests().empty());
}

// Guards against a wait for a model that no other upstream will be given.
TEST_CASE(
        "a stream that is taken up is refused at once when the upstream that holds its model lives")
{
    ScriptedUpstream other(continuation());
    SUBCASE("and has failed it")
    {
        ScriptedUpstream holder({{answer(500, "no")}});
        RelayFixture fixture({&holder, &other}, {"v1", "v1"});
        fixture.versionKnownElsewhere = "v1";
        fixture.useEngine(model);
        fixture.reportModel(0, model);
        const auto begin = std::chrono::steady_clock::now();
        CHECK_FALSE(fixture.call(takeUp()).starts_with("HTTP/1.1 200 "));
        CHECK(std::chrono::steady_clock::now() - begin < 600ms);
    }
    SUBCASE("and has failed it, while another one that held it has ended")
    {
        RefusingUpstream ended;
        ScriptedUpstream holder({{answer(500, "no")}});
        RelayFixture fixture({&ended, &holder, &other}, {"v1", "v1", "v1"});
        fixture.versionKnownElsewhere = "v1";
        fixture.useEngine(model);
        fixture.reportModel(0, model);
        fixture.reportModel(1, model);
        const auto begin = std::chrono::steady_clock::now();
        CHECK_FALSE(fixture.call(takeUp()).starts_with("HTTP/1.1 200 "));
        CHECK(std::chrono::steady_clock::now() - begin < 600ms);
        CHECK(other.requests().empty());
    }
}

// Guards against a stream that is held although its model can't be there before its caller leaves.
TEST_CASE("a stream that is taken up is refused at once when no upstream of its version held its "
          "model")
{
    ScriptedUpstream sameVersion(continuation());
    ScriptedUpstream otherVersion(continuation());
    RelayFixture fixture({&sameVersion, &otherVersion}, {"v1", "v2"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model);
    fixture.reportModel(1, model);
    answerWithPromise(fixture, 8s);
    const auto begin = std::chrono::steady_clock::now();
    const std::string got = fixture.call(takeUp());
    CHECK(got.starts_with("HTTP/1.1 503 "));
    CHECK(containsText(got, "Retry-After: "));
    CHECK(std::chrono::steady_clock::now() - begin < 600ms);
    CHECK(sameVersion.requests().empty());
    CHECK(otherVersion.requests().empty());
}

// Guards against a stream that is refused when all upstreams with its model have crashed, although
// one of them is back, with copies of what it held, before its caller leaves.
TEST_CASE("a stream that is taken up waits for a crashed upstream with its model to come back")
{
    RefusingUpstream ended;
    ScriptedUpstream back(continuation());
    RelayFixture fixture({&ended, &back}, {"v1", "v1"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model);
    fixture.reportModel(0, model);
    answerWithPromise(fixture, 8s);
    std::future<std::string> called
            = std::async(std::launch::async, [&fixture] { return fixture.call(takeUp()); });
    waitForFault(fixture, "unreachable");
    std::this_thread::sleep_for(100ms);
    fixture.removeUpstream(0);
    std::this_thread::sleep_for(100ms);
    fixture.reportModel(1, model);
    const std::string got = called.get();
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(containsText(got, "data: rest"));
}

// Guards against a request that waits for its model until its deadline behind a cut that is found
// meanwhile.
TEST_CASE("a request that waits for its model goes to a helper once its instance is cut off")
{
    RefusingUpstream first;
    RefusingUpstream second;
    RelayFixture cut({&first, &second}, {"v1", "v1"});
    cut.useEngine(model);
    cut.reportModel(0, model);
    ScriptedUpstream upstream({Script{answer(200, "done")}});
    RelayFixture helper({&upstream});
    helper.useEngine(model);
    helper.reportModel(0, model);
    cut.offerHelp({helper.instanceEndpoint()});
    const auto begin = std::chrono::steady_clock::now();
    const std::string got = cut.call(request("/plain/", {}, "test-model: " + model + "\r\n"));
    CHECK(got.starts_with("HTTP/1.1 200 "));
    CHECK(std::chrono::steady_clock::now() - begin < 1s);
}
