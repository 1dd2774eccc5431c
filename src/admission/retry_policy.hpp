/// @file
/// @brief Decides whether a failed attempt is retried.
#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboochute::admission {

/// @brief Why an attempt at an upstream failed.
enum class FailureReason {
    /// No connection was made; nothing was sent.
    ConnectFailed,
    /// A reused connection was closed before any part of the request was written.
    ConnectionClosedBeforeWrite,
    /// The upstream reported, by a rule of its contract, that it did not run the request.
    RefusedNotRun,
    /// The connection ended after part of the request was written.
    ConnectionLost,
    /// The upstream answered with a server error.
    ServerError,
    /// No answer came in time.
    TimedOut,
    /// The answer was malformed.
    MalformedAnswer
};

constexpr std::size_t failureReasonCount
        = static_cast<std::size_t>(FailureReason::MalformedAnswer) + 1;

/// @brief Name of a reason in the label of bamboochute_retries_total.
std::string_view failureReasonName(FailureReason reason) noexcept;

/// @brief Whether it is known that the upstream did not run the request.
bool isKnownNotRun(FailureReason reason) noexcept;

/// @brief Why a failed attempt is not retried.
enum class RetryRefusal {
    /// The operation may have run and must not run twice.
    NotIdempotent,
    /// Part of the answer has reached the caller.
    AnswerBegun,
    TooManyAttempts,
    /// The remaining time is shorter than the delay and the expected service time together.
    DeadlineTooClose,
    ClassBudgetExhausted,
    UpstreamBudgetExhausted
};

/// @brief Name of a refusal in the label of bamboochute_retries_refused_total.
std::string_view retryRefusalName(RetryRefusal refusal) noexcept;

/// @brief A failed attempt, and the upstream that would get the next one.
struct FailedAttempt
{
    FailureReason reason = FailureReason::ConnectFailed;
    CallerClassId callerClass;
    /// Upstream that was picked for the next attempt.
    UpstreamId nextUpstream;
    bool isIdempotent = false;
    /// Whether part of the answer has been passed on to the caller.
    bool isAnswerBegun = false;
    /// Attempts made so far, at least one.
    std::uint32_t attempts = 1;
    TimePoint deadline;
    Duration expectedService{};
    auto operator<=>(const FailedAttempt &) const = default;
};

/// @brief The attempt may be retried after a delay.
struct RetryAfterDelay
{
    Duration delay{};
    auto operator<=>(const RetryAfterDelay &) const = default;
};

using RetryDecision = std::variant<RetryAfterDelay, RetryRefusal>;

/// @brief Bounds of the retries.
struct RetryLimits
{
    std::uint32_t maxAttempts = 4;
    /// Retries that each first attempt adds to its budgets.
    double budgetPerRequest = 0.09;
    /// Largest budget, in retries.
    double maxBudget = 50.0;
    /// Budget before any request was made, in retries.
    double initialBudget = 5.0;
    /// Longest delay after the first attempt; doubles with each further attempt, up to maxDelay.
    Duration firstDelay = std::chrono::milliseconds(5);
    Duration maxDelay = std::chrono::milliseconds(500);
    auto operator<=>(const RetryLimits &) const = default;
};

/// @brief Limits retries by two budgets: of the caller class and of the upstream that would get the
/// retry. Each first attempt adds a fraction of a retry to both.
class RetryPolicy
{
public:
    RetryPolicy(Metrics &metrics, std::uint64_t seed, RetryLimits limits = {});

    /// @brief Records a first attempt, which adds to the budgets of its caller class and its
    /// upstream.
    void recordFirstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream);

    /// @brief Decides whether a failed attempt is retried; an allowed retry is taken from both
    /// budgets.
    /// @return the delay before the retry, or why there is none
    RetryDecision decide(const FailedAttempt &attempt, TimePoint now);

    /// @brief Removes the budgets of upstreams that are not in the list.
    void retainUpstreams(const std::vector<UpstreamId> &known);

private:
    std::optional<RetryRefusal> findRefusal(const FailedAttempt &attempt, Duration delay,
                                            TimePoint now);
    Duration randomDelay(std::uint32_t attempts);
    void countRetry(FailureReason reason);
    void countRefusal(RetryRefusal refusal);

    RetryLimits limits;
    Random random;
    Metrics &metrics;
    std::map<CallerClassId, double> classBudgets;
    std::map<UpstreamId, double> upstreamBudgets;
};

} // namespace bamboochute::admission
