#include "platform/etcd_codec.hpp"

#include "core/bounded_duration.hpp"
#include "core/bounded_json.hpp"
#include "core/overloaded.hpp"
#include "platform/base64.hpp"

#include <charconv>
#include <limits>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::platform {

namespace {

using Json = nlohmann::json;

/// Bounds of a message; the body's size is limited where it is received.
constexpr JsonBounds messageBounds{.maxBytes = std::numeric_limits<std::size_t>::max()};

/// Returns the exclusive end of the range of all keys with a prefix: the prefix with its last byte
/// incremented, after dropping trailing 0xff bytes.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

Result<Json> parseObject(std::string_view body)
{
    std::optional<Json> parsed = tryParseBoundedJson(body, messageBounds);
    if (!parsed || !parsed->is_object())
        return Error(
                ErrorKind::MalformedJson,
                fmt::format("key-value message of {} bytes is not a JSON object", body.size()));
    return std::move(*parsed);
}

Result<std::uint64_t> readNumber(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return std::uint64_t{0};
    if (found->is_number_unsigned())
        return found->get<std::uint64_t>();
    std::uint64_t number = 0;
    if (found->is_string()) {
        const auto &text = found->get_ref<const std::string &>();
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size())
            return number;
    }
    return Error(ErrorKind::InvalidField,
                 fmt::format("member \"{}\" is not an unsigned 64-bit number", name), name);
}

Result<std::string> readBytes(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return std::string();
    if (!found->is_string())
        return Error(ErrorKind::InvalidField, fmt::format("member \"{}\" is not a string", name),
                     name);
    return decodeBase64(found->get_ref<const std::string &>());
}

const Json &readList(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : empty;
}

Json rangeToJson(const std::string &key, bool isPrefix)
{
    Json range{{"key", encodeBase64(key)}};
    if (isPrefix)
        range["range_end"] = encodeBase64(prefixEnd(key));
    return range;
}

Json toJson(const Compare &compare)
{
    return std::visit(
            Overloaded{
                    [](const CompareModRevision &each) {
                        return Json{{"key", encodeBase64(each.key)},
                                    {"target", "MOD"},
                                    {"result", "EQUAL"},
                                    {"mod_revision", std::to_string(each.modRevision.value())}};
                    },
                    [](const CompareValue &each) {
                        return Json{{"key", encodeBase64(each.key)},
                                    {"target", "VALUE"},
                                    {"result", "EQUAL"},
                                    {"value", encodeBase64(each.value)}};
                    },
            },
            compare);
}

Json toJson(const Operation &operation)
{
    return std::visit(
            Overloaded{
                    [](const Put &put) {
                        Json body{{"key", encodeBase64(put.key)},
                                  {"value", encodeBase64(put.value)}};
                        if (put.lease != LeaseId())
                            body["lease"] = std::to_string(put.lease.value());
                        return Json{{"requestPut", body}};
                    },
                    [](const Get &get) {
                        return Json{{"requestRange", rangeToJson(get.key, get.isPrefix)}};
                    },
                    [](const Delete &erase) {
                        return Json{{"requestDeleteRange", rangeToJson(erase.key, erase.isPrefix)}};
                    },
            },
            operation);
}

Result<Compare> compareFromJson(const Json &object)
{
    if (!object.is_object())
        return Error(ErrorKind::InvalidField, "an entry of \"compare\" is not a JSON object",
                     "compare");
    BOOST_OUTCOME_TRY(key, readBytes(object, "key"));
    const auto member = object.find("target");
    const std::string target = member != object.end() && member->is_string()
                                       ? member->get<std::string>()
                                       : std::string();
    if (target == "VALUE") {
        BOOST_OUTCOME_TRY(value, readBytes(object, "value"));
        return Compare(CompareValue{std::move(key), std::move(value)});
    }
    if (target != "MOD")
        return Error(ErrorKind::InvalidField,
                     fmt::format("compare target \"{}\" is not MOD or VALUE", target), "target");
    BOOST_OUTCOME_TRY(revision, readNumber(object, "mod_revision"));
    return Compare(CompareModRevision{std::move(key), StoreRevision(revision)});
}

Result<Operation> operationFromJson(const Json &object)
{
    for (const char *name : {"requestPut", "requestRange", "requestDeleteRange"}) {
        const auto found = object.find(name);
        if (found != object.end() && !found->is_object())
            return Error(ErrorKind::InvalidField,
                         fmt::format("member \"{}\" is not a JSON object", name), name);
    }
    if (object.contains("requestPut")) {
        const Json &body = object["requestPut"];
        BOOST_OUTCOME_TRY(key, readBytes(body, "key"));
        BOOST_OUTCOME_TRY(value, readBytes(body, "value"));
        BOOST_OUTCOME_TRY(lease, readNumber(body, "lease"));
        return Operation(Put{std::move(key), std::move(value), LeaseId(lease)});
    }
    const bool isGet = object.contains("requestRange");
    if (!isGet && !object.contains("requestDeleteRange"))
        return Error(ErrorKind::InvalidField,
                     "a transaction operation is not a put, range or delete", "success");
    const Json &body = isGet ? object["requestRange"] : object["requestDeleteRange"];
    BOOST_OUTCOME_TRY(key, readBytes(body, "key"));
    const bool isPrefix = body.contains("range_end");
    if (isGet)
        return Operation(Get{std::move(key), isPrefix});
    return Operation(Delete{std::move(key), isPrefix});
}

template<typename T, typename Reader>
Result<std::vector<T>> readAll(const Json &list, Reader reader)
{
    std::vector<T> all;
    for (const Json &each : list) {
        BOOST_OUTCOME_TRY(value, reader(each));
        all.push_back(std::move(value));
    }
    return all;
}

Json toJson(const KeyValue &entry)
{
    Json object{{"key", encodeBase64(entry.key)},
                {"value", encodeBase64(entry.value)},
                {"create_revision", std::to_string(entry.createRevision.value())},
                {"mod_revision", std::to_string(entry.modRevision.value())},
                {"version", std::to_string(entry.version)}};
    if (entry.lease != LeaseId())
        object["lease"] = std::to_string(entry.lease.value());
    return object;
}

Result<KeyValue> keyValueFromJson(const Json &object)
{
    BOOST_OUTCOME_TRY(key, readBytes(object, "key"));
    BOOST_OUTCOME_TRY(value, readBytes(object, "value"));
    BOOST_OUTCOME_TRY(created, readNumber(object, "create_revision"));
    BOOST_OUTCOME_TRY(modified, readNumber(object, "mod_revision"));
    BOOST_OUTCOME_TRY(version, readNumber(object, "version"));
    BOOST_OUTCOME_TRY(lease, readNumber(object, "lease"));
    return KeyValue{
            std::move(key),          std::move(value), StoreRevision(created),
            StoreRevision(modified), version,          LeaseId(lease),
    };
}

std::string_view responseName(const Operation &operation)
{
    if (std::holds_alternative<Put>(operation))
        return "response_put";
    return std::holds_alternative<Get>(operation) ? "response_range" : "response_delete_range";
}

} // namespace

std::string printTransaction(const Transaction &transaction)
{
    Json body{{"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const Compare &compare : transaction.conditions)
        body["compare"].push_back(toJson(compare));
    for (const Operation &operation : transaction.success)
        body["success"].push_back(toJson(operation));
    for (const Operation &operation : transaction.failure)
        body["failure"].push_back(toJson(operation));
    return body.dump();
}

Result<Transaction> parseTransaction(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(conditions, readAll<Compare>(readList(object, "compare"), compareFromJson));
    BOOST_OUTCOME_TRY(success, readAll<Operation>(readList(object, "success"), operationFromJson));
    BOOST_OUTCOME_TRY(failure, readAll<Operation>(readList(object, "failure"), operationFromJson));
    return Transaction{std::move(conditions), std::move(success), std::move(failure)};
}

std::string printTransactionResponse(const Transaction &transaction,
                                     const TransactionResponse &response)
{
    const auto &operations = response.succeeded ? transaction.success : transaction.failure;
    Json body{{"header", {{"revision", std::to_string(response.revision.value())}}},
              {"succeeded", response.succeeded},
              {"responses", Json::array()}};
    for (std::size_t i = 0; i < operations.size(); ++i) {
        Json entries = Json::array();
        for (const KeyValue &entry : response.found[i])
            entries.push_back(toJson(entry));
        Json answer = Json::object();
        if (std::holds_alternative<Get>(operations[i]))
            answer = {{"kvs", entries}, {"count", std::to_string(entries.size())}};
        body["responses"].push_back({{std::string(responseName(operations[i])), answer}});
    }
    return body.dump();
}

Result<TransactionResponse> parseTransactionResponse(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    TransactionResponse response;
    const auto succeeded = object.find("succeeded");
    response.succeeded
            = succeeded != object.end() && succeeded->is_boolean() && succeeded->get<bool>();
    if (!object.contains("header") || !object["header"].is_object())
        return Error(ErrorKind::InvalidField, "transaction response has no header", "header");
    BOOST_OUTCOME_TRY(revision, readNumber(object["header"], "revision"));
    response.revision = StoreRevision(revision);
    const Json noEntries = Json::array();
    for (const Json &answer : readList(object, "responses")) {
        const bool isRange = answer.is_object() && answer.contains("response_range");
        const Json &entries = isRange ? readList(answer["response_range"], "kvs") : noEntries;
        BOOST_OUTCOME_TRY(found, readAll<KeyValue>(entries, keyValueFromJson));
        response.found.push_back(std::move(found));
    }
    return response;
}

Result<TransactionResponse> parseTransactionResponse(std::string_view body,
                                                     const Transaction &transaction)
{
    BOOST_OUTCOME_TRY(response, parseTransactionResponse(body));
    const auto &operations = response.succeeded ? transaction.success : transaction.failure;
    if (response.found.size() != operations.size())
        return Error(ErrorKind::InvalidField,
                     fmt::format("transaction response has {} responses to {} operations",
                                 response.found.size(), operations.size()),
                     "responses");
    return response;
}

std::string printLeaseGrantRequest(std::chrono::seconds timeToLive)
{
    return Json{{"TTL", std::to_string(timeToLive.count())}, {"ID", "0"}}.dump();
}

Result<std::chrono::seconds> parseLeaseGrantRequest(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(seconds, readNumber(object, "TTL"));
    constexpr auto longest = std::chrono::duration_cast<std::chrono::seconds>(maxReadDuration);
    if (std::cmp_greater(seconds, longest.count()))
        return Error(ErrorKind::InvalidField,
                     fmt::format("the time to live is above {} s", longest.count()), "TTL");
    return std::chrono::seconds(static_cast<std::int64_t>(seconds));
}

std::string printLeaseGrantResponse(LeaseId lease, std::chrono::seconds timeToLive)
{
    return Json{{"ID", std::to_string(lease.value())}, {"TTL", std::to_string(timeToLive.count())}}
            .dump();
}

Result<LeaseId> parseLeaseGrantResponse(std::string_view body)
{
    BOOST_OUTCOME_TRY(object, parseObject(body));
    BOOST_OUTCOME_TRY(lease, readNumber(object, "ID"));
    if (lease == 0)
        return Error(ErrorKind::InvalidField, "lease grant response has no ID", "ID");
    return LeaseId(lease);
}

} // namespace bamboochute::platform
