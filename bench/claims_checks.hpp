/// @file
/// @brief Checks of at-most-once execution in a randomised run of operations with operation keys.
#pragma once

#include "admission/operation_record.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bamboochute::bench {

/// @brief Violations and counts of a run; the first four count violations and must be zero.
struct ClaimsRunResult
{
    /// Executions of an operation that had already been executed.
    std::uint64_t runTwice = 0;
    /// Attempts that were executed although their caller was told that they were not.
    std::uint64_t falseNotRun = 0;
    /// Answers "outcome unknown" for operations without a failure that explains them.
    std::uint64_t unexplainedUnknown = 0;
    /// Other violations: attempts answered twice, wrong replays, false key conflicts, and
    /// operations that were never resolved.
    std::uint64_t otherWrong = 0;
    std::uint64_t operations = 0;
    /// Operations whose outcome may have been lost in a failure.
    std::uint64_t faulted = 0;
    std::uint64_t attempts = 0;
    std::uint64_t ran = 0;
    std::uint64_t replays = 0;
    std::uint64_t notRun = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t unknown = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t kills = 0;
    std::uint64_t pauses = 0;
    std::uint64_t outages = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t transactions = 0;

    bool hasNoViolations() const
    {
        return this->runTwice + this->falseNotRun + this->unexplainedUnknown + this->otherWrong
               == 0;
    }
};

/// @brief What the checks recorded of one operation, independently of the instances' records.
struct OperationHistory
{
    std::uint32_t runs = 0;
    std::uint32_t attempts = 0;
    /// A failure happened after which the outcome may be unknown.
    bool hasHiddenOutcome = false;
    bool sawDifferentBody = false;
    /// A caller got a final answer after all failures were over.
    bool isResolved = false;
    std::uint64_t lastRunAttempt = 0;
    std::optional<admission::OperationOutcome> outcome;
};

/// @brief Compares the answers that callers got with what the upstreams executed.
class ClaimsChecks
{
public:
    explicit ClaimsChecks(std::uint64_t operations)
        : operations(operations)
    {}

    /// @brief Records an attempt that reaches an instance.
    /// @param operation index of the operation
    /// @param hasDifferentBody whether its body differs from the operation's usual one
    /// @return index of the attempt
    std::uint64_t beginAttempt(std::uint64_t operation, bool hasDifferentBody)
    {
        this->operations[operation].sawDifferentBody |= hasDifferentBody;
        this->attempts.push_back({operation, hasDifferentBody, false, false});
        return this->attempts.size() - 1;
    }

    /// @brief Marks the end of all failures: from now on every operation must be resolved.
    void endFaults()
    {
        this->areFaultsOver = true;
        for (OperationHistory &operation : this->operations)
            operation.attempts = 0;
    }

    /// @brief Ends the checks; operations that were never resolved count as violations.
    /// @return all counts, with the violations
    ClaimsRunResult finish()
    {
        for (const OperationHistory &operation : this->operations) {
            this->result.otherWrong += operation.isResolved ? 0 : 1;
            this->result.faulted += operation.hasHiddenOutcome ? 1 : 0;
        }
        this->result.operations = this->operations.size();
        this->result.attempts = this->attempts.size();
        return this->result;
    }

    /// @brief Records that an upstream executed an attempt.
    void recordRun(std::uint64_t attempt, const admission::OperationOutcome &outcome)
    {
        OperationHistory &operation = this->operationOf(attempt);
        this->attempts[attempt].hasRun = true;
        this->result.falseNotRun += this->reportedNotRun.count(attempt);
        ++operation.runs;
        operation.lastRunAttempt = attempt;
        operation.outcome = outcome;
        this->result.ran += 1;
        this->result.runTwice += operation.runs > 1 ? 1 : 0;
    }

    /// @brief Records that a caller got the answer of its own attempt.
    void recordAnswer(std::uint64_t attempt)
    {
        this->markAnswered(attempt);
        this->resolve(attempt);
    }

    /// @brief Records that a caller got the stored outcome of an earlier attempt.
    void recordReplay(std::uint64_t attempt, const admission::OperationOutcome &outcome)
    {
        this->markAnswered(attempt);
        this->resolve(attempt);
        ++this->result.replays;
        const OperationHistory &operation = this->operationOf(attempt);
        const bool isSameBody = this->attempts[operation.lastRunAttempt].hasDifferentBody
                                == this->attempts[attempt].hasDifferentBody;
        this->result.otherWrong += operation.outcome == outcome && isSameBody ? 0 : 1;
    }

    /// @brief Records that a caller got an error.
    /// @return whether the caller retries the operation
    bool recordError(std::uint64_t attempt, const Error &error)
    {
        this->markAnswered(attempt);
        const OperationHistory &operation = this->operationOf(attempt);
        if (error.kind() == ErrorKind::OperationOutcomeUnknown) {
            ++this->result.unknown;
            this->result.unexplainedUnknown += operation.hasHiddenOutcome ? 0 : 1;
            this->resolve(attempt);
            return false;
        }
        if (error.kind() == ErrorKind::OperationKeyReused) {
            ++this->result.conflicts;
            this->result.otherWrong += operation.sawDifferentBody ? 0 : 1;
            this->resolve(attempt);
            return false;
        }
        if (error.row().runState == RunState::NotRun) {
            ++this->result.notRun;
            this->result.falseNotRun += this->attempts[attempt].hasRun ? 1 : 0;
            this->reportedNotRun.insert(attempt);
        }
        this->result.inProgress += error.kind() == ErrorKind::OperationInProgress ? 1 : 0;
        return true;
    }

    OperationHistory &operationOf(std::uint64_t attempt)
    {
        return this->operations[this->attempts[attempt].operation];
    }

    OperationHistory &operation(std::uint64_t number) { return this->operations[number]; }
    std::uint64_t operationNumber(std::uint64_t attempt) const
    {
        return this->attempts[attempt].operation;
    }
    ClaimsRunResult &counts() { return this->result; }

private:
    struct Attempt
    {
        std::uint64_t operation = 0;
        bool hasDifferentBody = false;
        bool isAnswered = false;
        bool hasRun = false;
    };

    void resolve(std::uint64_t attempt)
    {
        if (this->areFaultsOver)
            this->operationOf(attempt).isResolved = true;
    }

    void markAnswered(std::uint64_t attempt)
    {
        Attempt &state = this->attempts[attempt];
        this->result.otherWrong += state.isAnswered ? 1 : 0;
        state.isAnswered = true;
    }

    std::vector<OperationHistory> operations;
    std::vector<Attempt> attempts;
    std::set<std::uint64_t> reportedNotRun;
    ClaimsRunResult result;
    bool areFaultsOver = false;
};

} // namespace bamboochute::bench
