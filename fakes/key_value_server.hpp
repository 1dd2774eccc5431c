/// @file
/// @brief Fake of the platform's key-value service: the etcd v3 JSON gateway with fault injection.
#pragma once

#include "core/random.hpp"
#include "fakes/http_server.hpp"
#include "platform/key_value_state.hpp"

#include <map>

namespace bamboochute::fakes {

/// @brief Injected faults, set by POST /fake/faults.
struct KeyValueFaults
{
    /// Closes the connection of every call without carrying the call out.
    bool isDown = false;
    /// Delay before each answer.
    std::chrono::milliseconds delay{0};
    /// Share of writes, from 0 to 1, that take effect but whose connection closes without an
    /// answer.
    double lostAnswerShare = 0;
    auto operator<=>(const KeyValueFaults &) const = default;
};

/// @brief Serves /v3/kv/txn, /v3/lease/grant, /fake/faults and /fake/stats.
class KeyValueServer
{
public:
    explicit KeyValueServer(upstream::asio::io_context &context);

    /// @brief As FakeHttpServer::listen().
    Result<Endpoint> listen(const Endpoint &endpoint) { return this->server.listen(endpoint); }
    /// @brief As FakeHttpServer::close().
    void close() { this->server.close(); }
    /// @brief Replaces all faults.
    void setFaults(const KeyValueFaults &changed) { this->faults = changed; }
    /// @brief Stored keys and leases.
    const platform::KeyValueState &store() const { return this->state; }

private:
    /// An answer, and whether the connection closes instead of sending it.
    struct AnswerPlan
    {
        caller::Answer answer;
        bool isLost = false;
    };

    upstream::Awaitable<void> handle(FakeCall &call);
    AnswerPlan answer(const caller::CallerRequest &request);
    AnswerPlan transact(const std::string &body);
    AnswerPlan grantLease(const std::string &body);
    AnswerPlan changeFaults(const std::string &body);
    AnswerPlan statistics() const;

    platform::KeyValueState state;
    KeyValueFaults faults;
    Random random{1};
    std::map<std::string, std::uint64_t> callsByPurpose;
    upstream::asio::io_context &context;
    FakeHttpServer server;
};

} // namespace bamboochute::fakes
