#include "admin/admin_client.hpp"
#include "admin/admin_server.hpp"
#include "admin/configuration_format.hpp"
#include "fake_ports.hpp"
#include "sample.hpp"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admin;

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds callTimeout{20000};
const std::string bootstrapHeader = "Bearer bootstrap credential";

/// A server that runs on its own thread.
class Fixture
{
public:
    explicit Fixture(AdminServerLimits limits = {})
        : server(this->context, makeHandler(this->api), this->inbound, limits)
        , endpoint(this->server.listen({"127.0.0.1", 0}).value())
        , thread([this]() { this->context.run(); })
    {}

    ~Fixture()
    {
        asio::post(this->context, [this]() {
            this->server.close();
            this->guard.reset();
        });
        this->thread.join();
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// Sends raw bytes and reads until the server closes the connection.
    std::string sendRaw(const std::string &bytes) const
    {
        asio::io_context own;
        asio::ip::tcp::socket socket(own);
        socket.connect({asio::ip::make_address(this->endpoint.address), this->endpoint.port});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    FakePorts ports;
    AdminApi<FakePorts> api{ports, sha256Hex("bootstrap credential")};
    Metrics metrics;
    InboundBudget inbound{InboundLimits{}, this->metrics};
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    AdminServer server;
    Endpoint endpoint;
    std::thread thread;
};

} // namespace

TEST_CASE("the administration port serves HTTP")
{
    Fixture fixture;
    const auto health = callAdmin(fixture.endpoint, {"GET", "/healthz", "", ""}, callTimeout);
    REQUIRE(health);
    CHECK(health.value().status == 200);

    SUBCASE("a configuration with 5000 adapters is accepted")
    {
        const AdminRequest request{"POST",
                                   "/admin/v1/configuration?expectedRevision=0&submissionId=large",
                                   bootstrapHeader, writeConfiguration(sampleWithAdapters(5000))};
        const auto answer = callAdmin(fixture.endpoint, request, callTimeout);
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
    }

    SUBCASE("an invalid credential is rejected before the body is read")
    {
        const AdminRequest request{"POST",
                                   "/admin/v1/configuration?expectedRevision=0&submissionId=a",
                                   "Bearer wrong", std::string(8 << 20, ' ')};
        const auto answer = callAdmin(fixture.endpoint, request, callTimeout);
        REQUIRE(answer);
        CHECK(answer.value().status == 401);
    }

    SUBCASE("input that is not HTTP gets an error response with its id")
    {
        const std::string answer = fixture.sendRaw("nonsense\r\n\r\n");
        CHECK(answer.find("400 Bad Request") != std::string::npos);
        CHECK(answer.find("BC1001") != std::string::npos);
    }

    SUBCASE("a header that is too long is rejected")
    {
        const std::string answer = fixture.sendRaw(
                "GET /healthz HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
        CHECK(answer.find("BC1006") != std::string::npos);
    }

    SUBCASE("a request with Expect: 100-continue gets 100 Continue before the response")
    {
        const std::string answer = fixture.sendRaw(
                "POST /admin/v1/configuration?expectedRevision=0&submissionId=a HTTP/1.1\r\n"
                "Authorization: Bearer bootstrap credential\r\nExpect: 100-continue\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\n{}");
        CHECK(answer.find("100 Continue") != std::string::npos);
        CHECK(answer.find("BC7001") != std::string::npos);
    }
}

TEST_CASE("the administration server enforces its limits")
{
    AdminServerLimits limits;

    SUBCASE("a header that is not complete in time gets an error response")
    {
        limits.headerTimeout = std::chrono::milliseconds(50);
        const Fixture fixture(limits);
        CHECK(fixture.sendRaw("GET /healthz HT").find("BC1007") != std::string::npos);
    }

    SUBCASE("a body that is too large is rejected")
    {
        limits.maxBodyBytes = 1000;
        const Fixture fixture(limits);
        const AdminRequest request{"POST",
                                   "/admin/v1/configuration?expectedRevision=0&submissionId=a",
                                   bootstrapHeader, std::string(5000, ' ')};
        const auto answer = callAdmin(fixture.endpoint, request, callTimeout);
        REQUIRE(answer);
        CHECK(answer.value().status == 413);
    }

    SUBCASE("connections beyond the limit get status 429")
    {
        limits.maxConnections = 0;
        const Fixture fixture(limits);
        const auto answer = callAdmin(fixture.endpoint, {"GET", "/healthz", "", ""}, callTimeout);
        REQUIRE(answer);
        CHECK(answer.value().status == 429);
    }

    SUBCASE("a call to a port without a server fails with PeerUnreachable")
    {
        const auto answer = callAdmin({"127.0.0.1", 1}, {"GET", "/healthz", "", ""}, callTimeout);
        CHECK(answer.error().kind() == ErrorKind::PeerUnreachable);
    }
}
