/// @file
/// @brief Tables between values and the names that a dialect has for them.
#pragma once

#include "core/error.hpp"
#include "upstream/orders.hpp"

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute::upstream {

template<typename Value, std::size_t count>
using NameTable = std::array<std::pair<Value, std::string_view>, count>;

/// @brief The dialect's name of a value; every value has one.
template<typename Value, std::size_t count>
std::string_view nameOf(const NameTable<Value, count> &table, Value value)
{
    for (const auto &[known, name] : table) {
        if (known == value)
            return name;
    }
    return {};
}

/// @brief The value of a dialect's name.
/// @return ReportDistrusted when the dialect has no such name
template<typename Value, std::size_t count>
Result<Value> valueOf(const NameTable<Value, count> &table, std::string_view name,
                      std::string_view field)
{
    for (const auto &[known, other] : table) {
        if (other == name)
            return known;
    }
    return Error(ErrorKind::ReportDistrusted,
                 "\"" + std::string(field) + "\" is \"" + std::string(name.substr(0, 64))
                         + "\", which is unknown",
                 std::string(field));
}

/// @brief An answer that can't be understood leaves it open whether the order was carried out.
OrderOutcome understand(Result<OrderOutcome> parsed, int status);

} // namespace bamboochute::upstream
