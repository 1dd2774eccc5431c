#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::test;

namespace {

std::string refusalOf(const std::string &id)
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + (id.empty() ? id : "test-id: " + id + "\r\n")
           + "test-not-run: 1\r\nContent-Length: 4\r\n\r\nfull";
}

} // namespace

// Guards against a refusal that an upstream writes once more on a kept connection, and that is
// taken for the answer to the next request: its caller is told that it was not run, or it runs
// twice.
TEST_CASE("an earlier refusal that comes again is never the answer to the next request")
{
    std::string id;
    SUBCASE("with the id of the request that is due")
    {
        id = "{id}";
    }
    SUBCASE("without an id") {}
    SUBCASE("with the id of the earlier request")
    {
        id = "r1";
    }
    for (const char *path : {"/once/", "/plain/", "/stream/"}) {
        CAPTURE(path);
        Script refusing{refusalOf("{id}")};
        refusing.nextAnswer = refusalOf(id);
        std::vector<Script> scripts{refusing};
        const std::string events = "id: 1\ndata: a\n\n";
        const bool isStream = path == std::string("/stream/");
        const std::string done = isStream ? streamAnswer(events, true) : answer(200, "done");
        scripts.insert(scripts.end(), 6, Script{done});
        ScriptedUpstream upstream(scripts);
        RelayFixture fixture({&upstream});
        const std::string refused = fixture.call(request(path));
        const std::string answered = fixture.call(request(path));
        CHECK(answered.starts_with("HTTP/1.1 200 "));
        CHECK(containsText(answered, isStream ? "data: a" : "done"));
        CHECK(upstream.requestsOnUsedConnections() == 0);
    }
}
