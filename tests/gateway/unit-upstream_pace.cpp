#include "core/random.hpp"
#include "gateway/upstream_pace.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId service("texts");
constexpr Duration baseTime = 400ms;
constexpr Duration tick = 10ms;
/// Requests that an upstream runs at full speed.
constexpr double slots = 24;
/// Requests that it holds before it refuses.
constexpr std::size_t maxHeld = 64;

PaceLimits makeLimits()
{
    PaceLimits limits;
    limits.isEnabled = true;
    return limits;
}

/// Instances that send requests in virtual time to upstreams whose latency grows with their load,
/// and an owner that hears of them late.
class Fleet
{
public:
    struct Upstream
    {
        UpstreamProcess process;
        double speed = 1;
        bool isFailing = false;
        /// Instances with a number below it avoid the upstream, whatever its state.
        std::size_t avoidingInstances = 0;
        std::uint64_t completed = 0;
        std::uint64_t refused = 0;
        std::size_t mostInFlight = 0;
        std::size_t probesNotRetriable = 0;
    };

    Fleet(std::size_t upstreamCount, double requestsPerSecond, std::size_t instanceCount = 125)
        : requestsPerSecond(requestsPerSecond)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            this->upstreams.push_back(
                    Upstream{UpstreamProcess{UpstreamId("u" + std::to_string(i)), 1}});
        for (std::size_t i = 0; i < instanceCount; ++i)
            this->instances.push_back(
                    Instance{PaceMeter(makeLimits()), this->now + this->random.below(600) * 1ms});
    }

    void run(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += tick)
            this->step();
    }

    /// Ends what runs at an upstream and starts a new process, which the owner hears of.
    void restart(std::size_t u)
    {
        this->crash(u);
        Upstream &upstream = this->upstreams[u];
        ++upstream.process.startedAt;
        upstream.mostInFlight = 0;
        this->owner.recordUpstreamStart(service, upstream.process, this->now);
        for (Instance &instance : this->instances)
            instance.meter.recordUpstreamStart(upstream.process, this->now);
    }

    void crash(std::size_t u)
    {
        std::erase_if(this->running, [&](const Request &request) {
            if (request.upstream != u)
                return false;
            PaceMeter &meter = this->instances[request.instance].meter;
            meter.recordFinish(service, request.process);
            meter.recordFailure(service, request.process);
            return true;
        });
    }

    std::size_t inFlight(std::size_t u) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->running.begin(), this->running.end(),
                              [u](const Request &request) { return request.upstream == u; }));
    }

    std::optional<std::uint32_t> limit(std::size_t u) const
    {
        return this->owner.limit(this->upstreams[u].process.upstream);
    }

    double speed(std::size_t u) const
    {
        return this->owner.speed(this->upstreams[u].process.upstream);
    }

    std::vector<Upstream> upstreams;
    double requestsPerSecond;
    double lossRate = 0.05;
    TimePoint now{1h};
    PaceAggregate owner{makeLimits()};

private:
    struct Instance
    {
        PaceMeter meter;
        TimePoint nextReport;
    };

    struct Request
    {
        std::size_t instance = 0;
        std::size_t upstream = 0;
        UpstreamProcess process;
        TimePoint sentAt{};
        double work = 0;
    };

    struct Message
    {
        TimePoint due;
        std::function<void()> deliver;
    };

    void post(std::function<void()> deliver)
    {
        if (this->random.unit() >= this->lossRate)
            this->messages.push_back(
                    {this->now + 20ms + this->random.below(300) * 1ms, std::move(deliver)});
    }

    void step()
    {
        this->work();
        this->arrivals += this->requestsPerSecond * std::chrono::duration<double>(tick).count();
        for (; this->arrivals >= 1; this->arrivals -= 1)
            this->send();
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (this->instances[i].nextReport > this->now)
                continue;
            this->instances[i].nextReport = this->now + 600ms;
            this->post([this, i, evidence = this->instances[i].meter.takeEvidence()] {
                this->owner.receive(InstanceId("i" + std::to_string(i)), evidence, this->now);
            });
        }
        if (this->now >= this->nextStates) {
            this->nextStates = this->now + 600ms;
            this->owner.update(this->now);
            for (std::size_t i = 0; i < this->instances.size(); ++i)
                this->post(
                        [this, i,
                         states = this->owner.computeStates(InstanceId("i" + std::to_string(i)))] {
                            this->instances[i].meter.receiveStates(states, this->now);
                        });
        }
        std::vector<Message> due;
        std::erase_if(this->messages, [&](Message &message) {
            if (message.due > this->now)
                return false;
            due.push_back(std::move(message));
            return true;
        });
        for (const Message &message : due)
            message.deliver();
    }

    void work()
    {
        std::vector<std::size_t> held(this->upstreams.size());
        for (const Request &request : this->running)
            ++held[request.upstream];
        for (std::size_t u = 0; u < held.size(); ++u)
            this->upstreams[u].mostInFlight = std::max(this->upstreams[u].mostInFlight, held[u]);
        std::erase_if(this->running, [&](Request &request) {
            Upstream &upstream = this->upstreams[request.upstream];
            const double share = std::min(1.0, slots / static_cast<double>(held[request.upstream]));
            request.work -= std::chrono::duration<double>(tick).count() * upstream.speed * share;
            if (request.work > 0)
                return false;
            PaceMeter &meter = this->instances[request.instance].meter;
            meter.recordFinish(service, request.process);
            meter.recordCompletion(service, request.process, this->now - request.sentAt, baseTime);
            ++upstream.completed;
            return true;
        });
    }

    void send()
    {
        const std::size_t i = this->random.below(this->instances.size());
        const bool mayBeRetried = this->random.below(2) == 0;
        PaceMeter &meter = this->instances[i].meter;
        std::optional<std::size_t> best;
        double bestCost = 0;
        for (std::size_t u = 0; u < this->upstreams.size(); ++u) {
            const Upstream &upstream = this->upstreams[u];
            if (i < upstream.avoidingInstances)
                continue;
            if (!meter.hasPlace(upstream.process, mayBeRetried, this->now)) {
                meter.recordWanted(service, upstream.process);
                continue;
            }
            const double cost = (1 + static_cast<double>(this->inFlight(u)) / slots
                                 + this->random.unit() * 0.3)
                                / meter.speed(upstream.process, this->now);
            if (!best || cost < bestCost) {
                best = u;
                bestCost = cost;
            }
        }
        if (!best)
            return;
        Upstream &upstream = this->upstreams[*best];
        if (upstream.isFailing) {
            meter.recordFailure(service, upstream.process);
            return;
        }
        if (this->inFlight(*best) >= maxHeld) {
            ++upstream.refused;
            meter.recordRefusal(service, upstream.process);
            return;
        }
        meter.recordStart(service, upstream.process);
        this->running.push_back({i, *best, upstream.process, this->now,
                                 std::chrono::duration<double>(baseTime).count()});
    }

    std::vector<Instance> instances;
    std::vector<Request> running;
    std::vector<Message> messages;
    double arrivals = 0;
    TimePoint nextStates{};
    Random random{7};
};

} // namespace

TEST_CASE("The pace of upstreams follows the evidence of all instances")
{
    // 240 requests a second at 8 upstreams: 12 of 24 slots each.
    Fleet fleet(8, 240);
    fleet.run(10s);

    SUBCASE("none has a limit without a start or failures")
    {
        for (std::size_t u = 0; u < 8; ++u)
            CHECK_FALSE(fleet.limit(u));
    }

    // Guards against a flood: the upstream looks empty to 125 instances at once.
    SUBCASE("one that starts at half speed is not flooded, and gets its part afterwards")
    {
        fleet.restart(0);
        fleet.upstreams[0].speed = 0.5;
        fleet.run(1500ms);
        REQUIRE(fleet.limit(0));
        CHECK(fleet.limit(0) <= 8);
        CHECK(fleet.upstreams[0].mostInFlight <= 8);
        fleet.run(3500ms);
        CHECK(fleet.upstreams[0].mostInFlight <= 24);
        CHECK(fleet.upstreams[0].refused == 0);
        fleet.upstreams[0].speed = 1;
        const std::uint64_t before = fleet.upstreams[0].completed;
        fleet.run(15s);
        CHECK_FALSE(fleet.limit(0));
        CHECK(fleet.upstreams[0].completed - before > 300);
    }

    SUBCASE("one that returns after a crash beside a burst is not flooded")
    {
        fleet.upstreams[0].isFailing = true;
        fleet.crash(0);
        fleet.requestsPerSecond = 480;
        fleet.run(3s);
        fleet.upstreams[0].isFailing = false;
        fleet.restart(0);
        fleet.run(2s);
        CHECK(fleet.upstreams[0].mostInFlight <= 24);
        CHECK(fleet.upstreams[0].refused == 0);
        fleet.run(15s);
        CHECK_FALSE(fleet.limit(0));
    }

    SUBCASE("a third of the service that restarts at the same moment returns")
    {
        for (std::size_t u = 0; u < 3; ++u)
            fleet.restart(u);
        fleet.run(1s);
        for (std::size_t u = 0; u < 3; ++u)
            CHECK(fleet.limit(u));
        fleet.run(15s);
        for (std::size_t u = 0; u < 3; ++u) {
            CHECK_FALSE(fleet.limit(u));
            CHECK(fleet.inFlight(u) >= 6);
        }
    }

    SUBCASE("one that flaps is raised more slowly with each start")
    {
        for (int i = 0; i < 4; ++i) {
            fleet.restart(0);
            fleet.run(4s);
        }
        REQUIRE(fleet.limit(0));
        CHECK(fleet.limit(0) <= 4);
    }

    // Guards against a limit on a working upstream that some instances can't reach.
    SUBCASE("a health check that is wrongly bad at some instances limits nothing")
    {
        fleet.upstreams[0].avoidingInstances = 60;
        fleet.run(8s);
        CHECK_FALSE(fleet.limit(0));
    }

    SUBCASE("failures limit an upstream that its health check calls well")
    {
        fleet.upstreams[0].isFailing = true;
        fleet.run(5s);
        REQUIRE(fleet.limit(0));
        CHECK(*fleet.limit(0) == 2);
        fleet.upstreams[0].isFailing = false;
        fleet.run(30s);
        CHECK_FALSE(fleet.limit(0));
    }

    SUBCASE("one that is permanently slow has a speed and no limit")
    {
        fleet.upstreams[0].speed = 0.55;
        fleet.run(15s);
        CHECK_FALSE(fleet.limit(0));
        CHECK(fleet.speed(0) > 0.4);
        CHECK(fleet.speed(0) < 0.7);
        fleet.restart(0);
        fleet.run(20s);
        CHECK_FALSE(fleet.limit(0));
    }

    SUBCASE("ones that are merely loaded have no limit")
    {
        fleet.requestsPerSecond = 520;
        fleet.run(10s);
        for (std::size_t u = 0; u < 8; ++u)
            CHECK_FALSE(fleet.limit(u));
    }
}

TEST_CASE("The places of a limit add up to it")
{
    const PaceLimits limits = makeLimits();
    const UpstreamProcess process{UpstreamId("u"), 5};
    PaceAggregate owner(limits);
    TimePoint now{1h};
    for (int i = 0; i < 125; ++i)
        owner.receive(InstanceId("i" + std::to_string(i)), {}, now);
    owner.recordUpstreamStart(service, process, now);
    UpstreamEvidence evidence{service, process};
    evidence.wanted = 3;
    owner.receive(InstanceId("i7"), {evidence}, now);
    owner.update(now);
    std::uint32_t places = 0;
    for (int i = 0; i < 125; ++i) {
        const auto states = owner.computeStates(InstanceId("i" + std::to_string(i)));
        REQUIRE(states.size() == 1);
        places += states.front().places;
    }
    CHECK(places == limits.firstLimit);
    CHECK(owner.computeStates(InstanceId("i7")).front().places == 1);
}

TEST_CASE("An instance applies what the owner says")
{
    const UpstreamProcess process{UpstreamId("u"), 5};
    PaceMeter meter(makeLimits());
    const TimePoint now{1h};
    CHECK(meter.hasPlace(process, false, now));
    meter.receiveStates({{process, 0.5, 1, 1, true}}, now);

    SUBCASE("a request that is not idempotent is no probe")
    {
        CHECK_FALSE(meter.hasPlace(process, false, now));
        CHECK(meter.hasPlace(process, true, now));
    }
    SUBCASE("it keeps to its places")
    {
        meter.recordStart(service, process);
        CHECK_FALSE(meter.hasPlace(process, true, now));
        CHECK(meter.takeEvidence().size() == 1);
        CHECK_FALSE(meter.hasPlace(process, true, now));
        meter.recordFinish(service, process);
        CHECK(meter.hasPlace(process, true, now));
    }
    SUBCASE("a state ends that is not repeated, and one of another process does not hold")
    {
        CHECK(meter.speed(process, now) == 0.5);
        CHECK(meter.speed({process.upstream, 6}, now) == 1);
        CHECK(meter.hasPlace(process, false, now + 6s));
        CHECK(meter.speed(process, now + 6s) == 1);
    }
}

TEST_CASE("The next owner takes over the limits that it was sent")
{
    const UpstreamProcess process{UpstreamId("u"), 5};
    PaceAggregate owner(makeLimits());
    owner.adopt({{process, 0.5, 8, 1, false}}, TimePoint(1h));
    CHECK(owner.limit(process.upstream) == 8);
    CHECK(owner.speed(process.upstream) == 0.5);
}

TEST_CASE("No evidence is collected while the feature is off")
{
    const UpstreamProcess process{UpstreamId("u"), 5};
    PaceMeter meter;
    meter.recordStart(service, process);
    meter.recordFailure(service, process);
    meter.receiveStates({{process, 0.5, 0, 0, false}}, TimePoint(1h));
    CHECK(meter.takeEvidence().empty());
    CHECK(meter.hasPlace(process, false, TimePoint(1h)));
    CHECK(meter.speed(process, TimePoint(1h)) == 1);
}
