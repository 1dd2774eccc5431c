#include "peer/key_ring.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace bamboochute::peer {

namespace {

constexpr std::size_t digestBytes = 32;

Error settingError(std::string message)
{
    return Error(ErrorKind::SettingInvalid, std::move(message), "peer-keys");
}

std::optional<std::string> decodeHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        std::uint8_t byte = 0;
        const char *end = text.data() + i + 2;
        const auto [parsedTo, failure] = std::from_chars(text.data() + i, end, byte, 16);
        if (failure != std::errc() || parsedTo != end)
            return std::nullopt;
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

Result<SharedKey> parseKey(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return settingError("a peer key has no \":\"; it must have the form ID:HEX");
    KeyId id = 0;
    const char *idEnd = text.data() + colon;
    const auto [parsedTo, failure] = std::from_chars(text.data(), idEnd, id);
    if (failure != std::errc() || parsedTo != idEnd)
        return settingError("the identifier of a peer key must be a number from 0 to 255");
    std::optional<std::string> secret = decodeHex(text.substr(colon + 1));
    if (!secret)
        return settingError(fmt::format("the secret of peer key {} is not hexadecimal", id));
    return SharedKey{id, std::move(*secret)};
}

std::array<std::uint8_t, digestBytes> hmac(const std::string &secret, std::string_view message,
                                           std::string_view context)
{
    std::string covered;
    covered.reserve(message.size() + context.size());
    covered.append(context);
    covered.append(message);
    std::array<std::uint8_t, digestBytes> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(covered.data()), covered.size(), digest.data(),
         &length);
    return digest;
}

} // namespace

Result<KeyRing> KeyRing::create(std::vector<SharedKey> keys)
{
    if (keys.empty() || keys.size() > maxKeys)
        return settingError(
                fmt::format("{} peer keys are set; 1 to {} are allowed", keys.size(), maxKeys));
    for (const SharedKey &key : keys) {
        if (key.secret.size() < minSecretBytes || key.secret.size() > maxSecretBytes)
            return settingError(fmt::format("the secret of peer key {} has {} bytes; {} to {} are "
                                            "allowed",
                                            key.id, key.secret.size(), minSecretBytes,
                                            maxSecretBytes));
    }
    if (keys.size() == maxKeys && keys.front().id == keys.back().id)
        return settingError(fmt::format("two peer keys have the identifier {}", keys.front().id));
    return KeyRing(std::move(keys));
}

Result<KeyRing> KeyRing::parse(std::string_view text)
{
    std::vector<SharedKey> keys;
    while (true) {
        const std::size_t comma = text.find(',');
        BOOST_OUTCOME_TRY(key, parseKey(text.substr(0, comma)));
        keys.push_back(std::move(key));
        if (comma == std::string_view::npos || keys.size() > maxKeys)
            break;
        text.remove_prefix(comma + 1);
    }
    return create(std::move(keys));
}

AuthenticationTag KeyRing::sign(std::string_view message, std::string_view context) const
{
    const auto digest = hmac(this->keys.front().secret, message, context);
    AuthenticationTag tag{};
    std::copy_n(digest.begin(), tag.size(), tag.begin());
    return tag;
}

bool KeyRing::verify(KeyId key, std::string_view message, std::string_view context,
                     std::string_view tag) const
{
    const auto found = std::find_if(this->keys.begin(), this->keys.end(),
                                    [key](const SharedKey &known) { return known.id == key; });
    if (found == this->keys.end() || tag.size() != tagBytes)
        return false;
    const auto digest = hmac(found->secret, message, context);
    return CRYPTO_memcmp(digest.data(), tag.data(), tagBytes) == 0;
}

} // namespace bamboochute::peer
