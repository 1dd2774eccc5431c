#include "admin/field_reader.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Longest piece of a wrong value that a message repeats.
constexpr std::size_t maxShownValueLength = 64;

std::string shown(const nlohmann::json &value)
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
        this->refuse(this->path, fmt::format("{} is {}; it must be an object",
                                             this->path.empty() ? "the configuration" : this->path,
                                             shown(json)));
}

void FieldReader::finish()
{
    if (this->error)
        return;
    for (const auto &member : this->json.items()) {
        const bool isKnown = std::find(this->known.begin(), this->known.end(), member.key())
                             != this->known.end();
        if (isKnown)
            continue;
        const std::string place = this->pathOf(member.key().substr(0, maxShownValueLength));
        this->refuse(place, fmt::format("{} is not a known field; the fields here are: {}", place,
                                        fmt::join(this->known, ", ")));
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
                  || found->get<std::uint64_t>() <= static_cast<std::uint64_t>(range.greatest))
              && found->get<std::int64_t>() >= range.least
              && found->get<std::int64_t>() <= range.greatest;
    if (!isInRange) {
        this->refuseValue(field,
                          fmt::format("a whole number from {} to {}", range.least, range.greatest));
        return;
    }
    number = found->get<std::int32_t>();
}

void FieldReader::decimal(const char *field, double &number, Range<double> range)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return;
    const bool isInRange = found->is_number() && found->get<double>() >= range.least
                           && found->get<double>() <= range.greatest;
    if (!isInRange) {
        this->refuseValue(field,
                          fmt::format("a number from {} to {}", range.least, range.greatest));
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
        this->refuseValue(field, "true or false");
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
    this->known.emplace_back(field);
    const auto found = this->json.find(field);
    if (found != this->json.end())
        return &*found;
    if (presence == Presence::Required)
        this->refuse(this->pathOf(field), fmt::format("{} is missing", this->pathOf(field)));
    return nullptr;
}

const nlohmann::json *FieldReader::findArray(const char *field, std::size_t most)
{
    const nlohmann::json *found = this->find(field, Presence::Optional);
    if (found == nullptr)
        return nullptr;
    if (!found->is_array() || found->size() > most) {
        this->refuseValue(field, fmt::format("a list of at most {}", most));
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
        this->refuseValue(field, "a text");
        return false;
    }
    text = found->get<std::string>();
    return true;
}

void FieldReader::readTexts(const char *field, std::vector<std::string> &texts, std::size_t most)
{
    const nlohmann::json *found = this->findArray(field, most);
    if (found == nullptr)
        return;
    texts.clear();
    for (const nlohmann::json &each : *found) {
        if (!each.is_string()) {
            const std::string place = fmt::format("{}[{}]", this->pathOf(field), texts.size());
            this->refuse(place, fmt::format("{} is {}; it must be a text", place, shown(each)));
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
    const bool isInRange = found->is_number_unsigned() && found->get<std::uint64_t>() >= range.least
                           && found->get<std::uint64_t>() <= range.greatest;
    if (!isInRange) {
        this->refuseValue(field,
                          fmt::format("a whole number from {} to {}", range.least, range.greatest));
        return;
    }
    number = found->get<std::uint64_t>();
}

std::string FieldReader::pathOf(std::string_view field) const
{
    return this->path.empty() ? std::string(field) : fmt::format("{}.{}", this->path, field);
}

void FieldReader::refuse(const std::string &place, const std::string &message)
{
    if (!this->error)
        this->error = Error(ErrorKind::ConfigurationInvalid, message, place);
}

void FieldReader::refuseValue(const char *field, const std::string &mustBe)
{
    const std::string place = this->pathOf(field);
    const std::string value
            = hashField() == field ? std::string("not shown") : shown(this->json.at(field));
    this->refuse(place, fmt::format("{} is {}; it must be {}", place, value, mustBe));
}

} // namespace bamboochute::admin
