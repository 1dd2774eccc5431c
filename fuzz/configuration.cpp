// Feeds the configuration reader; what it accepts must be written and read again unchanged.
#include "admin/configuration_format.hpp"
#include "admin/configuration_join.hpp"
#include "admin/configuration_parts.hpp"
#include "core/invariant.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace bamboochute;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto read = admin::readConfiguration(text);
    if (!read)
        return 0;
    const auto again = admin::readConfiguration(admin::writeConfiguration(read.value()));
    BC_INVARIANT(again && again.value() == read.value(), "an accepted configuration is stable");
    const admin::PartSet set = admin::splitConfiguration(read.value());
    const admin::PartLookup lookup = [&](const admin::PartHash &hash) -> const std::string * {
        const auto found = set.parts.find(hash);
        return found == set.parts.end() ? nullptr : &found->second;
    };
    const admin::TreeWalk walk(set.top, lookup);
    BC_INVARIANT(walk.isComplete(), "the parts of a configuration are a whole tree");
    const auto joined = admin::joinParts(walk.reached(), lookup);
    BC_INVARIANT(joined && joined.value() == read.value(), "splitting and joining change nothing");
    return 0;
}
