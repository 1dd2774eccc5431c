/// @file
/// @brief The root record of a configuration and the keys under which it is kept.
#pragma once

#include "core/error.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace bamboochute::admin {

/// First half of the SHA-256 of a part's text, as 32 hexadecimal digits.
using PartHash = Id<struct PartHashTag>;
/// Chosen by the submitter, so that a submission sent twice is recognised.
using SubmissionId = Id<struct SubmissionTag>;

/// Milliseconds since 1970-01-01T00:00:00Z.
using WallTime = std::chrono::milliseconds;

/// @brief What is in force at one revision, by the hash of the topmost part.
struct ConfigurationRoot
{
    Revision revision;
    SubmissionId submissionId;
    /// Name of the operator.
    std::string author;
    WallTime time{};
    /// Empty at revision zero, before the first submission.
    PartHash top;
    /// The revision that was brought back; zero when this is not a rollback.
    Revision rolledBackTo;
    auto operator<=>(const ConfigurationRoot &) const = default;
};

/// @brief Writes a root as one line of JSON.
std::string writeRoot(const ConfigurationRoot &root);

/// @brief Reads a root.
/// @return ConfigurationInvalid when it isn't one
Result<ConfigurationRoot> readRoot(std::string_view text);

constexpr std::string_view rootKey = "configuration/root";
constexpr std::string_view partPrefix = "configuration/parts/";
constexpr std::string_view historyPrefix = "configuration/history/";
constexpr std::string_view submissionPrefix = "configuration/submissions/";
/// Written by each deletion of parts, so that a submission under way notices it.
constexpr std::string_view collectionKey = "configuration/collection";

std::string partKey(const PartHash &hash);
/// @brief Key of a past or present root; sorts by revision.
std::string historyKey(Revision revision);
std::string submissionKey(const SubmissionId &id);

} // namespace bamboochute::admin
