#include "admission/operation_record.hpp"

#include "core/bounded_json.hpp"
#include "core/digest.hpp"
#include "core/overloaded.hpp"

#include <algorithm>
#include <cctype>
#include <cstdint>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::admission {

namespace {

using Json = nlohmann::json;

constexpr int recordVersion = 1;
/// A status of an answer has three digits.
constexpr int minStatus = 100;
constexpr int maxStatus = 999;

Json toBinary(const std::string &text)
{
    return Json::binary({text.begin(), text.end()});
}

std::string fromBinary(const Json &value)
{
    const Json::binary_t &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json toJson(const OperationOutcome &outcome)
{
    Json headers = Json::array();
    for (const OutcomeHeader &header : outcome.headers)
        headers.push_back({toBinary(header.name), toBinary(header.value)});
    return {{"status", outcome.status}, {"headers", headers}, {"body", toBinary(outcome.body)}};
}

Json toJson(const OperationState &state)
{
    return std::visit(Overloaded{
                              [](const Claimed &) -> Json {
                                  return {{"kind", "claimed"}};
                              },
                              [](const Released &) -> Json {
                                  return {{"kind", "released"}};
                              },
                              [](const OutcomeUnknown &) -> Json {
                                  return {{"kind", "unknown"}};
                              },
                              [](const OutcomeTooLarge &large) -> Json {
                                  return {{"kind", "too_large"}, {"status", large.status}};
                              },
                              [](const OperationOutcome &outcome) -> Json {
                                  return {{"kind", "outcome"}, {"answer", toJson(outcome)}};
                              },
                      },
                      state);
}

int statusFrom(const Json &json)
{
    const int status = readInteger<int>(json);
    if (status < minStatus || status > maxStatus)
        throw JsonBoundsError("value is not the status of an answer");
    return status;
}

OperationOutcome outcomeFrom(const Json &json)
{
    OperationOutcome outcome;
    outcome.status = statusFrom(json.at("status"));
    for (const Json &header : readList(json.at("headers")))
        outcome.headers.push_back({fromBinary(header.at(0)), fromBinary(header.at(1))});
    outcome.body = fromBinary(json.at("body"));
    return outcome;
}

OperationState stateFrom(const Json &json)
{
    const std::string kind = json.at("kind").get<std::string>();
    if (kind == "claimed")
        return Claimed{};
    if (kind == "released")
        return Released{};
    if (kind == "outcome")
        return outcomeFrom(json.at("answer"));
    if (kind == "too_large")
        return OutcomeTooLarge{statusFrom(json.at("status"))};
    return OutcomeUnknown{};
}

OperationRecord recordFrom(const Json &json)
{
    OperationRecord record;
    record.claimant.instance = InstanceId(json.at("instance").get<std::string>());
    record.claimant.incarnation = Incarnation(readInteger<std::uint64_t>(json.at("incarnation")));
    record.claimant.number = ClaimNumber(readInteger<std::uint64_t>(json.at("number")));
    record.fingerprint = json.at("fingerprint").get<std::string>();
    record.state = stateFrom(json.at("state"));
    return record;
}

/// Appends a part after its length, so that different lists of parts never give the same text.
void appendPart(std::string &text, std::string_view part)
{
    text += fmt::format("{}:", part.size());
    text += part;
}

} // namespace

std::string encode(const OperationRecord &record)
{
    const Json json = {
            {"version", recordVersion},
            {"instance", record.claimant.instance.value()},
            {"incarnation", record.claimant.incarnation.value()},
            {"number", record.claimant.number.value()},
            {"fingerprint", record.fingerprint},
            {"state", toJson(record.state)},
    };
    std::string text;
    Json::to_cbor(json, text);
    return text;
}

Result<OperationRecord> decodeOperationRecord(std::string_view text)
{
    const auto makeError = [&text](std::string_view message) {
        return Error(ErrorKind::Internal,
                     fmt::format("record of {} bytes is not an operation record: {}", text.size(),
                                 JsonBoundsError(message).what()));
    };
    try {
        return recordFrom(parseBoundedJson(text, {}, Json::input_format_t::cbor));
    } catch (const Json::exception &exception) {
        return makeError(exception.what());
    } catch (const JsonBoundsError &exception) {
        return makeError(exception.what());
    }
}

Result<OperationKey> parseOperationKey(std::string_view text)
{
    if (text.empty())
        return Error(ErrorKind::OperationKeyInvalid, "operation key is empty");
    if (text.size() > maxOperationKeyBytes)
        return Error(ErrorKind::OperationKeyInvalid,
                     fmt::format("operation key has {} bytes; at most {} are allowed", text.size(),
                                 maxOperationKeyBytes));
    const auto isPrintable = [](char character) { return character > ' ' && character <= '~'; };
    const auto invalid = std::find_if_not(text.begin(), text.end(), isPrintable);
    if (invalid != text.end())
        return Error(ErrorKind::OperationKeyInvalid,
                     fmt::format("operation key has a character that is not printable ASCII at "
                                 "position {}",
                                 invalid - text.begin()));
    return OperationKey(std::string(text));
}

std::string claimKey(std::string_view scope, const OperationKey &key)
{
    std::string text;
    appendPart(text, scope);
    appendPart(text, key.value());
    return "claims/" + sha256Hex(text);
}

std::string requestFingerprint(std::string_view method, std::string_view path,
                               std::string_view body)
{
    std::string text;
    appendPart(text, method);
    appendPart(text, path);
    appendPart(text, body);
    return sha256Hex(text);
}

} // namespace bamboochute::admission
