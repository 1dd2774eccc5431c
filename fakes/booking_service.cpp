#include "fakes/booking_service.hpp"

#include "fakes/pause.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using upstream::Awaitable;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotFound = 404;
constexpr int statusError = 500;
constexpr std::size_t maxPadding = 16 << 20;

} // namespace

struct FakeBookingService::Implementation
{
    Implementation(upstream::asio::io_context &context, BookingSettings settings)
        : context(context)
        , settings(settings)
        , random(settings.seed)
        , server(context, [this](FakeCall &call) { return this->handle(call); })
    {}

    Awaitable<void> handle(FakeCall &call)
    {
        const std::string_view path = call.request.path();
        if (path == "/reservations/book" && call.request.method() == "POST")
            co_await this->answerBooking(call);
        else if (path == "/reservations/status")
            co_await this->answerStatus(call);
        else if (path == "/fake/stats")
            co_await call.writer.write(jsonAnswer(statusOk, this->formatStats()));
        else
            co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
    }

    Awaitable<void> answerBooking(FakeCall &call)
    {
        if (this->random.chance(this->settings.failShare)) {
            co_await call.writer.write(jsonAnswer(statusError, R"({"error":"failed"})"));
            co_return;
        }
        ++this->bookingCount;
        ++this->runsByKey[std::string(call.request.headers().find("idempotency-key"))];
        const std::string body = fmt::format(R"({{"booking":{},"room":"room-{}"}})",
                                             this->bookingCount, this->bookingCount);
        co_await pauseFor(this->context, this->settings.delay);
        if (this->random.chance(this->settings.dropAnswerShare)) {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        }
        if (this->random.chance(this->settings.truncateAnswerShare)) {
            co_await this->truncateAnswer(call, body);
            co_return;
        }
        co_await call.writer.write(jsonAnswer(statusCreated, body));
    }

    Awaitable<void> truncateAnswer(FakeCall &call, const std::string &body)
    {
        const std::string truncated
                = fmt::format("HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              body.size(), body.substr(0, body.size() / 2));
        const std::array<upstream::asio::const_buffer, 1> buffers{
                upstream::asio::buffer(truncated.data(), truncated.size())};
        co_await call.stream.write(buffers);
        call.writer.closeAfterAnswer();
        call.stream.close();
    }

    /// Answers with the number of bookings; "?padding=N" adds as many spaces to the answer.
    Awaitable<void> answerStatus(FakeCall &call)
    {
        co_await pauseFor(this->context, this->settings.delay);
        constexpr std::string_view parameter = "?padding=";
        std::size_t padding = 0;
        const std::string_view target = call.request.message.target;
        if (const std::size_t begin = target.find(parameter); begin != std::string_view::npos) {
            const std::string_view digits = target.substr(begin + parameter.size());
            std::from_chars(digits.data(), digits.data() + digits.size(), padding);
        }
        std::string body = fmt::format(R"({{"bookings":{}}})", this->bookingCount);
        body.append(std::min(padding, maxPadding), ' ');
        co_await call.writer.write(jsonAnswer(statusOk, std::move(body)));
    }

    std::string formatStats() const
    {
        nlohmann::ordered_json body{{"runs", this->bookingCount}};
        body["by_key"] = this->runsByKey;
        return body.dump();
    }

    upstream::asio::io_context &context;
    BookingSettings settings;
    Random random;
    std::uint64_t bookingCount = 0;
    std::map<std::string, std::uint64_t> runsByKey;
    FakeHttpServer server;
};

FakeBookingService::FakeBookingService(upstream::asio::io_context &context,
                                       BookingSettings settings)
    : implementation(std::make_shared<Implementation>(context, settings))
{}

FakeBookingService::~FakeBookingService() = default;

Result<Endpoint> FakeBookingService::listen(const Endpoint &endpoint)
{
    return this->implementation->server.listen(endpoint);
}

void FakeBookingService::close()
{
    this->implementation->server.close();
}

void FakeBookingService::configure(const BookingSettings &settings)
{
    this->implementation->settings = settings;
}

const std::map<std::string, std::uint64_t> &FakeBookingService::runs() const
{
    return this->implementation->runsByKey;
}

} // namespace bamboochute::fakes
