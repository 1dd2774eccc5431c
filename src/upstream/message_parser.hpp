/// @file
/// @brief Parses HTTP/1.1 messages with Boost.Beast, without copying their bodies.
#pragma once

#include "upstream/header_list.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/basic_parser.hpp>

namespace bamboochute::upstream {

namespace http = boost::beast::http;

/// @brief The parts of a message that have been parsed so far.
struct ParsedMessage
{
    std::string method;
    std::string target;
    int status = 0;
    /// HTTP version: 10 for 1.0, 11 for 1.1.
    int version = 11;
    HeaderList headers;
    /// Pieces of the body that the last feed() found; they point into its input.
    std::vector<std::string_view> pieces;

    void clear();

    /// @brief Memory that the parts take beside the input, in bytes.
    std::size_t heldBytes() const noexcept
    {
        return this->target.capacity() + this->headers.heldBytes()
               + this->pieces.capacity() * sizeof(std::string_view);
    }
};

/// @brief Parses one message into a ParsedMessage that the parser doesn't own.
template<bool isRequest>
class MessageParser : public http::basic_parser<isRequest>
{
public:
    /// @param message cleared, then filled; must outlive the parser
    explicit MessageParser(ParsedMessage &message)
        : message(message)
    {
        this->message.clear();
        this->eager(true);
    }

    /// @brief Parses received bytes.
    /// @param input bytes received and not yet parsed
    /// @param error set only when the message is malformed; an incomplete one is no error
    /// @return number of bytes parsed
    std::size_t feed(std::string_view input, boost::system::error_code &error);

private:
    using StringView = boost::beast::string_view;
    using ErrorCode = boost::system::error_code;

    void on_request_impl(http::verb, StringView method, StringView target, int version,
                         ErrorCode &) override;
    void on_response_impl(int status, StringView, int version, ErrorCode &) override;
    void on_field_impl(http::field, StringView name, StringView value, ErrorCode &) override;
    void on_header_impl(ErrorCode &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override {}
    std::size_t on_body_impl(StringView body, ErrorCode &) override;
    void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, StringView body, ErrorCode &) override;
    void on_finish_impl(ErrorCode &) override {}

    ParsedMessage &message;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

extern template class MessageParser<true>;
extern template class MessageParser<false>;

} // namespace bamboochute::upstream
