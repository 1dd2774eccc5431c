#include "admission/retry_policy.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

const CallerClassId guest("guest");
const UpstreamId other("w2");

FailedAttempt attempt(FailureReason reason, bool isIdempotent)
{
    return {reason, guest, other, isIdempotent, false, 1, TimePoint(10s), 1s};
}

bool isAllowed(const RetryDecision &decision)
{
    return std::holds_alternative<RetryAfterDelay>(decision);
}

} // namespace

TEST_CASE("a failed attempt is retried only where that is safe")
{
    Metrics metrics;
    RetryPolicy policy(metrics, 1);
    const TimePoint now{};
    const auto refusedAs = [&](const FailedAttempt &failed, RetryRefusal refusal) {
        return policy.decide(failed, now) == RetryDecision(refusal);
    };

    SUBCASE("an idempotent call is retried for every reason, and each retry is counted")
    {
        for (std::size_t i = 0; i < failureReasonCount; ++i) {
            const auto reason = static_cast<FailureReason>(i);
            RetryPolicy fresh(metrics, 1);
            CHECK(isAllowed(fresh.decide(attempt(reason, true), now)));
            const std::string label = "reason=\"" + std::string(failureReasonName(reason)) + "\"";
            CHECK(metrics.counter("bamboochute_retries_total", label).value() == 1);
        }
    }

    SUBCASE("another call is retried only when the upstream is known not to have run it")
    {
        CHECK(isAllowed(policy.decide(attempt(FailureReason::ConnectFailed, false), now)));
        CHECK(isAllowed(policy.decide(attempt(FailureReason::RefusedNotRun, false), now)));
        for (const auto reason : {FailureReason::ConnectionLost, FailureReason::ServerError,
                                  FailureReason::TimedOut, FailureReason::MalformedAnswer})
            CHECK(refusedAs(attempt(reason, false), RetryRefusal::NotIdempotent));
        CHECK(metrics.counter("bamboochute_retries_refused_total", "reason=\"not_idempotent\"")
                      .value()
              == 4);
    }

    SUBCASE("no call is retried after part of the answer was sent, too many attempts, or too late")
    {
        FailedAttempt failed = attempt(FailureReason::ConnectionLost, true);
        failed.isAnswerBegun = true;
        CHECK(refusedAs(failed, RetryRefusal::AnswerBegun));
        failed = attempt(FailureReason::ConnectionLost, true);
        failed.attempts = 4;
        CHECK(refusedAs(failed, RetryRefusal::TooManyAttempts));
        failed = attempt(FailureReason::ConnectionLost, true);
        failed.deadline = now + 900ms;
        CHECK(refusedAs(failed, RetryRefusal::DeadlineTooClose));
    }
}

TEST_CASE("retries are a bounded share of the requests")
{
    Metrics metrics;
    RetryPolicy policy(metrics, 1);
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        policy.recordFirstAttempt(guest, other);
        for (std::uint32_t attempts = 1; attempts < 4; ++attempts) {
            FailedAttempt failed = attempt(FailureReason::ServerError, true);
            failed.attempts = attempts;
            retries += isAllowed(policy.decide(failed, TimePoint())) ? 1 : 0;
        }
    }
    CHECK(retries <= 910);
    CHECK(retries >= 890);
    CHECK(metrics.counter("bamboochute_retries_refused_total", "reason=\"class_budget_exhausted\"")
                  .value()
          > 0);
}

TEST_CASE("delays are random and bounded")
{
    Metrics metrics;
    RetryPolicy policy(metrics, 1, RetryLimits{.maxAttempts = 20, .initialBudget = 1000});
    for (std::uint32_t attempts = 1; attempts < 12; ++attempts) {
        FailedAttempt failed = attempt(FailureReason::ConnectFailed, true);
        failed.attempts = attempts;
        std::set<Duration> seen;
        for (int i = 0; i < 20; ++i)
            seen.insert(std::get<RetryAfterDelay>(policy.decide(failed, TimePoint())).delay);
        CHECK(seen.size() > 10);
        CHECK(*seen.rbegin() <= 500ms);
    }
}
