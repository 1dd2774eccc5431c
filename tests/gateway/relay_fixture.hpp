/// @file
/// @brief Runs a gateway on a thread of its own, with scripted upstreams and a blocking client.
#pragma once

#include "gateway/gateway.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace bamboochute::test {

/// @brief How an upstream handles one connection after it has read a request.
struct Script
{
    /// Bytes to send; "{id}" is replaced by the id of the request.
    std::string answer;
    /// Resets the connection instead of closing it cleanly.
    bool isReset = false;
    /// Sends nothing and keeps the connection open until the peer closes it.
    bool isSilent = false;
    /// When the request contains this text, the process ends: it sends nothing, and accepts no
    /// further connection.
    std::string crashText = {};
    /// Pause before the answer or the end of the process, and between the answer and its rest.
    Duration delay{};
    /// Further bytes of the answer.
    std::string rest = {};
    /// Sent after the answer again and again, with a pause after each time, until the peer closes.
    std::string endless = {};
    Duration endlessPause{};
    /// Keeps the connection open after the answer until the peer closes it.
    bool isSilentAfterwards = false;
    /// Parts that follow the answer, each after a pause.
    std::vector<std::string> pieces = {};
    Duration pieceDelay{};
    /// Pause between the answer and its rest, in place of `delay`.
    std::optional<Duration> delayBeforeRest{};
    /// The answer is not sent before this is ready, if it is set.
    std::shared_future<void> answerAfter = {};
    /// Keeps the connection open after the answer, and answers a further request on it with this.
    std::string nextAnswer = {};
};

/// @brief A TCP server on a free port that handles each connection by the next script.
class ScriptedUpstream
{
public:
    explicit ScriptedUpstream(std::vector<Script> scripts);
    ~ScriptedUpstream();

    Endpoint endpoint() const;

    /// @brief The requests received so far, each with head and body.
    std::vector<std::string> requests() const;

    /// @brief Waits until a number of requests were received.
    /// @return whether they were within two seconds
    bool waitForRequests(std::size_t count) const;

    /// @brief Bytes of endless answers that were sent.
    std::size_t endlessBytes() const { return this->endlessCount; }

    /// @brief Number of connections that the peer closed before it got an answer.
    int abandonedConnections() const { return this->abandonedCount; }

    /// @brief Number of requests that came on a connection after another one.
    int requestsOnUsedConnections() const { return this->usedAgainCount; }

    /// @brief Waits until the peer has closed a number of connections before it got an answer.
    /// @return their number, also when it has not been reached within two seconds
    int waitForAbandoned(int count) const;

protected:
    /// @param isListening whether connections are accepted
    ScriptedUpstream(std::vector<Script> scripts, bool isListening);

private:
    void serve();
    void answerNext(std::unique_ptr<boost::asio::ip::tcp::socket> socket, const Script &script);
    void record(const std::string &request);

    struct Sockets;
    std::unique_ptr<Sockets> sockets;
    std::vector<Script> scripts;
    mutable std::mutex mutex;
    std::vector<std::string> received;
    std::atomic<int> abandonedCount{0};
    std::atomic<int> usedAgainCount{0};
    std::atomic<std::size_t> endlessCount{0};
    std::thread thread;
};

/// @brief An upstream that refuses all connections; its port stays reserved.
class RefusingUpstream : public ScriptedUpstream
{
public:
    RefusingUpstream()
        : ScriptedUpstream({}, false)
    {}
};

/// @brief A gateway with one service without engine, and one route for each kind of request.
///
/// The routes are /plain/ (idempotent), /once/ (non-idempotent), /stream/ (resumable) and /fragile/
/// (stream that is not resumable), and with short objectives /quick/ (idempotent) and /talk/
/// (resumable).
class RelayFixture
{
public:
    /// @param upstreams servers of the service; the gateway prefers the first one while it is
    /// healthy
    /// @param versions software versions of the servers; those without one run "v1". The record in
    /// the store holds them and is complete.
    /// @param inbound what the gateway may use of its machine
    explicit RelayFixture(std::vector<ScriptedUpstream *> upstreams,
                          std::vector<std::string> versions = {},
                          const InboundLimits &inbound = {});
    ~RelayFixture();

    /// @brief Sends bytes on a new connection and returns what the gateway sends until it closes
    /// it.
    std::string call(const std::string &request) const;

    /// @brief The same at another address.
    static std::string callAt(const Endpoint &endpoint, const std::string &request);

    /// @brief Replaces what the gateway knows of versions, as in a process that has just started.
    /// @param record the record in the store; unset if there is none
    void forgetVersions(const std::optional<gateway::VersionRecord> &record);

    /// @brief Removes the registration of an upstream.
    /// @param index position among the constructor's upstreams
    void removeUpstream(std::size_t index);

    /// @brief Registers an upstream again, as a later process of another software version.
    /// @param index position among the constructor's upstreams
    void restartUpstream(std::size_t index, const std::string &version);

    /// @brief Reports that an upstream runs as a later process, whose registration is not read yet.
    /// @param index position among the constructor's upstreams
    void reportRestart(std::size_t index);

    /// @brief Registers an upstream at another address.
    /// @param index position among the constructor's upstreams
    /// @param isRestarted whether a later process is registered there, or the same one
    void moveUpstream(std::size_t index, const Endpoint &endpoint, bool isRestarted);

    /// @brief Gives the service an engine with one model; requests name it in the header
    /// test-model.
    /// @param patience time after which callers give up on a stream without events; zero: never
    void useEngine(const std::string &model, Duration patience = {});

    /// @brief Reports that an upstream holds a model, as the placement owner does.
    /// @param index position among the constructor's upstreams
    void reportModel(std::size_t index, const std::string &model);

    /// @brief Records that an upstream said that it leaves.
    /// @param index position among the constructor's upstreams
    void markLeaving(std::size_t index);

    /// @brief Sends a request and disconnects after a delay without reading the answer.
    void callAndDisconnect(const std::string &request, Duration after) const;

    /// @brief Sends a request, closes the sending side after a delay, and returns what the gateway
    /// sends until it closes the connection.
    std::string callAndCloseSending(const std::string &request, Duration after) const;

    /// @brief Sends a request, lets the gateway end its open requests when it is due, and returns
    /// what it sends until it closes the connection.
    /// @param isDue asked again and again, for at most two seconds
    /// @param received text that the answer has to have brought before
    std::string callAndStop(const std::string &request, const std::function<bool()> &isDue,
                            const std::string &received = {}) const;

    /// @brief Sends a request and reads the answer after a delay, with a small receive buffer.
    std::string callAndReadLate(const std::string &request, Duration after) const;

    /// @brief Publishes the same routes with other limits for callers.
    void publishLimits(const gateway::CallerLimits &limits);

    /// @brief Publishes the second version of the configuration.
    /// @param change changes the first version
    void publishChange(const std::function<void(gateway::RoutingConfiguration &)> &change);

    /// @brief Runs a function on the gateway's thread, which does nothing else meanwhile.
    void runOnLoop(const std::function<void(gateway::Gateway &)> &function) const;

    /// @brief Lets other gateways answer with an offer when this one asks for help.
    /// @param helpers their addresses for forwarded requests
    void offerHelp(const std::vector<Endpoint> &helpers);

    /// @brief Asks the gateway whether it helps with the service.
    /// @param isAnswerNeeded see gateway::ForwardingDriver::makeOffer()
    /// @return the requests that it would take
    std::uint32_t askForHelp(bool isAnswerNeeded);

    /// @brief Looks for a helper in the moment in which a call to the service fails.
    /// @return whether there is one
    bool findHelperAfterFailure();

    /// @brief Address for the requests that other gateways forward.
    Endpoint instanceEndpoint() const { return *this->gateway->instanceEndpoint(); }

    /// @brief Waits until no request is open.
    void waitForIdle() const;

    /// @brief Number of requests that the gateway has read.
    std::uint64_t requestsRead();

    /// @brief Number of requests that have ended in one way.
    /// @param end name of a gateway::RequestEnd
    std::uint64_t requestEnds(const std::string &end);

    /// @brief Number of times that an upstream has asked for a pause.
    std::uint64_t upstreamPauses();

    Endpoint endpoint() const { return this->listen; }

    Metrics metrics;
    /// Number of times that the gateway asked other instances for the origin of a stream.
    std::atomic<int> originQueries{0};
    /// Version that other instances name as the origin of request r1 when they are asked for the
    /// second time; empty when none of them knows it. Set before the first call.
    std::string versionKnownElsewhere;

private:
    void answerOriginQuery(const RequestId &request, bool isRepeated);

    mutable boost::asio::io_context loop;
    std::unique_ptr<gateway::Gateway> gateway;
    Endpoint listen;
    std::thread thread;
};

/// @brief A caller's connection that is kept open for several requests.
class KeptConnection
{
public:
    explicit KeptConnection(const RelayFixture &fixture);
    ~KeptConnection();

    void send(const std::string &bytes);

    /// @brief Reads one answer with Content-Length.
    /// @return the answer, or what came before the connection closed
    std::string readAnswer();

    /// @brief Sends a request and reads its answer.
    std::string call(const std::string &request);

    /// @brief Resets the connection instead of closing it cleanly.
    void reset();

private:
    struct Socket;
    std::unique_ptr<Socket> socket;
};

/// @brief Builds a request that keeps its connection open.
std::string keptRequest(const std::string &path, const std::string &body = {});

/// @brief Builds a request with an id and "Connection: close".
std::string request(const std::string &path, const std::string &body = {},
                    const std::string &headers = {});

/// @brief Builds the head of a chunked stream with a signature.
std::string streamHead();

/// @brief Builds one chunk of a stream.
std::string chunk(const std::string &text);

/// @brief Builds a stream with all its events in one chunk.
/// @param isWhole whether the last, empty chunk follows; without it the stream is incomplete
std::string streamAnswer(const std::string &text, bool isWhole);

/// @brief Whether a text contains another one.
bool containsText(const std::string &text, const std::string &part);

/// @brief Builds a complete answer with a signature.
std::string answer(int status, const std::string &body, const std::string &headers = {});

} // namespace bamboochute::test
