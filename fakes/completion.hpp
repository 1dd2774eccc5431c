/// @file
/// @brief Completions of a fake engine: whole and streamed answers, with cancellation and
/// resumption.
#pragma once

#include "core/random.hpp"
#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <string>

namespace bamboochute::fakes {

/// @brief Answers completion requests with numbered tokens.
class CompletionRunner
{
public:
    /// @param context event loop; must outlive the runner
    /// @param state state of the engine; must outlive the runner
    CompletionRunner(upstream::asio::io_context &context, EngineState &state);

    /// @brief Answers /v1/chat/completions and /v1/completions.
    upstream::Awaitable<void> run(FakeCall &call);

    /// @brief Cancels a request; a streamed completion closes its connection after its next write.
    /// @param requestId X-Request-Id of the request; an unknown id is ignored
    void cancel(const std::string &requestId);

private:
    struct Completion
    {
        std::string id;
        std::string model;
        bool isStream = false;
        /// Number of the last token that the caller received from an earlier stream; 0 for a new
        /// request.
        std::uint32_t resumeAfter = 0;
        bool isCancelled = false;
    };

    upstream::Awaitable<void> pause(double seconds);
    upstream::Awaitable<void> runStream(FakeCall &call, Completion &completion);
    upstream::Awaitable<void> runPlain(FakeCall &call, Completion &completion);

    upstream::asio::io_context &context;
    EngineState &state;
    Random random;
    /// Running completions by request id.
    std::map<std::string, Completion *> activeById;
};

} // namespace bamboochute::fakes
