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

/// @brief What the program requires for calling a function later on the same thread.
template<typename T>
concept Scheduler = requires(T &scheduler, Duration delay, std::function<void()> function)
{
    scheduler.after(delay, std::move(function));
};

/// @brief Drives the state machines over a key-value service; all on the control thread.
///
/// The service, the scheduler and what the lookup refers to must outlive the store and the calls
/// under way.
template<platform::KeyValueService Service, Scheduler Timers>
class ConfigurationStore
{
public:
    /// @param service the key-value service
    /// @param timers delays retries
    /// @param known finds parts that this instance holds, such as ConfigurationInForce::findPart
    ConfigurationStore(Service &service, Timers &timers, PartLookup known)
        : service(service)
        , timers(timers)
        , known(std::move(known))
    {}

    /// @brief Submits a configuration or a rollback.
    /// @param done gets the outcome; KeyValueOutcomeUnknown says that it may have been recorded and
    /// that the same submission id finds out
    void submit(SubmitRequest request, std::function<void(Result<SubmitOutcome>)> done)
    {
        this->drive<Submission>(std::make_shared<Submission>(std::move(request), this->known),
                                std::move(done));
    }

    /// @brief Reads the newest root; none before the first submission.
    void readNewestRoot(std::function<void(Result<std::optional<ConfigurationRoot>>)> done)
    {
        this->read(rootRead(), [done = std::move(done)](auto answer) {
            done(answer ? rootFrom(answer.value())
                        : Result<std::optional<ConfigurationRoot>>(answer.error()));
        });
    }

    /// @brief Reads parts; those that don't exist are left out of the answer.
    void readParts(const PartsRequest &wanted, std::function<void(Result<PartsResponse>)> done)
    {
        this->read(partsRead(wanted), [done = std::move(done)](auto answer) {
            done(answer ? Result<PartsResponse>(partsFrom(answer.value()))
                        : Result<PartsResponse>(answer.error()));
        });
    }

    /// @brief Reads past roots and the present one, newest first.
    void readHistory(std::function<void(Result<std::vector<ConfigurationRoot>>)> done)
    {
        this->read(historyRead(), [done = std::move(done)](auto answer) {
            done(answer ? historyFrom(answer.value())
                        : Result<std::vector<ConfigurationRoot>>(answer.error()));
        });
    }

    /// @brief Deletes old history and the parts that no kept revision uses.
    /// @note Reads all parts; call it seldom, see collectionInterval.
    void collectGarbage(std::function<void(Result<GarbageCollectionReport>)> done)
    {
        this->drive<PartCollection>(std::make_shared<PartCollection>(), std::move(done));
    }

private:
    void read(platform::Transaction transaction,
              std::function<void(Result<platform::TransactionResponse>)> done)
    {
        this->service.submit(platform::Purpose::Configuration, std::move(transaction),
                             std::move(done));
    }

    template<typename Machine, typename Done>
    void drive(std::shared_ptr<Machine> machine, Done done)
    {
        auto step = machine->start();
        this->carryOut(std::move(machine), std::move(done), std::move(step));
    }

    template<typename Machine, typename Done, typename Step>
    void carryOut(std::shared_ptr<Machine> machine, Done done, Step step)
    {
        std::visit(Overloaded{
                           [&](CallKeyValue &call) {
                               this->read(std::move(call.transaction), [this, machine,
                                                                        done](auto answer) {
                                   this->carryOut(machine, done, machine->onAnswer(answer));
                               });
                           },
                           [&](RetryLater &wait) {
                               this->timers.after(wait.delay, [this, machine, done]() {
                                   this->carryOut(machine, done, machine->onTimer());
                               });
                           },
                           [&](auto &ended) { done(std::move(ended.outcome)); },
                   },
                   step);
    }

    Service &service;
    Timers &timers;
    PartLookup known;
};

} // namespace bamboochute::admin
