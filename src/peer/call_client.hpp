/// @file
/// @brief Calls other instances: JSON-RPC in authenticated frames over TCP.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"
#include "peer/call_messages.hpp"
#include "peer/call_server.hpp"
#include "peer/key_ring.hpp"

#include <functional>
#include <memory>
#include <string>

namespace bamboochute::peer {

/// Maximum number of endpoints that a client keeps a connection to.
constexpr std::size_t maxClientConnections = 1024;
/// Idle time after which a connection is closed.
constexpr Duration idleConnectionTimeout = std::chrono::seconds(60);
/// Delay between a failed connection attempt and the next one.
constexpr Duration reconnectDelay = std::chrono::milliseconds(200);

/// @brief Event counts of a client since its start.
struct CallClientCounts
{
    std::uint64_t calls = 0;
    /// Established TCP connections.
    std::uint64_t connections = 0;
    std::uint64_t timedOut = 0;
    /// Calls whose connection ended before the request was sent.
    std::uint64_t notSent = 0;
    /// Calls whose connection ended after the request was sent.
    std::uint64_t connectionLost = 0;
    /// Connections that ended because a frame failed authentication.
    std::uint64_t unauthenticated = 0;
    /// Calls rejected because of the limit on connections or on calls in flight.
    std::uint64_t rejectedAtLimit = 0;
    auto operator<=>(const CallClientCounts &) const = default;
};

/// @brief Asynchronous client on the control thread's io_context; not thread-safe, used on that
/// thread only.
///
/// Keeps one connection per endpoint; calls on a connection are multiplexed.
class CallClient
{
public:
    /// @param context io_context of the control thread
    /// @param keys shared keys
    /// @param self identity that is sent to the servers
    CallClient(boost::asio::io_context &context, KeyRing keys, CallingInstance self);

    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// @brief Sends a request to an instance.
    /// @param to call endpoint (TCP) of the instance
    /// @param request message to send
    /// @param timeout limit on the whole call, connection setup included
    /// @param done called exactly once, never within this function, with the answer, the error
    ///        that the remote handler returned, MalformedRequest when the instance does not know
    ///        the method, or one of these: QueueFull at the limit on connections or calls in
    ///        flight; PeerUnreachable on a time-out or a lost connection; PeerUnauthenticated when
    ///        no shared key matches. Their field is "sent" when the request may have reached the
    ///        instance, otherwise "not_sent".
    template<CallRequest Request>
    void call(const Endpoint &to, const Request &request, Duration timeout,
              std::function<void(Result<typename Request::Response>)> done)
    {
        using Response = typename Request::Response;
        this->callEncoded(to, Request::method, encodeMessage(request), timeout,
                          [done = std::move(done)](const Result<std::string> &encoded) {
                              if (encoded)
                                  done(decodeResult<Response>(encoded.value()));
                              else
                                  done(encoded.error());
                          });
    }

    /// @brief Closes all connections; each pending call ends with PeerUnreachable.
    void close();

    /// @brief Replaces the keys for new connections; existing connections keep theirs.
    void replaceKeys(KeyRing keys);

    CallClientCounts counts() const;

private:
    struct State;
    using EncodedDone = std::function<void(Result<std::string>)>;

    void callEncoded(const Endpoint &to, const char *method, const std::string &params,
                     Duration timeout, EncodedDone done);

    std::shared_ptr<State> state;
};

} // namespace bamboochute::peer
