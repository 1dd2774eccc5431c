#include "peer/json_rpc.hpp"

#include <utility>

#include <jsoncpp/json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace bamboochute {
namespace peer {

namespace {

/// Passes requests to the library and stores its answer.
class TextServerConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *) override
    {
        this->answer = response;
        return true;
    }

    std::string answer;
};

/// Stores the request that the library composes and returns a prepared answer to it.
class TextClientConnector : public jsonrpc::IClientConnector
{
public:
    // NOLINTNEXTLINE(modernize-use-noexcept): the library's signature
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        this->request = message;
        result = this->answer;
    }

    std::string request;
    std::string answer;
};

} // namespace

/// Server of the library, with the handler in place of procedures.
class JsonRpcServer::State : public jsonrpc::AbstractServer<JsonRpcServer::State>
{
public:
    State(std::unique_ptr<TextServerConnector> connector, const std::vector<std::string> &methods,
          Handler handler)
        : jsonrpc::AbstractServer<State>(*connector)
        , connector(std::move(connector))
        , handler(std::move(handler))
    {
        for (const std::string &method : methods) {
            const jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_STRING, nullptr);
            this->bindAndAddMethod(procedure, nullptr);
        }
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &,
                          Json::Value &output) override
    {
        this->handler(procedure.GetProcedureName());
        output = true;
    }

    std::string handle(const std::string &request)
    {
        this->connector->answer.clear();
        this->connector->OnRequest(request);
        return std::move(this->connector->answer);
    }

private:
    std::unique_ptr<TextServerConnector> connector;
    Handler handler;
};

JsonRpcServer::JsonRpcServer(const std::vector<std::string> &methods, Handler handler)
    : state(new State(std::unique_ptr<TextServerConnector>(new TextServerConnector), methods,
                      std::move(handler)))
{}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::handle(const std::string &request)
{
    return this->state->handle(request);
}

class JsonRpcClient::State
{
public:
    State()
        : client(this->connector)
    {}

    TextClientConnector connector;
    jsonrpc::Client client;
};

JsonRpcClient::JsonRpcClient()
    : state(new State())
{}

JsonRpcClient::~JsonRpcClient() = default;

std::string JsonRpcClient::makeRequest(const std::string &method)
{
    // The library expects the answer during CallMethod(), so it gets a placeholder.
    this->state->connector.answer = R"({"jsonrpc":"2.0","id":1,"result":true})";
    Json::Value ignored;
    this->state->client.CallMethod(method, Json::Value(Json::objectValue), ignored);
    return std::move(this->state->connector.request);
}

bool JsonRpcClient::parseAnswer(const std::string &answer, std::string &error)
{
    this->state->connector.answer = answer;
    try {
        Json::Value ignored;
        this->state->client.CallMethod(std::string(), Json::Value(Json::objectValue), ignored);
        return true;
    } catch (const jsonrpc::JsonRpcException &failure) {
        error = failure.what();
        return false;
    }
}

} // namespace peer
} // namespace bamboochute
