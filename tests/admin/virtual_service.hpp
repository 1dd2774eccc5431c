/// @file
/// @brief Simulated key-value service and timers in virtual time, with outages and lost answers.
#pragma once

#include "admin/configuration_store.hpp"
#include "core/random.hpp"
#include "platform/key_value_state.hpp"

#include <map>

namespace bamboochute::admin {

/// @brief Timers in virtual time: runs functions in the order of their due times.
class VirtualTime
{
public:
    void after(Duration delay, std::function<void()> function)
    {
        this->events.emplace(std::pair(this->time + delay, ++this->lastEvent), std::move(function));
    }

    /// @brief Runs the functions that are due up to a time and advances the clock to it.
    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            auto next = this->events.extract(this->events.begin());
            this->time = next.key().first;
            next.mapped()();
        }
        this->time = std::max(this->time, end);
    }

    void run()
    {
        while (!this->events.empty())
            this->runUntil(this->events.begin()->first.first);
    }

    TimePoint now() const { return this->time; }

private:
    TimePoint time{};
    std::uint64_t lastEvent = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events;
};

/// @brief Simulated fault of a call.
enum class Fault { None, NotReached, AnswerLost };

/// @brief Simulated KeyValueService that stores its entries in a KeyValueState.
class VirtualService
{
public:
    explicit VirtualService(VirtualTime &timers)
        : timers(timers)
    {}

    void submit(platform::Purpose, platform::Transaction transaction,
                std::function<void(Result<platform::TransactionResponse>)> done)
    {
        ++this->calls;
        const Fault fault = this->isDown ? Fault::NotReached : this->nextFault(transaction);
        this->timers.after(this->latency, [this, fault, transaction = std::move(transaction),
                                           done = std::move(done)]() {
            if (fault == Fault::NotReached) {
                done(Error(ErrorKind::KeyValueUnavailable, "down"));
                return;
            }
            auto answer = this->state.apply(transaction);
            if (fault == Fault::AnswerLost)
                done(Error(ErrorKind::KeyValueOutcomeUnknown, "answer lost"));
            else
                done(std::move(answer));
        });
    }

    void grantLease(platform::Purpose, std::chrono::seconds,
                    const std::function<void(Result<platform::LeaseId>)> &)
    {}

    platform::KeyValueState state;
    std::function<Fault(const platform::Transaction &)> nextFault
            = [](const platform::Transaction &) { return Fault::None; };
    bool isDown = false;
    Duration latency{2000};
    std::size_t calls = 0;

private:
    VirtualTime &timers;
};

/// @brief Whether a transaction writes the configuration root.
inline bool recordsRoot(const platform::Transaction &transaction)
{
    for (const platform::Operation &operation : transaction.success) {
        const auto *put = std::get_if<platform::Put>(&operation);
        if (put != nullptr && put->key == rootKey)
            return true;
    }
    return false;
}

} // namespace bamboochute::admin
