/// @file
/// @brief Stand-in for the platform's list of instances: what is put is told after a lag.
#pragma once

#include "core/clock.hpp"
#include "fakes/http_server.hpp"
#include "platform/instance_list.hpp"

#include <deque>

namespace bamboochute::fakes {

/// @brief Serves GET /v1/instances; PUT /fake/instances replaces the list.
class InstanceListServer
{
public:
    /// @param lag time until a new list is told
    InstanceListServer(upstream::asio::io_context &context, Duration lag);

    Result<Endpoint> listen(const Endpoint &endpoint) { return this->server.listen(endpoint); }
    void close() { this->server.close(); }

private:
    struct Version
    {
        TimePoint since;
        std::string text;
    };

    upstream::Awaitable<void> handle(FakeCall &call);
    caller::Answer answer(const caller::CallerRequest &request);

    Duration lag;
    std::deque<Version> versions;
    FakeHttpServer server;
};

} // namespace bamboochute::fakes
