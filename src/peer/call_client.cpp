#include "peer/call_client.hpp"

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
using Steady = std::chrono::steady_clock;

std::string describe(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

/// A call that was not answered yet.
struct Pending
{
    explicit Pending(boost::asio::io_context &context)
        : timer(context)
    {}

    std::function<void(Result<std::string>)> done;
    boost::asio::steady_timer timer;
    /// Payload of the request until the connection is ready; empty once it was sent.
    std::string unsent;
    bool isSent = false;
    Steady::time_point sentAt{};
};

/// Connection to one endpoint, from its setup to its end.
struct Link
{
    explicit Link(boost::asio::io_context &context)
        : socket(context)
    {}

    Endpoint to;
    Tcp::socket socket;
    std::shared_ptr<FramedConnection> connection;
    std::map<std::uint64_t, std::unique_ptr<Pending>> pending;
    bool isReady = false;
    bool isClosed = false;
    Steady::time_point lastUsed{};
    /// When its last frame arrived.
    Steady::time_point lastHeard{};
    /// It fell silent and gets no further calls; it is closed after the last one on it.
    bool isSilent = false;
};

using LinkPointer = std::shared_ptr<Link>;

} // namespace

struct CallClient::State : std::enable_shared_from_this<CallClient::State>
{
    State(boost::asio::io_context &context, KeyRing keys, CallingInstance self)
        : context(context)
        , keys(std::move(keys))
        , self(std::move(self))
    {}

    void call(const Endpoint &to, const char *method, const std::string &params, Duration timeout,
              EncodedDone done)
    {
        ++this->totals.calls;
        this->closeIdleLinks();
        const LinkPointer link = this->findOrOpenLink(to);
        if (!link || link->pending.size() >= maxCallsInFlight) {
            ++this->totals.rejectedAtLimit;
            boost::asio::post(this->context, [done = std::move(done), to] {
                done(Error(
                        ErrorKind::QueueFull,
                        fmt::format(
                                "call to {} rejected: too many calls in flight or open connections",
                                describe(to)),
                        "not_sent"));
            });
            return;
        }
        link->lastUsed = Steady::now();
        const std::uint64_t number = this->nextCallNumber++;
        auto pending = std::make_unique<Pending>(this->context);
        pending->done = std::move(done);
        const std::string envelope = this->protocol.makeRequest(method);
        pending->unsent = encodeCallPayload(CallPayload{number, envelope, params});
        pending->timer.expires_after(timeout);
        pending->timer.async_wait(
                [state = this->shared_from_this(), link, number](const ErrorCode &code) {
                    if (!code)
                        state->timeOut(link, number);
                });
        link->pending.emplace(number, std::move(pending));
        if (link->isReady)
            this->sendUnsent(link);
    }

    LinkPointer findOrOpenLink(const Endpoint &to)
    {
        const auto known = this->links.find(to);
        if (known != this->links.end())
            return known->second;
        if (this->links.size() + this->silentLinks.size() >= maxClientConnections)
            return nullptr;
        auto link = std::make_shared<Link>(this->context);
        link->to = to;
        this->links.emplace(to, link);
        this->connect(link);
        return link;
    }

    void connect(const LinkPointer &link)
    {
        ErrorCode code;
        const auto address = boost::asio::ip::make_address(link->to.address, code);
        if (code) {
            boost::asio::post(this->context, [state = this->shared_from_this(), link] {
                state->closeLink(link, ConnectionEnd::Closed);
            });
            return;
        }
        link->socket.async_connect(
                Tcp::endpoint(address, link->to.port),
                [state = this->shared_from_this(), link](const ErrorCode &failure) {
                    if (link->isClosed)
                        return;
                    if (failure)
                        return state->closeLink(link, ConnectionEnd::Closed);
                    state->startHandshake(link);
                });
    }

    void startHandshake(const LinkPointer &link)
    {
        ++this->totals.connections;
        link->connection = std::make_shared<FramedConnection>(std::move(link->socket), this->keys,
                                                              ConnectionSide::Client);
        link->connection->start([] {},
                                [state = this->shared_from_this(), link](std::string_view payload) {
                                    state->handleFrame(link, payload);
                                },
                                [state = this->shared_from_this(), link](ConnectionEnd reason) {
                                    state->closeLink(link, reason);
                                });
    }

    void handleFrame(const LinkPointer &link, std::string_view payload)
    {
        link->lastHeard = Steady::now();
        if (!link->isReady) {
            // The server's first frame proves that it knows the key.
            link->isReady = true;
            link->connection->send(
                    encodeMessage(Pong{this->self.instance, this->self.incarnation}));
            this->sendUnsent(link);
            return;
        }
        const std::optional<CallPayload> answer = decodeCallPayload(payload);
        if (!answer)
            return this->closeLink(link, ConnectionEnd::Malformed);
        const auto pending = link->pending.find(answer->number);
        // The call of a late answer has already timed out.
        if (pending == link->pending.end())
            return;
        const EncodedDone done = std::move(pending->second->done);
        link->pending.erase(pending);
        if (link->isSilent && link->pending.empty())
            boost::asio::post(this->context, [state = this->shared_from_this(), link] {
                state->closeLink(link, ConnectionEnd::Closed);
            });
        std::string error;
        if (this->protocol.parseAnswer(std::string(answer->envelope), error))
            done(std::string(answer->body));
        else
            done(Error(ErrorKind::MalformedRequest,
                       fmt::format("{} rejected the call with a protocol error: {}",
                                   describe(link->to), error)));
    }

    void sendUnsent(const LinkPointer &link)
    {
        for (auto &[number, pending] : link->pending) {
            if (pending->isSent || link->isClosed)
                continue;
            pending->isSent = true;
            pending->sentAt = Steady::now();
            link->connection->send(pending->unsent);
            pending->unsent.clear();
        }
    }

    void timeOut(const LinkPointer &link, std::uint64_t number)
    {
        const auto pending = link->pending.find(number);
        if (pending == link->pending.end())
            return;
        ++this->totals.timedOut;
        const bool wasSent = pending->second->isSent;
        const bool isSilent = wasSent && link->lastHeard <= pending->second->sentAt;
        const EncodedDone done = std::move(pending->second->done);
        link->pending.erase(pending);
        // A later call opens a new connection.
        if (isSilent)
            this->retire(link);
        // A host that never answers leaves the connection half open.
        if ((!wasSent || link->isSilent) && link->pending.empty())
            this->closeLink(link, ConnectionEnd::Closed);
        done(Error(
                ErrorKind::PeerUnreachable,
                fmt::format("{} did not answer the call before its time-out", describe(link->to)),
                wasSent ? "sent" : "not_sent"));
    }

    /// Keeps a link that fell silent only for the calls that wait on it.
    void retire(const LinkPointer &link)
    {
        const auto known = this->links.find(link->to);
        if (known == this->links.end() || known->second != link)
            return;
        link->isSilent = true;
        this->links.erase(known);
        this->silentLinks.insert(link);
    }

    void closeLink(const LinkPointer &link, ConnectionEnd reason)
    {
        if (link->isClosed)
            return;
        link->isClosed = true;
        ErrorCode ignored;
        link->socket.close(ignored);
        if (link->connection)
            link->connection->close();
        const auto known = this->links.find(link->to);
        if (known != this->links.end() && known->second == link)
            this->links.erase(known);
        this->silentLinks.erase(link);
        const auto pending = std::move(link->pending);
        link->pending.clear();
        const bool isUnauthenticated = reason == ConnectionEnd::Unauthenticated;
        this->totals.unauthenticated += isUnauthenticated ? 1 : 0;
        for (const auto &[number, call] : pending) {
            call->timer.cancel();
            ++(call->isSent ? this->totals.connectionLost : this->totals.notSent);
            const ErrorKind kind = isUnauthenticated ? ErrorKind::PeerUnauthenticated
                                                     : ErrorKind::PeerUnreachable;
            const char *failureText = isUnauthenticated
                                              ? "failed authentication: no matching shared key"
                                              : "can't be reached or has closed the connection";
            call->done(Error(kind, fmt::format("{} {}", describe(link->to), failureText),
                             call->isSent ? "sent" : "not_sent"));
        }
    }

    void closeIdleLinks()
    {
        const Steady::time_point now = Steady::now();
        if (now < this->nextSweep)
            return;
        this->nextSweep = now + idleConnectionTimeout / 2;
        std::vector<LinkPointer> idle;
        for (const auto &[endpoint, link] : this->links) {
            if (link->pending.empty() && now - link->lastUsed >= idleConnectionTimeout)
                idle.push_back(link);
        }
        for (const LinkPointer &link : idle)
            this->closeLink(link, ConnectionEnd::Closed);
    }

    void close()
    {
        const std::map<Endpoint, LinkPointer> all = this->links;
        for (const auto &[endpoint, link] : all)
            this->closeLink(link, ConnectionEnd::Closed);
        const std::set<LinkPointer> silent = this->silentLinks;
        for (const LinkPointer &link : silent)
            this->closeLink(link, ConnectionEnd::Closed);
    }

    boost::asio::io_context &context;
    KeyRing keys;
    CallingInstance self;
    JsonRpcClient protocol;
    std::map<Endpoint, LinkPointer> links;
    std::set<LinkPointer> silentLinks;
    std::uint64_t nextCallNumber = 1;
    Steady::time_point nextSweep{};
    CallClientCounts totals;
};

CallClient::CallClient(boost::asio::io_context &context, KeyRing keys, CallingInstance self)
    : state(std::make_shared<State>(context, std::move(keys), std::move(self)))
{}

CallClient::~CallClient()
{
    this->close();
}

void CallClient::callEncoded(const Endpoint &to, const char *method, const std::string &params,
                             Duration timeout, EncodedDone done)
{
    this->state->call(to, method, params, timeout, std::move(done));
}

void CallClient::close()
{
    this->state->close();
}

void CallClient::replaceKeys(KeyRing keys)
{
    this->state->keys = std::move(keys);
}

CallClientCounts CallClient::counts() const
{
    return this->state->totals;
}

} // namespace bamboochute::peer
