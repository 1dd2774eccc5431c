// Fuzzes the configuration reader: an accepted configuration must stay equal when it is written and
// read again, and when it is split into parts and joined.
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
    const auto configuration = admin::readConfiguration(text);
    if (!configuration)
        return 0;
    const auto reread = admin::readConfiguration(admin::writeConfiguration(configuration.value()));
    BC_INVARIANT(reread && reread.value() == configuration.value(),
                 "an accepted configuration is unchanged when it is written and read again");
    const admin::PartSet partSet = admin::splitConfiguration(configuration.value());
    const admin::PartLookup lookup = [&](const admin::PartHash &hash) -> const std::string * {
        const auto found = partSet.parts.find(hash);
        return found == partSet.parts.end() ? nullptr : &found->second;
    };
    const admin::TreeWalk walk(partSet.top, lookup);
    BC_INVARIANT(walk.isComplete(), "the parts of a split configuration form a complete tree");
    const auto joined = admin::joinParts(walk.reached(), lookup);
    BC_INVARIANT(joined && joined.value() == configuration.value(),
                 "splitting a configuration and joining its parts leave it unchanged");
    return 0;
}
