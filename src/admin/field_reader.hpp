/// @file
/// @brief Visitor that reads a value's fields from a JSON object and rejects unknown members.
#pragma once

#include "admin/configuration_fields.hpp"
#include "core/error.hpp"

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

namespace bamboochute::admin {

/// @brief Reads fields and checks their types and the ranges of numbers; FieldChecker checks names
/// and other texts afterwards.
///
/// Records the first error and skips all fields after it.
class FieldReader
{
public:
    /// @param json the object to read
    /// @param path path of the object, such as "deployments[0]"; empty at the top
    /// @param error receives the first error
    FieldReader(const nlohmann::json &json, std::string path, std::optional<Error> &error);

    /// @brief Rejects members of the object that were not read as a field.
    void finish();

    template<typename Tag>
    void name(const char *field, Id<Tag> &id)
    {
        std::string text;
        this->readText(field, text, Presence::Required);
        id = Id<Tag>(std::move(text));
    }
    template<typename Tag>
    void optionalName(const char *field, Id<Tag> &id)
    {
        std::string text;
        this->readText(field, text, Presence::Optional);
        id = Id<Tag>(std::move(text));
    }
    template<typename Tag>
    void names(const char *field, std::vector<Id<Tag>> &ids, std::size_t maxSize)
    {
        std::vector<std::string> texts;
        this->readTexts(field, texts, maxSize);
        ids.clear();
        for (std::string &text : texts)
            ids.emplace_back(std::move(text));
    }
    void text(const char *field, std::string &text, std::size_t)
    {
        this->readText(field, text, Presence::Required);
    }
    void hash(const char *field, std::string &text, Presence presence)
    {
        this->readText(field, text, presence);
    }
    void address(const char *field, std::string &text)
    {
        this->readText(field, text, Presence::Required);
    }
    void pathPrefix(const char *field, std::string &text)
    {
        this->readText(field, text, Presence::Required);
    }
    void methods(const char *field, std::vector<std::string> &methods)
    {
        this->readTexts(field, methods, maxMethodsOfRoute);
    }
    template<std::unsigned_integral T>
    void number(const char *field, T &number, NumberRange range,
                Presence presence = Presence::Optional)
    {
        std::uint64_t wide = number;
        this->readNumber(field, wide, range, presence);
        number = static_cast<T>(wide);
    }
    void signedNumber(const char *field, std::int32_t &number, Range<std::int64_t> range);
    void decimal(const char *field, double &number, Range<double> range);
    template<typename Rep, typename Period>
    void duration(const char *field, std::chrono::duration<Rep, Period> &duration,
                  NumberRange range)
    {
        auto wide = static_cast<std::uint64_t>(duration.count());
        this->readNumber(field, wide, range, Presence::Optional);
        duration = std::chrono::duration<Rep, Period>(static_cast<Rep>(wide));
    }
    void flag(const char *field, bool &flag);
    template<typename Enum, std::size_t count>
    void choice(const char *field, Enum &choice, const ChoiceNames<Enum, count> &names,
                Presence presence)
    {
        std::string text;
        if (!this->readText(field, text, presence))
            return;
        std::string allowed;
        for (const auto &[each, name] : names) {
            if (name == text) {
                choice = each;
                return;
            }
            allowed += allowed.empty() ? "" : ", ";
            allowed += name;
        }
        this->recordValueError(field, "one of " + allowed);
    }
    void formatVersion(const char *field);
    template<typename Spec>
    void object(const char *field, Spec &spec)
    {
        const nlohmann::json *found = this->find(field, Presence::Optional);
        if (found != nullptr)
            this->readObject(*found, this->pathOf(field), spec);
    }
    template<typename Spec>
    void list(const char *field, std::vector<Spec> &specs, std::size_t maxSize)
    {
        const nlohmann::json *found = this->findArray(field, maxSize);
        if (found == nullptr)
            return;
        specs.resize(found->size());
        for (std::size_t i = 0; i < specs.size() && !this->error; ++i) {
            const std::string fieldPath = this->pathOf(field) + "[" + std::to_string(i) + "]";
            this->readObject((*found)[i], fieldPath, specs[i]);
        }
    }

private:
    template<typename Spec>
    void readObject(const nlohmann::json &from, std::string fieldPath, Spec &spec)
    {
        FieldReader reader(from, std::move(fieldPath), this->error);
        if (this->error)
            return;
        visitFields(reader, spec);
        reader.finish();
    }

    const nlohmann::json *find(const char *field, Presence presence);
    const nlohmann::json *findArray(const char *field, std::size_t maxSize);
    bool readText(const char *field, std::string &text, Presence presence);
    void readTexts(const char *field, std::vector<std::string> &texts, std::size_t maxSize);
    void readNumber(const char *field, std::uint64_t &number, NumberRange range, Presence presence);
    std::string pathOf(std::string_view field) const;
    void recordError(const std::string &fieldPath, const std::string &message);
    /// Records an error that contains the field's value and what it must be.
    void recordValueError(const char *field, const std::string &requirement);

    const nlohmann::json &json;
    std::string path;
    std::optional<Error> &error;
    std::vector<std::string_view> requestedFields;
};

} // namespace bamboochute::admin
