/// @file
/// @brief Randomised run of operations with keys through several instances that fail.
#pragma once

#include "admission/claim_relay.hpp"
#include "admission/operation_claims.hpp"
#include "claims_checks.hpp"
#include "core/overloaded.hpp"
#include "core/random.hpp"
#include "platform/key_value_state.hpp"
#include "virtual_time.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace bamboochute::bench {

/// @brief How large a run is, and how often what fails.
struct ClaimsRunSettings
{
    std::uint64_t seed = 1;
    std::uint64_t operations = 1000;
    std::uint32_t instances = 6;
    double operationsPerSecond = 50.0;
    double transactionsPerSecond = 25.0;
    /// Instances that write the claims of all; zero when each writes its own.
    std::uint32_t writers = 0;
    std::chrono::seconds retention{7200};
    /// Chances for one transaction.
    double lostAnswer = 0.02;
    double lateEffect = 0.02;
    /// Chances for one call of an upstream.
    double upstreamAnswerLost = 0.02;
    double upstreamRefuses = 0.02;
    /// Mean time between two failures of their kind.
    Duration betweenKills = std::chrono::seconds(5);
    Duration betweenPauses = std::chrono::seconds(2);
    Duration betweenOutages = std::chrono::seconds(60);
};

/// @brief Drives `Claims` (OperationClaims, or a variant of it) on several instances.
template<typename Claims>
class ClaimsRun
{
public:
    explicit ClaimsRun(const ClaimsRunSettings &settings)
        : settings(settings)
        , random(settings.seed)
        , checks(settings.operations)
    {
        for (std::uint32_t i = 0; i < settings.instances; ++i) {
            this->nodes.push_back(std::make_unique<Node>());
            this->nodes.back()->index = i;
            this->boot(*this->nodes.back());
        }
    }

    ClaimsRunResult run()
    {
        const double seconds = static_cast<double>(this->settings.operations)
                               / this->settings.operationsPerSecond;
        this->faultsEnd = this->time.now() + duration(seconds);
        for (std::uint64_t i = 0; i < this->settings.operations; ++i)
            this->time.after(duration(this->random.unit() * seconds),
                             [=, this] { this->begin(i); });
        this->expireLeases();
        this->failLater(this->settings.betweenKills, [this] { this->kill(); });
        this->failLater(this->settings.betweenPauses, [this] { this->pause(); });
        this->failLater(this->settings.betweenOutages, [this] { this->outage(); });
        this->time.runUntil(this->faultsEnd + std::chrono::minutes(3));
        this->isQuiet = true;
        this->checks.startQuiet();
        for (std::uint64_t i = 0; i < this->settings.operations; ++i) {
            this->time.after(duration(this->random.unit() * seconds),
                             [=, this] { this->attempt(i); });
        }
        this->time.runUntil(this->time.now() + duration(seconds) + std::chrono::minutes(2));
        return this->finish();
    }

private:
    static constexpr Duration callTimeout = std::chrono::seconds(1);

    struct Node
    {
        std::uint32_t index = 0;
        std::uint64_t incarnation = 0;
        bool isUp = false;
        TimePoint pausedUntil{};
        TimePoint tickAt{};
        Metrics metrics;
        std::unique_ptr<Claims> claims;
        std::uint64_t lastTicket = 0;
        /// Attempts that were neither answered nor settled.
        std::map<admission::Ticket, std::uint64_t> open;
        /// For an instance that writes the claims of others.
        std::unique_ptr<admission::ClaimRelay> relay;
        std::map<admission::RelayedTransactionNumber,
                 std::function<void(Duration, Result<platform::TransactionResponse>)>>
                relayed;
        TimePoint relayPollAt{};
        /// Operations that were tried here since the start of the process.
        std::set<std::uint64_t> touched;
    };

    static Duration duration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Duration upTo(Duration most)
    {
        return Duration(static_cast<std::int64_t>(this->random.below(most.count())));
    }

    bool isFaulty(double chance) { return !this->isQuiet && this->random.chance(chance); }

    static std::string name(std::uint32_t index) { return "i-" + std::to_string(index); }

    void boot(Node &node)
    {
        ++node.incarnation;
        node.isUp = true;
        node.tickAt = TimePoint();
        node.relayPollAt = TimePoint();
        node.relay = std::make_unique<admission::ClaimRelay>(this->settings.transactionsPerSecond);
        const admission::Claimant self{
                InstanceId(name(node.index)), Incarnation(node.incarnation), {}};
        const auto isGone = [this](const InstanceId &instance, Incarnation incarnation) {
            return incarnation.value() < this->knownIncarnation[instance];
        };
        node.claims = std::make_unique<Claims>(self, isGone, node.metrics,
                                               this->settings.transactionsPerSecond);
        this->time.after(std::chrono::seconds(1), [this, self] {
            this->knownIncarnation[self.instance] = self.incarnation.value();
        });
    }

    /// Runs an event at an instance, later while it is paused, never at its successor.
    void deliver(Node &node, std::uint64_t incarnation, std::function<void()> event)
    {
        if (!node.isUp || node.incarnation != incarnation)
            return;
        if (node.pausedUntil > this->time.now()) {
            this->time.at(node.pausedUntil, [this, &node, incarnation, event = std::move(event)] {
                this->deliver(node, incarnation, event);
            });
            return;
        }
        event();
        this->scheduleTick(node);
    }

    void deliverAfter(Duration delay, Node &node, std::function<void()> event)
    {
        this->time.after(delay,
                         [this, &node, incarnation = node.incarnation, event = std::move(event)] {
                             this->deliver(node, incarnation, event);
                         });
    }

    void scheduleTick(Node &node)
    {
        const auto next = node.claims->nextTick(this->time.now());
        if (!next || (node.tickAt > this->time.now() && node.tickAt <= *next))
            return;
        node.tickAt = std::max(*next, this->time.now() + std::chrono::milliseconds(1));
        this->deliverAfter(node.tickAt - this->time.now(), node,
                           [=, this, &node] { this->act(node, node.claims->tick(this->now())); });
    }

    TimePoint now() const { return this->time.now(); }

    static std::string keyOf(std::uint64_t operation)
    {
        return admission::claimKey("scope", OperationKey("operation-" + std::to_string(operation)));
    }

    // Failures.

    void failLater(Duration mean, std::function<void()> fail)
    {
        const Duration delay = duration(this->random.exponential(toSeconds(mean)));
        if (this->now() + delay > this->faultsEnd)
            return;
        this->time.after(delay, [=, this] {
            fail();
            this->failLater(mean, fail);
        });
    }

    void kill()
    {
        Node &node = *this->nodes[this->random.below(this->nodes.size())];
        if (!node.isUp)
            return;
        ++this->checks.counts().kills;
        this->checks.counts().transactions += node.claims->sentTransactions();
        for (const std::uint64_t operation : node.touched)
            this->checks.operation(operation).isFaulted |= !this->isFinal(operation);
        node.isUp = false;
        node.open.clear();
        node.touched.clear();
        node.claims.reset();
        node.relay.reset();
        node.relayed.clear();
        this->time.after(std::chrono::seconds(2) + this->upTo(std::chrono::seconds(8)),
                         [this, &node] { this->boot(node); });
    }

    /// Whether the service holds the final state of an operation.
    bool isFinal(std::uint64_t operation) const
    {
        const auto found = this->service.entries().find(keyOf(operation));
        if (found == this->service.entries().end())
            return false;
        const auto record = admission::decodeOperationRecord(found->second.value);
        return !std::holds_alternative<admission::Claimed>(record.value().state)
               && !std::holds_alternative<admission::Released>(record.value().state);
    }

    void expireLeases()
    {
        this->service.expire(this->now());
        this->time.after(std::chrono::seconds(10), [this] { this->expireLeases(); });
    }

    void pause()
    {
        ++this->checks.counts().pauses;
        Node &node = *this->nodes[this->random.below(this->nodes.size())];
        const Duration longest
                = this->random.chance(0.1) ? std::chrono::seconds(40) : std::chrono::seconds(3);
        node.pausedUntil = this->now() + this->upTo(longest);
    }

    void outage()
    {
        ++this->checks.counts().outages;
        this->outageEnd = this->now() + this->upTo(std::chrono::seconds(12));
    }

    ClaimsRunResult finish()
    {
        for (const auto &node : this->nodes)
            this->checks.counts().transactions += node->claims->sentTransactions();
        return this->checks.finish();
    }

    // Callers.

    void begin(std::uint64_t operation)
    {
        this->attempt(operation);
        if (this->random.chance(0.2)) // the balancer sends it a second time
            this->time.after(this->upTo(std::chrono::milliseconds(50)),
                             [=, this] { this->attempt(operation); });
    }

    void attempt(std::uint64_t operation)
    {
        Node &node = *this->nodes[this->random.below(this->nodes.size())];
        const bool isUsable = node.isUp && node.pausedUntil <= this->now();
        ++this->checks.operation(operation).attempts;
        if (!isUsable) {
            this->repeat(operation);
            return;
        }
        const bool isOtherBody = this->isFaulty(0.01);
        const std::uint64_t attempt = this->checks.begin(operation, isOtherBody);
        const admission::Ticket ticket(++node.lastTicket);
        node.open[ticket] = attempt;
        node.touched.insert(operation);
        const admission::ClaimRequest request{
                keyOf(operation),
                admission::requestFingerprint("POST", "/lathe-slots", isOtherBody ? "b" : "a"),
                this->now() + std::chrono::seconds(10), this->settings.retention};
        this->deliver(node, node.incarnation,
                      [&] { this->act(node, node.claims->claim(ticket, request, this->now())); });
    }

    void repeat(std::uint64_t operation)
    {
        constexpr std::uint32_t maxAttempts = 12;
        const bool isOver = !this->isQuiet && this->now() > this->faultsEnd;
        if (isOver || this->checks.operation(operation).attempts >= maxAttempts)
            return;
        const Duration delay
                = this->random.chance(0.1) ? std::chrono::seconds(60) : std::chrono::seconds(3);
        this->time.after(this->upTo(delay), [=, this] { this->attempt(operation); });
    }

    // Instances.

    void act(Node &node, const admission::ClaimActions &actions)
    {
        for (const admission::ClaimAction &action : actions)
            std::visit([&](const auto &each) { this->on(node, each); }, action);
    }

    using Response = platform::TransactionResponse;
    using AnswerFunction = std::function<void(Duration, Result<Response>)>;

    void on(Node &node, const admission::SubmitTransaction &submission)
    {
        const AnswerFunction answer = [this, &node, tag = submission.number,
                                       incarnation = node.incarnation](Duration delay,
                                                                       Result<Response> response) {
            this->time.after(delay, [=, this, &node] {
                this->deliver(node, incarnation, [=, this, &node] {
                    this->act(node, node.claims->handleAnswer(tag, response, this->now()));
                });
            });
        };
        if (this->settings.writers == 0)
            this->submit(submission.transaction, answer);
        else
            this->sendToWriter(node, submission.transaction, answer);
    }

    /// Hands a transaction to the key-value service.
    void submit(const platform::Transaction &transaction, const AnswerFunction &answer)
    {
        const Duration latency
                = std::chrono::milliseconds(1) + this->upTo(std::chrono::milliseconds(9));
        const bool isOut = this->now() < this->outageEnd;
        if (isOut && this->random.chance(0.5)) {
            answer(latency, Error(ErrorKind::KeyValueUnavailable));
            return;
        }
        if (isOut || this->isFaulty(this->settings.lateEffect)) {
            answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown));
            if (this->random.chance(0.7))
                this->time.after(this->upTo(std::chrono::seconds(8)),
                                 [this, transaction] { (void)this->service.apply(transaction); });
            return;
        }
        const bool isLost = this->isFaulty(this->settings.lostAnswer);
        this->checks.counts().lostAnswers += isLost ? 1 : 0;
        this->time.after(latency / 2, [this, transaction, answer, latency, isLost] {
            const auto response = this->service.apply(transaction);
            if (isLost)
                answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown));
            else
                answer(latency / 2, response);
        });
    }

    /// Hands a transaction to the instance that writes for this one; it may be down or paused.
    void sendToWriter(Node &node, const platform::Transaction &transaction,
                      const AnswerFunction &answer)
    {
        Node &writer = *this->nodes[node.index % this->settings.writers];
        answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown)); // ignored after another
        this->deliverAfter(std::chrono::milliseconds(1), writer, [=, this, &writer] {
            const auto number = writer.relay->offer(transaction);
            if (!number)
                answer(std::chrono::milliseconds(1), number.error());
            else
                writer.relayed[number.value()] = answer;
            this->pollRelay(writer);
        });
    }

    void pollRelay(Node &writer)
    {
        for (const admission::SubmitTransaction &submission : writer.relay->poll(this->now())) {
            const AnswerFunction answer = [this, &writer, tag = submission.number,
                                           incarnation = writer.incarnation](
                                                  Duration delay, Result<Response> response) {
                this->time.after(delay, [=, this, &writer] {
                    this->deliver(writer, incarnation,
                                  [=, this, &writer] { this->relayed(writer, tag, response); });
                });
            };
            this->submit(submission.transaction, answer);
        }
        const auto next = writer.relay->nextPoll(this->now());
        if (!next || writer.relayPollAt > this->now())
            return;
        writer.relayPollAt = std::max(*next, this->now() + std::chrono::milliseconds(1));
        this->deliverAfter(writer.relayPollAt - this->now(), writer,
                           [this, &writer] { this->pollRelay(writer); });
    }

    void relayed(Node &writer, admission::TransactionNumber tag, const Result<Response> &response)
    {
        for (const admission::RelayedAnswer &each : writer.relay->handleAnswer(tag, response)) {
            writer.relayed.at(each.number)(std::chrono::milliseconds(1), each.answer);
            writer.relayed.erase(each.number);
        }
        this->pollRelay(writer);
    }

    void on(Node &node, const admission::RequestLease &request)
    {
        const bool isOut = this->now() < this->outageEnd;
        Result<platform::LeaseId> lease = Error(ErrorKind::KeyValueUnavailable);
        if (!isOut)
            lease = this->service.grant(this->now(), request.timeToLive);
        this->deliverAfter(std::chrono::milliseconds(2), node, [this, &node, request, lease] {
            this->act(node, node.claims->handleLeaseAnswer(request.timeToLive, lease, this->now()));
        });
    }

    void on(Node &node, const admission::DeliverDecision &decide)
    {
        const std::uint64_t attempt = node.open.at(decide.ticket);
        std::visit(Overloaded{
                           [&](const admission::Dispatch &) {
                               const Duration handOver = this->upTo(std::chrono::milliseconds(2));
                               this->deliverAfter(handOver, node, [=, this, &node] {
                                   this->dispatch(node, decide.ticket, attempt);
                               });
                           },
                           [&](const admission::Replay &replay) {
                               node.open.erase(decide.ticket);
                               this->checks.replayed(attempt, replay.outcome);
                           },
                           [&](const Error &error) {
                               node.open.erase(decide.ticket);
                               this->refused(attempt, error);
                           },
                   },
                   decide.decision);
    }

    void dispatch(Node &node, admission::Ticket ticket, std::uint64_t attempt)
    {
        const bool isRefused = this->isFaulty(this->settings.upstreamRefuses);
        if (isRefused || !node.claims->mayDispatch(ticket, this->now())) {
            node.open.erase(ticket);
            this->act(node, node.claims->settle(ticket, admission::Released{}, this->now()));
            this->refused(attempt, Error(ErrorKind::UpstreamUnavailable));
            return;
        }
        const bool isLost = this->isFaulty(this->settings.upstreamAnswerLost);
        const bool doesRun = !isLost || this->random.chance(0.5);
        const Duration latency
                = std::chrono::milliseconds(5) + this->upTo(std::chrono::milliseconds(200));
        const admission::OperationOutcome outcome{
                201, {{"Content-Type", "text/plain"}}, "attempt " + std::to_string(attempt)};
        this->time.after(latency / 2, [=, this] {
            if (doesRun)
                this->checks.ran(attempt, outcome);
        });
        if (isLost)
            this->checks.operationOf(attempt).isFaulted = true;
        const Duration wait = isLost ? Duration(std::chrono::seconds(2)) : latency;
        this->deliverAfter(wait, node, [=, this, &node] {
            admission::Settlement settlement = admission::OutcomeUnknown{};
            if (!isLost)
                settlement = outcome;
            this->act(node, node.claims->settle(ticket, settlement, this->now()));
            node.open.erase(ticket);
            if (!isLost)
                this->checks.answered(attempt);
            else
                this->refused(attempt, Error(ErrorKind::UpstreamTimedOut));
        });
    }

    /// Tells a caller of an error; it may send the operation again.
    void refused(std::uint64_t attempt, const Error &error)
    {
        if (this->checks.refused(attempt, error))
            this->repeat(this->checks.operationNumber(attempt));
    }

    ClaimsRunSettings settings;
    Random random;
    ClaimsChecks checks;
    VirtualTime time;
    platform::KeyValueState service;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<InstanceId, std::uint64_t> knownIncarnation;
    TimePoint faultsEnd{};
    TimePoint outageEnd{};
    bool isQuiet = false;
};

} // namespace bamboochute::bench
