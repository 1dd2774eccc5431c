#include "residency/candidacy.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::residency;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t process = 7;
constexpr std::uint64_t ownership = 40;

OwnerRecord makeRecord(const std::string &instance, std::uint64_t nonce)
{
    OwnerRecord record;
    record.instance = InstanceId(instance);
    record.endpoint = {"10.0.0.1", 1};
    record.nonce = nonce;
    record.answersCandidates = true;
    record.consenters = {InstanceId("third")};
    return record;
}

} // namespace

TEST_CASE("a candidate takes the ownership after the last owner knows of it")
{
    const TimePoint begin(100s);
    Candidacy candidacy({InstanceId("self"), process});
    CHECK(candidacy.isCleared(begin));
    CHECK(candidacy.nextNoticeAt() == TimePoint::max());
    candidacy.recordLastOwner(makeRecord("other", ownership), begin);
    candidacy.recordOwnerPresence(false, begin);
    CHECK_FALSE(candidacy.isCleared(begin));
    CHECK_FALSE(candidacy.isAnswered());
    REQUIRE(candidacy.nextNoticeAt() <= begin);
    const CandidateNotice notice = candidacy.makeNotice(begin);
    CHECK(notice == CandidateNotice{InstanceId("self"), process, ownership});
    CHECK(candidacy.nextNoticeAt() == begin + 300ms);

    SUBCASE("it has answered, and goes on being told")
    {
        CHECK(candidacy.recordAnswer({process, ownership, true}, begin + 10ms));
        CHECK(candidacy.isCleared(begin + 10ms));
        CHECK(candidacy.nextNoticeAt() == begin + 10ms + 5s);
        CHECK(candidacy.isAnswered());
        SUBCASE("the time from which it does not order alone is that of its first answer")
        {
            candidacy.makeNotice(begin + 6s);
            CHECK(candidacy.recordAnswer({process, ownership, true}, begin + 6s));
            CHECK(candidacy.noticedByOwnerAt() == begin + 10ms);
        }
        SUBCASE("another owner has followed, which has to answer as well")
        {
            candidacy.recordLastOwner(makeRecord("third", ownership + 1), begin + 1s);
            CHECK_FALSE(candidacy.isCleared(begin + 1s));
            CHECK_FALSE(candidacy.isCleared(begin + 30s));
            CHECK(candidacy.isCleared(begin + 31s));
        }
    }
    SUBCASE("a process in its place answers: nobody has ordered until then")
    {
        CHECK(candidacy.recordAnswer({process, ownership, false}, begin + 10ms));
        CHECK_FALSE(candidacy.noticedByOwnerAt());
    }
    SUBCASE("an answer to an earlier process of this instance, or of another ownership, is ignored")
    {
        CHECK_FALSE(candidacy.recordAnswer({process + 1, ownership, true}, begin));
        CHECK_FALSE(candidacy.recordAnswer({process, ownership + 1, true}, begin));
        CHECK_FALSE(candidacy.isCleared(begin));
    }
    SUBCASE("it never answers: its time without the store has to be over")
    {
        CHECK_FALSE(candidacy.isCleared(begin + 29s));
        CHECK(candidacy.isCleared(begin + 30s));
    }
    // Guards against a placement without an owner after one that was lost as soon as it began.
    SUBCASE("it ended before it could go on without the store, or gave up")
    {
        OwnerRecord record = makeRecord("other", ownership);
        record.consenters.clear();
        candidacy.recordLastOwner(record, begin);
        CHECK(candidacy.isCleared(begin));
        CHECK(candidacy.nextNoticeAt() == begin + 300ms);
    }
    // Guards against half a minute without an owner after a restart of all instances but the last
    // owner, whose machine is gone.
    SUBCASE("it never answers, and needs the consent of this instance")
    {
        CandidacySettings settings{InstanceId("self"), process};
        settings.startedAt = begin - 1s;
        Candidacy restarted(settings);
        OwnerRecord record = makeRecord("other", ownership);
        record.consenters.push_back(InstanceId("self"));
        restarted.recordLastOwner(record, begin);
        restarted.recordOwnerPresence(false, begin);
        CHECK_FALSE(restarted.isCleared(begin + 8s));
        CHECK(restarted.isCleared(begin + 9s));
        CHECK(restarted.clearedAt() == begin + 9s);
    }
    // Instances of earlier releases don't understand a notice.
    SUBCASE("it is of an earlier release")
    {
        OwnerRecord record = makeRecord("other", ownership);
        record.answersCandidates = false;
        candidacy.recordLastOwner(record, begin);
        CHECK(candidacy.isCleared(begin));
        CHECK(candidacy.nextNoticeAt() == TimePoint::max());
    }
    SUBCASE("it was an earlier process of this instance")
    {
        candidacy.recordLastOwner(makeRecord("self", ownership), begin);
        CHECK(candidacy.isCleared(begin));
    }
}

// Guards against a candidate that an owner has forgotten after a long cut between the two.
TEST_CASE("an answer counts for an ownership that ends soon after it")
{
    const TimePoint begin(100s);
    Candidacy candidacy({InstanceId("self"), process});
    candidacy.recordLastOwner(makeRecord("other", ownership), begin);
    candidacy.recordOwnerPresence(true, begin);
    candidacy.makeNotice(begin);
    REQUIRE(candidacy.recordAnswer({process, ownership, true}, begin));
    SUBCASE("within the time in which the owner can't forget it")
    {
        candidacy.recordOwnerPresence(false, begin + 19s);
        CHECK(candidacy.isCleared(begin + 19s));
        CHECK(candidacy.isCleared(begin + 28s));
    }
    SUBCASE("later it has to be told again")
    {
        candidacy.recordOwnerPresence(false, begin + 21s);
        CHECK_FALSE(candidacy.isCleared(begin + 21s));
        CHECK(candidacy.nextNoticeAt() <= begin + 21s);
        CHECK(candidacy.recordAnswer({process, ownership, true}, begin + 22s));
        CHECK(candidacy.isCleared(begin + 22s));
    }
}
