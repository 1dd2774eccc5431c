#include "upstream/listen.hpp"

#include "core/log.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace bamboochute::upstream {

namespace {

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>, Executor>;

/// Delay after a failure to accept, for example when the file descriptors are exhausted.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

Result<Endpoint> listenOn(Acceptor &acceptor, const Endpoint &endpoint, int backlog,
                          const InboundBudget &inbound)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error)
        acceptor.open(asio::ip::tcp::v4(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        inbound.boundKernelBuffers(acceptor.native_handle());
    if (!error)
        acceptor.bind(asio::ip::tcp::endpoint(address, endpoint.port), error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return Error(ErrorKind::SettingInvalid,
                     fmt::format("cannot listen on {}:{}: {}", endpoint.address, endpoint.port,
                                 error.message()));
    return Endpoint{endpoint.address, acceptor.local_endpoint().port()};
}

Awaitable<std::optional<Socket>> acceptNext(Acceptor &acceptor)
{
    std::optional<Socket> accepted;
    while (true) {
        error_code error;
        Socket socket(acceptor.get_executor());
        co_await acceptor.async_accept(socket, asio::redirect_error(UseAwaitable(), error));
        if (!error) {
            accepted.emplace(std::move(socket));
            co_return accepted;
        }
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            co_return accepted;
        logEvent(LogLevel::Warning, "accepting a connection failed; retrying after a pause",
                 {{"error", error.message()}});
        Timer pause(acceptor.get_executor());
        pause.expires_after(acceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(UseAwaitable(), error));
    }
}

} // namespace bamboochute::upstream
