/// @file
/// @brief Fake of the platform's list of instances; a new list becomes visible after a delay.
#pragma once

#include "core/clock.hpp"
#include "fakes/http_server.hpp"
#include "platform/instance_list.hpp"

#include <deque>

namespace bamboochute::fakes {

/// @brief Serves GET /v1/instances; PUT /fake/instances replaces the list after the lag.
class InstanceListServer
{
public:
    /// @param context event loop; must outlive the server
    /// @param lag time until a new list is visible
    InstanceListServer(upstream::asio::io_context &context, Duration lag);

    /// @brief As FakeHttpServer::listen().
    Result<Endpoint> listen(const Endpoint &endpoint) { return this->server.listen(endpoint); }
    /// @brief As FakeHttpServer::close().
    void close() { this->server.close(); }

private:
    struct Version
    {
        TimePoint visibleFrom;
        std::string text;
    };

    upstream::Awaitable<void> handle(FakeCall &call);
    caller::Answer answer(const caller::CallerRequest &request);

    Duration lag;
    std::deque<Version> versions;
    FakeHttpServer server;
};

} // namespace bamboochute::fakes
