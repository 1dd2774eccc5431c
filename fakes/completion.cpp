#include "fakes/completion.hpp"

#include "fakes/pause.hpp"
#include "upstream/dialect.hpp"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;

constexpr int statusNotFound = 404;
constexpr int statusError = 500;
constexpr int statusBadRequest = 400;

std::string formatTokenEvent(const std::string &id, const std::string &model, std::uint32_t number)
{
    return fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
                       "\"created\":0,\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":"
                       "{{\"content\":\" t{}\"}},\"finish_reason\":null}}]}}\n\n",
                       number, id, model, number);
}

std::uint32_t parseNumber(std::string_view text)
{
    std::uint32_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

CompletionRunner::CompletionRunner(asio::io_context &context, EngineState &state)
    : context(context)
    , state(state)
    , random(state.settings().seed)
{}

void CompletionRunner::cancel(const std::string &requestId)
{
    const auto found = this->activeById.find(requestId);
    if (found == this->activeById.end())
        return;
    found->second->isCancelled = true;
    ++this->state.stats.cancelled;
}

Awaitable<void> CompletionRunner::pause(double seconds)
{
    co_await pauseFor(this->context,
                      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

Awaitable<void> CompletionRunner::run(FakeCall &call)
{
    ++this->state.stats.requests;
    const auto body = nlohmann::json::parse(call.request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        co_await call.writer.write(jsonAnswer(statusBadRequest, R"({"error":"malformed"})"));
        co_return;
    }
    Completion completion;
    completion.id = std::string(call.request.headers().find("x-request-id"));
    completion.model = body["model"].get<std::string>();
    completion.isStream = body.value("stream", false);
    completion.resumeAfter = parseNumber(call.request.headers().find(upstream::resumeHeader));
    if (!this->state.serves(completion.model)) {
        co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"not loaded"})"));
        co_return;
    }
    if (this->random.chance(this->state.settings().failShare)) {
        ++this->state.stats.failed;
        co_await call.writer.write(jsonAnswer(statusError, R"({"error":"failed"})"));
        co_return;
    }
    if (completion.resumeAfter > 0)
        ++this->state.stats.resumed;
    ++this->state.running;
    if (!completion.id.empty())
        this->activeById[completion.id] = &completion;
    if (completion.isStream)
        co_await this->runStream(call, completion);
    else
        co_await this->runPlain(call, completion);
    if (!completion.id.empty())
        this->activeById.erase(completion.id);
    --this->state.running;
}

Awaitable<void> CompletionRunner::runPlain(FakeCall &call, Completion &completion)
{
    const EngineSettings &settings = this->state.settings();
    if (settings.tokensPerSecond > 0)
        co_await this->pause(settings.tokensPerAnswer / settings.tokensPerSecond);
    this->state.stats.tokens += settings.tokensPerAnswer;
    std::string text;
    for (std::uint32_t i = 1; i <= settings.tokensPerAnswer; ++i)
        text += fmt::format(" t{}", i);
    co_await call.writer.write(jsonAnswer(
            200, fmt::format("{{\"id\":\"{}\",\"object\":\"chat.completion\",\"created\":0,"
                             "\"model\":\"{}\",\"choices\":[{{\"index\":0,\"message\":{{\"role\":"
                             "\"assistant\",\"content\":\"{}\"}},\"finish_reason\":\"stop\"}}],"
                             "\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{},"
                             "\"total_tokens\":{}}}}}",
                             completion.id, completion.model, text, settings.tokensPerAnswer,
                             settings.tokensPerAnswer + 1)));
}

Awaitable<void> CompletionRunner::runStream(FakeCall &call, Completion &completion)
{
    const EngineSettings &settings = this->state.settings();
    call.writer.beginStream({});
    std::uint32_t producedTokens = 0;
    std::uint32_t unsentTokens = 0;
    std::string events;
    for (std::uint32_t number = completion.resumeAfter + 1; number <= settings.tokensPerAnswer;
         ++number) {
        events += formatTokenEvent(completion.id, completion.model, number);
        ++producedTokens;
        ++unsentTokens;
        const bool isBreakDue
                = settings.breakAfterTokens > 0 && producedTokens >= settings.breakAfterTokens;
        if (unsentTokens < settings.tokensPerWrite && number != settings.tokensPerAnswer
            && !isBreakDue)
            continue;
        const std::array<std::string_view, 1> eventViews{events};
        const auto status = co_await call.writer.writeChunk(eventViews);
        this->state.stats.tokens += unsentTokens;
        unsentTokens = 0;
        events.clear();
        const bool isCallerGone = status != upstream::StreamStatus::Ok;
        if (isCallerGone && !completion.isCancelled)
            ++this->state.stats.cancelled;
        if (isBreakDue || completion.isCancelled || isCallerGone) {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        }
        if (settings.tokensPerSecond > 0)
            co_await this->pause(settings.tokensPerWrite / settings.tokensPerSecond);
    }
    const std::array<std::string_view, 1> doneEvent{"data: [DONE]\n\n"};
    co_await call.writer.writeChunk(doneEvent);
    co_await call.writer.endStream();
}

} // namespace bamboochute::fakes
