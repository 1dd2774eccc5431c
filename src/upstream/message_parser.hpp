/// @file
/// @brief HTTP/1.1 messages by Boost.Beast's parser, without copies of bodies.
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

/// @brief What a parser has found of a message so far.
struct ParsedMessage
{
    std::string method;
    std::string target;
    int status = 0;
    int version = 11;
    HeaderList headers;
    /// Pieces of the body that the last put() found; they point into its input.
    std::vector<std::string_view> pieces;

    void clear();
};

/// @brief Parser of one message that writes into a ParsedMessage of the caller's.
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

    /// @brief Parses what was read.
    /// @return bytes used; error is set only when the message is malformed
    std::size_t feed(std::string_view input, boost::system::error_code &error);

private:
    using Text = boost::beast::string_view;
    using Code = boost::system::error_code;

    void on_request_impl(http::verb, Text method, Text target, int version, Code &) override;
    void on_response_impl(int status, Text, int version, Code &) override;
    void on_field_impl(http::field, Text name, Text value, Code &) override;
    void on_header_impl(Code &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Code &) override {}
    std::size_t on_body_impl(Text body, Code &) override;
    void on_chunk_header_impl(std::uint64_t, Text, Code &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, Code &) override;
    void on_finish_impl(Code &) override {}

    ParsedMessage &message;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

extern template class MessageParser<true>;
extern template class MessageParser<false>;

} // namespace bamboochute::upstream
