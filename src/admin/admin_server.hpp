/// @file
/// @brief HTTP server of the administration API.
#pragma once

#include "admin/admin_message.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"
#include "core/inbound_budget.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace bamboochute::admin {

/// @brief Limits of the administration server.
struct AdminServerLimits
{
    /// Connections, with those that are being closed to make room.
    std::size_t maxConnections = 128;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 16 << 20;
    std::chrono::milliseconds headerTimeout{10000};
    std::chrono::milliseconds bodyTimeout{60000};
    std::chrono::milliseconds writeTimeout{60000};
};

/// @brief Functions that handle the requests, such as those of AdminApi.
struct AdminHandler
{
    /// Checks path, method and credential before the body is read; an error rejects the request.
    std::function<Result<void>(const AdminRequest &)> admit;
    /// Handles a request; must call the callback exactly once on the server's thread.
    std::function<void(const AdminRequest &, AdminDone)> handle;
};

/// @brief Makes the handler that calls an API.
/// @param api must outlive the handler
template<typename Api>
AdminHandler makeHandler(Api &api)
{
    return {[&api](const AdminRequest &request) -> Result<void> {
                const auto author = api.admit(request);
                if (!author)
                    return author.error();
                return boost::outcome_v2::success();
            },
            [&api](const AdminRequest &request, AdminDone done) {
                api.handle(request, std::move(done));
            }};
}

/// @brief Serves HTTP/1.1 asynchronously on an io_context that is run by a single thread.
class AdminServer
{
public:
    /// @param context must outlive the server and its connections
    /// @param handler handles the requests
    /// @param inbound bounds of what peers make this process hold; must outlive the server
    /// @param limits limits of connections, sizes and times
    AdminServer(boost::asio::io_context &context, AdminHandler handler, InboundBudget &inbound,
                AdminServerLimits limits = {});
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// @brief Starts to accept connections.
    /// @param endpoint IP address and port to listen on; port 0 selects a free port
    /// @return the bound endpoint, or SettingInvalid when the server can't listen there
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Stops accepting connections and closes those that have no request in progress.
    void close();

private:
    class Listener;
    std::shared_ptr<Listener> listener;
};

} // namespace bamboochute::admin
