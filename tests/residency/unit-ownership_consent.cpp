#include "residency/ownership_consent.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

constexpr Fence fence(7);

ConsentAnswer makeAnswer(const std::string &sender, const ConsentQuery &query, bool isGranted)
{
    return {InstanceId(sender), query.fence, query.round, isGranted, false};
}

} // namespace

TEST_CASE("an owner goes on without the store only with the consent of every instance it heard of")
{
    OwnershipConsent consent;
    const TimePoint begin(100s);
    CHECK_FALSE(consent.isValid(begin));
    consent.recordMember(InstanceId("a"), {"10.0.0.1", 1}, begin);
    consent.recordMember(InstanceId("b"), {"10.0.0.2", 1}, begin);
    CHECK(consent.members().size() == 2);
    const ConsentQuery query = consent.beginRound(fence, 400ms, begin);
    CHECK(query.storeLostFor == 400ms);
    consent.recordAnswer(makeAnswer("a", query, true), fence);
    CHECK_FALSE(consent.isValid(begin));
    consent.recordAnswer(makeAnswer("b", query, true), fence);
    CHECK(consent.isValid(begin + 10ms));

    SUBCASE("it ends before the instances may try to become the owner, counted from the question")
    {
        CHECK(consent.isValid(begin + 1399ms));
        CHECK_FALSE(consent.isValid(begin + 1400ms));
        const ConsentQuery second = consent.beginRound(fence, 1s, begin + 600ms);
        consent.recordAnswer(makeAnswer("a", second, true), fence);
        CHECK_FALSE(consent.isValid(begin + 1400ms));
        consent.recordAnswer(makeAnswer("b", second, true), fence);
        CHECK(consent.isValid(begin + 1999ms));
        CHECK_FALSE(consent.isValid(begin + 2000ms));
    }
    SUBCASE("one that reaches the store ends it at once")
    {
        const ConsentQuery second = consent.beginRound(fence, 1s, begin + 300ms);
        consent.recordAnswer(makeAnswer("b", second, false), fence);
        CHECK_FALSE(consent.isValid(begin + 310ms));
        SUBCASE("also when its earlier answer comes later")
        {
            consent.recordAnswer(makeAnswer("b", query, true), fence);
            CHECK_FALSE(consent.isValid(begin + 320ms));
        }
    }
    SUBCASE("an instance that appears has to consent as well")
    {
        consent.recordMember(InstanceId("c"), {"10.0.0.3", 1}, begin + 100ms);
        CHECK_FALSE(consent.isValid(begin + 100ms));
    }
    SUBCASE("answers to another ownership, to no question and of strangers don't count")
    {
        consent.discardAnswers();
        CHECK_FALSE(consent.isValid(begin + 10ms));
        consent.recordAnswer(makeAnswer("a", query, true), fence);
        const ConsentQuery next = consent.beginRound(Fence(9), 1s, begin + 100ms);
        consent.recordAnswer(makeAnswer("a", next, true), Fence(9));
        consent.recordAnswer(makeAnswer("b", {fence, next.round, 1s}, true), Fence(9));
        consent.recordAnswer(makeAnswer("z", next, true), Fence(9));
        CHECK_FALSE(consent.isValid(begin + 110ms));
        consent.recordAnswer(makeAnswer("b", next, true), Fence(9));
        CHECK(consent.isValid(begin + 110ms));
    }
    SUBCASE("a process that is shutting down consents for good, the one after it does not")
    {
        ConsentAnswer last = makeAnswer("b", consent.beginRound(fence, 1s, begin + 300ms), true);
        last.isFinal = true;
        consent.recordAnswer(last, fence);
        TimePoint now = begin;
        for (int i = 0; i < 20; ++i) {
            now += 300ms;
            consent.recordAnswer(makeAnswer("a", consent.beginRound(fence, 1s, now), true), fence);
        }
        CHECK(consent.isValid(now + 1s));
        CHECK(consent.members().size() == 2);
        consent.recordAnswer(makeAnswer("b", consent.beginRound(fence, 1s, now), false), fence);
        CHECK_FALSE(consent.isValid(now + 1s));
    }
    // Guards against an owner that goes on by what an instance said whose place another process has
    // taken, which may become the owner.
    SUBCASE("a process that tells of itself has to consent, whatever the one before it said")
    {
        const ConsentQuery second = consent.beginRound(fence, 1s, begin + 300ms);
        ConsentAnswer last = makeAnswer("b", second, true);
        last.isFinal = true;
        consent.recordAnswer(last, fence);
        CHECK(consent.finalCount() == 1);
        CHECK(consent.recordCandidate(InstanceId("b"), {"10.0.0.2", 1}, 5, begin + 310ms));
        CHECK_FALSE(consent.isValid(begin + 310ms));
        CHECK(consent.finalCount() == 0);
        SUBCASE("a late answer of the one before it does not count")
        {
            consent.recordAnswer(last, fence);
            CHECK_FALSE(consent.isValid(begin + 320ms));
        }
        SUBCASE("its own answer counts, and goes on counting when it tells of itself again")
        {
            const ConsentQuery third = consent.beginRound(fence, 1s, begin + 600ms);
            consent.recordAnswer(makeAnswer("a", third, true), fence);
            consent.recordAnswer(makeAnswer("b", third, true), fence);
            CHECK(consent.isValid(begin + 700ms));
            CHECK(consent.recordCandidate(InstanceId("b"), {"10.0.0.2", 1}, 5, begin + 700ms));
            CHECK(consent.isValid(begin + 700ms));
        }
        SUBCASE("one at another address has to consent as well")
        {
            CHECK(consent.recordCandidate(InstanceId("c"), {"10.0.0.9", 1}, 6, begin + 310ms));
            CHECK(consent.members().size() == 3);
        }
    }
    // Guards against a process that takes the ownership because its instance's consent is needed,
    // beside an owner that has forgotten the instance.
    SUBCASE("an instance that was not heard of for long is remembered until it is to be forgotten")
    {
        consent.setForgetting(false);
        consent.recordMember(InstanceId("a"), {"10.0.0.1", 1}, begin + 31s);
        CHECK(consent.members().size() == 2);
        CHECK(consent.recentMembers(begin + 31s) == std::vector<InstanceId>{InstanceId("a")});
        consent.forgetSilent(begin + 31s);
        CHECK(consent.members().size() == 1);
    }
    // Guards against the same after the end of an instance that was shutting down: a process in its
    // place waits for the end of its consent.
    SUBCASE("the consent of a process that is shutting down ends")
    {
        ConsentAnswer last = makeAnswer("b", consent.beginRound(fence, 1s, begin + 300ms), true);
        last.isFinal = true;
        consent.recordAnswer(last, fence);
        const TimePoint end = begin + 300ms + 7s;
        consent.recordAnswer(makeAnswer("a", consent.beginRound(fence, 1s, end - 1s), true), fence);
        CHECK(consent.isValid(end - 1ms));
        CHECK_FALSE(consent.isValid(end));
    }
    SUBCASE("an instance that was not heard of for long is forgotten")
    {
        consent.recordMember(InstanceId("a"), {"10.0.0.1", 1}, begin + 31s);
        CHECK(consent.members().size() == 1);
    }
}

// Guards against a question of 195 instances that is never answered in whole because one datagram
// in twenty is lost.
TEST_CASE("the consent of 194 instances holds while one datagram in twenty is lost")
{
    OwnershipConsent consent;
    TimePoint now(100s);
    for (int i = 0; i < 194; ++i)
        consent.recordMember(InstanceId("i" + std::to_string(i)), {"10.0.0.1", 1}, now);
    int lost = 0;
    int validChecks = 0;
    for (int round = 0; round < 100; ++round) {
        now += 300ms;
        const ConsentQuery query = consent.beginRound(fence, 1s, now);
        for (int i = 0; i < 194; ++i) {
            if ((i * 7919 + round * 104729) % 20 != 0)
                consent.recordAnswer(makeAnswer("i" + std::to_string(i), query, true), fence);
            else
                ++lost;
        }
        validChecks += consent.isValid(now + 290ms) ? 1 : 0;
    }
    CHECK(lost > 900);
    CHECK(validChecks >= 98);
}
