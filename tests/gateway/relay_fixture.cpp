#include "relay_fixture.hpp"

#include <array>
#include <future>
#include <sstream>

#include <poll.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace bamboochute::test {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using namespace std::chrono_literals;

const gateway::ServiceId service("rooms");

/// Waits for a condition, for at most two seconds.
bool waitUntil(const std::function<bool()> &isTrue)
{
    constexpr int maxPolls = 200;
    for (int i = 0; i < maxPolls; ++i) {
        if (isTrue())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return isTrue();
}

gateway::CallCodec makeCodec()
{
    gateway::CallCodec codec;
    codec.readRequest = [](const upstream::HeaderList &headers) {
        gateway::RequestAttributes attributes;
        attributes.id = RequestId(std::string(headers.find("test-id")));
        const std::string patience(headers.find("test-patience-ms"));
        if (!patience.empty())
            attributes.callerTimeout = std::chrono::milliseconds(std::stoi(patience));
        std::istringstream parts{std::string(headers.find("test-prompt-parts"))};
        for (std::string part; std::getline(parts, part, ',');)
            attributes.promptParts.emplace_back(part);
        attributes.lastEventId = headers.find("test-last-event");
        attributes.resumedRequest = RequestId(std::string(headers.find("test-resumes")));
        attributes.caller = headers.find("test-caller");
        attributes.target.model = ModelId(std::string(headers.find("test-model")));
        attributes.key = headers.find("test-key");
        return attributes;
    };
    codec.isForwardedHeader = [](std::string_view name) {
        return name != "test-secret" && name != "test-last-event" && name != "test-workspace";
    };
    codec.appendHeaders = [](std::string &head, const gateway::UpstreamAttributes &attributes) {
        upstream::appendHeader(head, "test-expected", attributes.expectedUpstream.value());
        if (!attributes.lastEventId.empty())
            upstream::appendHeader(head, "test-last-event", attributes.lastEventId);
        if (!attributes.workspace.isEmpty())
            upstream::appendHeader(head, "test-workspace", attributes.workspace.value());
    };
    codec.isKeyHeader = [](std::string_view name) { return name == "test-key"; };
    codec.isWorkspaceHeader = [](std::string_view name) { return name == "test-workspace"; };
    codec.appendWorkspace = [](std::string &head, const WorkspaceId &workspace) {
        if (!workspace.isEmpty())
            upstream::appendHeader(head, "test-workspace", workspace.value());
    };
    codec.readAnswer = [](int, const upstream::HeaderList &headers) {
        gateway::AnswerAttributes attributes;
        attributes.request = RequestId(std::string(headers.find("test-id")));
        attributes.isSigned = headers.contains("test-signature");
        attributes.isNotRun = headers.contains("test-not-run");
        attributes.answeredBy = UpstreamId(std::string(headers.find("test-answered-by")));
        if (headers.contains("test-pause-ms"))
            attributes.pause = std::chrono::milliseconds(
                    std::stoi(std::string(headers.find("test-pause-ms"))));
        attributes.isLeaving = headers.contains("test-leaving");
        if (headers.contains("test-limit"))
            attributes.requestsPerSecond = std::stod(std::string(headers.find("test-limit")));
        return attributes;
    };
    return codec;
}

gateway::Route makeRoute(const std::string &prefix, gateway::RequestKind kind, bool isResumable)
{
    gateway::Route route;
    route.id = gateway::RouteId(prefix);
    route.host = "desk";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.isResumable = isResumable;
    route.timeout = 2s;
    route.objective = 1s;
    route.maxUpstreams = 2;
    route.services = {{service, 1}};
    return route;
}

gateway::RouteIndexPointer makeRoutes(const gateway::CallerLimits &limits = {})
{
    gateway::RoutingConfiguration configuration;
    configuration.limits = limits;
    configuration.version = 1;
    configuration.routes = {makeRoute("/plain/", gateway::RequestKind::Idempotent, false),
                            makeRoute("/once/", gateway::RequestKind::NonIdempotent, false),
                            makeRoute("/stream/", gateway::RequestKind::Stream, true),
                            makeRoute("/fragile/", gateway::RequestKind::Stream, false)};
    for (const auto &[prefix, kind] : {std::pair("/quick/", gateway::RequestKind::Idempotent),
                                       std::pair("/talk/", gateway::RequestKind::Stream)}) {
        gateway::Route route = makeRoute(prefix, kind, kind == gateway::RequestKind::Stream);
        route.objective = 100ms;
        route.maxEventGap = 50ms;
        configuration.routes.push_back(route);
    }
    configuration.services = {{service, 100, std::nullopt}};
    return std::make_shared<gateway::RouteIndex>(configuration);
}

/// Reads one message: its head, and a body of the length that the head states.
std::string readMessage(Tcp::socket &socket)
{
    std::string text;
    boost::system::error_code error;
    while (text.find("\r\n\r\n") == std::string::npos && !error) {
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), error);
        if (!error)
            text += byte;
    }
    const std::size_t position = text.find("Content-Length: ");
    if (position != std::string::npos) {
        std::string body(std::stoul(text.substr(position + 16)), ' ');
        asio::read(socket, asio::buffer(body), error);
        text += body;
    }
    return text;
}

/// Reads until the peer closes the connection.
std::string readToEnd(Tcp::socket &socket)
{
    std::string text;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(text), error);
    return text;
}

std::string headerValue(const std::string &request, const std::string &name)
{
    const std::size_t position = request.find(name + ": ");
    if (position == std::string::npos)
        return {};
    const std::size_t begin = position + name.size() + 2;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// Replaces "{id}" in an answer by the id of the request.
std::string insertRequestId(std::string answer, const std::string &request)
{
    const std::size_t position = answer.find("{id}");
    if (position != std::string::npos)
        answer.replace(position, 4, headerValue(request, "test-id"));
    return answer;
}

} // namespace

struct KeptConnection::Socket
{
    asio::io_context context;
    Tcp::socket socket{context};
};

KeptConnection::KeptConnection(const RelayFixture &fixture)
    : socket(std::make_unique<Socket>())
{
    this->socket->socket.connect(
            {asio::ip::make_address(fixture.endpoint().address), fixture.endpoint().port});
}

KeptConnection::~KeptConnection() = default;

void KeptConnection::send(const std::string &bytes)
{
    boost::system::error_code ignored;
    asio::write(this->socket->socket, asio::buffer(bytes), ignored);
}

std::string KeptConnection::readAnswer()
{
    return readMessage(this->socket->socket);
}

std::string KeptConnection::call(const std::string &text)
{
    this->send(text);
    return this->readAnswer();
}

void KeptConnection::reset()
{
    boost::system::error_code ignored;
    this->socket->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket->socket.close(ignored);
}

std::string keptRequest(const std::string &path, const std::string &body)
{
    std::string text = request(path, body);
    const std::string close = "Connection: close\r\n";
    return text.erase(text.find(close), close.size());
}

struct ScriptedUpstream::Sockets
{
    explicit Sockets(bool isListening)
    {
        const Tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);
        this->acceptor.open(anyPort.protocol());
        // Not shared with other sockets: a port that refuses connections must not become theirs.
        this->acceptor.bind(anyPort);
        if (isListening)
            this->acceptor.listen();
    }

    asio::io_context context;
    Tcp::acceptor acceptor{context};
    std::vector<std::unique_ptr<Tcp::socket>> silent;
};

ScriptedUpstream::ScriptedUpstream(std::vector<Script> scripts)
    : ScriptedUpstream(std::move(scripts), true)
{}

ScriptedUpstream::ScriptedUpstream(std::vector<Script> scripts, bool isListening)
    : sockets(std::make_unique<Sockets>(isListening))
    , scripts(std::move(scripts))
    , thread([this] { this->serve(); })
{}

ScriptedUpstream::~ScriptedUpstream()
{
    boost::system::error_code ignored;
    // The connection makes the blocking accept() of the server thread return.
    this->scripts.clear();
    Tcp::socket wakingConnection(this->sockets->context);
    if (this->sockets->acceptor.is_open())
        wakingConnection.connect(this->sockets->acceptor.local_endpoint(), ignored);
    this->thread.join();
}

Endpoint ScriptedUpstream::endpoint() const
{
    return {"127.0.0.1", this->sockets->acceptor.local_endpoint().port()};
}

std::vector<std::string> ScriptedUpstream::requests() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

int ScriptedUpstream::waitForAbandoned(int count) const
{
    waitUntil([&] { return this->abandonedCount >= count; });
    return this->abandonedCount;
}

bool ScriptedUpstream::waitForRequests(std::size_t count) const
{
    return waitUntil([&] { return this->requests().size() >= count; });
}

void ScriptedUpstream::serve()
{
    const std::vector<Script> planned = this->scripts;
    for (const Script &script : planned) {
        boost::system::error_code error;
        Tcp::socket socket(this->sockets->context);
        std::string text;
        // Probes connect and send nothing; they take no script.
        while (text.empty()) {
            socket = Tcp::socket(this->sockets->context);
            this->sockets->acceptor.accept(socket, error);
            if (error || this->scripts.empty())
                return;
            text = readMessage(socket);
        }
        this->record(text);
        if (!script.crashText.empty() && text.find(script.crashText) != std::string::npos) {
            std::this_thread::sleep_for(script.delay);
            this->sockets->acceptor.close(error);
            return;
        }
        if (script.isSilent) {
            char byte = 0;
            asio::read(socket, asio::buffer(&byte, 1), error);
            ++this->abandonedCount;
            continue;
        }
        if (script.answerAfter.valid())
            script.answerAfter.wait();
        const std::string bytes = insertRequestId(script.answer, text);
        std::this_thread::sleep_for(script.delay);
        asio::write(socket, asio::buffer(bytes), error);
        if (!script.rest.empty()) {
            std::this_thread::sleep_for(script.delayBeforeRest.value_or(script.delay));
            asio::write(socket, asio::buffer(insertRequestId(script.rest, text)), error);
        }
        for (const std::string &piece : script.pieces) {
            std::this_thread::sleep_for(script.pieceDelay);
            asio::write(socket, asio::buffer(piece), error);
        }
        constexpr std::size_t maxEndlessBytes = 256 << 20;
        const std::size_t alreadySent = this->endlessCount;
        while (!script.endless.empty() && !error
               && this->endlessCount < alreadySent + maxEndlessBytes) {
            this->endlessCount += asio::write(socket, asio::buffer(script.endless), error);
            std::this_thread::sleep_for(script.endlessPause);
        }
        if (script.isSilentAfterwards) {
            char byte = 0;
            asio::read(socket, asio::buffer(&byte, 1), error);
        }
        if (!script.nextAnswer.empty()) {
            this->answerNext(std::make_unique<Tcp::socket>(std::move(socket)), script);
            continue;
        }
        if (script.isReset)
            socket.set_option(asio::socket_base::linger(true, 0), error);
        else
            socket.shutdown(Tcp::socket::shutdown_send, error);
        socket.close(error);
    }
}

/// Answers a request that comes on a connection before there is another connection.
void ScriptedUpstream::answerNext(std::unique_ptr<Tcp::socket> socket, const Script &script)
{
    std::array<pollfd, 2> ready{pollfd{socket->native_handle(), POLLIN, 0},
                                pollfd{this->sockets->acceptor.native_handle(), POLLIN, 0}};
    ::poll(ready.data(), ready.size(), -1);
    const std::string text = ready[0].revents != 0 ? readMessage(*socket) : std::string();
    if (!text.empty()) {
        this->record(text);
        ++this->usedAgainCount;
        boost::system::error_code error;
        asio::write(*socket, asio::buffer(insertRequestId(script.nextAnswer, text)), error);
    }
    this->sockets->silent.push_back(std::move(socket));
}

void ScriptedUpstream::record(const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    this->received.push_back(request);
}

RelayFixture::RelayFixture(std::vector<ScriptedUpstream *> upstreams,
                           std::vector<std::string> versions, const InboundLimits &inbound)
{
    gateway::GatewaySettings settings;
    settings.inbound = inbound;
    settings.listen = {"127.0.0.1", 0};
    settings.instanceListen = Endpoint{"127.0.0.1", 0};
    this->gateway
            = std::make_unique<gateway::Gateway>(this->loop, settings, makeCodec(), this->metrics);
    this->gateway->publish(makeRoutes());
    this->gateway->setInstanceCount(1);
    this->gateway->onOriginWanted = [this](const RequestId &request, bool isRepeated) {
        this->answerOriginQuery(request, isRepeated);
    };
    gateway::VersionRecord record{{}, true, 0};
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        gateway::RegisteredUpstream upstream;
        upstream.id = UpstreamId(fmt::format("u{}", i));
        upstream.service = service;
        upstream.endpoint = upstreams[i]->endpoint();
        // In the gateway's data centre, so preferred while it is healthy.
        upstream.dataCentre = DataCentreId(i == 0 ? "" : "other");
        upstream.slots = 8;
        upstream.softwareVersion = SoftwareVersion(i < versions.size() ? versions[i] : "v1");
        this->gateway->table.applyRegistration(upstream, SteadyClock().now());
        record.versions[service].insert(upstream.softwareVersion);
    }
    this->gateway->versions.apply({0, 1, record}, SteadyClock().now());
    this->listen = this->gateway->start().value();
    this->thread = std::thread([this] { this->loop.run(); });
}

RelayFixture::~RelayFixture()
{
    asio::post(this->loop, [this] {
        this->gateway->stop();
        this->loop.stop();
    });
    this->thread.join();
}

std::string RelayFixture::call(const std::string &text) const
{
    return callAt(this->listen, text);
}

std::string RelayFixture::callAt(const Endpoint &endpoint, const std::string &text)
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    asio::write(socket, asio::buffer(text));
    return readToEnd(socket);
}

void RelayFixture::answerOriginQuery(const RequestId &request, bool isRepeated)
{
    ++this->originQueries;
    if (isRepeated && !this->versionKnownElsewhere.empty())
        this->gateway->learnOrigin(
                {request, service, SoftwareVersion(this->versionKnownElsewhere), 0});
}

void RelayFixture::forgetVersions(const std::optional<gateway::VersionRecord> &record)
{
    this->runOnLoop([&record](gateway::Gateway &gateway) {
        gateway.versions = gateway::VersionHistory();
        gateway.versions.apply({0, record ? 1U : 0U, record}, SteadyClock().now());
        gateway.observeVersions();
    });
}

void RelayFixture::removeUpstream(std::size_t index)
{
    std::promise<void> removed;
    asio::post(this->loop, [&] {
        this->gateway->table.remove(UpstreamId(fmt::format("u{}", index)));
        removed.set_value();
    });
    removed.get_future().wait();
}

void RelayFixture::restartUpstream(std::size_t index, const std::string &version)
{
    std::promise<void> registered;
    asio::post(this->loop, [&] {
        const UpstreamId id(fmt::format("u{}", index));
        gateway::RegisteredUpstream upstream = this->gateway->table.find(id)->registered;
        ++upstream.residency.version.startedAt;
        upstream.softwareVersion = SoftwareVersion(version);
        this->gateway->table.applyRegistration(upstream, SteadyClock().now());
        this->gateway->observeVersions();
        registered.set_value();
    });
    registered.get_future().wait();
}

void RelayFixture::reportRestart(std::size_t index)
{
    std::promise<void> reported;
    asio::post(this->loop, [&] {
        const UpstreamId id(fmt::format("u{}", index));
        gateway::Residency residency = this->gateway->table.find(id)->registered.residency;
        ++residency.version.startedAt;
        this->gateway->table.updateResidency(id, residency, SteadyClock().now());
        reported.set_value();
    });
    reported.get_future().wait();
}

void RelayFixture::moveUpstream(std::size_t index, const Endpoint &endpoint, bool isRestarted)
{
    this->runOnLoop([&](gateway::Gateway &gateway) {
        const UpstreamId id(fmt::format("u{}", index));
        gateway::RegisteredUpstream upstream = gateway.table.find(id)->registered;
        upstream.endpoint = endpoint;
        ++upstream.heartbeat;
        if (isRestarted) {
            ++upstream.residency.version.startedAt;
            gateway.health.forget(id);
        }
        gateway.table.applyRegistration(upstream, SteadyClock().now());
        gateway.notifyChange();
    });
}

void RelayFixture::useEngine(const std::string &model, Duration patience)
{
    this->publishChange([&](gateway::RoutingConfiguration &configuration) {
        gateway::EngineSpec engine;
        engine.slots = 8;
        engine.models = {gateway::ModelWeights{ModelId(model)}};
        configuration.services.front().engine = engine;
        for (gateway::Route &route : configuration.routes)
            route.maxFirstEventDelay = patience;
    });
}

void RelayFixture::reportModel(std::size_t index, const std::string &model)
{
    this->runOnLoop([index, &model](gateway::Gateway &gateway) {
        const UpstreamId id(fmt::format("u{}", index));
        gateway::Residency residency = gateway.table.find(id)->registered.residency;
        ++residency.version.acceptedOrders;
        residency.models.push_back(gateway::ResidentModel{ModelId(model), {}});
        gateway.table.updateResidency(id, residency, SteadyClock().now());
        gateway.notifyChange();
    });
}

void RelayFixture::markLeaving(std::size_t index)
{
    std::promise<void> recorded;
    asio::post(this->loop, [&] {
        const UpstreamId id(fmt::format("u{}", index));
        this->gateway->recordLeaving(this->gateway->table.find(id)->process(), "test");
        recorded.set_value();
    });
    recorded.get_future().wait();
}

std::string RelayFixture::callAndCloseSending(const std::string &text, Duration after) const
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->listen.address), this->listen.port});
    asio::write(socket, asio::buffer(text));
    std::this_thread::sleep_for(after);
    socket.shutdown(Tcp::socket::shutdown_send);
    return readToEnd(socket);
}

std::string RelayFixture::callAndStop(const std::string &text, const std::function<bool()> &isDue,
                                      const std::string &received) const
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->listen.address), this->listen.port});
    asio::write(socket, asio::buffer(text));
    waitUntil(isDue);
    std::string begin;
    if (!received.empty())
        asio::read_until(socket, asio::dynamic_buffer(begin), received);
    this->runOnLoop([](gateway::Gateway &gateway) { gateway.endOpenRequests(); });
    return begin + readToEnd(socket);
}

std::string RelayFixture::callAndReadLate(const std::string &text, Duration after) const
{
    constexpr int receiveBufferBytes = 4096;
    asio::io_context context;
    Tcp::socket socket(context, Tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    socket.connect({asio::ip::make_address(this->listen.address), this->listen.port});
    asio::write(socket, asio::buffer(text));
    std::this_thread::sleep_for(after);
    return readToEnd(socket);
}

void RelayFixture::publishLimits(const gateway::CallerLimits &limits)
{
    this->runOnLoop([&limits](gateway::Gateway &gateway) { gateway.publish(makeRoutes(limits)); });
}

void RelayFixture::publishChange(const std::function<void(gateway::RoutingConfiguration &)> &change)
{
    gateway::RoutingConfiguration changed = makeRoutes()->configuration();
    ++changed.version;
    change(changed);
    this->runOnLoop([&changed](gateway::Gateway &gateway) {
        gateway.publish(std::make_shared<gateway::RouteIndex>(changed));
    });
}

void RelayFixture::runOnLoop(const std::function<void(gateway::Gateway &)> &function) const
{
    std::promise<void> done;
    asio::post(this->loop, [&] {
        function(*this->gateway);
        done.set_value();
    });
    done.get_future().wait();
}

void RelayFixture::offerHelp(const std::vector<Endpoint> &helpers)
{
    this->runOnLoop([&helpers](gateway::Gateway &own) {
        own.forwardingDriver().onHelpWanted
                = [&own, helpers](const gateway::ServiceId &wanted, std::size_t) {
                      constexpr std::uint32_t places = 8;
                      for (const Endpoint &helper : helpers)
                          own.forwardingDriver().receiveOffer(helper, {wanted.value(), {}, places});
                  };
    });
}

bool RelayFixture::findHelperAfterFailure()
{
    std::promise<bool> found;
    const auto find = [&]() -> upstream::Awaitable<void> {
        gateway::ForwardingDriver &driver = this->gateway->forwardingDriver();
        driver.recordFailure(service, SteadyClock().now());
        const std::optional<Endpoint> helper = co_await driver.findHelper(service, {});
        found.set_value(helper.has_value());
    };
    asio::co_spawn(this->loop, find, asio::detached);
    return found.get_future().get();
}

std::uint32_t RelayFixture::askForHelp(bool isAnswerNeeded)
{
    std::promise<std::uint32_t> places;
    const auto ask = [&]() -> upstream::Awaitable<void> {
        const forwarding::HelpOffer offer
                = co_await this->gateway->forwardingDriver().makeOffer(service, isAnswerNeeded);
        places.set_value(offer.freePlaces);
    };
    asio::co_spawn(this->loop, ask, asio::detached);
    return places.get_future().get();
}

void RelayFixture::waitForIdle() const
{
    std::size_t open = 1;
    while (open > 0) {
        std::this_thread::sleep_for(10ms);
        this->runOnLoop([&open](gateway::Gateway &gateway) { open = gateway.openRequests(); });
    }
}

std::uint64_t RelayFixture::requestsRead()
{
    return this->metrics.counter("bamboochute_requests_read_total").value();
}

std::uint64_t RelayFixture::upstreamPauses()
{
    return this->metrics.counter("bamboochute_upstream_pauses_total").value();
}

std::uint64_t RelayFixture::requestEnds(const std::string &end)
{
    // What the gateway does after it has closed a connection is done then.
    this->runOnLoop([](gateway::Gateway &) {});
    return this->metrics.counter("bamboochute_request_ends_total", "end=\"" + end + "\"").value();
}

void RelayFixture::callAndDisconnect(const std::string &text, Duration after) const
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({asio::ip::make_address(this->listen.address), this->listen.port});
    asio::write(socket, asio::buffer(text));
    std::this_thread::sleep_for(after);
}

std::string request(const std::string &path, const std::string &body, const std::string &headers)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: desk\r\ntest-id: r1\r\n"
                                   "Connection: close\r\n{}",
                                   body.empty() ? "GET" : "POST", path, headers);
    if (!body.empty())
        text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
}

std::string streamHead()
{
    return "HTTP/1.1 200 OK\r\ntest-id: {id}\r\ntest-signature: s\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

std::string streamAnswer(const std::string &text, bool isWhole)
{
    return streamHead() + chunk(text) + (isWhole ? "0\r\n\r\n" : "");
}

bool containsText(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string answer(int status, const std::string &body, const std::string &headers)
{
    return fmt::format("HTTP/1.1 {} Status\r\ntest-id: {{id}}\r\ntest-signature: s\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       status, headers, body.size(), body);
}

} // namespace bamboochute::test
