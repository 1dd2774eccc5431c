/// @file
/// @brief A server with fake upstreams in one process, and a blocking client.
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

/// @brief An event loop that runs on its own thread.
class EventLoopThread
{
public:
    EventLoopThread();
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    upstream::asio::io_context context;

    /// @brief Runs a function on the loop's thread and waits for it.
    void run(const std::function<void()> &function);

private:
    std::thread thread;
};

/// @brief Fake of the control thread: answers cold start demands and claims as the test says.
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
    std::size_t demandCount = 0;
    std::size_t withdrawnCount = 0;
    bool isUnavailable = false;
    /// Claims are kept undecided.
    bool holdsClaims = false;
    /// A claim ends with an exception.
    bool throwsOnClaim = false;
    std::vector<caller::ClaimCallback> heldClaims;
    std::size_t abandonedCount = 0;
    std::map<std::string, admission::OperationState> records;
    std::map<std::string, std::string> fingerprints;
    std::map<caller::Ticket, std::string> tickets;
};

/// @brief An answer as the client read it.
struct ClientAnswer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the answer is complete by its Content-Length or final chunk.
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

    /// @brief Sends bytes unchanged.
    void send(std::string_view bytes);

    /// @brief Reads one answer, or as much of it as arrives before the connection ends.
    ClientAnswer read();

    /// @brief Reads until the bytes received contain a text, and returns all of them.
    std::string readUntil(std::string_view text);

    /// @brief Sends a request with a JSON body and reads the answer.
    ClientAnswer call(std::string_view method, std::string_view path, std::string_view body = {},
                      std::string_view headers = {});

    void close();

    /// @brief Closes the sending side only; answers can still be read.
    void finishSending();

private:
    bool receive();

    int descriptor = -1;
    std::string buffer;
};

/// @brief The text of a request with a body.
std::string requestText(std::string_view method, std::string_view path, std::string_view body,
                        std::string_view headers = {});

/// @brief The body of a chat request.
std::string chatBody(std::string_view model, bool isStream = false);

/// @brief A server for the deployment "desk": the models "small" and "cold", the adapter
/// "desk-tone" of "small", and the engines and services that the test adds.
class TestBed
{
public:
    /// @param limits of the server
    /// @param machine what the server may use of it
    explicit TestBed(caller::ServerLimits limits = {}, const InboundLimits &machine = {});
    ~TestBed();
    TestBed(const TestBed &) = delete;
    TestBed &operator=(const TestBed &) = delete;

    /// @brief Adds an engine that has "small" and its adapter loaded.
    /// @param slots requests that it may run at once
    fakes::FakeEngine &addEngine(fakes::EngineSettings settings = {}, std::uint32_t slots = 32);

    /// @brief Adds a service at an endpoint to the pool "booking".
    void addService(const Endpoint &endpoint);

    /// @brief Publishes the configuration and the routing table with all upstreams.
    void publish();

    Configuration configuration;
    RoutingTable routing;
    Metrics metrics;
    InboundBudget inbound;
    FakeControl control;
    EventLoopThread loop;
    std::unique_ptr<caller::Server> server;
    Endpoint endpoint;

private:
    std::vector<std::unique_ptr<fakes::FakeEngine>> engines;
};

/// @brief A test bed whose only engine is an HTTP server with a handler of the test.
class CustomEngineBed : public TestBed
{
public:
    /// @param handler of the engine "odd", which has "small" loaded
    explicit CustomEngineBed(fakes::FakeHandler handler, caller::ServerLimits limits = {});
    ~CustomEngineBed();
    CustomEngineBed(const CustomEngineBed &) = delete;
    CustomEngineBed &operator=(const CustomEngineBed &) = delete;

    fakes::FakeHttpServer engine;
};

} // namespace bamboochute::test
