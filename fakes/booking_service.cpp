#include "fakes/booking_service.hpp"

#include "fakes/pause.hpp"

#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::fakes {

namespace {

using upstream::Awaitable;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNotFound = 404;
constexpr int statusError = 500;

} // namespace

struct FakeBookingService::Parts
{
    Parts(upstream::asio::io_context &context, BookingSettings settings)
        : context(context)
        , settings(settings)
        , random(settings.seed)
        , server(context, [this](FakeCall &call) { return this->handle(call); })
    {}

    Awaitable<void> handle(FakeCall &call)
    {
        const std::string_view path = call.request.path();
        if (path == "/reservations/book" && call.request.method() == "POST")
            co_await this->book(call);
        else if (path == "/reservations/status")
            co_await this->status(call);
        else if (path == "/fake/stats")
            co_await call.writer.write(jsonAnswer(statusOk, this->statsBody()));
        else
            co_await call.writer.write(jsonAnswer(statusNotFound, R"({"error":"unknown path"})"));
    }

    Awaitable<void> book(FakeCall &call)
    {
        if (this->random.chance(this->settings.failShare)) {
            co_await call.writer.write(jsonAnswer(statusError, R"({"error":"failed"})"));
            co_return;
        }
        ++this->total;
        ++this->byKey[std::string(call.request.headers().find("idempotency-key"))];
        const std::string body
                = fmt::format(R"({{"booking":{},"room":"room-{}"}})", this->total, this->total);
        co_await pauseFor(this->context, this->settings.delay);
        if (this->random.chance(this->settings.dropAnswerShare)) {
            call.writer.closeAfterAnswer();
            call.stream.close();
            co_return;
        }
        if (this->random.chance(this->settings.truncateAnswerShare)) {
            co_await this->dieHalfway(call, body);
            co_return;
        }
        co_await call.writer.write(jsonAnswer(statusCreated, body));
    }

    Awaitable<void> dieHalfway(FakeCall &call, const std::string &body)
    {
        const std::string half
                = fmt::format("HTTP/1.1 201 Created\r\nContent-Type: application/json\r\n"
                              "Content-Length: {}\r\n\r\n{}",
                              body.size(), body.substr(0, body.size() / 2));
        const std::array<upstream::asio::const_buffer, 1> buffers{
                upstream::asio::buffer(half.data(), half.size())};
        co_await call.stream.write(buffers);
        call.writer.closeAfterAnswer();
        call.stream.close();
    }

    Awaitable<void> status(FakeCall &call)
    {
        co_await pauseFor(this->context, this->settings.delay);
        co_await call.writer.write(
                jsonAnswer(statusOk, fmt::format(R"({{"bookings":{}}})", this->total)));
    }

    std::string statsBody() const
    {
        nlohmann::ordered_json body{{"runs", this->total}};
        body["by_key"] = this->byKey;
        return body.dump();
    }

    upstream::asio::io_context &context;
    BookingSettings settings;
    Random random;
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> byKey;
    FakeHttpServer server;
};

FakeBookingService::FakeBookingService(upstream::asio::io_context &context,
                                       BookingSettings settings)
    : parts(std::make_shared<Parts>(context, settings))
{}

FakeBookingService::~FakeBookingService() = default;

Result<Endpoint> FakeBookingService::listen(const Endpoint &endpoint)
{
    return this->parts->server.listen(endpoint);
}

void FakeBookingService::close()
{
    this->parts->server.close();
}

void FakeBookingService::configure(const BookingSettings &settings)
{
    this->parts->settings = settings;
}

const std::map<std::string, std::uint64_t> &FakeBookingService::runs() const
{
    return this->parts->byKey;
}

} // namespace bamboochute::fakes
