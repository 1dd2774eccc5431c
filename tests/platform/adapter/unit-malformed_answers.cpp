#include "silent_server.hpp"
#include "store_client.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace bamboochute;
using namespace bamboochute::adapter;

namespace {

namespace asio = boost::asio;

/// A store that answers every call with status 200 and the same body.
struct MalformedStore
{
    template<typename Call>
    auto run(const Call &call)
    {
        std::optional<typename decltype(call())::value_type> result;
        asio::co_spawn(
                this->loop, [&]() -> upstream::Awaitable<void> { result = co_await call(); },
                asio::detached);
        while (!result)
            this->loop.run_one();
        return *result;
    }

    Result<StorePage> list(const std::string &answer)
    {
        this->body = answer;
        return this->run([this] { return this->store.list("op/", ""); });
    }

    Result<bool> renew(const std::string &answer)
    {
        this->body = answer;
        return this->run([this] { return this->store.renewLease(StoreLease(7)); });
    }

    std::uint64_t malformed()
    {
        return this->metrics
                .counter("bamboochute_store_answers_ignored_total", "reason=\"malformed\"")
                .value();
    }

    asio::io_context loop{1};
    std::string body;
    SilentServer server{this->loop, [this](const std::string &) { return this->body; }};
    Metrics metrics;
    HttpClient client{this->loop};
    StoreClient store{this->client, this->server.endpoint(), this->metrics};
};

} // namespace

// Guards against registrations and a configuration that count as removed because an answer lacks
// its items.
TEST_CASE("a list of the store without items is malformed")
{
    MalformedStore store;
    REQUIRE(store.list(R"({"items":[],"more_pages":false,"current_rev":7})"));
    REQUIRE(store.malformed() == 0);
    for (const char *items : {"", R"("items":null,)", R"("items":{},)", R"("items":0,)"}) {
        CAPTURE(items);
        CHECK_FALSE(
                store.list(std::string("{") + items + R"("more_pages":false,"current_rev":7})"));
    }
    CHECK(store.malformed() == 4);
}

// Guards against an owner that goes on although its lease was not renewed.
TEST_CASE("a renewal whose answer is malformed or names another lease is of unknown outcome")
{
    MalformedStore store;
    REQUIRE(store.renew("{}"));
    REQUIRE(store.renew(R"({"lease":7,"ttl_ms":5000})"));
    for (const char *answer : {"x", "[]", "null", R"({"lease":8})", R"({"lease":"7"})",
                               R"({"lease":7.5})", R"({"ttl_ms":0})", R"({"ttl_ms":-1})"}) {
        CAPTURE(answer);
        const Result<bool> renewed = store.renew(answer);
        REQUIRE_FALSE(renewed);
        CHECK(renewed.error().kind() == ErrorKind::KeyValueOutcomeUnknown);
    }
}
