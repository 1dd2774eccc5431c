/// @file
/// @brief The headers of one HTTP message, kept in one text.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::upstream {

/// @brief One header.
struct Header
{
    std::string_view name;
    std::string_view value;
};

/// @brief Headers in the order of their arrival; names compare without regard to case.
class HeaderList
{
public:
    void add(std::string_view name, std::string_view value);
    void clear();

    /// @brief Value of the first header with a name; empty when there is none.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const { return this->count(name) > 0; }
    std::size_t count(std::string_view name) const;

    std::size_t size() const noexcept { return this->places.size(); }
    /// @brief The header at an index below size(); valid until the list changes.
    Header operator[](std::size_t index) const;

private:
    struct Place
    {
        std::uint32_t nameBegin;
        std::uint32_t valueBegin;
        std::uint32_t valueEnd;
    };

    std::string text;
    std::vector<Place> places;
};

/// @brief Whether two header names are the same.
bool sameHeaderName(std::string_view left, std::string_view right) noexcept;

/// @brief Whether a header belongs to one connection and is never passed on.
bool isHopByHop(std::string_view name) noexcept;

/// @brief Whether a comma-separated list, such as the value of Connection, names a header.
bool listContainsName(std::string_view list, std::string_view name) noexcept;

/// @brief Appends "name: value" and the end of the line.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

} // namespace bamboochute::upstream
