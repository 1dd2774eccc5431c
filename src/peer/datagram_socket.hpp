/// @file
/// @brief UDP socket on the control thread that also tells which hosts refuse.
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

/// @brief Counts of a socket since it was opened.
struct DatagramSocketCounts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t sendFailed = 0;
    std::uint64_t refused = 0;
    auto operator<=>(const DatagramSocketCounts &) const = default;
};

/// @brief Sends and receives datagrams; used on the thread of its io_context only.
class DatagramSocket
{
public:
    using OnReceived = std::function<void(std::string_view bytes, const Endpoint &source)>;
    using OnPortRefused = std::function<void(const Endpoint &endpoint)>;

    /// @brief Opens and binds a socket.
    /// @param context of the control thread
    /// @param listen address and port; port 0 takes a free one
    static Result<std::unique_ptr<DatagramSocket>> open(boost::asio::io_context &context,
                                                        const Endpoint &listen);

    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// @brief Starts to receive.
    /// @param onReceived gets each datagram; the bytes are valid during the call only
    /// @param onRefused gets each endpoint whose host answered that no process is there; may be
    /// empty, and the kernel's errors are not read then
    void start(OnReceived onReceived, OnPortRefused onPortRefused);

    /// @brief Sends at once; what the kernel does not take is dropped and counted.
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
