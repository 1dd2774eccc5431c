#include "admin/configuration_check.hpp"
#include "admin/configuration_format.hpp"
#include "admin/configuration_limits.hpp"
#include "core/random.hpp"
#include "sample.hpp"

#include <algorithm>
#include <functional>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::admin;

namespace {

using Json = nlohmann::ordered_json;

/// Reads the sample after a change of its JSON.
Result<Configuration> readChanged(const std::function<void(Json &)> &change)
{
    Json json = Json::parse(writeConfiguration(sampleConfiguration()));
    change(json);
    return readConfiguration(json.dump());
}

void checkRefused(const Result<Configuration> &result, const std::string &field,
                  const std::string &value, const std::string &limit)
{
    REQUIRE(!result);
    CAPTURE(result.error().message());
    CHECK(result.error().kind() == ErrorKind::ConfigurationInvalid);
    CHECK(result.error().field() == field);
    CHECK(result.error().message().find(value) != std::string::npos);
    CHECK(result.error().message().find(limit) != std::string::npos);
}

} // namespace

TEST_CASE("a configuration is read as it was written")
{
    const std::string text = writeConfiguration(sampleConfiguration());
    const auto read = readConfiguration(text);
    REQUIRE(read);
    CHECK(read.value() == sorted(sampleConfiguration()));
    CHECK(writeConfiguration(read.value()) == text);

    SUBCASE("in any order of its lists the bytes are the same")
    {
        Configuration reversed = sampleConfiguration();
        auto &models = reversed.deployments[0].models;
        std::reverse(models.begin(), models.end());
        CHECK(writeConfiguration(reversed) == text);
    }

    SUBCASE("fields that may be left out have the defaults of the values")
    {
        const auto result
                = readChanged([](Json &json) { json["deployments"][0].erase("deadlines"); });
        REQUIRE(result);
        CHECK(result.value().deployments[0].deadlines == DeadlinePolicy());
    }
}

TEST_CASE("bad input is refused with field, value and limit, and nothing is read")
{
    SUBCASE("an unknown field names the fields that exist")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["memoryGB"] = 3;
                     }),
                     "deployments[0].models[0].memoryGB", "not a known field", "memoryBytes");
    }
    SUBCASE("a wrong unit")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["memoryBytes"] = "20GB";
                     }),
                     "deployments[0].models[0].memoryBytes", "\"20GB\"", "17592186044416");
    }
    SUBCASE("a fraction, a negative number and a number beyond the range")
    {
        for (const Json &value : {Json(1.5), Json(-1), Json(70000)}) {
            checkRefused(readChanged([&](Json &json) {
                             json["deployments"][0]["upstreams"][0]["port"] = value;
                         }),
                         "deployments[0].upstreams[0].port", value.dump(), "1 to 65535");
        }
    }
    SUBCASE("a missing field")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["adapters"][0].erase("base");
                     }),
                     "deployments[0].adapters[0].base", "missing", "");
    }
    SUBCASE("a value outside a closed list")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["upstreams"][1]["fencing"] = "maybe";
                     }),
                     "deployments[0].upstreams[1].fencing", "maybe", "refuses, ignores");
    }
    SUBCASE("another format version")
    {
        checkRefused(readChanged([](Json &json) { json["formatVersion"] = 2; }), "formatVersion",
                     "2", "1 to 1");
    }
    SUBCASE("a host name in place of an IP number")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["upstreams"][1]["address"] = "localhost";
                     }),
                     "deployments[0].upstreams[1].address", "localhost", "IP address");
    }
    SUBCASE("a plain credential in place of its hash is not repeated")
    {
        const auto result = readChanged(
                [](Json &json) { json["operators"][0]["credentialHash"] = "hunter2"; });
        checkRefused(result, "operators[0].credentialHash", "not shown", "64");
        CHECK(result.error().message().find("hunter2") == std::string::npos);
    }
    SUBCASE("a name twice")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][1]["id"] = "chat@1";
                     }),
                     "deployments[0].models[1].id", "chat@1", "deployments[0].models[0].id");
    }
    SUBCASE("a member twice in one object")
    {
        const auto result = readConfiguration(R"({"formatVersion":1,"formatVersion":1})");
        checkRefused(result, "formatVersion", "formatVersion", "twice");
    }
    SUBCASE("more least replicas than greatest")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["minReplicas"] = 3;
                     }),
                     "deployments[0].models[0].minReplicas", "3", "which is 2");
    }
    SUBCASE("more replicas than fit")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["maxReplicas"] = 5;
                     }),
                     "deployments[0].models[0].maxReplicas", "5", "at most 4");
    }
    SUBCASE("least replicas of all models together beyond the pool's memory")
    {
        Configuration configuration = sampleConfiguration();
        auto &models = configuration.deployments[0].models;
        models[0].memory = Bytes{75 * gibibyte};
        models[0].minReplicas = 4;
        models[0].maxReplicas = 4;
        configuration.deployments[0].adapters.clear();
        models[1].minReplicas = 1;
        const auto result = checkConfiguration(configuration);
        REQUIRE(!result);
        CHECK(result.error().field() == "deployments[0].models[1].minReplicas");
    }
    SUBCASE("a model that fits no engine")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["memoryBytes"] = 81 * gibibyte;
                     }),
                     "deployments[0].models[0].memoryBytes", std::to_string(81 * gibibyte),
                     "no engine");
    }
    SUBCASE("an adapter without its base, and one that does not fit beside it")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["adapters"][0]["base"] = "gone@1";
                     }),
                     "deployments[0].adapters[0].base", "gone@1", "no such model");
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["adapters"][0]["memoryBytes"] = 61 * gibibyte;
                     }),
                     "deployments[0].adapters[0].memoryBytes", std::to_string(61 * gibibyte),
                     std::to_string(60 * gibibyte));
    }
    SUBCASE("a data centre without engines")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["dataCentres"] = {"nowhere"};
                     }),
                     "deployments[0].models[0].dataCentres[0]", "nowhere", "no engine");
    }
    SUBCASE("a default deadline beyond the greatest")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["deadlines"]["defaultDeadlineMs"] = 700000;
                     }),
                     "deployments[0].deadlines.defaultDeadlineMs", "700000", "600000");
    }
    SUBCASE("a text that is too long, too deep or not JSON")
    {
        const std::string large(maxConfigurationBytes + 1, ' ');
        CHECK(readConfiguration(large).error().kind() == ErrorKind::ConfigurationTooLarge);
        const std::string deep(100000, '[');
        CHECK(readConfiguration(deep).error().kind() == ErrorKind::JsonTooDeep);
        CHECK(readConfiguration("{\"formatVersion\": 1,").error().kind()
              == ErrorKind::MalformedJson);
        CHECK(readConfiguration("[]").error().kind() == ErrorKind::ConfigurationInvalid);
        CHECK(readConfiguration("").error().kind() == ErrorKind::MalformedJson);
        CHECK(readConfiguration("{\"a\": 1e999}").error().kind() == ErrorKind::MalformedJson);
    }
}

TEST_CASE("random damage to a configuration never gives one that fails its own checks")
{
    const std::string text = writeConfiguration(sampleConfiguration());
    constexpr std::string_view bytes = "{}[]\",:0123456789eE.-+tfn\\u \x01\xff";
    Random random(20261203);
    std::size_t accepted = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = text;
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes; ++i) {
            const std::size_t place = random.below(damaged.size());
            if (random.chance(0.3))
                damaged.erase(place, random.below(40));
            else
                damaged[place] = bytes[random.below(bytes.size())];
        }
        const auto read = readConfiguration(damaged);
        if (!read) {
            CHECK(!read.error().message().empty());
            continue;
        }
        ++accepted;
        CHECK(checkConfiguration(read.value()));
        CHECK(readConfiguration(writeConfiguration(read.value())).value() == read.value());
    }
    CHECK(accepted > 0);
}
