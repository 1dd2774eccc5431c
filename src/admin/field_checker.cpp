#include "admin/field_checker.hpp"

#include <algorithm>
#include <string_view>

#include <arpa/inet.h>

namespace bamboochute::admin {

namespace {

constexpr std::size_t credentialHashLength = 64;
/// Most characters of an invalid value that an error message quotes.
constexpr std::size_t maxShownNameLength = 64;

bool isNameCharacter(char c)
{
    const bool isAlphanumeric
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || std::string_view("._@:-").find(c) != std::string_view::npos;
}

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isPathCharacter(char c)
{
    return isNameCharacter(c) || c == '/' || c == '~';
}

std::string quoteForMessage(const std::string &text)
{
    std::string shown;
    for (const char c : text.substr(0, maxShownNameLength))
        shown += c >= ' ' && c <= '~' ? c : '?';
    return fmt::format("\"{}{}\"", shown, text.size() > maxShownNameLength ? "..." : "");
}

} // namespace

void FieldChecker::hash(const char *field, const std::string &text, Presence presence)
{
    if (presence == Presence::Optional && text.empty())
        return;
    const bool isHash = text.size() == credentialHashLength
                        && std::all_of(text.begin(), text.end(), isLowerHex);
    if (!isHash)
        this->recordError(this->pathOf(field), "not shown",
                          "the SHA-256 of the credential, 64 lower-case hexadecimal digits");
}

void FieldChecker::address(const char *field, const std::string &text)
{
    in6_addr binary{};
    const bool isAddress = inet_pton(AF_INET, text.c_str(), &binary) == 1
                           || inet_pton(AF_INET6, text.c_str(), &binary) == 1;
    if (!isAddress)
        this->recordError(this->pathOf(field), quoteForMessage(text), "an IP address");
}

void FieldChecker::pathPrefix(const char *field, const std::string &text)
{
    const bool isPath = text.starts_with('/') && text.size() <= maxPathPrefixLength
                        && std::all_of(text.begin(), text.end(), isPathCharacter);
    if (!isPath)
        this->recordError(this->pathOf(field), quoteForMessage(text),
                          fmt::format("a path that begins with \"/\" and has at most {} characters",
                                      maxPathPrefixLength));
}

void FieldChecker::methods(const char *field, const std::vector<std::string> &methods)
{
    this->checkSize(field, methods.size(), maxMethodsOfRoute);
    for (std::size_t i = 0; i < methods.size(); ++i) {
        const bool isKnown = std::find(knownMethods.begin(), knownMethods.end(), methods[i])
                             != knownMethods.end();
        if (!isKnown)
            this->recordError(fmt::format("{}[{}]", this->pathOf(field), i),
                              quoteForMessage(methods[i]),
                              fmt::format("one of {}", fmt::join(knownMethods, ", ")));
    }
}

void FieldChecker::checkName(const std::string &fieldPath, const std::string &text)
{
    const bool isValidName = !text.empty() && text.size() <= maxNameLength
                             && std::all_of(text.begin(), text.end(), isNameCharacter);
    if (!isValidName)
        this->recordError(
                fieldPath, quoteForMessage(text),
                fmt::format("1 to {} letters, digits or any of . _ @ : -", maxNameLength));
}

void FieldChecker::checkSize(const char *field, std::size_t size, std::size_t maxSize)
{
    if (size > maxSize)
        this->recordError(this->pathOf(field), fmt::format("a list of {}", size),
                          fmt::format("a list of at most {}", maxSize));
}

std::string FieldChecker::pathOf(const char *field) const
{
    return this->path.empty() ? std::string(field) : fmt::format("{}.{}", this->path, field);
}

void FieldChecker::recordError(const std::string &fieldPath, const std::string &value,
                               const std::string &requirement)
{
    if (!this->error)
        this->error = Error(ErrorKind::ConfigurationInvalid,
                            fmt::format("{} is {}; it must be {}", fieldPath, value, requirement),
                            fieldPath);
}

} // namespace bamboochute::admin
