/// @file
/// @brief Payload of a frame that carries a call or its answer: number, envelope and body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::peer {

/// Size of a call's number (big-endian), in bytes.
constexpr std::size_t callNumberBytes = 8;
/// Size of the envelope's length (big-endian), in bytes.
constexpr std::size_t envelopeLengthBytes = 4;

/// @brief A call or its answer; both carry the same number, unique on their connection.
struct CallPayload
{
    std::uint64_t number = 0;
    /// JSON-RPC message without parameters or result.
    std::string_view envelope;
    /// Parameters or result as CBOR.
    std::string_view body;
    auto operator<=>(const CallPayload &) const = default;
};

/// @brief Appends a number as a given count of big-endian bytes.
inline void appendBigEndian(std::string &bytes, std::uint64_t number, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i)
        bytes.push_back(static_cast<char>((number >> (8 * (i - 1))) & 0xff));
}

/// @brief Reads a big-endian number.
inline std::uint64_t readBigEndian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes)
        number = (number << 8) | static_cast<unsigned char>(byte);
    return number;
}

/// @brief Encodes a payload.
inline std::string encodeCallPayload(const CallPayload &call)
{
    std::string payload;
    payload.reserve(callNumberBytes + envelopeLengthBytes + call.envelope.size()
                    + call.body.size());
    appendBigEndian(payload, call.number, callNumberBytes);
    appendBigEndian(payload, call.envelope.size(), envelopeLengthBytes);
    payload.append(call.envelope);
    payload.append(call.body);
    return payload;
}

/// @brief Decodes a payload; the result refers to its bytes.
/// @return std::nullopt when the payload is too short
inline std::optional<CallPayload> decodeCallPayload(std::string_view payload)
{
    constexpr std::size_t fixedBytes = callNumberBytes + envelopeLengthBytes;
    if (payload.size() < fixedBytes)
        return std::nullopt;
    CallPayload call;
    call.number = readBigEndian(payload.substr(0, callNumberBytes));
    const std::uint64_t length
            = readBigEndian(payload.substr(callNumberBytes, envelopeLengthBytes));
    if (length > payload.size() - fixedBytes)
        return std::nullopt;
    call.envelope = payload.substr(fixedBytes, length);
    call.body = payload.substr(fixedBytes + length);
    return call;
}

} // namespace bamboochute::peer
