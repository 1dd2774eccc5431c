/// @file
/// @brief Reads the members of a completion request that classification and routing use.
#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboochute::caller {

/// @brief Kind of a completion call of the OpenAI-compatible API.
enum class GenerationKind { Chat, Completion };

/// @brief Members of the body that the server uses; engines get the body unchanged.
struct GenerationBody
{
    std::string model;
    bool isStream = false;
    /// Hash of the beginning of the prompt; zero when the prompt is short.
    std::uint64_t prefixHash = 0;
    auto operator<=>(const GenerationBody &) const = default;
};

/// @brief Parses a body with a SAX parser, without building a document.
/// @param body JSON text
/// @param kind decides whether "messages" or "prompt" is required
/// @param maxDepth greatest allowed nesting of objects and arrays
/// @return the members; else MalformedJson, JsonTooDeep, or InvalidField with the member's name
Result<GenerationBody> parseGenerationBody(std::string_view body, GenerationKind kind,
                                           std::size_t maxDepth);

} // namespace bamboochute::caller
