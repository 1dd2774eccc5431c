#include "owner_store.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::adapter;

TEST_CASE("an owner's record is restored from its encoding")
{
    residency::OwnerRecord record{InstanceId("i1"), {"10.0.0.1", 80}, 7, Fence(9), 2};
    CHECK(decodeOwnerRecord(encodeOwnerRecord(record)) == record);
    record.answersCandidates = true;
    record.consenters = {InstanceId("i2"), InstanceId("i3")};
    CHECK(decodeOwnerRecord(encodeOwnerRecord(record)) == record);
    SUBCASE("one of an earlier release does not answer candidates")
    {
        const auto former
                = decodeOwnerRecord(R"({"instance":"i1","endpoint":"10.0.0.1:80","nonce":7})");
        REQUIRE(former);
        CHECK_FALSE(former->answersCandidates);
        CHECK_FALSE(former->mayOutliveLease());
    }
}
