#include "call_headers.hpp"
#include "core/bounded_duration.hpp"
#include "decoding.hpp"
#include "forwarding/forwarded_request.hpp"
#include "owner_store.hpp"
#include "quarantine_store.hpp"
#include "residency/peer_messages.hpp"
#include "settings_file.hpp"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A registration with one field replaced by a text, which need not be JSON.
std::string registrationWith(const std::string &field, const std::string &value)
{
    std::string text = "{";
    for (const auto &[name, standard] : std::initializer_list<std::pair<std::string, std::string>>{
                 {"service", R"("chat")"},
                 {"address", R"("10.128.0.9:8080")"},
                 {"zone", R"("norte")"},
                 {"version", R"("v1")"},
                 {"slots", "64"},
                 {"state", R"("ready")"},
                 {"sequence", "4"},
                 {"born", "1700000000000"},
                 {"cold_remaining_ms", "0"},
                 {"models", "[]"},
                 {"available", R"({"in_memory":[]})"}}) {
        text += fmt::format("{}\"{}\":{}", text.size() > 1 ? "," : "", name,
                            name == field ? value : standard);
    }
    return text + "}";
}

std::string nested(std::size_t depth, char open, char close)
{
    return std::string(depth, open) + std::string(depth, close);
}

std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += R"({"a":)";
    return text + "1" + std::string(depth, '}');
}

std::string manyModels()
{
    std::string text = "[";
    while (text.size() < 1'000'000)
        text += R"({"name":"m1","adapters":["a1"]},)";
    text.back() = ']';
    return text;
}

std::string cbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

constexpr std::size_t deep = 100'000;
/// Most bytes of an error that is logged.
constexpr std::size_t maxErrorBytes = 300;

} // namespace

TEST_CASE("an odd registration names no upstream, and its error is short")
{
    REQUIRE(decodeRegistration("w1", registrationWith("", "")));
    std::vector<std::string> entries{"",
                                     "\xff\xfe",
                                     "NaN",
                                     nested(deep, '[', ']'),
                                     std::string(deep, '['),
                                     nestedObjects(deep),
                                     registrationWith("later", "1") + "x"};
    for (const char *count : {"-1", "1.5", "1e400", "-1e400", "1e308", "1e30",
                              "18446744073709551616", "36893488147419103232", "NaN", "Infinity",
                              "-0.5", "true", "null", R"("4")", "[]", "{}"}) {
        for (const char *field : {"slots", "sequence"})
            entries.push_back(registrationWith(field, count));
        if (count == std::string_view("null"))
            continue;
        entries.push_back(registrationWith("born", count));
        // A time may have a fraction.
        if (count != std::string_view("1.5"))
            entries.push_back(registrationWith("cold_remaining_ms", count));
    }
    for (const char *slots : {"4294967296", "4294967297", "1e10"})
        entries.push_back(registrationWith("slots", slots));
    for (const char *address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999",
                                "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1", ":80", ""})
        entries.push_back(registrationWith("address", fmt::format("\"{}\"", address)));
    for (const char *field : {"service", "address", "zone", "version", "slots", "state", "sequence",
                              "born", "models", "available"}) {
        CAPTURE(field);
        entries.push_back(registrationWith(field, nested(deep, '[', ']')));
        entries.push_back(registrationWith(field, nestedObjects(deep)));
        entries.push_back(registrationWith(field, "\"\xc3\x28\""));
        entries.push_back(registrationWith(field, "7e"));
    }
    entries.push_back(registrationWith("models", manyModels()));
    entries.push_back(registrationWith("state", '"' + std::string(1'000'000, 's') + '"'));
    entries.push_back(registrationWith("state", std::string(1'000'000, 's')));
    for (const std::string &entry : entries) {
        CAPTURE(entry.substr(0, 300));
        const auto decoded = decodeRegistration("w1", entry);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().message().size() <= maxErrorBytes);
    }
    SUBCASE("of a field that is given twice, the last value counts")
    {
        const std::string twice = registrationWith("slots", R"(1e400,"slots":8)");
        CHECK_FALSE(decodeRegistration("w1", twice));
        const auto decoded
                = decodeRegistration("w1", registrationWith("slots", R"("x","slots":8)"));
        REQUIRE(decoded);
        CHECK(decoded.value().slots == 8);
    }
}

TEST_CASE("an odd report is rejected")
{
    const auto report = [](const std::string &fields) {
        return decodeEngineReport(R"({"sequence":2,"born":1700000000000)" + fields + "}");
    };
    REQUIRE(report(""));
    for (const char *number : {"4294967296", "1e30", "-1", "1.5", "1e400", "NaN"}) {
        CAPTURE(number);
        CHECK_FALSE(report(fmt::format(R"(,"running":{})", number)));
        CHECK_FALSE(report(fmt::format(R"(,"waiting":{})", number)));
    }
    CHECK_FALSE(report(R"(,"models":)" + nested(deep, '[', ']')));
    CHECK_FALSE(decodeEngineReport(nestedObjects(deep)));
    SUBCASE("the use of a cache is a share")
    {
        CHECK(report(R"(,"kv_used":1,"kv_total":2)").value().load.kvCacheUse == 0.5);
        CHECK(report(R"(,"kv_used":1e300,"kv_total":1e-300)").value().load.kvCacheUse == 1);
    }
}

TEST_CASE("a configuration with a number that fits no type is rejected")
{
    const auto configuration = [](const std::string &fields) {
        return decodeConfiguration(
                R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/",)"
                R"("type":"stream","service":"chat")"
                + fields + "}]}");
    };
    REQUIRE(configuration(""));
    for (const char *number : {"1e30", "1e308", "-1", "1e400", "NaN", "9223372036854775807"}) {
        CAPTURE(number);
        CHECK_FALSE(configuration(fmt::format(R"(,"timeout_ms":{})", number)));
        CHECK_FALSE(configuration(fmt::format(R"(,"target_latency_ms":{})", number)));
        CHECK_FALSE(configuration(fmt::format(R"(,"max_attempts":{})", number)));
    }
    CHECK_FALSE(configuration(R"(,"priority":4294967296)"));
    CHECK_FALSE(configuration(R"(,"backends":)" + nested(deep, '[', ']')));
    CHECK_FALSE(decodeConfiguration(nestedObjects(deep)));
}

TEST_CASE("odd records of the owner and of the quarantine are ignored")
{
    const auto owner = [](const std::string &nonce, const std::string &port) {
        return decodeOwnerRecord(fmt::format(
                R"({{"instance":"e1","endpoint":"10.0.0.1:{}","nonce":{}}})", port, nonce));
    };
    REQUIRE(owner("1", "7380"));
    for (const char *nonce : {"-1", "1.5", "1e20", "18446744073709551616", "1e400", "null"})
        CHECK_FALSE(owner(nonce, "7380"));
    CHECK_FALSE(owner("1", "65536"));
    CHECK_FALSE(owner(nested(deep, '[', ']'), "7380"));
    const auto quarantine = [](const std::string &generation, const std::string &remaining) {
        return decodeQuarantine(fmt::format(
                R"({{"parts":[{{"service":"s","part":"p","generation":{},"remaining_ms":{}}}]}})",
                generation, remaining));
    };
    REQUIRE(quarantine("1", "1000"));
    CHECK_FALSE(quarantine("4294967296", "1000"));
    CHECK_FALSE(quarantine("1", "1e30"));
    CHECK_FALSE(quarantine("1", nested(deep, '[', ']')));
}

TEST_CASE("odd messages of other instances are dropped")
{
    using residency::decodePeerMessage;
    const auto load = [](const json &running, const json &use) {
        return decodePeerMessage(cbor({2,
                                       41,
                                       12,
                                       json::array(),
                                       {{"w1", running, 0, use}},
                                       json::array(),
                                       json::array(),
                                       json::array(),
                                       nullptr}));
    };
    REQUIRE(load(3, 500));
    const double infinite = std::numeric_limits<double>::infinity();
    for (const json &number : {json(4294967296), json(-1), json(1.5), json(1e30), json(infinite),
                               json(std::nan("")), json("3")}) {
        CAPTURE(number);
        CHECK_FALSE(load(number, 500));
    }
    CHECK_FALSE(load(3, infinite));
    CHECK_FALSE(load(3, std::nan("")));
    CHECK_FALSE(decodePeerMessage(cbor({1e300})));
    CHECK_FALSE(decodePeerMessage(cbor({4294967297})));
    // A quarantine's entry: a time that does not fit is as long as can be told.
    const auto remaining = [](std::int64_t milliseconds) {
        const auto decoded = decodePeerMessage(
                cbor({6, {{"chat", "5c1e", 1, true, milliseconds, 3}}, json::array()}));
        REQUIRE(decoded);
        return std::get<residency::QuarantineMessage>(decoded.value()).entries.at(0).remaining;
    };
    CHECK(remaining(1500) == 1500ms);
    CHECK(remaining(std::numeric_limits<std::int64_t>::max()) > 24h);
    CHECK(remaining(std::numeric_limits<std::int64_t>::min()) < -24h);
    SUBCASE("a message of arrays within arrays")
    {
        CHECK_FALSE(decodePeerMessage(std::string(deep, '\x81')));
        CHECK_FALSE(decodePeerMessage(std::string(deep, '\x81') + '\x01'));
    }
}

TEST_CASE("an odd header of a forwarded request is rejected")
{
    using forwarding::decodeForwardedRequest;
    CHECK_FALSE(decodeForwardedRequest(R"({"remaining_ms":1e300})"));
    CHECK_FALSE(decodeForwardedRequest(R"({"remaining_ms":1.5})"));
    CHECK_FALSE(decodeForwardedRequest(R"({"remaining_ms":1,"possible_runs":-1})"));
    CHECK_FALSE(decodeForwardedRequest(R"({"remaining_ms":1,"possible_runs":4294967296})"));
    CHECK_FALSE(decodeForwardedRequest(R"({"remaining_ms":1,"configuration":1e30})"));
    CHECK_FALSE(
            decodeForwardedRequest(R"({"remaining_ms":1,"tried":)" + nested(deep, '[', ']') + "}"));
    const auto longest = decodeForwardedRequest(R"({"remaining_ms":9223372036854775807})");
    REQUIRE(longest);
    CHECK(longest.value().remaining > 24h);
}

TEST_CASE("odd numbers in headers and settings fit their types")
{
    const gateway::CallCodec codec = makeCallCodec();
    for (const char *number : {"4294967296", "18446744073709551616", "-1", "1.5", "1e3", ""}) {
        CAPTURE(number);
        upstream::HeaderList headers;
        headers.add("X-Token-Usage", fmt::format("{},{}", number, number));
        CHECK(codec.readRequest(headers).promptTokens == 0);
        CHECK(codec.readRequest(headers).maxOutputTokens == 0);
    }
    const auto settings = [](const std::string &graceSeconds) {
        return parseSettings("node_name=e1\nzone=norte\nip=127.0.0.1\ninternal_ports=7380\n"
                             "listen.frontend=127.0.0.1:80\nlisten.readiness=127.0.0.1:81\n"
                             "platform.address=127.0.0.1:82\nbounds.grace_s="
                             + graceSeconds + "\n");
    };
    REQUIRE(settings("5"));
    CHECK(settings("5").value().shutdownTime == 5s);
    CHECK(settings("1e30").value().shutdownTime > 24h);
    for (const char *number : {"1e400", "nan", "inf", "-1", "5s"})
        CHECK_FALSE(settings(number));
}

// Guards against multiples of a route's times that don't fit a duration: they overflow, which is
// undefined.
TEST_CASE("the longest times of a route can be multiplied")
{
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(maxReadDuration);
    const auto route = [](std::int64_t milliseconds) {
        return json{{"version", 1},
                    {"routes",
                     {{{"name", "talk"},
                       {"hostname", "desk.example"},
                       {"path_prefix", "/talk/"},
                       {"type", "stream"},
                       {"service", "chat"},
                       {"timeout_ms", milliseconds},
                       {"target_latency_ms", milliseconds},
                       {"gap_target_ms", milliseconds}}}}}
                .dump();
    };
    const auto decoded = decodeConfiguration(route(longest.count()));
    REQUIRE(decoded);
    const gateway::Route &read = decoded.value().routes.front();
    CHECK(read.objective == maxReadDuration);
    CHECK(read.maxFirstEventDelay == 8 * maxReadDuration);
    CHECK_FALSE(decodeConfiguration(route(longest.count() + 1)));
}
