/// @file
/// @brief A gateway on a thread of its own, upstreams that follow a script, and a blocking client.
#pragma once

#include "gateway/gateway.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bamboochute::test {

/// @brief What an upstream does with one connection, after it has read a request.
struct Script
{
    /// Bytes that it sends; "{id}" stands for the request's identifier.
    std::string answer;
    /// Ends the connection by a reset instead of in order.
    bool isReset = false;
    /// Neither answers nor closes until the peer leaves.
    bool isSilent = false;
};

/// @brief A TCP server on a free port that answers each connection by the next script.
class ScriptedUpstream
{
public:
    explicit ScriptedUpstream(std::vector<Script> scripts);
    ~ScriptedUpstream();

    Endpoint endpoint() const;

    /// @brief Requests received so far, head and body.
    std::vector<std::string> requests() const;

    /// @brief Connections whose peer left before the answer.
    int abandonedConnections() const { return this->abandonedCount; }

private:
    void serve();

    struct Sockets;
    std::unique_ptr<Sockets> sockets;
    std::vector<Script> scripts;
    mutable std::mutex mutex;
    std::vector<std::string> received;
    std::atomic<int> abandonedCount{0};
    std::thread thread;
};

/// @brief The gateway with one service of plain upstreams below /plain/, /once/ and /stream/.
class RelayFixture
{
public:
    /// @param upstreams servers of the service, tried in the order that the gateway chooses
    explicit RelayFixture(std::vector<ScriptedUpstream *> upstreams);
    ~RelayFixture();

    /// @brief Sends bytes on a new connection and reads until the gateway closes or is silent.
    std::string call(const std::string &request) const;

    /// @brief Sends a request and leaves after a while without reading the answer.
    void callAndDisconnect(const std::string &request, Duration after) const;

    Metrics metrics;

private:
    boost::asio::io_context loop;
    std::unique_ptr<gateway::Gateway> gateway;
    Endpoint listen;
    std::thread thread;
};

/// @brief A request with an identifier and Connection: close.
std::string request(const std::string &path, const std::string &body = {},
                    const std::string &headers = {});

/// @brief An answer that is whole.
std::string answer(int status, const std::string &body, const std::string &headers = {});

} // namespace bamboochute::test
