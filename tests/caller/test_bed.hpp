/// @file
/// @brief A server with stand-in upstreams in one process, and a blocking client.
#pragma once

#include "caller/server.hpp"
#include "fakes/engine.hpp"
#include "fakes/http_server.hpp"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace bamboochute::test {

/// @brief An event loop on a thread of its own.
class LoopThread
{
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    upstream::asio::io_context context;

    /// @brief Runs a function on the loop's thread and waits for it.
    void run(const std::function<void()> &function);

private:
    std::thread thread;
};

/// @brief Cold starts and claims that the test decides.
class FakeControl
{
public:
    void demand(caller::Ticket ticket, const caller::ColdStartDemand &demand,
                const caller::ColdStartCallback &answered);
    void withdraw(caller::Ticket ticket);
    void claim(caller::Ticket ticket, const admission::ClaimRequest &request,
               const caller::ClaimCallback &decided);
    void abandon(caller::Ticket ticket);
    void settle(caller::Ticket ticket, admission::Settlement settlement);

    std::mutex mutex;
    std::function<void(const caller::ColdStartDemand &, const caller::ColdStartCallback &)>
            onDemand;
    std::size_t demands = 0;
    std::size_t withdrawn = 0;
    bool isOut = false;
    std::map<std::string, admission::OperationState> records;
    std::map<std::string, std::string> fingerprints;
    std::map<caller::Ticket, std::string> tickets;
};

/// @brief One answer as the client read it.
struct ClientAnswer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the answer came to its end by Content-Length or the final chunk.
    bool isWhole = false;
};

/// @brief A blocking connection to the server.
class Client
{
public:
    explicit Client(const Endpoint &endpoint);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// @brief Sends bytes as they are.
    void send(std::string_view bytes);

    /// @brief Reads one answer, or what came of it before the connection ended.
    ClientAnswer read();

    /// @brief Reads until some text has come.
    std::string readUntil(std::string_view text);

    /// @brief Sends a request with a JSON body and reads the answer.
    ClientAnswer call(std::string_view method, std::string_view path, std::string_view body = {},
                      std::string_view headers = {});

    void close();

private:
    bool fill();

    int descriptor = -1;
    std::string buffer;
};

/// @brief The text of a request with a body.
std::string requestText(std::string_view method, std::string_view path, std::string_view body,
                        std::string_view headers = {});

/// @brief A chat request's body.
std::string chatBody(std::string_view model, bool isStream = false);

/// @brief Deployment "desk" with the models "small" and "cold", the adapter "desk-tone" on "small",
/// engines and services.
class TestBed
{
public:
    explicit TestBed(caller::ServerLimits limits = {});
    ~TestBed();
    TestBed(const TestBed &) = delete;
    TestBed &operator=(const TestBed &) = delete;

    /// @brief Adds an engine that has "small" and its adapter loaded.
    fakes::FakeEngine &addEngine(fakes::EngineSettings settings = {}, std::uint32_t slots = 32);

    /// @brief Adds a service at an endpoint to the pool "booking".
    void addService(const Endpoint &endpoint);

    /// @brief Publishes the configuration with all upstreams.
    void publish();

    Configuration configuration;
    RoutingTable routing;
    Metrics metrics;
    FakeControl control;
    LoopThread loop;
    std::unique_ptr<caller::Server> server;
    Endpoint endpoint;

private:
    std::vector<std::unique_ptr<fakes::FakeEngine>> engines;
};

} // namespace bamboochute::test
