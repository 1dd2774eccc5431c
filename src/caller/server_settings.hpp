/// @file
/// @brief Settings and limits of the server for callers.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <cstdint>
#include <string>

namespace bamboochute::caller {

/// @brief Limits of sizes, counts and times.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    /// Greatest nesting of objects and arrays in a JSON body.
    std::size_t maxJsonDepth = 64;
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(10);
    /// From the end of the header to the end of the body.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// How long a connection may wait for its next request.
    Duration idleTimeout = std::chrono::minutes(5);
    /// How long one write to a caller may take.
    Duration writeTimeout = std::chrono::seconds(30);
    /// Largest body of an upstream's answer that is not a stream.
    std::size_t maxAnswerBytes = 8 << 20;
    /// Bytes of one stream that this instance buffers.
    std::size_t maxStreamBytes = 64 << 10;
    /// How long an upstream may pause between two pieces of a stream after the request's deadline.
    Duration streamIdleTimeout = std::chrono::minutes(2);
    Duration connectTimeout = std::chrono::seconds(1);
    /// Idle connections that each traffic thread keeps to each upstream.
    std::size_t maxIdleUpstreamConnections = 64;
};

/// @brief Settings of the server.
struct ServerSettings
{
    /// Port 0 lets the operating system choose.
    Endpoint listen{"127.0.0.1", 0};
    std::uint32_t trafficThreads = 2;
    DataCentreId dataCentre;
    /// Bearer credential of cancel calls to upstreams that authenticate the sender.
    std::string orderCredential;
    /// Seed of random choices and of request identifiers; differs between instances.
    std::uint64_t seed = 1;
    ServerLimits limits;
};

} // namespace bamboochute::caller
