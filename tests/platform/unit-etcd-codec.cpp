#include "platform/base64.hpp"
#include "platform/etcd_codec.hpp"
#include "platform/key_value_state.hpp"

#include "core/random.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::platform;

TEST_CASE("transactions and responses are encoded as JSON of the etcd gateway")
{
    const Transaction transaction{
            {CompareModRevision{"pools/a/owner", StoreRevision(7)}, CompareValue{"x", "1"}},
            {Put{"pools/a/owner", std::string("\0\xff", 2), LeaseId(3)}, Get{"pools/a/", true}},
            {Get{"pools/a/owner", false}, Delete{"old/", true}},
    };

    SUBCASE("a request is unchanged after encoding and parsing")
    {
        CHECK(parseTransaction(printTransaction(transaction)).value() == transaction);
    }

    SUBCASE("a response keeps the entries found by a range after encoding and parsing")
    {
        KeyValueState store;
        const Transaction write{{}, {Put{"k/1", "one", {}}, Put{"k/2", "two", {}}}, {}};
        REQUIRE(store.apply(write).value().succeeded);
        const Transaction read{{}, {Get{"k/", true}}, {}};
        const TransactionResponse response = store.apply(read).value();
        const auto decoded = parseTransactionResponse(printTransactionResponse(read, response));
        CHECK(decoded.value() == response);
    }

    SUBCASE("an invalid message is rejected with the name of the wrong member")
    {
        CHECK(parseTransaction("[]").error().kind() == ErrorKind::MalformedJson);
        const auto wrongTarget = parseTransaction(R"({"compare":[{"key":"YQ==","target":"X"}]})");
        CHECK(wrongTarget.error().field() == "target");
        const auto wrongNumber = parseTransactionResponse(R"({"header":{"revision":"1x"}})");
        CHECK(wrongNumber.error().field() == "revision");
    }
}

TEST_CASE("base64 decoding restores bytes of every length below 64 and rejects invalid text")
{
    Random random(1);
    for (std::size_t length = 0; length < 64; ++length) {
        std::string bytes(length, '\0');
        for (char &each : bytes)
            each = static_cast<char>(random());
        CAPTURE(length);
        CHECK(decodeBase64(encodeBase64(bytes)).value() == bytes);
    }
    CHECK(decodeBase64("a").has_error());
    CHECK(decodeBase64("****").has_error());
}
