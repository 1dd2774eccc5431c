#include "admission/operation_record.hpp"
#include "core/random.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;

TEST_CASE("a decoded record equals the encoded one")
{
    const Claimant claimant{InstanceId("i-7"), Incarnation(3), ClaimNumber(99)};
    std::string binary("\0\xff\x80 body", 8);
    const std::vector<OperationState> states{
            Claimed{},
            Released{},
            OutcomeUnknown{},
            OutcomeTooLarge{201},
            OperationOutcome{200, {{"Content-Type", "application/json"}}, binary},
    };
    for (const OperationState &state : states) {
        const OperationRecord record{claimant, "fingerprint", state};
        const auto decoded = decodeOperationRecord(encode(record));
        REQUIRE(decoded);
        CHECK(decoded.value() == record);
    }

    SUBCASE("decoding anything else is an error")
    {
        for (const char *text : {"", "claimed", "\xa1\x61\x61\x01"})
            CHECK(decodeOperationRecord(text).error().kind() == ErrorKind::Internal);
    }
}

TEST_CASE("a damaged record is an error or another record, never a crash")
{
    const OperationOutcome outcome{200, {{"Content-Type", "text/plain"}}, "body"};
    const std::string whole
            = encode({{InstanceId("i-7"), Incarnation(3), ClaimNumber(99)}, "f", outcome});
    Random random(1);
    int errors = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = whole.substr(0, 1 + random.below(whole.size()));
        for (std::uint64_t n = random.below(4); n > 0; --n)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        const auto decoded = decodeOperationRecord(damaged);
        errors += decoded ? 0 : 1;
    }
    CHECK(errors > 4000);
}

TEST_CASE("operation keys are validated")
{
    CHECK(parseOperationKey("deposit-17").value().value() == "deposit-17");
    CHECK(parseOperationKey(std::string(maxOperationKeyBytes, 'k')));
    const std::string tooLong(maxOperationKeyBytes + 1, 'k');
    const std::string nul("a\0b", 3);
    for (const std::string &invalid : {std::string(), tooLong, std::string("a b"), nul,
                                       std::string("caf\xc3\xa9"), std::string("a\r\nb")})
        CHECK(parseOperationKey(invalid).error().kind() == ErrorKind::OperationKeyInvalid);
}

TEST_CASE("different parts give different keys and fingerprints")
{
    CHECK(claimKey("ab", OperationKey("c")) != claimKey("a", OperationKey("bc")));
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("POST", "/ab", ""));
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("PUT", "/a", "b"));
    CHECK(claimKey("ab", OperationKey("c")).starts_with("claims/"));
}
