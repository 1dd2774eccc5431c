#include "admin/json_text.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Longest piece of a member's name that a message repeats.
constexpr std::size_t maxShownKeyLength = 64;

/// Reads the text once without keeping it, for depth, number of values and repeated members.
///
/// The library's own filter for parsing takes time quadratic in the length of an array.
class ParseGuard
{
public:
    explicit ParseGuard(std::size_t maxDepth)
        : maxDepth(maxDepth)
    {}

    // The names are those of the library's interface.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() { return this->countValue(); }
    bool boolean(bool) { return this->countValue(); }
    bool number_integer(nlohmann::json::number_integer_t) { return this->countValue(); }
    bool number_unsigned(nlohmann::json::number_unsigned_t) { return this->countValue(); }
    bool number_float(nlohmann::json::number_float_t, const std::string &)
    {
        return this->countValue();
    }
    bool string(std::string &) { return this->countValue(); }
    bool binary(nlohmann::json::binary_t &) { return this->countValue(); }
    bool start_object(std::size_t) { return this->enter(); }
    bool end_object() { return this->leave(); }
    bool start_array(std::size_t) { return this->enter(); }
    bool end_array() { return this->leave(); }
    bool key(std::string &name)
    {
        std::vector<std::string> &seen = this->keys[this->depth - 1];
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
            const std::string shown = name.substr(0, maxShownKeyLength);
            return this->fail(Error(ErrorKind::ConfigurationInvalid,
                                    fmt::format("member \"{}\" stands twice in one object", shown),
                                    shown));
        }
        if (seen.size() == maxMembers)
            return this->fail(Error(ErrorKind::ConfigurationInvalid,
                                    fmt::format("an object has more than {} members", maxMembers)));
        seen.push_back(name);
        return true;
    }
    bool parse_error(std::size_t place, const std::string &, const nlohmann::json::exception &)
    {
        return this->fail(
                Error(ErrorKind::MalformedJson,
                      fmt::format("the text is not valid JSON: error at byte {}", place)));
    }
    // NOLINTEND(readability-identifier-naming)

    const std::optional<Error> &found() const { return this->error; }

private:
    bool fail(Error failure)
    {
        this->error = std::move(failure);
        return false;
    }

    bool countValue()
    {
        if (++this->values <= maxValues)
            return true;
        return this->fail(Error(ErrorKind::ConfigurationTooLarge,
                                fmt::format("the text has more than {} values", maxValues)));
    }

    bool enter()
    {
        if (this->depth == this->maxDepth)
            return this->fail(
                    Error(ErrorKind::JsonTooDeep,
                          fmt::format("the text nests arrays and objects more than {} deep",
                                      this->maxDepth)));
        ++this->depth;
        if (this->keys.size() < this->depth)
            this->keys.emplace_back();
        this->keys[this->depth - 1].clear();
        return this->countValue();
    }

    bool leave()
    {
        --this->depth;
        return true;
    }

    static constexpr std::size_t maxMembers = 256;
    static constexpr std::size_t maxValues = 1000000;

    std::size_t maxDepth;
    std::size_t depth = 0;
    std::size_t values = 0;
    /// Members of the objects around the place, by depth.
    std::vector<std::vector<std::string>> keys;
    std::optional<Error> error;
};

} // namespace

Result<nlohmann::json> parseJson(std::string_view text, JsonLimits limits)
{
    if (text.size() > limits.maxBytes)
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("the text has {} bytes; at most {} are allowed", text.size(),
                                 limits.maxBytes));
    ParseGuard guard(limits.maxDepth);
    const bool isValid = nlohmann::json::sax_parse(text, &guard);
    if (!isValid)
        return guard.found().value_or(
                Error(ErrorKind::MalformedJson, "the text is not valid JSON"));
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bamboochute::admin
