/// @file
/// @brief Tables that map values to their names in a dialect.
#pragma once

#include "core/error.hpp"
#include "upstream/orders.hpp"

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace bamboochute::upstream {

/// @brief Pairs of a value and its name in a dialect.
template<typename Value, std::size_t count>
using NameTable = std::array<std::pair<Value, std::string_view>, count>;

/// @brief Returns the dialect's name of a value; every value must be in the table.
template<typename Value, std::size_t count>
std::string_view nameOf(const NameTable<Value, count> &table, Value value)
{
    for (const auto &[tableValue, name] : table) {
        if (tableValue == value)
            return name;
    }
    return {};
}

/// @brief Returns the value that a dialect's name stands for.
/// @param field member of the body that holds the name, for the error message
/// @return ReportDistrusted when the dialect has no such name
template<typename Value, std::size_t count>
Result<Value> valueOf(const NameTable<Value, count> &table, std::string_view name,
                      std::string_view field)
{
    for (const auto &[tableValue, tableName] : table) {
        if (tableName == name)
            return tableValue;
    }
    return Error(ErrorKind::ReportDistrusted,
                 "\"" + std::string(field) + "\" is \"" + std::string(name.substr(0, 64))
                         + "\", which is not a known value",
                 std::string(field));
}

/// @brief Converts a parsed answer to the outcome of its order.
///
/// A malformed answer gives OrderUnconfirmed, because the order may have been carried out.
/// @param parsed outcome that the dialect read from the body, or why it could not
/// @param status HTTP status of the answer; 401 and 403 give OrderRefused
OrderOutcome toOrderOutcome(Result<OrderOutcome> parsed, int status);

} // namespace bamboochute::upstream
