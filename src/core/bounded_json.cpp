#include "core/bounded_json.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace bamboochute {

namespace {

using Json = nlohmann::json;

/// SAX handler that builds the document and stops where arrays and objects are nested too deeply.
///
/// The JSON library's parser callback is not used: it takes quadratic time in the length of an
/// array, and isn't called for the binary forms.
class BoundedBuilder
{
public:
    BoundedBuilder(Json &root, std::size_t maxDepth)
        : root(root)
        , maxDepth(maxDepth)
    {}

    // The names are prescribed by the SAX interface of the JSON library.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() { return this->add(nullptr); }
    bool boolean(bool value) { return this->add(value); }
    bool number_integer(Json::number_integer_t value) { return this->add(value); }
    bool number_unsigned(Json::number_unsigned_t value) { return this->add(value); }
    bool number_float(Json::number_float_t value, const std::string &) { return this->add(value); }
    bool string(std::string &value) { return this->add(std::move(value)); }
    bool binary(Json::binary_t &value) { return this->add(std::move(value)); }
    bool start_object(std::size_t) { return this->enter(Json::object()); }
    bool end_object() { return this->leave(); }
    bool start_array(std::size_t) { return this->enter(Json::array()); }
    bool end_array() { return this->leave(); }
    bool key(std::string &name)
    {
        this->member = &(*this->open.back())[std::move(name)];
        return true;
    }
    bool parse_error(std::size_t position, const std::string &, const Json::exception &)
    {
        // The library's message quotes the text, which may be a key.
        this->error = fmt::format("syntax error at byte {}", position);
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

    const std::string &firstError() const { return this->error; }

private:
    /// Puts a value where the text is now: at the top, into an array, or as the last member.
    template<typename Value>
    Json *place(Value &&value)
    {
        if (this->open.empty()) {
            this->root = Json(std::forward<Value>(value));
            return &this->root;
        }
        if (this->open.back()->is_array())
            return &this->open.back()->emplace_back(std::forward<Value>(value));
        *this->member = Json(std::forward<Value>(value));
        return this->member;
    }

    template<typename Value>
    bool add(Value &&value)
    {
        this->place(std::forward<Value>(value));
        return true;
    }

    bool enter(Json container)
    {
        if (this->open.size() == this->maxDepth) {
            this->error = fmt::format("the text nests arrays and objects more than {} deep",
                                      this->maxDepth);
            return false;
        }
        this->open.push_back(this->place(std::move(container)));
        return true;
    }

    bool leave()
    {
        this->open.pop_back();
        return true;
    }

    Json &root;
    std::size_t maxDepth;
    /// The arrays and objects around the present place. None of them grows while an inner one is
    /// open, so that the pointers stay valid.
    std::vector<Json *> open;
    Json *member = nullptr;
    std::string error;
};

std::string shortened(std::string_view message)
{
    if (message.size() <= maxJsonErrorBytes)
        return std::string(message);
    constexpr std::string_view mark = "...";
    return std::string(message.substr(0, maxJsonErrorBytes - mark.size())) + std::string(mark);
}

} // namespace

JsonBoundsError::JsonBoundsError(std::string_view message)
    : std::runtime_error(shortened(message))
{}

Json parseBoundedJson(std::string_view text, const JsonBounds &bounds, Json::input_format_t format)
{
    if (text.size() > bounds.maxBytes)
        throw JsonBoundsError(fmt::format("the text has {} bytes; at most {} are allowed",
                                          text.size(), bounds.maxBytes));
    Json parsed;
    BoundedBuilder builder(parsed, bounds.maxDepth);
    if (!Json::sax_parse(text.begin(), text.end(), &builder, format))
        throw JsonBoundsError(builder.firstError());
    return parsed;
}

std::optional<Json> tryParseBoundedJson(std::string_view text, const JsonBounds &bounds,
                                        Json::input_format_t format)
{
    try {
        return parseBoundedJson(text, bounds, format);
    } catch (const JsonBoundsError &) {
        return std::nullopt;
    }
}

const Json &readList(const Json &value)
{
    if (!value.is_array())
        throw JsonBoundsError("value is not a list");
    return value;
}

double readFinite(const Json &value)
{
    if (!value.is_number() || !std::isfinite(value.get<double>()))
        throw JsonBoundsError("value is not a finite number");
    return value.get<double>();
}

} // namespace bamboochute
