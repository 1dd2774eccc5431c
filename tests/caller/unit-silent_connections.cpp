#include "platform/adapter/silent_server.hpp"
#include "test_bed.hpp"

#include <doctest/doctest.h>

#include <list>

using namespace bamboochute;
using test::Client;
using test::TestBed;

namespace {

constexpr int clients = 8;

/// A test bed with one service that keeps its connections.
struct SilentServiceBed : TestBed
{
    SilentServiceBed()
    {
        this->loop.run([this] {
            this->service = std::make_unique<adapter::SilentServer>(
                    this->loop.context, [this](const std::string &) {
                        return this->service->connections < this->neededConnections ? std::string()
                                                                                    : "done";
                    });
        });
        this->addService(this->service->endpoint());
        this->publish();
    }
    ~SilentServiceBed()
    {
        this->server->stop();
        this->loop.run([this] { this->service.reset(); });
    }

    int neededConnections = clients;
    std::unique_ptr<adapter::SilentServer> service;
};

} // namespace

// Guards against callers' requests that take one silent connection after the other out of the pool,
// each to its deadline.
TEST_CASE("to upstreams, kept connections: one request at most of each thread finds them silent")
{
    SilentServiceBed bed;
    std::list<Client> open;
    const std::string request = "GET /reservations/status HTTP/1.1\r\nHost: x\r\n"
                                "x-request-deadline-ms: 250\r\n\r\n";
    const std::string firstRequest
            = "GET /reservations/status HTTP/1.1\r\nHost: x\r\nx-request-deadline-ms: 5000\r\n\r\n";
    for (int i = 0; i < clients; ++i)
        open.emplace_back(bed.endpoint).send(firstRequest);
    for (Client &client : open)
        REQUIRE(client.read().status == 200);
    bed.loop.run([&bed] { bed.service->silence(); });
    int timeouts = 0;
    for (Client &client : open) {
        client.send(request);
        const int status = client.read().status;
        CAPTURE(status);
        timeouts += status == 504 ? 1 : 0;
    }
    CHECK(timeouts >= 1);
    CHECK(timeouts <= 2);
}
