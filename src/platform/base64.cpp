#include "platform/base64.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <openssl/evp.h>

namespace bamboochute::platform {

namespace {

const unsigned char *unsignedBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto *target = reinterpret_cast<unsigned char *>(text.data());
    const int length
            = EVP_EncodeBlock(target, unsignedBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    if (text.empty())
        return std::string();
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    auto *target = reinterpret_cast<unsigned char *>(bytes.data());
    const int length = EVP_DecodeBlock(target, unsignedBytes(text), static_cast<int>(text.size()));
    if (length < 0 || text.size() % 4 != 0)
        return Error(ErrorKind::InvalidField,
                     fmt::format("text of {} characters is not base64", text.size()), "base64");
    const auto padding = static_cast<std::size_t>(std::count(text.end() - 2, text.end(), '='));
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace bamboochute::platform
