#include "admin/configuration_format.hpp"
#include "fake_ports.hpp"
#include "sample.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::admin;

namespace {

using Json = nlohmann::json;

const std::string bootstrapHeader = "Bearer bootstrap credential";
const std::string operatorHeader = "Bearer ana's credential";

struct Fixture
{
    FakePorts ports;
    AdminApi<FakePorts> api{ports, sha256Hex("bootstrap credential")};

    AdminResponse call(const std::string &method, const std::string &target,
                       const std::string &authorization, const std::string &body = {})
    {
        std::optional<AdminResponse> response;
        this->api.handle({method, target, authorization, body},
                         [&](AdminResponse answer) { response = std::move(answer); });
        REQUIRE(response);
        return *response;
    }

    AdminResponse submit(const Configuration &configuration, const std::string &query,
                         const std::string &authorization = operatorHeader)
    {
        return this->call("POST", "/admin/v1/configuration?" + query, authorization,
                          writeConfiguration(configuration));
    }
};

std::string codeOf(const AdminResponse &response)
{
    return Json::parse(response.body)["error"]["code"];
}

} // namespace

static_assert(AdminPorts<FakePorts>);

TEST_CASE("the administration API handles the calls of operators")
{
    Fixture fixture;
    CHECK(fixture.call("GET", "/healthz", "").status == 200);
    CHECK(fixture.call("GET", "/readyz", "").status == 503);
    CHECK(fixture.call("GET", "/metrics", "").contentType.starts_with("text/plain"));
    CHECK(fixture.call("GET", "/admin/v1/configuration", bootstrapHeader).status == 503);

    const AdminResponse first = fixture.submit(
            sampleConfiguration(), "expectedRevision=0&submissionId=one", bootstrapHeader);
    CHECK(first.status == 200);
    CHECK(Json::parse(first.body)["root"]["revision"] == 1);
    CHECK(Json::parse(first.body)["root"]["author"] == "bootstrap");
    CHECK(Json::parse(fixture.call("GET", "/admin/v1/configuration", operatorHeader)
                              .body)["root"]["revision"]
          == 1);

    SUBCASE("the bootstrap credential is invalid once an operator is configured")
    {
        CHECK(fixture.call("GET", "/admin/v1/configuration", bootstrapHeader).status == 401);
    }

    SUBCASE("the configuration that GET returns can be submitted again")
    {
        const Json got
                = Json::parse(fixture.call("GET", "/admin/v1/configuration", operatorHeader).body);
        const auto read = readConfiguration(got["configuration"].dump());
        REQUIRE(read);
        CHECK(read.value() == sorted(sampleConfiguration()));
    }

    SUBCASE("a conflicting submission gets the winning revision and the difference")
    {
        Configuration changed = sampleConfiguration();
        changed.deployments[0].models[0].maxReplicas = 3;
        CHECK(fixture.submit(changed, "expectedRevision=1&submissionId=two").status == 200);
        const AdminResponse lost
                = fixture.submit(sampleConfiguration(), "expectedRevision=1&submissionId=three");
        CHECK(lost.status == 409);
        const Json json = Json::parse(lost.body);
        CHECK(json["error"]["code"] == "revision_conflict");
        CHECK(json["winner"]["revision"] == 2);
        CHECK(json["difference"][0]["before"] == "3");
    }

    SUBCASE("a dry run changes nothing")
    {
        Configuration changed = sampleConfiguration();
        changed.deployments[0].models[0].maxReplicas = 3;
        const AdminResponse dry
                = fixture.submit(changed, "expectedRevision=1&submissionId=dry&dryRun=true");
        CHECK(dry.status == 200);
        CHECK(Json::parse(dry.body)["difference"].size() == 1);
        CHECK(fixture.ports.current.newest().revision == Revision(1));
    }

    SUBCASE("a rollback creates a new revision, and the history lists both")
    {
        const std::string query = "revision=1&expectedRevision=1&submissionId=back";
        CHECK(fixture.call("POST", "/admin/v1/configuration/rollback?" + query, operatorHeader)
                      .status
              == 200);
        const Json history = Json::parse(
                fixture.call("GET", "/admin/v1/configuration/history", operatorHeader).body);
        CHECK(history["revisions"].size() == 2);
        CHECK(history["revisions"][0]["rolledBackTo"] == 1);
    }

    SUBCASE("status, drain and explain calls respond, and an unknown upstream is named")
    {
        const Json status
                = Json::parse(fixture.call("GET", "/admin/v1/status", operatorHeader).body);
        CHECK(status["newestRevision"] == 1);
        CHECK(fixture.call("POST", "/admin/v1/upstreams/worker-1/drain", operatorHeader).status
              == 200);
        const AdminResponse unknown
                = fixture.call("POST", "/admin/v1/upstreams/worker-9/drain", operatorHeader);
        CHECK(unknown.status == 400);
        CHECK(unknown.body.find("worker-9") != std::string::npos);
        CHECK(fixture.call("POST", "/admin/v1/instances/entry-2/drain", operatorHeader).status
              == 200);
        CHECK(fixture.call("GET", "/admin/v1/explain/requests/r-1", operatorHeader).status == 200);
        CHECK(fixture.call("GET", "/admin/v1/explain/placements?model=chat%401", operatorHeader)
                      .status
              == 200);
    }
}

TEST_CASE("calls without a valid operator credential are rejected")
{
    Fixture fixture;
    for (const char *header : {"", "Bearer", "Bearer ", "Basic YTpi", "Bearer hunter2"}) {
        CAPTURE(header);
        const AdminResponse refused = fixture.call("GET", "/admin/v1/status", header);
        CHECK(refused.status == 401);
        CHECK(refused.body.find("hunter2") == std::string::npos);
    }

    SUBCASE("without a bootstrap credential and operators, every call is rejected")
    {
        AdminApi<FakePorts> closed(fixture.ports, "");
        const AdminRequest request{"GET", "/admin/v1/status", "Bearer ", ""};
        CHECK(closed.admit(request).error().kind() == ErrorKind::Unauthenticated);
    }
}

TEST_CASE("invalid calls are rejected with the wrong part named, and nothing is written")
{
    Fixture fixture;
    const auto checkRejected = [&](const std::string &method, const std::string &target,
                                   const std::string &code, const std::string &word) {
        CAPTURE(target);
        const AdminResponse response = fixture.call(method, target, bootstrapHeader, "{}");
        CHECK(codeOf(response) == code);
        CHECK(response.body.find(word) != std::string::npos);
    };
    checkRejected("GET", "/nowhere", "unknown_path", "/nowhere");
    checkRejected("PUT", "/admin/v1/configuration", "method_not_allowed", "POST or GET");
    checkRejected("POST", "/admin/v1/configuration", "invalid_field", "expectedRevision");
    checkRejected("POST", "/admin/v1/configuration?expectedRevision=x&submissionId=a",
                  "invalid_field", "whole number");
    checkRejected("POST", "/admin/v1/configuration?expectedRevision=0&submissionId=a%20b",
                  "invalid_field", "submissionId");
    checkRejected("POST", "/admin/v1/configuration?expectedRevision=0&submissionId=a&dryrun=true",
                  "invalid_field", "dryrun");
    checkRejected("POST", "/admin/v1/configuration?expectedRevision=0&submissionId=a",
                  "configuration_invalid", "formatVersion");
    checkRejected("GET", "/admin/v1/status?%", "malformed_request", "name=value");
    CHECK(fixture.ports.service.state.entries().empty());
}
