/// @file
/// @brief A slot of an upstream that a request holds.
#pragma once

#include "caller/admission_control.hpp"

namespace bamboochute::caller {

/// @brief Releases the slot exactly once, and reports the outcome of the call.
class UpstreamSlot
{
public:
    UpstreamSlot(AdmissionControl &admission, const AdmissionRequest &request,
                 UpstreamPointer upstream)
        : admission(admission)
        , upstreamState(std::move(upstream))
        , finishedCall{request.deployment,   request.target,   this->upstreamState->spec.id,
                       CallOutcome::Neutral, Duration::zero(), request.isStream}
        , dispatchedAt(SteadyClock().now())
    {}

    ~UpstreamSlot() { this->release(); }
    UpstreamSlot(const UpstreamSlot &) = delete;
    UpstreamSlot &operator=(const UpstreamSlot &) = delete;

    const UpstreamSpec &upstream() const noexcept { return this->upstreamState->spec; }

    /// @brief The upstream, with shared ownership, so that it may outlive the slot.
    UpstreamPointer upstreamPointer() const { return this->upstreamState; }

    /// @brief Records the outcome; the latency is the time since the slot was created.
    void recordOutcome(CallOutcome outcome)
    {
        this->finishedCall.outcome = outcome;
        this->finishedCall.latency = SteadyClock().now() - this->dispatchedAt;
    }

    /// @brief Releases the slot; does nothing after the first call.
    void release()
    {
        if (this->isReleased)
            return;
        this->isReleased = true;
        this->admission.releaseSlot(this->finishedCall);
    }

private:
    AdmissionControl &admission;
    UpstreamPointer upstreamState;
    FinishedCall finishedCall;
    TimePoint dispatchedAt;
    bool isReleased = false;
};

} // namespace bamboochute::caller
