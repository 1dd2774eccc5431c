/// @file
/// @brief A TCP connection with a read buffer, time limits and notice of the peer's leaving.
#pragma once

#include "core/clock.hpp"
#include "upstream/deadline_watch.hpp"
#include "upstream/net.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>

namespace bamboochute::upstream {

/// @brief How a read or write ended.
enum class StreamStatus {
    Ok,
    Closed,
    Expired,
    BufferFull,
    /// The host answered that no process listens at the address.
    Refused
};

/// @brief One connection, used by one thread.
///
/// A read may be begun ahead of its need; while it is under way the owner learns that the peer has
/// closed the connection without another system call.
class HttpStream : public std::enable_shared_from_this<HttpStream>
{
public:
    static constexpr std::size_t notWatched = std::numeric_limits<std::size_t>::max();

    /// @param socket connected, or to be connected by connect()
    /// @param watch of the same thread
    /// @param maxBufferBytes bytes that may wait unread
    HttpStream(Socket socket, DeadlineWatch &watch, std::size_t maxBufferBytes);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    /// @brief Connects within the time limit.
    Awaitable<StreamStatus> connect(const asio::ip::tcp::endpoint &peer);

    /// @brief Waits until more bytes are in unread().
    /// @return Closed when the peer closed, Expired when the time limit passed
    Awaitable<StreamStatus> readMore();

    /// @brief Begins a read unless one is under way.
    void readAhead();

    /// @brief Bytes read and not yet consumed; valid until the next read begins.
    std::string_view unread() const;

    /// @brief Drops bytes from the front of unread().
    void consume(std::size_t count);

    /// @brief Writes what the kernel takes at once.
    /// @return nothing when part of the buffers is left, else how the write ended
    std::optional<StreamStatus> tryWrite(std::span<const asio::const_buffer> buffers);

    /// @brief Writes what tryWrite() left of the same buffers.
    Awaitable<StreamStatus> writeRest(std::span<const asio::const_buffer> buffers);

    /// @brief Writes all buffers; suspends only if the peer doesn't take them at once.
    Awaitable<StreamStatus> write(std::span<const asio::const_buffer> buffers);

    /// @brief Sets or removes the time limit of all operations.
    ///
    /// When it passes, the operations under way end with Expired; the connection stays open, so
    /// that an error can be written under a new limit.
    void expireAt(TimePoint time);
    void neverExpire();

    /// @brief Closes the connection; operations under way end with Closed.
    void close();

    /// @brief Called once when the peer closes while nobody waits for a read.
    void setPeerClosedHandler(std::function<void()> handler)
    {
        this->peerClosed = std::move(handler);
    }

    bool isOpen() const { return this->socket.is_open(); }
    bool isPeerClosed() const noexcept { return this->isReadClosed; }
    /// @brief Whether the peer ended its side in order, and not by a reset.
    bool isCleanEnd() const noexcept { return this->isReadClosed && this->hasCleanEnd; }
    bool isExpired() const noexcept { return this->hasExpired; }
    /// @brief Bytes of the request under way that have been handed to the kernel.
    std::uint64_t writtenBytes() const noexcept { return this->written; }
    void resetWrittenBytes() noexcept { this->written = 0; }

private:
    friend class DeadlineWatch;

    void expire();
    void readDone(const error_code &error, std::size_t count);
    bool makeRoom();
    StreamStatus failure() const noexcept
    {
        return this->hasExpired ? StreamStatus::Expired : StreamStatus::Closed;
    }

    Socket socket;
    DeadlineWatch &watch;
    std::size_t maxBufferBytes;
    std::vector<char> buffer;
    std::size_t begin = 0;
    std::size_t end = 0;
    std::uint64_t written = 0;
    /// Bytes that the last tryWrite() wrote.
    std::size_t lastWrite = 0;
    TimePoint expiry{};
    std::size_t watchIndex = notWatched;
    bool isReading = false;
    bool isReadClosed = false;
    bool hasCleanEnd = false;
    bool hasExpired = false;
    std::optional<Resumption<bool>> waiter;
    std::function<void()> peerClosed;
};

using HttpStreamPointer = std::shared_ptr<HttpStream>;

} // namespace bamboochute::upstream
