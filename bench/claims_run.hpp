/// @file
/// @brief Randomised run of operations with operation keys on several instances under failures.
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

/// @brief Size of a run and rates of its failures.
struct ClaimsRunSettings
{
    std::uint64_t seed = 1;
    std::uint64_t operations = 1000;
    std::uint32_t instances = 6;
    double operationsPerSecond = 50.0;
    double transactionsPerSecond = 25.0;
    /// Number of instances that write the claims of all instances; zero: each writes its own.
    std::uint32_t writers = 0;
    std::chrono::seconds retention{7200};
    /// Probabilities per transaction: its answer is lost; it times out and may take effect later.
    double lostAnswerChance = 0.02;
    double lateEffectChance = 0.02;
    /// Probabilities per call of an upstream.
    double lostUpstreamAnswerChance = 0.02;
    double upstreamRefusalChance = 0.02;
    /// Mean times between two failures of the same kind.
    Duration meanTimeBetweenKills = std::chrono::seconds(5);
    Duration meanTimeBetweenPauses = std::chrono::seconds(2);
    Duration meanTimeBetweenOutages = std::chrono::seconds(60);
};

/// @brief Simulates instances that run `Claims`, their callers, upstreams and key-value service.
/// @tparam Claims OperationClaims, or a variant of it
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
            this->instances.push_back(std::make_unique<Instance>());
            this->instances.back()->index = i;
            this->startInstance(*this->instances.back());
        }
    }

    ClaimsRunResult run()
    {
        const double seconds = static_cast<double>(this->settings.operations)
                               / this->settings.operationsPerSecond;
        this->faultsEnd = this->time.now() + toDuration(seconds);
        for (std::uint64_t i = 0; i < this->settings.operations; ++i)
            this->time.after(toDuration(this->random.unit() * seconds),
                             [=, this] { this->startOperation(i); });
        this->expireLeases();
        this->scheduleFailures(this->settings.meanTimeBetweenKills,
                               [this] { this->killInstance(); });
        this->scheduleFailures(this->settings.meanTimeBetweenPauses,
                               [this] { this->pauseInstance(); });
        this->scheduleFailures(this->settings.meanTimeBetweenOutages,
                               [this] { this->startOutage(); });
        this->time.runUntil(this->faultsEnd + std::chrono::minutes(3));
        this->areFaultsOver = true;
        this->checks.endFaults();
        for (std::uint64_t i = 0; i < this->settings.operations; ++i) {
            this->time.after(toDuration(this->random.unit() * seconds),
                             [=, this] { this->startAttempt(i); });
        }
        this->time.runUntil(this->time.now() + toDuration(seconds) + std::chrono::minutes(2));
        return this->finish();
    }

private:
    static constexpr Duration callTimeout = std::chrono::seconds(1);

    struct Instance
    {
        std::uint32_t index = 0;
        std::uint64_t incarnation = 0;
        bool isUp = false;
        TimePoint pausedUntil{};
        TimePoint nextTickAt{};
        Metrics metrics;
        std::unique_ptr<Claims> claims;
        std::uint64_t lastTicket = 0;
        /// Attempts that wait for a decision or for their upstream, by ticket.
        std::map<admission::Ticket, std::uint64_t> openAttempts;
        /// Used when this instance writes the claims of others.
        std::unique_ptr<admission::ClaimRelay> relay;
        std::map<admission::RelayedTransactionNumber,
                 std::function<void(Duration, Result<platform::TransactionResponse>)>>
                pendingRelayAnswers;
        TimePoint nextRelayPollAt{};
        /// Operations attempted here since the process started.
        std::set<std::uint64_t> attemptedOperations;
    };

    static Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    Duration randomDuration(Duration limit)
    {
        return Duration(static_cast<std::int64_t>(this->random.below(limit.count())));
    }

    bool drawFault(double chance) { return !this->areFaultsOver && this->random.chance(chance); }

    static std::string instanceName(std::uint32_t index) { return "i-" + std::to_string(index); }

    void startInstance(Instance &instance)
    {
        ++instance.incarnation;
        instance.isUp = true;
        instance.nextTickAt = TimePoint();
        instance.nextRelayPollAt = TimePoint();
        instance.relay
                = std::make_unique<admission::ClaimRelay>(this->settings.transactionsPerSecond);
        const admission::Claimant self{
                InstanceId(instanceName(instance.index)), Incarnation(instance.incarnation), {}};
        const auto isGone = [this](const InstanceId &id, Incarnation incarnation) {
            return incarnation.value() < this->knownIncarnation[id];
        };
        instance.claims = std::make_unique<Claims>(self, isGone, instance.metrics,
                                                   this->settings.transactionsPerSecond);
        this->time.after(std::chrono::seconds(1), [this, self] {
            this->knownIncarnation[self.instance] = self.incarnation.value();
        });
    }

    /// Runs an event at an instance: at the end of the pause if it is paused, and not at all if the
    /// incarnation has ended.
    void deliver(Instance &instance, std::uint64_t incarnation, std::function<void()> event)
    {
        if (!instance.isUp || instance.incarnation != incarnation)
            return;
        if (instance.pausedUntil > this->time.now()) {
            this->time.at(instance.pausedUntil,
                          [this, &instance, incarnation, event = std::move(event)] {
                              this->deliver(instance, incarnation, event);
                          });
            return;
        }
        event();
        this->scheduleTick(instance);
    }

    void deliverAfter(Duration delay, Instance &instance, std::function<void()> event)
    {
        this->time.after(
                delay, [this, &instance, incarnation = instance.incarnation,
                        event = std::move(event)] { this->deliver(instance, incarnation, event); });
    }

    void scheduleTick(Instance &instance)
    {
        const auto next = instance.claims->nextTick(this->time.now());
        if (!next || (instance.nextTickAt > this->time.now() && instance.nextTickAt <= *next))
            return;
        instance.nextTickAt = std::max(*next, this->time.now() + std::chrono::milliseconds(1));
        this->deliverAfter(instance.nextTickAt - this->time.now(), instance, [=, this, &instance] {
            this->performActions(instance, instance.claims->tick(this->now()));
        });
    }

    TimePoint now() const { return this->time.now(); }

    static std::string claimKeyOf(std::uint64_t operation)
    {
        return admission::claimKey("scope", OperationKey("operation-" + std::to_string(operation)));
    }

    // Failure injection.

    void scheduleFailures(Duration mean, std::function<void()> injectFailure)
    {
        const Duration delay = toDuration(this->random.exponential(toSeconds(mean)));
        if (this->now() + delay > this->faultsEnd)
            return;
        this->time.after(delay, [=, this] {
            injectFailure();
            this->scheduleFailures(mean, injectFailure);
        });
    }

    void killInstance()
    {
        Instance &instance = *this->instances[this->random.below(this->instances.size())];
        if (!instance.isUp)
            return;
        ++this->checks.counts().kills;
        this->checks.counts().transactions += instance.claims->sentTransactions();
        for (const std::uint64_t operation : instance.attemptedOperations)
            this->checks.operation(operation).hasHiddenOutcome |= !this->hasFinalRecord(operation);
        instance.isUp = false;
        instance.openAttempts.clear();
        instance.attemptedOperations.clear();
        instance.claims.reset();
        instance.relay.reset();
        instance.pendingRelayAnswers.clear();
        this->time.after(std::chrono::seconds(2) + this->randomDuration(std::chrono::seconds(8)),
                         [this, &instance] { this->startInstance(instance); });
    }

    /// Whether the key-value service holds a final record of an operation.
    bool hasFinalRecord(std::uint64_t operation) const
    {
        const auto found = this->service.entries().find(claimKeyOf(operation));
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

    void pauseInstance()
    {
        ++this->checks.counts().pauses;
        Instance &instance = *this->instances[this->random.below(this->instances.size())];
        const Duration longest
                = this->random.chance(0.1) ? std::chrono::seconds(40) : std::chrono::seconds(3);
        instance.pausedUntil = this->now() + this->randomDuration(longest);
    }

    void startOutage()
    {
        ++this->checks.counts().outages;
        this->outageEnd = this->now() + this->randomDuration(std::chrono::seconds(12));
    }

    ClaimsRunResult finish()
    {
        for (const auto &instance : this->instances)
            this->checks.counts().transactions += instance->claims->sentTransactions();
        return this->checks.finish();
    }

    // Callers.

    void startOperation(std::uint64_t operation)
    {
        this->startAttempt(operation);
        if (this->random.chance(0.2)) // a load balancer sends a duplicate
            this->time.after(this->randomDuration(std::chrono::milliseconds(50)),
                             [=, this] { this->startAttempt(operation); });
    }

    void startAttempt(std::uint64_t operation)
    {
        Instance &instance = *this->instances[this->random.below(this->instances.size())];
        const bool isReachable = instance.isUp && instance.pausedUntil <= this->now();
        ++this->checks.operation(operation).attempts;
        if (!isReachable) {
            this->scheduleRetry(operation);
            return;
        }
        const bool hasDifferentBody = this->drawFault(0.01);
        const std::uint64_t attempt = this->checks.beginAttempt(operation, hasDifferentBody);
        const admission::Ticket ticket(++instance.lastTicket);
        instance.openAttempts[ticket] = attempt;
        instance.attemptedOperations.insert(operation);
        const admission::ClaimRequest request{
                claimKeyOf(operation),
                admission::requestFingerprint("POST", "/lathe-slots", hasDifferentBody ? "b" : "a"),
                this->now() + std::chrono::seconds(10), this->settings.retention};
        this->deliver(instance, instance.incarnation, [&] {
            this->performActions(instance, instance.claims->claim(ticket, request, this->now()));
        });
    }

    void scheduleRetry(std::uint64_t operation)
    {
        constexpr std::uint32_t maxAttempts = 12;
        const bool isOver = !this->areFaultsOver && this->now() > this->faultsEnd;
        if (isOver || this->checks.operation(operation).attempts >= maxAttempts)
            return;
        const Duration delay
                = this->random.chance(0.1) ? std::chrono::seconds(60) : std::chrono::seconds(3);
        this->time.after(this->randomDuration(delay), [=, this] { this->startAttempt(operation); });
    }

    // Instances.

    void performActions(Instance &instance, const admission::ClaimActions &actions)
    {
        for (const admission::ClaimAction &action : actions)
            std::visit([&](const auto &each) { this->perform(instance, each); }, action);
    }

    using Response = platform::TransactionResponse;
    using AnswerFunction = std::function<void(Duration, Result<Response>)>;

    void perform(Instance &instance, const admission::SubmitTransaction &submission)
    {
        const AnswerFunction answer
                = [this, &instance, transactionNumber = submission.number,
                   incarnation = instance.incarnation](Duration delay, Result<Response> response) {
                      this->time.after(delay, [=, this, &instance] {
                          this->deliver(instance, incarnation, [=, this, &instance] {
                              this->performActions(
                                      instance, instance.claims->handleAnswer(
                                                        transactionNumber, response, this->now()));
                          });
                      });
                  };
        if (this->settings.writers == 0)
            this->submit(submission.transaction, answer);
        else
            this->sendToWriter(instance, submission.transaction, answer);
    }

    /// Submits a transaction to the key-value service.
    void submit(const platform::Transaction &transaction, const AnswerFunction &answer)
    {
        const Duration latency
                = std::chrono::milliseconds(1) + this->randomDuration(std::chrono::milliseconds(9));
        const bool isUnavailable = this->now() < this->outageEnd;
        if (isUnavailable && this->random.chance(0.5)) {
            answer(latency, Error(ErrorKind::KeyValueUnavailable));
            return;
        }
        if (isUnavailable || this->drawFault(this->settings.lateEffectChance)) {
            answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown));
            if (this->random.chance(0.7))
                this->time.after(this->randomDuration(std::chrono::seconds(8)),
                                 [this, transaction] { (void)this->service.apply(transaction); });
            return;
        }
        const bool isLost = this->drawFault(this->settings.lostAnswerChance);
        this->checks.counts().lostAnswers += isLost ? 1 : 0;
        this->time.after(latency / 2, [this, transaction, answer, latency, isLost] {
            const auto response = this->service.apply(transaction);
            if (isLost)
                answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown));
            else
                answer(latency / 2, response);
        });
    }

    /// Sends a transaction to the instance that writes for this one; that may be down or paused.
    void sendToWriter(Instance &instance, const platform::Transaction &transaction,
                      const AnswerFunction &answer)
    {
        Instance &writer = *this->instances[instance.index % this->settings.writers];
        answer(callTimeout, Error(ErrorKind::KeyValueOutcomeUnknown)); // timeout; ignored if an
                                                                       // answer came before
        this->deliverAfter(std::chrono::milliseconds(1), writer, [=, this, &writer] {
            const auto number = writer.relay->offer(transaction);
            if (!number)
                answer(std::chrono::milliseconds(1), number.error());
            else
                writer.pendingRelayAnswers[number.value()] = answer;
            this->pollRelay(writer);
        });
    }

    void pollRelay(Instance &writer)
    {
        for (const admission::SubmitTransaction &submission : writer.relay->poll(this->now())) {
            const AnswerFunction answer =
                    [this, &writer, transactionNumber = submission.number,
                     incarnation = writer.incarnation](Duration delay, Result<Response> response) {
                        this->time.after(delay, [=, this, &writer] {
                            this->deliver(writer, incarnation, [=, this, &writer] {
                                this->handleRelayAnswer(writer, transactionNumber, response);
                            });
                        });
                    };
            this->submit(submission.transaction, answer);
        }
        const auto next = writer.relay->nextPoll(this->now());
        if (!next || writer.nextRelayPollAt > this->now())
            return;
        writer.nextRelayPollAt = std::max(*next, this->now() + std::chrono::milliseconds(1));
        this->deliverAfter(writer.nextRelayPollAt - this->now(), writer,
                           [this, &writer] { this->pollRelay(writer); });
    }

    void handleRelayAnswer(Instance &writer, admission::TransactionNumber transactionNumber,
                           const Result<Response> &response)
    {
        for (const admission::RelayedAnswer &each :
             writer.relay->handleAnswer(transactionNumber, response)) {
            writer.pendingRelayAnswers.at(each.number)(std::chrono::milliseconds(1), each.answer);
            writer.pendingRelayAnswers.erase(each.number);
        }
        this->pollRelay(writer);
    }

    void perform(Instance &instance, const admission::RequestLease &request)
    {
        const bool isUnavailable = this->now() < this->outageEnd;
        Result<platform::LeaseId> lease = Error(ErrorKind::KeyValueUnavailable);
        if (!isUnavailable)
            lease = this->service.grant(this->now(), request.timeToLive);
        this->deliverAfter(
                std::chrono::milliseconds(2), instance, [this, &instance, request, lease] {
                    this->performActions(instance, instance.claims->handleLeaseAnswer(
                                                           request.timeToLive, lease, this->now()));
                });
    }

    void perform(Instance &instance, const admission::DeliverDecision &delivery)
    {
        const std::uint64_t attempt = instance.openAttempts.at(delivery.ticket);
        std::visit(Overloaded{
                           [&](const admission::Dispatch &) {
                               const Duration dispatchDelay
                                       = this->randomDuration(std::chrono::milliseconds(2));
                               this->deliverAfter(dispatchDelay, instance, [=, this, &instance] {
                                   this->dispatch(instance, delivery.ticket, attempt);
                               });
                           },
                           [&](const admission::Replay &replay) {
                               instance.openAttempts.erase(delivery.ticket);
                               this->checks.recordReplay(attempt, replay.outcome);
                           },
                           [&](const Error &error) {
                               instance.openAttempts.erase(delivery.ticket);
                               this->deliverError(attempt, error);
                           },
                   },
                   delivery.decision);
    }

    void dispatch(Instance &instance, admission::Ticket ticket, std::uint64_t attempt)
    {
        const bool isUpstreamRefusing = this->drawFault(this->settings.upstreamRefusalChance);
        if (isUpstreamRefusing || !instance.claims->mayDispatch(ticket, this->now())) {
            instance.openAttempts.erase(ticket);
            this->performActions(
                    instance, instance.claims->settle(ticket, admission::Released{}, this->now()));
            this->deliverError(attempt, Error(ErrorKind::UpstreamUnavailable));
            return;
        }
        const bool isLost = this->drawFault(this->settings.lostUpstreamAnswerChance);
        const bool doesRun = !isLost || this->random.chance(0.5);
        const Duration latency = std::chrono::milliseconds(5)
                                 + this->randomDuration(std::chrono::milliseconds(200));
        const admission::OperationOutcome outcome{
                201, {{"Content-Type", "text/plain"}}, "attempt " + std::to_string(attempt)};
        this->time.after(latency / 2, [=, this] {
            if (doesRun)
                this->checks.recordRun(attempt, outcome);
        });
        if (isLost)
            this->checks.operationOf(attempt).hasHiddenOutcome = true;
        const Duration wait = isLost ? Duration(std::chrono::seconds(2)) : latency;
        this->deliverAfter(wait, instance, [=, this, &instance] {
            admission::Settlement settlement = admission::OutcomeUnknown{};
            if (!isLost)
                settlement = outcome;
            this->performActions(instance,
                                 instance.claims->settle(ticket, settlement, this->now()));
            instance.openAttempts.erase(ticket);
            if (!isLost)
                this->checks.recordAnswer(attempt);
            else
                this->deliverError(attempt, Error(ErrorKind::UpstreamTimedOut));
        });
    }

    /// Gives an error to a caller, which may retry the operation.
    void deliverError(std::uint64_t attempt, const Error &error)
    {
        if (this->checks.recordError(attempt, error))
            this->scheduleRetry(this->checks.operationNumber(attempt));
    }

    ClaimsRunSettings settings;
    Random random;
    ClaimsChecks checks;
    VirtualTime time;
    platform::KeyValueState service;
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<InstanceId, std::uint64_t> knownIncarnation;
    TimePoint faultsEnd{};
    TimePoint outageEnd{};
    bool areFaultsOver = false;
};

} // namespace bamboochute::bench
