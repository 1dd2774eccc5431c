#include "caller/traffic_thread.hpp"

#include "caller/exchange.hpp"
#include "caller/session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

namespace bamboochute::caller {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;
using upstream::error_code;

/// How often the queue's deadlines are looked at.
constexpr Duration tickInterval = std::chrono::milliseconds(5);
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);
/// Time in which requests that are ended by a stop write their errors.
constexpr Duration maxStopTime = std::chrono::seconds(1);
constexpr int maxBacklog = 1024;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

TrafficThread::TrafficThread(ServerContext &server, bool isTicking)
    : server(server)
    , context(std::make_shared<asio::io_context>(1))
    , thread(server, this->context)
    , guard(this->context->get_executor())
    , acceptor(*this->context)
    , timer(*this->context)
    , isTicking(isTicking)
{}

Result<Endpoint> TrafficThread::listen(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error)
        this->acceptor.open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
    if (!error)
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        this->acceptor.set_option(ReusePort(true), error);
    if (!error)
        this->acceptor.bind(asio::ip::tcp::endpoint(address, endpoint.port), error);
    if (!error)
        this->acceptor.listen(maxBacklog, error);
    if (error)
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("{}:{} can't be listened on: {}", endpoint.address, endpoint.port,
                                 error.message()),
                     "--listen");
    return Endpoint{endpoint.address, this->acceptor.local_endpoint().port()};
}

void TrafficThread::run()
{
    asio::co_spawn(*this->context, this->accept(), asio::detached);
    if (this->isTicking)
        asio::co_spawn(*this->context, this->tick(), asio::detached);
    this->context->run();
}

void TrafficThread::stop()
{
    asio::post(*this->context, [this] {
        this->stopAccepting();
        asio::co_spawn(*this->context, this->endAll(), asio::detached);
    });
}

void TrafficThread::stopAccepting()
{
    this->isStopping = true;
    error_code ignored;
    this->acceptor.close(ignored);
    this->timer.cancel();
}

/// Ends every request with its error, then closes the connections.
Awaitable<void> TrafficThread::endAll()
{
    const std::vector<Exchange *> open(this->thread.exchanges.begin(),
                                       this->thread.exchanges.end());
    for (Exchange *exchange : open)
        exchange->stop();
    const TimePoint latest = SteadyClock().now() + maxStopTime;
    while (!this->thread.exchanges.empty() && SteadyClock().now() < latest) {
        Timer pause(*this->context);
        pause.expires_after(tickInterval);
        error_code ignored;
        co_await pause.async_wait(asio::redirect_error(upstream::UseAwaitable(), ignored));
    }
    this->closeAll();
}

void TrafficThread::closeAll()
{
    this->thread.pool.shutdown();
    for (const upstream::HttpStreamPointer &stream : this->streams)
        stream->close();
    this->guard.reset();
}

Awaitable<void> TrafficThread::accept()
{
    while (!this->isStopping) {
        error_code error;
        upstream::Socket socket(*this->context);
        co_await this->acceptor.async_accept(socket,
                                             asio::redirect_error(upstream::UseAwaitable(), error));
        if (!error) {
            this->serve(std::move(socket));
            continue;
        }
        if (this->isStopping || error == asio::error::operation_aborted)
            co_return;
        Timer pause(*this->context);
        pause.expires_after(acceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(upstream::UseAwaitable(), error));
    }
}

void TrafficThread::serve(upstream::Socket socket)
{
    const ServerLimits &limits = this->server.settings.limits;
    if (this->streams.size() >= limits.maxConnections) {
        this->server.requestMetrics.refusedConnections.add();
        return;
    }
    auto stream = std::make_shared<upstream::HttpStream>(std::move(socket), this->thread.watch,
                                                         limits.maxStreamBytes);
    this->streams.insert(stream);
    this->server.requestMetrics.connections.add(1);
    asio::co_spawn(*this->context, runSession(this->thread, stream),
                   [this, stream](const std::exception_ptr &) {
                       this->streams.erase(stream);
                       this->server.requestMetrics.connections.add(-1);
                   });
}

Awaitable<void> TrafficThread::tick()
{
    while (!this->isStopping) {
        error_code error;
        this->timer.expires_after(tickInterval);
        co_await this->timer.async_wait(asio::redirect_error(upstream::UseAwaitable(), error));
        if (!error && this->server.admission->waiting() > 0)
            this->server.admission->tick();
    }
}

} // namespace bamboochute::caller
