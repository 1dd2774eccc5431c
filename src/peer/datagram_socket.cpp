#include "peer/datagram_socket.hpp"

#include "peer/datagram.hpp"

#include <array>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>
#include <linux/errqueue.h>
#include <sys/socket.h>

namespace bamboochute::peer {

namespace {

using Udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

/// Size of the receive buffer: one byte above the limit, so that oversized datagrams are detected.
constexpr std::size_t receiveBytes = maxDatagramBytes + 1;
/// Maximum number of datagrams read before other handlers of the thread run.
constexpr std::size_t maxReadsAtOnce = 64;
/// Size of the kernel's buffers, large enough that a short pause of the process loses nothing.
constexpr int kernelBufferBytes = 1 << 20;
/// Size of the buffer for the control message of one error.
constexpr std::size_t controlBytes = 512;

Endpoint toEndpoint(const Udp::endpoint &endpoint)
{
    return Endpoint{endpoint.address().to_string(), endpoint.port()};
}

Error socketError(const Endpoint &listen, const ErrorCode &code)
{
    return Error(ErrorKind::SettingInvalid,
                 fmt::format("cannot listen on {}:{} (UDP): {}", listen.address, listen.port,
                             code.message()),
                 "peer-listen");
}

/// Whether an error is an ICMP message that no process listens on the port.
bool isPortUnreachable(msghdr &message)
{
    for (cmsghdr *header = CMSG_FIRSTHDR(&message); header != nullptr;
         header = CMSG_NXTHDR(&message, header)) {
        const bool isIp4 = header->cmsg_level == SOL_IP && header->cmsg_type == IP_RECVERR;
        const bool isIp6 = header->cmsg_level == SOL_IPV6 && header->cmsg_type == IPV6_RECVERR;
        if (!isIp4 && !isIp6)
            continue;
        const auto *error = reinterpret_cast<const sock_extended_err *>(CMSG_DATA(header));
        const bool isFromHost
                = error->ee_origin == SO_EE_ORIGIN_ICMP || error->ee_origin == SO_EE_ORIGIN_ICMP6;
        return isFromHost && error->ee_errno == ECONNREFUSED;
    }
    return false;
}

} // namespace

struct DatagramSocket::State : std::enable_shared_from_this<DatagramSocket::State>
{
    explicit State(boost::asio::io_context &context)
        : socket(context)
    {}

    void waitReadable()
    {
        this->socket.async_wait(Udp::socket::wait_read,
                                [self = this->shared_from_this()](const ErrorCode &code) {
                                    if (code || !self->socket.is_open())
                                        return;
                                    if (self->onPortRefused)
                                        self->readErrors();
                                    self->readDatagrams();
                                    if (self->socket.is_open())
                                        self->waitReadable();
                                });
    }

    /// Makes the kernel queue an error for each datagram that was answered with an ICMP error.
    void enableErrorQueue()
    {
        const int on = 1;
        ErrorCode ignored;
        const bool isIp6 = this->socket.local_endpoint(ignored).address().is_v6();
        ::setsockopt(this->socket.native_handle(), isIp6 ? SOL_IPV6 : SOL_IP,
                     isIp6 ? IPV6_RECVERR : IP_RECVERR, &on, sizeof on);
    }

    /// Reads the kernel's error queue, which contains the destination of each refused datagram.
    void readErrors()
    {
        for (std::size_t i = 0; i < maxReadsAtOnce && this->socket.is_open(); ++i) {
            Udp::endpoint destination;
            std::array<char, controlBytes> control{};
            iovec part{this->buffer.data(), this->buffer.size()};
            msghdr message{};
            message.msg_name = destination.data();
            message.msg_namelen = static_cast<socklen_t>(destination.capacity());
            message.msg_iov = &part;
            message.msg_iovlen = 1;
            message.msg_control = control.data();
            message.msg_controllen = control.size();
            if (::recvmsg(this->socket.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
                return;
            if (!isPortUnreachable(message))
                continue;
            destination.resize(message.msg_namelen);
            ++this->totals.refused;
            this->onPortRefused(toEndpoint(destination));
        }
    }

    void readDatagrams()
    {
        for (std::size_t i = 0; i < maxReadsAtOnce && this->socket.is_open(); ++i) {
            Udp::endpoint source;
            ErrorCode code;
            const std::size_t size
                    = this->socket.receive_from(boost::asio::buffer(this->buffer), source, 0, code);
            if (code == boost::asio::error::would_block)
                return;
            if (code)
                continue;
            ++this->totals.received;
            this->onReceived(std::string_view(this->buffer.data(), size), toEndpoint(source));
        }
    }

    Udp::socket socket;
    OnReceived onReceived;
    OnPortRefused onPortRefused;
    std::array<char, receiveBytes> buffer{};
    DatagramSocketCounts totals;
};

DatagramSocket::DatagramSocket(std::shared_ptr<State> state)
    : state(std::move(state))
{}

DatagramSocket::~DatagramSocket()
{
    this->close();
}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::open(boost::asio::io_context &context,
                                                             const Endpoint &listen)
{
    ErrorCode code;
    const auto address = boost::asio::ip::make_address(listen.address, code);
    if (code)
        return socketError(listen, code);
    const Udp::endpoint endpoint(address, listen.port);
    auto state = std::make_shared<State>(context);
    Udp::socket &socket = state->socket;
    if (socket.open(endpoint.protocol(), code); code)
        return socketError(listen, code);
    if (socket.bind(endpoint, code); code)
        return socketError(listen, code);
    if (socket.non_blocking(true, code); code)
        return socketError(listen, code);
    // The kernel may grant less; gossip repairs lost datagrams.
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(kernelBufferBytes), ignored);
    socket.set_option(boost::asio::socket_base::send_buffer_size(kernelBufferBytes), ignored);
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(state)));
}

void DatagramSocket::start(OnReceived onReceived, OnPortRefused onPortRefused)
{
    this->state->onReceived = std::move(onReceived);
    this->state->onPortRefused = std::move(onPortRefused);
    if (this->state->onPortRefused)
        this->state->enableErrorQueue();
    this->state->waitReadable();
}

void DatagramSocket::send(const Endpoint &to, std::string_view bytes)
{
    ErrorCode code;
    const auto address = boost::asio::ip::make_address(to.address, code);
    if (!code) {
        // The first attempt may return the pending error of an earlier datagram instead of sending.
        const Udp::endpoint destination(address, to.port);
        const auto buffer = boost::asio::buffer(bytes.data(), bytes.size());
        this->state->socket.send_to(buffer, destination, 0, code);
        if (code == boost::asio::error::connection_refused)
            this->state->socket.send_to(buffer, destination, 0, code);
    }
    if (code)
        ++this->state->totals.sendFailed;
    else
        ++this->state->totals.sent;
}

void DatagramSocket::close()
{
    ErrorCode ignored;
    this->state->socket.close(ignored);
}

Endpoint DatagramSocket::localEndpoint() const
{
    ErrorCode ignored;
    return toEndpoint(this->state->socket.local_endpoint(ignored));
}

DatagramSocketCounts DatagramSocket::counts() const
{
    return this->state->totals;
}

} // namespace bamboochute::peer
