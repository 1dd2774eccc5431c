#include "admin/field_reader.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Most characters of an invalid value or an unknown field's name that an error message quotes.
constexpr std::size_t maxShownValueLength = 64;

std::string formatValue(const nlohmann::json &value)
{
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return fmt::format("a list of {}", value.size());
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxShownValueLength)
        text = text.substr(0, maxShownValueLength) + "...";
    return text;
}

std::string hashField()
{
    return "credentialHash";
}

} // namespace

FieldReader::FieldReader(const nlohmann::json &json, std::string path, std::optional<Error> &error)
    : json(json)
    , path(std::move(path))
    , error(error)
{
    if (!json.is_object())
        this->recordError(this->path,
                          fmt::format("{} is {}; it must be an object",
                                      this->path.empty() ? "the configuration" : this->path,
                                      formatValue(json)));
}

void FieldReader::finish()
{
    if (this->error)
        return;
    for (const auto &member : this->json.items()) {
        const bool isKnown = std::find(this->requestedFields.begin(), this->requestedFields.end(),
                                       member.key())
                             != this->requestedFields.end();
        if (isKnown)
            continue;
        const std::string fieldPath = this->pathOf(member.key().substr(0, maxShownValueLength));
        this->recordError(fieldPath,
                          fmt::format("{} is not a known field; the fields here are: {}", fieldPath,
                                      fmt::join(this->requestedFields, ", ")));
        return;
    }
}

void FieldReader::signedNumber(const char *field, std::int32_t &number, Range<std::int64_t> range)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return;
    const bool isInRange
            = found->is_number_integer()
              && (!found->is_number_unsigned()
                  || found->get<std::uint64_t>() <= static_cast<std::uint64_t>(range.maximum))
              && found->get<std::int64_t>() >= range.minimum
              && found->get<std::int64_t>() <= range.maximum;
    if (!isInRange) {
        this->recordValueError(
                field, fmt::format("a whole number from {} to {}", range.minimum, range.maximum));
        return;
    }
    number = found->get<std::int32_t>();
}

void FieldReader::decimal(const char *field, double &number, Range<double> range)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return;
    const bool isInRange = found->is_number() && found->get<double>() >= range.minimum
                           && found->get<double>() <= range.maximum;
    if (!isInRange) {
        this->recordValueError(field,
                               fmt::format("a number from {} to {}", range.minimum, range.maximum));
        return;
    }
    number = found->get<double>();
}

void FieldReader::flag(const char *field, bool &flag)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return;
    if (!found->is_boolean()) {
        this->recordValueError(field, "true or false");
        return;
    }
    flag = found->get<bool>();
}

void FieldReader::formatVersion(const char *field)
{
    std::uint64_t version = 0;
    this->readNumber(field, version,
                     NumberRange{configurationFormatVersion, configurationFormatVersion},
                     Presence::Required);
}

const nlohmann::json *FieldReader::find(const char *field, Presence presence)
{
    if (this->error)
        return nullptr;
    this->requestedFields.emplace_back(field);
    const auto found = this->json.find(field);
    if (found != this->json.end())
        return &*found;
    if (presence == Presence::Required)
        this->recordError(this->pathOf(field), fmt::format("{} is missing", this->pathOf(field)));
    return nullptr;
}

const nlohmann::json *FieldReader::findArray(const char *field, std::size_t maxSize)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return nullptr;
    if (!found->is_array() || found->size() > maxSize) {
        this->recordValueError(field, fmt::format("a list of at most {}", maxSize));
        return nullptr;
    }
    return found;
}

bool FieldReader::readText(const char *field, std::string &text, Presence presence)
{
    const nlohmann::json *found = this->find(field, presence);
    if (found == nullptr)
        return false;
    if (!found->is_string()) {
        this->recordValueError(field, "a text");
        return false;
    }
    text = found->get<std::string>();
    return true;
}

void FieldReader::readTexts(const char *field, std::vector<std::string> &texts, std::size_t maxSize)
{
    const nlohmann::json *found = this->findArray(field, maxSize);
    if (found == nullptr)
        return;
    texts.clear();
    for (const nlohmann::json &each : *found) {
        if (!each.is_string()) {
            const std::string fieldPath = fmt::format("{}[{}]", this->pathOf(field), texts.size());
            this->recordError(fieldPath, fmt::format("{} is {}; it must be a text", fieldPath,
                                                     formatValue(each)));
            return;
        }
        texts.push_back(each.get<std::string>());
    }
}

void FieldReader::readNumber(const char *field, std::uint64_t &number, NumberRange range,
                             Presence presence)
{
    const nlohmann::json *found = this->find(field, presence);
    if (found == nullptr)
        return;
    const bool isInRange = found->is_number_unsigned()
                           && found->get<std::uint64_t>() >= range.minimum
                           && found->get<std::uint64_t>() <= range.maximum;
    if (!isInRange) {
        this->recordValueError(
                field, fmt::format("a whole number from {} to {}", range.minimum, range.maximum));
        return;
    }
    number = found->get<std::uint64_t>();
}

std::string FieldReader::pathOf(std::string_view field) const
{
    return this->path.empty() ? std::string(field) : fmt::format("{}.{}", this->path, field);
}

void FieldReader::recordError(const std::string &fieldPath, const std::string &message)
{
    if (!this->error)
        this->error = Error(ErrorKind::ConfigurationInvalid, message, fieldPath);
}

void FieldReader::recordValueError(const char *field, const std::string &requirement)
{
    const std::string fieldPath = this->pathOf(field);
    const std::string value
            = hashField() == field ? std::string("not shown") : formatValue(this->json.at(field));
    this->recordError(fieldPath,
                      fmt::format("{} is {}; it must be {}", fieldPath, value, requirement));
}

} // namespace bamboochute::admin
