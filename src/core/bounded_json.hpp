/// @file
/// @brief Parses JSON and its binary forms that others wrote, and reads numbers and durations out
/// of them; nothing is built that is nested deeply, and no conversion is made that does not fit.
#pragma once

#include <cmath>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace bamboochute {

/// @brief Thrown for a text that can't be parsed within its bounds, and for a value that does not
/// fit the wanted type. The message is at most maxJsonErrorBytes long.
class JsonBoundsError : public std::runtime_error
{
public:
    explicit JsonBoundsError(std::string_view message);
};

/// Longest message about a text that others wrote, in bytes.
constexpr std::size_t maxJsonErrorBytes = 240;

/// @brief Bounds of a text in JSON or one of its binary forms.
struct JsonBounds
{
    std::size_t maxBytes = 16 << 20;
    /// Arrays and objects within each other.
    std::size_t maxDepth = 32;
};

/// @brief Parses a text; its size and depth are checked while it is read.
/// @return the value
/// @throws JsonBoundsError when the text is malformed, too long or nested too deeply
nlohmann::json parseBoundedJson(std::string_view text, const JsonBounds &bounds = {},
                                nlohmann::json::input_format_t format
                                = nlohmann::json::input_format_t::json);

/// @brief Like parseBoundedJson(), for callers that need no message.
/// @return the value, or nothing when the text is malformed, too long or nested too deeply
std::optional<nlohmann::json>
tryParseBoundedJson(std::string_view text, const JsonBounds &bounds = {},
                    nlohmann::json::input_format_t format = nlohmann::json::input_format_t::json);

/// @brief Converts a whole number.
/// @return the number, or nothing when it has a fraction, is not finite or does not fit T
template<typename T>
requires std::is_integral_v<T> std::optional<T> toInteger(double number)
noexcept
{
    // Powers of two, which are exact: the largest number of a type with 64 bits is not.
    const double end = std::ldexp(1.0, std::numeric_limits<T>::digits);
    const double begin = std::is_signed_v<T> ? -end : 0.0;
    if (!(number >= begin && number < end) || number != std::floor(number))
        return std::nullopt;
    return static_cast<T>(number);
}

/// @brief Reads a whole number.
/// @return the number, or nothing when the value is none or does not fit T
template<typename T>
requires std::is_integral_v<T> std::optional<T> toInteger(const nlohmann::json &value)
noexcept
{
    if (const auto *wide = value.get_ptr<const nlohmann::json::number_unsigned_t *>())
        return std::in_range<T>(*wide) ? std::optional<T>(static_cast<T>(*wide)) : std::nullopt;
    if (const auto *wide = value.get_ptr<const nlohmann::json::number_integer_t *>())
        return std::in_range<T>(*wide) ? std::optional<T>(static_cast<T>(*wide)) : std::nullopt;
    if (const auto *number = value.get_ptr<const nlohmann::json::number_float_t *>())
        return toInteger<T>(*number);
    return std::nullopt;
}

/// @brief Reads a whole number.
/// @throws JsonBoundsError when the value is none or does not fit T
template<typename T>
T readInteger(const nlohmann::json &value)
{
    const std::optional<T> number = toInteger<T>(value);
    if (!number)
        throw JsonBoundsError("value is not a whole number of the expected range");
    return *number;
}

/// @brief Reads a value of an enumeration whose values are counted from zero.
/// @param last largest value
/// @throws JsonBoundsError when the number is none of them
template<typename Enum>
requires std::is_enum_v<Enum> Enum readEnumeration(const nlohmann::json &value, Enum last)
{
    using Underlying = std::underlying_type_t<Enum>;
    const auto number = readInteger<Underlying>(value);
    if (std::cmp_less(number, 0) || std::cmp_greater(number, static_cast<Underlying>(last)))
        throw JsonBoundsError("value is not one of the enumeration");
    return static_cast<Enum>(number);
}

/// @brief Checks that a value is a list: others, null too, would be read as an empty one.
/// @throws JsonBoundsError when it is none
const nlohmann::json &readList(const nlohmann::json &value);

/// @brief Reads a finite number.
/// @throws JsonBoundsError when the value is none
double readFinite(const nlohmann::json &value);

} // namespace bamboochute
