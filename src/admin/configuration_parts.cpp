#include "admin/configuration_parts.hpp"

#include "admin/configuration_format.hpp"
#include "admin/configuration_items.hpp"
#include "admin/field_writer.hpp"
#include "core/digest.hpp"
#include "core/random.hpp"

#include <algorithm>
#include <span>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

constexpr std::size_t partHashLength = 32;
constexpr std::size_t childrenPerPart = 16;
constexpr int childIndexBits = 4;
constexpr int treePositionBits = 64;

/// One item of a configuration, as written in a leaf.
struct Item
{
    /// Hash of kind, deployment and key; its bits, from the highest, select the child at each
    /// level.
    std::uint64_t treePosition = 0;
    std::string json;
    auto operator<=>(const Item &) const = default;
};

Item makeItem(const char *kind, const std::string &deployment, const std::string &key,
              nlohmann::ordered_json value)
{
    nlohmann::ordered_json json;
    json["kind"] = kind;
    json["deployment"] = deployment;
    json["value"] = std::move(value);
    return {stableHash(fmt::format("{}/{}/{}", kind, deployment, key)), json.dump()};
}

template<typename Spec>
void addItems(std::vector<Item> &items, const std::string &deployment,
              const std::vector<Spec> &specs)
{
    for (const Spec &spec : specs)
        items.push_back(makeItem(ItemKind<Spec>::name, deployment, ItemKind<Spec>::key(spec),
                                 toJson(spec)));
}

std::vector<Item> listItems(const Configuration &configuration)
{
    std::vector<Item> items;
    addItems(items, "", configuration.operators);
    for (const Deployment &deployment : configuration.deployments) {
        const std::string &id = deployment.id.value();
        FieldWriter settings;
        visitSettings(settings, deployment);
        items.push_back(makeItem(settingsKind, id, "", settings.take()));
        addItems(items, id, deployment.callerClasses);
        addItems(items, id, deployment.models);
        addItems(items, id, deployment.adapters);
        addItems(items, id, deployment.upstreams);
        addItems(items, id, deployment.routes);
    }
    std::sort(items.begin(), items.end());
    return items;
}

std::size_t childIndex(const Item &item, std::size_t depth)
{
    const int shift = treePositionBits - childIndexBits * static_cast<int>(depth + 1);
    return (item.treePosition >> shift) % childrenPerPart;
}

/// Builds the tree of parts recursively; a part's children are built before the part.
class PartTreeBuilder
{
public:
    PartHash build(std::span<const Item> items, std::size_t depth)
    {
        std::size_t bytes = 0;
        for (const Item &item : items)
            bytes += item.json.size() + 1;
        if (bytes <= maxLeafBytes || items.size() <= 1 || depth >= maxTreeDepth)
            return this->addPart(leafText(items));
        std::vector<std::string> children(childrenPerPart);
        for (auto first = items.begin(); first != items.end();) {
            const std::size_t child = childIndex(*first, depth);
            const auto last = std::find_if(first, items.end(), [&](const Item &item) {
                return childIndex(item, depth) != child;
            });
            children[child] = this->build({first, last}, depth + 1).value();
            first = last;
        }
        nlohmann::ordered_json inner;
        inner["children"] = children;
        return this->addPart(inner.dump());
    }

    Parts take() { return std::move(this->parts); }

private:
    static std::string leafText(std::span<const Item> items)
    {
        std::string text = R"({"items":[)";
        for (const Item &item : items) {
            text += text.back() == '[' ? "" : ",";
            text += item.json;
        }
        return text + "]}";
    }

    PartHash addPart(std::string text)
    {
        PartHash hash = hashPart(text);
        this->parts.emplace(hash, std::move(text));
        return hash;
    }

    Parts parts;
};

Error invalidPart(const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid,
                 fmt::format("a part of the configuration {}", message), "parts");
}

} // namespace

PartHash hashPart(std::string_view text)
{
    return PartHash(sha256Hex(text).substr(0, partHashLength));
}

PartSet splitConfiguration(const Configuration &configuration)
{
    const std::vector<Item> items = listItems(sorted(configuration));
    PartTreeBuilder builder;
    PartSet set;
    set.top = builder.build(items, 0);
    set.parts = builder.take();
    return set;
}

Result<std::vector<PartHash>> readChildren(std::string_view text)
{
    std::vector<PartHash> hashes;
    if (text.starts_with(R"({"items":)"))
        return hashes;
    BOOST_OUTCOME_TRY(json, parseJson(text, partLimits));
    const bool isInner = json.is_object() && json.contains("children")
                         && json["children"].is_array()
                         && json["children"].size() == childrenPerPart;
    if (!isInner)
        return invalidPart("has neither items nor sixteen children");
    for (const nlohmann::json &child : json["children"]) {
        if (!child.is_string())
            return invalidPart("has a child that is not a hash");
        const std::string &hash = child.get_ref<const std::string &>();
        if (!hash.empty() && hash.size() != partHashLength)
            return invalidPart("has a child that is not a hash");
        if (!hash.empty())
            hashes.emplace_back(hash);
    }
    return hashes;
}

TreeWalk::TreeWalk(const PartHash &top, const PartLookup &lookup)
{
    if (!top.isEmpty())
        this->visit(top, lookup, 0);
}

bool TreeWalk::add(const std::string &text, const PartLookup &lookup)
{
    const PartHash hash = hashPart(text);
    if (text.size() > maxPartBytes || !this->missingParts.contains(hash))
        return false;
    if (!readChildren(text))
        return false;
    this->missingParts.erase(hash);
    this->reachedParts.insert(hash);
    return this->expand(text, lookup, 0);
}

void TreeWalk::visit(const PartHash &hash, const PartLookup &lookup, std::size_t depth)
{
    if (this->reachedParts.contains(hash))
        return;
    const std::string *text = lookup(hash);
    if (text == nullptr || depth > maxTreeDepth + 1) {
        this->missingParts.insert(hash);
        return;
    }
    this->reachedParts.insert(hash);
    this->expand(*text, lookup, depth);
}

bool TreeWalk::expand(const std::string &text, const PartLookup &lookup, std::size_t depth)
{
    const auto children = readChildren(text);
    if (!children)
        return false;
    for (const PartHash &child : children.value())
        this->visit(child, lookup, depth + 1);
    return true;
}

} // namespace bamboochute::admin
