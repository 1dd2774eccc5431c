/// @file
/// @brief What requests that crash upstreams have in common: a part of their prompts, or all of
/// what they ask for.
#pragma once

#include "core/ids.hpp"
#include "gateway/request_fingerprint.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboochute::gateway {

/// @brief What a subject is.
enum class SubjectKind : std::uint8_t {
    /// A part that the prompts of several requests may share.
    PromptPart,
    /// A whole request, in all of its attempts, of one caller or of any.
    Request
};

/// @brief The kind's name in logs and metrics.
std::string_view subjectKindName(SubjectKind kind) noexcept;

/// @brief Something that may be to blame for the crash of an upstream.
struct QuarantineSubject
{
    SubjectKind kind = SubjectKind::PromptPart;
    /// Id of the prompt part, or fingerprint of the request.
    std::string id;
    auto operator<=>(const QuarantineSubject &) const = default;
};

/// @brief Returns the subjects of one request.
std::vector<QuarantineSubject> makeSubjects(const std::vector<PromptPartId> &promptParts,
                                            const RequestFingerprints &fingerprints);

/// @brief Formats the ids of the subjects of one kind, separated by spaces.
std::string formatSubjects(const std::vector<QuarantineSubject> &subjects, SubjectKind kind);

} // namespace bamboochute::gateway
