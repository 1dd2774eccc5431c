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

/// Reads the sample configuration after changing its JSON.
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

    SUBCASE("the order of the lists doesn't change the written bytes")
    {
        Configuration reversed = sampleConfiguration();
        auto &models = reversed.deployments[0].models;
        std::reverse(models.begin(), models.end());
        CHECK(writeConfiguration(reversed) == text);
    }

    SUBCASE("omitted optional fields have their default values")
    {
        const auto result
                = readChanged([](Json &json) { json["deployments"][0].erase("deadlines"); });
        REQUIRE(result);
        CHECK(result.value().deployments[0].deadlines == DeadlinePolicy());
    }
}

TEST_CASE("an invalid configuration is rejected with field, value and limit")
{
    SUBCASE("an unknown field; the error lists the known fields")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["memoryGB"] = 3;
                     }),
                     "deployments[0].models[0].memoryGB", "not a known field", "memoryBytes");
    }
    SUBCASE("a text with a unit in place of a number")
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
    SUBCASE("an unknown value of an enumeration")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["upstreams"][1]["fencing"] = "maybe";
                     }),
                     "deployments[0].upstreams[1].fencing", "maybe", "refuses, ignores");
    }
    SUBCASE("an unsupported format version")
    {
        checkRefused(readChanged([](Json &json) { json["formatVersion"] = 2; }), "formatVersion",
                     "2", "1 to 1");
    }
    SUBCASE("a host name in place of an IP address")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["upstreams"][1]["address"] = "localhost";
                     }),
                     "deployments[0].upstreams[1].address", "localhost", "IP address");
    }
    SUBCASE("a credential in place of its hash; the error doesn't contain it")
    {
        const auto result = readChanged(
                [](Json &json) { json["operators"][0]["credentialHash"] = "hunter2"; });
        checkRefused(result, "operators[0].credentialHash", "not shown", "64");
        CHECK(result.error().message().find("hunter2") == std::string::npos);
    }
    SUBCASE("a duplicate identifier")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][1]["id"] = "chat@1";
                     }),
                     "deployments[0].models[1].id", "chat@1", "deployments[0].models[0].id");
    }
    SUBCASE("a duplicate member of an object")
    {
        const auto result = readConfiguration(R"({"formatVersion":1,"formatVersion":1})");
        checkRefused(result, "formatVersion", "formatVersion", "twice");
    }
    SUBCASE("minReplicas above maxReplicas")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["minReplicas"] = 3;
                     }),
                     "deployments[0].models[0].minReplicas", "3", "which is 2");
    }
    SUBCASE("maxReplicas above the number of engines")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["maxReplicas"] = 5;
                     }),
                     "deployments[0].models[0].maxReplicas", "5", "at most 4");
    }
    SUBCASE("minReplicas of all models together exceed the pool's memory")
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
    SUBCASE("a model that is larger than every engine's memory")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["models"][0]["memoryBytes"] = 81 * gibibyte;
                     }),
                     "deployments[0].models[0].memoryBytes", std::to_string(81 * gibibyte),
                     "no engine");
    }
    SUBCASE("an adapter of an unknown base model, and one that does not fit beside its base model")
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
    SUBCASE("a default deadline above the maximum")
    {
        checkRefused(readChanged([](Json &json) {
                         json["deployments"][0]["deadlines"]["defaultDeadlineMs"] = 700000;
                     }),
                     "deployments[0].deadlines.defaultDeadlineMs", "700000", "600000");
    }
    SUBCASE("a text that is too long, nested too deep or not a JSON object")
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

TEST_CASE("a randomly corrupted configuration is rejected, or read as one that passes validation")
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
