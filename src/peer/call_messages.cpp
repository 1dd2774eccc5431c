#include "peer/call_messages.hpp"

#include "core/bounded_duration.hpp"
#include "core/bounded_json.hpp"

#include <algorithm>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bamboochute::peer {

namespace {

using Json = nlohmann::json;

/// Thrown by the readers on a missing or invalid member; caught in decodeMessage() and
/// decodeResult().
struct FieldError
{
    std::string field;
    std::string expected;
};

const Json &requireMember(const Json &object, const char *name)
{
    const auto found = object.is_object() ? object.find(name) : object.end();
    if (!object.is_object() || found == object.end())
        throw FieldError{name, "is missing"};
    return *found;
}

std::uint64_t readNumber(const Json &object, const char *name, std::uint64_t limit)
{
    const Json &value = requireMember(object, name);
    const std::optional<std::uint64_t> number
            = value.is_number_float() ? std::nullopt : toInteger<std::uint64_t>(value);
    if (!number)
        throw FieldError{name, "must be a non-negative integer"};
    if (*number > limit)
        throw FieldError{name, fmt::format("must be at most {}", limit)};
    return *number;
}

// One read() and one write() for each type of a message's member.

void read(const Json &object, const char *name, std::string &value)
{
    const Json &found = requireMember(object, name);
    if (!found.is_string())
        throw FieldError{name, "must be a string"};
    value = found.get<std::string>();
}

void read(const Json &object, const char *name, bool &value)
{
    const Json &found = requireMember(object, name);
    if (!found.is_boolean())
        throw FieldError{name, "must be true or false"};
    value = found.get<bool>();
}

void read(const Json &object, const char *name, std::uint64_t &value)
{
    value = readNumber(object, name, ~std::uint64_t{0});
}

void read(const Json &object, const char *name, std::uint32_t &value)
{
    value = static_cast<std::uint32_t>(readNumber(object, name, ~std::uint32_t{0}));
}

template<typename Tag>
void read(const Json &object, const char *name, Id<Tag> &value)
{
    std::string text;
    read(object, name, text);
    value = Id<Tag>(std::move(text));
}

template<typename Tag>
void read(const Json &object, const char *name, Number<Tag> &value)
{
    value = Number<Tag>(readNumber(object, name, ~std::uint64_t{0}));
}

template<typename Period>
void read(const Json &object, const char *name, std::chrono::duration<std::int64_t, Period> &value)
{
    using Amount = std::chrono::duration<std::int64_t, Period>;
    constexpr std::uint64_t limit = std::uint64_t{1} << 53;
    const Amount amount(static_cast<std::int64_t>(readNumber(object, name, limit)));
    // Sums with the present time must not overflow.
    value = std::min(amount, std::chrono::duration_cast<Amount>(maxReadDuration));
}

void read(const Json &object, const char *name, ReportOutcome &value)
{
    const auto last = static_cast<std::uint64_t>(ReportOutcome::Refused);
    value = static_cast<ReportOutcome>(readNumber(object, name, last));
}

void read(const Json &object, const char *name, ErrorKind &value)
{
    std::string id;
    read(object, name, id);
    const auto rows = errorTable();
    const auto row = std::find_if(rows.begin(), rows.end(),
                                  [&](const ErrorRow &each) { return each.id == id; });
    if (row == rows.end())
        throw FieldError{name, "must be an error identifier from the error table"};
    value = row->kind;
}

void read(const Json &object, const char *name, Target &value)
{
    const Json &found = requireMember(object, name);
    read(found, "model", value.model);
    read(found, "adapter", value.adapter);
}

void read(const Json &object, const char *name, std::vector<std::uint64_t> &values)
{
    const Json &list = requireMember(object, name);
    if (!list.is_array() || list.size() > maxMessageEntries)
        throw FieldError{name,
                         fmt::format("must be a list of at most {} numbers", maxMessageEntries)};
    values.clear();
    for (const Json &value : list) {
        if (!value.is_number_unsigned())
            throw FieldError{name, "must contain only non-negative integers"};
        values.push_back(value.get<std::uint64_t>());
    }
}

template<typename Value>
void read(const Json &object, const char *name, std::vector<Value> &values);

Json write(const std::string &value)
{
    return value;
}

Json write(bool value)
{
    return value;
}

Json write(std::uint64_t value)
{
    return value;
}

Json write(std::uint32_t value)
{
    return value;
}

template<typename Tag>
Json write(const Id<Tag> &value)
{
    return value.value();
}

template<typename Tag>
Json write(Number<Tag> value)
{
    return value.value();
}

template<typename Period>
Json write(std::chrono::duration<std::int64_t, Period> value)
{
    return std::max<std::int64_t>(value.count(), 0);
}

Json write(ReportOutcome value)
{
    return static_cast<std::uint64_t>(value);
}

Json write(ErrorKind value)
{
    return std::string(errorRow(value).id);
}

Json write(const Target &value)
{
    return Json{{"model", value.model.value()}, {"adapter", value.adapter.value()}};
}

Json write(const std::vector<std::uint64_t> &values)
{
    return values;
}

template<typename Value>
Json write(const std::vector<Value> &values);

/// Bytes that are not necessarily UTF-8 text.
struct Binary
{
    std::string &bytes;
};

void read(const Json &object, const char *name, Binary value)
{
    const Json &found = requireMember(object, name);
    if (!found.is_binary())
        throw FieldError{name, "must be a byte string"};
    const Json::binary_t &bytes = found.get_binary();
    value.bytes.assign(bytes.begin(), bytes.end());
}

Json write(Binary value)
{
    return Json::binary(std::vector<std::uint8_t>(value.bytes.begin(), value.bytes.end()));
}

// visitFields() calls a visitor, which reads or writes, with each member of a message.

template<typename Visitor>
void visitFields(TargetDemand &message, Visitor &&each)
{
    each("target", message.target);
    each("waiting", message.waiting);
    each("earliestDeadlineMs", message.earliestDeadline);
    each("classWeight", message.classWeight);
}

template<typename Visitor>
void visitFields(DemandRefusal &message, Visitor &&each)
{
    each("target", message.target);
    each("kind", message.kind);
    each("message", message.message);
    each("retryAfterS", message.retryAfter);
    each("deadlineWithinMs", message.deadlineWithin);
}

template<typename Visitor>
void visitFields(DemandAnswer &message, Visitor &&each)
{
    each("outcome", message.outcome);
    each("ownerHint", message.ownerHint);
    each("fence", message.fence);
    each("refusals", message.refusals);
}

template<typename Visitor>
void visitFields(DemandReport &message, Visitor &&each)
{
    each("pool", message.pool);
    each("demands", message.demands);
}

template<typename Visitor>
void visitFields(TargetUsage &message, Visitor &&each)
{
    each("target", message.target);
    each("requests", message.requests);
    each("active", message.active);
    each("sinceLastUseMs", message.sinceLastUse);
}

template<typename Visitor>
void visitFields(UsageAnswer &message, Visitor &&each)
{
    each("outcome", message.outcome);
    each("ownerHint", message.ownerHint);
}

template<typename Visitor>
void visitFields(UsageReport &message, Visitor &&each)
{
    each("pool", message.pool);
    each("usages", message.usages);
}

template<typename Visitor>
void visitFields(OwnershipGivenUpAnswer &message, Visitor &&each)
{
    each("isRecorded", message.isRecorded);
}

template<typename Visitor>
void visitFields(OwnershipGivenUpReport &message, Visitor &&each)
{
    each("pool", message.pool);
    each("fence", message.fence);
    each("instance", message.instance);
    each("incarnation", message.incarnation);
    each("unresolvedOrders", message.unresolvedOrders);
}

template<typename Visitor>
void visitFields(PartPosition &message, Visitor &&each)
{
    each("hash", message.hash);
    each("offset", message.offset);
}

template<typename Visitor>
void visitFields(PartChunk &message, Visitor &&each)
{
    each("hash", message.hash);
    each("offset", message.offset);
    each("totalBytes", message.totalBytes);
    each("bytes", Binary{message.bytes});
}

template<typename Visitor>
void visitFields(ConfigurationPartsAnswer &message, Visitor &&each)
{
    each("chunks", message.chunks);
}

template<typename Visitor>
void visitFields(ConfigurationPartsRequest &message, Visitor &&each)
{
    each("parts", message.parts);
}

template<typename Visitor>
void visitFields(Pong &message, Visitor &&each)
{
    each("instance", message.instance);
    each("incarnation", message.incarnation);
}

template<typename Visitor>
void visitFields(Ping &, Visitor &&)
{}

template<typename Message>
void readMessage(const Json &object, Message &message)
{
    if (!object.is_object())
        throw FieldError{"message", "must be an object"};
    visitFields(message, [&](const char *name, auto &&value) { read(object, name, value); });
}

template<typename Message>
Json writeMessage(const Message &message)
{
    Json object = Json::object();
    // visitFields() needs references to mutable members, so it visits a copy.
    Message copy = message;
    visitFields(copy, [&](const char *name, auto &&value) { object[name] = write(value); });
    return object;
}

template<typename Value>
void read(const Json &object, const char *name, std::vector<Value> &values)
{
    const Json &found = requireMember(object, name);
    if (!found.is_array() || found.size() > maxMessageEntries)
        throw FieldError{name,
                         fmt::format("must be a list of at most {} entries", maxMessageEntries)};
    values.reserve(found.size());
    for (const Json &value : found)
        readMessage(value, values.emplace_back());
}

template<typename Value>
Json write(const std::vector<Value> &values)
{
    Json array = Json::array();
    for (const Value &value : values)
        array.push_back(writeMessage(value));
    return array;
}

Error invalidField(const FieldError &failure)
{
    return Error(ErrorKind::InvalidField,
                 fmt::format("member \"{}\" of a message between instances {}", failure.field,
                             failure.expected),
                 failure.field);
}

Json writeError(const Error &error)
{
    const auto delay = error.retryAfter().value_or(std::chrono::seconds(0));
    return Json{{"kind", write(error.kind())},
                {"message", error.message()},
                {"field", error.field()},
                {"retryAfterS", delay.count()}};
}

Error readError(const Json &object)
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string field;
    std::chrono::seconds delay{0};
    read(object, "kind", kind);
    read(object, "message", message);
    read(object, "field", field);
    read(object, "retryAfterS", delay);
    const Error error(kind, std::move(message), std::move(field));
    return delay.count() > 0 ? error.withRetryAfter(delay) : error;
}

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<Json> fromBytes(std::string_view bytes)
{
    return tryParseBoundedJson(bytes, {}, Json::input_format_t::cbor);
}

} // namespace

template<typename Message>
std::string encodeMessage(const Message &message)
{
    return toBytes(writeMessage(message));
}

template<typename Message>
Result<Message> decodeMessage(std::string_view bytes)
{
    const std::optional<Json> json = fromBytes(bytes);
    if (!json)
        return Error(ErrorKind::MalformedJson, "a message between instances is not CBOR");
    try {
        Message message;
        readMessage(*json, message);
        return message;
    } catch (const FieldError &failure) {
        return invalidField(failure);
    }
}

template<typename Message>
std::string encodeResult(const Result<Message> &result)
{
    Json object = Json::object();
    if (result)
        object["value"] = writeMessage(result.value());
    else
        object["error"] = writeError(result.error());
    return toBytes(object);
}

template<typename Message>
Result<Message> decodeResult(std::string_view bytes)
{
    const std::optional<Json> json = fromBytes(bytes);
    if (!json)
        return Error(ErrorKind::MalformedJson, "an answer between instances is not CBOR");
    try {
        if (json->is_object() && json->contains("error"))
            return readError((*json)["error"]);
        Message message;
        readMessage(requireMember(*json, "value"), message);
        return message;
    } catch (const FieldError &failure) {
        return invalidField(failure);
    }
}

// Instantiations for the messages of all calls.
template std::string encodeMessage(const DemandReport &);
template Result<DemandReport> decodeMessage(std::string_view);
template std::string encodeResult(const Result<DemandAnswer> &);
template Result<DemandAnswer> decodeResult(std::string_view);
template std::string encodeMessage(const UsageReport &);
template Result<UsageReport> decodeMessage(std::string_view);
template std::string encodeResult(const Result<UsageAnswer> &);
template Result<UsageAnswer> decodeResult(std::string_view);
template std::string encodeMessage(const OwnershipGivenUpReport &);
template Result<OwnershipGivenUpReport> decodeMessage(std::string_view);
template std::string encodeResult(const Result<OwnershipGivenUpAnswer> &);
template Result<OwnershipGivenUpAnswer> decodeResult(std::string_view);
template std::string encodeMessage(const ConfigurationPartsRequest &);
template Result<ConfigurationPartsRequest> decodeMessage(std::string_view);
template std::string encodeResult(const Result<ConfigurationPartsAnswer> &);
template Result<ConfigurationPartsAnswer> decodeResult(std::string_view);
template std::string encodeMessage(const Ping &);
template Result<Ping> decodeMessage(std::string_view);
template std::string encodeMessage(const Pong &);
template Result<Pong> decodeMessage(std::string_view);
template std::string encodeResult(const Result<Pong> &);
template Result<Pong> decodeResult(std::string_view);

} // namespace bamboochute::peer
