#include "claim_grouping.hpp"

#include "admission/claim_batcher.hpp"
#include "admission/claim_writers.hpp"
#include "core/random.hpp"
#include "platform/key_value_state.hpp"
#include "virtual_time.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace bamboochute::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration warmUpDuration = 5s;
constexpr Duration measuredDuration = 30s;
constexpr Duration serviceLatency = 3ms;
constexpr Duration operationDuration = 100ms;

/// Simulates claims with exponentially distributed gaps, each followed by the write of its outcome.
class GroupingSimulation
{
public:
    GroupingSimulation(std::uint64_t seed, std::uint32_t instances, double claimsPerSecond)
        : random(seed)
        , meanGap(1.0 / claimsPerSecond)
    {
        std::vector<InstanceId> members;
        for (std::uint32_t i = 0; i < instances; ++i)
            members.emplace_back("i-" + std::to_string(i));
        const std::size_t count
                = admission::claimWriterCount(instances, claimTransactionsPerSecond);
        this->writers = admission::chooseClaimWriters(members, count);
        for (const InstanceId &id : this->writers)
            this->batchers[id] = std::make_unique<Writer>(claimTransactionsPerSecond
                                                          / static_cast<double>(count));
    }

    ClaimGroupingResult run()
    {
        this->measurementStart = this->time.now() + warmUpDuration;
        this->measurementEnd = this->measurementStart + measuredDuration;
        this->scheduleNextClaim();
        this->time.runUntil(this->measurementEnd + 10s);
        std::sort(this->waits.begin(), this->waits.end());
        ClaimGroupingResult result;
        result.writers = this->writers.size();
        result.transactionsPerSecond
                = static_cast<double>(this->transactions) / toSeconds(measuredDuration);
        result.writesPerTransaction
                = static_cast<double>(this->writes) / static_cast<double>(this->transactions);
        result.p50 = this->waits[this->waits.size() / 2];
        result.p99 = this->waits[this->waits.size() * 99 / 100];
        return result;
    }

private:
    struct Writer
    {
        explicit Writer(double budget)
            : batcher(budget)
        {}

        admission::ClaimBatcher batcher;
        TimePoint nextPollAt{};
        /// For each unconfirmed write: the time at which it was added, and its key if it is a claim
        /// (empty for an outcome).
        std::map<admission::WriteNumber, std::pair<TimePoint, std::string>> pendingWrites;
    };

    void scheduleNextClaim()
    {
        const double gap = this->random.exponential(this->meanGap);
        this->time.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
                         [this] {
                             if (this->time.now() >= this->measurementEnd)
                                 return;
                             this->write("claims/" + std::to_string(this->claimCount++), "");
                             this->scheduleNextClaim();
                         });
    }

    void write(const std::string &key, const std::string &expectedValue)
    {
        Writer &writer = *this->batchers.at(admission::claimWriterFor(key, this->writers));
        platform::Compare condition = platform::CompareModRevision{key, {}};
        if (!expectedValue.empty())
            condition = platform::CompareValue{key, expectedValue};
        const bool isClaim = expectedValue.empty();
        const platform::Put put{key, isClaim ? "claimed" : "outcome", {}};
        const auto number = writer.batcher.add({condition, put}, !isClaim);
        writer.pendingWrites[number] = {this->time.now(), isClaim ? key : std::string()};
        this->poll(writer);
    }

    void poll(Writer &writer)
    {
        for (const admission::SubmitTransaction &submission : writer.batcher.poll(this->time.now()))
            this->submit(writer, submission);
        const auto next = writer.batcher.nextPoll(this->time.now());
        if (!next || (writer.nextPollAt > this->time.now() && writer.nextPollAt <= *next))
            return;
        writer.nextPollAt = std::max(*next, this->time.now() + 100us);
        this->time.at(writer.nextPollAt, [this, &writer] { this->poll(writer); });
    }

    void submit(Writer &writer, const admission::SubmitTransaction &submission)
    {
        const bool isMeasured = this->time.now() >= this->measurementStart
                                && this->time.now() < this->measurementEnd;
        this->transactions += isMeasured ? 1 : 0;
        this->writes += isMeasured ? submission.transaction.success.size() : 0;
        this->time.after(serviceLatency, [this, &writer, submission] {
            const auto answer = this->service.apply(submission.transaction);
            for (const auto &done : writer.batcher.handleAnswer(submission.number, answer)) {
                const auto [addedAt, key] = writer.pendingWrites.at(done.number);
                writer.pendingWrites.erase(done.number);
                if (key.empty())
                    continue;
                this->waits.push_back(this->time.now() - addedAt);
                this->time.after(operationDuration,
                                 [this, key = key] { this->write(key, "claimed"); });
            }
            this->poll(writer);
        });
    }

    Random random;
    double meanGap;
    VirtualTime time;
    TimePoint measurementStart{};
    TimePoint measurementEnd{};
    platform::KeyValueState service;
    std::vector<InstanceId> writers;
    std::map<InstanceId, std::unique_ptr<Writer>> batchers;
    std::vector<Duration> waits;
    std::uint64_t claimCount = 0;
    std::uint64_t transactions = 0;
    std::uint64_t writes = 0;
};

} // namespace

ClaimGroupingResult simulateClaimGrouping(std::uint64_t seed, std::uint32_t instances,
                                          double claimsPerSecond)
{
    return GroupingSimulation(seed, instances, claimsPerSecond).run();
}

} // namespace bamboochute::bench
