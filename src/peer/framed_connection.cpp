#include "peer/framed_connection.hpp"

#include "peer/call_payload.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <openssl/rand.h>

namespace bamboochute::peer {

namespace {

using ErrorCode = boost::system::error_code;

/// First bytes of each connection; another number stands for another format.
constexpr std::string_view helloPrefix = "BCC1";
/// Size of a frame without its payload, in bytes: key identifier and tag.
constexpr std::size_t frameOverhead = 1 + tagBytes;

} // namespace

FramedConnection::FramedConnection(Socket socket, KeyRing keys, ConnectionSide side)
    : socket(std::move(socket))
    , keys(std::move(keys))
    , side(side)
{}

void FramedConnection::start(OnReady onReady, OnFrame onFrame, OnEnd onEnd)
{
    this->onReady = std::move(onReady);
    this->onFrame = std::move(onFrame);
    this->onEnd = std::move(onEnd);
    ErrorCode ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    std::copy(helloPrefix.begin(), helloPrefix.end(), this->ownHello.begin());
    std::array<unsigned char, nonceBytes> nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        this->end(ConnectionEnd::Closed);
        return;
    }
    std::copy(nonce.begin(), nonce.end(), this->ownHello.begin() + helloPrefix.size());
    this->write(std::string(this->ownHello.data(), this->ownHello.size()));
    this->readHello();
}

void FramedConnection::readHello()
{
    boost::asio::async_read(this->socket, boost::asio::buffer(this->theirHello),
                            [self = this->shared_from_this()](const ErrorCode &code, std::size_t) {
                                if (code || !self->isOpen)
                                    return self->end(ConnectionEnd::Closed);
                                const std::string_view prefix(self->theirHello.data(),
                                                              helloPrefix.size());
                                if (prefix != helloPrefix)
                                    return self->end(ConnectionEnd::Malformed);
                                self->readLength();
                                self->onReady();
                            });
}

void FramedConnection::readLength()
{
    boost::asio::async_read(
            this->socket, boost::asio::buffer(this->length),
            [self = this->shared_from_this()](const ErrorCode &code, std::size_t) {
                if (code || !self->isOpen)
                    return self->end(ConnectionEnd::Closed);
                std::size_t size = 0;
                for (const char byte : self->length)
                    size = (size << 8) | static_cast<unsigned char>(byte);
                if (size > (self->receivedFrames == 0 ? maxFirstFrameBytes : maxFrameBytes))
                    return self->end(ConnectionEnd::Oversized);
                if (size < frameOverhead)
                    return self->end(ConnectionEnd::Malformed);
                self->readBody(size);
            });
}

bool FramedConnection::reserveFrame(std::size_t size)
{
    return !this->frameMemory || this->frameMemory->resize(size, SteadyClock().now());
}

void FramedConnection::readBody(std::size_t size)
{
    if (!this->reserveFrame(size))
        return this->end(ConnectionEnd::Closed);
    this->body.resize(size);
    boost::asio::async_read(this->socket, boost::asio::buffer(this->body),
                            [self = this->shared_from_this()](const ErrorCode &code, std::size_t) {
                                if (code || !self->isOpen)
                                    return self->end(ConnectionEnd::Closed);
                                self->verifyFrame();
                            });
}

void FramedConnection::verifyFrame()
{
    const std::string_view frame = this->body;
    const std::string_view covered = frame.substr(0, frame.size() - tagBytes);
    const std::string_view tag = frame.substr(covered.size());
    const ConnectionSide sender = this->side == ConnectionSide::Client ? ConnectionSide::Server
                                                                       : ConnectionSide::Client;
    const std::string expected = this->makeTagContext(sender, this->receivedFrames);
    if (!this->keys.verify(static_cast<KeyId>(covered.front()), covered, expected, tag))
        return this->end(ConnectionEnd::Unauthenticated);
    ++this->receivedFrames;
    this->onFrame(covered.substr(1));
    // The memory of a large frame is not kept for the next one.
    if (this->body.capacity() > maxFirstFrameBytes)
        std::string().swap(this->body);
    this->reserveFrame(0);
    if (this->isOpen)
        this->readLength();
}

void FramedConnection::send(std::string_view payload)
{
    std::string covered;
    covered.reserve(payload.size() + 1);
    covered.push_back(static_cast<char>(this->keys.signingKey()));
    covered.append(payload);
    const AuthenticationTag tag
            = this->keys.sign(covered, this->makeTagContext(this->side, this->sentFrames));
    ++this->sentFrames;
    std::string frame;
    frame.reserve(lengthBytes + covered.size() + tagBytes);
    appendBigEndian(frame, covered.size() + tagBytes, lengthBytes);
    frame.append(covered);
    frame.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    this->write(std::move(frame));
}

std::string FramedConnection::makeTagContext(ConnectionSide sender, std::uint64_t number) const
{
    const bool isClient = this->side == ConnectionSide::Client;
    const Hello &client = isClient ? this->ownHello : this->theirHello;
    const Hello &server = isClient ? this->theirHello : this->ownHello;
    std::string bytes;
    bytes.push_back(sender == ConnectionSide::Client ? 'c' : 's');
    bytes.append(client.data(), client.size());
    bytes.append(server.data(), server.size());
    appendBigEndian(bytes, number, sizeof number);
    return bytes;
}

void FramedConnection::write(std::string bytes)
{
    if (!this->isOpen)
        return;
    this->queuedBytes += bytes.size();
    if (this->queuedBytes > maxQueuedWriteBytes)
        return this->end(ConnectionEnd::SlowReader);
    this->writes.push_back(std::move(bytes));
    if (this->writes.size() == 1)
        this->writeNext();
}

void FramedConnection::writeNext()
{
    boost::asio::async_write(
            this->socket, boost::asio::buffer(this->writes.front()),
            [self = this->shared_from_this()](const ErrorCode &code, std::size_t size) {
                if (code || !self->isOpen)
                    return self->end(ConnectionEnd::Closed);
                self->queuedBytes -= size;
                self->writes.pop_front();
                if (!self->writes.empty())
                    self->writeNext();
            });
}

void FramedConnection::end(ConnectionEnd reason)
{
    if (!this->isOpen)
        return;
    const OnEnd notify = std::move(this->onEnd);
    this->close();
    if (notify)
        notify(reason);
}

void FramedConnection::close()
{
    if (!this->isOpen)
        return;
    this->isOpen = false;
    ErrorCode ignored;
    this->socket.close(ignored);
    // The handlers may own the owner of this connection, so they are released; later, as one of
    // them may be running now.
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->onReady = nullptr;
        self->onFrame = nullptr;
        self->onEnd = nullptr;
    });
}

} // namespace bamboochute::peer
