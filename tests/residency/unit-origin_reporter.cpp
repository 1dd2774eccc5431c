#include "residency/origin_reporter.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

const gateway::StreamOrigin origin{RequestId("r1"), gateway::ServiceId("drafting"),
                                   SoftwareVersion("v1")};

struct ReporterFixture
{
    ReporterFixture()
    {
        reporter.isStored = [](const gateway::ServiceId &) { return true; };
        reporter.send = [this](const Endpoint &to, const PeerMessage &message) {
            receivers.push_back(to);
            sent.push_back(message);
        };
        reporter.start({"10.0.0.1", 7380});
    }

    void setOwner(const std::string &address, std::uint64_t nonce)
    {
        election.handleOwnerRecord(ObservedOwner{
                {InstanceId("edge-2"), {address, 7380}, nonce, Fence(nonce), 0}, Fence(nonce), 1});
    }

    asio::io_context loop{1};
    Metrics metrics;
    OwnerElection election{loop, {}, {}};
    OriginReporter reporter{loop, election, metrics, gateway::OriginBatchNumber(7)};
    std::vector<Endpoint> receivers;
    std::vector<PeerMessage> sent;
};

} // namespace

TEST_CASE("origins go to the owner until it has acknowledged them, and to the next one")
{
    ReporterFixture fixture;
    fixture.setOwner("10.0.0.2", 1);
    fixture.reporter.add(origin);
    fixture.loop.run_for(60ms);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.receivers.back() == Endpoint{"10.0.0.2", 7380});
    CHECK(fixture.sent.back()
          == PeerMessage(OriginBatchMessage{{gateway::OriginBatchNumber(7), {origin}}}));

    SUBCASE("which is sent nothing once they are stored")
    {
        fixture.reporter.receive(OriginAcknowledgement{gateway::OriginBatchNumber(7)});
        fixture.setOwner("10.0.0.3", 2);
        fixture.loop.run_for(600ms);
        CHECK(fixture.sent.size() == 1);
    }
    SUBCASE("which gets them when it is known")
    {
        fixture.setOwner("10.0.0.3", 2);
        fixture.loop.run_for(600ms);
        REQUIRE(fixture.sent.size() >= 2);
        CHECK(fixture.receivers.back() == Endpoint{"10.0.0.3", 7380});
        CHECK(fixture.sent.back() == fixture.sent.front());
    }
}

// Guards against an instance that does nothing but look for an owner while there is none.
TEST_CASE("origins wait for an owner without using the processor")
{
    ReporterFixture fixture;
    fixture.reporter.add(origin);
    CHECK(fixture.loop.run_for(200ms) < 50);
    CHECK(fixture.sent.empty());
}

// Guards against streams that are lost because they began shortly before a second version was
// known, and all instances ended shortly after.
TEST_CASE("origins are handed over as soon as they have to be stored")
{
    ReporterFixture fixture;
    bool isStored = false;
    fixture.reporter.isStored = [&isStored](const gateway::ServiceId &) { return isStored; };
    fixture.setOwner("10.0.0.2", 1);
    fixture.reporter.add(origin);
    fixture.loop.run_for(100ms);
    REQUIRE(fixture.sent.empty());

    isStored = true;
    fixture.reporter.recheck();
    fixture.loop.run_for(100ms);
    CHECK(fixture.sent.size() == 1);
}
