#include "residency/engine_process_watch.hpp"

namespace bamboochute::residency {

bool EngineProcessWatch::RegisteredProcess::isStill(const RegisteredProcess &earlier) const
{
    return this->startedAt == 0 ? *this <= earlier : this->startedAt <= earlier.startedAt;
}

EngineProcessWatch::RegisteredProcess
EngineProcessWatch::processOf(const gateway::RegisteredUpstream &registered)
{
    return {registered.residency.version.startedAt, registered.heartbeat};
}

void EngineProcessWatch::recordReport(const gateway::RegisteredUpstream &registered,
                                      std::uint64_t reportedStart, TimePoint now)
{
    const RegisteredProcess process = processOf(registered);
    if (process.startedAt == 0 || reportedStart == 0 || reportedStart < process.startedAt)
        return;
    if (reportedStart == process.startedAt) {
        this->gone.reset();
        this->doubt.reset();
    } else if (!this->doubt || !process.isStill(this->doubt->process)) {
        this->doubt = Doubt{process, now};
    }
}

void EngineProcessWatch::recordOtherProcess(const gateway::RegisteredUpstream &registered)
{
    this->gone = processOf(registered);
}

bool EngineProcessWatch::isReplaced(const gateway::RegisteredUpstream &registered,
                                    TimePoint now) const
{
    const RegisteredProcess process = processOf(registered);
    if (this->gone && process.isStill(*this->gone))
        return true;
    return this->doubt && process.isStill(this->doubt->process)
           && now < this->doubt->since + reportDoubt;
}

} // namespace bamboochute::residency
