#include "test_bed.hpp"

#include <algorithm>
#include <stdexcept>

#include <arpa/inet.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bamboochute::test {

namespace {

constexpr int receiveTimeoutSeconds = 20;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

EventLoopThread::EventLoopThread()
    : thread([this] {
        const auto guard = upstream::asio::make_work_guard(this->context);
        this->context.run();
    })
{}

EventLoopThread::~EventLoopThread()
{
    this->context.stop();
    this->thread.join();
}

void EventLoopThread::run(const std::function<void()> &function)
{
    std::promise<void> done;
    upstream::asio::post(this->context, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void FakeControl::demand(caller::Ticket, const caller::ColdStartDemand &demand,
                         const caller::ColdStartCallback &answered)
{
    std::unique_lock lock(this->mutex);
    ++this->demandCount;
    const auto handler = this->onDemand;
    lock.unlock();
    if (handler)
        handler(demand, answered);
}

void FakeControl::withdraw(caller::Ticket)
{
    const std::lock_guard lock(this->mutex);
    ++this->withdrawnCount;
}

void FakeControl::claim(caller::Ticket ticket, const admission::ClaimRequest &request,
                        const caller::ClaimCallback &decided)
{
    const std::lock_guard lock(this->mutex);
    if (this->throwsOnClaim)
        throw std::runtime_error("the claim fails");
    if (this->holdsClaims) {
        this->tickets[ticket] = request.key;
        this->heldClaims.push_back(decided);
        return;
    }
    if (this->isUnavailable)
        return decided(Error(ErrorKind::ClaimUnavailable, "the key-value service is unavailable"));
    const auto found = this->records.find(request.key);
    if (found == this->records.end()
        || std::holds_alternative<admission::Released>(found->second)) {
        this->records[request.key] = admission::Claimed();
        this->fingerprints[request.key] = request.fingerprint;
        this->tickets[ticket] = request.key;
        return decided(admission::Dispatch{SteadyClock().now() + request.retention});
    }
    if (this->fingerprints[request.key] != request.fingerprint)
        return decided(Error(ErrorKind::OperationKeyReused, "another request has the key"));
    if (const auto *outcome = std::get_if<admission::OperationOutcome>(&found->second))
        return decided(admission::Replay{*outcome});
    if (std::holds_alternative<admission::Claimed>(found->second))
        return decided(Error(ErrorKind::OperationInProgress));
    decided(Error(ErrorKind::OperationOutcomeUnknown));
}

void FakeControl::abandon(caller::Ticket)
{
    const std::lock_guard lock(this->mutex);
    ++this->abandonedCount;
}

void FakeControl::settle(caller::Ticket ticket, admission::Settlement settlement)
{
    const std::lock_guard lock(this->mutex);
    admission::OperationState &state = this->records[this->tickets.at(ticket)];
    std::visit([&state](auto &settled) { state = std::move(settled); }, settlement);
}

Client::Client(const Endpoint &endpoint)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const timeval timeout{receiveTimeoutSeconds, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    if (connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("the client can't connect");
}

Client::~Client()
{
    this->close();
}

void Client::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

void Client::finishSending()
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void Client::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

bool Client::receive()
{
    std::array<char, 16384> bytes{};
    const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::string Client::readUntil(std::string_view text)
{
    while (this->buffer.find(text) == std::string::npos) {
        if (!this->receive())
            break;
    }
    return this->buffer;
}

ClientAnswer Client::read()
{
    ClientAnswer answer;
    upstream::ParsedMessage message;
    upstream::ResponseParser parser(message);
    while (!parser.is_done()) {
        if (this->buffer.empty() && !this->receive())
            break;
        upstream::error_code error;
        const std::size_t used = parser.feed(this->buffer, error);
        for (const std::string_view piece : message.pieces)
            answer.body += piece;
        this->buffer.erase(0, used);
        if (error || (used == 0 && !parser.is_done() && !this->receive()))
            break;
    }
    answer.status = message.status;
    for (std::size_t i = 0; i < message.headers.size(); ++i)
        answer.headers[lowerCase(std::string(message.headers[i].name))]
                = std::string(message.headers[i].value);
    answer.isWhole = parser.is_done();
    return answer;
}

ClientAnswer Client::call(std::string_view method, std::string_view path, std::string_view body,
                          std::string_view headers)
{
    this->send(requestText(method, path, body, headers));
    return this->read();
}

std::string requestText(std::string_view method, std::string_view path, std::string_view body,
                        std::string_view headers)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\n{}\r\n{}",
                       method, path, body.size(), headers, body);
}

std::string chatBody(std::string_view model, bool isStream)
{
    return fmt::format(
            R"({{"model":"{}","stream":{},"messages":[{{"role":"user","content":"hi"}}]}})", model,
            isStream);
}

TestBed::TestBed(caller::ServerLimits limits, const InboundLimits &machine)
    : inbound(machine, this->metrics)
{
    Deployment deployment;
    deployment.id = DeploymentId("desk");
    CallerClass guest;
    guest.id = CallerClassId("guest");
    CallerClass officer = guest;
    officer.id = CallerClassId("officer");
    officer.weight = 4;
    officer.enginePriority = 7;
    // SHA-256 of "officer-secret".
    officer.credentialHash = "a1b2da3884c7d2cfcd3dca82fee0ceaa91b2186a3adf50ed69098549a6d7e8b4";
    deployment.callerClasses = {officer, guest};
    for (const char *name : {"small", "cold"}) {
        ModelSpec model;
        model.id = ModelId(name);
        model.memory = Bytes{1 << 30};
        deployment.models.push_back(model);
    }
    AdapterSpec tone;
    tone.id = AdapterId("desk-tone");
    tone.base = ModelId("small");
    deployment.adapters = {tone};
    ServiceRoute route;
    route.pathPrefix = "/reservations";
    route.pool = PoolId("booking");
    route.nonIdempotentMethods = {"POST"};
    deployment.routes = {route};
    this->configuration.revision = Revision(1);
    this->configuration.deployments = {deployment};

    caller::ServerSettings settings;
    settings.trafficThreads = 2;
    settings.limits = limits;
    this->server = std::make_unique<caller::Server>(settings,
                                                    caller::makePorts(this->control, this->control),
                                                    this->metrics, this->inbound);
    this->endpoint = this->server->start().value();
}

TestBed::~TestBed()
{
    this->server.reset();
    this->loop.run([this] {
        for (const auto &engine : this->engines)
            engine->close();
    });
}

fakes::FakeEngine &TestBed::addEngine(fakes::EngineSettings settings, std::uint32_t slots)
{
    UpstreamSpec spec;
    spec.id = UpstreamId("engine-" + std::to_string(this->engines.size()));
    spec.pool = PoolId("engines");
    spec.vendor = settings.vendor;
    spec.maxConcurrent = slots;
    this->loop.run([&] {
        this->engines.push_back(std::make_unique<fakes::FakeEngine>(this->loop.context, settings));
        spec.endpoint = this->engines.back()->listen({"127.0.0.1", 0}).value();
        this->engines.back()->state().preload({ModelId("small"), AdapterId()}, Bytes{1});
        this->engines.back()->state().preload({ModelId("small"), AdapterId("desk-tone")}, Bytes{1});
    });
    this->routing.upstreams[spec.id] = UpstreamState{spec};
    this->routing.replicas[{ModelId("small"), AdapterId()}].push_back(spec.id);
    this->routing.replicas[{ModelId("small"), AdapterId("desk-tone")}].push_back(spec.id);
    return *this->engines.back();
}

void TestBed::addService(const Endpoint &at)
{
    UpstreamSpec spec;
    spec.id = UpstreamId("service-" + std::to_string(this->routing.upstreams.size()));
    spec.pool = PoolId("booking");
    spec.kind = UpstreamKind::Service;
    spec.endpoint = at;
    this->routing.upstreams[spec.id] = UpstreamState{spec};
}

void TestBed::publish()
{
    const auto snapshot = std::make_shared<const caller::TrafficSnapshot>(
            caller::makeTrafficSnapshot(std::make_shared<const Configuration>(this->configuration),
                                        std::make_shared<const RoutingTable>(this->routing), true));
    this->server->publish(snapshot);
}

CustomEngineBed::CustomEngineBed(fakes::FakeHandler handler, caller::ServerLimits limits)
    : TestBed(limits)
    , engine(this->loop.context, std::move(handler))
{
    UpstreamSpec spec;
    spec.id = UpstreamId("odd");
    this->loop.run([&] { spec.endpoint = this->engine.listen({"127.0.0.1", 0}).value(); });
    this->routing.upstreams[spec.id] = UpstreamState{spec};
    this->routing.replicas[{ModelId("small"), AdapterId()}].push_back(spec.id);
    this->publish();
}

CustomEngineBed::~CustomEngineBed()
{
    this->server->stop();
    this->loop.run([this] { this->engine.close(); });
}

} // namespace bamboochute::test
