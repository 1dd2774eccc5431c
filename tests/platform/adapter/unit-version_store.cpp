#include "version_store.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::adapter;

TEST_CASE("the record of software versions is restored from its encoding")
{
    const gateway::VersionRecord record{
            {{gateway::ServiceId("drafting"), {SoftwareVersion("v1"), SoftwareVersion("v2")}},
             {gateway::ServiceId("rooms"), {SoftwareVersion("7")}}},
            true,
            3};
    const auto decoded = decodeVersions(encodeVersions(record));
    REQUIRE(decoded);
    CHECK(decoded.value() == record);

    SUBCASE("a record that does not say that it is complete is not")
    {
        const auto partial = decodeVersions(R"({"services":[]})");
        REQUIRE(partial);
        CHECK(partial.value() == gateway::VersionRecord());
    }
    SUBCASE("a value of another form is an error")
    {
        for (const char *value :
             {"", "[]", "{\"services\":3}", "{\"services\":[3]}", "{\"services\":[{}]}",
              "{\"complete\":1}", "{\"services\":[{\"service\":\"a\",\"versions\":[1]}]}"})
            CHECK(decodeVersions(value).error().kind() == ErrorKind::MalformedJson);
    }
    SUBCASE("fields of later builds are kept")
    {
        const std::string written
                = encodeVersions(record, R"({"complete":false,"note":{"a":[1]},"services":[]})");
        CHECK(decodeVersions(written).value() == record);
        CHECK(nlohmann::json::parse(written)["note"]["a"][0] == 1);
    }
}
