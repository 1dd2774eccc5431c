/// @file
/// @brief HTTP server of the administration port.
#pragma once

#include "admin/admin_message.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace bamboochute::admin {

/// @brief Bounds of the administration port.
struct AdminServerLimits
{
    std::size_t maxConnections = 64;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 16 << 20;
    std::chrono::milliseconds headerTimeout{10000};
    std::chrono::milliseconds bodyTimeout{60000};
    std::chrono::milliseconds writeTimeout{60000};
};

/// @brief What answers the requests, such as AdminApi.
struct AdminHandler
{
    /// Decides by path, method and credential whether the body is read at all.
    std::function<Result<void>(const AdminRequest &)> admit;
    /// Answers a request; calls done exactly once on the server's thread.
    std::function<void(const AdminRequest &, AdminDone)> handle;
};

/// @brief The handler of an API; the API must outlive it.
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

/// @brief Serves HTTP/1.1 asynchronously on one io_context, which one thread runs.
class AdminServer
{
public:
    /// @param context must outlive the server and its connections
    AdminServer(boost::asio::io_context &context, AdminHandler handler,
                AdminServerLimits limits = {});
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// @brief Starts to accept connections.
    /// @param endpoint where to listen; port 0 takes a free one
    /// @return the endpoint in use, or SettingInvalid
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// @brief Stops accepting and closes connections that have no request under way.
    void close();

private:
    class Listener;
    std::shared_ptr<Listener> listener;
};

} // namespace bamboochute::admin
