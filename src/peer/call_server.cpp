#include "peer/call_server.hpp"

#include "core/log.hpp"
#include "peer/call_payload.hpp"
#include "peer/framed_connection.hpp"
#include "peer/json_rpc.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace bamboochute::peer {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Delay before accepting is retried after a failure, such as a lack of file descriptors.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);

Error listenError(const Endpoint &listen, const ErrorCode &code)
{
    return Error(ErrorKind::SettingInvalid,
                 fmt::format("cannot listen on {}:{} (TCP): {}", listen.address, listen.port,
                             code.message()),
                 "peer-listen");
}

/// Connection of a calling instance.
struct Session
{
    explicit Session(boost::asio::io_context &context)
        : handshakeTimer(context)
    {}

    std::shared_ptr<FramedConnection> connection;
    std::unique_ptr<ConnectionPlace> place;
    boost::asio::steady_timer handshakeTimer;
    CallingInstance callingInstance;
    bool isIdentified = false;
    std::size_t inFlight = 0;
};

using SessionPointer = std::shared_ptr<Session>;

} // namespace

struct CallServer::State : std::enable_shared_from_this<CallServer::State>
{
    State(boost::asio::io_context &context, KeyRing keys, InboundBudget &inbound)
        : context(context)
        , inbound(inbound)
        , acceptor(context)
        , retryTimer(context)
        , keys(std::move(keys))
    {}

    void accept()
    {
        this->acceptor.async_accept(
                [self = this->shared_from_this()](const ErrorCode &code, Tcp::socket socket) {
                    if (!self->acceptor.is_open())
                        return;
                    if (code)
                        return self->retryAcceptLater();
                    self->openSession(std::move(socket));
                    self->accept();
                });
    }

    void retryAcceptLater()
    {
        this->retryTimer.expires_after(acceptRetryDelay);
        this->retryTimer.async_wait([self = this->shared_from_this()](const ErrorCode &code) {
            if (!code && self->acceptor.is_open())
                self->accept();
        });
    }

    void openSession(Tcp::socket socket)
    {
        ErrorCode ignored;
        const std::string peer = socket.remote_endpoint(ignored).address().to_string();
        auto session = std::make_shared<Session>(this->context);
        session->place = std::make_unique<ConnectionPlace>(
                this->inbound.connections(ListenerKind::Instances), peer,
                [weakSelf = this->weak_from_this(), weakSession = std::weak_ptr(session)] {
                    endUnidentified(weakSelf, weakSession);
                });
        if (!session->place->take(SteadyClock().now())) {
            ++this->totals.rejectedAtLimit;
            return;
        }
        ++this->totals.connections;
        session->connection = std::make_shared<FramedConnection>(std::move(socket), this->keys,
                                                                 ConnectionSide::Server);
        session->connection->countFrames(this->inbound.requests());
        this->sessions.insert(session);
        session->handshakeTimer.expires_after(handshakeTimeout);
        session->handshakeTimer.async_wait(
                [self = this->shared_from_this(), session](const ErrorCode &code) {
                    if (!code && !session->isIdentified)
                        self->endSession(session, ConnectionEnd::Unauthenticated);
                });
        session->connection->start(
                // The empty frame proves to the client that this server knows the key.
                [session] { session->connection->send({}); },
                [self = this->shared_from_this(), session](std::string_view payload) {
                    self->handleFrame(session, payload);
                },
                [self = this->shared_from_this(), session](ConnectionEnd reason) {
                    self->endSession(session, reason);
                });
    }

    /// Ends a session that has not identified itself, and whose place another one needs.
    static void endUnidentified(const std::weak_ptr<State> &weakSelf,
                                const std::weak_ptr<Session> &weakSession)
    {
        const std::shared_ptr<State> self = weakSelf.lock();
        if (!self)
            return;
        boost::asio::post(self->context, [self, weakSession] {
            const SessionPointer session = weakSession.lock();
            if (session)
                self->endSession(session, ConnectionEnd::Closed);
        });
    }

    void endSession(const SessionPointer &session, ConnectionEnd reason)
    {
        if (reason == ConnectionEnd::Unauthenticated)
            ++this->totals.unauthenticated;
        else if (reason == ConnectionEnd::Malformed)
            ++this->totals.malformed;
        else if (reason == ConnectionEnd::Oversized)
            ++this->totals.oversized;
        session->handshakeTimer.cancel();
        session->connection->close();
        this->sessions.erase(session);
    }

    void handleFrame(const SessionPointer &session, std::string_view payload)
    {
        if (!session->isIdentified) {
            const Result<Pong> identity = decodeMessage<Pong>(payload);
            if (!identity)
                return this->endSession(session, ConnectionEnd::Malformed);
            session->callingInstance
                    = CallingInstance{identity.value().instance, identity.value().incarnation};
            session->isIdentified = true;
            session->place->hold();
            session->handshakeTimer.cancel();
            return;
        }
        const std::optional<CallPayload> call = decodeCallPayload(payload);
        if (!call)
            return this->endSession(session, ConnectionEnd::Malformed);
        this->handleCall(session, *call);
    }

    void handleCall(const SessionPointer &session, const CallPayload &call)
    {
        ++this->totals.calls;
        this->invokedMethod.clear();
        const std::string envelope = this->protocol->handle(std::string(call.envelope));
        const auto handler = this->handlers.find(this->invokedMethod);
        if (handler == this->handlers.end()) {
            session->connection->send(encodeCallPayload(CallPayload{call.number, envelope, {}}));
            return;
        }
        const EncodedReply reply = makeReply(session, call.number, envelope);
        if (session->inFlight >= maxCallsInFlight) {
            ++this->totals.rejectedAtLimit;
            reply(encodeResult<Pong>(
                    Error(ErrorKind::QueueFull,
                          "call rejected: too many calls in flight on the connection")));
            return;
        }
        ++session->inFlight;
        handler->second(session->callingInstance, call.body,
                        [session, reply, isDone = false](const std::string &result) mutable {
                            if (isDone)
                                return;
                            isDone = true;
                            --session->inFlight;
                            reply(result);
                        });
    }

    static EncodedReply makeReply(const SessionPointer &session, std::uint64_t number,
                                  const std::string &envelope)
    {
        return [session, number, envelope](const std::string &result) {
            std::string payload = encodeCallPayload(CallPayload{number, envelope, result});
            if (payload.size() + 1 + tagBytes > maxFrameBytes) {
                const Error tooLarge(ErrorKind::UpstreamOversized,
                                     fmt::format("the answer to a call has {} bytes; at most {} "
                                                 "are allowed",
                                                 payload.size(), maxFrameBytes));
                payload = encodeCallPayload(
                        CallPayload{number, envelope, encodeResult<Pong>(tooLarge)});
            }
            session->connection->send(payload);
        };
    }

    boost::asio::io_context &context;
    InboundBudget &inbound;
    Tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    KeyRing keys;
    std::map<std::string, EncodedHandler> handlers;
    std::unique_ptr<JsonRpcServer> protocol;
    std::set<SessionPointer> sessions;
    /// Method that the JSON-RPC library found in the request being read; empty when invalid.
    std::string invokedMethod;
    CallServerCounts totals;
};

CallServer::CallServer(std::shared_ptr<State> state)
    : state(std::move(state))
{}

CallServer::~CallServer()
{
    this->close();
}

Result<std::unique_ptr<CallServer>> CallServer::open(boost::asio::io_context &context,
                                                     const Endpoint &listen, KeyRing keys,
                                                     InboundBudget &inbound)
{
    ErrorCode code;
    const auto address = boost::asio::ip::make_address(listen.address, code);
    if (code)
        return listenError(listen, code);
    const Tcp::endpoint endpoint(address, listen.port);
    auto state = std::make_shared<State>(context, std::move(keys), inbound);
    Tcp::acceptor &acceptor = state->acceptor;
    if (acceptor.open(endpoint.protocol(), code); code)
        return listenError(listen, code);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
    inbound.boundKernelBuffers(acceptor.native_handle());
    if (acceptor.bind(endpoint, code); code)
        return listenError(listen, code);
    if (acceptor.listen(boost::asio::socket_base::max_listen_connections, code); code)
        return listenError(listen, code);
    return std::unique_ptr<CallServer>(new CallServer(std::move(state)));
}

void CallServer::handleEncoded(const char *method, EncodedHandler handler)
{
    this->state->handlers[method] = std::move(handler);
}

void CallServer::start()
{
    std::vector<std::string> methods;
    for (const auto &[method, handler] : this->state->handlers)
        methods.push_back(method);
    State *state = this->state.get();
    state->protocol = std::make_unique<JsonRpcServer>(
            methods, [state](const std::string &method) { state->invokedMethod = method; });
    state->accept();
}

void CallServer::close()
{
    ErrorCode ignored;
    this->state->acceptor.close(ignored);
    this->state->retryTimer.cancel();
    const std::set<SessionPointer> sessions = std::move(this->state->sessions);
    this->state->sessions.clear();
    for (const SessionPointer &session : sessions) {
        session->handshakeTimer.cancel();
        session->connection->close();
    }
}

void CallServer::replaceKeys(KeyRing keys)
{
    this->state->keys = std::move(keys);
}

Endpoint CallServer::localEndpoint() const
{
    ErrorCode ignored;
    const Tcp::endpoint endpoint = this->state->acceptor.local_endpoint(ignored);
    return Endpoint{endpoint.address().to_string(), endpoint.port()};
}

CallServerCounts CallServer::counts() const
{
    return this->state->totals;
}

} // namespace bamboochute::peer
