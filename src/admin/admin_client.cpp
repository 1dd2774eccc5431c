#include "admin/admin_client.hpp"

#include <charconv>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t maxResponseBytes = 64 << 20;

/// One HTTP call, from connecting to reading the response.
class Call
{
public:
    Call(const AdminRequest &request, const Endpoint &endpoint)
        : stream(this->context)
        , request(http::string_to_verb(request.method), request.target, 11)
    {
        this->request.set(http::field::host, endpoint.address);
        this->request.set(http::field::accept, "application/json");
        if (!request.authorization.empty())
            this->request.set(http::field::authorization, request.authorization);
        this->request.body() = request.body;
        this->request.prepare_payload();
        this->request.keep_alive(false);
        this->parser.body_limit(maxResponseBytes);
    }

    beast::error_code run(const asio::ip::tcp::endpoint &remote, std::chrono::milliseconds timeout)
    {
        this->stream.expires_after(timeout);
        this->stream.async_connect(remote, [this](beast::error_code failure) {
            if (!this->recordFailure(failure))
                this->send();
        });
        this->context.run();
        return this->failure;
    }

    AdminResponse takeResponse()
    {
        auto &message = this->parser.get();
        const auto text = [](auto view) { return std::string(view.data(), view.size()); };
        AdminResponse response;
        response.status = static_cast<int>(message.result_int());
        response.contentType = text(message[http::field::content_type]);
        response.body = std::move(message.body());
        return response;
    }

private:
    bool recordFailure(beast::error_code code)
    {
        this->failure = code;
        return bool(code);
    }

    void send()
    {
        http::async_write(this->stream, this->request, [this](beast::error_code code, std::size_t) {
            // The server may reject the request before the whole body is sent; its response is read
            // even when the write failed.
            this->recordFailure(code);
            this->receive();
        });
    }

    void receive()
    {
        http::async_read(
                this->stream, this->buffer, this->parser,
                [this](beast::error_code code, std::size_t) { this->recordFailure(code); });
    }

    asio::io_context context;
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    beast::error_code failure;
};

} // namespace

Result<AdminResponse> callAdmin(const Endpoint &endpoint, const AdminRequest &request,
                                std::chrono::milliseconds timeout)
{
    beast::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (!failure) {
        Call call(request, endpoint);
        failure = call.run({address, endpoint.port}, timeout);
        if (!failure)
            return call.takeResponse();
    }
    return Error(ErrorKind::PeerUnreachable,
                 fmt::format("no response from the administration API at {}:{}: {}",
                             endpoint.address, endpoint.port, failure.message()));
}

} // namespace bamboochute::admin
