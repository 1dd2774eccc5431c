#include "upstream/http_stream.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <cstring>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

namespace bamboochute::upstream {

namespace {

constexpr std::size_t firstBufferBytes = 4 << 10;
/// Free space below which the buffer is compacted or grown before a read; reads of fewer bytes
/// aren't worth a system call.
constexpr std::size_t minReadBytes = 512;
/// Largest number of buffers passed to one system call.
constexpr std::size_t maxBuffersPerWrite = 64;

std::size_t totalBytes(std::span<const asio::const_buffer> buffers)
{
    std::size_t total = 0;
    for (const asio::const_buffer &buffer : buffers)
        total += buffer.size();
    return total;
}

} // namespace

HttpStream::HttpStream(Socket socket, DeadlineWatch &watch, std::size_t maxBufferBytes)
    : socket(std::move(socket))
    , watch(watch)
    , maxBufferBytes(maxBufferBytes)
{
    error_code ignored;
    if (this->socket.is_open()) {
        this->socket.non_blocking(true, ignored);
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
}

HttpStream::~HttpStream()
{
    this->neverExpire();
}

bool HttpStream::bindTo(const asio::ip::address &address)
{
    error_code error;
    const asio::ip::tcp::endpoint own(address, 0);
    this->socket.open(own.protocol(), error);
    if (!error)
        this->socket.bind(own, error);
    return !error;
}

Awaitable<StreamStatus> HttpStream::connect(const asio::ip::tcp::endpoint &peer)
{
    error_code error;
    co_await this->socket.async_connect(peer, asio::redirect_error(UseAwaitable(), error));
    if (error == asio::error::connection_refused)
        co_return StreamStatus::Refused;
    if (error)
        co_return this->failureStatus();
    this->socket.non_blocking(true, error);
    this->socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return StreamStatus::Ok;
}

std::string HttpStream::peerAddress() const
{
    error_code error;
    const asio::ip::tcp::endpoint peer = this->socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

Awaitable<StreamStatus> HttpStream::readMore()
{
    // A read that ended by a time limit goes on if another limit has been set meanwhile.
    while (!this->hasExpired && !this->isReadClosed && this->socket.is_open()) {
        if (!this->isReading && !this->reserveReadSpace())
            co_return StreamStatus::BufferFull;
        this->readAhead();
        BC_INVARIANT(!this->pendingResumption, "two reads wait on one connection");
        UseAwaitable token;
        const bool isOk = co_await asio::async_initiate<UseAwaitable, void(bool)>(
                [this](Resumption<bool> &&resumption) {
                    this->pendingResumption.emplace(std::move(resumption));
                },
                token);
        if (isOk)
            co_return StreamStatus::Ok;
    }
    co_return this->failureStatus();
}

void HttpStream::readAhead()
{
    if (this->isReading || this->isReadClosed)
        return;
    if (!this->reserveReadSpace()) {
        this->watchReset();
        return;
    }
    this->isReading = true;
    this->socket.async_read_some(
            asio::buffer(this->buffer.data() + this->end, this->buffer.size() - this->end),
            [self = this->shared_from_this()](const error_code &error, std::size_t count) {
                self->handleReadCompletion(error, count);
            });
}

void HttpStream::handleReadCompletion(const error_code &error, std::size_t count)
{
    this->isReading = false;
    this->end += count;
    // A read that a former time limit has cancelled says nothing about the connection.
    const bool isCancelled = error == asio::error::operation_aborted && this->socket.is_open();
    if (error && !this->hasExpired && !isCancelled) {
        this->isReadClosed = true;
        this->wasClosedInOrder = error == asio::error::eof;
    }
    if (this->pendingResumption) {
        Resumption<bool> resumption = std::move(*this->pendingResumption);
        this->pendingResumption.reset();
        resumption(!error);
    } else if (this->isReadClosed) {
        this->notifyPeerClosed();
    } else if (!error) {
        this->watchReset();
    }
}

void HttpStream::notifyPeerClosed()
{
    const auto handler = std::move(this->peerClosedHandler);
    this->peerClosedHandler = nullptr;
    if (handler)
        handler();
}

void HttpStream::watchReset()
{
    if (this->isWatchingReset || this->isReadClosed || !this->peerClosedHandler
        || !this->socket.is_open())
        return;
    this->isWatchingReset = true;
    // The wait must not keep a connection alive that nobody uses any more.
    this->socket.async_wait(Socket::wait_error,
                            [weak = this->weak_from_this()](const error_code &error) {
                                if (const HttpStreamPointer stream = weak.lock())
                                    stream->handleResetWait(error);
                            });
}

void HttpStream::handleResetWait(const error_code &error)
{
    this->isWatchingReset = false;
    if (!error && this->isReset()) {
        this->isReadClosed = true;
        this->notifyPeerClosed();
    } else if (error == asio::error::operation_aborted) {
        // A time limit has ended the wait, or the connection is closed.
        this->watchReset();
    }
}

/// Whether the connection has ended; urgent data completes a wait for an error as well.
bool HttpStream::isReset()
{
    tcp_info info{};
    socklen_t size = sizeof info;
    // The pending error of the socket is left to the next read or write.
    return ::getsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
           && info.tcpi_state == TCP_CLOSE;
}

bool HttpStream::reserveReadSpace()
{
    if (this->begin == this->end) {
        this->begin = 0;
        this->end = 0;
        // A long header must not keep its buffer while the connection is idle.
        if (this->buffer.size() > firstBufferBytes)
            std::vector<char>(firstBufferBytes).swap(this->buffer);
    }
    if (this->buffer.size() - this->end >= minReadBytes)
        return true;
    if (this->begin > 0) {
        std::memmove(this->buffer.data(), this->buffer.data() + this->begin,
                     this->end - this->begin);
        this->end -= this->begin;
        this->begin = 0;
    }
    if (this->buffer.size() - this->end < minReadBytes
        && this->buffer.size() < this->maxBufferBytes) {
        const std::size_t newSize = std::max(firstBufferBytes, 2 * this->buffer.size());
        this->buffer.resize(std::min(this->maxBufferBytes, newSize));
    }
    return this->buffer.size() > this->end;
}

std::string_view HttpStream::unread() const
{
    return {this->buffer.data() + this->begin, this->end - this->begin};
}

bool HttpStream::hasArrivedBytes() const
{
    error_code error;
    return this->socket.is_open() && this->socket.available(error) > 0 && !error;
}

void HttpStream::consume(std::size_t count)
{
    BC_INVARIANT(count <= this->end - this->begin, "more bytes are consumed than were read");
    this->begin += count;
}

bool HttpStream::hasUndeliveredBytes()
{
    const auto descriptor = this->socket.native_handle();
    int bytes = 0;
    int failure = 0;
    socklen_t size = sizeof failure;
    const bool isUnacknowledged = ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    const bool hasFailed
            = ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure != 0;
    return isUnacknowledged || hasFailed;
}

std::optional<StreamStatus> HttpStream::tryWrite(std::span<const asio::const_buffer> buffers)
{
    error_code error;
    const std::span<const asio::const_buffer> firstBuffers
            = buffers.first(std::min(buffers.size(), maxBuffersPerWrite));
    this->lastWrittenBytes = this->socket.write_some(firstBuffers, error);
    this->written += this->lastWrittenBytes;
    if (error && error != asio::error::would_block)
        return this->failureStatus();
    if (this->lastWrittenBytes == totalBytes(buffers))
        return StreamStatus::Ok;
    return std::nullopt;
}

Awaitable<StreamStatus> HttpStream::write(std::span<const asio::const_buffer> buffers)
{
    const std::optional<StreamStatus> status = this->tryWrite(buffers);
    if (status)
        co_return *status;
    co_return co_await this->writeRest(buffers);
}

Awaitable<StreamStatus> HttpStream::writeRest(std::span<const asio::const_buffer> buffers)
{
    std::size_t done = this->lastWrittenBytes;
    std::vector<asio::const_buffer> remaining(buffers.begin(), buffers.end());
    for (asio::const_buffer &buffer : remaining) {
        const std::size_t skipped = std::min(done, buffer.size());
        buffer += skipped;
        done -= skipped;
    }
    error_code error;
    this->written += co_await asio::async_write(this->socket, remaining,
                                                asio::redirect_error(UseAwaitable(), error));
    co_return error ? this->failureStatus() : StreamStatus::Ok;
}

void HttpStream::expireAt(TimePoint time)
{
    this->expiry = time;
    this->hasExpired = false;
    this->watch.watchDeadline(*this);
}

void HttpStream::neverExpire()
{
    if (this->watchIndex != notWatched)
        this->watch.remove(*this);
}

void HttpStream::expire()
{
    this->hasExpired = true;
    this->neverExpire();
    error_code ignored;
    this->socket.cancel(ignored);
}

void HttpStream::dispatch(std::function<void()> function)
{
    asio::dispatch(this->socket.get_executor(), std::move(function));
}

std::function<void()> HttpStream::makeCloser()
{
    return [weak = this->weak_from_this(), executor = this->socket.get_executor()] {
        // The pointer is taken on the thread of the connection, so that none is released elsewhere.
        asio::dispatch(executor, [weak] {
            if (const HttpStreamPointer stream = weak.lock())
                stream->close();
        });
    };
}

void HttpStream::close()
{
    error_code ignored;
    this->socket.close(ignored);
}

} // namespace bamboochute::upstream
