#include "core/error.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;

TEST_CASE("every error kind has a unique id, a unique code and an HTTP error status")
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

    SUBCASE("an error with status 503 has a Retry-After exactly when it is retryable")
    {
        // KeyValueConflict, a retryable 409, has none: the caller must read the value first.
        for (const ErrorRow &row : errorTable()) {
            CAPTURE(row.code);
            if (row.httpStatus == 503)
                CHECK(row.retryAfter.has_value() == row.isRetryable);
        }
    }

    SUBCASE("withRetryAfter() replaces the table's Retry-After")
    {
        const Error error(ErrorKind::QueueFull, "queue of class \"guest\" holds 256 requests");
        CHECK(error.retryAfter() == std::chrono::seconds(1));
        CHECK(error.withRetryAfter(std::chrono::seconds(7)).retryAfter()
              == std::chrono::seconds(7));
    }
}
