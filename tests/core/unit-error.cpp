#include "core/error.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;

TEST_CASE("every error kind has an answer of its own")
{
    std::set<std::string_view> ids;
    std::set<std::string_view> codes;
    for (const ErrorRow &row : errorTable()) {
        CAPTURE(row.code);
        CHECK(ids.insert(row.id).second);
        CHECK(codes.insert(row.code).second);
        CHECK(row.httpStatus >= 400);
        CHECK(row.httpStatus < 600);
    }

    SUBCASE("a refusal that is worth repeating says when, unless a conflict must be read first")
    {
        for (const ErrorRow &row : errorTable()) {
            CAPTURE(row.code);
            if (row.httpStatus == 503)
                CHECK(row.retryAfter.has_value() == row.isRetryable);
        }
    }

    SUBCASE("a given Retry-After replaces the table's")
    {
        const Error error(ErrorKind::QueueFull, "queue of class \"guest\" holds 256 requests");
        CHECK(error.retryAfter() == std::chrono::seconds(1));
        CHECK(error.withRetryAfter(std::chrono::seconds(7)).retryAfter()
              == std::chrono::seconds(7));
    }
}
