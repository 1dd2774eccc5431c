#include "admission/operation_record.hpp"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using namespace bamboochute::admission;
using nlohmann::json;

namespace {

constexpr std::size_t deep = 100'000;
constexpr std::size_t maxErrorBytes = 400;

json sampleRecord()
{
    const auto bytes = [](const std::string &text) {
        return json::binary({text.begin(), text.end()});
    };
    return {{"version", 1},
            {"instance", "i1"},
            {"incarnation", 3},
            {"number", 99},
            {"fingerprint", "f"},
            {"state",
             {{"kind", "outcome"},
              {"answer",
               {{"status", 200},
                {"headers", json::array({json::array({bytes("Content-Type"), bytes("a/b")})})},
                {"body", bytes("{}")}}}}}};
}

Result<OperationRecord> decode(const json &record)
{
    std::string bytes;
    json::to_cbor(record, bytes);
    return decodeOperationRecord(bytes);
}

} // namespace

// Guards against outcomes of operations whose numbers fit no type, and against the end of the
// process by a record of arrays within arrays.
TEST_CASE("an odd record of an operation is rejected, and its error is short")
{
    REQUIRE(decode(sampleRecord()));
    const auto checkRejected = [](const Result<OperationRecord> &decoded) {
        CHECK_FALSE(decoded);
        if (!decoded)
            CHECK(decoded.error().message().size() <= maxErrorBytes);
    };

    SUBCASE("numbers that are not whole or fit no type")
    {
        const double infinite = std::numeric_limits<double>::infinity();
        for (const json &number :
             {json(18446744073709551616.0), json(1e308), json(-1e308), json(infinite),
              json(std::nan("")), json(-1), json(1.5), json("3"), json(nullptr), json(true)}) {
            CAPTURE(number);
            for (const char *name : {"incarnation", "number"}) {
                json record = sampleRecord();
                record[name] = number;
                checkRejected(decode(record));
            }
            json record = sampleRecord();
            record["state"]["answer"]["status"] = number;
            checkRejected(decode(record));
            record["state"] = {{"kind", "too_large"}, {"status", number}};
            checkRejected(decode(record));
        }
    }

    SUBCASE("a status that no answer can have")
    {
        for (const std::uint64_t status : {std::uint64_t{0}, std::uint64_t{99}, std::uint64_t{1000},
                                           std::uint64_t{4294967496}, ~std::uint64_t{0}}) {
            CAPTURE(status);
            json record = sampleRecord();
            record["state"]["answer"]["status"] = status;
            checkRejected(decode(record));
            record["state"] = {{"kind", "too_large"}, {"status", status}};
            checkRejected(decode(record));
        }
    }

    SUBCASE("headers that are no list")
    {
        for (const json &headers : {json(nullptr), json::object(), json(1)}) {
            json record = sampleRecord();
            record["state"]["answer"]["headers"] = headers;
            checkRejected(decode(record));
        }
    }

    SUBCASE("arrays within arrays")
    {
        checkRejected(decodeOperationRecord(std::string(deep, '\x81')));
        checkRejected(decodeOperationRecord(std::string(deep, '\x81') + '\x01'));
        checkRejected(decodeOperationRecord(std::string(deep, '\x9f')));
    }
}
