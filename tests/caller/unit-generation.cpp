#include "test_bed.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using test::chatBody;
using test::Client;
using test::ClientAnswer;
using test::TestBed;

TEST_CASE("a chat request is answered by an engine that has the model")
{
    TestBed bed;
    fakes::FakeEngine &engine = bed.addEngine();
    bed.publish();
    Client client(bed.endpoint);

    SUBCASE("with the engine's whole answer, also for a second request on the connection")
    {
        for (int i = 0; i < 2; ++i) {
            const ClientAnswer answer
                    = client.call("POST", "/v1/chat/completions", chatBody("small"));
            CHECK(answer.status == 200);
            CHECK(answer.isWhole);
            const auto body = nlohmann::json::parse(answer.body);
            CHECK(body["object"] == "chat.completion");
            CHECK_FALSE(answer.headers.at("x-request-id").empty());
        }
        bed.loop.run([&] { CHECK(engine.state().stats.requests == 2); });
    }

    SUBCASE("as a stream up to its end marker and final chunk")
    {
        const ClientAnswer answer
                = client.call("POST", "/v1/chat/completions", chatBody("small", true));
        CHECK(answer.status == 200);
        CHECK(answer.isWhole);
        CHECK(answer.headers.at("content-type") == "text/event-stream");
        CHECK(answer.body.find(" t16\"") != std::string::npos);
        CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    }

    SUBCASE("for an adapter named alone or as model:adapter")
    {
        for (const char *model : {"desk-tone", "small:desk-tone"})
            CHECK(client.call("POST", "/v1/chat/completions", chatBody(model)).status == 200);
    }

    SUBCASE("with the request identifier of the caller")
    {
        const ClientAnswer answer = client.call("POST", "/v1/chat/completions", chatBody("small"),
                                                "x-request-id: desk-17\r\n");
        CHECK(answer.headers.at("x-request-id") == "desk-17");
    }
}
