#include "admission/retry_policy.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace bamboochute::admission {

std::string_view failureReasonName(FailureReason reason) noexcept
{
    constexpr std::array<std::string_view, failureReasonCount> names{
            "connect_failed",   "connection_closed_before_write",
            "refused_not_run",  "connection_lost",
            "server_error",     "timed_out",
            "malformed_answer",
    };
    return names[static_cast<std::size_t>(reason)];
}

bool isKnownNotRun(FailureReason reason) noexcept
{
    return reason == FailureReason::ConnectFailed
           || reason == FailureReason::ConnectionClosedBeforeWrite
           || reason == FailureReason::RefusedNotRun;
}

std::string_view retryRefusalName(RetryRefusal refusal) noexcept
{
    constexpr std::array<std::string_view, 6> names{
            "not_idempotent",     "answer_begun",           "too_many_attempts",
            "deadline_too_close", "class_budget_exhausted", "upstream_budget_exhausted",
    };
    return names[static_cast<std::size_t>(refusal)];
}

RetryPolicy::RetryPolicy(Metrics &metrics, std::uint64_t seed, RetryLimits limits)
    : limits(limits)
    , random(seed)
    , metrics(metrics)
{}

void RetryPolicy::recordFirstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream)
{
    const auto deposit = [this](double &budget) {
        budget = std::min(this->limits.maxBudget, budget + this->limits.budgetPerRequest);
    };
    deposit(this->classBudgets.try_emplace(callerClass, this->limits.initialBudget).first->second);
    deposit(this->upstreamBudgets.try_emplace(upstream, this->limits.initialBudget).first->second);
}

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt, TimePoint now)
{
    const Duration delay = this->randomDelay(attempt.attempts);
    if (const auto refusal = this->findRefusal(attempt, delay, now)) {
        this->countRefusal(*refusal);
        return *refusal;
    }
    this->classBudgets.at(attempt.callerClass) -= 1;
    this->upstreamBudgets.at(attempt.nextUpstream) -= 1;
    this->countRetry(attempt.reason);
    return RetryAfterDelay{delay};
}

void RetryPolicy::retainUpstreams(const std::vector<UpstreamId> &known)
{
    std::erase_if(this->upstreamBudgets, [&](const auto &entry) {
        return std::find(known.begin(), known.end(), entry.first) == known.end();
    });
}

std::optional<RetryRefusal> RetryPolicy::findRefusal(const FailedAttempt &attempt, Duration delay,
                                                     TimePoint now)
{
    if (attempt.isAnswerBegun)
        return RetryRefusal::AnswerBegun;
    if (!attempt.isIdempotent && !isKnownNotRun(attempt.reason))
        return RetryRefusal::NotIdempotent;
    if (attempt.attempts >= this->limits.maxAttempts)
        return RetryRefusal::TooManyAttempts;
    if (now + delay + attempt.expectedService > attempt.deadline)
        return RetryRefusal::DeadlineTooClose;
    const double initial = this->limits.initialBudget;
    if (this->classBudgets.try_emplace(attempt.callerClass, initial).first->second < 1)
        return RetryRefusal::ClassBudgetExhausted;
    if (this->upstreamBudgets.try_emplace(attempt.nextUpstream, initial).first->second < 1)
        return RetryRefusal::UpstreamBudgetExhausted;
    return std::nullopt;
}

Duration RetryPolicy::randomDelay(std::uint32_t attempts)
{
    Duration longestDelay = this->limits.firstDelay;
    for (std::uint32_t i = 1; i < attempts && longestDelay < this->limits.maxDelay; ++i)
        longestDelay *= 2;
    longestDelay = std::min(longestDelay, this->limits.maxDelay);
    const auto range = static_cast<std::uint64_t>(longestDelay.count()) + 1;
    return Duration(static_cast<std::int64_t>(this->random.below(range)));
}

void RetryPolicy::countRetry(FailureReason reason)
{
    const std::string label = fmt::format("reason=\"{}\"", failureReasonName(reason));
    this->metrics.counter("bamboochute_retries_total", label).add();
}

void RetryPolicy::countRefusal(RetryRefusal refusal)
{
    const std::string label = fmt::format("reason=\"{}\"", retryRefusalName(refusal));
    this->metrics.counter("bamboochute_retries_refused_total", label).add();
}

} // namespace bamboochute::admission
