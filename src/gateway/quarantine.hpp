/// @file
/// @brief Finds the requests and parts of prompts that crash upstreams, and keeps them from
/// upstreams.
#pragma once

#include "gateway/crash_detector.hpp"
#include "gateway/quarantine_subject.hpp"
#include "gateway/recent_completions.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace bamboochute::gateway {

/// @brief A subject at one service.
struct ServiceSubject
{
    ServiceId service;
    QuarantineSubject subject;
    auto operator<=>(const ServiceSubject &) const = default;
};

/// @brief A subject of a request that broke in a crash.
struct ReportedSubject
{
    QuarantineSubject subject;
    /// Requests with the subject that the reporting instance has recently seen answered in full.
    std::uint32_t completions = 0;
    auto operator<=>(const ReportedSubject &) const = default;
};

/// @brief A request that broke because the process of its upstream ended; instances exchange these.
struct CrashReport
{
    UpstreamProcess process;
    ServiceId service;
    /// Id of the attempt that the caller made.
    RequestId request;
    std::vector<ReportedSubject> subjects;
    auto operator<=>(const CrashReport &) const = default;
};

/// @brief State of a subject that is or was quarantined; instances exchange these.
struct QuarantineEntry
{
    ServiceSubject key;
    /// Increases with each change of the state; the higher one is newer.
    std::uint32_t generation = 0;
    bool isQuarantined = false;
    /// Time until a request with the subject may be tried again.
    Duration remaining{};
    /// Crashes that the decision was based on.
    std::uint32_t crashes = 0;
    /// Trials of a whole request so far, by all instances.
    std::uint32_t trials = 0;
    auto operator<=>(const QuarantineEntry &) const = default;
};

/// @brief How much evidence quarantines a subject, and for how long.
struct QuarantineLimits
{
    /// Crashes with a request with the part in progress.
    std::uint32_t minCrashes = 3;
    /// Different requests among these: one alone may have a part of its own that is to blame.
    std::uint32_t minRequests = 2;
    /// While several parts are in equally many crashes, this number is needed to decide.
    std::uint32_t minAmbiguousCrashes = 5;
    /// Crashes of processes with a whole request in progress, and attempts of callers among them.
    std::uint32_t requestMinCrashes = 3;
    std::uint32_t requestMinAttempts = 2;
    /// While several requests are in the same crashes, this number is needed to decide; all of
    /// them are quarantined then.
    std::uint32_t requestMinAmbiguousCrashes = 4;
    /// Trials of a quarantined request, by all instances together, until it is answered in full.
    std::uint32_t requestMaxTrials = 2;
    /// Crashes closer together count as one: in a loss of many upstreams at a time, prompts play no
    /// role.
    Duration minCrashInterval = std::chrono::milliseconds(50);
    /// A part is blameless if it had more than one complete answer for this number of crashes.
    std::uint32_t crashesPerCompletion = 2;
    /// Least share of the service's crashes since the first one with the part; those close together
    /// count as one.
    double minCrashShare = 0.25;
    /// Age up to which crashes and complete answers count.
    Duration evidenceAge = std::chrono::seconds(300);
    /// Time for the reports of one crash to arrive from all instances before it is evaluated.
    Duration settleTime = std::chrono::milliseconds(50);
    /// Length of the first quarantine; doubled by each further one.
    Duration firstPause = std::chrono::seconds(120);
    Duration longestPause = std::chrono::seconds(3600);
    /// Time after which a trial without a clear result is given up.
    Duration trialTimeout = std::chrono::seconds(30);
    /// Retry-After of a request that has to wait for the result of a trial.
    Duration trialRetryAfter = std::chrono::seconds(2);
    /// Time for which a released subject is remembered, so that older states don't return.
    Duration releaseAge = std::chrono::seconds(600);
    /// A remaining time from another instance that ends later by up to this is the same one: it
    /// has aged on its way.
    Duration maxMessageDelay = std::chrono::seconds(1);
    /// Time after a request broke within which the end of its upstream's process is a crash.
    Duration confirmationTime = CrashDetectorLimits().confirmationTime;
    /// Bounds of what is remembered; those of entries hold for each kind of subject.
    std::size_t maxEntries = 256;
    std::size_t maxCrashes = 128;
    std::size_t maxRequestsPerCrash = 512;
    std::size_t maxSubjectsPerCrash = 2048;
    std::size_t maxCompletions = 60000;
    std::size_t maxRequestCompletions = 20000;
    std::size_t maxReportedCompletions = 4096;
    /// Longer ids of requests are cut in reports, so that these fit into a datagram.
    std::size_t maxRequestIdBytes = 128;
    auto operator<=>(const QuarantineLimits &) const = default;
};

/// @brief Why a subject's state changed.
enum class QuarantineCause {
    /// Enough crashes.
    Crashes,
    /// A request is sent to find out whether it still crashes its upstream.
    Trial,
    /// A trial of a prompt part crashed its upstream.
    TrialFailed,
    /// Requests with the subject were answered in full.
    Completed,
    /// All of its crashes are explained by another subject.
    Explained,
    /// Another instance, or the platform's store, knew a newer state.
    Learned
};

/// @brief The cause's name in logs.
std::string_view quarantineCauseName(QuarantineCause cause) noexcept;

/// @brief Whether a request may be sent.
struct QuarantineDecision
{
    enum class Kind { Allowed, Trial, Refused };
    Kind kind = Kind::Allowed;
    /// The quarantined subject; its id is empty if the request is allowed.
    QuarantineSubject subject;
    /// When a refused request may be sent again.
    Duration retryAfter{};
    auto operator<=>(const QuarantineDecision &) const = default;
};

/// @brief Collects crashes and complete answers by the subjects of requests; not thread-safe.
///
/// A subject is quarantined when requests with it broke in several crashes and hardly any was
/// answered in full. Crashes with a subject that is already quarantined don't count for others.
/// When the quarantine has lasted for its time, one instance tries a single request: a complete
/// answer releases the subject, a crash begins a longer quarantine. The trials of a whole request
/// are bounded over all instances; it then stays quarantined.
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits limits = {})
        : limits(limits)
    {}

    /// @brief Replaces the limits; what is quarantined stays so for its time.
    void configure(const QuarantineLimits &changed) { this->limits = changed; }

    const QuarantineLimits &currentLimits() const noexcept { return this->limits; }

    /// @brief Counts a request that was answered in full.
    void recordCompletion(const ServiceId &service, const std::vector<QuarantineSubject> &subjects,
                          TimePoint now);

    /// @brief Builds the report of a request of this instance that broke in a crash.
    CrashReport makeReport(const BrokenRequest &broken, TimePoint now);

    /// @brief Adds a report of this or another instance; repeated reports have no effect.
    void recordCrash(const CrashReport &report, TimePoint now);

    /// @brief Quarantines the subjects that there is enough evidence against.
    void evaluate(TimePoint now);

    /// @brief Decides whether a request may be sent.
    /// @param mayTry whether this instance may try requests with a subject whose time is over
    /// @note A decision Trial has to be followed by sending the request. The change of state that
    /// counts the trial of a whole request is announced before it returns.
    QuarantineDecision admit(const ServiceId &service,
                             const std::vector<QuarantineSubject> &subjects, bool mayTry,
                             TimePoint now);

    /// @brief Whether admit() would refuse a request now.
    bool isRefused(const ServiceId &service, const std::vector<QuarantineSubject> &subjects,
                   bool mayTry, TimePoint now) const;

    /// @brief Applies a state that another instance knows, if it is newer.
    void merge(const QuarantineEntry &entry, TimePoint now);

    /// @brief All states, to be sent to other instances.
    std::vector<QuarantineEntry> entries(TimePoint now);

    /// @brief Called with each change of a state.
    std::function<void(const QuarantineEntry &, QuarantineCause)> onChange;

private:
    struct State
    {
        std::uint32_t generation = 0;
        bool isQuarantined = false;
        /// End of the quarantine, or of the time for which the release is remembered.
        TimePoint until{};
        /// Until when the result of a trial is waited for; zero when there is none.
        TimePoint trialUntil{};
        std::uint32_t crashes = 0;
        std::uint32_t trials = 0;
        std::vector<UpstreamProcess> processes;
        /// When a request with the subject was last refused, or the state was made.
        TimePoint lastRefusedAt{};
    };
    /// One process that ended, with the requests that broke by their subjects.
    struct Crash
    {
        UpstreamProcess process;
        TimePoint at{};
        std::map<QuarantineSubject, std::set<RequestId>> requests;
    };
    /// Evidence against one subject.
    struct Suspect
    {
        QuarantineSubject subject;
        /// Crashes that are not close together.
        std::uint32_t crashes = 0;
        std::uint32_t completions = 0;
        std::size_t requests = 0;
        std::vector<UpstreamProcess> processes;
    };
    struct ReportedCompletions
    {
        std::uint32_t count = 0;
        TimePoint at{};
    };

    static QuarantineEntry makeEntry(const ServiceSubject &key, const State &state, TimePoint now);
    static std::uint64_t hashOf(const ServiceSubject &key);
    void expire(TimePoint now);
    std::uint32_t ownCompletionsOf(const ServiceSubject &key) const;
    std::uint32_t completionsOf(const ServiceSubject &key) const;
    bool isBlameless(const ServiceSubject &key, std::uint32_t crashes) const;
    bool isQuarantined(const ServiceSubject &key) const;
    bool isExplained(const ServiceId &service, const Crash &crash,
                     const QuarantineSubject &suspect) const;
    bool quarantineCulprits(const ServiceId &service, TimePoint now);
    std::vector<const Crash *> findSettled(const ServiceId &service, TimePoint now) const;
    std::optional<Suspect> findPromptPart(const ServiceId &service, TimePoint now) const;
    static bool isOfOneCaller(const Suspect &suspect, const std::vector<const Crash *> &crashes);
    bool isOneOfMany(const Suspect &suspect, const std::vector<const Crash *> &crashes) const;
    std::vector<Suspect> findRequests(const ServiceId &service, bool isAnyCaller,
                                      TimePoint now) const;
    std::map<QuarantineSubject, Suspect>
    collectSuspects(const ServiceId &service, SubjectKind kind,
                    const std::vector<const Crash *> &crashes) const;
    double crashShare(const ServiceId &service, const Suspect &suspect,
                      const std::vector<const Crash *> &crashes) const;
    std::size_t countEntries(SubjectKind kind) const;
    bool reservePlace(SubjectKind kind, bool mayEvictQuarantined);
    Duration nextPause(const State &state) const;
    void quarantine(const ServiceSubject &key, const Suspect &evidence, QuarantineCause cause,
                    TimePoint now);
    void startTrial(const ServiceSubject &key, State &state, TimePoint now);
    void release(const ServiceSubject &key, QuarantineCause cause, TimePoint now);
    void forgetCrashes(const ServiceSubject &key);
    void releaseExplained(const ServiceId &service, const std::vector<QuarantineSubject> &culprits,
                          TimePoint now);

    QuarantineLimits limits;
    std::map<ServiceSubject, State> states;
    std::map<ServiceId, std::deque<Crash>> crashesByService;
    std::map<ServiceSubject, std::uint32_t> completions;
    std::deque<std::pair<TimePoint, ServiceSubject>> completionTimes;
    /// Those of whole requests, so that many different ones don't push out those of prompt parts.
    RecentCompletions requestCompletions;
    std::map<ServiceSubject, ReportedCompletions> reportedCompletions;
};

} // namespace bamboochute::gateway
