/// @file
/// @brief The other instances that an instance knows, and which of them keep the record of a key.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace bamboochute::residency {

/// @brief Addresses of the other instances, as the placement owner lists them; not thread-safe.
class PeerDirectory
{
public:
    /// Time after which an instance that newer lists lack is forgotten. A list may come in several
    /// datagrams, and some of them get lost.
    static constexpr Duration listingLifetime = std::chrono::seconds(4);

    /// @brief Adds the instances of one list, or of a part of it.
    /// @param self address of this instance, which is left out
    void addListed(const std::vector<Endpoint> &listed, const Endpoint &self, TimePoint now);

    /// @brief The instances that keep the record of a key, the same ones at every instance that
    /// knows the same instances.
    /// @param count largest number of instances to return
    std::vector<Endpoint> holdersOf(std::string_view key, std::size_t count) const;

private:
    std::map<Endpoint, TimePoint> listedAt;
};

} // namespace bamboochute::residency
