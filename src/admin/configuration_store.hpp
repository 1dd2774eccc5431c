/// @file
/// @brief Records configurations in the key-value service and reads them back.
#pragma once

#include "admin/configuration_in_force.hpp"
#include "admin/part_collection.hpp"
#include "admin/store_reads.hpp"
#include "admin/submission.hpp"
#include "core/overloaded.hpp"
#include "platform/key_value.hpp"

#include <concepts>
#include <functional>
#include <memory>
#include <utility>

namespace bamboochute::admin {

/// @brief Timer that calls a function after a delay on the same thread.
template<typename T>
concept Scheduler = requires(T &scheduler, Duration delay, std::function<void()> function)
{
    scheduler.after(delay, std::move(function));
};

/// @brief Runs the state machines for submissions and garbage collection against a key-value
/// service; all on the control thread.
///
/// The service, the scheduler and what the lookup refers to must outlive the store and the calls
/// in progress.
template<platform::KeyValueService Service, Scheduler Timers>
class ConfigurationStore
{
public:
    /// @param service the key-value service
    /// @param timers schedules retries
    /// @param findLocalPart finds parts that this instance holds, such as
    /// ConfigurationInForce::findPart
    ConfigurationStore(Service &service, Timers &timers, PartLookup findLocalPart)
        : service(service)
        , timers(timers)
        , findLocalPart(std::move(findLocalPart))
    {}

    /// @brief Submits a configuration or a rollback.
    /// @param request what to submit
    /// @param done called with the outcome; KeyValueOutcomeUnknown means that the submission may
    /// have been recorded, and sending it again with the same submission id finds out
    void submit(SubmitRequest request, std::function<void(Result<SubmitOutcome>)> done)
    {
        this->runStateMachine<Submission>(
                std::make_shared<Submission>(std::move(request), this->findLocalPart),
                std::move(done));
    }

    /// @brief Reads the newest root; empty before the first submission.
    void readNewestRoot(std::function<void(Result<std::optional<ConfigurationRoot>>)> done)
    {
        this->read(rootReadTransaction(), [done = std::move(done)](auto answer) {
            done(answer ? parseRootResponse(answer.value())
                        : Result<std::optional<ConfigurationRoot>>(answer.error()));
        });
    }

    /// @brief Reads parts; those that don't exist are omitted from the response.
    void readParts(const PartsRequest &wanted, std::function<void(Result<PartsResponse>)> done)
    {
        this->read(partsReadTransaction(wanted), [done = std::move(done)](auto answer) {
            done(answer ? Result<PartsResponse>(parsePartsResponse(answer.value()))
                        : Result<PartsResponse>(answer.error()));
        });
    }

    /// @brief Reads the roots of the kept history including the newest, newest first.
    void readHistory(std::function<void(Result<std::vector<ConfigurationRoot>>)> done)
    {
        this->read(historyReadTransaction(), [done = std::move(done)](auto answer) {
            done(answer ? parseHistoryResponse(answer.value())
                        : Result<std::vector<ConfigurationRoot>>(answer.error()));
        });
    }

    /// @brief Deletes old history entries and the parts that no kept revision uses.
    /// @note Reads all parts, so call it rarely; see garbageCollectionIntervalRevisions.
    void collectGarbage(std::function<void(Result<GarbageCollectionReport>)> done)
    {
        this->runStateMachine<GarbageCollection>(std::make_shared<GarbageCollection>(),
                                                 std::move(done));
    }

private:
    void read(platform::Transaction transaction,
              std::function<void(Result<platform::TransactionResponse>)> done)
    {
        this->service.submit(platform::Purpose::Configuration, std::move(transaction),
                             std::move(done));
    }

    template<typename StateMachine, typename Done>
    void runStateMachine(std::shared_ptr<StateMachine> machine, Done done)
    {
        auto step = machine->start();
        this->executeStep(std::move(machine), std::move(done), std::move(step));
    }

    template<typename StateMachine, typename Done, typename Step>
    void executeStep(std::shared_ptr<StateMachine> machine, Done done, Step step)
    {
        std::visit(Overloaded{
                           [&](CallKeyValue &call) {
                               this->read(std::move(call.transaction), [this, machine,
                                                                        done](auto answer) {
                                   this->executeStep(machine, done, machine->onAnswer(answer));
                               });
                           },
                           [&](RetryLater &wait) {
                               this->timers.after(wait.delay, [this, machine, done]() {
                                   this->executeStep(machine, done, machine->onTimer());
                               });
                           },
                           [&](auto &ended) { done(std::move(ended.outcome)); },
                   },
                   step);
    }

    Service &service;
    Timers &timers;
    PartLookup findLocalPart;
};

} // namespace bamboochute::admin
