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

/// Interval of the checks for waiting requests to expire or dispatch.
constexpr Duration queueCheckInterval = std::chrono::milliseconds(5);
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);
/// How long requests that a stop has ended may take to write their errors.
constexpr Duration maxStopTime = std::chrono::seconds(1);
constexpr int maxBacklog = 1024;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

TrafficThread::TrafficThread(ServerContext &server, bool checksQueues)
    : server(server)
    , ioContext(std::make_shared<asio::io_context>(1))
    , thread(server, this->ioContext)
    , workGuard(this->ioContext->get_executor())
    , acceptor(*this->ioContext)
    , queueTimer(*this->ioContext)
    , checksQueues(checksQueues)
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
        this->server.inbound.boundKernelBuffers(this->acceptor.native_handle());
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
    asio::co_spawn(*this->ioContext, this->acceptConnections(), asio::detached);
    if (this->checksQueues)
        asio::co_spawn(*this->ioContext, this->checkQueuesPeriodically(), asio::detached);
    this->ioContext->run();
}

void TrafficThread::stop()
{
    asio::post(*this->ioContext, [this] {
        this->stopAccepting();
        asio::co_spawn(*this->ioContext, this->endRequestsAndClose(), asio::detached);
    });
}

void TrafficThread::stopAccepting()
{
    this->isStopping = true;
    error_code ignored;
    this->acceptor.close(ignored);
    this->queueTimer.cancel();
}

/// Ends every request with an error, then closes all connections.
Awaitable<void> TrafficThread::endRequestsAndClose()
{
    const std::vector<Exchange *> openExchanges(this->thread.exchanges.begin(),
                                                this->thread.exchanges.end());
    for (Exchange *exchange : openExchanges)
        exchange->stop();
    const TimePoint deadline = SteadyClock().now() + maxStopTime;
    while (!this->thread.exchanges.empty() && SteadyClock().now() < deadline)
        co_await this->pauseFor(queueCheckInterval);
    // A read that has ended already is followed by the answer to its request.
    for (const upstream::HttpStreamPointer &connection : this->openConnections)
        connection->expireAt(SteadyClock().now());
    co_await this->pauseFor(2 * upstream::DeadlineWatch::tickInterval);
    this->closeConnections();
}

Awaitable<void> TrafficThread::pauseFor(Duration duration)
{
    Timer timer(*this->ioContext);
    timer.expires_after(duration);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(upstream::UseAwaitable(), ignored));
}

void TrafficThread::closeConnections()
{
    this->thread.connectionPool.shutdown();
    for (const upstream::HttpStreamPointer &connection : this->openConnections)
        connection->close();
    this->workGuard.reset();
}

Awaitable<void> TrafficThread::acceptConnections()
{
    while (!this->isStopping) {
        error_code error;
        upstream::Socket socket(*this->ioContext);
        co_await this->acceptor.async_accept(socket,
                                             asio::redirect_error(upstream::UseAwaitable(), error));
        if (!error) {
            this->serveConnection(std::move(socket));
            continue;
        }
        if (this->isStopping || error == asio::error::operation_aborted)
            co_return;
        Timer pause(*this->ioContext);
        pause.expires_after(acceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(upstream::UseAwaitable(), error));
    }
}

void TrafficThread::serveConnection(upstream::Socket socket)
{
    const ServerLimits &limits = this->server.settings.limits;
    auto connection = std::make_shared<upstream::HttpStream>(
            std::move(socket), this->thread.deadlineWatch, limits.maxStreamBytes);
    this->openConnections.insert(connection);
    this->server.requestMetrics.connections.add(1);
    asio::co_spawn(*this->ioContext, runSession(this->thread, connection),
                   [this, connection](const std::exception_ptr &) {
                       this->openConnections.erase(connection);
                       this->server.requestMetrics.connections.add(-1);
                   });
}

Awaitable<void> TrafficThread::checkQueuesPeriodically()
{
    while (!this->isStopping) {
        error_code error;
        this->queueTimer.expires_after(queueCheckInterval);
        co_await this->queueTimer.async_wait(asio::redirect_error(upstream::UseAwaitable(), error));
        if (!error && this->server.admission->waitingCount() > 0)
            this->server.admission->expireAndDispatch();
    }
}

} // namespace bamboochute::caller
