/// @file
/// @brief One HTTP call at a time to a small set of endpoints, on the control thread.
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

/// @brief A call to make.
struct HttpRequest
{
    std::string method = "GET";
    std::string target;
    std::string body;
    /// Value of the header x-bamboochute-purpose; empty sends none.
    std::string purpose;
};

/// @brief What came back.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

using HttpDone = std::function<void(Result<HttpAnswer>)>;

/// @brief Limits of a caller.
struct HttpCallLimits
{
    /// Time from the start of a call to its answer.
    Duration timeout = std::chrono::seconds(2);
    /// Calls that are made at once.
    std::size_t maxConnections = 4;
    /// Calls that wait for a connection.
    std::size_t maxWaiting = 1024;
    /// Bytes of an answer.
    std::size_t maxAnswerBytes = 16 << 20;
};

/// @brief Makes HTTP calls over kept connections and tries the next endpoint when one can't be
/// reached.
///
/// An error KeyValueUnavailable says that nothing of the call was written; KeyValueOutcomeUnknown
/// that some of it may have been. All callbacks run on the context's thread.
class HttpCaller
{
public:
    /// @param context event loop of the control thread; must outlive the caller
    /// @param endpoints addresses to try, in order; at least one
    /// @param limits bounds of time and size
    HttpCaller(boost::asio::io_context &context, std::vector<Endpoint> endpoints,
               HttpCallLimits limits = {});
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// @brief Starts a call.
    /// @param request what to send
    /// @param done called once with the answer or the error
    void call(HttpRequest request, HttpDone done);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bamboochute::platform
