#include "core/random.hpp"
#include "gateway/workspace_quota.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

constexpr double requestTokens = 9240;
/// What the deployment's contract allows beyond the limit.
constexpr double allowedOverage = 0.1;
constexpr double allowedSlack = 110'000;

Workspace makeWorkspace(const std::string &name, double perSecond)
{
    Workspace workspace;
    workspace.id = WorkspaceId(name);
    workspace.quota = {QuotaUnit::Tokens, perSecond, perSecond, 200};
    return workspace;
}

QuotaLimits makeLimits()
{
    QuotaLimits limits;
    limits.overage = allowedOverage;
    limits.slackTokens = allowedSlack;
    return limits;
}

/// Instances that admit requests in virtual time, and an aggregator that hears of them late.
class Fleet
{
public:
    Fleet(std::size_t count, Workspace workspace, bool isFirstStart = true)
        : workspace(std::move(workspace))
        , instances(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->restart(i, isFirstStart);
        this->configure(this->workspace);
    }

    void configure(const Workspace &configured)
    {
        this->workspace = configured;
        this->aggregate.configure({configured}, this->now);
        for (Instance &instance : this->instances)
            instance.meter.configure({configured}, this->now);
    }

    void restart(std::size_t i, bool isFirst)
    {
        Instance &instance = this->instances[i];
        instance.meter = QuotaMeter(this->limits, isFirst, i + 1, this->now);
        instance.meter.configure({this->workspace}, this->now);
        instance.nextReport = this->now + this->random.below(300) * 1ms;
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i)
            this->restart(i, false);
        this->replaceAggregator();
    }

    /// The aggregator sends nothing for a while.
    void freezeAggregator(Duration time) { this->sharesFrom = this->now + time; }

    /// Another instance becomes the aggregator and knows nothing.
    void replaceAggregator()
    {
        this->aggregate = QuotaAggregate(this->limits);
        this->aggregate.configure({this->workspace}, this->now);
        this->sharesFrom = this->now + 700ms;
        this->inFlight.clear();
    }

    /// Lets callers ask for units a second, spread over the instances at random.
    void run(Duration time, double unitsPerSecond)
    {
        constexpr Duration step = 10ms;
        const double perStep
                = unitsPerSecond / requestTokens * std::chrono::duration<double>(step).count();
        for (const TimePoint end = this->now + time; this->now < end; this->now += step) {
            this->pending += perStep;
            for (; this->pending >= 1; this->pending -= 1)
                this->ask();
            this->exchange();
        }
    }

    double largestWindow() const
    {
        double largest = 0;
        double sum = 0;
        auto begin = this->admitted.begin();
        for (const TimePoint &time : this->admitted) {
            sum += requestTokens;
            for (; *begin + this->limits.window <= time; ++begin)
                sum -= requestTokens;
            largest = std::max(largest, sum);
        }
        return largest;
    }

    double bound() const
    {
        const Quota &quota = this->workspace.quota;
        const double seconds = std::chrono::duration<double>(this->limits.window).count();
        return (quota.perSecond * seconds + quota.burst) * (1 + allowedOverage) + allowedSlack;
    }

    double admittedUnits() const
    {
        return static_cast<double>(this->admitted.size()) * requestTokens;
    }
    double askedUnits() const { return static_cast<double>(this->asked) * requestTokens; }
    void forgetPast()
    {
        this->asked = 0;
        this->admitted.clear();
    }

    QuotaLimits limits = makeLimits();
    TimePoint now{1h};
    /// Part of the messages that get lost.
    double loss = 0;
    /// Instances from this one on don't reach the aggregator.
    std::size_t firstParted = 100'000;
    Duration delay = 20ms;

private:
    struct Instance
    {
        QuotaMeter meter{makeLimits(), true, 1, TimePoint()};
        TimePoint nextReport{};
    };
    struct Message
    {
        TimePoint arrival{};
        std::size_t instance = 0;
        std::optional<QuotaReport> report;
        std::vector<QuotaShare> shares;
    };

    void ask()
    {
        ++this->asked;
        Instance &instance = this->instances[this->random.below(this->instances.size())];
        if (instance.meter.admit(this->workspace.id, requestTokens, this->now).isAdmitted)
            this->admitted.push_back(this->now);
    }

    void post(std::size_t i, std::optional<QuotaReport> report, std::vector<QuotaShare> shares)
    {
        if (i < this->firstParted && this->random.unit() >= this->loss)
            this->inFlight.push_back(
                    {this->now + this->delay, i, std::move(report), std::move(shares)});
    }

    void exchange()
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            Instance &instance = this->instances[i];
            if (this->now < instance.nextReport)
                continue;
            instance.nextReport = this->now + 300ms;
            this->post(i, instance.meter.report(InstanceId(std::to_string(i)), this->now), {});
        }
        if (this->now >= this->sharesFrom && this->now >= this->nextShares) {
            this->nextShares = this->now + 300ms;
            const std::vector<QuotaShare> shares = this->aggregate.computeShares(this->now);
            for (std::size_t i = 0; i < this->instances.size(); ++i)
                this->post(i, std::nullopt, shares);
        }
        while (!this->inFlight.empty() && this->inFlight.front().arrival <= this->now) {
            const Message message = std::move(this->inFlight.front());
            this->inFlight.pop_front();
            if (message.report)
                this->aggregate.receive(*message.report, this->now);
            else
                this->instances[message.instance].meter.receiveShares(message.shares, this->now);
        }
    }

    Workspace workspace;
    std::vector<Instance> instances;
    QuotaAggregate aggregate{makeLimits()};
    Random random{20261206};
    std::deque<Message> inFlight;
    std::deque<TimePoint> admitted;
    std::size_t asked = 0;
    double pending = 0;
    TimePoint nextShares{};
    TimePoint sharesFrom{1h + 700ms};
};

} // namespace

// Guards against a quota that each of many instances counts for itself, so that all together admit
// many times the limit, or refuse what is within it.
TEST_CASE("the quota of a workspace holds over 125 instances that hear of each other late")
{
    for (const double perSecond : {29'000.0, 160'000.0, 661'556.0}) {
        CAPTURE(perSecond);
        const double usual = perSecond / 1.8;
        Fleet fleet(125, makeWorkspace("w", perSecond));

        SUBCASE("requests within the limit are admitted")
        {
            fleet.run(20s, usual);
            fleet.run(6s, 1.4 * usual);
            fleet.run(10s, usual);
            CHECK(fleet.admittedUnits() >= 0.95 * fleet.askedUnits());
            CHECK(fleet.largestWindow() <= fleet.bound());
        }
        SUBCASE("a workspace that asks for five times its usual rate gets its limit, and no more")
        {
            fleet.run(10s, usual);
            fleet.run(24s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
            CHECK(fleet.admittedUnits() >= 0.95 * (10 * usual + 24 * perSecond));
        }
        SUBCASE("also at seven and a half times, in bursts")
        {
            for (int i = 0; i < 4; ++i) {
                fleet.run(6s, usual);
                fleet.run(6s, 7.5 * usual);
            }
            CHECK(fleet.largestWindow() <= fleet.bound());
            CHECK(fleet.admittedUnits() >= 0.95 * (24 * usual + 24 * perSecond));
        }
        SUBCASE("also while a third of the messages gets lost and the others take 0.2 s")
        {
            fleet.loss = 0.33;
            fleet.delay = 200ms;
            fleet.run(10s, usual);
            fleet.run(12s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
            CHECK(fleet.admittedUnits() >= 0.95 * (10 * usual + 12 * perSecond));
        }
        SUBCASE("also when the aggregator is replaced in the middle")
        {
            fleet.run(10s, usual);
            fleet.run(6s, 5 * usual);
            fleet.replaceAggregator();
            fleet.run(10s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
        }
        SUBCASE("also when the aggregator freezes as the load rises, and wakes up")
        {
            fleet.run(10s, usual);
            fleet.freezeAggregator(3s);
            fleet.run(12s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
        }
        SUBCASE("also when a third of the instances is parted from the aggregator and comes back")
        {
            fleet.run(10s, usual);
            fleet.run(4s, 5 * usual);
            fleet.firstParted = 84;
            fleet.run(8s, 5 * usual);
            fleet.firstParted = 125;
            fleet.run(10s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
        }
        SUBCASE("also when all instances restart at once")
        {
            fleet.run(10s, usual);
            fleet.run(8s, 5 * usual);
            fleet.restartAll();
            fleet.run(12s, 5 * usual);
            CHECK(fleet.largestWindow() <= fleet.bound());
        }
    }
}

// Guards against a lowered quota that refuses everything until what was admitted under the former
// one has left the window.
TEST_CASE("a lowered quota comes into force over one window")
{
    Fleet fleet(125, makeWorkspace("w", 400'000));
    fleet.run(12s, 300'000);
    fleet.configure(makeWorkspace("w", 100'000));
    fleet.forgetPast();
    fleet.run(8s, 300'000);
    CHECK(fleet.admittedUnits() > 4 * 100'000);
    fleet.forgetPast();
    fleet.run(16s, 300'000);
    CHECK(fleet.largestWindow() <= fleet.bound());
    CHECK(fleet.admittedUnits() >= 0.95 * 16 * 100'000);
}

// Guards against a workspace that uses up its quota of a whole window in the first seconds of a
// rise, and is refused what it is owed in the next ones.
TEST_CASE("a workspace whose load rises gets its rate in each second")
{
    constexpr double perSecond = 200'000;
    Fleet fleet(125, makeWorkspace("w", perSecond));
    fleet.run(10s, perSecond / 1.8);
    fleet.run(2s, 6 * perSecond / 1.8);
    for (int second = 0; second < 8; ++second) {
        fleet.forgetPast();
        fleet.run(1s, 6 * perSecond / 1.8);
        CAPTURE(second);
        CHECK(fleet.admittedUnits() >= 0.6 * perSecond);
    }
}

// Guards against a header that is missing or malformed and makes a request free of charge.
TEST_CASE("a request counts its tokens, the workspace's number, or one")
{
    const Quota tokens{QuotaUnit::Tokens, 100, 0, 200};
    CHECK(requestUnits(tokens, 9240.0) == 9240);
    CHECK(requestUnits(tokens, std::nullopt) == 200);
    const Quota requests{QuotaUnit::Requests, 100, 0, 200};
    CHECK(requestUnits(requests, 9240.0) == 1);
}

// Guards against a request that waited, was not sent, and makes room for others twice: when its
// slot leaves the window, and when it is taken out of a later one.
TEST_CASE("a request that was not sent is taken out of the slot in which it was admitted")
{
    const TimePoint start{1h};
    QuotaMeter meter(QuotaLimits(), true, 1, start);
    meter.configure({makeWorkspace("w", 100'000)}, start);
    REQUIRE(meter.admit(WorkspaceId("w"), 10, start).isAdmitted);
    REQUIRE(meter.admit(WorkspaceId("w"), 20, start + 5s).isAdmitted);
    meter.release(WorkspaceId("w"), 10, start);
    const QuotaReport report = meter.report(InstanceId("a"), start + 5s);
    REQUIRE(report.uses.size() == 1);
    REQUIRE(report.uses[0].slots.size() == 2);
    CHECK(report.uses[0].slots[0].admitted == 0);
    CHECK(report.uses[0].slots[1].admitted == 20);
    meter.release(WorkspaceId("w"), 10, start - 1s);
    CHECK(meter.report(InstanceId("a"), start + 5s) == report);
}

// Guards against one request that states billions of tokens, and against an instance that hears of
// no aggregator and admits everything.
TEST_CASE("one instance by itself admits no more than the whole quota")
{
    const TimePoint start{1h};
    QuotaMeter meter(QuotaLimits(), false, 1, start);
    meter.configure({makeWorkspace("w", 29'000)}, start);
    const TimePoint known = start + 9s;
    CHECK_FALSE(meter.admit(WorkspaceId("w"), 8e9, known).isAdmitted);
    CHECK(meter.admit(WorkspaceId("w"), requestTokens, known).isAdmitted);
    double admitted = requestTokens;
    for (int i = 0; i < 700; ++i)
        admitted += meter.admit(WorkspaceId("w"), requestTokens, known + i * 10ms).isAdmitted
                            ? requestTokens
                            : 0;
    CHECK(admitted <= 9 * 29'000);
    CHECK(admitted >= 0.95 * 8 * 29'000);

    Workspace rare = makeWorkspace("rare", 0.05);
    rare.quota = {QuotaUnit::Requests, 0.05, 0, 0};
    meter.configure({rare}, start);
    CHECK(meter.admit(WorkspaceId("rare"), 1, known).isAdmitted);
}

// Guards against divisions by zero, and against reports with more slots than the aggregator reads.
TEST_CASE("odd windows are measured")
{
    for (const Duration window :
         {Duration(0), Duration(100ms), Duration(1s), Duration(2min), Duration(24h * 365 * 10)}) {
        CAPTURE(window.count());
        QuotaLimits limits;
        limits.window = window;
        const TimePoint start{1h};
        QuotaMeter meter(limits, true, 1, start);
        QuotaAggregate aggregate(limits);
        const Workspace workspace = makeWorkspace("w", 1e6);
        meter.configure({workspace}, start);
        aggregate.configure({workspace}, start);
        TimePoint now = start;
        for (; now < start + 150s; now += 100ms)
            CHECK(meter.admit(workspace.id, 10, now).isAdmitted);
        const QuotaReport report = meter.report(InstanceId("a"), now);
        REQUIRE(report.uses.size() == 1);
        CHECK(report.uses[0].slots.size() <= 128);
        aggregate.receive(report, now);
        meter.receiveShares({{workspace.id, 0.5, 1e6}}, now);
        for (const QuotaShare &share : aggregate.computeShares(now))
            CHECK(share.admitted == 1);
        const double share = meter.admittedShare(workspace.id, now + 10s);
        CHECK(share >= 0);
        CHECK(share <= 1);
    }
}

// Guards against an aggregator that refuses everything because of one odd report.
TEST_CASE("odd numbers in a report are bounded")
{
    const TimePoint now{1h};
    QuotaAggregate aggregate{QuotaLimits()};
    aggregate.configure({makeWorkspace("w", 1000)}, now);
    aggregate.receive({InstanceId("a"), 8s, {}}, now);
    aggregate.receive({InstanceId("b"), -24h * 365, {}}, now);
    QuotaUse use{WorkspaceId("w"), {{4'000'000'000U, 1e15, 1e15}, {0, 10, 10}}};
    aggregate.receive({InstanceId("c"), 8s, {use}}, now);
    for (const QuotaShare &share : aggregate.computeShares(now))
        CHECK(share.admitted == 1);
}

// Guards against instances that are cut off when a workspace is idle, and then admit everything.
TEST_CASE("an old share of an idle workspace is corrected by the demand since")
{
    const TimePoint start{1h};
    QuotaMeter meter(QuotaLimits(), true, 1, start);
    meter.configure({makeWorkspace("w", 1000)}, start);
    meter.receiveShares({{WorkspaceId("w"), 1.0, 0.0}}, start);
    for (int i = 0; i < 40; ++i)
        meter.admit(WorkspaceId("w"), 10, start + 3s + i * 10ms);
    CHECK(meter.admittedShare(WorkspaceId("w"), start + 4s) < 0.2);
}
