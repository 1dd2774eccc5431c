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

/// Most instances that a client keeps a connection to.
constexpr std::size_t maxClientConnections = 1024;
/// Time after which an unused connection is closed.
constexpr Duration idleConnectionTimeout = std::chrono::seconds(60);
/// Time after a failed connection until the next attempt.
constexpr Duration reconnectDelay = std::chrono::milliseconds(200);

/// @brief Counts of a client since its start.
struct CallClientCounts
{
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t notSent = 0;
    std::uint64_t broken = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t tooMany = 0;
    auto operator<=>(const CallClientCounts &) const = default;
};

/// @brief Asynchronous client on the control thread's io_context; used on its thread only.
///
/// One connection is kept for each endpoint called; calls on it do not wait for one another.
class CallClient
{
public:
    /// @param context of the control thread
    /// @param keys shared keys
    /// @param self who calls
    CallClient(boost::asio::io_context &context, KeyRing keys, CallingInstance self);

    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// @brief Calls an instance.
    /// @param to where it takes calls
    /// @param request message
    /// @param timeout bound on the whole call
    /// @param done gets the answer once, never within this function; PeerUnreachable or
    ///        PeerUnauthenticated when there is none, otherwise the error of the handler
    template<CallRequest Request>
    void call(const Endpoint &to, const Request &request, Duration timeout,
              std::function<void(Result<typename Request::Response>)> done)
    {
        using Response = typename Request::Response;
        this->callText(to, Request::method, encodeMessage(request), timeout,
                       [done = std::move(done)](const Result<std::string> &text) {
                           if (text)
                               done(decodeResult<Response>(text.value()));
                           else
                               done(text.error());
                       });
    }

    /// @brief Closes all connections; each call that waits gets PeerUnreachable.
    void close();

    /// @brief Uses another set of keys on new connections.
    void replaceKeys(KeyRing keys);

    CallClientCounts counts() const;

private:
    struct State;
    using TextDone = std::function<void(Result<std::string>)>;

    void callText(const Endpoint &to, const char *method, const std::string &params,
                  Duration timeout, TextDone done);

    std::shared_ptr<State> state;
};

} // namespace bamboochute::peer
