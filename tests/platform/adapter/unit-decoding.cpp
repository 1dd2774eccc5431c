#include "call_headers.hpp"
#include "decoding.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::adapter;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json configurationJson()
{
    return json::parse(R"({"version":7,
        "routes":[{"name":"r1","hostname":"desk.example","path_prefix":"/a/","type":"stream",
                   "timeout_ms":11000,"target_latency_ms":2000,"priority":1,"max_attempts":2,
                   "resumable":true,"gap_target_ms":250,
                   "backends":[{"service":"chat","weight":90},{"service":"rooms","weight":10}]},
                  {"name":"r2","hostname":"desk.example","path_prefix":"/b/","type":"non_idempotent",
                   "timeout_ms":1500,"target_latency_ms":300,"service":"rooms"}],
        "services":[{"name":"chat","max_connections":720,
                     "engine":{"slots":64,"kv_cache_tokens":232000,"weights_mb":200000.0,
                               "adapter_slots":8,"loads_per_s":2.1,
                               "models":[{"name":"m1","weights_mb":65099.99,"load_s":6.0,
                                          "disk_s":0.36,"warm_s":0.28,"adapters":31,
                                          "adapter_mb":40.0}]}},
                    {"name":"rooms","max_connections":192,"health_path":"/healthz"}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000},"later":{"x":1}})");
}

json registrationJson()
{
    return json::parse(R"({"service":"chat","address":"10.128.0.9:8080","zone":"norte",
        "version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":4,
        "born":1700000000000,"models":[{"name":"m1","version":1,"adapters":["a1"]}],
        "available":{"in_memory":["m2"],"on_disk":["m2","m3"]}})");
}

json reportJson()
{
    return json::parse(R"({"phase":"combined","models":[{"name":"m1","version":1,"adapters":[]}],
        "busy":true,"sequence":2,"waiting":1,"running":12,"kv_used":41000,"kv_total":82000,
        "pending":["m1/a7@1"],"born":1700000000000,"handles":0})");
}

json withField(json value, const std::string &pointer, const json &to)
{
    value[json::json_pointer(pointer)] = to;
    return value;
}

json withoutField(json value, const std::string &name)
{
    value.erase(name);
    return value;
}

} // namespace

TEST_CASE("the operators' configuration is decoded into routes and services")
{
    const auto decoded = decodeConfiguration(configurationJson().dump());
    REQUIRE(decoded);
    const gateway::RoutingConfiguration &configuration = decoded.value();
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    const gateway::Route &weightedRoute = configuration.routes[0];
    CHECK(weightedRoute.kind == gateway::RequestKind::Stream);
    CHECK(weightedRoute.mayRetry());
    CHECK(weightedRoute.timeout == 11s);
    CHECK(weightedRoute.objective == 2s);
    CHECK(weightedRoute.maxFirstEventDelay == 8s);
    CHECK(weightedRoute.services.size() == 2);
    CHECK(weightedRoute.services[0].weight == 90);
    const gateway::Route &plain = configuration.routes[1];
    CHECK(plain.kind == gateway::RequestKind::NonIdempotent);
    CHECK(plain.maxUpstreams == 1);
    CHECK(plain.services == std::vector{gateway::WeightedService{gateway::ServiceId("rooms"), 1}});
    REQUIRE(configuration.services[0].engine);
    CHECK(configuration.services[0].engine->models[0].diskLoadTime == 360ms);
    CHECK_FALSE(configuration.services[1].engine);
    CHECK(configuration.limits.idleTimeout == 15s);

    SUBCASE("engines are probed by their report, and plain services at their health path")
    {
        CHECK(configuration.services[0].probeTarget == "/report");
        CHECK(configuration.services[1].probeTarget == "/healthz");
        const std::vector<json> unusable{nullptr,      7,
                                         "",           "healthz",
                                         "/a b",       "/a\r\nX: y",
                                         "/\x7f",      "/" + std::string(1000, 'x'),
                                         json::array()};
        for (const json &path : unusable) {
            json odd = configurationJson();
            odd["services"][1]["health_path"] = path;
            const auto decodedOdd = decodeConfiguration(odd.dump());
            REQUIRE(decodedOdd);
            CHECK(decodedOdd.value().services[1].probeTarget.empty());
        }
    }
    SUBCASE("a missing field or one of the wrong type is rejected by name")
    {
        const auto decodingError = [](const json &value) {
            const auto result = decodeConfiguration(value.dump());
            REQUIRE_FALSE(result);
            CHECK(result.error().kind() == ErrorKind::ConfigurationInvalid);
            return result.error().message();
        };
        CHECK(decodingError(withoutField(configurationJson(), "version")).find("version")
              != std::string::npos);
        CHECK(decodingError(withField(configurationJson(), "/routes/0/type", "maybe")).find("type")
              != std::string::npos);
        CHECK(decodingError(withField(configurationJson(), "/routes/0/timeout_ms", "long"))
                      .find("timeout_ms")
              != std::string::npos);
        CHECK(decodingError(withField(configurationJson(), "/routes", 3)).find("routes")
              != std::string::npos);
        CHECK(decodingError(withField(configurationJson(), "/routes/1/service", nullptr))
                      .find("service")
              != std::string::npos);
        CHECK_FALSE(decodeConfiguration("{\"version\":"));
        CHECK_FALSE(decodeConfiguration("[]"));
    }
}

TEST_CASE("a registration is decoded into an upstream")
{
    const auto decoded = decodeRegistration("w1", registrationJson().dump());
    REQUIRE(decoded);
    const gateway::RegisteredUpstream &upstream = decoded.value();
    CHECK(upstream.id == UpstreamId("w1"));
    CHECK(upstream.endpoint == Endpoint{"10.128.0.9", 8080});
    CHECK_FALSE(upstream.isLeaving);
    CHECK(upstream.heartbeat == 4);
    CHECK(upstream.residency.version.startedAt == 1700000000000);
    CHECK(upstream.residency.holds({ModelId("m1"), AdapterId("a1")}));
    CHECK_FALSE(upstream.residency.holds({ModelId("m1"), AdapterId("a2")}));
    CHECK(upstream.copies.onDisk.size() == 2);
    CHECK(upstream.softwareVersion == SoftwareVersion("v1"));

    SUBCASE("a draining registration marks the upstream as leaving")
    {
        const auto leaving = decodeRegistration(
                "w1", withField(registrationJson(), "/state", "draining").dump());
        CHECK(leaving.value().isLeaving);
    }

    SUBCASE("an upstream of a service without an engine has no models")
    {
        json plain = withoutField(withoutField(registrationJson(), "models"), "available");
        CHECK(decodeRegistration("w1", plain.dump()).value().residency.models.empty());
    }

    SUBCASE("a registration with a missing or invalid field is rejected")
    {
        for (const char *name :
             {"service", "address", "zone", "version", "slots", "state", "sequence"}) {
            CHECK_FALSE(decodeRegistration("w1", withoutField(registrationJson(), name).dump()));
            CHECK_FALSE(decodeRegistration(
                    "w1",
                    withField(registrationJson(), std::string("/") + name, json::object()).dump()));
        }
        CHECK_FALSE(decodeRegistration("w1",
                                       withField(registrationJson(), "/state", "resting").dump()));
        CHECK_FALSE(decodeRegistration(
                "w1", withField(registrationJson(), "/address", "here:80").dump()));
        CHECK_FALSE(decodeRegistration("w1", withField(registrationJson(), "/slots", -1).dump()));
        CHECK_FALSE(
                decodeRegistration("w1", withField(registrationJson(), "/sequence", 1.5).dump()));
        CHECK_FALSE(decodeRegistration("w1",
                                       withField(registrationJson(), "/models/0/name", 1).dump()));
        CHECK_FALSE(decodeRegistration("w1", std::string("\xff\xfe\0", 3)));
        CHECK_FALSE(decodeRegistration("w1", ""));
    }
}

TEST_CASE("an engine's report is decoded with its order count, load and pending adapters")
{
    const auto decoded = decodeEngineReport(reportJson().dump());
    REQUIRE(decoded);
    const residency::EngineReport &engine = decoded.value();
    CHECK(engine.residency.version == gateway::ResidencyVersion{1700000000000, 2, false});
    CHECK(engine.pendingAdapters == std::vector{Target{ModelId("m1"), AdapterId("a7")}});
    CHECK(engine.load == gateway::ReportedLoad{12, 1, 0.5});
    CHECK_FALSE(decodeEngineReport(withoutField(reportJson(), "sequence").dump()));
    CHECK_FALSE(
            decodeEngineReport(withField(reportJson(), "/pending", json::array({"m1"})).dump()));
    CHECK_FALSE(decodeEngineReport(withField(reportJson(), "/busy", "no").dump()));
    CHECK_FALSE(decodeEngineReport("null"));
}

TEST_CASE("an order is encoded with its fencing token and expected order count, and its status is "
          "decoded")
{
    residency::EngineOrder order;
    order.operation = residency::OrderOperation::Load;
    order.target = {ModelId("m1"), AdapterId("a3")};
    order.acceptedOrders = 2;
    order.holder = InstanceId("edge-1");
    order.fence = Fence(41);
    CHECK(json::parse(encodeOrder(order))
          == json::parse(R"({"operation":"load","model":"m1","adapter":"a3","expected":2,
                             "holder":"edge-1","fencing_token":41})"));
    order.operation = residency::OrderOperation::Unload;
    order.target.adapter = AdapterId();
    CHECK_FALSE(json::parse(encodeOrder(order)).contains("adapter"));
    CHECK(decodeOrderStatus(202) == residency::OrderAnswer::Accepted);
    CHECK(decodeOrderStatus(412) == residency::OrderAnswer::Fenced);
    CHECK(decodeOrderStatus(421) == residency::OrderAnswer::OtherProcess);
    CHECK(decodeOrderStatus(500) == residency::OrderAnswer::Unknown);
}

// Guards against a configuration under which it is not certain whose request it is, or that counts
// a quota in a unit that this build does not know.
TEST_CASE("workspaces are decoded with their keys, priorities and quotas")
{
    const json red = json::parse(R"({"name":"red","api_keys":["k1","k2","k1"],"priority":1,
        "unit":"tokens","plain_tokens":200,"rate_per_s":661556,"burst":1000})");
    const json blue = json::parse(R"({"name":"blue","api_keys":[]})");
    const auto decode = [](const json &workspaces) {
        return decodeConfiguration(withField(configurationJson(), "/tenants", workspaces).dump());
    };

    SUBCASE("what is missing is no limit, and no priority")
    {
        const auto decoded = decode({red, blue});
        REQUIRE(decoded);
        const auto &workspaces = decoded.value().workspaces;
        REQUIRE(workspaces.size() == 2);
        CHECK(workspaces[0].keyDigests.size() == 2);
        CHECK(workspaces[0].priority == 1);
        CHECK(workspaces[0].quota == gateway::Quota{gateway::QuotaUnit::Tokens, 661556, 1000, 200});
        CHECK_FALSE(workspaces[1].priority);
        CHECK_FALSE(workspaces[1].quota.isLimited());
        const gateway::RouteIndex index(decoded.value());
        CHECK(index.findWorkspace("k2") == index.workspace(WorkspaceId("red")));
        CHECK(index.findWorkspace("k3") == nullptr);
        CHECK(index.findWorkspace("") == nullptr);
    }
    SUBCASE("a quota of zero is no limit")
    {
        const auto decoded = decode(json::array({withField(red, "/rate_per_s", 0)}));
        REQUIRE(decoded);
        CHECK_FALSE(decoded.value().workspaces[0].quota.isLimited());
    }
    SUBCASE("a name or a key of two workspaces is rejected, and an unknown unit or odd value")
    {
        CHECK_FALSE(decode({red, withField(blue, "/name", "red")}));
        CHECK_FALSE(decode({red, withField(blue, "/api_keys", {"k2"})}));
        CHECK_FALSE(decode(json::array({withField(red, "/unit", "bytes")})));
        CHECK_FALSE(decode(json::array({withField(red, "/rate_per_s", -1)})));
        CHECK_FALSE(decode(json::array({withField(red, "/name", "r\r\nd")})));
        CHECK_FALSE(decode(json::array({withField(red, "/name", "")})));
    }
    SUBCASE("a list without entries leaves callers without a workspace, and keys are needed")
    {
        const auto decoded = decode(json::array());
        REQUIRE(decoded);
        CHECK(gateway::RouteIndex(decoded.value()).hasWorkspaces());
    }
    SUBCASE("without the list there are none, and routes are not public")
    {
        const auto decoded = decodeConfiguration(configurationJson().dump());
        REQUIRE(decoded);
        CHECK(decoded.value().workspaces.empty());
        CHECK_FALSE(gateway::RouteIndex(decoded.value()).hasWorkspaces());
        CHECK_FALSE(decoded.value().routes[0].isPublic);
    }
}

// Guards against a key in another notation that is taken for one, and a header without numbers that
// makes a request free of charge.
TEST_CASE("the key of a request is that of the scheme Token")
{
    const gateway::CallCodec codec = makeCallCodec();
    const auto keyOf = [&codec](const std::string &value) {
        upstream::HeaderList headers;
        headers.add("Authorization", value);
        return codec.readRequest(headers).key;
    };
    CHECK(keyOf("Token k1") == "k1");
    CHECK(keyOf(" token \t k1 ") == "k1");
    for (const char *value : {"", "k1", "Token", "Token ", "Bearer k1", "Tokenk1"})
        CHECK(keyOf(value).empty());
    CHECK(codec.isKeyHeader("authorization"));
    CHECK(codec.isWorkspaceHeader("x-tenant"));
    CHECK_FALSE(codec.isForwardedHeader("X-TENANT"));
    for (const char *value : {"", "12", "a,b", "-1,5", "5,"}) {
        upstream::HeaderList headers;
        headers.add("X-Token-Usage", value);
        CHECK_FALSE(codec.readRequest(headers).hasTokenCounts);
    }
}

TEST_CASE("request attributes are read from the platform's headers")
{
    const gateway::CallCodec codec = makeCallCodec();
    upstream::HeaderList headers;
    headers.add("X-Attempt-Id", "9c41");
    headers.add("X-Deadline-Ms", "5000");
    headers.add("X-Model", "m1/a3");
    headers.add("X-Token-Usage", "1460,80");
    headers.add("X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    headers.add("Last-Event-Id", "12");
    headers.add("Resumes", "5e77");
    const gateway::RequestAttributes attributes = codec.readRequest(headers);
    CHECK(attributes.id == RequestId("9c41"));
    CHECK(attributes.callerTimeout == Duration(5s));
    CHECK(attributes.target == Target{ModelId("m1"), AdapterId("a3")});
    CHECK(attributes.promptTokens == 1460);
    CHECK(attributes.maxOutputTokens == 80);
    CHECK(attributes.lastEventId == "12");
    CHECK(attributes.resumedRequest == RequestId("5e77"));

    SUBCASE("requests to one model that differ only in their last prompt part have the same shared "
            "prompt hash")
    {
        upstream::HeaderList sameModel;
        sameModel.add("X-Model", "m1/a3");
        sameModel.add("X-Prompt-Prefix", "5c1e:800,91bd:410,ffff:9");
        CHECK(codec.readRequest(sameModel).sharedPromptHash == attributes.sharedPromptHash);
        upstream::HeaderList otherModel;
        otherModel.add("X-Model", "m2");
        otherModel.add("X-Prompt-Prefix", "5c1e:800,91bd:410,ffff:9");
        CHECK(codec.readRequest(otherModel).sharedPromptHash != attributes.sharedPromptHash);
    }

    SUBCASE("an upstream's limit is a plain number above zero")
    {
        const auto readLimit = [&](const std::string &value) {
            upstream::HeaderList answer;
            answer.add("Server-Limit", value);
            return codec.readAnswer(200, answer);
        };
        CHECK(readLimit("1.9").requestsPerSecond == doctest::Approx(1.9));
        CHECK(readLimit(" 40 ").requestsPerSecond == doctest::Approx(40));
        CHECK_FALSE(readLimit("40").isLimitInvalid);
        for (const char *value : {"", "soon", "-1", "0", "1e9", "inf", "nan", "1.2.3", "0x10"}) {
            CHECK_FALSE(readLimit(value).requestsPerSecond);
            CHECK(readLimit(value).isLimitInvalid);
        }
        const gateway::AnswerAttributes none = codec.readAnswer(200, upstream::HeaderList());
        CHECK_FALSE(none.requestsPerSecond);
        CHECK_FALSE(none.isLimitInvalid);
    }

    SUBCASE("a brittle upstream names the rejections in a second that it bears")
    {
        const auto readBrittle = [&](int status, const std::string &value) {
            upstream::HeaderList answer;
            answer.add("server-brittle", value);
            return codec.readAnswer(status, answer);
        };
        CHECK(readBrittle(200, " 4 ").maxRejectionsPerSecond == doctest::Approx(4));
        CHECK(readBrittle(503, "2.5").maxRejectionsPerSecond == doctest::Approx(2.5));
        CHECK(readBrittle(503, "0").maxRejectionsPerSecond == doctest::Approx(0));
        CHECK_FALSE(readBrittle(503, "4").isBrittleInvalid);
        for (const char *value : {"", "soon", "-1", "1e9", "inf", "nan", "1.2.3", "0x10"}) {
            CHECK_FALSE(readBrittle(503, value).maxRejectionsPerSecond);
            CHECK(readBrittle(503, value).isBrittleInvalid);
        }
        const gateway::AnswerAttributes none = codec.readAnswer(503, upstream::HeaderList());
        CHECK_FALSE(none.maxRejectionsPerSecond);
        CHECK_FALSE(none.isBrittleInvalid);
    }

    SUBCASE("an upstream leaves if its answer says 1")
    {
        const auto readLeaving = [&](const std::string &value) {
            upstream::HeaderList answer;
            answer.add("server-leaving", value);
            return codec.readAnswer(503, answer);
        };
        CHECK(readLeaving(" 1 ").isLeaving);
        CHECK_FALSE(readLeaving("1").isLeavingInvalid);
        for (const char *value : {"", "0", "true", "11"}) {
            CHECK_FALSE(readLeaving(value).isLeaving);
            CHECK(readLeaving(value).isLeavingInvalid);
        }
    }

    SUBCASE("an upstream asks for a pause with 503 and seconds")
    {
        const auto readPause = [&](int status, const std::string &value) {
            upstream::HeaderList answer;
            answer.add("Retry-After", value);
            return codec.readAnswer(status, answer);
        };
        CHECK(readPause(503, "1.5").pause == Duration(1500ms));
        CHECK(readPause(503, "0").pause == Duration(0));
        CHECK_FALSE(readPause(429, "1.5").pause);
        for (const char *value : {"", "-1", "1e3", "soon", "3601", "99999999999999999999"}) {
            CHECK_FALSE(readPause(503, value).pause);
            CHECK(readPause(503, value).isPauseInvalid);
        }
    }

    SUBCASE("all prompt parts but the last are shared ones")
    {
        const std::vector<PromptPartId> expected{PromptPartId("5c1e"), PromptPartId("91bd")};
        CHECK(attributes.promptParts == expected);
        upstream::HeaderList oddParts;
        oddParts.add("X-Prompt-Prefix", " 5c1e:800 ,,91bd," + std::string(65, 'a') + ":1,e440");
        CHECK(codec.readRequest(oddParts).promptParts == expected);
        upstream::HeaderList onePart;
        onePart.add("X-Prompt-Prefix", "5c1e:800");
        CHECK(codec.readRequest(onePart).promptParts.empty());
    }

    SUBCASE("invalid header values are treated as missing")
    {
        upstream::HeaderList invalidHeaders;
        invalidHeaders.add("X-Deadline-Ms", "soon");
        invalidHeaders.add("X-Token-Usage", "many");
        CHECK_FALSE(codec.readRequest(invalidHeaders).callerTimeout);
        CHECK(codec.readRequest(invalidHeaders).promptTokens == 0);
        CHECK(codec.readRequest(invalidHeaders).sharedPromptHash == 0);
    }

    SUBCASE("reserved headers of callers are not forwarded")
    {
        for (const char *name : {"x-hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch",
                                 "X-Expect-Instance", "X-Request-Urgency", "X-Deadline-Ms"})
            CHECK_FALSE(codec.isForwardedHeader(name));
        CHECK(codec.isForwardedHeader("X-Attempt-Id"));
        CHECK(codec.isForwardedHeader("X-Length-Hint"));
    }

    SUBCASE("headers to an upstream hold remaining time, expected upstream, urgency and last event "
            "id")
    {
        std::string head;
        codec.appendHeaders(head, {UpstreamId("w1"), Duration(1500ms), 12, "7"});
        CHECK(head
              == "X-Deadline-Ms: 1500\r\nX-Expect-Instance: w1\r\nX-Request-Urgency: 9\r\n"
                 "Last-Event-Id: 7\r\n");
    }

    SUBCASE("answer headers tell whether the request ran and which upstream answered")
    {
        upstream::HeaderList answer;
        answer.add("X-Attempt-Id", "9c41");
        answer.add("X-Server-Signature", "s");
        CHECK(codec.readAnswer(200, answer).isSigned);
        CHECK_FALSE(codec.readAnswer(503, answer).isNotRun);
        CHECK(codec.readAnswer(421, answer).isNotRun);
        answer.add("X-Not-Executed", "1");
        answer.add("X-Instance-Id", "w2");
        CHECK(codec.readAnswer(503, answer).isNotRun);
        CHECK(codec.readAnswer(503, answer).answeredBy == UpstreamId("w2"));
    }
}

// Guards against a key that the parser quotes in the message that the log shows.
TEST_CASE("an error in a configuration quotes no key")
{
    for (const std::string keys :
         {R"(["k-1" "secret-key"])", R"(["k-1", "secret-key)", "[\"secret-key\n\"]",
          R"(["secret-key\x"])", R"([secret-key])"}) {
        CAPTURE(keys);
        const auto configuration = decodeConfiguration(
                R"({"version": 1, "tenants": [{"name": "red", "api_keys": )" + keys + "}]}");
        REQUIRE_FALSE(configuration);
        CHECK(configuration.error().message().find("ecret") == std::string::npos);
    }
}
