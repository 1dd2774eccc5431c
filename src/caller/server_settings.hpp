/// @file
/// @brief Settings and bounds of the server towards callers.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <cstdint>
#include <string>

namespace bamboochute::caller {

/// @brief Bounds of what callers may send and how long they may take.
struct ServerLimits
{
    /// Connections that one traffic thread holds.
    std::size_t maxConnections = 4096;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxBodyBytes = 4 << 20;
    /// Longest nesting of objects and arrays in a JSON body.
    std::size_t maxJsonDepth = 64;
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(10);
    /// From the end of the header to the end of the body.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// Connections that wait for their next request.
    Duration idleTimeout = std::chrono::minutes(5);
    /// Time that one write to a caller may take.
    Duration writeTimeout = std::chrono::seconds(30);
    /// Bytes of an answer that is not a stream.
    std::size_t maxAnswerBytes = 8 << 20;
    /// Bytes of one stream that this instance holds at a time.
    std::size_t maxStreamBytes = 64 << 10;
    /// Longest pause of a stream between two pieces.
    Duration streamIdleTimeout = std::chrono::minutes(2);
    Duration connectTimeout = std::chrono::seconds(1);
    /// Kept connections to each upstream, by traffic thread.
    std::size_t maxIdleUpstreamConnections = 64;
};

/// @brief What the server needs to know of its process.
struct ServerSettings
{
    Endpoint listen{"127.0.0.1", 0};
    std::uint32_t trafficThreads = 2;
    DataCentreId dataCentre;
    /// Bearer credential for cancel calls to upstreams that check the sender.
    std::string orderCredential;
    /// Of random choices; differs between instances.
    std::uint64_t seed = 1;
    ServerLimits limits;
};

} // namespace bamboochute::caller
