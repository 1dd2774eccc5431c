/// @file
/// @brief Length-prefixed frames over TCP, each authenticated; both ends prove the shared key.
#pragma once

#include "peer/call_server.hpp"
#include "peer/key_ring.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace bamboochute::peer {

/// Most bytes that wait to be written to one connection.
constexpr std::size_t maxQueuedWriteBytes = std::size_t{4} * 1024 * 1024;

/// @brief Why a connection ended.
enum class ConnectionEnd : std::uint8_t {
    Closed,
    Unauthenticated,
    Malformed,
    Oversized,
    SlowReader,
};

/// @brief Which end of the connection this is.
enum class ConnectionSide : std::uint8_t { Client, Server };

/// @brief One connection, after TCP has been set up.
///
/// Each end first sends a nonce. Tags cover both nonces, the direction and the frame's number, so
/// that a frame can't be replayed, reordered, reflected or moved to another connection.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using OnFrame = std::function<void(std::string_view payload)>;
    using OnReady = std::function<void()>;
    using OnEnd = std::function<void(ConnectionEnd reason)>;

    FramedConnection(Socket socket, KeyRing keys, ConnectionSide side);

    /// @brief Exchanges the nonces and starts to read.
    /// @param onReady called when frames can be sent
    /// @param onFrame gets each authentic frame
    /// @param onEnd called once when the connection has ended, unless close() ended it
    void start(OnReady onReady, OnFrame onFrame, OnEnd onEnd);

    /// @brief Sends a frame; only when ready.
    void send(std::string_view payload);

    /// @brief Closes without calling onEnd.
    void close();

private:
    static constexpr std::size_t nonceBytes = 16;
    static constexpr std::size_t helloBytes = 4 + nonceBytes;
    static constexpr std::size_t lengthBytes = 4;
    using Hello = std::array<char, helloBytes>;

    void readHello();
    void readLength();
    void readBody(std::size_t size);
    void takeFrame();
    void write(std::string bytes);
    void writeNext();
    void end(ConnectionEnd reason);
    std::string context(ConnectionSide sender, std::uint64_t number) const;

    Socket socket;
    KeyRing keys;
    ConnectionSide side;
    OnReady onReady;
    OnFrame onFrame;
    OnEnd onEnd;
    Hello ownHello{};
    Hello theirHello{};
    std::array<char, lengthBytes> length{};
    std::string body;
    std::deque<std::string> writes;
    std::size_t queuedBytes = 0;
    std::uint64_t sentFrames = 0;
    std::uint64_t receivedFrames = 0;
    bool isOpen = true;
};

} // namespace bamboochute::peer
