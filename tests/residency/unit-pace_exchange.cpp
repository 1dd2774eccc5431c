#include "residency/pace_exchange.hpp"

#include <chrono>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

const gateway::ServiceId service("texts");
const gateway::UpstreamProcess process{UpstreamId("u1"), 7};
const Endpoint ownerEndpoint{"10.0.0.1", 1};
const Endpoint otherEndpoint{"10.0.0.2", 1};

/// An owner and one other instance whose messages arrive at once.
struct Pair
{
    explicit Pair(bool isEnabled)
    {
        limits.isEnabled = isEnabled;
        ownerMeter = gateway::PaceMeter(limits);
        otherMeter = gateway::PaceMeter(limits);
        other.send = [this](const Endpoint &, const PeerMessage &message) {
            ++messages;
            owner.receiveReport(std::get<PaceReportMessage>(message), otherEndpoint, now);
        };
        owner.send = [this](const Endpoint &, const PeerMessage &message) {
            ++messages;
            other.receiveStates(std::get<PaceStatesMessage>(message), now);
        };
    }

    void exchange()
    {
        now += 600ms;
        other.sendDue(ownerEndpoint, false, now);
        owner.sendDue(ownerEndpoint, true, now);
    }

    gateway::PaceLimits limits;
    TimePoint now{1h};
    gateway::PaceMeter ownerMeter;
    gateway::PaceMeter otherMeter;
    PaceExchange owner{ownerMeter, {}, InstanceId("owner")};
    PaceExchange other{otherMeter, {}, InstanceId("other")};
    int messages = 0;
};

} // namespace

// Guards against messages in deployments that do not call for the pace.
TEST_CASE("nothing is sent while the pace is off")
{
    Pair pair(false);
    pair.otherMeter.recordFailure(service, process);
    pair.exchange();
    pair.owner.recordUpstreamStart(service, process, pair.now);
    pair.exchange();
    CHECK(pair.messages == 0);
}

TEST_CASE("the places of an upstream that starts reach the other instance")
{
    Pair pair(true);
    pair.exchange();
    pair.owner.recordUpstreamStart(service, process, pair.now);
    pair.otherMeter.recordUpstreamStart(process, pair.now);
    CHECK_FALSE(pair.otherMeter.hasPlace(process, true, pair.now));
    pair.exchange();
    CHECK(pair.ownerMeter.hasPlace(process, true, pair.now));
    CHECK(pair.otherMeter.hasPlace(process, true, pair.now));
    pair.otherMeter.recordStart(service, process);
    CHECK_FALSE(pair.otherMeter.hasPlace(process, true, pair.now));
}
