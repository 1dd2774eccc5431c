#include "residency/peer_directory.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace bamboochute::residency {

void PeerDirectory::addListed(const std::vector<Endpoint> &listed, const Endpoint &self,
                              TimePoint now)
{
    if (listed.empty())
        return;
    for (const Endpoint &endpoint : listed) {
        if (endpoint != self)
            this->listedAt[endpoint] = now;
    }
    // Without new lists, as while there is no owner, the known instances are kept.
    std::erase_if(this->listedAt,
                  [now](const auto &item) { return item.second + listingLifetime < now; });
}

std::vector<Endpoint> PeerDirectory::holdersOf(std::string_view key, std::size_t count) const
{
    // Rendezvous hashing: when an instance comes or goes, only its own records move.
    std::vector<std::pair<std::uint64_t, Endpoint>> scores;
    for (const auto &[endpoint, time] : this->listedAt)
        scores.emplace_back(
                stableHash(fmt::format("{}:{}", endpoint.address, endpoint.port), stableHash(key)),
                endpoint);
    std::sort(scores.rbegin(), scores.rend());
    scores.resize(std::min(scores.size(), count));
    std::vector<Endpoint> holders;
    holders.reserve(scores.size());
    for (auto &[score, endpoint] : scores)
        holders.push_back(std::move(endpoint));
    return holders;
}

} // namespace bamboochute::residency
