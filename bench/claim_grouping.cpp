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

constexpr Duration warmUp = 5s;
constexpr Duration runTime = 30s;
constexpr Duration serviceLatency = 3ms;
constexpr Duration operationTime = 100ms;

/// Claims that arrive at random, each followed by its outcome.
class Grouping
{
public:
    Grouping(std::uint64_t seed, std::uint32_t instances, double claimsPerSecond)
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

    GroupingResult run()
    {
        this->start = this->time.now() + warmUp;
        this->end = this->start + runTime;
        this->arrive();
        this->time.runUntil(this->end + 10s);
        std::sort(this->waits.begin(), this->waits.end());
        GroupingResult result;
        result.writers = this->writers.size();
        result.transactionsPerSecond = static_cast<double>(this->transactions) / toSeconds(runTime);
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
        TimePoint pollAt{};
        /// When each write was added, and the key if it is a claim.
        std::map<admission::WriteNumber, std::pair<TimePoint, std::string>> added;
    };

    void arrive()
    {
        const double gap = this->random.exponential(this->meanGap);
        this->time.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
                         [this] {
                             if (this->time.now() >= this->end)
                                 return;
                             this->write("claims/" + std::to_string(this->arrived++), "");
                             this->arrive();
                         });
    }

    void write(const std::string &key, const std::string &believed)
    {
        Writer &writer = *this->batchers.at(admission::claimWriterFor(key, this->writers));
        platform::Compare condition = platform::CompareModRevision{key, {}};
        if (!believed.empty())
            condition = platform::CompareValue{key, believed};
        const bool isClaim = believed.empty();
        const platform::Put put{key, isClaim ? "claimed" : "outcome", {}};
        const auto number = writer.batcher.add({condition, put}, !isClaim);
        writer.added[number] = {this->time.now(), isClaim ? key : std::string()};
        this->poll(writer);
    }

    void poll(Writer &writer)
    {
        for (const admission::SubmitTransaction &submission : writer.batcher.poll(this->time.now()))
            this->submit(writer, submission);
        const auto next = writer.batcher.nextPoll(this->time.now());
        if (!next || (writer.pollAt > this->time.now() && writer.pollAt <= *next))
            return;
        writer.pollAt = std::max(*next, this->time.now() + 100us);
        this->time.at(writer.pollAt, [this, &writer] { this->poll(writer); });
    }

    void submit(Writer &writer, const admission::SubmitTransaction &submission)
    {
        const bool isMeasured = this->time.now() >= this->start && this->time.now() < this->end;
        this->transactions += isMeasured ? 1 : 0;
        this->writes += isMeasured ? submission.transaction.success.size() : 0;
        this->time.after(serviceLatency, [this, &writer, submission] {
            const auto answer = this->service.apply(submission.transaction);
            for (const auto &done : writer.batcher.handleAnswer(submission.number, answer)) {
                const auto [since, key] = writer.added.at(done.number);
                writer.added.erase(done.number);
                if (key.empty())
                    continue;
                this->waits.push_back(this->time.now() - since);
                this->time.after(operationTime, [this, key = key] { this->write(key, "claimed"); });
            }
            this->poll(writer);
        });
    }

    Random random;
    double meanGap;
    VirtualTime time;
    TimePoint start{};
    TimePoint end{};
    platform::KeyValueState service;
    std::vector<InstanceId> writers;
    std::map<InstanceId, std::unique_ptr<Writer>> batchers;
    std::vector<Duration> waits;
    std::uint64_t arrived = 0;
    std::uint64_t transactions = 0;
    std::uint64_t writes = 0;
};

} // namespace

GroupingResult runGrouping(std::uint64_t seed, std::uint32_t instances, double claimsPerSecond)
{
    return Grouping(seed, instances, claimsPerSecond).run();
}

} // namespace bamboochute::bench
