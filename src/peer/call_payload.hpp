/// @file
/// @brief Payload of a frame that carries a call or its answer: a number and a text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::peer {

/// Bytes of a call's number, the highest first.
constexpr std::size_t callNumberBytes = 8;

/// @brief A call or an answer; the number ties one to the other on a connection.
struct CallPayload
{
    std::uint64_t number = 0;
    std::string_view text;
    auto operator<=>(const CallPayload &) const = default;
};

/// @brief Joins number and text.
inline std::string writeCallPayload(std::uint64_t number, std::string_view text)
{
    std::string payload;
    payload.reserve(callNumberBytes + text.size());
    for (std::size_t i = callNumberBytes; i > 0; --i)
        payload.push_back(static_cast<char>((number >> (8 * (i - 1))) & 0xff));
    payload.append(text);
    return payload;
}

/// @brief Splits a payload; nothing when it is too short.
inline std::optional<CallPayload> readCallPayload(std::string_view payload)
{
    if (payload.size() < callNumberBytes)
        return std::nullopt;
    CallPayload call;
    for (const char byte : payload.substr(0, callNumberBytes))
        call.number = (call.number << 8) | static_cast<unsigned char>(byte);
    call.text = payload.substr(callNumberBytes);
    return call;
}

} // namespace bamboochute::peer
