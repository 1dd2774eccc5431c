#include "fakes/http_server.hpp"

#include <unordered_set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <fmt/format.h>

namespace bamboochute::fakes {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;

constexpr std::size_t bufferBytes = 64 << 10;
/// More than any test opens.
constexpr std::size_t maxConnections = 1 << 20;

} // namespace

struct FakeHttpServer::State : std::enable_shared_from_this<FakeHttpServer::State>
{
    State(asio::io_context &context, FakeHandler handler)
        : context(context)
        , deadlineWatch(context)
        , acceptor(context)
        , handler(std::move(handler))
    {}

    Awaitable<void> acceptConnections()
    {
        while (this->acceptor.is_open()) {
            upstream::error_code error;
            upstream::Socket socket(this->context);
            co_await this->acceptor.async_accept(
                    socket, asio::redirect_error(upstream::UseAwaitable(), error));
            if (error)
                continue;
            auto stream = std::make_shared<upstream::HttpStream>(std::move(socket),
                                                                 this->deadlineWatch, bufferBytes);
            this->streams.insert(stream);
            const auto self = this->shared_from_this();
            asio::co_spawn(
                    this->context, this->serveConnection(stream),
                    [self, stream](const std::exception_ptr &) { self->streams.erase(stream); });
        }
    }

    Awaitable<void> serveConnection(upstream::HttpStreamPointer stream)
    {
        caller::CallerRequest request;
        ConnectionPlace place(this->inbound.connections(ListenerKind::Callers), std::string(),
                              stream->makeCloser());
        caller::AnswerWriter writer(*stream, this->limits, place);
        place.take(SteadyClock().now());
        while (stream->isOpen()) {
            MemoryBudget::Holding memory(this->inbound.requests(), MemoryUse::Arriving);
            const caller::OptionalReadFailure failure
                    = co_await caller::readRequest(*stream, this->limits, request, {memory, place});
            if (failure)
                break;
            writer.begin(std::string(request.headers().find("x-request-id")), request.isKeepAlive);
            FakeCall call{request, writer, *stream};
            co_await this->handler(call);
            place.release(SteadyClock().now());
            if (!writer.isKeepAlive())
                break;
        }
        stream->neverExpire();
        stream->close();
    }

    asio::io_context &context;
    upstream::DeadlineWatch deadlineWatch;
    upstream::Acceptor acceptor;
    FakeHandler handler;
    caller::ServerLimits limits;
    Metrics metrics;
    InboundBudget inbound{InboundLimits{.maxCallerConnections = maxConnections}, this->metrics};
    std::unordered_set<upstream::HttpStreamPointer> streams;
};

FakeHttpServer::FakeHttpServer(asio::io_context &context, FakeHandler handler)
    : state(std::make_shared<State>(context, std::move(handler)))
{}

FakeHttpServer::~FakeHttpServer() = default;

Result<Endpoint> FakeHttpServer::listen(const Endpoint &endpoint)
{
    upstream::Acceptor &acceptor = this->state->acceptor;
    upstream::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error)
        acceptor.open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(asio::ip::tcp::endpoint(address, endpoint.port), error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("cannot listen on {}:{}: {}", endpoint.address, endpoint.port,
                                 error.message()),
                     "--listen");
    asio::co_spawn(this->state->context, this->state->acceptConnections(),
                   [self = this->state](const std::exception_ptr &) {});
    return Endpoint{endpoint.address, acceptor.local_endpoint().port()};
}

void FakeHttpServer::close()
{
    upstream::error_code ignored;
    this->state->acceptor.close(ignored);
    for (const upstream::HttpStreamPointer &stream : this->state->streams)
        stream->close();
}

caller::Answer jsonAnswer(int status, std::string body)
{
    caller::Answer answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

} // namespace bamboochute::fakes
