#include "admin/configuration_schema.hpp"

#include "admin/configuration_fields.hpp"

#include <nlohmann/json.hpp>

namespace bamboochute::admin {

namespace {

using Json = nlohmann::ordered_json;

constexpr int indentation = 2;
constexpr const char *namePattern = "^[A-Za-z0-9._@:-]{1,128}$";
constexpr const char *optionalNamePattern = "^[A-Za-z0-9._@:-]{0,128}$";
constexpr const char *pathPattern = "^/[A-Za-z0-9._@:/~-]{0,255}$";
constexpr const char *hashPattern = "^[0-9a-f]{64}$";
constexpr const char *optionalHashPattern = "^([0-9a-f]{64})?$";

/// Visitor that writes the schema of each field; optional fields include their default.
class SchemaWriter
{
public:
    template<typename Tag>
    void name(const char *field, const Id<Tag> &)
    {
        this->add(field, {{"type", "string"}, {"pattern", namePattern}}, Presence::Required);
    }
    template<typename Tag>
    void optionalName(const char *field, const Id<Tag> &id)
    {
        this->addWithDefault(field, {{"type", "string"}, {"pattern", optionalNamePattern}},
                             id.value());
    }
    template<typename Tag>
    void names(const char *field, const std::vector<Id<Tag>> &, std::size_t maxSize)
    {
        const Json items = {{"type", "string"}, {"pattern", namePattern}};
        this->addWithDefault(field, {{"type", "array"}, {"maxItems", maxSize}, {"items", items}},
                             Json::array());
    }
    void text(const char *field, const std::string &, std::size_t)
    {
        this->add(field, {{"type", "string"}, {"pattern", namePattern}}, Presence::Required);
    }
    void hash(const char *field, const std::string &text, Presence presence)
    {
        const bool isRequired = presence == Presence::Required;
        const Json schema
                = {{"type", "string"}, {"pattern", isRequired ? hashPattern : optionalHashPattern}};
        if (isRequired)
            this->add(field, schema, presence);
        else
            this->addWithDefault(field, schema, text);
    }
    void address(const char *field, const std::string &)
    {
        const Json either = Json::array({{{"format", "ipv4"}}, {{"format", "ipv6"}}});
        this->add(field, {{"type", "string"}, {"anyOf", either}}, Presence::Required);
    }
    void pathPrefix(const char *field, const std::string &)
    {
        this->add(field, {{"type", "string"}, {"pattern", pathPattern}}, Presence::Required);
    }
    void methods(const char *field, const std::vector<std::string> &)
    {
        const Json items = {{"enum", knownMethods}};
        this->addWithDefault(field,
                             {{"type", "array"}, {"maxItems", maxMethodsOfRoute}, {"items", items}},
                             Json::array());
    }
    template<std::unsigned_integral T>
    void number(const char *field, T number, NumberRange range,
                Presence presence = Presence::Optional)
    {
        const Json schema = numberSchema("integer", range.minimum, range.maximum);
        if (presence == Presence::Required)
            this->add(field, schema, presence);
        else
            this->addWithDefault(field, schema, number);
    }
    void signedNumber(const char *field, std::int32_t number, Range<std::int64_t> range)
    {
        this->addWithDefault(field, numberSchema("integer", range.minimum, range.maximum), number);
    }
    void decimal(const char *field, double number, Range<double> range)
    {
        this->addWithDefault(field, numberSchema("number", range.minimum, range.maximum), number);
    }
    template<typename Rep, typename Period>
    void duration(const char *field, std::chrono::duration<Rep, Period> duration, NumberRange range)
    {
        this->addWithDefault(field, numberSchema("integer", range.minimum, range.maximum),
                             duration.count());
    }
    void flag(const char *field, bool flag)
    {
        this->addWithDefault(field, {{"type", "boolean"}}, flag);
    }
    template<typename Enum, std::size_t count>
    void choice(const char *field, Enum choice, const ChoiceNames<Enum, count> &names,
                Presence presence)
    {
        Json allowed = Json::array();
        Json defaultValue;
        for (const auto &[each, name] : names) {
            allowed.push_back(name);
            if (each == choice)
                defaultValue = name;
        }
        if (presence == Presence::Required)
            this->add(field, {{"enum", allowed}}, presence);
        else
            this->addWithDefault(field, {{"enum", allowed}}, defaultValue);
    }
    void formatVersion(const char *field)
    {
        this->add(field, {{"const", configurationFormatVersion}}, Presence::Required);
    }
    template<typename Spec>
    void object(const char *field, const Spec &spec)
    {
        this->add(field, schemaOf(spec), Presence::Optional);
    }
    template<typename Spec>
    void list(const char *field, const std::vector<Spec> &, std::size_t maxSize)
    {
        this->addWithDefault(
                field, {{"type", "array"}, {"maxItems", maxSize}, {"items", schemaOf(Spec())}},
                Json::array());
    }

    template<typename Spec>
    static Json schemaOf(const Spec &spec)
    {
        SchemaWriter writer;
        visitFields(writer, spec);
        Json schema = {{"type", "object"}, {"additionalProperties", false}};
        if (!writer.required.empty())
            schema["required"] = writer.required;
        schema["properties"] = writer.properties;
        return schema;
    }

private:
    template<typename T>
    static Json numberSchema(const char *type, T minimum, T maximum)
    {
        return {{"type", type}, {"minimum", minimum}, {"maximum", maximum}};
    }

    void add(const char *field, const Json &schema, Presence presence)
    {
        this->properties[field] = schema;
        if (presence == Presence::Required)
            this->required.push_back(field);
    }

    void addWithDefault(const char *field, Json schema, const Json &defaultValue)
    {
        schema["default"] = defaultValue;
        this->add(field, schema, Presence::Optional);
    }

    Json properties = Json::object();
    Json required = Json::array();
};

} // namespace

std::string configurationSchema()
{
    Json schema = {{"$schema", "https://json-schema.org/draft/2020-12/schema"},
                   {"title", "bamboochute configuration"}};
    schema.update(SchemaWriter::schemaOf(Configuration()));
    return schema.dump(indentation) + "\n";
}

} // namespace bamboochute::admin
