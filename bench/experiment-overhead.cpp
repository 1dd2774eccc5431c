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

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// An event loop on a thread of its own, with connections of its own.
class Loop
{
public:
    Loop()
        : watch(this->context)
        , pool(this->context, this->watch, limits())
        , thread([this] {
            const auto guard = asio::make_work_guard(this->context);
            this->context.run();
        })
    {}
    ~Loop()
    {
        this->context.stop();
        this->thread.join();
    }
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

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
        this->run([&seconds] { seconds = threadCpuSeconds(); });
        return seconds;
    }

    asio::io_context context{1};
    upstream::DeadlineWatch watch;
    upstream::ConnectionPool pool;

private:
    static upstream::PoolLimits limits()
    {
        upstream::PoolLimits limits;
        limits.maxIdlePerUpstream = 256;
        limits.maxBufferBytes = connectionBufferBytes;
        return limits;
    }

    std::thread thread;
};

/// Cold starts and claims that nobody asks for here.
struct NoControl
{
    void demand(caller::Ticket, const caller::ColdStartDemand &, const caller::ColdStartCallback &)
    {}
    void withdraw(caller::Ticket) {}
    void claim(caller::Ticket, const admission::ClaimRequest &, const caller::ClaimCallback &) {}
    void abandon(caller::Ticket) {}
    void settle(caller::Ticket, const admission::Settlement &) {}
};

std::string requestHead(std::size_t bodyBytes)
{
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                       bodyBytes);
}

std::string chatBody(bool isStream)
{
    return fmt::format(R"({{"model":"small","stream":{},"messages":[{{"role":"system","content":)"
                       R"("Answer lease questions briefly."}},{{"role":"user","content":)"
                       R"("May I sublet my room for two weeks in August?"}}]}})",
                       isStream);
}

/// One plain request; false when it failed.
Awaitable<bool> callOnce(Loop &loop, Endpoint to)
{
    const std::string body = chatBody(false);
    const TimePoint deadline = SteadyClock().now() + std::chrono::seconds(10);
    const auto answer
            = co_await upstream::sendAndReadAnswer(loop.pool, to, requestHead(body.size()), body,
                                                   deadline, 1 << 20, upstream::ConnectionUse::Any);
    co_return answer &&answer.value().status == 200;
}

/// Engines and one server with one traffic thread before them.
class Node
{
public:
    explicit Node(const std::vector<Endpoint> &engines)
        : server(settings(), caller::makePorts(this->control, this->control), this->metrics)
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
    static caller::ServerSettings settings()
    {
        caller::ServerSettings settings;
        settings.trafficThreads = 1;
        settings.limits.maxIdleUpstreamConnections = 256;
        return settings;
    }

    NoControl control;
    Metrics metrics;
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
        const auto place
                = static_cast<std::ptrdiff_t>(share * static_cast<double>(this->millis.size() - 1));
        std::nth_element(this->millis.begin(), this->millis.begin() + place, this->millis.end());
        return this->millis[static_cast<std::size_t>(place)];
    }
};

using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         upstream::Executor>;

/// Sends at a fixed rate over one connection; latency counts from the time that was planned.
Awaitable<void> pacedConnection(Loop &loop, Endpoint to, std::size_t index, Latencies &into,
                                std::atomic<std::size_t> &open)
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
        const bool isOk = co_await callOnce(loop, to);
        const std::chrono::duration<double, std::milli> took
                = std::chrono::steady_clock::now() - planned;
        if (isOk)
            into.millis.push_back(took.count());
        else
            ++into.failed;
        planned += interval;
    }
    --open;
}

void runPaced(Loop &loop, const Endpoint &to, Latencies &into)
{
    std::atomic<std::size_t> open{pacedConnections};
    loop.run([&] {
        for (std::size_t i = 0; i < pacedConnections; ++i)
            asio::co_spawn(loop.context, pacedConnection(loop, to, i, into, open), asio::detached);
    });
    while (open > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

/// Requests, and the time and processor time that they took over all rounds.
struct Throughput
{
    double requests = 0;
    double seconds = 0;
    double cpuSeconds = 0;
    double perSecond() const { return this->requests / this->seconds; }
    double cores() const { return this->cpuSeconds / this->seconds; }
    double perCore() const { return this->requests / this->cpuSeconds; }
};

Awaitable<void> saturatedConnection(Loop &loop, Endpoint to, std::uint64_t &done,
                                    const std::atomic<bool> &isOver, std::atomic<std::size_t> &open)
{
    while (!isOver) {
        const bool isOk = co_await callOnce(loop, to);
        done += isOk ? 1 : 0;
    }
    --open;
}

void runSaturated(Loop &loop, const Endpoint &to, Throughput &into)
{
    std::atomic<std::size_t> open{saturatedConnections};
    std::atomic<bool> isOver{false};
    std::uint64_t done = 0;
    const double cpuBefore = processCpuSeconds();
    const auto begin = std::chrono::steady_clock::now();
    loop.run([&] {
        for (std::size_t i = 0; i < saturatedConnections; ++i)
            asio::co_spawn(loop.context, saturatedConnection(loop, to, done, isOver, open),
                           asio::detached);
    });
    std::this_thread::sleep_for(saturatedTime);
    isOver = true;
    while (open > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    into.requests += static_cast<double>(done);
    into.seconds += took.count();
    into.cpuSeconds += processCpuSeconds() - cpuBefore;
}

std::uint64_t countEvents(std::string_view text)
{
    std::uint64_t events = 0;
    for (std::size_t place = text.find("data: "); place != std::string_view::npos;
         place = text.find("data: ", place + 1))
        ++events;
    return events;
}

Awaitable<void> streamConnection(Loop &loop, Endpoint to, std::uint64_t &tokens,
                                 const std::atomic<bool> &isOver, std::atomic<std::size_t> &open)
{
    const std::string body = chatBody(true);
    while (!isOver) {
        upstream::UpstreamCall call(loop.pool, to);
        const TimePoint deadline = SteadyClock().now() + std::chrono::seconds(60);
        const auto sent = co_await call.send(requestHead(body.size()), body, deadline,
                                             upstream::ConnectionUse::Fresh);
        if (!sent)
            continue;
        const auto headRead = co_await call.readHead();
        if (!headRead)
            continue;
        while (!isOver) {
            const auto more = co_await call.readBody();
            if (!more || !more.value())
                break;
            for (const std::string_view piece : call.answer().pieces)
                tokens += countEvents(piece);
        }
        call.cancel();
    }
    --open;
}

/// Streamed tokens a second, and the cores that the node used for them.
struct StreamResult
{
    double tokensPerSecond = 0;
    double nodeCores = 0;
    double perCore() const { return this->tokensPerSecond / this->nodeCores; }
};

StreamResult runStreams(std::vector<std::unique_ptr<Loop>> &engines,
                        std::vector<std::unique_ptr<Loop>> &clients, const Endpoint &to)
{
    const auto othersCpu = [&] {
        double seconds = 0;
        for (const auto &loop : engines)
            seconds += loop->cpuSeconds();
        for (const auto &loop : clients)
            seconds += loop->cpuSeconds();
        return seconds;
    };
    std::atomic<std::size_t> open{streamsPerLoop * clients.size()};
    std::atomic<bool> isOver{false};
    std::vector<std::uint64_t> tokens(clients.size());
    const auto begin = std::chrono::steady_clock::now();
    const double nodeBefore = processCpuSeconds() - othersCpu();
    for (std::size_t i = 0; i < clients.size(); ++i) {
        clients[i]->run([&, i] {
            for (std::size_t stream = 0; stream < streamsPerLoop; ++stream)
                asio::co_spawn(clients[i]->context,
                               streamConnection(*clients[i], to, tokens[i], isOver, open),
                               asio::detached);
        });
    }
    std::this_thread::sleep_for(streamTime);
    isOver = true;
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    const double nodeCpu = processCpuSeconds() - othersCpu() - nodeBefore;
    while (open > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    StreamResult result;
    for (const std::uint64_t count : tokens)
        result.tokensPerSecond += static_cast<double>(count) / took.count();
    result.nodeCores = nodeCpu / took.count();
    return result;
}

/// Stand-in engines, each on a loop of its own.
class Engines
{
public:
    Engines(std::size_t count, const fakes::EngineSettings &settings)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->loops.push_back(std::make_unique<Loop>());
            Loop &loop = *this->loops.back();
            loop.run([&] {
                this->engines.push_back(
                        std::make_unique<fakes::FakeEngine>(loop.context, settings));
                this->engines.back()->state().preload({ModelId("small"), AdapterId()}, Bytes{1});
                this->endpoints.push_back(this->engines.back()->listen({"127.0.0.1", 0}).value());
            });
        }
    }
    ~Engines()
    {
        for (std::size_t i = 0; i < this->loops.size(); ++i)
            this->loops[i]->run([this, i] { this->engines[i]->close(); });
    }
    Engines(const Engines &) = delete;
    Engines &operator=(const Engines &) = delete;

    std::vector<std::unique_ptr<Loop>> loops;
    std::vector<std::unique_ptr<fakes::FakeEngine>> engines;
    std::vector<Endpoint> endpoints;
};

void measureLatency(Report &report)
{
    Engines engines(1, {});
    Node node(engines.endpoints);
    Loop client;
    Latencies direct;
    Latencies through;
    for (int round = 0; round < pacedRounds; ++round) {
        runPaced(client, engines.endpoints[0], direct);
        runPaced(client, node.endpoint, through);
    }
    report.table
            += fmt::format("{:>10} {:>12} {:>12} {:>12}\n", "ms", "direct", "through", "added");
    for (const auto &[name, share] : {std::pair("p50", 0.5), {"p99", 0.99}, {"p999", 0.999}}) {
        const double before = direct.quantile(share);
        const double after = through.quantile(share);
        report.table += fmt::format("{:>10} {:>12.3f} {:>12.3f} {:>12.3f}\n", name, before, after,
                                    after - before);
        report.addFigure(fmt::format("added_{}_ms", name), after - before, "ms");
    }
    report.addFigure("failed_requests", static_cast<double>(direct.failed + through.failed), "");
    report.requireAtMost("added_p50_ms", 0.2);
    report.requireAtMost("added_p99_ms", 1.0);
    report.requireAtMost("failed_requests", 0);
}

void measureThroughput(Report &report)
{
    Engines engines(1, {});
    Node node(engines.endpoints);
    Loop client;
    Throughput direct;
    Throughput through;
    for (int round = 0; round < saturatedRounds; ++round) {
        runSaturated(client, engines.endpoints[0], direct);
        runSaturated(client, node.endpoint, through);
    }
    report.table += fmt::format("\n{:>10} {:>12} {:>12} {:>12}\n", "", "requests/s", "cores",
                                "per core");
    for (const auto &[name, result] : {std::pair("direct", direct), std::pair("through", through)})
        report.table += fmt::format("{:>10} {:>12.0f} {:>12.2f} {:>12.0f}\n", name,
                                    result.perSecond(), result.cores(), result.perCore());
    report.addFigure("direct_requests_per_core", direct.perCore(), "1/s");
    report.addFigure("through_requests_per_core", through.perCore(), "1/s");
    report.addFigure("through_share_per_core", through.perCore() / direct.perCore(), "");
    report.requireAtLeast("through_share_per_core", 0.5);
}

void measureStreams(Report &report)
{
    fakes::EngineSettings settings;
    settings.tokensPerAnswer = streamTokens;
    Engines engines(streamLoops, settings);
    Node node(engines.endpoints);
    std::vector<std::unique_ptr<Loop>> clients;
    for (std::size_t i = 0; i < streamLoops; ++i)
        clients.push_back(std::make_unique<Loop>());
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
