/// @file
/// @brief Visitor that writes a value's fields as a JSON object.
#pragma once

#include "admin/configuration_fields.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::admin {

/// @brief Builds a JSON object; the fields are in the order of visitFields.
class FieldWriter
{
public:
    nlohmann::ordered_json take() { return std::move(this->written); }

    template<typename Tag>
    void name(const char *field, const Id<Tag> &id)
    {
        this->addField(field, id.value());
    }
    template<typename Tag>
    void optionalName(const char *field, const Id<Tag> &id)
    {
        this->addField(field, id.value());
    }
    template<typename Tag>
    void names(const char *field, const std::vector<Id<Tag>> &ids, std::size_t)
    {
        auto array = nlohmann::ordered_json::array();
        for (const Id<Tag> &id : ids)
            array.push_back(id.value());
        this->addField(field, std::move(array));
    }
    void text(const char *field, const std::string &text, std::size_t)
    {
        this->addField(field, text);
    }
    void hash(const char *field, const std::string &text, Presence) { this->addField(field, text); }
    void address(const char *field, const std::string &text) { this->addField(field, text); }
    void pathPrefix(const char *field, const std::string &text) { this->addField(field, text); }
    void methods(const char *field, const std::vector<std::string> &methods)
    {
        this->addField(field, methods);
    }
    template<std::unsigned_integral T>
    void number(const char *field, T number, NumberRange, Presence = Presence::Optional)
    {
        this->addField(field, number);
    }
    void signedNumber(const char *field, std::int32_t number, Range<std::int64_t>)
    {
        this->addField(field, number);
    }
    void decimal(const char *field, double number, Range<double>) { this->addField(field, number); }
    template<typename Rep, typename Period>
    void duration(const char *field, std::chrono::duration<Rep, Period> duration, NumberRange)
    {
        this->addField(field, duration.count());
    }
    void flag(const char *field, bool flag) { this->addField(field, flag); }
    template<typename Enum, std::size_t count>
    void choice(const char *field, Enum choice, const ChoiceNames<Enum, count> &names, Presence)
    {
        for (const auto &[each, name] : names) {
            if (each == choice)
                this->addField(field, std::string(name));
        }
    }
    void formatVersion(const char *field) { this->addField(field, configurationFormatVersion); }
    template<typename Spec>
    void object(const char *field, const Spec &spec)
    {
        FieldWriter writer;
        visitFields(writer, spec);
        this->addField(field, writer.take());
    }
    template<typename Spec>
    void list(const char *field, const std::vector<Spec> &specs, std::size_t)
    {
        auto array = nlohmann::ordered_json::array();
        for (const Spec &spec : specs) {
            FieldWriter writer;
            visitFields(writer, spec);
            array.push_back(writer.take());
        }
        this->addField(field, std::move(array));
    }

private:
    void addField(const char *field, nlohmann::ordered_json value)
    {
        this->written[field] = std::move(value);
    }

    nlohmann::ordered_json written = nlohmann::ordered_json::object();
};

/// @brief Writes a value's fields as a JSON object.
template<typename Spec>
nlohmann::ordered_json toJson(const Spec &spec)
{
    FieldWriter writer;
    visitFields(writer, spec);
    return writer.take();
}

} // namespace bamboochute::admin
