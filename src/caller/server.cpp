#include "caller/server.hpp"

#include "caller/traffic_thread.hpp"
#include "core/log.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <tbb/global_control.h>
#include <tbb/task_arena.h>

namespace bamboochute::caller {

namespace {

/// Interval at which a drain checks for open requests.
constexpr auto drainPollInterval = std::chrono::milliseconds(10);

} // namespace

struct Server::State
{
    State(ServerSettings settings, Ports ports, Metrics &metrics, InboundBudget &inbound)
        : context(std::move(settings), std::move(ports), metrics, inbound)
        , parallelism(tbb::global_control::max_allowed_parallelism,
                      this->context.settings.trafficThreads + 1)
        , arena(static_cast<int>(this->context.settings.trafficThreads) + 1, 1)
    {}

    void runThread(TrafficThread &thread)
    {
        thread.run();
        const std::lock_guard lock(this->mutex);
        --this->runningThreads;
        this->threadEnded.notify_all();
    }

    ServerContext context;
    /// One more than the traffic threads, as the thread that starts them counts too.
    tbb::global_control parallelism;
    tbb::task_arena arena;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    std::mutex mutex;
    std::condition_variable threadEnded;
    std::size_t runningThreads = 0;
    bool isStopped = false;
    std::thread drainThread;
};

Server::Server(ServerSettings settings, Ports ports, Metrics &metrics, InboundBudget &inbound)
    : state(std::make_unique<State>(std::move(settings), std::move(ports), metrics, inbound))
{}

Server::~Server()
{
    this->stop();
}

Result<Endpoint> Server::start()
{
    State &serverState = *this->state;
    Endpoint endpoint = serverState.context.settings.listen;
    for (std::uint32_t i = 0; i < serverState.context.settings.trafficThreads; ++i) {
        serverState.threads.push_back(std::make_unique<TrafficThread>(serverState.context, i == 0));
        const Result<Endpoint> bound = serverState.threads.back()->listen(endpoint);
        if (!bound) {
            serverState.threads.clear();
            return bound.error();
        }
        endpoint = bound.value();
    }
    serverState.runningThreads = serverState.threads.size();
    for (const auto &thread : serverState.threads)
        serverState.arena.enqueue(
                [&serverState, &thread = *thread] { serverState.runThread(thread); });
    return endpoint;
}

void Server::publish(TrafficSnapshotPointer snapshot)
{
    this->state->context.admission->update(snapshot);
    this->state->context.snapshot.publish(std::move(snapshot));
}

std::vector<TargetUsage> Server::takeUsage()
{
    return this->state->context.admission->takeUsage();
}

void Server::beginDrain()
{
    this->state->context.isDraining = true;
}

std::size_t Server::openRequestCount() const noexcept
{
    return this->state->context.openRequests.load();
}

void Server::whenDrained(std::function<void()> drained)
{
    State &serverState = *this->state;
    serverState.drainThread = std::thread([&serverState, drained = std::move(drained)] {
        while (serverState.context.openRequests.load() > 0 && !serverState.context.isStopping)
            std::this_thread::sleep_for(drainPollInterval);
        drained();
    });
}

void Server::stop()
{
    State &serverState = *this->state;
    if (std::exchange(serverState.isStopped, true))
        return;
    serverState.context.isDraining = true;
    serverState.context.isStopping = true;
    serverState.context.admission->refuseAll(
            Error(ErrorKind::Draining, "this instance is stopping"));
    for (const auto &thread : serverState.threads)
        thread->stop();
    std::unique_lock lock(serverState.mutex);
    serverState.threadEnded.wait(lock, [&serverState] { return serverState.runningThreads == 0; });
    lock.unlock();
    if (serverState.drainThread.joinable())
        serverState.drainThread.join();
}

std::string metricsText(const Metrics &metrics)
{
    return metrics.print();
}

} // namespace bamboochute::caller
