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

/// How often a drain looks whether it has ended.
constexpr auto drainPollInterval = std::chrono::milliseconds(10);

} // namespace

struct Server::State
{
    State(ServerSettings settings, Ports ports, Metrics &metrics)
        : context(std::move(settings), std::move(ports), metrics)
        , parallelism(tbb::global_control::max_allowed_parallelism,
                      this->context.settings.trafficThreads + 1)
        , arena(static_cast<int>(this->context.settings.trafficThreads) + 1, 1)
    {}

    void runThread(TrafficThread &thread)
    {
        thread.run();
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->changed.notify_all();
    }

    ServerContext context;
    /// One more than the traffic threads, for the thread that starts them.
    tbb::global_control parallelism;
    tbb::task_arena arena;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t running = 0;
    bool isStopped = false;
    std::thread drainWatch;
};

Server::Server(ServerSettings settings, Ports ports, Metrics &metrics)
    : state(std::make_unique<State>(std::move(settings), std::move(ports), metrics))
{}

Server::~Server()
{
    this->stop();
}

Result<Endpoint> Server::start()
{
    State &own = *this->state;
    Endpoint endpoint = own.context.settings.listen;
    for (std::uint32_t i = 0; i < own.context.settings.trafficThreads; ++i) {
        own.threads.push_back(std::make_unique<TrafficThread>(own.context, i == 0));
        const Result<Endpoint> bound = own.threads.back()->listen(endpoint);
        if (!bound) {
            own.threads.clear();
            return bound.error();
        }
        endpoint = bound.value();
    }
    own.running = own.threads.size();
    for (const auto &thread : own.threads)
        own.arena.enqueue([&own, &thread = *thread] { own.runThread(thread); });
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
    return this->state->context.open.load();
}

void Server::whenDrained(std::function<void()> drained)
{
    State &own = *this->state;
    own.drainWatch = std::thread([&own, drained = std::move(drained)] {
        while (own.context.open.load() > 0 && !own.context.isStopping)
            std::this_thread::sleep_for(drainPollInterval);
        drained();
    });
}

void Server::stop()
{
    State &own = *this->state;
    if (std::exchange(own.isStopped, true))
        return;
    own.context.isDraining = true;
    own.context.isStopping = true;
    own.context.admission->refuseAll(Error(ErrorKind::Draining, "this instance is stopping"));
    for (const auto &thread : own.threads)
        thread->stop();
    std::unique_lock lock(own.mutex);
    own.changed.wait(lock, [&own] { return own.running == 0; });
    lock.unlock();
    if (own.drainWatch.joinable())
        own.drainWatch.join();
}

std::string metricsText(const Metrics &metrics)
{
    return metrics.print();
}

} // namespace bamboochute::caller
