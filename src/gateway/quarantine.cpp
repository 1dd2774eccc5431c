#include "gateway/quarantine.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace bamboochute::gateway {

std::string_view quarantineCauseName(QuarantineCause cause) noexcept
{
    constexpr std::array<std::string_view, 6> names{"crashes",   "trial",     "trial_failed",
                                                    "completed", "explained", "learned"};
    return names[static_cast<std::size_t>(cause)];
}

void Quarantine::recordCompletion(const ServiceId &service,
                                  const std::vector<QuarantineSubject> &subjects, TimePoint now)
{
    this->expire(now);
    for (const QuarantineSubject &subject : subjects) {
        const ServiceSubject key{service, subject};
        const bool isRequest = subject.kind == SubjectKind::Request;
        if (isRequest) {
            this->requestCompletions.record(hashOf(key), this->limits.maxRequestCompletions, now);
        } else {
            ++this->completions[key];
            this->completionTimes.emplace_back(now, key);
        }
        const auto state = this->states.find(key);
        if (state != this->states.end() && state->second.isQuarantined
            && (isRequest || state->second.trialUntil > now
                || this->isBlameless(key, state->second.crashes)))
            this->release(key, QuarantineCause::Completed, now);
    }
}

CrashReport Quarantine::makeReport(const BrokenRequest &broken, TimePoint now)
{
    this->expire(now);
    const std::string id = broken.request.value().substr(0, this->limits.maxRequestIdBytes);
    CrashReport report{broken.process, broken.service, RequestId(id), {}};
    for (const QuarantineSubject &subject : broken.subjects)
        report.subjects.push_back({subject, this->ownCompletionsOf({broken.service, subject})});
    return report;
}

void Quarantine::recordCrash(const CrashReport &report, TimePoint now)
{
    this->expire(now);
    std::deque<Crash> &crashes = this->crashesByService[report.service];
    auto crash = std::find_if(crashes.begin(), crashes.end(), [&report](const Crash &known) {
        return known.process == report.process;
    });
    if (crash == crashes.end()) {
        crashes.push_back({report.process, now, {}});
        if (crashes.size() > this->limits.maxCrashes)
            crashes.pop_front();
        crash = std::prev(crashes.end());
    }
    for (const ReportedSubject &reported : report.subjects) {
        if (!crash->requests.contains(reported.subject)
            && crash->requests.size() >= this->limits.maxSubjectsPerCrash)
            continue;
        std::set<RequestId> &requests = crash->requests[reported.subject];
        if (requests.size() < this->limits.maxRequestsPerCrash)
            requests.insert(report.request);
        const ServiceSubject key{report.service, reported.subject};
        if (reported.completions > 0
            && (this->reportedCompletions.contains(key)
                || this->reportedCompletions.size() < this->limits.maxReportedCompletions)) {
            ReportedCompletions &known = this->reportedCompletions[key];
            known = {std::max(known.count, reported.completions), now};
        }
        const auto state = this->states.find(key);
        if (reported.subject.kind == SubjectKind::PromptPart && state != this->states.end()
            && state->second.isQuarantined && state->second.trialUntil > now) {
            const Suspect evidence{reported.subject, state->second.crashes + 1, 0, 0,
                                   state->second.processes};
            this->quarantine(key, evidence, QuarantineCause::TrialFailed, now);
        }
    }
}

void Quarantine::evaluate(TimePoint now)
{
    this->expire(now);
    std::vector<ServiceId> services;
    for (const auto &[service, crashes] : this->crashesByService)
        services.push_back(service);
    for (const ServiceId &service : services) {
        while (this->quarantineCulprits(service, now))
            ;
    }
}

/// Quarantines the subjects of a service that explain most crashes; returns false when there are
/// none.
bool Quarantine::quarantineCulprits(const ServiceId &service, TimePoint now)
{
    // Both kinds are found before either is quarantined, because a request explains no crash for
    // the parts of its own prompt.
    const std::optional<Suspect> part = this->findPromptPart(service, now);
    std::vector<Suspect> requests = this->findRequests(service, false, now);
    if (requests.empty())
        requests = this->findRequests(service, true, now);
    bool isAnyNew = false;
    if (part && this->reservePlace(SubjectKind::PromptPart, false)) {
        this->quarantine({service, part->subject}, *part, QuarantineCause::Crashes, now);
        this->releaseExplained(service, {part->subject}, now);
        isAnyNew = true;
    }
    std::vector<QuarantineSubject> culprits;
    for (const Suspect &request : requests) {
        if (!this->reservePlace(SubjectKind::Request, true))
            break;
        culprits.push_back(request.subject);
        this->quarantine({service, request.subject}, request, QuarantineCause::Crashes, now);
    }
    if (!culprits.empty())
        this->releaseExplained(service, culprits, now);
    return isAnyNew || !culprits.empty();
}

/// Finds the crashes whose reports have had the time to arrive.
std::vector<const Quarantine::Crash *> Quarantine::findSettled(const ServiceId &service,
                                                               TimePoint now) const
{
    std::vector<const Crash *> settled;
    const auto crashes = this->crashesByService.find(service);
    if (crashes == this->crashesByService.end())
        return settled;
    for (const Crash &crash : crashes->second) {
        if (crash.at + this->limits.settleTime <= now)
            settled.push_back(&crash);
    }
    return settled;
}

/// Finds the prompt part that is in most of the crashes which no quarantined subject explains.
std::optional<Quarantine::Suspect> Quarantine::findPromptPart(const ServiceId &service,
                                                              TimePoint now) const
{
    const std::vector<const Crash *> crashes = this->findSettled(service, now);
    std::vector<Suspect> suspects;
    for (auto &[subject, suspect] :
         this->collectSuspects(service, SubjectKind::PromptPart, crashes)) {
        suspect.completions = this->completionsOf({service, subject});
        if (suspect.crashes >= this->limits.minCrashes
            && suspect.requests >= this->limits.minRequests
            && !this->isBlameless({service, subject}, suspect.crashes)
            && this->crashShare(service, suspect, crashes) >= this->limits.minCrashShare)
            suspects.push_back(suspect);
    }
    if (suspects.empty())
        return std::nullopt;
    // Of parts that can't be told apart otherwise, the one of fewer requests explains more.
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) {
        return std::make_tuple(b.crashes, a.completions, a.requests)
               < std::make_tuple(a.crashes, b.completions, b.requests);
    });
    const Suspect &first = suspects.front();
    const bool isAmbiguous = suspects.size() > 1 && suspects[1].crashes == first.crashes
                             && suspects[1].completions == first.completions;
    if (isAmbiguous && first.crashes < this->limits.minAmbiguousCrashes)
        return std::nullopt;
    return first;
}

/// Finds the requests that are in most of the crashes which no quarantined subject explains: one,
/// or several that were in the same crashes.
/// @param isAnyCaller whether they are to blame whoever sends them
std::vector<Quarantine::Suspect> Quarantine::findRequests(const ServiceId &service,
                                                          bool isAnyCaller, TimePoint now) const
{
    const std::vector<const Crash *> crashes = this->findSettled(service, now);
    std::vector<Suspect> suspects;
    for (auto &[subject, suspect] : this->collectSuspects(service, SubjectKind::Request, crashes)) {
        if (isOfAnyCaller(subject.id) != isAnyCaller)
            continue;
        const bool isWave = suspect.crashes == 1 && this->isOneOfMany(suspect, crashes);
        suspect.crashes = static_cast<std::uint32_t>(suspect.processes.size());
        if (isAnyCaller && isOfOneCaller(suspect, crashes))
            continue;
        if (suspect.crashes >= this->limits.requestMinCrashes && !isWave
            && suspect.requests >= this->limits.requestMinAttempts
            && !this->isBlameless({service, subject}, suspect.crashes))
            suspects.push_back(suspect);
    }
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const Suspect &a, const Suspect &b) { return a.crashes > b.crashes; });
    for (const Suspect &suspect : suspects) {
        std::vector<Suspect> alike;
        std::copy_if(
                suspects.begin(), suspects.end(), std::back_inserter(alike),
                [&suspect](const Suspect &other) { return other.processes == suspect.processes; });
        if (alike.size() == 1 || suspect.crashes >= this->limits.requestMinAmbiguousCrashes)
            return alike;
    }
    return {};
}

/// Whether one caller's request was in all crashes that the suspect was in. Requests of other
/// callers beside it may have been broken by it.
bool Quarantine::isOfOneCaller(const Suspect &suspect, const std::vector<const Crash *> &crashes)
{
    std::optional<std::set<QuarantineSubject>> candidates;
    for (const Crash *crash : crashes) {
        const auto broken = crash->requests.find(suspect.subject);
        if (broken == crash->requests.end())
            continue;
        std::set<QuarantineSubject> here;
        for (const auto &[subject, requests] : crash->requests) {
            const bool isOfSuspect = std::includes(broken->second.begin(), broken->second.end(),
                                                   requests.begin(), requests.end());
            const bool isCandidate = subject.kind == SubjectKind::Request
                                     && !isOfAnyCaller(subject.id) && isOfSuspect
                                     && (!candidates || candidates->contains(subject));
            if (isCandidate)
                here.insert(subject);
        }
        candidates = std::move(here);
    }
    return candidates && !candidates->empty();
}

/// Whether a process without the suspect ended at about the same time as those with it, as in a
/// loss of many upstreams.
bool Quarantine::isOneOfMany(const Suspect &suspect,
                             const std::vector<const Crash *> &crashes) const
{
    const auto hasSuspect
            = [&suspect](const Crash *crash) { return crash->requests.contains(suspect.subject); };
    const auto first = std::find_if(crashes.begin(), crashes.end(), hasSuspect);
    const auto last = std::find_if(crashes.rbegin(), crashes.rend(), hasSuspect);
    const TimePoint begin = (*first)->at - this->limits.minCrashInterval;
    const TimePoint end = (*last)->at + this->limits.minCrashInterval;
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash *crash) {
        return !hasSuspect(crash) && crash->at > begin && crash->at < end;
    });
}

std::map<QuarantineSubject, Quarantine::Suspect>
Quarantine::collectSuspects(const ServiceId &service, SubjectKind kind,
                            const std::vector<const Crash *> &crashes) const
{
    std::map<QuarantineSubject, Suspect> suspects;
    std::map<QuarantineSubject, std::set<RequestId>> requests;
    std::map<QuarantineSubject, TimePoint> lastCounted;
    for (const Crash *crash : crashes) {
        for (const auto &[subject, broken] : crash->requests) {
            if (subject.kind != kind || this->isExplained(service, *crash, subject))
                continue;
            Suspect &suspect = suspects[subject];
            suspect.subject = subject;
            suspect.processes.push_back(crash->process);
            requests[subject].insert(broken.begin(), broken.end());
            if (suspect.crashes > 0
                && crash->at < lastCounted[subject] + this->limits.minCrashInterval)
                continue;
            lastCounted[subject] = crash->at;
            ++suspect.crashes;
        }
    }
    for (auto &[subject, suspect] : suspects)
        suspect.requests = requests[subject].size();
    return suspects;
}

/// Share of the crashes since the suspect's first one in which a request with it was.
double Quarantine::crashShare(const ServiceId &service, const Suspect &suspect,
                              const std::vector<const Crash *> &crashes) const
{
    auto crash = std::find_if(crashes.begin(), crashes.end(), [&suspect](const Crash *candidate) {
        return candidate->process == suspect.processes.front();
    });
    std::uint32_t count = 0;
    TimePoint lastCounted{};
    for (; crash != crashes.end(); ++crash) {
        if (this->isExplained(service, **crash, suspect.subject)
            || (count > 0 && (*crash)->at < lastCounted + this->limits.minCrashInterval))
            continue;
        lastCounted = (*crash)->at;
        ++count;
    }
    return static_cast<double>(suspect.crashes) / static_cast<double>(count);
}

/// Whether a quarantined subject explains a crash. A quarantined request does not for the parts of
/// its own prompt, each of which may be what makes it crash, nor that of one caller for the same
/// one of any caller.
bool Quarantine::isExplained(const ServiceId &service, const Crash &crash,
                             const QuarantineSubject &suspect) const
{
    const auto found = crash.requests.find(suspect);
    const auto isOfSuspect = [&](const RequestId &request) {
        return found != crash.requests.end() && found->second.contains(request);
    };
    return std::any_of(crash.requests.begin(), crash.requests.end(), [&](const auto &item) {
        const auto &[subject, requests] = item;
        if (!this->isQuarantined({service, subject}))
            return false;
        const bool isNarrower = isOfAnyCaller(suspect.id) && !isOfAnyCaller(subject.id);
        return (subject.kind == suspect.kind && !isNarrower)
               || subject.kind == SubjectKind::PromptPart
               || std::none_of(requests.begin(), requests.end(), isOfSuspect);
    });
}

bool Quarantine::isQuarantined(const ServiceSubject &key) const
{
    const auto found = this->states.find(key);
    return found != this->states.end() && found->second.isQuarantined;
}

std::uint64_t Quarantine::hashOf(const ServiceSubject &key)
{
    return stableHash(key.subject.id, stableHash(key.service.value()));
}

/// Requests with the subject that this instance has recently seen answered in full.
std::uint32_t Quarantine::ownCompletionsOf(const ServiceSubject &key) const
{
    if (key.subject.kind == SubjectKind::Request)
        return this->requestCompletions.count(hashOf(key));
    const auto own = this->completions.find(key);
    return own == this->completions.end() ? 0 : own->second;
}

std::uint32_t Quarantine::completionsOf(const ServiceSubject &key) const
{
    const auto reported = this->reportedCompletions.find(key);
    return std::max(this->ownCompletionsOf(key),
                    reported == this->reportedCompletions.end() ? 0 : reported->second.count);
}

bool Quarantine::isBlameless(const ServiceSubject &key, std::uint32_t crashes) const
{
    if (key.subject.kind == SubjectKind::Request)
        return this->completionsOf(key) > 0;
    return this->completionsOf(key) * this->limits.crashesPerCompletion > crashes;
}

std::size_t Quarantine::countEntries(SubjectKind kind) const
{
    return std::count_if(this->states.begin(), this->states.end(),
                         [kind](const auto &item) { return item.first.subject.kind == kind; });
}

/// Makes place for a further state: released subjects go first, then the one that was refused
/// least recently.
bool Quarantine::reservePlace(SubjectKind kind, bool mayEvictQuarantined)
{
    if (this->countEntries(kind) < this->limits.maxEntries)
        return true;
    const auto rank = [](const State &state) {
        return std::make_tuple(state.isQuarantined, state.lastRefusedAt);
    };
    auto evicted = this->states.end();
    for (auto state = this->states.begin(); state != this->states.end(); ++state) {
        if (state->first.subject.kind == kind
            && (evicted == this->states.end() || rank(state->second) < rank(evicted->second)))
            evicted = state;
    }
    if (evicted == this->states.end() || (evicted->second.isQuarantined && !mayEvictQuarantined))
        return false;
    this->forgetCrashes(evicted->first);
    this->states.erase(evicted);
    return true;
}

Duration Quarantine::nextPause(const State &state) const
{
    constexpr std::uint32_t maxDoublings = 20;
    const std::uint32_t doublings = std::min(state.generation, maxDoublings);
    return std::min<Duration>(this->limits.firstPause * (1U << doublings),
                              this->limits.longestPause);
}

void Quarantine::quarantine(const ServiceSubject &key, const Suspect &evidence,
                            QuarantineCause cause, TimePoint now)
{
    State &state = this->states[key];
    state = {state.generation + 1, true,         now + this->nextPause(state), {},
             evidence.crashes,     state.trials, evidence.processes,           now};
    if (this->onChange)
        this->onChange(makeEntry(key, state, now), cause);
}

/// Counts a trial of a whole request and begins the pause after it, so that an instance which does
/// not learn of its result doesn't try again.
void Quarantine::startTrial(const ServiceSubject &key, State &state, TimePoint now)
{
    state.until = now + this->nextPause(state);
    ++state.generation;
    ++state.trials;
    if (this->onChange)
        this->onChange(makeEntry(key, state, now), QuarantineCause::Trial);
}

void Quarantine::release(const ServiceSubject &key, QuarantineCause cause, TimePoint now)
{
    this->forgetCrashes(key);
    State &state = this->states.at(key);
    state = {state.generation + 1, false, now + this->limits.releaseAge, {}, 0, 0, {}, now};
    if (this->onChange)
        this->onChange(makeEntry(key, state, now), cause);
}

/// Forgets that a subject was in crashes, so that only further ones count against it.
void Quarantine::forgetCrashes(const ServiceSubject &key)
{
    const auto crashes = this->crashesByService.find(key.service);
    if (crashes == this->crashesByService.end())
        return;
    for (Crash &crash : crashes->second)
        crash.requests.erase(key.subject);
}

/// Releases the subjects of the culprits' kind all of whose crashes had one of them as well.
void Quarantine::releaseExplained(const ServiceId &service,
                                  const std::vector<QuarantineSubject> &culprits, TimePoint now)
{
    std::set<UpstreamProcess> explained;
    const auto crashes = this->crashesByService.find(service);
    if (crashes == this->crashesByService.end())
        return;
    for (const Crash &crash : crashes->second) {
        const bool hasCulprit
                = std::any_of(culprits.begin(), culprits.end(), [&crash](const auto &culprit) {
                      return crash.requests.contains(culprit);
                  });
        if (hasCulprit)
            explained.insert(crash.process);
    }
    std::vector<ServiceSubject> released;
    for (const auto &[key, state] : this->states) {
        const auto isInCulpritsCrash = [&explained](const UpstreamProcess &process) {
            return explained.contains(process);
        };
        const bool isCulprit
                = std::find(culprits.begin(), culprits.end(), key.subject) != culprits.end();
        if (key.service == service && key.subject.kind == culprits.front().kind && !isCulprit
            && state.isQuarantined && !state.processes.empty()
            && std::all_of(state.processes.begin(), state.processes.end(), isInCulpritsCrash))
            released.push_back(key);
    }
    for (const ServiceSubject &key : released)
        this->release(key, QuarantineCause::Explained, now);
}

QuarantineDecision Quarantine::admit(const ServiceId &service,
                                     const std::vector<QuarantineSubject> &subjects, bool mayTry,
                                     TimePoint now)
{
    QuarantineDecision decision;
    for (const QuarantineSubject &subject : subjects) {
        const auto found = this->states.find({service, subject});
        if (found == this->states.end() || !found->second.isQuarantined)
            continue;
        State &state = found->second;
        state.lastRefusedAt = now;
        if (now < state.until)
            return {QuarantineDecision::Kind::Refused, subject, state.until - now};
        if (subject.kind == SubjectKind::Request && state.trials >= this->limits.requestMaxTrials)
            return {QuarantineDecision::Kind::Refused, subject, this->limits.longestPause};
        if (!mayTry || state.trialUntil > now)
            return {QuarantineDecision::Kind::Refused, subject, this->limits.trialRetryAfter};
        decision = {QuarantineDecision::Kind::Trial, subject, {}};
    }
    if (decision.kind == QuarantineDecision::Kind::Trial) {
        for (const QuarantineSubject &subject : subjects) {
            const auto found = this->states.find({service, subject});
            if (found == this->states.end() || !found->second.isQuarantined)
                continue;
            found->second.trialUntil = now + this->limits.trialTimeout;
            if (subject.kind == SubjectKind::Request)
                this->startTrial(found->first, found->second, now);
        }
    }
    return decision;
}

bool Quarantine::isRefused(const ServiceId &service, const std::vector<QuarantineSubject> &subjects,
                           bool mayTry, TimePoint now) const
{
    return std::any_of(subjects.begin(), subjects.end(), [&](const QuarantineSubject &subject) {
        const auto found = this->states.find({service, subject});
        if (found == this->states.end() || !found->second.isQuarantined)
            return false;
        const State &state = found->second;
        const bool isOutOfTrials = subject.kind == SubjectKind::Request
                                   && state.trials >= this->limits.requestMaxTrials;
        return now < state.until || !mayTry || state.trialUntil > now || isOutOfTrials;
    });
}

void Quarantine::merge(const QuarantineEntry &entry, TimePoint now)
{
    this->expire(now);
    const auto known = this->states.find(entry.key);
    // What other instances still know would come back if it were evicted for it.
    if (known == this->states.end() && !this->reservePlace(entry.key.subject.kind, false))
        return;
    const Duration longest
            = entry.isQuarantined ? this->limits.longestPause : this->limits.releaseAge;
    const TimePoint until = now + std::clamp(entry.remaining, Duration(0), longest);
    if (known != this->states.end()) {
        State &state = known->second;
        if (entry.generation < state.generation)
            return;
        if (entry.generation == state.generation) {
            // Instances that decided by themselves have the same generation.
            if (entry.isQuarantined && state.isQuarantined) {
                state.trials = std::max(state.trials, entry.trials);
                if (until > state.until + this->limits.maxMessageDelay)
                    state.until = until;
            }
            if (entry.isQuarantined <= state.isQuarantined)
                return;
        }
    }
    if (!entry.isQuarantined)
        this->forgetCrashes(entry.key);
    State &state = this->states[entry.key];
    const bool isChange
            = state.isQuarantined != entry.isQuarantined || state.generation != entry.generation;
    state = {entry.generation, entry.isQuarantined, until, {},
             entry.crashes,    entry.trials,        {},    now};
    // The instances that quarantined the request need not have seen its complete answers. Those
    // may be older than its crashes, so this happens once.
    if (entry.isQuarantined && entry.key.subject.kind == SubjectKind::Request
        && entry.generation == 1 && this->ownCompletionsOf(entry.key) > 0) {
        this->release(entry.key, QuarantineCause::Completed, now);
        return;
    }
    if (isChange && this->onChange)
        this->onChange(makeEntry(entry.key, state, now), QuarantineCause::Learned);
}

std::vector<QuarantineEntry> Quarantine::entries(TimePoint now)
{
    this->expire(now);
    std::vector<QuarantineEntry> all;
    all.reserve(this->states.size());
    for (const auto &[key, state] : this->states)
        all.push_back(makeEntry(key, state, now));
    return all;
}

QuarantineEntry Quarantine::makeEntry(const ServiceSubject &key, const State &state, TimePoint now)
{
    return {key,
            state.generation,
            state.isQuarantined,
            std::max(Duration(0), state.until - now),
            state.crashes,
            state.trials};
}

/// Forgets evidence and released subjects that are too old.
void Quarantine::expire(TimePoint now)
{
    const TimePoint oldest = now - this->limits.evidenceAge;
    while (!this->completionTimes.empty()
           && (this->completionTimes.front().first < oldest
               || this->completionTimes.size() > this->limits.maxCompletions)) {
        const auto counted = this->completions.find(this->completionTimes.front().second);
        if (--counted->second == 0)
            this->completions.erase(counted);
        this->completionTimes.pop_front();
    }
    this->requestCompletions.expire(oldest);
    std::erase_if(this->reportedCompletions,
                  [oldest](const auto &item) { return item.second.at < oldest; });
    for (auto &[service, crashes] : this->crashesByService) {
        while (!crashes.empty() && crashes.front().at < oldest)
            crashes.pop_front();
    }
    std::erase_if(this->crashesByService, [](const auto &item) { return item.second.empty(); });
    std::erase_if(this->states, [&](const auto &item) {
        const auto &[key, state] = item;
        // What may still be sent of a whole request is bounded for the whole time, so that it
        // leaves only for another one.
        if (state.isQuarantined && key.subject.kind == SubjectKind::Request)
            return false;
        // A part that nobody asks for any more keeps no place for ever.
        return state.until + (state.isQuarantined ? this->limits.longestPause : Duration(0)) < now;
    });
}

} // namespace bamboochute::gateway
