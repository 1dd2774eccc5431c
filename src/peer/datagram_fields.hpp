/// @file
/// @brief Fields of a datagram as MessagePack, without authentication.
#pragma once

#include "peer/datagram.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboochute::peer {

/// @brief Appends the encoded fields.
void appendFields(std::string &bytes, const Datagram &datagram);

/// @brief Reads the fields; nothing when they are malformed or exceed a bound.
std::optional<Datagram> readFields(std::string_view bytes);

} // namespace bamboochute::peer
