/// @file
/// @brief JSON-RPC 2.0 envelopes as text, by means of libjsonrpccpp.
///
/// An envelope carries the method or a protocol error. Parameters and results are sent beside it as
/// CBOR, because as members of the envelope they would be parsed and written three times.
///
/// The library's headers need C++14, so no type of it appears in this header, which is compiled as
/// C++14 and as C++20.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bamboochute {
namespace peer {

/// @brief Reads request envelopes and composes answer envelopes.
class JsonRpcServer
{
public:
    /// Called with the name of the requested method.
    using Handler = std::function<void(const std::string &method)>;

    /// @param methods names of the known methods
    /// @param handler called for each valid request of a known method
    JsonRpcServer(const std::vector<std::string> &methods, Handler handler);
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer &) = delete;
    JsonRpcServer &operator=(const JsonRpcServer &) = delete;

    /// @brief Reads the envelope of one request and calls the handler when it is valid.
    /// @return envelope of the answer or of a protocol error
    std::string handle(const std::string &request);

private:
    class State;
    std::unique_ptr<State> state;
};

/// @brief Composes request envelopes and reads answer envelopes.
class JsonRpcClient
{
public:
    JsonRpcClient();
    ~JsonRpcClient();
    JsonRpcClient(const JsonRpcClient &) = delete;
    JsonRpcClient &operator=(const JsonRpcClient &) = delete;

    /// @brief Composes the envelope of a request.
    std::string makeRequest(const std::string &method);

    /// @brief Reads the envelope of an answer.
    /// @param answer received envelope
    /// @param error set to the protocol error when the result is false
    /// @return false when the answer is a protocol error or malformed
    bool parseAnswer(const std::string &answer, std::string &error);

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace peer
} // namespace bamboochute
