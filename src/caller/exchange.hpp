/// @file
/// @brief One request on its way, from its last byte to the end of its answer.
#pragma once

#include "caller/answer.hpp"
#include "caller/caller_request.hpp"
#include "caller/thread_context.hpp"

#include <functional>
#include <optional>

namespace bamboochute::caller {

/// @brief Request, answer, and whether the caller still listens.
class Exchange
{
public:
    Exchange(ThreadContext &thread, upstream::HttpStream &stream, const CallerRequest &request,
             AnswerWriter &writer);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    ThreadContext &thread;
    upstream::HttpStream &stream;
    const CallerRequest &request;
    AnswerWriter &writer;
    /// In force for the whole request.
    TrafficSnapshotPointer snapshot;
    /// What earlier attempts make possible; no answer claims less.
    RunState runState = RunState::NotRun;

    bool isCallerGone() const noexcept { return this->hasCallerGone; }

    /// @brief Whether the request is to end now: the caller has gone, or the server stops.
    bool isCancelled() const noexcept { return this->hasCallerGone || this->isStopped; }

    bool isStopping() const noexcept { return this->isStopped; }

    /// @brief Why a cancelled request ends.
    Error cancelReason() const;

    /// @brief Sets what is to be cancelled when the caller goes or the server stops; null for
    /// nothing.
    void onCancel(std::function<void()> cancel);

    /// @brief Sets what is to be cancelled only when the server stops, such as an operation that
    /// must be recorded though its caller has gone.
    void onStop(std::function<void()> cancel);

    /// @brief Ends the request with an error, because the server can't wait for it.
    void stop();

    /// @brief Writes an error, counts and logs it.
    upstream::Awaitable<void> refuse(const Error &error);

    /// @brief Counts and logs an error whose answer is written otherwise, or to nobody.
    void report(const Error &error) const;

private:
    void callerGone();

    std::function<void()> cancel;
    bool isOnlyForStop = false;
    bool hasCallerGone = false;
    bool isStopped = false;
};

} // namespace bamboochute::caller
