/// @file
/// @brief JSON-RPC 2.0 as text, by libjsonrpccpp.
///
/// That library's headers need C++14, so its types stay behind this header, which is read by both.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute {
namespace peer {

/// @brief Reads requests and composes answers.
class JsonRpcServer
{
public:
    /// Gets the method and its parameters as JSON; returns a text that stands for the result.
    using Handler
            = std::function<std::string(const std::string &method, const std::string &params)>;

    /// @param methods names that are known
    /// @param handler called for each valid request of a known method
    JsonRpcServer(const std::vector<std::string> &methods, Handler handler);
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer &) = delete;
    JsonRpcServer &operator=(const JsonRpcServer &) = delete;

    /// @brief Reads one request.
    /// @return the answer, in which the handler's text is the result, or an error of the protocol
    std::string handle(const std::string &request);

private:
    class State;
    std::unique_ptr<State> state;
};

/// @brief Composes requests and reads answers.
class JsonRpcClient
{
public:
    JsonRpcClient();
    ~JsonRpcClient();
    JsonRpcClient(const JsonRpcClient &) = delete;
    JsonRpcClient &operator=(const JsonRpcClient &) = delete;

    /// @brief Text of a request.
    /// @param params JSON object
    std::string request(const std::string &method, const std::string &params);

    /// @brief Reads an answer.
    /// @param answer text received
    /// @param result gets the result as JSON
    /// @param error gets the protocol's error
    /// @return false when the answer is an error or malformed
    bool result(const std::string &answer, std::string &result, std::string &error);

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace peer
} // namespace bamboochute
