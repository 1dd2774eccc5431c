#include "core/digest.hpp"
#include "forwarding/forwarded_request.hpp"
#include "relay_fixture.hpp"

#include <chrono>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;
using namespace std::chrono_literals;

namespace {

gateway::Workspace makeWorkspace(const std::string &name, const std::vector<std::string> &keys)
{
    gateway::Workspace workspace;
    workspace.id = WorkspaceId(name);
    for (const std::string &key : keys)
        workspace.keyDigests.push_back(sha256Hex(key));
    return workspace;
}

void publishWorkspaces(RelayFixture &fixture, const std::vector<gateway::Workspace> &workspaces,
                       bool areKeysNeeded = true)
{
    fixture.publishChange([&](gateway::RoutingConfiguration &configuration) {
        configuration.workspaces = workspaces;
        configuration.areKeysNeeded = areKeysNeeded;
        gateway::Route open = configuration.routes.front();
        open.id = gateway::RouteId("open");
        open.pathPrefix = "/open/";
        open.isPublic = true;
        configuration.routes.push_back(open);
    });
}

std::string withKey(const std::string &path, const std::string &key)
{
    return request(path, "body", "test-key: " + key + "\r\n");
}

} // namespace

// Guards against callers that are served without a key that some workspace holds, and against keys
// that are passed on to upstreams.
TEST_CASE("where there are workspaces, a request needs a key of one")
{
    ScriptedUpstream upstream({Script{answer(200, "one")}, Script{answer(200, "two")}});
    RelayFixture fixture({&upstream});
    publishWorkspaces(fixture,
                      {makeWorkspace("red", {"k-red", "k-old"}), makeWorkspace("none", {})});

    SUBCASE("the upstream is told the workspace, and not the key")
    {
        CHECK(containsText(fixture.call(withKey("/once/a", "k-red")), "HTTP/1.1 200"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK(containsText(upstream.requests()[0], "test-workspace: red\r\n"));
        CHECK_FALSE(containsText(upstream.requests()[0], "k-red"));
    }
    SUBCASE("whatever workspace the caller names")
    {
        fixture.call(request("/once/a", "body", "test-workspace: blue\r\ntest-key: k-old\r\n"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK(containsText(upstream.requests()[0], "test-workspace: red\r\n"));
        CHECK_FALSE(containsText(upstream.requests()[0], "blue"));
    }
    SUBCASE("other keys are refused, and an empty one, and a request without one")
    {
        for (const std::string &refused :
             {fixture.call(withKey("/once/a", "k-blue")), fixture.call(withKey("/once/a", "")),
              fixture.call(request("/once/a", "body")),
              fixture.call(withKey("/once/a", std::string(10'000, 'k')))})
            CHECK(containsText(refused, "HTTP/1.1 401"));
        CHECK(upstream.requests().empty());
    }
    SUBCASE("a path without a route is not found, whatever the key")
    {
        CHECK(containsText(fixture.call(withKey("/nowhere/a", "k-blue")), "HTTP/1.1 404"));
    }
    SUBCASE("a public route needs no key; the upstream gets neither a key nor a workspace")
    {
        fixture.call(withKey("/open/a", "k-red"));
        fixture.call(request("/open/b", "body", "test-workspace: blue\r\n"));
        REQUIRE(upstream.requests().size() == 2);
        for (const std::string &sent : upstream.requests()) {
            CHECK_FALSE(containsText(sent, "k-red"));
            CHECK_FALSE(containsText(sent, "test-workspace"));
        }
    }
    SUBCASE("a key that a later configuration takes away is refused")
    {
        publishWorkspaces(fixture, {makeWorkspace("red", {"k-red"})});
        CHECK(containsText(fixture.call(withKey("/once/a", "k-old")), "HTTP/1.1 401"));
        CHECK(containsText(fixture.call(withKey("/once/a", "k-red")), "HTTP/1.1 200"));
    }
    SUBCASE("also when no workspace is left")
    {
        publishWorkspaces(fixture, {});
        CHECK(containsText(fixture.call(withKey("/once/a", "k-red")), "HTTP/1.1 401"));
    }
    SUBCASE("without workspaces, what the caller sends is passed on, but no workspace")
    {
        publishWorkspaces(fixture, {}, false);
        fixture.call(request("/once/a", "body", "test-workspace: blue\r\ntest-key: k-red\r\n"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK(containsText(upstream.requests()[0], "test-key: k-red"));
        CHECK_FALSE(containsText(upstream.requests()[0], "blue"));
    }
}

// Guards against a request that is checked twice by different configurations, or not at all, when
// it goes through another instance.
TEST_CASE("of a forwarded request, the instance that has it from the caller checks the key")
{
    ScriptedUpstream upstream({Script{answer(200, "one")}});
    RelayFixture helper({&upstream});
    publishWorkspaces(helper, {makeWorkspace("red", {"k-red"})});
    forwarding::ForwardedRequest state;
    state.remaining = 2s;
    state.service = "rooms";
    state.configuration = 1;
    const auto forward = [&](const std::string &headers) {
        return RelayFixture::callAt(helper.instanceEndpoint(),
                                    request("/once/a", "body",
                                            std::string(forwarding::forwardedHeader) + ": "
                                                    + forwarding::encodeForwardedRequest(state)
                                                    + "\r\n" + headers));
    };

    SUBCASE("the helper takes over the workspace that it names, also one that it does not know")
    {
        state.workspace = WorkspaceId("green");
        CHECK(containsText(forward(""), "HTTP/1.1 200"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK(containsText(upstream.requests()[0], "test-workspace: green\r\n"));
    }
    SUBCASE("also none, of a public route")
    {
        state.workspace = WorkspaceId();
        CHECK(containsText(forward(""), "HTTP/1.1 200"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK_FALSE(containsText(upstream.requests()[0], "test-workspace"));
    }
    SUBCASE("an instance of an earlier release names none: the helper checks the key")
    {
        CHECK(containsText(forward("test-key: k-blue\r\n"), "HTTP/1.1 401"));
        CHECK(containsText(forward("test-key: k-red\r\n"), "HTTP/1.1 200"));
        REQUIRE(upstream.requests().size() == 1);
        CHECK_FALSE(containsText(upstream.requests()[0], "k-red"));
    }
}

// Guards against a quota that is counted after the request was sent, or that refuses with a status
// that promises nothing.
TEST_CASE("a request beyond its workspace's quota is refused as not run, before it is sent")
{
    ScriptedUpstream upstream({Script{answer(200, "one")}});
    RelayFixture fixture({&upstream});
    gateway::Workspace limited = makeWorkspace("red", {"k-red"});
    limited.quota = {gateway::QuotaUnit::Requests, 1, 0, 0};
    publishWorkspaces(fixture, {limited});
    fixture.runOnLoop([](gateway::Gateway &own) {
        own.quotas.receiveShares({{WorkspaceId("red"), 0.0, 100.0}}, SteadyClock().now());
    });
    const std::string refused = fixture.call(withKey("/once/a", "k-red"));
    CHECK(containsText(refused, "HTTP/1.1 429"));
    CHECK(containsText(refused, "Retry-After: "));
    CHECK(upstream.requests().empty());
}
