#include "quarantine_store.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;

namespace {

gateway::QuarantineEntry makeEntry(const std::string &part, std::uint32_t generation)
{
    return {{gateway::ServiceId("drafting"), {gateway::SubjectKind::PromptPart, part}},
            generation,
            true,
            90s,
            3,
            0};
}

gateway::QuarantineEntry makeRequestEntry(const std::string &fingerprint, std::uint32_t generation)
{
    return {{gateway::ServiceId("drafting"), {gateway::SubjectKind::Request, fingerprint}},
            generation,
            true,
            90s,
            3,
            generation - 1};
}

} // namespace

TEST_CASE("the record of the quarantine is restored from its encoding")
{
    const std::vector<gateway::QuarantineEntry> entries{makeEntry("5c1e", 1), makeEntry("91bd", 4),
                                                        makeRequestEntry("00c0ffee", 2)};
    const auto decoded = decodeQuarantine(encodeQuarantine(entries));
    REQUIRE(decoded);
    CHECK(decoded.value() == entries);

    SUBCASE("a value of another form is an error")
    {
        for (const char *value : {"", "[]", "{\"parts\":3}", "{\"parts\":[{\"part\":1}]}",
                                  "{\"parts\":[{\"service\":\"a\",\"part\":\"b\"}]}",
                                  "{\"requests\":[{\"service\":\"a\"}]}"})
            CHECK(decodeQuarantine(value).error().kind() == ErrorKind::MalformedJson);
    }
    SUBCASE("a record of a release that knew no whole requests has only prompt parts")
    {
        const auto former = decodeQuarantine(
                R"({"parts":[{"service":"drafting","part":"5c1e","generation":1,)"
                R"("quarantined":true,"remaining_ms":90000,"crashes":3}]})");
        REQUIRE(former);
        CHECK(former.value() == std::vector{makeEntry("5c1e", 1)});
    }
}

TEST_CASE("the record is written when a state is newer than it")
{
    QuarantineRecord record;
    CHECK(record.revision() == StoreRevision(0));
    CHECK_FALSE(record.isOutdatedBy({}));
    CHECK(record.isOutdatedBy({makeEntry("5c1e", 1)}));
    record.apply(StoreRevision(7), {makeEntry("5c1e", 1)});
    CHECK_FALSE(record.isOutdatedBy({makeEntry("5c1e", 1)}));
    CHECK(record.isOutdatedBy({makeEntry("5c1e", 2)}));

    SUBCASE("an older revision of the record has no effect")
    {
        record.apply(StoreRevision(6), {makeEntry("5c1e", 3)});
        CHECK(record.revision() == StoreRevision(7));
        CHECK(record.isOutdatedBy({makeEntry("5c1e", 2)}));
    }
    SUBCASE("a trial of a whole request makes the record outdated")
    {
        record.apply(StoreRevision(8), {makeRequestEntry("00c0ffee", 1)});
        CHECK_FALSE(record.isOutdatedBy({makeRequestEntry("00c0ffee", 1)}));
        CHECK(record.isOutdatedBy({makeRequestEntry("00c0ffee", 2)}));
        CHECK(record.isOutdatedBy({makeEntry("00c0ffee", 1)}));
    }
    SUBCASE("it is written again when the store has come back older")
    {
        record.apply(StoreRevision(9), {makeRequestEntry("00c0ffee", 2)});
        CHECK_FALSE(record.isOutdatedBy({makeRequestEntry("00c0ffee", 2)}));
        record.replace(StoreRevision(5), {makeRequestEntry("00c0ffee", 1)});
        CHECK(record.revision() == StoreRevision(5));
        CHECK(record.isOutdatedBy({makeRequestEntry("00c0ffee", 2)}));
        record.replace(StoreRevision(), {});
        CHECK(record.isOutdatedBy({makeRequestEntry("00c0ffee", 1)}));
    }
}
