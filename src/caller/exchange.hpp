/// @file
/// @brief One HTTP exchange: from the end of a request to the end of its answer.
#pragma once

#include "caller/answer.hpp"
#include "caller/caller_request.hpp"
#include "caller/thread_context.hpp"
#include "core/inbound_budget.hpp"

#include <functional>
#include <optional>

namespace bamboochute::caller {

/// @brief Request and answer writer; cancelled when the caller disconnects or the server stops.
class Exchange
{
public:
    /// @param thread that serves the connection
    /// @param stream connection to the caller
    /// @param request that was read
    /// @param writer of the answer
    Exchange(ThreadContext &thread, upstream::HttpStream &stream, const CallerRequest &request,
             AnswerWriter &writer);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    ThreadContext &thread;
    upstream::HttpStream &stream;
    const CallerRequest &request;
    AnswerWriter &writer;
    /// Snapshot that the whole request uses; null when none has been published.
    TrafficSnapshotPointer snapshot;
    /// Whether an attempt may have run the request; an error answer never reports a lower state.
    RunState runState = RunState::NotRun;

    /// @brief Whether the caller has closed its connection.
    bool isCallerGone() const noexcept { return this->hasCallerGone; }

    /// @brief Whether the caller has disconnected or the server ends all requests.
    bool isCancelled() const noexcept { return this->hasCallerGone || this->isStopped; }

    /// @brief Whether stop() was called, or the server was stopping when the request arrived.
    bool isStopping() const noexcept { return this->isStopped; }

    /// @brief The error of a cancelled request: Draining after stop(), else CallerGone.
    Error cancelReason() const;

    /// @brief Sets the function that cancels the current step when the caller disconnects or the
    /// server stops; null for none.
    void onCancel(std::function<void()> cancel);

    /// @brief Sets the function that cancels the current step only when the server stops, for an
    /// operation whose result must be recorded even if its caller disconnects.
    void onStop(std::function<void()> cancel);

    /// @brief Cancels the request and closes its connection after the answer.
    void stop();

    /// @brief Counts the body of the answer. While there is no room, waits for up to a second over
    /// all calls, and meanwhile nothing more is read from the upstream.
    /// @param bytes of the body
    /// @param deadline of the request
    /// @return false if there is still no room, or the exchange was cancelled
    upstream::Awaitable<bool> reserveAnswer(std::size_t bytes, TimePoint deadline);

    /// @brief Writes an answer. One for which much memory was reserved is given up before others
    /// while its caller does not read it.
    upstream::Awaitable<void> deliver(const Answer &answer);

    /// @brief Counts and logs an error, and writes it as the answer.
    upstream::Awaitable<void> answerError(const Error &error);

    /// @brief Counts and logs an error without writing an answer.
    void reportError(const Error &error) const;

private:
    void handleCallerGone();

    /// What the body of the answer holds.
    MemoryBudget::Holding answerMemory;
    /// Time for which the answer may still wait for memory.
    Duration roomTimeLeft = answerRoomTimeout;
    std::function<void()> cancel;
    bool ignoresCallerGone = false;
    bool hasCallerGone = false;
    bool isStopped = false;
};

} // namespace bamboochute::caller
