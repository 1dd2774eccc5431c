#include "fakes/booking_service.hpp"
#include "test_bed.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using test::Client;
using test::ClientAnswer;
using test::TestBed;

namespace {

std::string codeOf(const ClientAnswer &answer)
{
    return nlohmann::json::parse(answer.body).at("error").at("code").get<std::string>();
}

/// A test bed with one booking service.
struct BookingBed : TestBed
{
    explicit BookingBed(const fakes::BookingSettings &settings = {})
    {
        this->loop.run([&] {
            this->service
                    = std::make_unique<fakes::FakeBookingService>(this->loop.context, settings);
            this->serviceEndpoint = this->service->listen({"127.0.0.1", 0}).value();
        });
        this->addService(this->serviceEndpoint);
        this->publish();
    }
    ~BookingBed()
    {
        this->server->stop();
        this->loop.run([this] { this->service->close(); });
    }

    std::uint64_t runs(const std::string &key)
    {
        std::uint64_t count = 0;
        this->loop.run([&] {
            const auto &runsByKey = this->service->runs();
            count = runsByKey.contains(key) ? runsByKey.at(key) : 0;
        });
        return count;
    }

    ClientAnswer book(std::string_view key, std::string_view body = "{}")
    {
        Client client(this->endpoint);
        const std::string header = "idempotency-key: " + std::string(key) + "\r\n";
        return client.call("POST", "/reservations/book", body, header);
    }

    std::unique_ptr<fakes::FakeBookingService> service;
    Endpoint serviceEndpoint;
};

} // namespace

TEST_CASE("requests below a path prefix are routed to its service")
{
    BookingBed bed;
    Client client(bed.endpoint);
    CHECK(client.call("GET", "/reservations/status?room=1").status == 200);
    CHECK(client.call("GET", "/reservationsX").status == 404);

    SUBCASE("an error answer of the service is passed on unchanged")
    {
        const ClientAnswer answer = client.call("GET", "/reservations/none");
        CHECK(answer.status == 404);
        CHECK(answer.body == R"({"error":"unknown path"})");
    }
}

TEST_CASE("a request with an operation key runs at most once")
{
    BookingBed bed;
    const ClientAnswer first = bed.book("key-1");
    CHECK(first.status == 201);
    CHECK(first.headers.contains("operation-key-expires-in"));
    CHECK_FALSE(first.headers.contains("operation-key-replayed"));

    SUBCASE("a repeated request gets the first answer")
    {
        const ClientAnswer repeat = bed.book("key-1");
        CHECK(repeat.status == 201);
        CHECK(repeat.body == first.body);
        CHECK(repeat.headers.at("content-type") == "application/json");
        CHECK(repeat.headers.at("operation-key-replayed") == "true");
        CHECK(bed.runs("key-1") == 1);
    }

    SUBCASE("another body with the same key is refused")
    {
        const ClientAnswer other = bed.book("key-1", R"({"room":2})");
        CHECK(other.status == 422);
        CHECK(codeOf(other) == "operation_key_reused");
        CHECK(bed.runs("key-1") == 1);
    }
}

TEST_CASE("a non-idempotent request whose answer is lost is not run again")
{
    fakes::BookingSettings settings;

    SUBCASE("the service closes the connection without an answer")
    {
        settings.dropAnswerShare = 1;
    }

    SUBCASE("the service dies in the middle of the answer")
    {
        settings.truncateAnswerShare = 1;
    }

    BookingBed bed(settings);
    const ClientAnswer answer = bed.book("key-2");
    CHECK(answer.status == 502);
    CHECK(answer.headers.at("x-bamboochute-run-state") == "may-have-run");
    const ClientAnswer repeat = bed.book("key-2");
    CHECK(codeOf(repeat) == "operation_outcome_unknown");
    CHECK(bed.runs("key-2") == 1);

    // A request without a key is not retried either.
    Client client(bed.endpoint);
    CHECK(client.call("POST", "/reservations/book", "{}").status == 502);
    CHECK(bed.runs("") == 1);
}

TEST_CASE("a request whose refusal reports not-run has not run")
{
    BookingBed bed;

    SUBCASE("the key-value service is unavailable")
    {
        bed.control.isUnavailable = true;
        const ClientAnswer answer = bed.book("key-3");
        CHECK(answer.status == 503);
        CHECK(codeOf(answer) == "claim_unavailable");
        CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
        CHECK(answer.headers.contains("retry-after"));
    }

    SUBCASE("the service does not listen")
    {
        bed.loop.run([&] { bed.service->close(); });
        const ClientAnswer answer = bed.book("key-3");
        CHECK(answer.status == 503);
        CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
        const std::lock_guard lock(bed.control.mutex);
        REQUIRE(bed.control.records.size() == 1);
        CHECK(std::holds_alternative<admission::Released>(bed.control.records.begin()->second));
    }

    SUBCASE("the pool has no service")
    {
        bed.routing.upstreams.clear();
        bed.publish();
        const ClientAnswer answer = bed.book("key-3");
        CHECK(answer.status == 503);
        CHECK(codeOf(answer) == "upstream_unavailable");
    }

    CHECK(bed.runs("key-3") == 0);
}

TEST_CASE(
        "the caller's credential and hop-by-hop headers are not forwarded to a service, others are")
{
    TestBed bed;
    std::string seen;
    fakes::FakeHttpServer service(bed.loop.context,
                                  [&seen](fakes::FakeCall &call) -> upstream::Awaitable<void> {
                                      const auto &headers = call.request.headers();
                                      for (std::size_t i = 0; i < headers.size(); ++i)
                                          seen += std::string(headers[i].name) + "="
                                                  + std::string(headers[i].value) + "\n";
                                      co_await call.writer.write(fakes::jsonAnswer(200, "{}"));
                                  });
    Endpoint at;
    bed.loop.run([&] { at = service.listen({"127.0.0.1", 0}).value(); });
    bed.addService(at);
    bed.publish();
    Client client(bed.endpoint);
    CHECK(client.call("GET", "/reservations/x", "",
                      "Authorization: Bearer officer-secret\r\nX-Guest: ana\r\nTE: trailers\r\n")
                  .status
          == 200);
    bed.server->stop();
    bed.loop.run([&] { service.close(); });
    CHECK(seen.find("X-Guest=ana") != std::string::npos);
    CHECK(seen.find("officer-secret") == std::string::npos);
    CHECK(seen.find("TE=") == std::string::npos);
}
