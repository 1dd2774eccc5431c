#include "core/digest.hpp"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace bamboochute {

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace bamboochute
