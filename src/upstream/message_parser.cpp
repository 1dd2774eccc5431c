#include "upstream/message_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace bamboochute::upstream {

void ParsedMessage::clear()
{
    this->method.clear();
    this->target.clear();
    this->status = 0;
    this->version = 11;
    this->headers.clear();
    this->pieces.clear();
}

template<bool isRequest>
std::size_t MessageParser<isRequest>::feed(std::string_view input, boost::system::error_code &error)
{
    this->message.pieces.clear();
    error = {};
    if (input.empty())
        return 0;
    const std::size_t parsedBytes
            = this->put(boost::asio::buffer(input.data(), input.size()), error);
    if (error == http::error::need_more)
        error = {};
    return parsedBytes;
}

template<bool isRequest>
void MessageParser<isRequest>::on_request_impl(http::verb, StringView method, StringView target,
                                               int version, ErrorCode &)
{
    this->message.method.assign(method.data(), method.size());
    this->message.target.assign(target.data(), target.size());
    this->message.version = version;
}

template<bool isRequest>
void MessageParser<isRequest>::on_response_impl(int status, StringView, int version, ErrorCode &)
{
    this->message.status = status;
    this->message.version = version;
}

template<bool isRequest>
void MessageParser<isRequest>::on_field_impl(http::field, StringView name, StringView value,
                                             ErrorCode &)
{
    this->message.headers.add({name.data(), name.size()}, {value.data(), value.size()});
}

template<bool isRequest>
std::size_t MessageParser<isRequest>::on_body_impl(StringView body, ErrorCode &)
{
    if (!body.empty())
        this->message.pieces.emplace_back(body.data(), body.size());
    return body.size();
}

template<bool isRequest>
std::size_t MessageParser<isRequest>::on_chunk_body_impl(std::uint64_t, StringView body,
                                                         ErrorCode &)
{
    if (!body.empty())
        this->message.pieces.emplace_back(body.data(), body.size());
    return body.size();
}

template class MessageParser<true>;
template class MessageParser<false>;

} // namespace bamboochute::upstream
