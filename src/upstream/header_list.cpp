#include "upstream/header_list.hpp"

#include <algorithm>
#include <array>

namespace bamboochute::upstream {

namespace {

/// Capacity reserved with the first header, so that most messages need one allocation each for text
/// and offsets.
constexpr std::size_t initialTextBytes = 512;
constexpr std::size_t initialHeaderCount = 16;

char toLowerAscii(char character) noexcept
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                : character;
}

} // namespace

void HeaderList::add(std::string_view name, std::string_view value)
{
    if (this->offsets.empty()) {
        this->text.reserve(initialTextBytes);
        this->offsets.reserve(initialHeaderCount);
    }
    HeaderOffsets headerOffsets{};
    headerOffsets.nameBegin = static_cast<std::uint32_t>(this->text.size());
    this->text += name;
    headerOffsets.valueBegin = static_cast<std::uint32_t>(this->text.size());
    this->text += value;
    headerOffsets.valueEnd = static_cast<std::uint32_t>(this->text.size());
    this->offsets.push_back(headerOffsets);
}

void HeaderList::clear()
{
    this->text.clear();
    this->offsets.clear();
}

std::string_view HeaderList::find(std::string_view name) const
{
    for (std::size_t i = 0; i < this->offsets.size(); ++i) {
        const Header header = (*this)[i];
        if (sameHeaderName(header.name, name))
            return header.value;
    }
    return {};
}

std::size_t HeaderList::count(std::string_view name) const
{
    std::size_t found = 0;
    for (std::size_t i = 0; i < this->offsets.size(); ++i)
        found += sameHeaderName((*this)[i].name, name) ? 1 : 0;
    return found;
}

Header HeaderList::operator[](std::size_t index) const
{
    const HeaderOffsets &headerOffsets = this->offsets[index];
    const std::string_view all = this->text;
    return {all.substr(headerOffsets.nameBegin, headerOffsets.valueBegin - headerOffsets.nameBegin),
            all.substr(headerOffsets.valueBegin,
                       headerOffsets.valueEnd - headerOffsets.valueBegin)};
}

bool sameHeaderName(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

bool isHopByHop(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 9> names{
            "connection",          "keep-alive", "proxy-authenticate",
            "proxy-authorization", "te",         "trailer",
            "transfer-encoding",   "upgrade",    "proxy-connection",
    };
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view other) { return sameHeaderName(name, other); });
}

bool listContainsName(std::string_view list, std::string_view name) noexcept
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        const std::size_t begin = item.find_first_not_of(" \t");
        if (begin == std::string_view::npos)
            continue;
        item = item.substr(begin, item.find_last_not_of(" \t") - begin + 1);
        if (sameHeaderName(item, name))
            return true;
    }
    return false;
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace bamboochute::upstream
