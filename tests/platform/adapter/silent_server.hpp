#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace bamboochute::adapter {

/// HTTP server with kept connections, all of which can fall silent for good while new ones work.
class SilentServer
{
public:
    /// Returns the body of the answer to a target, or an empty one while the answer has to wait.
    using Handler = std::function<std::string(const std::string &target)>;

    SilentServer(boost::asio::io_context &loop, Handler handler)
        : acceptor(loop, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , handler(std::move(handler))
    {
        boost::asio::co_spawn(loop, this->accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    /// Lets all present connections fall silent: nothing is read from them or written to them.
    void silence() { this->silentBelow = this->connections; }

    /// Lets the next connections be silent from their beginning.
    /// @param count number of them; zero for all later ones to work
    void silenceNext(int count) { this->silentBelow = this->connections + count; }

    int connections = 0;

private:
    using Tcp = boost::asio::ip::tcp;

    boost::asio::awaitable<void> accept()
    {
        boost::system::error_code error;
        while (!error) {
            auto socket = std::make_shared<Tcp::socket>(this->acceptor.get_executor());
            co_await this->acceptor.async_accept(
                    *socket, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (!error)
                boost::asio::co_spawn(this->acceptor.get_executor(),
                                      this->serve(socket, this->connections++),
                                      boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> socket, int number)
    {
        const auto token = [](boost::system::error_code &error) {
            return boost::asio::redirect_error(boost::asio::use_awaitable, error);
        };
        boost::asio::steady_timer timer(this->acceptor.get_executor());
        boost::system::error_code error;
        std::string received;
        while (!error) {
            const std::size_t size = co_await boost::asio::async_read_until(
                    *socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", token(error));
            const std::size_t begin = received.find(' ') + 1;
            const std::string target = received.substr(begin, received.find(' ', begin) - begin);
            std::string body;
            while (!error && number >= this->silentBelow && body.empty()) {
                body = this->handler(target);
                timer.expires_after(std::chrono::milliseconds(2));
                if (body.empty())
                    co_await timer.async_wait(token(error));
            }
            if (error)
                break;
            received.erase(0, size);
            if (number < this->silentBelow) {
                this->silentSockets.push_back(std::move(socket));
                break;
            }
            const std::string answer = fmt::format(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
            co_await boost::asio::async_write(*socket, boost::asio::buffer(answer), token(error));
        }
    }

    Tcp::acceptor acceptor;
    Handler handler;
    int silentBelow = 0;
    std::vector<std::shared_ptr<Tcp::socket>> silentSockets;
};

} // namespace bamboochute::adapter
