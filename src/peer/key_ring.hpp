/// @file
/// @brief Keys by which instances authenticate one another (HMAC-SHA256).
#pragma once

#include "core/error.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Least bytes of a secret.
constexpr std::size_t minSecretBytes = 16;
/// Most bytes of a secret.
constexpr std::size_t maxSecretBytes = 64;
/// Keys that are accepted at a time: the present one and the next or former one.
constexpr std::size_t maxKeys = 2;
/// Bytes of an authentication tag: HMAC-SHA256 truncated to 128 bits.
constexpr std::size_t tagBytes = 16;

using AuthenticationTag = std::array<std::uint8_t, tagBytes>;
using KeyId = std::uint8_t;

/// @brief One shared secret and the number by which messages name it.
struct SharedKey
{
    KeyId id = 0;
    std::string secret;
    auto operator<=>(const SharedKey &) const = default;
};

/// @brief One or two shared keys; the first signs, each one verifies.
class KeyRing
{
public:
    /// @brief Checks the number of keys, their identifiers and the lengths of their secrets.
    /// @param keys signing key first
    /// @return the ring, or SettingInvalid; the message never holds a secret
    static Result<KeyRing> create(std::vector<SharedKey> keys);

    /// @brief Reads "ID:HEX" or "ID:HEX,ID:HEX" with identifiers from 0 to 255.
    /// @param text value of the setting
    /// @return the ring, or SettingInvalid; the message never holds a secret
    static Result<KeyRing> parse(std::string_view text);

    /// @brief Identifier of the key that signs.
    KeyId signingKey() const noexcept { return this->keys.front().id; }

    /// @brief Tag of a message under the signing key.
    /// @param message bytes that the tag covers
    /// @param context bytes that both sides know and that are not sent
    AuthenticationTag sign(std::string_view message, std::string_view context) const;

    /// @brief Whether the tag fits message and context under the key named; in constant time.
    bool verify(KeyId key, std::string_view message, std::string_view context,
                std::string_view tag) const;

private:
    explicit KeyRing(std::vector<SharedKey> keys)
        : keys(std::move(keys))
    {}

    std::vector<SharedKey> keys;
};

} // namespace bamboochute::peer
