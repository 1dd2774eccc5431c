/// @file
/// @brief A TCP connection with a read buffer, time limits and a callback for its closing by the
/// peer.
#pragma once

#include "core/clock.hpp"
#include "upstream/deadline_watch.hpp"
#include "upstream/net.hpp"

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>

namespace bamboochute::upstream {

/// @brief How a connect, read or write ended.
enum class StreamStatus {
    Ok,
    /// The connection was closed or failed.
    Closed,
    /// The time limit passed.
    Expired,
    /// The read buffer has no space left.
    BufferFull,
    /// The host refused the connection: no process listens at the address.
    Refused
};

/// @brief One connection, used by one thread.
///
/// A read may be started before its bytes are needed. While it is pending, the owner learns that
/// the peer closed the connection without another system call.
class HttpStream : public std::enable_shared_from_this<HttpStream>
{
public:
    /// Index of a stream that has no time limit.
    static constexpr std::size_t notWatched = std::numeric_limits<std::size_t>::max();

    /// @param socket connected, or to be connected by connect()
    /// @param watch deadline watch of the same thread; must outlive all calls of the stream but its
    /// destructor
    /// @param maxBufferBytes largest size of the read buffer
    HttpStream(Socket socket, DeadlineWatch &watch, std::size_t maxBufferBytes);
    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    /// @brief Sets the own address of a stream that is not connected yet.
    /// @return false if the address can't be used
    bool bindTo(const asio::ip::address &address);

    /// @brief Connects within the time limit.
    /// @return Ok, Refused, Expired, or Closed for any other failure
    Awaitable<StreamStatus> connect(const asio::ip::tcp::endpoint &peer);

    /// @brief Waits until more bytes are in unread().
    /// @return Ok, Closed when the peer closed, Expired when the time limit passed, BufferFull when
    /// the buffer has no space left
    Awaitable<StreamStatus> readMore();

    /// @brief Starts a read, unless one is pending, the peer has closed or the buffer is full.
    void readAhead();

    /// @brief Bytes read and not yet consumed; valid until the next read starts.
    std::string_view unread() const;

    /// @brief Size of the read buffer in bytes.
    std::size_t bufferBytes() const noexcept { return this->buffer.size(); }

    /// @brief Removes bytes from the front of unread().
    void consume(std::size_t count);

    /// @brief Writes as much as the kernel accepts at once.
    /// @return nothing when part of the buffers is left, else how the write ended
    std::optional<StreamStatus> tryWrite(std::span<const asio::const_buffer> buffers);

    /// @brief Writes the part of the same buffers that tryWrite() left.
    Awaitable<StreamStatus> writeRest(std::span<const asio::const_buffer> buffers);

    /// @brief Writes all buffers; suspends only if the kernel doesn't accept them at once.
    Awaitable<StreamStatus> write(std::span<const asio::const_buffer> buffers);

    /// @brief Sets the time limit of all operations.
    ///
    /// When it passes, pending operations end with Expired. The connection stays open, so that an
    /// error can be written under a new limit.
    void expireAt(TimePoint time);

    /// @brief Removes the time limit.
    void neverExpire();

    /// @brief Runs a function on the thread of this connection: at once when that is the calling
    /// one, else later. May be called on any thread; the connection may have ended when it runs.
    void dispatch(std::function<void()> function);

    /// @brief Makes a function that closes the connection on its thread; it may be called on any
    /// thread, and outlive the connection.
    std::function<void()> makeCloser();

    /// @brief Closes the connection; pending operations end with Closed.
    void close();

    /// @brief Sets a handler that is called once, when the peer closes while no readMore() waits.
    /// While bytes are unread that the peer has sent before, only a reset is noticed.
    void setPeerClosedHandler(std::function<void()> handler)
    {
        this->peerClosedHandler = std::move(handler);
    }

    /// @brief Lets the handler be called for a reset although nothing more is read.
    void watchReset();

    /// @brief Address of the peer without its port; empty when it is not known any more.
    std::string peerAddress() const;

    bool isOpen() const { return this->socket.is_open(); }
    /// @brief Whether the kernel has bytes that were not read yet.
    bool hasArrivedBytes() const;
    /// @brief Whether the peer's host has not acknowledged all that was written, or the connection
    /// has failed since; false where the system does not tell.
    bool hasUndeliveredBytes();
    bool isPeerClosed() const noexcept { return this->isReadClosed; }
    /// @brief Whether the peer closed its side in order, and not by a reset.
    bool isClosedInOrder() const noexcept { return this->isReadClosed && this->wasClosedInOrder; }
    bool isExpired() const noexcept { return this->hasExpired; }
    /// @brief Bytes of the current request that were handed to the kernel.
    std::uint64_t writtenBytes() const noexcept { return this->written; }
    void resetWrittenBytes() noexcept { this->written = 0; }

private:
    friend class DeadlineWatch;

    void expire();
    void handleReadCompletion(const error_code &error, std::size_t count);
    void handleResetWait(const error_code &error);
    bool isReset();
    void notifyPeerClosed();
    bool reserveReadSpace();
    StreamStatus failureStatus() const noexcept
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
    std::size_t lastWrittenBytes = 0;
    TimePoint expiry{};
    std::size_t watchIndex = notWatched;
    bool isReading = false;
    bool isWatchingReset = false;
    bool isReadClosed = false;
    bool wasClosedInOrder = false;
    bool hasExpired = false;
    std::optional<Resumption<bool>> pendingResumption;
    std::function<void()> peerClosedHandler;
};

using HttpStreamPointer = std::shared_ptr<HttpStream>;

} // namespace bamboochute::upstream
