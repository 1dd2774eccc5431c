/// @file
/// @brief Completions of a stand-in engine: plain and streamed, cancelled and resumed.
#pragma once

#include "core/random.hpp"
#include "fakes/engine_state.hpp"
#include "fakes/http_server.hpp"

#include <map>
#include <string>

namespace bamboochute::fakes {

/// @brief Runs completion requests.
class CompletionRunner
{
public:
    CompletionRunner(upstream::asio::io_context &context, EngineState &state);

    /// @brief Answers /v1/chat/completions and /v1/completions.
    upstream::Awaitable<void> run(FakeCall &call);

    /// @brief Stops the work on a request.
    void cancel(const std::string &request);

private:
    struct Work
    {
        std::string id;
        std::string model;
        bool isStream = false;
        /// Tokens that were sent before the stream broke.
        std::uint32_t resumeAfter = 0;
        bool isCancelled = false;
    };

    upstream::Awaitable<void> pause(double seconds);
    upstream::Awaitable<void> runStream(FakeCall &call, Work &work);
    upstream::Awaitable<void> runPlain(FakeCall &call, Work &work);

    upstream::asio::io_context &context;
    EngineState &state;
    Random random;
    std::map<std::string, Work *> open;
};

} // namespace bamboochute::fakes
