#include "gateway/version_history.hpp"

#include <string>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace std::chrono_literals;

namespace {

using Kind = SoleVersion::Kind;

const ServiceId drafting("drafting");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const TimePoint start{1h};

StoredVersions makeStored(std::set<SoftwareVersion> versions, bool isComplete,
                          std::uint64_t revision = 7, std::uint64_t recordEra = 1,
                          std::uint64_t storeEra = 1)
{
    return {storeEra, revision,
            VersionRecord{{{drafting, std::move(versions)}}, isComplete, recordEra}};
}

} // namespace

// Guards against an instance that takes the only version it has seen since its start for the only
// one there was: after the end of all instances it went on with streams of another one.
TEST_CASE("an instance that starts takes the versions before its start from the record")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.observe(drafting, v2, start);
    SUBCASE("without a record it doesn't know who began a stream")
    {
        history.apply({1, 0, std::nullopt}, start);
        CHECK(history.soleVersion({drafting}, start).kind == Kind::HistoryUnknown);
        SUBCASE("until it has followed the registrations for the life of a stream")
        {
            history.observe(drafting, v2, start + 64s);
            CHECK(history.soleVersion({drafting}, start + 64s).kind == Kind::HistoryUnknown);
            CHECK(history.soleVersion({drafting}, start + 65s).version == v2);
        }
    }
    SUBCASE("a record with another version says that there were several")
    {
        history.apply(makeStored({v1}, true), start);
        CHECK(history.soleVersion({drafting}, start).kind == Kind::Several);
        CHECK(history.needsOrigins({drafting}, start));
    }
    SUBCASE("a complete record with the same version says who began all streams")
    {
        history.apply(makeStored({v2}, true), start);
        CHECK(history.soleVersion({drafting}, start).version == v2);
        CHECK_FALSE(history.needsOrigins({drafting}, start));
        CHECK(history.soleVersion({ServiceId("other")}, start).kind == Kind::None);
    }
    SUBCASE("of several services that may have begun a stream, all have to have the same one")
    {
        const ServiceId other("other");
        history.apply(makeStored({v2}, true), start);
        history.observe(other, v2, start);
        CHECK(history.soleVersion({drafting, other}, start).version == v2);
        CHECK_FALSE(history.needsOrigins({drafting, other}, start));
        history.observe(other, v1, start);
        CHECK(history.soleVersion({drafting, other}, start).kind == Kind::Several);
        CHECK(history.needsOrigins({drafting, other}, start));
        CHECK_FALSE(history.needsOrigins({drafting}, start));
    }
    SUBCASE("a record that is not complete does not")
    {
        history.apply(makeStored({v2}, false), start);
        CHECK(history.soleVersion({drafting}, start).kind == Kind::HistoryUnknown);
    }
    SUBCASE("nor does one of an earlier era of the store, which lacks what was written since")
    {
        history.apply(makeStored({v2}, true, 7, 1, 2), start);
        CHECK(history.soleVersion({drafting}, start).kind == Kind::HistoryUnknown);
    }
    SUBCASE("where no instance has run before, there are no streams")
    {
        history.assumeFirstStart();
        SUBCASE("if there is no record")
        {
            history.apply({1, 0, std::nullopt}, start);
            CHECK(history.soleVersion({drafting}, start).version == v2);
            CHECK(history.findDueRecord(start, std::nullopt, 1)
                  == VersionRecord{{{drafting, {v2}}}, true, 1});
        }
        SUBCASE("but not if there is one that can't be read")
        {
            history.apply({1, 7, std::nullopt}, start);
            CHECK(history.soleVersion({drafting}, start).kind == Kind::HistoryUnknown);
        }
        SUBCASE("but not if there is one")
        {
            history.apply(makeStored({v2}, false), start);
            CHECK(history.soleVersion({drafting}, start).kind == Kind::HistoryUnknown);
        }
    }
}

TEST_CASE("a version is recorded before streams begin at its upstreams")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.observe(drafting, v1, start);
    CHECK_FALSE(history.findDueRecord(start, std::nullopt, 1));
    history.apply(makeStored({v1}, true), start);
    CHECK_FALSE(history.isUnrecorded(drafting, v1, start));
    CHECK_FALSE(history.findDueRecord(start, std::nullopt, 1));
    history.observe(drafting, v2, start + 10s);
    CHECK(history.isUnrecorded(drafting, v2, start + 10s));
    const VersionRecord both{{{drafting, {v1, v2}}}, true, 1};
    CHECK(history.findDueRecord(start + 10s, std::nullopt, 1) == both);

    SUBCASE("once it is recorded, they do")
    {
        history.apply({1, 8, both}, start);
        CHECK_FALSE(history.isUnrecorded(drafting, v2, start + 10s));
        CHECK_FALSE(history.findDueRecord(start + 10s, std::nullopt, 1));
        CHECK(history.revision() == 8);
        SUBCASE("an older answer of the store has no effect")
        {
            history.apply(makeStored({v1}, true), start);
            CHECK_FALSE(history.isUnrecorded(drafting, v2, start + 10s));
        }
    }
    SUBCASE("if the store is not reached, they do after two seconds")
    {
        CHECK(history.isUnrecorded(drafting, v2, start + 11'999ms));
        CHECK_FALSE(history.isUnrecorded(drafting, v2, start + 12s));
    }
    SUBCASE("a version that comes back counts as new")
    {
        history.observe(drafting, v2, start + 100s);
        CHECK(history.isUnrecorded(drafting, v2, start + 100s));
    }
}

TEST_CASE("the owner removes a version when its last stream has ended")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.apply(makeStored({v1, v2}, true), start);
    const TimePoint gone = start + 20s;
    history.observe(drafting, v1, gone);
    const auto due = [&](TimePoint now, std::optional<TimePoint> ownerSince) {
        history.observe(drafting, v2, now);
        return history.findDueRecord(now, ownerSince, 1);
    };
    CHECK_FALSE(due(gone + 64s, start));
    CHECK(history.needsOrigins({drafting}, gone + 64s));
    const VersionRecord one{{{drafting, {v2}}}, true, 1};
    SUBCASE("by its own watch")
    {
        CHECK_FALSE(due(gone + 65s, std::nullopt));
        CHECK(due(gone + 65s, start) == one);
        history.apply({1, 9, one}, start);
        CHECK_FALSE(history.needsOrigins({drafting}, gone + 65s));
        CHECK(history.soleVersion({drafting}, gone + 65s).version == v2);
    }
    SUBCASE("which other instances, whose last sight of it is later, don't write again")
    {
        VersionHistory other;
        other.beginFollowing(start);
        other.observe(drafting, v1, gone + 2s);
        other.observe(drafting, v2, gone + 65s);
        other.apply({1, 9, one}, gone + 65s);
        CHECK_FALSE(other.findDueRecord(gone + 65s, std::nullopt, 1));
        CHECK(other.needsOrigins({drafting}, gone + 65s));
    }
    SUBCASE("but not one that another instance has recorded meanwhile")
    {
        const VersionRecord three{{{drafting, {v1, v2, SoftwareVersion("v3")}}}, true, 1};
        history.apply({1, 9, three}, gone + 64s);
        const VersionRecord rest{{{drafting, {v2, SoftwareVersion("v3")}}}, true, 1};
        REQUIRE(due(gone + 65s, start) == rest);
        history.apply({1, 10, rest}, gone + 65s);
        CHECK_FALSE(due(gone + 128s, start));
        CHECK(due(gone + 130s, start) == one);
    }
    SUBCASE("a new owner counts from its own start")
    {
        CHECK_FALSE(due(gone + 65s, gone + 10s));
        CHECK(due(gone + 75s, gone + 10s) == one);
    }
}

TEST_CASE("the owner completes a record after the life of a stream")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.apply({1, 0, std::nullopt}, start);
    CHECK_FALSE(history.findDueRecord(start, start, 1));
    history.observe(drafting, v1, start);
    const VersionRecord first{{{drafting, {v1}}}, false, 1};
    REQUIRE(history.findDueRecord(start, start, 1) == first);
    history.apply({1, 3, first}, start);
    history.observe(drafting, v1, start + 65s);
    CHECK_FALSE(history.findDueRecord(start + 64s, start, 1));
    CHECK_FALSE(history.findDueRecord(start + 65s, std::nullopt, 1));
    CHECK(history.findDueRecord(start + 65s, start, 1)
          == VersionRecord{{{drafting, {v1}}}, true, 1});
}

TEST_CASE("what a store that came back from a copy has lost is written again from memory")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.apply(makeStored({v1, v2}, true, 20), start);
    const VersionRecord whole{{{drafting, {v1, v2}}}, true, 2};
    SUBCASE("its record is older")
    {
        history.apply(makeStored({v1}, true, 12, 1, 2), start);
        CHECK(history.revision() == 12);
        CHECK(history.findDueRecord(start, std::nullopt, 2) == whole);
        CHECK(history.soleVersion({drafting}, start).kind == Kind::Several);
        SUBCASE("also when it is read again, or was written meanwhile by one that knows less")
        {
            history.apply(makeStored({v1}, true, 12, 1, 2), start);
            history.apply(makeStored({v1}, false, 13, 2, 2), start);
            CHECK(history.findDueRecord(start, std::nullopt, 2) == whole);
        }
        SUBCASE("until the owner removes it in the new era")
        {
            history.apply({2, 13, whole}, start);
            history.apply(makeStored({v1}, true, 14, 2, 2), start);
            CHECK_FALSE(history.findDueRecord(start, std::nullopt, 2));
            CHECK(history.soleVersion({drafting}, start).version == v1);
        }
    }
    SUBCASE("it has no record")
    {
        history.apply({2, 0, std::nullopt}, start);
        CHECK(history.revision() == 0);
        CHECK(history.findDueRecord(start, std::nullopt, 2) == whole);
    }
    SUBCASE("an instance that started since has written what it sees")
    {
        history.apply(makeStored({v2}, false, 15, 2, 2), start);
        CHECK(history.findDueRecord(start, std::nullopt, 2) == whole);
    }
    SUBCASE("a late answer of the former era has no effect")
    {
        history.apply({2, 13, whole}, start);
        history.apply(makeStored({v1}, false, 30), start);
        CHECK(history.revision() == 13);
        CHECK_FALSE(history.findDueRecord(start, std::nullopt, 2));
    }
}

// Guards against a memory and a record that grow with each odd version that somebody registers.
TEST_CASE("the versions that are remembered are bounded")
{
    VersionHistory history;
    history.beginFollowing(start);
    history.apply({1, 0, std::nullopt}, start);
    for (int i = 0; i < 100; ++i)
        history.observe(drafting, SoftwareVersion(std::to_string(i)), start);
    const auto due = history.findDueRecord(start, std::nullopt, 1);
    REQUIRE(due);
    CHECK(due->versions.at(drafting).size() == VersionHistoryTimes().maxVersions);
    history.forgetOutdated(start + 65s);
    CHECK(history.soleVersion({drafting}, start).kind == Kind::None);
}
