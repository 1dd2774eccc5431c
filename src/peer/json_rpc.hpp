/// @file
/// @brief JSON-RPC 2.0 envelopes as text, by libjsonrpccpp.
///
/// An envelope names the method and tells errors of the protocol. Parameters and results travel
/// beside it in CBOR, because as members of it they would be parsed and written three times.
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
    /// Gets the method that is called.
    using Handler = std::function<void(const std::string &method)>;

    /// @param methods names that are known
    /// @param handler called for each valid request of a known method
    JsonRpcServer(const std::vector<std::string> &methods, Handler handler);
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer &) = delete;
    JsonRpcServer &operator=(const JsonRpcServer &) = delete;

    /// @brief Reads the envelope of one request.
    /// @return envelope of the answer, or of an error of the protocol
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

    /// @brief Envelope of a request.
    std::string request(const std::string &method);

    /// @brief Reads the envelope of an answer.
    /// @param answer text received
    /// @param error gets the protocol's error
    /// @return false when the answer is an error or malformed
    bool accepts(const std::string &answer, std::string &error);

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace peer
} // namespace bamboochute
