#include "gateway/quarantine_subject.hpp"

namespace bamboochute::gateway {

std::string_view subjectKindName(SubjectKind kind) noexcept
{
    return kind == SubjectKind::Request ? "request" : "prompt_part";
}

std::vector<QuarantineSubject> makeSubjects(const std::vector<PromptPartId> &promptParts,
                                            const RequestFingerprints &fingerprints)
{
    std::vector<QuarantineSubject> subjects;
    subjects.reserve(promptParts.size() + 2);
    for (const PromptPartId &part : promptParts)
        subjects.push_back({SubjectKind::PromptPart, part.value()});
    for (const RequestFingerprint &fingerprint :
         {fingerprints.ofCaller, fingerprints.ofAnyCaller}) {
        if (!fingerprint.isEmpty())
            subjects.push_back({SubjectKind::Request, fingerprint.value()});
    }
    return subjects;
}

std::string formatSubjects(const std::vector<QuarantineSubject> &subjects, SubjectKind kind)
{
    std::string text;
    for (const QuarantineSubject &subject : subjects) {
        if (subject.kind == kind)
            text += (text.empty() ? "" : " ") + subject.id;
    }
    return text;
}

} // namespace bamboochute::gateway
