#include "admin/store_reads.hpp"

#include <algorithm>

namespace bamboochute::admin {

platform::Transaction rootReadTransaction()
{
    return {{}, {platform::Get{std::string(rootKey), false}}, {}};
}

Result<std::optional<ConfigurationRoot>>
parseRootResponse(const platform::TransactionResponse &response)
{
    if (response.found.empty() || response.found.front().empty())
        return std::optional<ConfigurationRoot>();
    BOOST_OUTCOME_TRY(root, readRoot(response.found.front().front().value));
    return std::optional<ConfigurationRoot>(std::move(root));
}

platform::Transaction partsReadTransaction(const PartsRequest &wanted)
{
    platform::Transaction transaction;
    const std::size_t count = std::min(wanted.hashes.size(), maxPartsInMessage);
    for (std::size_t i = 0; i < count; ++i)
        transaction.success.emplace_back(platform::Get{partKey(wanted.hashes[i]), false});
    return transaction;
}

PartsResponse parsePartsResponse(const platform::TransactionResponse &response)
{
    PartsResponse given;
    for (const auto &found : response.found) {
        for (const platform::KeyValue &entry : found)
            given.parts.push_back(entry.value);
    }
    return given;
}

platform::Transaction historyReadTransaction()
{
    return {{}, {platform::Get{std::string(historyPrefix), true}}, {}};
}

Result<std::vector<ConfigurationRoot>>
parseHistoryResponse(const platform::TransactionResponse &response)
{
    std::vector<ConfigurationRoot> roots;
    for (const auto &found : response.found) {
        for (const platform::KeyValue &entry : found) {
            BOOST_OUTCOME_TRY(root, readRoot(entry.value));
            roots.push_back(std::move(root));
        }
    }
    std::sort(roots.begin(), roots.end(),
              [](const auto &left, const auto &right) { return left.revision > right.revision; });
    return roots;
}

} // namespace bamboochute::admin
