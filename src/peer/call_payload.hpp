/// @file
/// @brief Payload of a frame that carries a call or its answer: number, envelope and body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::peer {

/// Bytes of a call's number, the highest first.
constexpr std::size_t callNumberBytes = 8;
/// Bytes of the envelope's length, the highest first.
constexpr std::size_t envelopeLengthBytes = 4;

/// @brief A call or an answer; the number ties one to the other on a connection.
struct CallPayload
{
    std::uint64_t number = 0;
    /// JSON-RPC without parameters or result.
    std::string_view envelope;
    /// Parameters or result as CBOR.
    std::string_view body;
    auto operator<=>(const CallPayload &) const = default;
};

/// @brief Appends a number, the highest byte first.
inline void appendNumber(std::string &bytes, std::uint64_t number, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i)
        bytes.push_back(static_cast<char>((number >> (8 * (i - 1))) & 0xff));
}

/// @brief Reads a number, the highest byte first.
inline std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes)
        number = (number << 8) | static_cast<unsigned char>(byte);
    return number;
}

/// @brief Joins the parts of a payload.
inline std::string writeCallPayload(const CallPayload &call)
{
    std::string payload;
    payload.reserve(callNumberBytes + envelopeLengthBytes + call.envelope.size()
                    + call.body.size());
    appendNumber(payload, call.number, callNumberBytes);
    appendNumber(payload, call.envelope.size(), envelopeLengthBytes);
    payload.append(call.envelope);
    payload.append(call.body);
    return payload;
}

/// @brief Splits a payload; nothing when it is too short.
inline std::optional<CallPayload> readCallPayload(std::string_view payload)
{
    constexpr std::size_t fixedBytes = callNumberBytes + envelopeLengthBytes;
    if (payload.size() < fixedBytes)
        return std::nullopt;
    CallPayload call;
    call.number = readNumber(payload.substr(0, callNumberBytes));
    const std::uint64_t length = readNumber(payload.substr(callNumberBytes, envelopeLengthBytes));
    if (length > payload.size() - fixedBytes)
        return std::nullopt;
    call.envelope = payload.substr(fixedBytes, length);
    call.body = payload.substr(fixedBytes + length);
    return call;
}

} // namespace bamboochute::peer
