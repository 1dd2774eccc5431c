// What answers hold that callers don't read.

#include "fakes/booking_service.hpp"
#include "test_bed.hpp"

#include <chrono>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using test::Client;
using test::ClientAnswer;
using test::TestBed;

namespace {

constexpr std::size_t megabyte = 1 << 20;
/// Requests and answers may take 10 MB of it.
constexpr std::size_t machineBytes = 25 * megabyte;
/// More than the kernel takes for a client that doesn't read; room for one of them.
constexpr std::size_t largeBytes = 7 * megabyte;

/// A test bed with a booking service and little memory.
struct SmallMachineBed : TestBed
{
    SmallMachineBed()
        : TestBed({}, InboundLimits{machineBytes, 0})
        , service(this->loop.context, {})
    {
        Endpoint at;
        this->loop.run([&] { at = this->service.listen({"127.0.0.1", 0}).value(); });
        this->addService(at);
        this->publish();
    }
    ~SmallMachineBed()
    {
        this->server->stop();
        this->loop.run([this] { this->service.close(); });
    }

    fakes::FakeBookingService service;
};

/// Waits until a condition holds; false if it does not within a time that only ends a run that
/// hangs.
template<typename Condition>
bool waitUntil(Condition condition)
{
    const TimePoint end = SteadyClock().now() + std::chrono::seconds(20);
    while (!condition() && SteadyClock().now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return condition();
}

std::string largeTarget()
{
    return "/reservations/status?padding=" + std::to_string(largeBytes);
}

} // namespace

TEST_CASE("a large answer needs room")
{
    SmallMachineBed bed;
    Client client(bed.endpoint);

    SUBCASE("in calm there is some")
    {
        const ClientAnswer answer = client.call("GET", largeTarget());
        CHECK(answer.status == 200);
        CHECK(answer.body.size() > largeBytes);
    }
    SUBCASE("without room the caller learns that the request may have run")
    {
        MemoryBudget::Holding others(bed.inbound.requests(), MemoryUse::Admitted);
        REQUIRE(others.resize(9 * megabyte, SteadyClock().now()));
        const ClientAnswer refused = client.call("GET", largeTarget());
        CHECK(refused.status == 502);
        CHECK(refused.headers.at("x-bamboochute-run-state") == "may-have-run");
        CHECK_FALSE(refused.headers.contains("retry-after"));
        CHECK(nlohmann::json::parse(refused.body).at("error").at("code") == "memory_exhausted");
        CHECK(client.call("GET", "/reservations/status").status == 200);

        others.resize(0, SteadyClock().now());
        CHECK(client.call("GET", largeTarget()).status == 200);
    }
    CHECK(waitUntil([&bed] { return bed.inbound.requests().usedBytes() < megabyte; }));
}

// Guards against callers who make a process hold as many answers as it has connections.
TEST_CASE("a caller that does not read its answer gives way to one that does")
{
    SmallMachineBed bed;
    Client silent(bed.endpoint);
    silent.send(test::requestText("GET", largeTarget(), {}));
    REQUIRE(waitUntil([&bed] { return bed.inbound.requests().usedBytes() >= largeBytes; }));

    Client client(bed.endpoint);
    CHECK(client.call("GET", largeTarget()).status == 200);
    CHECK_FALSE(silent.read().isWhole);
}
