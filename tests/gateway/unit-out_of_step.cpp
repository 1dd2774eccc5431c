#include "gateway/relay_fixture.hpp"

#include <optional>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

const ServiceId rooms("rooms");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");

/// Takes up a stream that began as r1, which request() names itself.
std::string takeUpRequest()
{
    std::string text = request("/stream/", {}, "test-resumes: r1\r\ntest-last-event: 1\r\n");
    return text.replace(text.find("test-id: r1"), 11, "test-id: r2");
}

StoredVersions makeStored(std::set<SoftwareVersion> versions, std::uint64_t revision)
{
    return {0, revision, VersionRecord{{{rooms, std::move(versions)}}, true, 0}};
}

/// Takes a stream up, and checks that this doesn't take long.
std::string takeUpAtOnce(const RelayFixture &fixture)
{
    const TimePoint begin = SteadyClock().now();
    std::string answer = fixture.call(takeUpRequest());
    CHECK(SteadyClock().now() - begin < 1500ms);
    return answer;
}

} // namespace

// Guards against an instance out of step that joins a stream with the only version it knows:
// another one registered meanwhile, and the stream began there through other instances.
TEST_CASE("an instance out of step joins no stream of a version that it has not seen")
{
    ScriptedUpstream known({{streamAnswer("id: 2\ndata: b\n\n", true)}});
    RelayFixture fixture({&known});
    /// What the store answers when the record of versions is read; unset: nothing.
    std::optional<StoredVersions> stored;
    const auto connectStore = [&] {
        fixture.runOnLoop([&](Gateway &gateway) {
            gateway.onVersionsWanted = [&] {
                if (!stored)
                    return;
                const TimePoint now = SteadyClock().now();
                gateway.versions.apply(*stored, now);
                gateway.recordVersionsRead(now);
            };
        });
    };
    SUBCASE("cut off from the other instances, which can't name the origin")
    {
        SUBCASE("it refuses, as the record has another version")
        {
            stored = makeStored({v1, v2}, 2);
            connectStore();
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 503 "));
            CHECK(known.requests().empty());
        }
        SUBCASE("it refuses, though the version that it knows has left the record")
        {
            stored = makeStored({v2}, 2);
            connectStore();
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 503 "));
            CHECK(known.requests().empty());
        }
        SUBCASE("it goes on where the record still has no other version")
        {
            stored = makeStored({v1}, 2);
            connectStore();
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 200 "));
            CHECK(known.requests().size() == 1);
        }
        CHECK(fixture.originQueries > 0);
    }
    SUBCASE("cut off from the store")
    {
        connectStore();
        SUBCASE("it goes on at the version that another instance names")
        {
            fixture.versionKnownElsewhere = "v1";
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 200 "));
            CHECK(known.requests().size() == 1);
        }
        SUBCASE("it refuses if it has seen no upstream of that version")
        {
            fixture.versionKnownElsewhere = "v2";
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 503 "));
            CHECK(known.requests().empty());
        }
        SUBCASE("it refuses if it is cut off from the other instances as well")
        {
            CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 503 "));
            CHECK(known.requests().empty());
        }
    }
    SUBCASE("stood still, it refuses by what the store held before the request")
    {
        fixture.runOnLoop([](Gateway &gateway) {
            const TimePoint readAt = SteadyClock().now();
            gateway.versions.apply(makeStored({v1}, 2), readAt);
            gateway.recordVersionsRead(readAt);
            gateway.onVersionsWanted = [&gateway, readAt] {
                // The answer to a question from before the pause comes first.
                gateway.recordVersionsRead(readAt);
            };
        });
        CHECK(takeUpAtOnce(fixture).starts_with("HTTP/1.1 503 "));
        CHECK(known.requests().empty());
    }
}

// Guards against an instance that stood still for longer than a stream lives and takes that for the
// time in which it has followed the registrations.
TEST_CASE("an instance that stood still for long reads the versions of meanwhile from the record")
{
    const TimePoint start{1h};
    const Duration pause = VersionHistoryTimes().retention + 10s;
    VersionHistory history;
    history.beginFollowing(start);
    history.observe(rooms, v1, start);
    history.apply(makeStored({v1}, 1), start);
    REQUIRE(history.soleVersion({rooms}, start).version == v1);
    history.forgetOutdated(start + pause);
    SUBCASE("another one has come")
    {
        history.apply(makeStored({v1, v2}, 2), start + pause);
        CHECK(history.soleVersion({rooms}, start + pause).kind == SoleVersion::Kind::Several);
    }
    SUBCASE("another one has come and gone")
    {
        history.apply(makeStored({v1}, 3), start + pause);
        CHECK(history.soleVersion({rooms}, start + pause).version == v1);
    }
    SUBCASE("another one is in its place")
    {
        history.apply(makeStored({v2}, 3), start + pause);
        SUBCASE("what registered upstreams run counts as well")
        {
            history.observe(rooms, v1, start + pause);
            CHECK(history.soleVersion({rooms}, start + pause).kind == SoleVersion::Kind::Several);
        }
        CHECK(history.soleVersion({rooms}, start + pause).version != v1);
    }
}
