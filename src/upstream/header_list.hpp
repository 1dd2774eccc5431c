/// @file
/// @brief The headers of one HTTP message, stored in one string.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::upstream {

/// @brief Name and value of one header.
struct Header
{
    std::string_view name;
    std::string_view value;
};

/// @brief Headers in the order in which they were added; names are compared without regard to case.
class HeaderList
{
public:
    void add(std::string_view name, std::string_view value);
    void clear();

    /// @brief Value of the first header with a name; empty when there is none.
    std::string_view find(std::string_view name) const;
    /// @brief Whether there is a header with a name.
    bool contains(std::string_view name) const { return this->count(name) > 0; }
    /// @brief Number of headers with a name.
    std::size_t count(std::string_view name) const;

    std::size_t size() const noexcept { return this->offsets.size(); }
    /// @brief Memory that the headers take, in bytes.
    std::size_t heldBytes() const noexcept
    {
        return this->text.capacity() + this->offsets.capacity() * sizeof(HeaderOffsets);
    }
    /// @brief The header at an index below size(); valid until the list changes.
    Header operator[](std::size_t index) const;

private:
    /// Offsets of one header in the text; the name ends where the value begins.
    struct HeaderOffsets
    {
        std::uint32_t nameBegin;
        std::uint32_t valueBegin;
        std::uint32_t valueEnd;
    };

    std::string text;
    std::vector<HeaderOffsets> offsets;
};

/// @brief Whether two header names are equal without regard to case.
bool sameHeaderName(std::string_view left, std::string_view right) noexcept;

/// @brief Whether a header is hop-by-hop: it belongs to one connection and is never forwarded.
bool isHopByHop(std::string_view name) noexcept;

/// @brief Whether a comma-separated list of names, such as Connection's value, contains a name.
bool listContainsName(std::string_view list, std::string_view name) noexcept;

/// @brief Appends a header line, "name: value" and CRLF.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

} // namespace bamboochute::upstream
