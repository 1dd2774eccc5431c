/// @file
/// @brief One slot of an upstream that a request holds.
#pragma once

#include "caller/admission_control.hpp"

namespace bamboochute::caller {

/// @brief Gives the slot back exactly once, with what was learnt about the upstream.
class UpstreamSlot
{
public:
    UpstreamSlot(AdmissionControl &admission, const AdmissionRequest &request,
                 UpstreamPointer upstream)
        : admission(admission)
        , picked(std::move(upstream))
        , call{request.deployment,   request.target,   this->picked->spec.id,
               CallVerdict::Neutral, Duration::zero(), request.isStream}
        , dispatched(SteadyClock().now())
    {}

    ~UpstreamSlot() { this->giveBack(); }
    UpstreamSlot(const UpstreamSlot &) = delete;
    UpstreamSlot &operator=(const UpstreamSlot &) = delete;

    const UpstreamSpec &upstream() const noexcept { return this->picked->spec; }

    /// @brief The upstream, kept beyond the life of the slot.
    UpstreamPointer share() const { return this->picked; }

    /// @brief Notes the verdict; the latency runs from the slot's creation to now.
    void judge(CallVerdict verdict)
    {
        this->call.verdict = verdict;
        this->call.latency = SteadyClock().now() - this->dispatched;
    }

    void giveBack()
    {
        if (this->isGivenBack)
            return;
        this->isGivenBack = true;
        this->admission.finished(this->call);
    }

private:
    AdmissionControl &admission;
    UpstreamPointer picked;
    FinishedCall call;
    TimePoint dispatched;
    bool isGivenBack = false;
};

} // namespace bamboochute::caller
