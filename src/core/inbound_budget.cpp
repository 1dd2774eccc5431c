#include "core/inbound_budget.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <limits>
#include <utility>

#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <fmt/format.h>

namespace bamboochute {

namespace {

/// Time without a shortage after which the next one is logged again.
constexpr Duration shortageLogInterval = std::chrono::seconds(5);
/// Descriptors that listeners leave to files, logs and the process itself.
constexpr std::size_t reservedDescriptors = 200;

/// Size from which a block of memory is mapped by itself; the default of glibc.
constexpr int largeBlockBytes = 128 << 10;

/// Part of the machine that the connections of one kind of listener may take. Together with
/// InboundLimits::requestShare they leave more than a fifth of the memory to the process itself,
/// and a quarter of the descriptors to connections to upstreams.
struct ListenerPart
{
    ListenerKind kind;
    std::string_view name;
    double memoryShare;
    double descriptorShare;
    std::size_t maxConnections;
};

constexpr std::array<ListenerPart, 3> listenerParts{{
        {ListenerKind::Callers, "callers", 0.28, 0.4, std::numeric_limits<std::size_t>::max()},
        {ListenerKind::Instances, "instances", 0.08, 0.3, 1024},
        {ListenerKind::Status, "status", 0.02, 0.04, 64},
}};

const ListenerPart &partOf(ListenerKind kind)
{
    return listenerParts[static_cast<std::size_t>(kind)];
}

std::size_t shareOf(std::size_t amount, double share)
{
    return static_cast<std::size_t>(static_cast<double>(amount) * share);
}

MemoryLimits requestLimits(const InboundLimits &limits)
{
    MemoryLimits memory;
    memory.totalBytes = shareOf(limits.memoryBytes, std::min(limits.requestShare, 1.0));
    return memory;
}

/// Any connection may be given up that has no complete request.
MemoryLimits connectionLimits(const InboundLimits &limits, ListenerKind kind)
{
    MemoryLimits memory;
    memory.totalBytes = connectionLimit(limits, kind) * connectionBytes;
    memory.arrivingShare = 1;
    memory.smallBytes = 0;
    return memory;
}

} // namespace

void returnLargeBlocks()
{
    // A fixed threshold keeps glibc from raising it when a large block is freed.
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

std::size_t connectionLimit(const InboundLimits &limits, ListenerKind kind)
{
    const ListenerPart &part = partOf(kind);
    std::size_t most
            = kind == ListenerKind::Callers ? limits.maxCallerConnections : part.maxConnections;
    if (limits.memoryBytes > 0)
        most = std::min(most, shareOf(limits.memoryBytes, part.memoryShare) / connectionBytes);
    if (limits.descriptors > 0)
        most = std::min(most, shareOf(limits.descriptors
                                              - std::min(limits.descriptors, reservedDescriptors),
                                      part.descriptorShare));
    return std::max<std::size_t>(most, 1);
}

InboundBudget::InboundBudget(const InboundLimits &limits, Metrics &metrics)
    : metrics(metrics)
    , requestBudget(requestLimits(limits))
    , connectionBudgets{MemoryBudget(connectionLimits(limits, ListenerKind::Callers)),
                        MemoryBudget(connectionLimits(limits, ListenerKind::Instances)),
                        MemoryBudget(connectionLimits(limits, ListenerKind::Status))}
{
    this->requestBudget.onShortage = [this](MemoryUse use, std::size_t bytes) {
        this->recordShortage("requests", use, bytes, this->requestBudget);
    };
    for (const ListenerPart &part : listenerParts) {
        MemoryBudget &budget = this->connections(part.kind);
        budget.onShortage = [this, name = part.name, &budget](MemoryUse use, std::size_t bytes) {
            this->recordShortage(name, use, bytes, budget);
        };
    }
}

void InboundBudget::boundKernelBuffers(int listener) const
{
    if (!this->isMemoryBounded())
        return;
    const auto set = [listener](int level, int option, int value, std::string_view name) {
        if (::setsockopt(listener, level, option, &value, sizeof value) != 0)
            logEvent(LogLevel::Warning, "buffers of connections not bounded",
                     {{"option", std::string(name)}, {"error", std::strerror(errno)}});
    };
    set(SOL_SOCKET, SO_RCVBUF, receiveBufferBytes, "SO_RCVBUF");
    set(IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsentBytes, "TCP_NOTSENT_LOWAT");
}

/// Counts what was given up or refused; logs the first of a series.
void InboundBudget::recordShortage(std::string_view subject, MemoryUse use, std::size_t bytes,
                                   const MemoryBudget &budget)
{
    const bool isRequests = &budget == &this->requestBudget;
    const std::string_view useName = use == MemoryUse::Arriving   ? "arriving"
                                     : use == MemoryUse::Admitted ? "admitted"
                                                                  : "delivery";
    if (isRequests)
        this->metrics
                .counter("bamboochute_memory_shortages_total", fmt::format("use=\"{}\"", useName))
                .add();
    else
        this->metrics
                .counter("bamboochute_connections_given_up_total",
                         fmt::format("listener=\"{}\"", subject))
                .add();
    const TimePoint now = SteadyClock().now();
    const std::lock_guard lock(this->logMutex);
    if (this->loggedAt == TimePoint() || now >= this->loggedAt + shortageLogInterval)
        logEvent(LogLevel::Warning,
                 isRequests ? "memory budget exceeded" : "all connections of a listener in use",
                 {{"subject", std::string(subject)},
                  {"use", std::string(useName)},
                  {"bytes", std::to_string(bytes)},
                  {"used_bytes", std::to_string(budget.usedBytes())},
                  {"budget_bytes", std::to_string(budget.bounds().totalBytes)}});
    this->loggedAt = now;
}

ConnectionPlace::ConnectionPlace(MemoryBudget &budget, std::string peer,
                                 std::function<void()> close)
    : peer(std::move(peer))
    , close(std::move(close))
    , holding(budget, MemoryUse::Arriving)
{}

bool ConnectionPlace::take(TimePoint now)
{
    this->holding.allowEviction(this->peer, this->close);
    return this->holding.resize(connectionBytes, now);
}

bool ConnectionPlace::hold()
{
    this->holding.setUse(MemoryUse::Admitted);
    return !this->holding.isEvicted();
}

void ConnectionPlace::release(TimePoint now)
{
    this->holding.setUse(MemoryUse::Arriving);
    this->holding.allowEviction(this->peer, this->close);
    this->noteProgress(now);
}

void ConnectionPlace::noteProgress(TimePoint now)
{
    this->holding.resize(connectionBytes, now);
}

} // namespace bamboochute
