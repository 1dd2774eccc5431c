#include "admin/configuration_join.hpp"

#include "admin/configuration_format.hpp"
#include "admin/configuration_items.hpp"
#include "admin/field_reader.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace bamboochute::admin {

namespace {

/// Items read from some leaves; a deployment contains only the list items that were found.
struct LeafItems
{
    std::vector<OperatorCredential> operators;
    std::map<DeploymentId, Deployment> deployments;
    /// Deployments whose settings item was found.
    std::set<DeploymentId> deploymentsWithSettings;
};

Error invalidPart(const std::string &message)
{
    return Error(ErrorKind::ConfigurationInvalid,
                 fmt::format("a part of the configuration {}", message), "parts");
}

/// Parses leaves and collects their items.
class LeafReader
{
public:
    Result<void> addLeaf(const std::string &text)
    {
        // The part's hash was verified, so the check for malicious JSON (parseJson) is skipped to
        // save time.
        const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
        if (!json.is_object())
            return invalidPart("is not an object");
        const auto items = json.find("items");
        if (items == json.end())
            return boost::outcome_v2::success();
        if (!items->is_array())
            return invalidPart("has no list of items");
        for (const nlohmann::json &item : *items) {
            BOOST_OUTCOME_TRYV(this->addItem(item));
        }
        return boost::outcome_v2::success();
    }

    LeafItems take() { return std::move(this->items); }

private:
    Result<void> addItem(const nlohmann::json &item)
    {
        const bool isItem = item.is_object() && item.contains("kind") && item["kind"].is_string()
                            && item.contains("deployment") && item["deployment"].is_string()
                            && item.contains("value");
        if (!isItem)
            return invalidPart("contains an entry that is not an item");
        const std::string &kind = item["kind"].get_ref<const std::string &>();
        const nlohmann::json &value = item["value"];
        if (kind == ItemKind<OperatorCredential>::name)
            return readItem(value, this->items.operators);
        Deployment &deployment = this->findOrAddDeployment(item["deployment"].get<std::string>());
        if (kind == settingsKind) {
            this->items.deploymentsWithSettings.insert(deployment.id);
            return readSettings(value, deployment);
        }
        if (kind == ItemKind<CallerClass>::name)
            return readItem(value, deployment.callerClasses);
        if (kind == ItemKind<ModelSpec>::name)
            return readItem(value, deployment.models);
        if (kind == ItemKind<AdapterSpec>::name)
            return readItem(value, deployment.adapters);
        if (kind == ItemKind<UpstreamSpec>::name)
            return readItem(value, deployment.upstreams);
        if (kind == ItemKind<ServiceRoute>::name)
            return readItem(value, deployment.routes);
        return invalidPart(fmt::format("contains an item of unknown kind \"{}\"", kind));
    }

    Deployment &findOrAddDeployment(const std::string &id)
    {
        Deployment &deployment = this->items.deployments[DeploymentId(id)];
        deployment.id = DeploymentId(id);
        return deployment;
    }

    template<typename Spec>
    static Result<void> readItem(const nlohmann::json &value, std::vector<Spec> &specs)
    {
        std::optional<Error> error;
        FieldReader reader(value, ItemKind<Spec>::name, error);
        Spec spec;
        if (!error)
            visitFields(reader, spec);
        reader.finish();
        if (error)
            return *error;
        specs.push_back(std::move(spec));
        return boost::outcome_v2::success();
    }

    static Result<void> readSettings(const nlohmann::json &value, Deployment &deployment)
    {
        std::optional<Error> error;
        FieldReader reader(value, settingsKind, error);
        if (!error)
            visitSettings(reader, deployment);
        reader.finish();
        if (error)
            return *error;
        return boost::outcome_v2::success();
    }

    LeafItems items;
};

Result<LeafItems> readLeaves(const std::vector<PartHash> &hashes, const PartLookup &lookup)
{
    LeafReader reader;
    for (const PartHash &hash : hashes) {
        const std::string *text = lookup(hash);
        BC_INVARIANT(text != nullptr, "every part of a complete tree is known");
        BOOST_OUTCOME_TRYV(reader.addLeaf(*text));
    }
    return reader.take();
}

/// Removes and adds items of a sorted list; items are identified by their keys.
template<typename Spec>
void replaceItems(std::vector<Spec> &list, const std::vector<Spec> &removed,
                  std::vector<Spec> added)
{
    if (removed.empty() && added.empty())
        return;
    std::unordered_set<std::string_view> names;
    for (const Spec &spec : removed)
        names.insert(ItemKind<Spec>::key(spec));
    for (const Spec &spec : added)
        names.insert(ItemKind<Spec>::key(spec));
    std::erase_if(list,
                  [&](const Spec &spec) { return names.contains(ItemKind<Spec>::key(spec)); });
    const auto isBefore = [](const Spec &left, const Spec &right) {
        return ItemKind<Spec>::key(left) < ItemKind<Spec>::key(right);
    };
    std::sort(added.begin(), added.end(), isBefore);
    const auto middle = static_cast<std::ptrdiff_t>(list.size());
    std::move(added.begin(), added.end(), std::back_inserter(list));
    std::inplace_merge(list.begin(), list.begin() + middle, list.end(), isBefore);
}

void replaceLists(Deployment &deployment, const Deployment &removed, const Deployment &added)
{
    replaceItems(deployment.callerClasses, removed.callerClasses, added.callerClasses);
    replaceItems(deployment.models, removed.models, added.models);
    replaceItems(deployment.adapters, removed.adapters, added.adapters);
    replaceItems(deployment.upstreams, removed.upstreams, added.upstreams);
    replaceItems(deployment.routes, removed.routes, added.routes);
}

void replaceSettings(Deployment &deployment, const Deployment &source)
{
    deployment.deadlines = source.deadlines;
    deployment.store = source.store;
    deployment.idleSecondsPerColdStartSecond = source.idleSecondsPerColdStartSecond;
}

Deployment &findOrInsertDeployment(Configuration &configuration, const DeploymentId &id)
{
    auto &all = configuration.deployments;
    const auto position = std::lower_bound(
            all.begin(), all.end(), id,
            [](const Deployment &each, const DeploymentId &wanted) { return each.id < wanted; });
    if (position != all.end() && position->id == id)
        return *position;
    const auto inserted = all.emplace(position);
    inserted->id = id;
    return *inserted;
}

} // namespace

Result<Configuration> joinParts(const std::unordered_set<PartHash> &parts, const PartLookup &lookup)
{
    BOOST_OUTCOME_TRY(items, readLeaves({parts.begin(), parts.end()}, lookup));
    Configuration configuration;
    configuration.operators = std::move(items.operators);
    for (auto &[id, deployment] : items.deployments)
        configuration.deployments.push_back(std::move(deployment));
    return sorted(std::move(configuration));
}

Result<Configuration> joinChanges(const Configuration &base, const std::vector<PartHash> &removed,
                                  const std::vector<PartHash> &added, const PartLookup &lookup)
{
    BOOST_OUTCOME_TRY(removedItems, readLeaves(removed, lookup));
    BOOST_OUTCOME_TRY(addedItems, readLeaves(added, lookup));
    Configuration configuration = base;
    configuration.revision = Revision();
    replaceItems(configuration.operators, removedItems.operators, std::move(addedItems.operators));
    std::set<DeploymentId> changedDeployments;
    for (const auto &[id, deployment] : removedItems.deployments)
        changedDeployments.insert(id);
    for (const auto &[id, deployment] : addedItems.deployments)
        changedDeployments.insert(id);
    for (const DeploymentId &id : changedDeployments) {
        Deployment &deployment = findOrInsertDeployment(configuration, id);
        replaceLists(deployment, removedItems.deployments[id], addedItems.deployments[id]);
        if (addedItems.deploymentsWithSettings.contains(id))
            replaceSettings(deployment, addedItems.deployments[id]);
    }
    std::erase_if(configuration.deployments, [&](const Deployment &each) {
        return removedItems.deploymentsWithSettings.contains(each.id)
               && !addedItems.deploymentsWithSettings.contains(each.id);
    });
    return configuration;
}

} // namespace bamboochute::admin
