#include "admin/json_text.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Longest piece of a member's name that a message repeats.
constexpr std::size_t maxShownKeyLength = 64;

/// Watches the parser's events for depth and repeated members.
class ParseGuard
{
public:
    explicit ParseGuard(std::size_t maxDepth)
        : maxDepth(maxDepth)
    {}

    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        const auto level = static_cast<std::size_t>(depth);
        if (event == Event::object_start || event == Event::array_start)
            this->enter(level);
        if (event == Event::key && !this->error)
            this->noteKey(parsed.get_ref<const std::string &>());
        if (event == Event::object_end || event == Event::array_end)
            this->leave();
        return !this->error;
    }

    const std::optional<Error> &found() const { return this->error; }

private:
    void enter(std::size_t depth)
    {
        if (depth >= this->maxDepth && !this->error)
            this->error = Error(ErrorKind::JsonTooDeep,
                                fmt::format("the text nests arrays and objects more than {} deep",
                                            this->maxDepth));
        if (!this->error)
            this->keys.emplace_back();
    }

    void leave()
    {
        if (!this->error && !this->keys.empty())
            this->keys.pop_back();
    }

    void noteKey(const std::string &key)
    {
        std::vector<std::string> &seen = this->keys.back();
        if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
            const std::string shown = key.substr(0, maxShownKeyLength);
            this->error
                    = Error(ErrorKind::ConfigurationInvalid,
                            fmt::format("member \"{}\" stands twice in one object", shown), shown);
        }
        if (seen.size() == maxMembers && !this->error)
            this->error = Error(ErrorKind::ConfigurationInvalid,
                                fmt::format("an object has more than {} members", maxMembers));
        seen.push_back(key);
    }

    static constexpr std::size_t maxMembers = 256;

    std::size_t maxDepth;
    std::vector<std::vector<std::string>> keys;
    std::optional<Error> error;
};

/// What the parser says, without the library's prefix and without the text that it read last.
std::string describe(const nlohmann::json::parse_error &failure)
{
    return fmt::format("the text is not valid JSON: syntax error at byte {}", failure.byte);
}

} // namespace

Result<nlohmann::json> parseJson(std::string_view text, JsonLimits limits)
{
    if (text.size() > limits.maxBytes)
        return Error(ErrorKind::ConfigurationTooLarge,
                     fmt::format("the text has {} bytes; at most {} are allowed", text.size(),
                                 limits.maxBytes));
    ParseGuard guard(limits.maxDepth);
    try {
        nlohmann::json parsed = nlohmann::json::parse(text, std::ref(guard));
        if (guard.found())
            return *guard.found();
        return parsed;
    } catch (const nlohmann::json::parse_error &failure) {
        if (guard.found())
            return *guard.found();
        return Error(ErrorKind::MalformedJson, describe(failure));
    } catch (const nlohmann::json::out_of_range &) {
        return Error(ErrorKind::MalformedJson, "the text holds a number that is out of range");
    }
}

} // namespace bamboochute::admin
