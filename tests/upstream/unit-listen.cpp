#include "upstream/listen.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <doctest/doctest.h>

using namespace bamboochute;

namespace {

/// Size of the receive buffer of a new listener, which its connections inherit.
/// @param inbound bounds of the process; unset to ask for the system's own size
int receiveBufferOf(const std::optional<InboundLimits> &inbound)
{
    upstream::asio::io_context loop;
    upstream::Acceptor acceptor(loop);
    Metrics metrics;
    if (inbound) {
        const InboundBudget budget(*inbound, metrics);
        REQUIRE(upstream::listenOn(acceptor, {"127.0.0.1", 0}, 1, budget));
    } else {
        acceptor.open(upstream::asio::ip::tcp::v4());
    }
    upstream::asio::socket_base::receive_buffer_size size;
    acceptor.get_option(size);
    return size.value();
}

} // namespace

/// Bytes that the kernel takes for a connection before it can send them; zero for no bound.
int unsentBytesOf(upstream::Socket &socket)
{
    int bytes = 0;
    socklen_t size = sizeof bytes;
    REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, &size)
            == 0);
    return bytes;
}

// Guards against large bodies that take long from afar where nobody has asked for a bound.
TEST_CASE("the receive buffer of connections is bounded with the memory of the process")
{
    constexpr std::size_t machineBytes = 112 << 20;

    SUBCASE("where the memory has a bound")
    {
        CHECK(receiveBufferOf(InboundLimits{machineBytes, 0}) == receiveBufferBytes);
    }
    SUBCASE("and left to the system where it has none")
    {
        CHECK(receiveBufferOf(InboundLimits{}) == receiveBufferOf(std::nullopt));
    }
}

// Guards against answers that the kernel keeps for peers who don't read, where no budget sees them.
TEST_CASE("connections inherit the bound of what the kernel takes of an answer")
{
    upstream::asio::io_context loop;
    upstream::Acceptor acceptor(loop);
    Metrics metrics;
    const InboundBudget budget(InboundLimits{112 << 20, 0}, metrics);
    const Result<Endpoint> at = upstream::listenOn(acceptor, {"127.0.0.1", 0}, 1, budget);
    REQUIRE(at);
    upstream::Socket peer(loop);
    peer.connect({upstream::asio::ip::make_address("127.0.0.1"), at.value().port});
    upstream::Socket accepted = acceptor.accept();
    CHECK(unsentBytesOf(accepted) == unsentBytes);
}
