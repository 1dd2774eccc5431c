/// @file
/// @brief Client of the key-value service over the etcd v3 JSON gateway.
#pragma once

#include "core/metrics.hpp"
#include "platform/http_call.hpp"
#include "platform/key_value.hpp"

namespace bamboochute::platform {

/// @brief Implements KeyValueService; counts calls by purpose and failures by kind of error.
class KeyValueClient
{
public:
    using TransactionDone = std::function<void(Result<TransactionResponse>)>;
    using LeaseDone = std::function<void(Result<LeaseId>)>;

    /// @param context event loop of the control thread; must outlive the client
    /// @param endpoints addresses of the gateway, tried in order; at least one
    /// @param metrics where calls and failures are counted; must outlive the client
    KeyValueClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
                   Metrics &metrics);

    /// @brief Sends a transaction.
    /// @param purpose what the transaction is for
    /// @param done called once with the response, KeyValueUnavailable (no effect) or
    /// KeyValueOutcomeUnknown (the transaction writes and may have had an effect)
    void submit(Purpose purpose, const Transaction &transaction, TransactionDone done);

    /// @brief Requests a lease.
    /// @param done called once with the lease, KeyValueUnavailable (none was granted) or
    /// KeyValueOutcomeUnknown (one may have been granted)
    void grantLease(Purpose purpose, std::chrono::seconds timeToLive, LeaseDone done);

    /// @brief Whether the last completed call succeeded.
    bool isAvailable() const noexcept { return this->available; }

    /// @brief Time since the last successful call, or since construction when there was none.
    std::chrono::milliseconds sinceLastAnswer() const;

private:
    template<typename T>
    void complete(const std::function<void(Result<T>)> &done, Result<T> result);

    AsyncHttpClient client;
    Metrics &metrics;
    bool available = true;
    SteadyClock clock;
    TimePoint lastAnswer = SteadyClock().now();
};

static_assert(KeyValueService<KeyValueClient>);

} // namespace bamboochute::platform
