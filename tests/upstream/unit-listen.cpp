#include "upstream/listen.hpp"

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
