#include "admin/json_text.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Most characters of a member's name that an error message quotes.
constexpr std::size_t maxShownKeyLength = 64;

/// SAX handler that checks nesting depth, number of values and duplicate members without building
/// the document.
///
/// The JSON library's parser callback is not used: it takes quadratic time in the length of an
/// array.
class JsonLimitChecker
{
public:
    explicit JsonLimitChecker(std::size_t maxDepth)
        : maxDepth(maxDepth)
    {}

    // The names are prescribed by the SAX interface of the JSON library.
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
    bool start_object(std::size_t) { return this->enterContainer(); }
    bool end_object() { return this->leaveContainer(); }
    bool start_array(std::size_t) { return this->enterContainer(); }
    bool end_array() { return this->leaveContainer(); }
    bool key(std::string &name)
    {
        std::vector<std::string> &seen = this->keys[this->depth - 1];
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
            const std::string shown = name.substr(0, maxShownKeyLength);
            return this->fail(
                    Error(ErrorKind::ConfigurationInvalid,
                          fmt::format("member \"{}\" is given twice in one object", shown), shown));
        }
        if (seen.size() == maxMembers)
            return this->fail(Error(ErrorKind::ConfigurationInvalid,
                                    fmt::format("an object has more than {} members", maxMembers)));
        seen.push_back(name);
        return true;
    }
    bool parse_error(std::size_t byteOffset, const std::string &, const nlohmann::json::exception &)
    {
        return this->fail(
                Error(ErrorKind::MalformedJson,
                      fmt::format("the text is not valid JSON: error at byte {}", byteOffset)));
    }
    // NOLINTEND(readability-identifier-naming)

    const std::optional<Error> &firstError() const { return this->error; }

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

    bool enterContainer()
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

    bool leaveContainer()
    {
        --this->depth;
        return true;
    }

    static constexpr std::size_t maxMembers = 256;
    static constexpr std::size_t maxValues = 1000000;

    std::size_t maxDepth;
    std::size_t depth = 0;
    std::size_t values = 0;
    /// Members read so far of the objects that enclose the current position, by depth.
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
    JsonLimitChecker checker(limits.maxDepth);
    const bool isValid = nlohmann::json::sax_parse(text, &checker);
    if (!isValid)
        return checker.firstError().value_or(
                Error(ErrorKind::MalformedJson, "the text is not valid JSON"));
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bamboochute::admin
