#include "admission/request_queue.hpp"
#include "core/random.hpp"

#include <set>

#include <doctest/doctest.h>

using namespace bamboochute;
using namespace bamboochute::admission;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t maxBytes = 20000;

/// Makes random calls on a queue and compares it with a list of the requests that it must hold.
class RandomQueueRun
{
public:
    explicit RandomQueueRun(std::uint64_t seed)
        : random(seed)
        , queue(this->classes(), QueueLimits{.maxBytes = maxBytes})
    {}

    void step()
    {
        this->now += Duration(static_cast<std::int64_t>(this->random.below(200000)));
        switch (this->random.below(8)) {
        case 0:
        case 1:
        case 2:
            this->offer();
            break;
        case 3:
        case 4:
            this->dispatch();
            break;
        case 5:
            this->expire();
            break;
        case 6:
            this->remove();
            break;
        default:
            this->delayTarget();
        }
        this->checkQueue();
    }

    std::size_t removedCount() const { return this->removed.size(); }

private:
    std::vector<CallerClass> classes()
    {
        std::vector<CallerClass> all;
        for (std::uint32_t i = 0; i < 3; ++i)
            all.push_back({CallerClassId(std::to_string(i)), 1 + i * 5, 0, 40, {}});
        return all;
    }

    Target anyTarget() { return {ModelId(std::to_string(this->random.below(4))), {}}; }

    void offer()
    {
        const WaitingRequest request{CallerClassId(std::to_string(this->random.below(3))),
                                     this->anyTarget(),
                                     this->now + Duration(this->random.below(20000000)),
                                     Duration(this->random.below(2000000)),
                                     this->random.below(1000),
                                     {}};
        const auto ticket = this->queue.offer(request, this->now);
        if (!ticket) {
            CHECK(ticket.error().row().runState == RunState::NotRun);
            CHECK(ticket.error().retryAfter() >= 1s);
            return;
        }
        CHECK(this->waiting.emplace(ticket.value(), request).second);
        CHECK(this->removed.count(ticket.value()) == 0);
    }

    void dispatch()
    {
        const Target fullTarget = this->anyTarget();
        const auto hasFreeSlot
                = [&](const Target &target, const CallerClassId &) { return target != fullTarget; };
        const auto next = this->queue.takeNext(this->now, hasFreeSlot);
        if (!next) {
            for (const auto &[ticket, request] : this->waiting)
                CHECK((request.target == fullTarget || request.latestStart() < this->now));
            return;
        }
        CHECK(next->request.target != fullTarget);
        CHECK(next->request.latestStart() >= this->now);
        this->recordRemoval(next->ticket);
    }

    void expire()
    {
        for (const ExpiredRequest &expired : this->queue.expire(this->now))
            this->recordRemoval(expired.request.ticket);
        for (const auto &[ticket, request] : this->waiting)
            CHECK(request.latestStart() > this->now);
    }

    void remove()
    {
        if (this->waiting.empty())
            return;
        const auto chosen
                = std::next(this->waiting.begin(),
                            static_cast<std::ptrdiff_t>(this->random.below(this->waiting.size())));
        const Ticket ticket = chosen->first;
        CHECK(this->queue.remove(ticket));
        this->recordRemoval(ticket);
        CHECK_FALSE(this->queue.remove(ticket));
    }

    void delayTarget()
    {
        const Target target = this->anyTarget();
        const TimePoint ready = this->now + Duration(this->random.below(10000000));
        for (const ExpiredRequest &expired :
             this->queue.expireUnreachable(target, ready, this->now)) {
            CHECK(expired.request.request.target == target);
            CHECK(expired.request.request.latestStart() < ready);
            this->recordRemoval(expired.request.ticket);
        }
    }

    void recordRemoval(Ticket ticket)
    {
        CHECK(this->waiting.erase(ticket) == 1);
        CHECK(this->removed.insert(ticket).second);
    }

    void checkQueue()
    {
        std::uint64_t bytes = 0;
        std::map<CallerClassId, std::uint32_t> counts;
        std::set<Target> targets;
        for (const auto &[ticket, request] : this->waiting) {
            bytes += request.bytes;
            ++counts[request.callerClass];
            targets.insert(request.target);
        }
        CHECK(this->queue.size() == this->waiting.size());
        CHECK(this->queue.bytes() == bytes);
        CHECK(bytes <= maxBytes);
        CHECK(this->queue.targets() == std::vector<Target>(targets.begin(), targets.end()));
        for (const auto &[id, count] : counts)
            CHECK(count <= 40);
    }

    Random random;
    RequestQueue queue;
    TimePoint now{1s};
    std::map<Ticket, WaitingRequest> waiting;
    std::set<Ticket> removed;
};

} // namespace

TEST_CASE("under random calls every request leaves the queue exactly once, in time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        RandomQueueRun run(seed);
        for (int i = 0; i < 2000; ++i)
            run.step();
        CHECK(run.removedCount() > 100);
    }
}
