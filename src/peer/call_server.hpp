/// @file
/// @brief Answers calls of other instances: JSON-RPC in authenticated frames over TCP.
#pragma once

#include "core/error.hpp"
#include "peer/call_messages.hpp"
#include "peer/key_ring.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace bamboochute::peer {

/// Most bytes of one frame.
constexpr std::size_t maxFrameBytes = std::size_t{256} * 1024;
/// Most connections that a server holds; further ones are closed at once.
constexpr std::size_t maxServerConnections = 1024;
/// Most calls of one connection that wait for their answer.
constexpr std::size_t maxCallsInFlight = 256;
/// Time that a connection may stay unauthenticated.
constexpr Duration handshakeTimeout = std::chrono::seconds(5);

/// @brief Who calls, as the authenticated connection says.
struct CallingInstance
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const CallingInstance &) const = default;
};

/// @brief Counts of a server since its start.
struct CallServerCounts
{
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0;
    std::uint64_t tooMany = 0;
    auto operator<=>(const CallServerCounts &) const = default;
};

/// @brief Server of calls on the control thread's io_context; used on its thread only.
class CallServer
{
public:
    /// Gives the answer to one call, now or later, once.
    template<typename Response>
    using Reply = std::function<void(Result<Response>)>;

    template<CallRequest Request>
    using Handler = std::function<void(const CallingInstance &caller, Request request,
                                       Reply<typename Request::Response> reply)>;

    /// @brief Opens a listening socket.
    /// @param context of the control thread
    /// @param listen address and port; port 0 takes a free one
    /// @param keys shared keys
    static Result<std::unique_ptr<CallServer>> open(boost::asio::io_context &context,
                                                    const Endpoint &listen, KeyRing keys);

    ~CallServer();
    CallServer(const CallServer &) = delete;
    CallServer &operator=(const CallServer &) = delete;

    /// @brief Registers the handler of one method; before start().
    template<CallRequest Request>
    void handle(Handler<Request> handler)
    {
        using Response = typename Request::Response;
        this->handleText(Request::method, [handler = std::move(handler)](
                                                  const CallingInstance &caller,
                                                  std::string_view text, const TextReply &reply) {
            Result<Request> request = decodeMessage<Request>(text);
            if (!request) {
                reply(encodeResult<Response>(request.error()));
                return;
            }
            handler(caller, std::move(request).value(), [reply](Result<Response> response) {
                reply(encodeResult<Response>(response));
            });
        });
    }

    /// @brief Starts to accept connections.
    void start();

    /// @brief Closes all connections and the listening socket.
    void close();

    /// @brief Accepts another set of keys on new connections.
    void replaceKeys(KeyRing keys);

    /// @brief Address and port that the server listens on.
    Endpoint localEndpoint() const;

    CallServerCounts counts() const;

private:
    using TextReply = std::function<void(const std::string &result)>;
    using TextHandler = std::function<void(const CallingInstance &caller, std::string_view request,
                                           const TextReply &reply)>;
    struct State;

    explicit CallServer(std::shared_ptr<State> state);
    void handleText(const char *method, TextHandler handler);

    std::shared_ptr<State> state;
};

} // namespace bamboochute::peer
