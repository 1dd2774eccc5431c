/// @file
/// @brief Asynchronous HTTP client with failover between a few endpoints, for the control thread.
#pragma once

#include "core/clock.hpp"
#include "core/configuration.hpp"
#include "core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace bamboochute::platform {

/// @brief An HTTP request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target;
    std::string body;
    /// Value of the header x-bamboochute-purpose; when empty, the header is not sent.
    std::string purpose;
};

/// @brief An HTTP response.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// @brief Called once per call, with the response or the error.
using HttpCallback = std::function<void(Result<HttpAnswer>)>;

/// @brief Limits of an AsyncHttpClient.
struct HttpClientLimits
{
    /// Maximum time from the start of a call to its response, including the wait for a connection.
    Duration timeout = std::chrono::seconds(2);
    /// Maximum number of concurrent calls, each with a connection of its own.
    std::size_t maxConnections = 4;
    /// Maximum number of calls that wait for a connection; further calls fail at once.
    std::size_t maxWaiting = 1024;
    /// Maximum size of a response body.
    std::size_t maxAnswerBytes = 16 << 20;
};

/// @brief Makes HTTP calls over keep-alive connections and tries the next endpoint when one can't
/// be reached.
///
/// The error KeyValueUnavailable means that nothing of the request was written, and
/// KeyValueOutcomeUnknown that some of it may have been. All callbacks run on the context's thread.
class AsyncHttpClient
{
public:
    /// @param context event loop of the control thread; must outlive the client
    /// @param endpoints addresses to try, in order; at least one
    /// @param limits limits of time, size and concurrency
    AsyncHttpClient(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
                    HttpClientLimits limits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient &) = delete;
    AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

    /// @brief Starts a call.
    /// @param request what to send
    /// @param done called once with the response or the error
    void call(HttpRequest request, HttpCallback done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::platform
