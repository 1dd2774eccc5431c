#include "admin/admin_server.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// How long input is read and discarded after the last response, before the connection is closed.
constexpr std::chrono::seconds lingerTimeout{2};
constexpr std::size_t discardBufferBytes = 64 << 10;
/// Most refused connections at a time that get a response; further ones are closed at once.
constexpr std::size_t maxRefusedConnections = 32;

Error readError(const beast::error_code &failure, const AdminServerLimits &limits)
{
    if (failure == http::error::header_limit)
        return Error(ErrorKind::HeaderTooLarge,
                     fmt::format("the header is longer than {} bytes", limits.maxHeaderBytes));
    if (failure == http::error::body_limit)
        return Error(ErrorKind::BodyTooLarge,
                     fmt::format("the body is longer than {} bytes", limits.maxBodyBytes));
    return Error(ErrorKind::MalformedRequest, "the request is not valid HTTP");
}

/// Whether the connection is lost, so that no response can be sent.
bool isConnectionLost(const beast::error_code &failure)
{
    return failure == http::error::end_of_stream || failure == http::error::partial_message
           || failure == asio::error::connection_reset || failure == asio::error::operation_aborted
           || failure == asio::error::eof;
}

} // namespace

/// Accepts connections and tracks the open ones.
class AdminServer::Listener : public std::enable_shared_from_this<AdminServer::Listener>
{
public:
    class Session;

    Listener(asio::io_context &context, AdminHandler handler, InboundBudget &inbound,
             AdminServerLimits limits)
        : acceptor(context)
        , handler(std::move(handler))
        , inbound(inbound)
        , limits(limits)
    {}

    Result<Endpoint> listen(const Endpoint &endpoint);
    void close();
    void removeSession(Session *session) { this->sessions.erase(session); }

    tcp::acceptor acceptor;
    AdminHandler handler;
    InboundBudget &inbound;
    AdminServerLimits limits;
    bool isClosing = false;
    /// Refused connections that are still open.
    std::size_t refusedCount = 0;

private:
    void accept();
    void startSession(tcp::socket socket);

    std::set<Session *> sessions;
};

/// One connection: reads requests one after another and sends the responses.
class AdminServer::Listener::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Listener> listener)
        : stream(std::move(socket))
        , readTimer(this->stream.get_executor())
        , listener(std::move(listener))
    {}

    ~Session()
    {
        this->listener->refusedCount -= this->isRefused ? 1 : 0;
        this->listener->removeSession(this);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Takes a place among the connections, unless all are taken by requests in progress.
    bool takePlace()
    {
        beast::error_code ignored;
        this->peer = this->stream.socket().remote_endpoint(ignored).address().to_string();
        this->place.emplace(this->listener->inbound.connections(ListenerKind::Status), this->peer,
                            this->makeCloser());
        return this->place->take(SteadyClock().now());
    }

    void readHeader()
    {
        this->memory.emplace(this->listener->inbound.requests(), MemoryUse::Arriving);
        this->isBusy = false;
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(this->limits().maxHeaderBytes));
        this->parser->body_limit(this->limits().maxBodyBytes);
        this->stream.expires_never();
        this->startReadTimer(this->limits().headerTimeout, "header");
        http::async_read_header(
                this->stream, this->buffer, *this->parser,
                [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                    self->onHeader(failure);
                });
    }

    void refuseConnection()
    {
        this->isRefused = true;
        ++this->listener->refusedCount;
        this->parser.emplace();
        this->respond(errorResponse(Error(ErrorKind::QueueFull,
                                          fmt::format("the administration port already has {} "
                                                      "connections",
                                                      this->limits().maxConnections))),
                      false);
    }

    /// Closes the connection unless a request is in progress.
    void closeIfIdle()
    {
        if (!this->isBusy)
            this->stream.cancel();
    }

private:
    const AdminServerLimits &limits() const { return this->listener->limits; }

    /// Makes a function that closes the connection, whose place or memory another one needs.
    /// Posted, it would run behind the connections that are accepted meanwhile.
    std::function<void()> makeCloser()
    {
        return [weak = this->weak_from_this(), executor = this->stream.get_executor()] {
            asio::dispatch(executor, [weak] {
                if (const auto self = weak.lock())
                    self->closeAtOnce();
            });
        };
    }

    void closeAtOnce()
    {
        this->stream.close();
        this->place->confirmClosed();
    }

    /// Makes room for the body; of a chunked one, for the largest.
    bool reserveBody()
    {
        if (this->parser->is_done())
            return true;
        const auto length = this->parser->content_length();
        const std::size_t bytes = std::min<std::uint64_t>(
                length.value_or(this->limits().maxBodyBytes), this->limits().maxBodyBytes);
        this->memory->allowEviction(this->peer, this->makeCloser());
        return this->memory->resize(bytes, SteadyClock().now());
    }

    /// Keeps what the request holds until it is answered.
    /// @return false if it was given up, so that the connection is being closed
    bool holdRequest()
    {
        this->memory->setUse(MemoryUse::Admitted);
        return this->place->hold() && !this->memory->isEvicted();
    }

    /// Uses a timer of its own, because Beast's timeout closes the connection before an error
    /// response can be sent.
    void startReadTimer(std::chrono::milliseconds timeout, const char *what)
    {
        this->isReading = true;
        this->readTimer.expires_after(timeout);
        this->readTimer.async_wait(
                [self = this->shared_from_this(), timeout, what](beast::error_code failure) {
                    if (!failure)
                        self->onReadTimeout(timeout, what);
                });
    }

    void onReadTimeout(std::chrono::milliseconds timeout, const char *what)
    {
        const bool isStale
                = !this->isReading || this->readTimer.expiry() > std::chrono::steady_clock::now();
        if (isStale)
            return;
        this->isTimedOut = true;
        const bool isIdle = this->buffer.size() == 0 && !this->parser->got_some();
        if (isIdle) {
            this->stream.cancel();
            return;
        }
        this->respond(errorResponse(Error(ErrorKind::SlowSender,
                                          fmt::format("the {} did not arrive within {} ms", what,
                                                      timeout.count()))),
                      false);
    }

    /// Returns false when the read timed out, so that an error response is being sent or was sent.
    bool endRead()
    {
        this->isReading = false;
        this->readTimer.cancel();
        if (this->isTimedOut && this->isFinalResponseSent)
            this->discardUnreadInput();
        return !this->isTimedOut;
    }

    void onHeader(beast::error_code failure)
    {
        if (!this->endRead() || isConnectionLost(failure))
            return;
        if (failure) {
            this->respond(errorResponse(readError(failure, this->limits())), false);
            return;
        }
        this->isBusy = true;
        const auto &header = this->parser->get();
        const auto text = [](auto view) { return std::string(view.data(), view.size()); };
        this->request = AdminRequest{text(header.method_string()), text(header.target()),
                                     text(header[http::field::authorization]), ""};
        const Result<void> admitted = this->listener->handler.admit(this->request);
        if (!admitted) {
            this->respond(errorResponse(admitted.error()), false);
            return;
        }
        if (!this->reserveBody()) {
            this->respond(
                    errorResponse(Error(ErrorKind::MemoryExhausted,
                                        "there is too little memory for the body at present")),
                    false);
            return;
        }
        if (beast::iequals(header[http::field::expect], "100-continue"))
            this->sendContinue();
        else
            this->readBody();
    }

    void sendContinue()
    {
        this->interim.emplace(http::status::continue_, 11);
        http::async_write(
                this->stream, *this->interim,
                [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                    if (!failure)
                        self->readBody();
                });
    }

    void readBody()
    {
        this->startReadTimer(this->limits().bodyTimeout, "body");
        http::async_read(this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                             self->onBody(failure);
                         });
    }

    void onBody(beast::error_code failure)
    {
        if (!this->endRead() || isConnectionLost(failure))
            return;
        if (failure) {
            this->respond(errorResponse(readError(failure, this->limits())), false);
            return;
        }
        if (!this->holdRequest())
            return;
        this->request.body = std::move(this->parser->get().body());
        const bool keepAlive = this->parser->keep_alive();
        this->listener->handler.handle(this->request, [self = this->shared_from_this(),
                                                       keepAlive](AdminResponse response) {
            self->respond(std::move(response), keepAlive);
        });
    }

    void respond(AdminResponse answer, bool keepAlive)
    {
        this->response = {};
        this->response.version(11);
        this->response.result(static_cast<unsigned>(answer.status));
        this->response.set(http::field::content_type, answer.contentType);
        this->response.set(http::field::cache_control, "no-store");
        if (answer.retryAfter)
            this->response.set(http::field::retry_after,
                               std::to_string(answer.retryAfter->count()));
        this->response.keep_alive(keepAlive && !this->listener->isClosing);
        this->response.body() = std::move(answer.body);
        this->response.prepare_payload();
        // A client that does not read its response must not keep the place.
        if (this->isBusy)
            this->place->release(SteadyClock().now());
        this->stream.expires_after(this->limits().writeTimeout);
        http::async_write(
                this->stream, this->response,
                [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                    self->onWritten(failure);
                });
    }

    void onWritten(beast::error_code failure)
    {
        // Assigning an empty string would keep the memory of the body.
        std::string().swap(this->request.body);
        if (!failure && this->response.keep_alive()) {
            this->readHeader();
            return;
        }
        beast::error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        this->stream.expires_after(lingerTimeout);
        this->isFinalResponseSent = true;
        if (this->isReading)
            this->stream.cancel();
        else
            this->discardUnreadInput();
    }

    /// Reads and discards input for up to lingerTimeout: closing a socket with unread bytes resets
    /// the connection, and the client could lose the response.
    void discardUnreadInput()
    {
        this->buffer.clear();
        this->stream.async_read_some(
                this->buffer.prepare(discardBufferBytes),
                [self = this->shared_from_this()](beast::error_code failure, std::size_t) {
                    if (!failure)
                        self->discardUnreadInput();
                });
    }

    beast::tcp_stream stream;
    asio::steady_timer readTimer;
    std::shared_ptr<Listener> listener;
    /// Address of the peer.
    std::string peer;
    std::optional<ConnectionPlace> place;
    /// Body of the request.
    std::optional<MemoryBudget::Holding> memory;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::empty_body>> interim;
    http::response<http::string_body> response;
    AdminRequest request;
    bool isBusy = false;
    bool isRefused = false;
    bool isReading = false;
    bool isTimedOut = false;
    bool isFinalResponseSent = false;
};

Result<Endpoint> AdminServer::Listener::listen(const Endpoint &endpoint)
{
    beast::error_code failure;
    const auto makeListenError = [&](const char *what) {
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("administration server can't listen on {}:{}: {}: {}",
                                 endpoint.address, endpoint.port, what, failure.message()));
    };
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
        return makeListenError("not an IP address");
    const tcp::endpoint local(address, endpoint.port);
    this->acceptor.open(local.protocol(), failure);
    if (!failure)
        this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    if (!failure)
        this->inbound.boundKernelBuffers(this->acceptor.native_handle());
    if (!failure)
        this->acceptor.bind(local, failure);
    if (!failure)
        this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return makeListenError("bind or listen failed");
    this->accept();
    const tcp::endpoint bound = this->acceptor.local_endpoint();
    return Endpoint{bound.address().to_string(), bound.port()};
}

void AdminServer::Listener::accept()
{
    this->acceptor.async_accept(
            [self = this->shared_from_this()](beast::error_code failure, tcp::socket socket) {
                if (self->isClosing || failure == asio::error::operation_aborted)
                    return;
                if (!failure)
                    self->startSession(std::move(socket));
                self->accept();
            });
}

void AdminServer::Listener::startSession(tcp::socket socket)
{
    const auto session = std::make_shared<Session>(std::move(socket), this->shared_from_this());
    const bool isFull
            = this->sessions.size() >= this->limits.maxConnections || !session->takePlace();
    if (isFull && this->refusedCount >= maxRefusedConnections)
        return;
    this->sessions.insert(session.get());
    if (isFull)
        session->refuseConnection();
    else
        session->readHeader();
}

void AdminServer::Listener::close()
{
    this->isClosing = true;
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (Session *session : this->sessions)
        session->closeIfIdle();
}

AdminServer::AdminServer(asio::io_context &context, AdminHandler handler, InboundBudget &inbound,
                         AdminServerLimits limits)
    : listener(std::make_shared<Listener>(context, std::move(handler), inbound, limits))
{}

AdminServer::~AdminServer()
{
    this->close();
}

Result<Endpoint> AdminServer::listen(const Endpoint &endpoint)
{
    return this->listener->listen(endpoint);
}

void AdminServer::close()
{
    this->listener->close();
}

} // namespace bamboochute::admin
