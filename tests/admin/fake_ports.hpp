/// @file
/// @brief Fake of the instance's functions that the administration API calls, with a key-value
/// service in virtual time.
#pragma once

#include "admin/admin_api.hpp"
#include "virtual_service.hpp"

namespace bamboochute::admin {

/// @brief One instance with its own configuration store; calls each callback within the call.
class FakePorts
{
public:
    void submit(SubmitRequest request, std::function<void(Result<SubmitOutcome>)> done)
    {
        this->store.submit(std::move(request), [this, done](Result<SubmitOutcome> outcome) {
            if (outcome) {
                const auto *accepted = std::get_if<SubmissionAccepted>(&outcome.value());
                if (accepted != nullptr && !accepted->isDryRun)
                    this->current.onRootAnnounced(InstanceId("self"),
                                                  {accepted->root, accepted->newParts});
            }
            done(std::move(outcome));
        });
        this->timers.run();
    }
    void history(std::function<void(Result<std::vector<ConfigurationRoot>>)> done)
    {
        this->store.readHistory(std::move(done));
        this->timers.run();
    }
    void status(std::function<void(Result<FleetStatus>)> done)
    {
        FleetStatus status;
        status.answeredBy = InstanceId("entry-1");
        status.newestRevision = this->current.newest().revision;
        status.instances = {
                {InstanceId("entry-1"), DataCentreId("north"), status.newestRevision, true, false}};
        done(status);
    }
    void drainUpstream(const UpstreamId &id, std::function<void(Result<DrainStatus>)> done)
    {
        if (id != UpstreamId("worker-1"))
            done(Error(ErrorKind::InvalidField, "upstream \"" + id.value() + "\" does not exist",
                       "upstream"));
        else
            done(DrainStatus{"upstream worker-1", 3});
    }
    void drainInstance(const InstanceId &id, std::function<void(Result<DrainStatus>)> done)
    {
        done(DrainStatus{"instance " + id.value(), 0});
    }
    void explainRequest(const RequestId &id, std::function<void(Result<Explanation>)> done)
    {
        done(Explanation{"request " + id.value(), {{"admit", "class guest, queue empty"}}});
    }
    void explainPlacement(const Target &target, std::function<void(Result<Explanation>)> done)
    {
        done(Explanation{"placement of " + target.model.value(), {{"place", "worker-1 has room"}}});
    }
    const ConfigurationInForce &inForce() const { return this->current; }
    Readiness readiness() const { return this->current.readiness(); }
    std::string metricsText() const { return "bamboochute_up 1\n"; }
    WallTime wallTime() const { return WallTime(1796342400000); }

    VirtualTime timers;
    VirtualService service{timers};
    ConfigurationInForce current;
    ConfigurationStore<VirtualService, VirtualTime> store{
            this->service, this->timers,
            [this](const PartHash &hash) { return this->current.findPart(hash); }};
};

} // namespace bamboochute::admin
