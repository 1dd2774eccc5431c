/// @file
/// @brief What the system needs to know of the JSON body of a completion request.
#pragma once

#include "core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboochute::caller {

/// @brief The two completion calls of the OpenAI-compatible API.
enum class GenerationKind { Chat, Completion };

/// @brief Members that classification and routing read; engines get the body as it came.
struct GenerationBody
{
    std::string model;
    bool isStream = false;
    /// Hash of the beginning of the prompt; zero when the prompt is short.
    std::uint64_t prefix = 0;
    auto operator<=>(const GenerationBody &) const = default;
};

/// @brief Reads a body without building a document.
/// @param body JSON text
/// @param kind which members must be there
/// @param maxDepth longest nesting of objects and arrays
/// @return MalformedJson, JsonTooDeep, or InvalidField with the member's name
Result<GenerationBody> parseGenerationBody(std::string_view body, GenerationKind kind,
                                           std::size_t maxDepth);

} // namespace bamboochute::caller
