/// @file
/// @brief Decides whether a failed attempt is repeated.
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
enum class RetryReason {
    /// No connection was made; nothing was sent.
    ConnectFailed,
    /// A kept connection was closed before anything of the request was written.
    ConnectionClosedBeforeWrite,
    /// The upstream said by its contract that it did not run the request.
    RefusedNotRun,
    /// The connection ended after something was written.
    ConnectionLost,
    /// The upstream answered with a server error.
    ServerError,
    /// No answer came in time.
    TimedOut,
    /// The answer was malformed.
    MalformedAnswer
};

constexpr std::size_t retryReasonCount = static_cast<std::size_t>(RetryReason::MalformedAnswer) + 1;

/// @brief Name of a reason, as in the label of the counter.
std::string_view retryReasonName(RetryReason reason) noexcept;

/// @brief Whether it is known that the upstream did not run the request.
bool isKnownNotRun(RetryReason reason) noexcept;

/// @brief Why a failed attempt is not repeated.
enum class RetryRefusal {
    /// The operation may have run and must not run twice.
    NotIdempotent,
    /// Part of the answer has reached the caller.
    AnswerBegun,
    TooManyAttempts,
    /// The remaining time is shorter than the answer takes.
    DeadlineTooClose,
    ClassBudgetExhausted,
    UpstreamBudgetExhausted
};

/// @brief Name of a refusal, as in the label of the counter.
std::string_view retryRefusalName(RetryRefusal refusal) noexcept;

/// @brief A failed attempt, and the upstream that would get the next one.
struct FailedAttempt
{
    RetryReason reason = RetryReason::ConnectFailed;
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

/// @brief The attempt may be repeated after a delay.
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
    /// Retries that each first attempt pays for.
    double budgetPerRequest = 0.09;
    /// Retries that can be saved up.
    double maxSaved = 50.0;
    /// Retries available before any request was made.
    double initialBudget = 5.0;
    Duration firstDelay = std::chrono::milliseconds(5);
    Duration maxDelay = std::chrono::milliseconds(500);
    auto operator<=>(const RetryLimits &) const = default;
};

/// @brief Retries by budget: each first attempt pays for a share of a retry, by caller class and by
/// the upstream that would get it.
class RetryPolicy
{
public:
    RetryPolicy(Metrics &metrics, std::uint64_t seed, RetryLimits limits = {});

    /// @brief Counts a first attempt, which pays into both budgets.
    void recordFirstAttempt(const CallerClassId &callerClass, const UpstreamId &upstream);

    /// @brief Decides on a failed attempt; a retry that is allowed is paid for.
    RetryDecision decide(const FailedAttempt &attempt, TimePoint now);

    /// @brief Forgets the budgets of upstreams that are not in the list.
    void retainUpstreams(const std::vector<UpstreamId> &known);

private:
    std::optional<RetryRefusal> refusal(const FailedAttempt &attempt, Duration delay,
                                        TimePoint now);
    Duration delayBefore(std::uint32_t attempts);
    void count(RetryReason reason);
    void count(RetryRefusal refusal);

    RetryLimits limits;
    Random random;
    Metrics &metrics;
    std::map<CallerClassId, double> classBudgets;
    std::map<UpstreamId, double> upstreamBudgets;
};

} // namespace bamboochute::admission
