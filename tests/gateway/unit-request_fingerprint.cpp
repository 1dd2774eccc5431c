#include "gateway/request_fingerprint.hpp"

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::gateway;

TEST_CASE("the fingerprint of a request depends on each part of what it asks for")
{
    const RequestContent content{"POST", "desk", "/plain/a?b=c", "10.0.0.1", "body", 7};
    const RequestFingerprints fingerprints = computeFingerprints(content);
    CHECK(fingerprints.ofCaller.value().size() == 16);
    CHECK_FALSE(isOfAnyCaller(fingerprints.ofCaller.value()));
    CHECK(isOfAnyCaller(fingerprints.ofAnyCaller.value()));
    CHECK(computeFingerprints(content) == fingerprints);

    RequestContent other = content;
    bool isSameOfAnyCaller = false;
    SUBCASE("method")
    {
        other.method = "PUT";
    }
    SUBCASE("host")
    {
        other.host = "lobby";
    }
    SUBCASE("path and query")
    {
        other.target = "/plain/a?b=d";
    }
    SUBCASE("caller")
    {
        other.caller = "10.0.0.2";
        isSameOfAnyCaller = true;
    }
    SUBCASE("body")
    {
        other.body = "Body";
    }
    SUBCASE("headers")
    {
        other.headerHash = 8;
    }
    SUBCASE("bytes that move from one part to the next")
    {
        other.method = "POSTd";
        other.host = "esk";
    }
    CHECK(computeFingerprints(other).ofCaller != fingerprints.ofCaller);
    CHECK((computeFingerprints(other).ofAnyCaller == fingerprints.ofAnyCaller)
          == isSameOfAnyCaller);
}
