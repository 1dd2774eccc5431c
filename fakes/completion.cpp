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

std::string tokenEvent(const std::string &id, const std::string &model, std::uint32_t number)
{
    return fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
                       "\"created\":0,\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":"
                       "{{\"content\":\" t{}\"}},\"finish_reason\":null}}]}}\n\n",
                       number, id, model, number);
}

std::uint32_t readNumber(std::string_view text)
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

void CompletionRunner::cancel(const std::string &request)
{
    const auto found = this->open.find(request);
    if (found == this->open.end())
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
    Work work;
    work.id = std::string(call.request.headers().find("x-request-id"));
    work.model = body["model"].get<std::string>();
    work.isStream = body.value("stream", false);
    work.resumeAfter = readNumber(call.request.headers().find(upstream::resumeHeader));
    if (!this->state.serves(work.model)) {
        co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"not loaded"})"));
        co_return;
    }
    if (this->random.chance(this->state.settings().failShare)) {
        ++this->state.stats.failed;
        co_await call.writer.write(jsonAnswer(statusError, R"({"error":"failed"})"));
        co_return;
    }
    if (work.resumeAfter > 0)
        ++this->state.stats.resumed;
    ++this->state.running;
    if (!work.id.empty())
        this->open[work.id] = &work;
    if (work.isStream)
        co_await this->runStream(call, work);
    else
        co_await this->runPlain(call, work);
    if (!work.id.empty())
        this->open.erase(work.id);
    --this->state.running;
}

Awaitable<void> CompletionRunner::runPlain(FakeCall &call, Work &work)
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
                             work.id, work.model, text, settings.tokensPerAnswer,
                             settings.tokensPerAnswer + 1)));
}

Awaitable<void> CompletionRunner::runStream(FakeCall &call, Work &work)
{
    const EngineSettings &settings = this->state.settings();
    call.writer.beginStream({});
    std::uint32_t sent = 0;
    std::uint32_t pending = 0;
    std::string events;
    for (std::uint32_t number = work.resumeAfter + 1; number <= settings.tokensPerAnswer;
         ++number) {
        events += tokenEvent(work.id, work.model, number);
        ++sent;
        ++pending;
        const bool breaks = settings.breakAfterTokens > 0 && sent >= settings.breakAfterTokens;
        if (pending < settings.tokensPerWrite && number != settings.tokensPerAnswer && !breaks)
            continue;
        const std::array<std::string_view, 1> pieces{events};
        const auto status = co_await call.writer.writeChunk(pieces);
        this->state.stats.tokens += pending;
        pending = 0;
        events.clear();
        const bool isPeerGone = status != upstream::StreamStatus::Ok;
        if (isPeerGone && !work.isCancelled)
            ++this->state.stats.cancelled;
        if (breaks || work.isCancelled || isPeerGone) {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        }
        if (settings.tokensPerSecond > 0)
            co_await this->pause(settings.tokensPerWrite / settings.tokensPerSecond);
    }
    const std::array<std::string_view, 1> last{"data: [DONE]\n\n"};
    co_await call.writer.writeChunk(last);
    co_await call.writer.endStream();
}

} // namespace bamboochute::fakes
