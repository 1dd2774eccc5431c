#include "admin/configuration_difference.hpp"

#include "admin/field_writer.hpp"

#include <array>
#include <map>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

constexpr std::string_view hashField = "credentialHash";

std::string formatFieldValue(std::string_view field, const nlohmann::ordered_json &value)
{
    if (field == hashField)
        return value == nlohmann::ordered_json(std::string()) ? "none" : "set (not shown)";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string itemName(const OperatorCredential &spec)
{
    return "operator " + spec.name;
}
std::string itemName(const CallerClass &spec)
{
    return "caller class " + spec.id.value();
}
std::string itemName(const ModelSpec &spec)
{
    return "model " + spec.id.value();
}
std::string itemName(const AdapterSpec &spec)
{
    return "adapter " + spec.id.value();
}
std::string itemName(const UpstreamSpec &spec)
{
    return "upstream " + spec.id.value();
}
std::string itemName(const ServiceRoute &spec)
{
    return "route " + spec.pathPrefix;
}

/// Collects the differences of one comparison.
class Comparison
{
public:
    std::vector<DifferenceLine> take() { return std::move(this->lines); }

    template<typename Spec>
    void compareLists(const std::string &prefix, const std::vector<Spec> &before,
                      const std::vector<Spec> &after)
    {
        std::map<std::string, std::pair<const Spec *, const Spec *>> pairs;
        for (const Spec &spec : before)
            pairs[itemName(spec)].first = &spec;
        for (const Spec &spec : after)
            pairs[itemName(spec)].second = &spec;
        for (const auto &[name, pair] : pairs)
            this->comparePair(prefix + name, pair.first, pair.second);
    }

    void compareDeployments(const Deployment *before, const Deployment *after)
    {
        const Deployment none;
        const std::string name = "deployment " + (after == nullptr ? before : after)->id.value();
        if (before == nullptr || after == nullptr)
            this->addItemLine(name, before == nullptr);
        else
            this->compareFields(name, settingsOf(*before), settingsOf(*after));
        const Deployment &left = before == nullptr ? none : *before;
        const Deployment &right = after == nullptr ? none : *after;
        const std::string prefix = name + ", ";
        this->compareLists(prefix, left.callerClasses, right.callerClasses);
        this->compareLists(prefix, left.models, right.models);
        this->compareLists(prefix, left.adapters, right.adapters);
        this->compareLists(prefix, left.upstreams, right.upstreams);
        this->compareLists(prefix, left.routes, right.routes);
    }

private:
    static nlohmann::ordered_json settingsOf(const Deployment &deployment)
    {
        FieldWriter writer;
        visitSettings(writer, deployment);
        return writer.take();
    }

    template<typename Spec>
    void comparePair(const std::string &name, const Spec *before, const Spec *after)
    {
        if (before == nullptr || after == nullptr)
            this->addItemLine(name, before == nullptr);
        else if (!(*before == *after))
            this->compareFields(name, toJson(*before), toJson(*after));
    }

    void addItemLine(const std::string &name, bool isNew)
    {
        this->lines.push_back(
                {isNew ? DifferenceKind::Added : DifferenceKind::Removed, name, "", ""});
    }

    void compareFields(const std::string &name, const nlohmann::ordered_json &before,
                       const nlohmann::ordered_json &after)
    {
        for (const auto &[field, value] : after.items()) {
            const nlohmann::ordered_json &old = before.at(field);
            const std::string fieldPath = fmt::format("{}, {}", name, field);
            if (value.is_object())
                this->compareFields(fieldPath, old, value);
            else if (old != value)
                this->lines.push_back({DifferenceKind::Changed, fieldPath,
                                       formatFieldValue(field, old),
                                       formatFieldValue(field, value)});
        }
    }

    std::vector<DifferenceLine> lines;
};

} // namespace

std::string_view differenceKindName(DifferenceKind kind) noexcept
{
    constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names[static_cast<std::size_t>(kind)];
}

std::vector<DifferenceLine> compareConfigurations(const Configuration &before,
                                                  const Configuration &after)
{
    Comparison comparison;
    comparison.compareLists("", before.operators, after.operators);
    std::map<DeploymentId, std::pair<const Deployment *, const Deployment *>> pairs;
    for (const Deployment &deployment : before.deployments)
        pairs[deployment.id].first = &deployment;
    for (const Deployment &deployment : after.deployments)
        pairs[deployment.id].second = &deployment;
    for (const auto &[id, pair] : pairs)
        comparison.compareDeployments(pair.first, pair.second);
    return comparison.take();
}

std::string toText(const DifferenceLine &line)
{
    switch (line.kind) {
    case DifferenceKind::Added:
        return "+ " + line.what;
    case DifferenceKind::Removed:
        return "- " + line.what;
    case DifferenceKind::Changed:
        break;
    }
    return fmt::format("~ {}: {} -> {}", line.what, line.before, line.after);
}

} // namespace bamboochute::admin
