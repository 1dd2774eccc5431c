#include "caller/generation_body.hpp"

#include "admission/router.hpp"

#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::caller {

namespace {

using nlohmann::json;

enum class ValueType { Null, Boolean, Number, String, Object, Array };

constexpr std::string_view typeName(ValueType type)
{
    switch (type) {
    case ValueType::Null:
        return "null";
    case ValueType::Boolean:
        return "a boolean";
    case ValueType::Number:
        return "a number";
    case ValueType::String:
        return "a string";
    case ValueType::Object:
        return "an object";
    case ValueType::Array:
        return "an array";
    }
    return "";
}

/// Handler of nlohmann's SAX parser, which prescribes the names of the public functions.
// NOLINTBEGIN(readability-identifier-naming)
class BodyHandler
{
public:
    BodyHandler(GenerationKind kind, std::size_t maxDepth)
        : kind(kind)
        , maxDepth(maxDepth)
    {}

    bool null() { return this->acceptValue(ValueType::Null); }
    bool boolean(bool given)
    {
        if (this->isMember("stream"))
            this->body.isStream = given;
        return this->acceptValue(ValueType::Boolean);
    }
    bool number_integer(std::int64_t) { return this->acceptValue(ValueType::Number); }
    bool number_unsigned(std::uint64_t) { return this->acceptValue(ValueType::Number); }
    bool number_float(double, const std::string &) { return this->acceptValue(ValueType::Number); }
    bool string(std::string &text)
    {
        if (this->isMember("model"))
            this->body.model = text;
        if (this->isInPrompt())
            this->appendPrompt(text);
        return this->acceptValue(ValueType::String);
    }
    bool binary(json::binary_t &) { return false; }
    bool start_object(std::size_t) { return this->enterContainer(ValueType::Object); }
    bool start_array(std::size_t) { return this->enterContainer(ValueType::Array); }
    bool end_object() { return this->leaveContainer(); }
    bool end_array() { return this->leaveContainer(); }
    bool key(std::string &name)
    {
        if (this->depth == 1)
            this->memberName = name;
        return true;
    }
    bool parse_error(std::size_t position, const std::string &, const json::exception &)
    {
        if (!this->error)
            this->error = Error(ErrorKind::MalformedJson,
                                fmt::format("the body is not JSON at byte {}", position));
        return false;
    }

    Result<GenerationBody> result();

private:
    bool isMember(std::string_view name) const
    {
        return this->depth == 1 && this->memberName == name;
    }
    bool isInPrompt() const
    {
        return this->kind == GenerationKind::Chat ? this->memberName == "messages"
                                                  : this->memberName == "prompt";
    }
    void appendPrompt(const std::string &text)
    {
        if (this->prompt.size() < admission::prefixBytes)
            this->prompt.append(text, 0, admission::prefixBytes - this->prompt.size());
    }

    bool acceptValue(ValueType type);
    bool checkMember(ValueType type);
    bool enterContainer(ValueType type);
    bool leaveContainer();
    bool rejectType(std::string_view wanted, ValueType type);

    GenerationKind kind;
    std::size_t maxDepth;
    std::size_t depth = 0;
    std::string memberName;
    std::string prompt;
    bool hasModel = false;
    bool hasPrompt = false;
    GenerationBody body;
    std::optional<Error> error;
};
// NOLINTEND(readability-identifier-naming)

bool BodyHandler::rejectType(std::string_view wanted, ValueType type)
{
    this->error = Error(
            ErrorKind::InvalidField,
            fmt::format("\"{}\" is {}; it must be {}", this->memberName, typeName(type), wanted),
            this->memberName);
    return false;
}

/// Checks the type of a member of the outermost object.
bool BodyHandler::checkMember(ValueType type)
{
    if (this->memberName == "model") {
        this->hasModel = true;
        return type == ValueType::String || this->rejectType("a string", type);
    }
    if (this->memberName == "stream")
        return type == ValueType::Boolean || type == ValueType::Null
               || this->rejectType("a boolean", type);
    if (this->memberName == "max_tokens" || this->memberName == "temperature")
        return type == ValueType::Number || type == ValueType::Null
               || this->rejectType("a number", type);
    if (this->kind == GenerationKind::Chat && this->memberName == "messages") {
        this->hasPrompt = true;
        return type == ValueType::Array || this->rejectType("an array", type);
    }
    if (this->kind == GenerationKind::Completion && this->memberName == "prompt") {
        this->hasPrompt = true;
        return type == ValueType::String || type == ValueType::Array
               || this->rejectType("a string or an array", type);
    }
    return true;
}

bool BodyHandler::acceptValue(ValueType type)
{
    if (this->depth == 0) {
        this->error = Error(ErrorKind::InvalidField,
                            fmt::format("the body is {}; it must be an object", typeName(type)));
        return false;
    }
    return this->depth != 1 || this->checkMember(type);
}

bool BodyHandler::enterContainer(ValueType type)
{
    if (this->depth == 0 && type != ValueType::Object)
        return this->acceptValue(type);
    if (this->depth == 1 && !this->checkMember(type))
        return false;
    ++this->depth;
    if (this->depth <= this->maxDepth)
        return true;
    this->error = Error(ErrorKind::JsonTooDeep,
                        fmt::format("the body nests deeper than {} levels", this->maxDepth),
                        this->memberName);
    return false;
}

bool BodyHandler::leaveContainer()
{
    --this->depth;
    return true;
}

Result<GenerationBody> BodyHandler::result()
{
    if (this->error)
        return *this->error;
    if (!this->hasModel || this->body.model.empty())
        return Error(ErrorKind::InvalidField, "\"model\" is missing or empty", "model");
    const std::string_view promptName = this->kind == GenerationKind::Chat ? "messages" : "prompt";
    if (!this->hasPrompt)
        return Error(ErrorKind::InvalidField, fmt::format("\"{}\" is missing", promptName),
                     std::string(promptName));
    this->body.prefixHash = admission::prefixHash(this->prompt);
    return this->body;
}

} // namespace

Result<GenerationBody> parseGenerationBody(std::string_view body, GenerationKind kind,
                                           std::size_t maxDepth)
{
    BodyHandler handler(kind, maxDepth);
    json::sax_parse(body.begin(), body.end(), &handler);
    return handler.result();
}

} // namespace bamboochute::caller
