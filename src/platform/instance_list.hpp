/// @file
/// @brief Client of the platform's instance list, which lags behind the actual state.
#pragma once

#include "core/configuration.hpp"
#include "core/error.hpp"
#include "platform/http_call.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace bamboochute::platform {

/// @brief State of an instance according to the platform.
enum class ListedState { Live, Leaving, Terminated };

/// @brief One entry of the list.
struct ListedInstance
{
    /// Name of an entry instance or of an upstream.
    std::string name;
    Endpoint endpoint;
    DataCentreId dataCentre;
    ListedState state = ListedState::Live;
    /// Increases each time a new process runs under the name; zero when the platform does not
    /// provide it.
    std::uint64_t generation = 0;
    auto operator<=>(const ListedInstance &) const = default;
};

/// @brief The instance list, separated into entry instances and upstreams.
struct InstanceList
{
    std::vector<ListedInstance> entryInstances;
    std::vector<ListedInstance> upstreams;
    auto operator<=>(const InstanceList &) const = default;
};

/// @brief Writes the list as JSON.
std::string printInstanceList(const InstanceList &list);

/// @brief Parses the body of the platform's response.
/// @return the list; MalformedJson or InvalidField when the body is not a valid list
Result<InstanceList> parseInstanceList(std::string_view body);

/// @brief Reads the list from the platform: GET /v1/instances.
class InstanceListClient
{
public:
    /// @param context event loop of the control thread; must outlive the client
    /// @param endpoints addresses of the platform, tried in order; at least one
    InstanceListClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints);

    /// @brief Starts reading the list.
    /// @param done called once with the list, or with the error of the call or of parsing its body
    void read(std::function<void(Result<InstanceList>)> done);

private:
    AsyncHttpClient client;
};

} // namespace bamboochute::platform
