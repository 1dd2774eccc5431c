#include "relay_fixture.hpp"

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

} // namespace

// Guards against a stream that is taken up and refused although an upstream of its version is
// there, because the only one that held its model has ended.
TEST_CASE("a stream that is taken up waits for its model when the upstream that held it has ended")
{
    ScriptedUpstream sameVersion(continuation());
    ScriptedUpstream otherVersion(continuation());
    RefusingUpstream ended;
    ScriptedUpstream holder({{"", true}});
    ScriptedUpstream replaced({{answer(421, "", "test-not-run: 1\r\ntest-answered-by: u9\r\n")}});
    ScriptedUpstream *first = &ended;
    std::string fault = "unreachable";
    SUBCASE("and refuses connections") {}
    SUBCASE("and another process has its address")
    {
        first = &replaced;
    }
    SUBCASE("and broke the connection")
    {
        first = &holder;
        fault = "broken";
    }
    RelayFixture fixture({first, &sameVersion, &otherVersion}, {"v1", "v1", "v2"});
    fixture.versionKnownElsewhere = "v1";
    fixture.useEngine(model);
    fixture.reportModel(0, model);
    fixture.reportModel(2, model);
    std::future<std::string> called
            = std::async(std::launch::async, [&fixture] { return fixture.call(takeUp()); });
    waitForFault(fixture, fault);
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
    SUBCASE("and the owner expects no other one to hold it in time")
    {
        RefusingUpstream ended;
        RelayFixture fixture({&ended, &other}, {"v1", "v1"});
        fixture.versionKnownElsewhere = "v1";
        fixture.useEngine(model);
        fixture.reportModel(0, model);
        const gateway::ServiceTarget wanted{gateway::ServiceId("rooms"), Target{ModelId(model), {}},
                                            SoftwareVersion("v1")};
        fixture.runOnLoop([&wanted](gateway::Gateway &gateway) {
            gateway.onTargetWait = [&gateway, wanted] {
                const TimePoint now = SteadyClock().now();
                gateway.demand.recordPromise(wanted, {now + 8s, now});
            };
        });
        const auto begin = std::chrono::steady_clock::now();
        const std::string got = fixture.call(takeUp());
        CHECK(got.starts_with("HTTP/1.1 503 "));
        CHECK(containsText(got, "Retry-After: "));
        CHECK(std::chrono::steady_clock::now() - begin < 600ms);
        CHECK(other.requests().empty());
    }
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
