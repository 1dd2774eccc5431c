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

    /// @brief Sets what is to be cancelled when the caller goes; null for nothing.
    void onCallerGone(std::function<void()> cancel) { this->cancel = std::move(cancel); }

    /// @brief Writes an error, counts and logs it.
    upstream::Awaitable<void> refuse(const Error &error);

    /// @brief Counts and logs an error whose answer is written otherwise, or to nobody.
    void report(const Error &error) const;

private:
    std::function<void()> cancel;
    bool hasCallerGone = false;
};

} // namespace bamboochute::caller
