/// @file
/// @brief Connects the quarantine with requests, other instances, log and metrics.
#pragma once

#include "core/metrics.hpp"
#include "gateway/quarantine.hpp"

#include <functional>
#include <vector>

namespace bamboochute::gateway {

/// @brief Feeds a Quarantine with the crashes that requests of this and other instances met;
/// used on the event loop's thread only.
class QuarantineDriver
{
public:
    QuarantineDriver(boost::asio::io_context &loop, upstream::ConnectionPool &pool,
                     const UpstreamTable &table, Metrics &metrics);

    /// @brief Replaces the limits.
    void configure(const QuarantineLimits &limits);

    /// @brief Finds out whether the upstream of a broken request has crashed, and if so reports it.
    void checkForCrash(const BrokenRequest &broken);

    /// @brief Finds out whether the processes of upstreams that broke requests have ended.
    CrashDetector &crashDetector() noexcept { return this->detector; }
    const CrashDetector &crashDetector() const noexcept { return this->detector; }

    /// @brief Counts a request that was answered in full.
    void recordCompletion(const ServiceId &service, const std::vector<QuarantineSubject> &subjects);

    /// @brief Decides whether a request may be sent; it has to be sent if the decision is Trial.
    QuarantineDecision admit(const ServiceId &service,
                             const std::vector<QuarantineSubject> &subjects);

    /// @brief Whether admit() would refuse a request now.
    bool isRefused(const ServiceId &service, const std::vector<QuarantineSubject> &subjects) const;

    /// @brief Adds a crash report of another instance.
    void receiveReport(const CrashReport &report);

    /// @brief Applies states that another instance or the platform's store knows.
    void receiveEntries(const std::vector<QuarantineEntry> &entries);

    /// @brief All states, to be sent to other instances.
    std::vector<QuarantineEntry> entries();

    /// @brief Called with each crash report of this instance.
    std::function<void(const CrashReport &)> onReport;

    /// @brief Called with each state that changed at this instance.
    std::function<void(const QuarantineEntry &)> onChange;

    /// @brief Whether this instance may try subjects whose quarantine has lasted for its time; of
    /// all instances at most one should. None does while this is not set.
    std::function<bool()> mayTry;

    /// @brief Sets how broken connections are told from those that this instance's own links broke.
    /// @param isUndecided see CrashDetector::isUndecided
    /// @param wasCutOff see CrashDetector::wasCutOff
    void setLinkState(std::function<bool(const ServiceId &)> isUndecided,
                      std::function<bool(const ServiceId &, TimePoint)> wasCutOff)
    {
        this->detector.isUndecided = std::move(isUndecided);
        this->detector.wasCutOff = std::move(wasCutOff);
    }

private:
    void handleCrash(const BrokenRequest &broken, ProcessEnd end);
    void handleChange(const QuarantineEntry &entry, QuarantineCause cause);
    static void logChange(const QuarantineEntry &entry, QuarantineCause cause);
    void addReport(const CrashReport &report);
    upstream::Awaitable<void> evaluateReports();
    bool isTrying() const { return this->mayTry && this->mayTry(); }

    boost::asio::io_context &loop;
    Metrics &metrics;
    Quarantine quarantine;
    CrashDetector detector;
    /// Never notified.
    ChangeSignal timer;
    bool isEvaluating = false;
    bool hasNewReport = false;
};

} // namespace bamboochute::gateway
