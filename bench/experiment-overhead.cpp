#include "caller/server.hpp"
#include "core/log.hpp"
#include "experiment.hpp"
#include "fakes/engine.hpp"
#include "upstream/upstream_call.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <sys/resource.h>

namespace bamboochute::bench {

namespace {

namespace asio = upstream::asio;
using upstream::Awaitable;

constexpr double pacedRate = 2000;
constexpr auto pacedTime = std::chrono::seconds(4);
constexpr int pacedRounds = 3;
constexpr std::size_t pacedConnections = 64;
constexpr auto saturatedTime = std::chrono::seconds(2);
constexpr int saturatedRounds = 4;
constexpr std::size_t saturatedConnections = 32;
constexpr auto streamTime = std::chrono::seconds(6);
constexpr std::size_t streamsPerLoop = 32;
constexpr std::size_t streamLoops = 3;
constexpr std::uint32_t streamTokens = 20000;
constexpr std::size_t connectionBufferBytes = 64 << 10;

double readThreadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double readProcessCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// An event loop with its own thread and its own connection pool.
class EventLoop
{
public:
    EventLoop()
        : watch(this->context)
        , pool(this->context, this->watch, makePoolLimits())
        , thread([this] {
            const auto guard = asio::make_work_guard(this->context);
            this->context.run();
        })
    {}
    ~EventLoop()
    {
        this->context.stop();
        this->thread.join();
    }
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs a function on the thread of the loop and waits for its end.
    void run(const std::function<void()> &function)
    {
        std::promise<void> done;
        asio::post(this->context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    double cpuSeconds()
    {
        double seconds = 0;
        this->run([&seconds] { seconds = readThreadCpuSeconds(); });
        return seconds;
    }

    asio::io_context context{1};
    upstream::DeadlineWatch watch;
    upstream::ConnectionPool pool;

private:
    static upstream::PoolLimits makePoolLimits()
    {
        upstream::PoolLimits limits;
        limits.maxIdlePerUpstream = 256;
        limits.maxBufferBytes = connectionBufferBytes;
        return limits;
    }

    std::thread thread;
};

/// Control ports that ignore cold starts and claims; the experiment needs neither.
struct NoControl
{
    void demand(caller::Ticket, const caller::ColdStartDemand &, const caller::ColdStartCallback &)
    {}
    void withdraw(caller::Ticket) {}
    void claim(caller::Ticket, const admission::ClaimRequest &, const caller::ClaimCallback &) {}
    void abandon(caller::Ticket) {}
    void settle(caller::Ticket, const admission::Settlement &) {}
};

std::string makeRequestHead(std::size_t bodyBytes)
{
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                       bodyBytes);
}

std::string makeChatBody(bool isStream)
{
    return fmt::format(R"({{"model":"small","stream":{},"messages":[{{"role":"system","content":)"
                       R"("Answer lease questions briefly."}},{{"role":"user","content":)"
                       R"("May I sublet my room for two weeks in August?"}}]}})",
                       isStream);
}

/// Makes one request without streaming; returns false when it failed.
Awaitable<bool> sendRequest(EventLoop &loop, Endpoint to)
{
    const std::string body = makeChatBody(false);
    const TimePoint deadline = SteadyClock().now() + std::chrono::seconds(10);
    const auto answer = co_await upstream::sendAndReadAnswer(
            loop.pool, to, makeRequestHead(body.size()), body, deadline, 1 << 20,
            upstream::ConnectionUse::Any);
    co_return answer &&answer.value().status == 200;
}

/// An instance: a server with one traffic thread that routes to the given engines.
class Node
{
public:
    explicit Node(const std::vector<Endpoint> &engines)
        : server(makeServerSettings(), caller::makePorts(this->control, this->control),
                 this->metrics, this->inbound)
    {
        this->endpoint = this->server.start().value();
        Deployment deployment;
        deployment.id = DeploymentId("desk");
        CallerClass guest;
        guest.id = CallerClassId("guest");
        guest.maxQueued = 4096;
        deployment.callerClasses = {guest};
        ModelSpec model;
        model.id = ModelId("small");
        deployment.models = {model};
        Configuration configuration;
        configuration.deployments = {deployment};
        RoutingTable routing;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            UpstreamSpec spec;
            spec.id = UpstreamId(fmt::format("engine-{}", i));
            spec.endpoint = engines[i];
            spec.maxConcurrent = 512;
            routing.upstreams[spec.id].spec = spec;
            routing.replicas[{ModelId("small"), AdapterId()}].push_back(spec.id);
        }
        this->server.publish(std::make_shared<const caller::TrafficSnapshot>(
                caller::makeTrafficSnapshot(std::make_shared<const Configuration>(configuration),
                                            std::make_shared<const RoutingTable>(routing), true)));
    }

    Endpoint endpoint;

private:
    static caller::ServerSettings makeServerSettings()
    {
        caller::ServerSettings settings;
        settings.trafficThreads = 1;
        settings.limits.maxIdleUpstreamConnections = 256;
        return settings;
    }

    NoControl control;
    Metrics metrics;
    InboundBudget inbound{InboundLimits{}, this->metrics};
    caller::Server server;
};

struct Latencies
{
    std::vector<double> millis;
    std::uint64_t failed = 0;

    double quantile(double share)
    {
        if (this->millis.empty())
            return 0;
        const auto position
                = static_cast<std::ptrdiff_t>(share * static_cast<double>(this->millis.size() - 1));
        std::nth_element(this->millis.begin(), this->millis.begin() + position, this->millis.end());
        return this->millis[static_cast<std::size_t>(position)];
    }
};

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         upstream::Executor>;

/// Sends requests at a fixed rate over one connection; latency is measured from the planned time.
Awaitable<void> runPacedConnection(EventLoop &loop, Endpoint to, std::size_t index,
                                   Latencies &result, std::atomic<std::size_t> &openConnections)
{
    const auto interval = std::chrono::nanoseconds(
            static_cast<std::int64_t>(1e9 * static_cast<double>(pacedConnections) / pacedRate));
    const auto begin = std::chrono::steady_clock::now();
    auto planned = begin + interval * index / pacedConnections;
    Timer timer(loop.context);
    while (planned < begin + pacedTime) {
        timer.expires_at(planned);
        upstream::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(upstream::UseAwaitable(), ignored));
        const bool isOk = co_await sendRequest(loop, to);
        const std::chrono::duration<double, std::milli> elapsed
                = std::chrono::steady_clock::now() - planned;
        if (isOk)
            result.millis.push_back(elapsed.count());
        else
            ++result.failed;
        planned += interval;
    }
    --openConnections;
}

void runPaced(EventLoop &loop, const Endpoint &to, Latencies &result)
{
    std::atomic<std::size_t> openConnections{pacedConnections};
    loop.run([&] {
        for (std::size_t i = 0; i < pacedConnections; ++i)
            asio::co_spawn(loop.context, runPacedConnection(loop, to, i, result, openConnections),
                           asio::detached);
    });
    while (openConnections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

/// Number of requests, wall time and processor time, summed over all rounds.
struct Throughput
{
    double requests = 0;
    double seconds = 0;
    double cpuSeconds = 0;
    double perSecond() const { return this->requests / this->seconds; }
    double cores() const { return this->cpuSeconds / this->seconds; }
    double perCore() const { return this->requests / this->cpuSeconds; }
};

Awaitable<void> runSaturatedConnection(EventLoop &loop, Endpoint to, std::uint64_t &done,
                                       const std::atomic<bool> &isStopping,
                                       std::atomic<std::size_t> &openConnections)
{
    while (!isStopping) {
        const bool isOk = co_await sendRequest(loop, to);
        done += isOk ? 1 : 0;
    }
    --openConnections;
}

void runSaturated(EventLoop &loop, const Endpoint &to, Throughput &result)
{
    std::atomic<std::size_t> openConnections{saturatedConnections};
    std::atomic<bool> isStopping{false};
    std::uint64_t done = 0;
    const double cpuBefore = readProcessCpuSeconds();
    const auto begin = std::chrono::steady_clock::now();
    loop.run([&] {
        for (std::size_t i = 0; i < saturatedConnections; ++i)
            asio::co_spawn(loop.context,
                           runSaturatedConnection(loop, to, done, isStopping, openConnections),
                           asio::detached);
    });
    std::this_thread::sleep_for(saturatedTime);
    isStopping = true;
    while (openConnections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    result.requests += static_cast<double>(done);
    result.seconds += elapsed.count();
    result.cpuSeconds += readProcessCpuSeconds() - cpuBefore;
}

std::uint64_t countEvents(std::string_view text)
{
    std::uint64_t events = 0;
    for (std::size_t position = text.find("data: "); position != std::string_view::npos;
         position = text.find("data: ", position + 1))
        ++events;
    return events;
}

Awaitable<void> runStreamConnection(EventLoop &loop, Endpoint to, std::uint64_t &tokens,
                                    const std::atomic<bool> &isStopping,
                                    std::atomic<std::size_t> &openConnections)
{
    const std::string body = makeChatBody(true);
    while (!isStopping) {
        upstream::UpstreamCall call(loop.pool, to);
        const TimePoint deadline = SteadyClock().now() + std::chrono::seconds(60);
        const auto sent = co_await call.send(makeRequestHead(body.size()), body, deadline,
                                             upstream::ConnectionUse::Fresh);
        if (!sent)
            continue;
        const auto headRead = co_await call.readHead();
        if (!headRead)
            continue;
        while (!isStopping) {
            const auto more = co_await call.readBody();
            if (!more || !more.value())
                break;
            for (const std::string_view piece : call.answer().pieces)
                tokens += countEvents(piece);
        }
        call.cancel();
    }
    --openConnections;
}

/// Streamed tokens per second, and the number of cores that the node used for them.
struct StreamResult
{
    double tokensPerSecond = 0;
    double nodeCores = 0;
    double perCore() const { return this->tokensPerSecond / this->nodeCores; }
};

StreamResult runStreams(std::vector<std::unique_ptr<EventLoop>> &engines,
                        std::vector<std::unique_ptr<EventLoop>> &clients, const Endpoint &to)
{
    const auto enginesAndClientsCpu = [&] {
        double seconds = 0;
        for (const auto &loop : engines)
            seconds += loop->cpuSeconds();
        for (const auto &loop : clients)
            seconds += loop->cpuSeconds();
        return seconds;
    };
    std::atomic<std::size_t> openConnections{streamsPerLoop * clients.size()};
    std::atomic<bool> isStopping{false};
    std::vector<std::uint64_t> tokens(clients.size());
    const auto begin = std::chrono::steady_clock::now();
    const double nodeCpuBefore = readProcessCpuSeconds() - enginesAndClientsCpu();
    for (std::size_t i = 0; i < clients.size(); ++i) {
        clients[i]->run([&, i] {
            for (std::size_t stream = 0; stream < streamsPerLoop; ++stream)
                asio::co_spawn(clients[i]->context,
                               runStreamConnection(*clients[i], to, tokens[i], isStopping,
                                                   openConnections),
                               asio::detached);
        });
    }
    std::this_thread::sleep_for(streamTime);
    isStopping = true;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const double nodeCpu = readProcessCpuSeconds() - enginesAndClientsCpu() - nodeCpuBefore;
    while (openConnections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    StreamResult result;
    for (const std::uint64_t count : tokens)
        result.tokensPerSecond += static_cast<double>(count) / elapsed.count();
    result.nodeCores = nodeCpu / elapsed.count();
    return result;
}

/// Fake engines, each on its own event loop.
class FakeEngines
{
public:
    FakeEngines(std::size_t count, const fakes::EngineSettings &settings)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->loops.push_back(std::make_unique<EventLoop>());
            EventLoop &loop = *this->loops.back();
            loop.run([&] {
                this->engines.push_back(
                        std::make_unique<fakes::FakeEngine>(loop.context, settings));
                this->engines.back()->state().preload({ModelId("small"), AdapterId()}, Bytes{1});
                this->endpoints.push_back(this->engines.back()->listen({"127.0.0.1", 0}).value());
            });
        }
    }
    ~FakeEngines()
    {
        for (std::size_t i = 0; i < this->loops.size(); ++i)
            this->loops[i]->run([this, i] { this->engines[i]->close(); });
    }
    FakeEngines(const FakeEngines &) = delete;
    FakeEngines &operator=(const FakeEngines &) = delete;

    std::vector<std::unique_ptr<EventLoop>> loops;
    std::vector<std::unique_ptr<fakes::FakeEngine>> engines;
    std::vector<Endpoint> endpoints;
};

void measureLatency(Report &report)
{
    FakeEngines engines(1, {});
    Node node(engines.endpoints);
    EventLoop client;
    Latencies direct;
    Latencies throughNode;
    for (int round = 0; round < pacedRounds; ++round) {
        runPaced(client, engines.endpoints[0], direct);
        runPaced(client, node.endpoint, throughNode);
    }
    report.table
            += fmt::format("{:>10} {:>12} {:>12} {:>12}\n", "ms", "direct", "through", "added");
    for (const auto &[name, share] : {std::pair("p50", 0.5), {"p99", 0.99}, {"p999", 0.999}}) {
        const double before = direct.quantile(share);
        const double after = throughNode.quantile(share);
        report.table += fmt::format("{:>10} {:>12.3f} {:>12.3f} {:>12.3f}\n", name, before, after,
                                    after - before);
        report.addFigure(fmt::format("added_{}_ms", name), after - before, "ms");
    }
    report.addFigure("failed_requests", static_cast<double>(direct.failed + throughNode.failed),
                     "");
    report.requireAtMost("added_p50_ms", 0.2);
    report.requireAtMost("added_p99_ms", 1.0);
    report.requireAtMost("failed_requests", 0);
}

void measureThroughput(Report &report)
{
    FakeEngines engines(1, {});
    Node node(engines.endpoints);
    EventLoop client;
    Throughput direct;
    Throughput throughNode;
    for (int round = 0; round < saturatedRounds; ++round) {
        runSaturated(client, engines.endpoints[0], direct);
        runSaturated(client, node.endpoint, throughNode);
    }
    report.table += fmt::format("\n{:>10} {:>12} {:>12} {:>12}\n", "", "requests/s", "cores",
                                "per core");
    for (const auto &[name, result] :
         {std::pair("direct", direct), std::pair("through", throughNode)})
        report.table += fmt::format("{:>10} {:>12.0f} {:>12.2f} {:>12.0f}\n", name,
                                    result.perSecond(), result.cores(), result.perCore());
    report.addFigure("direct_requests_per_core", direct.perCore(), "1/s");
    report.addFigure("through_requests_per_core", throughNode.perCore(), "1/s");
    report.addFigure("through_share_per_core", throughNode.perCore() / direct.perCore(), "");
    report.requireAtLeast("through_share_per_core", 0.5);
}

void measureStreams(Report &report)
{
    fakes::EngineSettings settings;
    settings.tokensPerAnswer = streamTokens;
    FakeEngines engines(streamLoops, settings);
    Node node(engines.endpoints);
    std::vector<std::unique_ptr<EventLoop>> clients;
    for (std::size_t i = 0; i < streamLoops; ++i)
        clients.push_back(std::make_unique<EventLoop>());
    const StreamResult result = runStreams(engines.loops, clients, node.endpoint);
    report.table += fmt::format("\n{:.0f} streamed tokens/s with {:.2f} cores of the node\n",
                                result.tokensPerSecond, result.nodeCores);
    report.addFigure("streamed_tokens_per_second", result.tokensPerSecond, "1/s");
    report.addFigure("streamed_tokens_per_core", result.perCore(), "1/s");
    report.requireAtLeast("streamed_tokens_per_core", 200000);
}

Report runOverhead(const ExperimentArguments &)
{
    configureLog("bench", LogLevel::Error);
    Report report;
    measureLatency(report);
    measureThroughput(report);
    measureStreams(report);
    return report;
}

const RegisterExperiment
        registration("overhead",
                     "What one node adds to an engine: latency, processor time, streamed tokens.",
                     &runOverhead);

} // namespace

} // namespace bamboochute::bench
