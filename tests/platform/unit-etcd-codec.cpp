#include "platform/base64.hpp"
#include "platform/etcd_codec.hpp"
#include "platform/instance_list.hpp"
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

// Guards against answers of the store that end the process or are read with other numbers.
TEST_CASE("an odd message of the store is rejected")
{
    constexpr std::size_t deep = 100'000;
    const std::string nested = std::string(deep, '[') + std::string(deep, ']');
    const auto response = [](const std::string &revision) {
        return parseTransactionResponse(R"({"header":{"revision":)" + revision + "}}");
    };
    REQUIRE(response("7"));
    REQUIRE(response(R"("18446744073709551615")"));

    SUBCASE("numbers that are not whole or fit no type")
    {
        for (const char *number :
             {"18446744073709551616", R"("18446744073709551616")", "1e308", R"("1e308")", "-1",
              R"("-1")", "1.5", "12345678901234567890123", "null", "[]", "true", R"("")"}) {
            CAPTURE(number);
            CHECK_FALSE(response(number));
            CHECK_FALSE(parseLeaseGrantResponse(std::string(R"({"ID":)") + number + "}"));
            CHECK_FALSE(parseLeaseGrantRequest(std::string(R"({"TTL":)") + number + "}"));
        }
        CHECK_FALSE(parseLeaseGrantRequest(R"({"TTL":"18446744073709551615"})"));
    }

    SUBCASE("members of another type")
    {
        CHECK_FALSE(parseTransaction(R"({"compare":[{"key":"YQ==","target":1}]})"));
        CHECK_FALSE(parseTransaction(R"({"success":[{"requestPut":1}]})"));
        CHECK_FALSE(parseTransaction(R"({"success":[{"requestRange":[]}]})"));
        CHECK_FALSE(parseTransaction(R"({"success":[7]})"));
    }

    SUBCASE("arrays within arrays")
    {
        CHECK_FALSE(parseTransactionResponse(nested));
        CHECK_FALSE(response(R"("7","later":)" + nested));
        CHECK_FALSE(parseInstanceList(R"({"entryInstances":[],"upstreams":[],"later":)" + nested
                                      + "}"));
    }

    SUBCASE("a port above 65535")
    {
        const auto list = [](const std::string &port, const std::string &generation) {
            return parseInstanceList(
                    R"({"entryInstances":[],"upstreams":[{"name":"w1","address":"10.0.0.1","port":)"
                    + port + R"(,"generation":)" + generation + "}]}");
        };
        REQUIRE(list("80", "1"));
        for (const char *port : {"65536", "4294967376", "-1", "80.5", "1e308", "null"})
            CHECK_FALSE(list(port, "1"));
        for (const char *generation : {"-1", "1.5", "1e308", "18446744073709551616"})
            CHECK_FALSE(list("80", generation));
    }
}

// Guards against the end of the process by an answer that has fewer responses than operations.
TEST_CASE("an answer to a transaction with another number of responses is rejected")
{
    const Transaction transaction{{}, {Get{"a", false}, Get{"b", false}}, {Get{"a", false}}};
    const auto parse = [&transaction](bool succeeded, const std::string &responses) {
        return parseTransactionResponse(R"({"header":{"revision":"7"},"succeeded":)"
                                                + std::string(succeeded ? "true" : "false")
                                                + responses + "}",
                                        transaction);
    };
    const std::string range = R"({"response_range":{}})";
    CHECK(parse(true, R"(,"responses":[)" + range + "," + range + "]"));
    CHECK(parse(false, R"(,"responses":[)" + range + "]"));
    CHECK_FALSE(parse(true, ""));
    CHECK_FALSE(parse(true, R"(,"responses":{})"));
    CHECK_FALSE(parse(true, R"(,"responses":[)" + range + "]"));
    CHECK_FALSE(parse(false, R"(,"responses":[)" + range + "," + range + "]"));
}
