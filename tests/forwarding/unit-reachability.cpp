#include "forwarding/reachability.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::forwarding;
using namespace std::chrono_literals;

namespace {

/// Records rounds of four probes until the next one is in the future, and returns their number.
int runRounds(Reachability &links, std::size_t held, bool isHelped, TimePoint &now, int count)
{
    int rounds = 0;
    while (rounds < count && links.nextRound() != TimePoint::max()) {
        now = std::max(now, links.nextRound());
        links.recordRound(now, 4, held, isHelped, now);
        ++rounds;
    }
    return rounds;
}

} // namespace

// Guards against an instance that goes on sending its callers' requests into a cut.
TEST_CASE("an instance whose calls and probes all fail is cut off")
{
    Reachability links;
    TimePoint now(100s);
    links.recordAnswer(now - 20ms, now);
    CHECK(links.nextRound() == TimePoint::max());
    const TimePoint begunAt = now + 10ms;
    now += 410ms;
    links.recordFailure(begunAt, now);
    CHECK(links.state(now) == ReachabilityState::Suspected);
    CHECK(links.isInDoubt(now));
    CHECK(links.ownShare(now) == 1);
    CHECK(runRounds(links, 0, true, now, 2) == 2);
    CHECK(links.state(now) == ReachabilityState::CutOff);
    CHECK(links.ownShare(now) == 0);
    CHECK(now <= begunAt + 1s);

    SUBCASE("a connection from before the cut that lives on does not end it")
    {
        links.recordAnswer(begunAt - 5ms, now);
        CHECK(links.state(now) == ReachabilityState::CutOff);
        CHECK_FALSE(links.hasEvidence(100ms, now));
    }
    SUBCASE("it returns after two good rounds, with a growing share")
    {
        CHECK(runRounds(links, 2, true, now, 1) == 1);
        CHECK(links.state(now) == ReachabilityState::CutOff);
        CHECK(runRounds(links, 4, true, now, 1) == 1);
        CHECK(links.state(now) == ReachabilityState::Returning);
        CHECK(links.ownShare(now) == 0);
        CHECK(links.ownShare(now + 1s) == doctest::Approx(0.5));
        CHECK(links.state(now + 2s) == ReachabilityState::Reachable);

        SUBCASE("a link that comes and goes needs more of them the next time")
        {
            now += 3s;
            links.recordFailure(now, now);
            runRounds(links, 0, true, now, 2);
            REQUIRE(links.state(now) == ReachabilityState::CutOff);
            runRounds(links, 4, true, now, 3);
            CHECK(links.state(now) == ReachabilityState::CutOff);
            runRounds(links, 4, true, now, 1);
            CHECK(links.state(now) == ReachabilityState::Returning);
        }
        SUBCASE("a cut long after does not")
        {
            now += 60s;
            links.recordFailure(now, now);
            runRounds(links, 0, true, now, 2);
            runRounds(links, 4, true, now, 2);
            CHECK(links.state(now) == ReachabilityState::Returning);
        }
    }
    SUBCASE("it knows afterwards from when to when")
    {
        // The service may have ended as well.
        CHECK_FALSE(links.wasCutOff(begunAt));
        links.recordHelp();
        CHECK(links.wasCutOff(begunAt));
        CHECK_FALSE(links.wasCutOff(begunAt - 1ms));
        runRounds(links, 4, true, now, 2);
        const TimePoint returnedAt = now;
        CHECK(links.wasCutOff(returnedAt));
        CHECK_FALSE(links.wasCutOff(returnedAt + 1ms));
    }
    SUBCASE("a round in which only a few connections hold is not good")
    {
        runRounds(links, 1, true, now, 5);
        CHECK(links.state(now) == ReachabilityState::CutOff);
    }
    SUBCASE("where nobody helps, the first good round ends it, with all requests")
    {
        runRounds(links, 4, false, now, 1);
        CHECK(links.state(now) == ReachabilityState::Reachable);
        CHECK(links.ownShare(now) == 1);
    }
    SUBCASE("an upstream that starts is probed at once")
    {
        links.expectChange(now + 10ms);
        CHECK(links.nextRound() == now + 10ms);
    }
}

// Guards against an instance that takes a crashed upstream or a slow moment for a cut.
TEST_CASE("failed calls alone don't make an instance cut off")
{
    Reachability links;
    TimePoint now(100s);
    SUBCASE("a probe holds")
    {
        links.recordFailure(now, now);
        runRounds(links, 1, false, now, 1);
        CHECK(links.state(now) == ReachabilityState::Reachable);
        CHECK(links.hasEvidence(1s, now));
    }
    SUBCASE("another upstream has answered a call that began later")
    {
        links.recordAnswer(now + 50ms, now + 100ms);
        links.recordFailure(now, now + 400ms);
        CHECK(links.state(now + 400ms) == ReachabilityState::Reachable);
    }
    SUBCASE("another upstream answers such a call after the failure")
    {
        links.recordFailure(now, now + 400ms);
        links.recordAnswer(now + 50ms, now + 500ms);
        CHECK(links.state(now + 500ms) == ReachabilityState::Reachable);
        CHECK(links.nextRound() == TimePoint::max());
    }
    SUBCASE("the answer to an earlier call leaves it in doubt")
    {
        links.recordFailure(now, now + 400ms);
        links.recordAnswer(now - 50ms, now + 500ms);
        CHECK(links.state(now + 500ms) == ReachabilityState::Suspected);
    }
    SUBCASE("no upstream is known")
    {
        links.recordFailure(now, now);
        links.recordRound(now, 0, 0, false, now);
        CHECK(links.state(now) == ReachabilityState::Reachable);
    }
}

// Guards against requests that are sent through other instances because of a crashed upstream,
// before the probes have shown that others are reached.
TEST_CASE("refused calls are undecided until the first round of probes shows a crash or a cut")
{
    Reachability links;
    const TimePoint now(100s);
    CHECK_FALSE(links.awaitsFirstRound());
    links.recordFailure(now, now + 1ms);
    CHECK(links.awaitsFirstRound());
    CHECK(links.nextRound() == now + 1ms);

    SUBCASE("the first connection that holds shows a crash, while others of the round hang")
    {
        links.recordHeldProbe(now + 1ms, now + 32ms);
        CHECK(links.state(now + 32ms) == ReachabilityState::Reachable);
        CHECK(links.hasEvidence(1ms, now + 32ms));

        SUBCASE("what fails in the same moment raises no suspicion again")
        {
            links.recordFailure(now, now + 33ms);
            CHECK(links.state(now + 33ms) == ReachabilityState::Reachable);
        }
        SUBCASE("a call that begins later does, and the open round says nothing of it")
        {
            links.recordFailure(now + 40ms, now + 41ms);
            links.recordRound(now + 1ms, 4, 3, false, now + 301ms);
            CHECK(links.awaitsFirstRound());
            CHECK(links.nextRound() == now + 301ms);
            links.recordRound(now + 301ms, 4, 1, false, now + 332ms);
            CHECK(links.state(now + 332ms) == ReachabilityState::Reachable);
        }
        SUBCASE("its rounds are as far apart as others")
        {
            links.recordFailure(now + 40ms, now + 41ms);
            links.recordRound(now + 1ms, 4, 4, false, now + 50ms);
            CHECK(links.nextRound() == now + 1ms + ReachabilityLimits().minRoundInterval);
        }
    }
    SUBCASE("a connection of a round that began before the call doesn't decide it")
    {
        links.recordHeldProbe(now - 1ms, now + 2ms);
        CHECK(links.awaitsFirstRound());
    }
    SUBCASE("an answer to a call that began later decides it without a round")
    {
        links.recordAnswer(now + 1ms, now + 5ms);
        CHECK_FALSE(links.awaitsFirstRound());
    }
    SUBCASE("a round without one leaves the suspicion and ends the wait; the next one decides")
    {
        links.recordRound(now + 1ms, 4, 0, true, now + 2ms);
        CHECK_FALSE(links.awaitsFirstRound());
        CHECK(links.state(now + 2ms) == ReachabilityState::Suspected);
        CHECK(links.nextRound() == now + 2ms + ReachabilityLimits().suspicionInterval);
        links.recordRound(now + 102ms, 4, 0, true, now + 103ms);
        CHECK(links.state(now + 103ms) == ReachabilityState::CutOff);
        links.recordHeldProbe(now + 603ms, now + 633ms);
        CHECK(links.state(now + 633ms) == ReachabilityState::CutOff);
    }
    SUBCASE("calls that are accepted and not answered are another matter")
    {
        Reachability silent;
        silent.recordSilence(now, now + 1s);
        CHECK_FALSE(silent.awaitsFirstRound());
        silent.recordHeldProbe(now + 1s, now + 1030ms);
        CHECK(silent.state(now + 1030ms) == ReachabilityState::Suspected);
    }
}

TEST_CASE("many failures start one round of probes at a time")
{
    Reachability links;
    TimePoint now(100s);
    links.recordFailure(now, now);
    links.recordRound(now, 4, 4, false, now);
    for (int i = 0; i < 10; ++i)
        links.recordFailure(now + 1ms, now + 1ms);
    CHECK(links.nextRound() == now + ReachabilityLimits().minRoundInterval);
}

namespace {

/// Records rounds of two probes that need an answer until the next one is in the future, and
/// returns their number.
int askRounds(Reachability &links, std::size_t answered, bool isHelped, TimePoint &now, int count)
{
    int rounds = 0;
    while (rounds < count && links.nextRound() != TimePoint::max()) {
        now = std::max(now, links.nextRound());
        const TimePoint begunAt = now;
        now += answered > 0 ? 5ms : 400ms;
        links.recordRound(begunAt, 2, answered, isHelped, now, ProbeKind::Answer);
        ++rounds;
    }
    return rounds;
}

} // namespace

// Guards against an instance whose calls are all accepted and never answered, so that each of its
// callers waits to the deadline.
TEST_CASE("an instance whose calls and probes are accepted and not answered is cut off")
{
    Reachability links;
    TimePoint now(100s);
    links.recordAnswer(now - 20ms, now);
    const TimePoint begunAt = now + 10ms;
    now += 1010ms;
    links.recordSilence(begunAt, now);
    REQUIRE(links.state(now) == ReachabilityState::Suspected);
    CHECK(links.isUnanswered());
    CHECK(links.probeKind() == ProbeKind::Answer);
    CHECK(links.nextRound() == now);
    CHECK(links.ownShare(now) == 1);

    SUBCASE("if another one reaches the service")
    {
        CHECK(askRounds(links, 0, true, now, 2) == 2);
        CHECK(links.state(now) == ReachabilityState::CutOff);
        CHECK(links.isUnanswered());
        CHECK(now <= begunAt + 2s);

        SUBCASE("connections that hold without an answer don't end it")
        {
            for (int i = 0; i < 4; ++i) {
                now = std::max(now, links.nextRound());
                links.recordRound(now, 4, 4, true, now);
                now += 500ms;
            }
            CHECK(links.state(now) == ReachabilityState::CutOff);
        }
        SUBCASE("an answer to a call that began since ends it, with a growing share")
        {
            links.recordAnswer(begunAt - 1s, now);
            CHECK(links.state(now) == ReachabilityState::CutOff);
            links.recordAnswer(begunAt + 1ms, now);
            CHECK(links.state(now) == ReachabilityState::Returning);
            CHECK(links.state(now + 2s) == ReachabilityState::Reachable);
        }
        SUBCASE("two answered rounds end it, with a growing share")
        {
            CHECK(askRounds(links, 2, true, now, 1) == 1);
            CHECK(links.state(now) == ReachabilityState::CutOff);
            CHECK(askRounds(links, 1, true, now, 1) == 1);
            CHECK(links.state(now) == ReachabilityState::Returning);
            CHECK_FALSE(links.isUnanswered());
            CHECK(links.probeKind() == ProbeKind::Connection);
            CHECK(links.state(now + 2s) == ReachabilityState::Reachable);
        }
    }
    SUBCASE("not while nobody reaches it, and rounds become rare then")
    {
        CHECK(askRounds(links, 0, false, now, 10) == 10);
        CHECK(links.state(now) == ReachabilityState::Suspected);
        CHECK(links.nextRound() == now + ReachabilityLimits().maxSuspicionInterval);

        SUBCASE("until another one does")
        {
            CHECK(askRounds(links, 0, true, now, 1) == 1);
            CHECK(links.state(now) == ReachabilityState::CutOff);
        }
    }
    SUBCASE("a round of connections that was begun before the suspicion doesn't end it")
    {
        links.recordRound(now - 10ms, 4, 4, true, now);
        CHECK(links.state(now) == ReachabilityState::Suspected);
        CHECK(links.isUnanswered());
    }
    SUBCASE("upstreams to which no connection can be made are unreachable, whoever helps")
    {
        askRounds(links, 0, false, now, 3);
        links.recordRound(now, 2, 0, false, now);
        CHECK(links.state(now) == ReachabilityState::Suspected);
        CHECK(links.probeKind() == ProbeKind::Connection);
        runRounds(links, 0, false, now, 1);
        CHECK(links.state(now) == ReachabilityState::CutOff);
        CHECK_FALSE(links.isUnanswered());
    }
    SUBCASE("one that shows that it may help needs an answer")
    {
        CHECK(links.hasEvidence(2s, now));
        links.recordRound(now, 4, 4, true, now);
        CHECK(links.hasEvidence(100ms, now));
        CHECK_FALSE(links.hasEvidence(100ms, now, ProbeKind::Answer));
    }
    SUBCASE("one that is answered late itself doesn't show it")
    {
        Reachability other;
        other.recordAnswer(now - 1s, now);
        CHECK(other.hasEvidence(100ms, now));
        CHECK_FALSE(other.hasEvidence(100ms, now, ProbeKind::Answer));
        other.recordAnswer(now - 100ms, now);
        CHECK(other.hasEvidence(100ms, now, ProbeKind::Answer));
    }
}

// Guards against an instance that takes slow upstreams, or a single silent one, for a cut, and
// against probes of upstreams that answer.
TEST_CASE("silent calls alone don't make an instance cut off")
{
    Reachability links;
    TimePoint now(100s);
    SUBCASE("another upstream has answered a call that began later")
    {
        links.recordAnswer(now + 10ms, now + 20ms);
        links.recordSilence(now, now + 1s);
        CHECK(links.state(now + 1s) == ReachabilityState::Reachable);
    }
    SUBCASE("answers come late for all calls, but they come")
    {
        for (int i = 0; i < 100; ++i) {
            now += 400ms;
            links.recordAnswer(now - 3s, now);
            links.recordSilence(now - 1s, now + 300ms);
            CHECK(links.nextRound() == TimePoint::max());
        }
    }
    SUBCASE("a late answer comes while it is in doubt")
    {
        links.recordSilence(now, now + 1s);
        links.recordAnswer(now - 1s, now + 1100ms);
        CHECK(links.state(now + 1100ms) == ReachabilityState::Reachable);
        CHECK(links.nextRound() == TimePoint::max());
    }
    SUBCASE("no connection can be made either: that is another cut")
    {
        links.recordFailure(now, now + 400ms);
        now += 400ms;
        runRounds(links, 0, false, now, 1);
        links.recordSilence(now - 1s, now);
        CHECK_FALSE(links.isUnanswered());
        runRounds(links, 0, false, now, 1);
        CHECK(links.state(now) == ReachabilityState::CutOff);
    }
    SUBCASE("a connection that holds says nothing about silence")
    {
        links.recordFailure(now, now);
        runRounds(links, 4, false, now, 1);
        links.recordSilence(now - 1s, now);
        CHECK(links.isUnanswered());
    }
    SUBCASE("a probe is answered")
    {
        links.recordSilence(now, now + 1s);
        now += 1s;
        CHECK(askRounds(links, 1, true, now, 1) == 1);
        CHECK(links.state(now) == ReachabilityState::Reachable);
        CHECK(links.nextRound() == TimePoint::max());

        SUBCASE("then silence raises none for a second, and for longer each time, up to a bound")
        {
            int rounds = 1;
            const TimePoint begin = now;
            while (now < begin + 120s) {
                now += 200ms;
                links.recordSilence(now - 1s, now);
                rounds += askRounds(links, 1, true, now, 1);
                if (now < begin + 1s)
                    CHECK(rounds == 1);
            }
            // Pauses of 1, 2, 4, 8 and then 16 s.
            CHECK(rounds <= 12);
            CHECK(rounds >= 9);
        }
        SUBCASE("but a cut long after is found as soon as the first one")
        {
            now += 60s;
            links.recordSilence(now - 1s, now);
            CHECK(links.isUnanswered());
        }
    }
}
