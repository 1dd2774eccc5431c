/// @file
/// @brief The platform's lagging list of live and leaving machines.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "platform/http_call.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace bamboochute::platform {

enum class ListedState { Live, Leaving, Terminated };

/// @brief One row of the list.
struct ListedInstance
{
    /// Name of an entry instance or of an upstream.
    std::string name;
    Endpoint endpoint;
    DataCentreId dataCentre;
    ListedState state = ListedState::Live;
    /// Grows each time that a new process runs under the name; zero when the platform doesn't say.
    std::uint64_t generation = 0;
    auto operator<=>(const ListedInstance &) const = default;
};

/// @brief The list as it was read, in two kinds.
struct InstanceList
{
    std::vector<ListedInstance> entryInstances;
    std::vector<ListedInstance> upstreams;
    auto operator<=>(const InstanceList &) const = default;
};

std::string printInstanceList(const InstanceList &list);

/// @return MalformedJson or InvalidField when the body is no list
Result<InstanceList> parseInstanceList(std::string_view body);

/// @brief Reads the list from the platform: GET /v1/instances.
class InstanceListClient
{
public:
    InstanceListClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints);

    /// @param done gets the list, or KeyValueUnavailable when the platform did not answer
    void read(std::function<void(Result<InstanceList>)> done);

private:
    HttpCaller caller;
};

} // namespace bamboochute::platform
