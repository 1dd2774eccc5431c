#include "experiment.hpp"
#include "peer/call_client.hpp"
#include "peer/call_server.hpp"
#include "peer/datagram.hpp"
#include "peer/json_rpc.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

namespace bamboochute::bench {

namespace {

using namespace peer;
using Steady = std::chrono::steady_clock;

const Endpoint anyPort{"127.0.0.1", 0};
constexpr Duration callTimeout = std::chrono::seconds(30);

double readProcessorMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) * 1e-3;
}

/// Measures the mean processor time of one repetition, in microseconds.
double measureProcessorTime(std::size_t repetitions, const std::function<void()> &work)
{
    const double before = readProcessorMicroseconds();
    for (std::size_t i = 0; i < repetitions; ++i)
        work();
    return (readProcessorMicroseconds() - before) / static_cast<double>(repetitions);
}

DemandReport makeDemandReport(std::size_t targets)
{
    DemandReport report;
    report.pool = PoolId("quito");
    for (std::size_t i = 0; i < targets; ++i) {
        const Target target{ModelId(fmt::format("lease@{}", i)), AdapterId("es-ec")};
        report.demands.push_back(TargetDemand{target, 3, std::chrono::milliseconds(1500), 8});
    }
    return report;
}

/// Cost of calls of one kind in microseconds; processor time of client and server together.
struct CallCost
{
    double processor = 0;
    double medianLatency = 0;
    double p99Latency = 0;
};

class CallBench
{
public:
    CallBench()
        : keys(KeyRing::parse("1:000102030405060708090a0b0c0d0e0f").value())
        , server(CallServer::open(this->context, anyPort, this->keys, this->inbound).value())
        , client(this->context, this->keys, CallingInstance{InstanceId("client"), Incarnation(1)})
    {
        this->server->handle<Ping>([](const CallingInstance &, Ping, const auto &reply) {
            reply(Pong{InstanceId("server"), Incarnation(1)});
        });
        this->server->handle<DemandReport>([](const CallingInstance &, const DemandReport &,
                                              const auto &reply) { reply(DemandAnswer{}); });
        this->server->handle<ConfigurationPartsRequest>(
                [this](const CallingInstance &, const ConfigurationPartsRequest &request,
                       const auto &reply) {
                    ConfigurationPartsAnswer answer;
                    answer.chunks.push_back(PartChunk{request.parts.front().hash, 0,
                                                      this->part.size(), this->part});
                    reply(std::move(answer));
                });
        this->server->start();
    }

    template<CallRequest Request>
    CallCost measure(const Request &request, std::size_t calls)
    {
        std::vector<double> latencies;
        this->callOnce(request);
        const double before = readProcessorMicroseconds();
        for (std::size_t i = 0; i < calls; ++i) {
            const auto start = Steady::now();
            this->callOnce(request);
            const std::chrono::duration<double, std::micro> elapsed = Steady::now() - start;
            latencies.push_back(elapsed.count());
        }
        CallCost cost;
        cost.processor = (readProcessorMicroseconds() - before) / static_cast<double>(calls);
        std::sort(latencies.begin(), latencies.end());
        cost.medianLatency = latencies[calls / 2];
        cost.p99Latency = latencies[calls * 99 / 100];
        return cost;
    }

private:
    template<CallRequest Request>
    void callOnce(const Request &request)
    {
        const std::size_t expectedCalls = this->answeredCalls + 1;
        this->client.call(
                this->server->localEndpoint(), request, callTimeout,
                [this](const Result<typename Request::Response> &) { ++this->answeredCalls; });
        this->context.restart();
        while (this->answeredCalls < expectedCalls)
            this->context.run_one();
    }

    boost::asio::io_context context;
    KeyRing keys;
    Metrics metrics;
    InboundBudget inbound{InboundLimits{}, this->metrics};
    std::unique_ptr<CallServer> server;
    CallClient client;
    std::size_t answeredCalls = 0;
    std::string part = std::string(maxChunkBytes, 'p');
};

void addCallCost(Report &report, const std::string &name, const CallCost &cost)
{
    report.table
            += fmt::format("  {:<28} {:>9.1f} us processor {:>9.1f} us median {:>9.1f} us p99\n",
                           name, cost.processor, cost.medianLatency, cost.p99Latency);
    report.addFigure(name + "_processor", cost.processor, "us");
    report.addFigure(name + "_median", cost.medianLatency, "us");
    report.addFigure(name + "_p99", cost.p99Latency, "us");
}

void measureLayers(Report &report)
{
    constexpr std::size_t repetitions = 20000;
    const DemandReport request = makeDemandReport(4);
    const std::string text = encodeMessage(request);
    JsonRpcClient client;
    JsonRpcServer server({"demand"}, [](const std::string &) {});
    const std::string message = client.makeRequest("demand");
    const std::string answer = server.handle(message);
    const KeyRing keys = KeyRing::parse("1:000102030405060708090a0b0c0d0e0f").value();
    std::string error;
    const std::vector<std::pair<std::string, std::function<void()>>> layers{
            {"layer_encode", [&] { encodeMessage(request); }},
            {"layer_decode", [&] { (void)decodeMessage<DemandReport>(text); }},
            {"layer_rpc_request", [&] { client.makeRequest("demand"); }},
            {"layer_rpc_serve", [&] { server.handle(message); }},
            {"layer_rpc_answer", [&] { client.parseAnswer(answer, error); }},
            {"layer_sign", [&] { keys.sign(text, "context"); }},
    };
    report.table += "Processor time of the layers of a demand report with 4 targets\n";
    for (const auto &[name, work] : layers) {
        const double cost = measureProcessorTime(repetitions, work);
        report.table += fmt::format("  {:<28} {:>9.2f} us\n", name, cost);
        report.addFigure(name, cost, "us");
    }
}

Report runPeerCalls(const ExperimentArguments &)
{
    Report report;
    CallBench bench;
    report.table += "Calls one after another, client and server in one process\n";
    addCallCost(report, "ping", bench.measure(Ping{}, 20000));
    addCallCost(report, "demand_1", bench.measure(makeDemandReport(1), 20000));
    addCallCost(report, "demand_16", bench.measure(makeDemandReport(16), 5000));
    addCallCost(report, "demand_256", bench.measure(makeDemandReport(256), 500));
    ConfigurationPartsRequest parts;
    parts.parts.push_back(PartPosition{"abc", 0});
    addCallCost(report, "part_128k", bench.measure(parts, 300));
    measureLayers(report);
    // A node in a fleet of the target size reports the demand of each pool it uses a few times per
    // second.
    constexpr double callsPerSecond = 20;
    const double share
            = bench.measure(makeDemandReport(4), 5000).processor * callsPerSecond / 1e6 * 100;
    report.addFigure("processor_share_20_calls", share, "%");
    report.requireAtMost("processor_share_20_calls", 2.7);
    return report;
}

const RegisterExperiment registered("peer-calls", "Cost of calls between instances", runPeerCalls);

} // namespace

} // namespace bamboochute::bench
