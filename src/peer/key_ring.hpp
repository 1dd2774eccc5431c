/// @file
/// @brief Shared keys with which instances authenticate one another (HMAC-SHA256).
#pragma once

#include "core/error.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::peer {

/// Minimum size of a secret, in bytes.
constexpr std::size_t minSecretBytes = 16;
/// Maximum size of a secret, in bytes.
constexpr std::size_t maxSecretBytes = 64;
/// Maximum number of keys: the current one and, during a rotation, the next or former one.
constexpr std::size_t maxKeys = 2;
/// Size of an authentication tag, in bytes: HMAC-SHA256 truncated to 128 bits.
constexpr std::size_t tagBytes = 16;

using AuthenticationTag = std::array<std::uint8_t, tagBytes>;
using KeyId = std::uint8_t;

/// @brief A shared secret and the identifier by which messages refer to it.
struct SharedKey
{
    KeyId id = 0;
    std::string secret;
    auto operator<=>(const SharedKey &) const = default;
};

/// @brief One or two shared keys; the first one signs, all of them verify.
class KeyRing
{
public:
    /// @brief Checks the number of keys, their identifiers and the lengths of their secrets.
    /// @param keys signing key first
    /// @return the ring, or SettingInvalid; the message never contains a secret
    static Result<KeyRing> create(std::vector<SharedKey> keys);

    /// @brief Reads "ID:HEX" or "ID:HEX,ID:HEX" with identifiers from 0 to 255.
    /// @param text value of the setting
    /// @return the ring, or SettingInvalid; the message never contains a secret
    static Result<KeyRing> parse(std::string_view text);

    /// @brief Identifier of the signing key.
    KeyId signingKey() const noexcept { return this->keys.front().id; }

    /// @brief Computes the tag of a message with the signing key.
    /// @param message bytes that the tag covers
    /// @param context further bytes that the tag covers; both sides know them, so they are not sent
    AuthenticationTag sign(std::string_view message, std::string_view context) const;

    /// @brief Whether a tag matches message and context under a key; tags are compared in constant
    /// time.
    /// @return false also when the key is unknown
    bool verify(KeyId key, std::string_view message, std::string_view context,
                std::string_view tag) const;

private:
    explicit KeyRing(std::vector<SharedKey> keys)
        : keys(std::move(keys))
    {}

    std::vector<SharedKey> keys;
};

} // namespace bamboochute::peer
