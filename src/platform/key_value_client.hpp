/// @file
/// @brief The key-value service over the etcd v3 JSON gateway.
#pragma once

#include "core/metrics.hpp"
#include "platform/http_call.hpp"
#include "platform/key_value.hpp"

namespace bamboochute::platform {

/// @brief Satisfies KeyValueService; every call is counted by its purpose.
class KeyValueClient
{
public:
    using TransactionDone = std::function<void(Result<TransactionResponse>)>;
    using LeaseDone = std::function<void(Result<LeaseId>)>;

    /// @param context event loop of the control thread
    /// @param endpoints addresses of the gateway
    /// @param metrics where calls and failures are counted
    KeyValueClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
                   Metrics &metrics);

    /// @brief Sends a transaction.
    /// @param done gets the response, KeyValueUnavailable (no effect) or KeyValueOutcomeUnknown
    void submit(Purpose purpose, const Transaction &transaction, TransactionDone done);

    /// @brief Asks for a lease.
    void grantLease(Purpose purpose, std::chrono::seconds timeToLive, LeaseDone done);

    /// @brief Whether the newest call that ended had an answer.
    bool isAvailable() const noexcept { return this->available; }

    /// @brief Time since the newest answer; since the start when none came.
    std::chrono::milliseconds sinceLastAnswer() const;

private:
    template<typename T>
    void finish(const std::function<void(Result<T>)> &done, Result<T> result);

    HttpCaller caller;
    Metrics &metrics;
    bool available = true;
    SteadyClock clock;
    TimePoint lastAnswer = SteadyClock().now();
};

static_assert(KeyValueService<KeyValueClient>);

} // namespace bamboochute::platform
