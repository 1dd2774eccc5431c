/// @file
/// @brief Stand-in for the platform's key-value service: the etcd v3 gateway with faults.
#pragma once

#include "core/random.hpp"
#include "fakes/http_server.hpp"
#include "platform/key_value_state.hpp"

#include <map>

namespace bamboochute::fakes {

/// @brief Faults of the service, set by POST /fake/faults.
struct KeyValueFaults
{
    /// Closes every call without carrying it out.
    bool isDown = false;
    std::chrono::milliseconds delay{0};
    /// Share of writes that take effect and whose answer is lost.
    double lostAnswerShare = 0;
    auto operator<=>(const KeyValueFaults &) const = default;
};

/// @brief Serves /v3/kv/txn, /v3/lease/grant, /fake/faults and /fake/stats.
class KeyValueServer
{
public:
    explicit KeyValueServer(upstream::asio::io_context &context);

    Result<Endpoint> listen(const Endpoint &endpoint) { return this->server.listen(endpoint); }
    void close() { this->server.close(); }
    void setFaults(const KeyValueFaults &changed) { this->faults = changed; }
    const platform::KeyValueState &store() const { return this->state; }

private:
    /// An answer, and whether it is lost on its way.
    struct Outcome
    {
        caller::Answer answer;
        bool isLost = false;
    };

    upstream::Awaitable<void> handle(FakeCall &call);
    Outcome answer(const caller::CallerRequest &request);
    Outcome transact(const std::string &body);
    Outcome grantLease(const std::string &body);
    Outcome changeFaults(const std::string &body);
    Outcome statistics() const;

    platform::KeyValueState state;
    KeyValueFaults faults;
    Random random{1};
    std::map<std::string, std::uint64_t> callsByPurpose;
    upstream::asio::io_context &context;
    FakeHttpServer server;
};

} // namespace bamboochute::fakes
