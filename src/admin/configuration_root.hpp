/// @file
/// @brief The root record of a configuration, and the keys of the configuration in the key-value
/// service.
#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace bamboochute::admin {

/// First half of the SHA-256 of a part's text, as 32 hexadecimal digits.
using PartHash = Id<struct PartHashTag>;
/// Chosen by the submitter; identifies a submission that is sent again.
using SubmissionId = Id<struct SubmissionTag>;

/// Milliseconds since 1970-01-01T00:00:00Z.
using WallTime = std::chrono::milliseconds;

/// @brief Record of one revision: its metadata and the hash of its topmost part.
struct ConfigurationRoot
{
    Revision revision;
    SubmissionId submissionId;
    /// Name of the operator who submitted it.
    std::string author;
    WallTime time{};
    /// Empty at revision zero, before the first submission.
    PartHash top;
    /// The revision that a rollback restored; zero when this is not a rollback.
    Revision rolledBackTo;
    auto operator<=>(const ConfigurationRoot &) const = default;
};

/// @brief Writes a root as a single line of JSON.
std::string writeRoot(const ConfigurationRoot &root);

/// @brief Parses a root.
/// @return the root; ConfigurationTooLarge, MalformedJson or JsonTooDeep when the text can't be
/// parsed; ConfigurationInvalid when a member is missing or has a wrong type
Result<ConfigurationRoot> readRoot(std::string_view text);

constexpr std::string_view rootKey = "configuration/root";
constexpr std::string_view partPrefix = "configuration/parts/";
constexpr std::string_view historyPrefix = "configuration/history/";
constexpr std::string_view submissionPrefix = "configuration/submissions/";
/// Written by each deletion of parts, so that a submission in progress detects it.
constexpr std::string_view garbageCollectionKey = "configuration/collection";

std::string partKey(const PartHash &hash);
/// @brief Key of the history entry of a revision; keys sort by revision.
std::string historyKey(Revision revision);
std::string submissionKey(const SubmissionId &id);

} // namespace bamboochute::admin
