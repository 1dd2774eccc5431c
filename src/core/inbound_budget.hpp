/// @file
/// @brief Owns the bounds of what peers make this process hold: bytes of requests and answers, and
/// connections of each listener.
#pragma once

#include "core/clock.hpp"
#include "core/memory_budget.hpp"
#include "core/metrics.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace bamboochute {

/// @brief What a process may use of its machine.
struct InboundLimits
{
    /// Memory of the process in bytes; zero for no bound.
    std::size_t memoryBytes = 0;
    /// File descriptors of the process; zero for no bound.
    std::size_t descriptors = 0;
    /// Part of the memory that requests and answers may take together.
    double requestShare = 0.4;
    /// Largest number of callers' connections, whatever the machine has.
    std::size_t maxCallerConnections = 2000;
    auto operator<=>(const InboundLimits &) const = default;
};

/// @brief Who connects to a listener.
enum class ListenerKind {
    Callers,
    /// Other instances.
    Instances,
    /// Probes of the platform, operators and readers of metrics.
    Status
};

/// @brief Size of the receive buffer that a listener's connections ask the kernel for if the memory
/// is bounded, in bytes: what arrives and can't be read yet is part of the machine's memory. The
/// kernel adds as much for its bookkeeping. A body of 4 MB takes 13 s with it at a round trip of
/// 100 ms.
/// @note It must not be made smaller while a connection is open: the kernel drops what the peer was
/// allowed to send before, and the connection stalls.
constexpr int receiveBufferBytes = 32 << 10;

/// @brief Bytes that the kernel takes of an answer before it can send them, if the memory is
/// bounded: what waits for a peer that does not read is part of the machine's memory as well, and
/// stays where the budget counts it. A peer that reads is not slowed down.
constexpr int unsentBytes = 32 << 10;

/// @brief Memory that is reckoned for a connection beside its request and answer, in bytes: the
/// receive buffer as the kernel counts it, and the objects of the connection.
constexpr std::size_t connectionBytes = 2 * receiveBufferBytes + (16 << 10);

/// @brief Time for which an answer waits for memory; upstreams cut off answers that nobody reads
/// for some seconds.
constexpr Duration answerRoomTimeout = std::chrono::seconds(1);
/// @brief Pause between two tries to get it.
constexpr Duration answerRoomPollInterval = std::chrono::milliseconds(20);

/// @brief The bounds of all listeners of a process; thread-safe.
class InboundBudget
{
public:
    /// @param limits of the process
    /// @param metrics counts what is given up or refused; must outlive the budget
    InboundBudget(const InboundLimits &limits, Metrics &metrics);

    /// @brief Whether the process has a bound on its memory.
    bool isMemoryBounded() const noexcept { return this->requestBudget.bounds().totalBytes > 0; }

    /// @brief Bounds what the kernel holds for each connection of a listener, if the memory is
    /// bounded; a failure is logged.
    /// @param listener socket that does not listen yet; its connections inherit the bounds
    void boundKernelBuffers(int listener) const;

    /// @brief Bytes of requests and answers, of all listeners together.
    MemoryBudget &requests() noexcept { return this->requestBudget; }

    /// @brief Connections of one kind of listener, each counted with connectionBytes.
    MemoryBudget &connections(ListenerKind kind) noexcept
    {
        return this->connectionBudgets[static_cast<std::size_t>(kind)];
    }

private:
    void recordShortage(std::string_view subject, MemoryUse use, std::size_t bytes,
                        const MemoryBudget &budget);

    Metrics &metrics;
    MemoryBudget requestBudget;
    /// By ListenerKind.
    std::array<MemoryBudget, 3> connectionBudgets;
    std::mutex logMutex;
    /// When a shortage was last logged; zero before.
    TimePoint loggedAt{};
};

/// @brief Makes the allocator return the memory of large blocks to the system when they are freed,
/// so that what is not held is not counted for the process either; to be called at its start.
void returnLargeBlocks();

/// @brief Largest number of connections of one kind of listener.
std::size_t connectionLimit(const InboundLimits &limits, ListenerKind kind);

/// @brief The place of one connection among those of its listener; used by one thread.
///
/// While all places are taken, a new connection takes that of one without a complete request, or
/// whose answer is not read: of the peer with most of them, the one that has made no progress for
/// longest.
class ConnectionPlace
{
public:
    class Offer;

    /// @param budget of the listener's connections
    /// @param peer address of the peer
    /// @param close closes the connection, or has its thread close it; called at most once and on
    /// any thread
    ConnectionPlace(MemoryBudget &budget, std::string peer, std::function<void()> close);

    /// @brief Takes the place.
    /// @return false if all are taken by requests in progress; the connection is to be closed
    bool take(TimePoint now);

    /// @brief Keeps the place until release(): a request has arrived in full.
    /// @return false if the place was given up before, so that the connection is being closed
    bool hold();

    /// @brief Whether others can't have the place.
    bool isHeld() const { return !this->holding.isEvictable(); }

    /// @brief Lets others have the place again after hold().
    void release(TimePoint now);

    /// @brief Notes that a part of a request has arrived.
    void noteProgress(TimePoint now);

    /// @brief Notes that the connection is closed whose place was given up; so does the end of the
    /// place.
    void confirmClosed() { this->holding.confirmFreed(); }

private:
    std::string peer;
    std::function<void()> close;
    MemoryBudget::Holding holding;
};

/// @brief Lets others have a place during its lifetime, while the peer does not read what is
/// written to it.
class ConnectionPlace::Offer
{
public:
    Offer(ConnectionPlace &place, TimePoint now)
        : place(place)
        , wasHeld(place.isHeld())
    {
        this->place.release(now);
    }
    ~Offer()
    {
        if (this->wasHeld)
            this->place.hold();
    }
    Offer(const Offer &) = delete;
    Offer &operator=(const Offer &) = delete;

private:
    ConnectionPlace &place;
    const bool wasHeld;
};

} // namespace bamboochute
