/// @file
/// @brief Length-prefixed, authenticated frames over TCP; both ends prove that they know a key.
#pragma once

#include "core/memory_budget.hpp"
#include "peer/call_server.hpp"
#include "peer/key_ring.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace bamboochute::peer {

/// Maximum bytes queued for writing on one connection; above it the connection is closed.
constexpr std::size_t maxQueuedWriteBytes = std::size_t{4} * 1024 * 1024;

/// Maximum size of a frame before the first one was verified, in bytes: until then it may come from
/// anybody. The first frame holds the name of an instance, or nothing.
constexpr std::size_t maxFirstFrameBytes = std::size_t{4} * 1024;

/// @brief Why a connection ended.
enum class ConnectionEnd : std::uint8_t {
    Closed,
    /// The tag of a frame did not match.
    Unauthenticated,
    Malformed,
    /// A frame exceeded maxFrameBytes.
    Oversized,
    /// More than maxQueuedWriteBytes were waiting to be written.
    SlowReader,
};

/// @brief Role of an end of a connection.
enum class ConnectionSide : std::uint8_t { Client, Server };

/// @brief Exchanges frames on an established TCP connection.
///
/// Each end first sends a nonce. The tag of a frame covers both nonces, the direction and the
/// frame's number, so that a frame can't be replayed, reordered, reflected or moved to another
/// connection.
class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using OnFrame = std::function<void(std::string_view payload)>;
    using OnReady = std::function<void()>;
    using OnEnd = std::function<void(ConnectionEnd reason)>;

    FramedConnection(Socket socket, KeyRing keys, ConnectionSide side);

    /// @brief Counts the frames that arrive; a connection whose frame has no room is closed.
    void countFrames(MemoryBudget &budget)
    {
        this->frameMemory.emplace(budget, MemoryUse::Arriving);
    }

    /// @brief Exchanges the nonces and starts reading.
    /// @param onReady called when frames can be sent
    /// @param onFrame called with the payload of each authenticated frame, valid during the call
    /// @param onEnd called once when the connection has ended, unless close() ended it
    void start(OnReady onReady, OnFrame onFrame, OnEnd onEnd);

    /// @brief Sends a frame; must not be called before onReady.
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
    void verifyFrame();
    bool reserveFrame(std::size_t size);
    void write(std::string bytes);
    void writeNext();
    void end(ConnectionEnd reason);
    std::string makeTagContext(ConnectionSide sender, std::uint64_t number) const;

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
    std::optional<MemoryBudget::Holding> frameMemory;
    std::deque<std::string> writes;
    std::size_t queuedBytes = 0;
    std::uint64_t sentFrames = 0;
    std::uint64_t receivedFrames = 0;
    bool isOpen = true;
};

} // namespace bamboochute::peer
