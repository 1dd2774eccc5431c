/// @file
/// @brief Answers calls of other instances: JSON-RPC in authenticated frames over TCP.
#pragma once

#include "core/error.hpp"
#include "core/inbound_budget.hpp"
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

/// Maximum size of one frame, in bytes.
constexpr std::size_t maxFrameBytes = std::size_t{256} * 1024;
/// Maximum number of unanswered calls on one connection.
constexpr std::size_t maxCallsInFlight = 256;
/// Time after which a connection that has not identified itself is closed.
constexpr Duration handshakeTimeout = std::chrono::seconds(5);

/// @brief Identity of the calling instance, as stated on the authenticated connection.
struct CallingInstance
{
    InstanceId instance;
    Incarnation incarnation;
    auto operator<=>(const CallingInstance &) const = default;
};

/// @brief Event counts of a server since its start.
struct CallServerCounts
{
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    /// Connections closed because a frame failed authentication or the handshake timed out.
    std::uint64_t unauthenticated = 0;
    /// Connections closed because of a malformed frame.
    std::uint64_t malformed = 0;
    /// Connections closed because of a frame above maxFrameBytes.
    std::uint64_t oversized = 0;
    /// Connections and calls rejected because of a limit.
    std::uint64_t rejectedAtLimit = 0;
    auto operator<=>(const CallServerCounts &) const = default;
};

/// @brief Call server on the control thread's io_context; not thread-safe, used on that thread
/// only.
class CallServer
{
public:
    /// Answers one call; may be called after the handler has returned, and only the first use
    /// counts.
    template<typename Response>
    using Reply = std::function<void(Result<Response>)>;

    /// Handles the calls of one method.
    template<CallRequest Request>
    using Handler = std::function<void(const CallingInstance &callingInstance, Request request,
                                       Reply<typename Request::Response> reply)>;

    /// @brief Opens a listening socket.
    /// @param context io_context of the control thread
    /// @param listen address and port; with port 0 the system assigns a free port
    /// @param keys shared keys
    /// @param inbound bounds of what peers make this process hold; must outlive the server. While
    /// all places are taken, a new connection takes that of one that has not identified itself
    /// @return the server, or SettingInvalid when the address is invalid or can't be bound
    static Result<std::unique_ptr<CallServer>> open(boost::asio::io_context &context,
                                                    const Endpoint &listen, KeyRing keys,
                                                    InboundBudget &inbound);

    ~CallServer();
    CallServer(const CallServer &) = delete;
    CallServer &operator=(const CallServer &) = delete;

    /// @brief Registers the handler of one method; must be called before start().
    template<CallRequest Request>
    void handle(Handler<Request> handler)
    {
        using Response = typename Request::Response;
        this->handleEncoded(Request::method,
                            [handler = std::move(handler)](const CallingInstance &callingInstance,
                                                           std::string_view encoded,
                                                           const EncodedReply &reply) {
                                Result<Request> request = decodeMessage<Request>(encoded);
                                if (!request) {
                                    reply(encodeResult<Response>(request.error()));
                                    return;
                                }
                                handler(callingInstance, std::move(request).value(),
                                        [reply](Result<Response> response) {
                                            reply(encodeResult<Response>(response));
                                        });
                            });
    }

    /// @brief Starts accepting connections.
    void start();

    /// @brief Closes all connections and the listening socket.
    void close();

    /// @brief Replaces the keys for new connections; existing connections keep theirs.
    void replaceKeys(KeyRing keys);

    /// @brief Address and port that the server listens on.
    Endpoint localEndpoint() const;

    CallServerCounts counts() const;

private:
    using EncodedReply = std::function<void(const std::string &result)>;
    using EncodedHandler = std::function<void(const CallingInstance &callingInstance,
                                              std::string_view request, const EncodedReply &reply)>;
    struct State;

    explicit CallServer(std::shared_ptr<State> state);
    void handleEncoded(const char *method, EncodedHandler handler);

    std::shared_ptr<State> state;
};

} // namespace bamboochute::peer
