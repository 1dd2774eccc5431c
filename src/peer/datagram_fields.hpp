/// @file
/// @brief MessagePack encoding of a datagram's fields, without authentication.
#pragma once

#include "peer/datagram.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::peer {

/// @brief Appends the encoded fields of a datagram.
void appendFields(std::string &bytes, const Datagram &datagram);

/// @brief Decodes the fields of a datagram.
/// @return std::nullopt when a field is malformed or exceeds its limit
std::optional<Datagram> readFields(std::string_view bytes);

} // namespace bamboochute::peer
