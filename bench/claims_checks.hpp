/// @file
/// @brief What must hold in a randomised run of operations with keys, checked from outside.
#pragma once

#include "admission/operation_record.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bamboochute::bench {

/// @brief What a run found; the first four must be zero.
struct ClaimsRunResult
{
    std::uint64_t runTwice = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t unexplainedUnknown = 0;
    std::uint64_t otherWrong = 0;
    std::uint64_t operations = 0;
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

    bool isRight() const
    {
        return this->runTwice + this->falseNotRun + this->unexplainedUnknown + this->otherWrong
               == 0;
    }
};

/// @brief What is known of one operation beside the instances.
struct Operation
{
    std::uint32_t runs = 0;
    std::uint32_t attempts = 0;
    /// A failure happened that may hide the outcome.
    bool isFaulted = false;
    bool hasOtherBody = false;
    /// A caller got the last word on it after all failures were over.
    bool isResolved = false;
    std::uint64_t ranBy = 0;
    std::optional<admission::OperationOutcome> outcome;
};

/// @brief Compares what callers were told with what ran at the upstreams.
class ClaimsChecks
{
public:
    explicit ClaimsChecks(std::uint64_t operations)
        : operations(operations)
    {}

    /// @brief Counts an attempt that reaches an instance.
    /// @return its number
    std::uint64_t begin(std::uint64_t operation, bool isOtherBody)
    {
        this->operations[operation].hasOtherBody |= isOtherBody;
        this->attempts.push_back({operation, isOtherBody, false, false});
        return this->attempts.size() - 1;
    }

    /// @brief All failures are over: from now on every operation must be resolved.
    void startQuiet()
    {
        this->isQuiet = true;
        for (Operation &operation : this->operations)
            operation.attempts = 0;
    }

    /// @brief Counts the operations that were never resolved.
    ClaimsRunResult finish()
    {
        for (const Operation &operation : this->operations)
            this->result.otherWrong += operation.isResolved ? 0 : 1;
        this->result.operations = this->operations.size();
        this->result.attempts = this->attempts.size();
        return this->result;
    }

    /// @brief Counts a run of an operation at its upstream.
    void ran(std::uint64_t attempt, const admission::OperationOutcome &outcome)
    {
        Operation &operation = this->operationOf(attempt);
        this->attempts[attempt].hasRun = true;
        this->result.falseNotRun += this->toldNotRun.count(attempt);
        ++operation.runs;
        operation.ranBy = attempt;
        operation.outcome = outcome;
        this->result.ran += 1;
        this->result.runTwice += operation.runs > 1 ? 1 : 0;
    }

    /// @brief A caller got the answer of its own attempt.
    void answered(std::uint64_t attempt)
    {
        this->markAnswered(attempt);
        this->resolve(attempt);
    }

    /// @brief A caller got the outcome of an earlier attempt.
    void replayed(std::uint64_t attempt, const admission::OperationOutcome &outcome)
    {
        this->markAnswered(attempt);
        this->resolve(attempt);
        ++this->result.replays;
        const Operation &operation = this->operationOf(attempt);
        const bool isSameBody = this->attempts[operation.ranBy].isOtherBody
                                == this->attempts[attempt].isOtherBody;
        this->result.otherWrong += operation.outcome == outcome && isSameBody ? 0 : 1;
    }

    /// @brief A caller got an error.
    /// @return whether it sends the operation again
    bool refused(std::uint64_t attempt, const Error &error)
    {
        this->markAnswered(attempt);
        const Operation &operation = this->operationOf(attempt);
        if (error.kind() == ErrorKind::OperationOutcomeUnknown) {
            ++this->result.unknown;
            this->result.unexplainedUnknown += operation.isFaulted ? 0 : 1;
            this->resolve(attempt);
            return false;
        }
        if (error.kind() == ErrorKind::OperationKeyReused) {
            ++this->result.conflicts;
            this->result.otherWrong += operation.hasOtherBody ? 0 : 1;
            this->resolve(attempt);
            return false;
        }
        if (error.row().runState == RunState::NotRun) {
            ++this->result.notRun;
            this->result.falseNotRun += this->attempts[attempt].hasRun ? 1 : 0;
            this->toldNotRun.insert(attempt);
        }
        this->result.inProgress += error.kind() == ErrorKind::OperationInProgress ? 1 : 0;
        return true;
    }

    Operation &operationOf(std::uint64_t attempt)
    {
        return this->operations[this->attempts[attempt].operation];
    }

    Operation &operation(std::uint64_t number) { return this->operations[number]; }
    std::uint64_t operationNumber(std::uint64_t attempt) const
    {
        return this->attempts[attempt].operation;
    }
    ClaimsRunResult &counts() { return this->result; }

private:
    struct Attempt
    {
        std::uint64_t operation = 0;
        bool isOtherBody = false;
        bool isAnswered = false;
        bool hasRun = false;
    };

    void resolve(std::uint64_t attempt)
    {
        if (this->isQuiet)
            this->operationOf(attempt).isResolved = true;
    }

    void markAnswered(std::uint64_t attempt)
    {
        Attempt &state = this->attempts[attempt];
        this->result.otherWrong += state.isAnswered ? 1 : 0;
        state.isAnswered = true;
    }

    std::vector<Operation> operations;
    std::vector<Attempt> attempts;
    std::set<std::uint64_t> toldNotRun;
    ClaimsRunResult result;
    bool isQuiet = false;
};

} // namespace bamboochute::bench
