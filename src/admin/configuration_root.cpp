#include "admin/configuration_root.hpp"

#include "admin/json_text.hpp"

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

constexpr JsonLimits rootLimits{4096, 2};

Error invalidRoot(std::string_view member)
{
    return Error(
            ErrorKind::ConfigurationInvalid,
            fmt::format("member \"{}\" of the configuration root is missing or has a wrong type",
                        member),
            std::string(member));
}

Result<std::string> readTextMember(const nlohmann::json &json, const char *member)
{
    const auto found = json.find(member);
    if (found == json.end() || !found->is_string())
        return invalidRoot(member);
    return found->get<std::string>();
}

Result<std::uint64_t> readNumberMember(const nlohmann::json &json, const char *member)
{
    const auto found = json.find(member);
    if (found == json.end() || !found->is_number_unsigned())
        return invalidRoot(member);
    return found->get<std::uint64_t>();
}

} // namespace

std::string writeRoot(const ConfigurationRoot &root)
{
    nlohmann::ordered_json json;
    json["revision"] = root.revision.value();
    json["submissionId"] = root.submissionId.value();
    json["author"] = root.author;
    json["timeMs"] = root.time.count();
    json["top"] = root.top.value();
    json["rolledBackTo"] = root.rolledBackTo.value();
    return json.dump();
}

Result<ConfigurationRoot> readRoot(std::string_view text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text, rootLimits));
    if (!json.is_object())
        return invalidRoot("revision");
    BOOST_OUTCOME_TRY(revision, readNumberMember(json, "revision"));
    BOOST_OUTCOME_TRY(submissionId, readTextMember(json, "submissionId"));
    BOOST_OUTCOME_TRY(author, readTextMember(json, "author"));
    BOOST_OUTCOME_TRY(timeMs, readNumberMember(json, "timeMs"));
    BOOST_OUTCOME_TRY(top, readTextMember(json, "top"));
    BOOST_OUTCOME_TRY(rolledBackTo, readNumberMember(json, "rolledBackTo"));
    return ConfigurationRoot{
            Revision(revision), SubmissionId(submissionId), author, WallTime(timeMs),
            PartHash(top),      Revision(rolledBackTo)};
}

std::string partKey(const PartHash &hash)
{
    return std::string(partPrefix) + hash.value();
}

std::string historyKey(Revision revision)
{
    return fmt::format("{}{:020}", historyPrefix, revision.value());
}

std::string submissionKey(const SubmissionId &id)
{
    return std::string(submissionPrefix) + id.value();
}

} // namespace bamboochute::admin
