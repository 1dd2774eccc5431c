/// @file
/// @brief Visitor that checks the ranges and the syntax of a value's fields.
#pragma once

#include "admin/configuration_fields.hpp"
#include "core/error.hpp"

#include <optional>
#include <string>

#include <fmt/format.h>

namespace bamboochute::admin {

/// @brief Checks each field on its own; checkConfiguration checks relations between fields.
class FieldChecker
{
public:
    /// @param path path of the value, such as "deployments[0]"
    /// @param error receives the first error
    FieldChecker(std::string path, std::optional<Error> &error)
        : path(std::move(path))
        , error(error)
    {}

    template<typename Tag>
    void name(const char *field, const Id<Tag> &id)
    {
        this->checkName(this->pathOf(field), id.value());
    }
    template<typename Tag>
    void optionalName(const char *field, const Id<Tag> &id)
    {
        if (!id.isEmpty())
            this->checkName(this->pathOf(field), id.value());
    }
    template<typename Tag>
    void names(const char *field, const std::vector<Id<Tag>> &ids, std::size_t maxSize)
    {
        this->checkSize(field, ids.size(), maxSize);
        for (std::size_t i = 0; i < ids.size(); ++i)
            this->checkName(fmt::format("{}[{}]", this->pathOf(field), i), ids[i].value());
    }
    void text(const char *field, const std::string &text, std::size_t)
    {
        this->checkName(this->pathOf(field), text);
    }
    void hash(const char *field, const std::string &text, Presence presence);
    void address(const char *field, const std::string &text);
    void pathPrefix(const char *field, const std::string &text);
    void methods(const char *field, const std::vector<std::string> &methods);
    template<std::unsigned_integral T>
    void number(const char *field, T number, NumberRange range, Presence = Presence::Optional)
    {
        this->checkRange(field, std::uint64_t(number), range, "a whole number");
    }
    void signedNumber(const char *field, std::int32_t number, Range<std::int64_t> range)
    {
        this->checkRange(field, std::int64_t(number), range, "a whole number");
    }
    void decimal(const char *field, double number, Range<double> range)
    {
        this->checkRange(field, number, range, "a number");
    }
    template<typename Rep, typename Period>
    void duration(const char *field, std::chrono::duration<Rep, Period> duration, NumberRange range)
    {
        const Range<std::int64_t> signedRange{static_cast<std::int64_t>(range.minimum),
                                              static_cast<std::int64_t>(range.maximum)};
        this->checkRange(field, std::int64_t(duration.count()), signedRange, "a whole number");
    }
    void flag(const char *, bool) {}
    template<typename Enum, std::size_t count>
    void choice(const char *, Enum, const ChoiceNames<Enum, count> &, Presence)
    {}
    void formatVersion(const char *) {}
    template<typename Spec>
    void object(const char *field, const Spec &spec)
    {
        FieldChecker checker(this->pathOf(field), this->error);
        visitFields(checker, spec);
    }
    template<typename Spec>
    void list(const char *field, const std::vector<Spec> &specs, std::size_t maxSize)
    {
        this->checkSize(field, specs.size(), maxSize);
        for (std::size_t i = 0; i < specs.size() && !this->error; ++i) {
            FieldChecker checker(fmt::format("{}[{}]", this->pathOf(field), i), this->error);
            visitFields(checker, specs[i]);
        }
    }

private:
    template<typename T>
    void checkRange(const char *field, T value, Range<T> range, const char *what)
    {
        if (value >= range.minimum && value <= range.maximum)
            return;
        this->recordError(this->pathOf(field), fmt::format("{}", value),
                          fmt::format("{} from {} to {}", what, range.minimum, range.maximum));
    }
    void checkName(const std::string &fieldPath, const std::string &text);
    void checkSize(const char *field, std::size_t size, std::size_t maxSize);
    std::string pathOf(const char *field) const;
    void recordError(const std::string &fieldPath, const std::string &value,
                     const std::string &requirement);

    std::string path;
    std::optional<Error> &error;
};

} // namespace bamboochute::admin
