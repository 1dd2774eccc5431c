/// @file
/// @brief UDP socket on the control thread that also reports unreachable ports (ICMP).
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace bamboochute::peer {

/// @brief Datagram counts of a socket since it was opened.
struct DatagramSocketCounts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    /// Datagrams that the kernel did not accept.
    std::uint64_t sendFailed = 0;
    /// ICMP messages that report an unreachable port.
    std::uint64_t refused = 0;
    auto operator<=>(const DatagramSocketCounts &) const = default;
};

/// @brief Sends and receives datagrams; not thread-safe, used on the thread of its io_context only.
class DatagramSocket
{
public:
    using OnReceived = std::function<void(std::string_view bytes, const Endpoint &source)>;
    using OnPortRefused = std::function<void(const Endpoint &endpoint)>;

    /// @brief Opens and binds a socket.
    /// @param context io_context of the control thread
    /// @param listen address and port; with port 0 the system assigns a free port
    /// @return the socket, or SettingInvalid when the address is invalid or can't be bound
    static Result<std::unique_ptr<DatagramSocket>> open(boost::asio::io_context &context,
                                                        const Endpoint &listen);

    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// @brief Starts receiving.
    /// @param onReceived called with each datagram; the bytes are valid during the call only
    /// @param onPortRefused called with each endpoint whose host reported that no process listens
    ///        there; when empty, ICMP errors are not read
    void start(OnReceived onReceived, OnPortRefused onPortRefused);

    /// @brief Sends a datagram without blocking; one that the kernel does not accept is dropped and
    /// counted.
    void send(const Endpoint &to, std::string_view bytes);

    /// @brief Stops receiving and closes the socket.
    void close();

    /// @brief Address and port that the socket is bound to.
    Endpoint localEndpoint() const;

    DatagramSocketCounts counts() const;

private:
    struct State;
    explicit DatagramSocket(std::shared_ptr<State> state);
    std::shared_ptr<State> state;
};

} // namespace bamboochute::peer
