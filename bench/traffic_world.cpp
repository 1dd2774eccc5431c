#include "traffic_world.hpp"

#include "traffic_upstream.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace bamboochute::bench {

namespace {

const DataCentreId dataCentre("quito-norte");
const Target target{ModelId("drafting@1"), {}};

/// Distribution of prefixes (style books) over requests: the n-th is drawn in proportion to 1/n.
class PrefixDistribution
{
public:
    explicit PrefixDistribution(std::uint32_t prefixCount)
    {
        double total = 0;
        for (std::uint32_t i = 1; i <= prefixCount; ++i)
            this->sums.push_back(total += 1.0 / i);
    }

    std::uint32_t draw(Random &random) const
    {
        if (this->sums.empty())
            return 0;
        const double at = random.unit() * this->sums.back();
        const auto found = std::lower_bound(this->sums.begin(), this->sums.end(), at);
        return static_cast<std::uint32_t>(found - this->sums.begin()) + 1;
    }

private:
    std::vector<double> sums;
};

class TrafficSimulation
{
public:
    explicit TrafficSimulation(const TrafficSettings &settings)
        : settings(settings)
        , random(settings.seed)
        , prefixDistribution(settings.prefixCount)
    {
        for (const TrafficClass &each : settings.classes)
            this->callerClasses.push_back(each.callerClass);
        for (std::uint32_t i = 0; i < settings.upstreams; ++i) {
            const UpstreamId id("w" + std::to_string(i));
            this->ids.push_back(id);
            this->upstreams.push_back(std::make_unique<TrafficUpstream>(
                    this->time, settings.slots, settings.cachedPrefixes, settings.prefixSeconds));
            this->indexOf[id] = i;
        }
        for (std::uint32_t i = 0; i < settings.instances; ++i)
            this->instances.push_back(std::make_unique<Instance>(*this, i));
    }

    TrafficResult run()
    {
        this->reportLoads();
        this->scheduleArrival();
        this->measuredFrom = this->time.now() + this->settings.warmUp;
        this->end = this->measuredFrom + this->settings.runTime;
        this->time.runUntil(this->measuredFrom);
        std::vector<double> busyBefore;
        std::vector<std::uint64_t> requestsBefore;
        for (const auto &upstream : this->upstreams) {
            busyBefore.push_back(upstream->busySeconds());
            requestsBefore.push_back(upstream->requests());
            this->hitsBefore += upstream->hits();
        }
        this->time.runUntil(this->end);
        this->measureLoads(busyBefore, requestsBefore);
        this->time.runUntil(this->end + std::chrono::minutes(1));
        return this->result;
    }

private:
    struct Attempt
    {
        std::uint32_t upstream = 0;
        JobPointer job;
    };

    struct Request
    {
        CallerClassId callerClass;
        std::int32_t priority = 0;
        TimePoint arrival;
        TimePoint deadline;
        std::uint32_t prefix = 0;
        double serviceSeconds = 0;
        std::vector<Attempt> attempts;
        bool isMeasured = false;
        bool isDone = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Instance
    {
        Instance(TrafficSimulation &simulation, std::uint32_t index)
            : ejector(metrics)
            , router(dataCentre, simulation.settings.seed * 1000 + index,
                     simulation.settings.routerLimits)
            , queue(simulation.callerClasses)
        {
            this->router.setShare(index, simulation.settings.instances);
        }

        Metrics metrics;
        admission::Ejector ejector;
        admission::Router router;
        admission::RequestQueue queue;
        std::map<admission::Ticket, RequestPointer> waiting;
        TimePoint expiryAt{};
        std::uint32_t roundRobinNext = 0;
    };

    Duration randomTime(double meanSeconds)
    {
        const std::chrono::duration<double> seconds(this->random.exponential(meanSeconds));
        return std::chrono::duration_cast<Duration>(seconds);
    }

    double capacity() const
    {
        return this->settings.upstreams * this->settings.slots / this->settings.meanServiceSeconds;
    }

    /// Takes a snapshot of the upstreams' loads, which every instance receives one lag later; the
    /// first one at once.
    void reportLoads()
    {
        auto table = std::make_shared<RoutingTable>();
        for (std::uint32_t i = 0; i < this->ids.size(); ++i) {
            UpstreamState &state = table->upstreams[this->ids[i]];
            state.spec.id = this->ids[i];
            state.spec.dataCentre = dataCentre;
            state.spec.maxConcurrent = this->settings.slots;
            state.reportedLoad = this->upstreams[i]->load();
            table->replicas[target].push_back(this->ids[i]);
        }
        const bool isFirst = this->reportedTable == nullptr;
        const Duration lag = isFirst ? Duration::zero() : this->settings.reportLag;
        this->time.after(lag, [this, table] {
            this->reportedTable = table;
            for (const auto &instance : this->instances) {
                instance->router.update(table);
                this->dispatchWaiting(*instance);
            }
        });
        if (isFirst)
            this->reportedTable = table;
        this->time.after(this->settings.reportInterval, [this] { this->reportLoads(); });
    }

    void scheduleArrival()
    {
        const double rate = this->settings.load * this->capacity();
        this->time.after(this->randomTime(1.0 / rate), [this] {
            if (this->time.now() >= this->end)
                return;
            this->receive(this->pickInstance());
            this->scheduleArrival();
        });
    }

    Instance &pickInstance()
    {
        const std::size_t half = this->instances.size() / 2;
        const std::uint64_t place = this->random.below(half);
        const bool isFirstHalf = this->random.chance(this->settings.firstHalfShare);
        return *this->instances[isFirstHalf ? place : half + place];
    }

    void receive(Instance &instance)
    {
        const TrafficClass &drawn = this->drawClass();
        const auto request = std::make_shared<Request>();
        request->callerClass = drawn.callerClass.id;
        request->priority = drawn.callerClass.enginePriority;
        request->arrival = this->time.now();
        request->deadline = this->time.now() + drawn.deadline;
        request->prefix = this->prefixDistribution.draw(this->random);
        const double fixed = request->prefix == 0 ? 0.0 : this->settings.prefixSeconds;
        request->serviceSeconds
                = fixed + this->random.exponential(this->settings.meanServiceSeconds - fixed);
        request->isMeasured = this->time.now() >= this->measuredFrom;
        ClassResult &result = this->resultOf(*request);
        ++result.offered;
        this->countPossibleHit(*request);
        if (this->settings.policy != RoutingPolicy::Router) {
            this->send(instance, request, this->pickByReport(instance));
            return;
        }
        const std::chrono::duration<double> service(this->settings.meanServiceSeconds);
        const auto ticket = instance.queue.offer({request->callerClass,
                                                  target,
                                                  request->deadline,
                                                  std::chrono::duration_cast<Duration>(service),
                                                  1000,
                                                  {}},
                                                 this->time.now());
        if (!ticket) {
            const bool isFull = ticket.error().kind() == ErrorKind::QueueFull;
            ++(isFull ? result.refusedFull : result.refusedEarly);
            return;
        }
        instance.waiting[ticket.value()] = request;
        this->dispatchWaiting(instance);
    }

    const TrafficClass &drawClass()
    {
        double at = this->random.unit();
        for (const TrafficClass &each : this->settings.classes) {
            at -= each.share;
            if (at < 0)
                return each;
        }
        return this->settings.classes.back();
    }

    /// A hit is possible once an earlier request with the same prefix has arrived.
    void countPossibleHit(const Request &request)
    {
        const bool isFirst
                = request.prefix != 0 && this->seenPrefixes.insert(request.prefix).second;
        if (request.isMeasured && request.prefix != 0 && !isFirst)
            ++this->result.possibleHits;
    }

    ClassResult &resultOf(const Request &request)
    {
        return request.isMeasured ? this->result.classes[request.callerClass]
                                  : this->unmeasuredResult;
    }

    void dispatchWaiting(Instance &instance)
    {
        const auto candidates = instance.router.replicas(target);
        const std::uint32_t slots = instance.router.slots(candidates);
        const auto queryFor = [&](const CallerClassId &id) {
            const auto found = std::find_if(this->callerClasses.begin(), this->callerClasses.end(),
                                            [&](const CallerClass &each) { return each.id == id; });
            return admission::RouteQuery{candidates,
                                         0,
                                         admission::headroomFor(*found, this->callerClasses, slots),
                                         admission::overflowFor(*found, this->callerClasses),
                                         {}};
        };
        const auto canDispatch = [&](const Target &, const CallerClassId &id) {
            return instance.router.canPick(queryFor(id), instance.ejector, this->time.now());
        };
        while (const auto next = instance.queue.takeNext(this->time.now(), canDispatch)) {
            const auto entry = instance.waiting.extract(next->ticket);
            const RequestPointer &request = entry.mapped();
            admission::RouteQuery query = queryFor(request->callerClass);
            query.prefix = request->prefix;
            const auto upstream = instance.router.pick(query, instance.ejector, this->time.now());
            this->send(instance, request, this->indexOf.at(upstream.value()));
        }
        this->scheduleExpiry(instance);
    }

    void scheduleExpiry(Instance &instance)
    {
        const auto next = instance.queue.nextExpiry();
        const bool isScheduled = instance.expiryAt > this->time.now();
        if (!next || (isScheduled && instance.expiryAt <= *next))
            return;
        instance.expiryAt = *next;
        this->time.at(*next, [this, &instance] {
            for (const auto &expired : instance.queue.expire(this->time.now())) {
                const auto entry = instance.waiting.extract(expired.request.ticket);
                ++this->resultOf(*entry.mapped()).expired;
                this->recordLateness(*entry.mapped());
            }
            this->scheduleExpiry(instance);
        });
    }

    std::uint32_t pickByReport(Instance &instance)
    {
        const auto count = static_cast<std::uint32_t>(this->ids.size());
        const auto loadOf = [this](std::uint32_t index) {
            return this->reportedTable->upstreams.at(this->ids[index]).reportedLoad;
        };
        if (this->settings.policy == RoutingPolicy::RoundRobin)
            return instance.roundRobinNext++ % count;
        if (this->settings.policy == RoutingPolicy::TwoReportedLoads) {
            const auto first = static_cast<std::uint32_t>(this->random.below(count));
            const auto second = static_cast<std::uint32_t>(this->random.below(count));
            return loadOf(first) <= loadOf(second) ? first : second;
        }
        const auto start = static_cast<std::uint32_t>(this->random.below(count));
        std::uint32_t best = start;
        for (std::uint32_t i = 0; i < count; ++i) {
            const std::uint32_t index = (start + i) % count;
            best = loadOf(index) < loadOf(best) ? index : best;
        }
        return best;
    }

    void send(Instance &instance, const RequestPointer &request, std::uint32_t index)
    {
        this->startAttempt(instance, request, index);
        this->time.at(request->deadline, [this, &instance, request] {
            if (request->isDone)
                return;
            ++this->resultOf(*request).cancelledAtDeadline;
            this->finishRequest(instance, request);
        });
        if (this->settings.hedgeAfter > Duration::zero())
            this->time.after(this->settings.hedgeAfter,
                             [=, this, &instance] { this->hedgeRequest(instance, request); });
    }

    void hedgeRequest(Instance &instance, const RequestPointer &request)
    {
        if (request->isDone)
            return;
        const UpstreamId &first = this->ids[request->attempts.front().upstream];
        const admission::RouteQuery query{instance.router.replicas(target), 0, 0, 0, {first}};
        const auto second = instance.router.pick(query, instance.ejector, this->time.now());
        if (!second)
            return;
        this->result.hedges += request->isMeasured ? 1 : 0;
        this->startAttempt(instance, request, this->indexOf.at(*second));
    }

    void startAttempt(Instance &instance, const RequestPointer &request, std::uint32_t index)
    {
        instance.router.recordStart(this->ids[index], this->time.now());
        const auto job = std::make_shared<Job>();
        job->priority = request->priority;
        job->prefix = request->prefix;
        job->serviceSeconds = request->serviceSeconds;
        if (index == 0)
            job->serviceSeconds *= this->settings.slowFactor;
        job->onStart = [this, request] {
            this->resultOf(*request).queueing.push_back(this->time.now() - request->arrival);
        };
        job->onEnd = [this, &instance, request] { this->completeInTime(instance, request); };
        request->attempts.push_back({index, job});
        this->upstreams[index]->add(job);
    }

    void completeInTime(Instance &instance, const RequestPointer &request)
    {
        ClassResult &result = this->resultOf(*request);
        ++result.answeredInTime;
        const bool isCounted
                = this->time.now() >= this->measuredFrom && this->time.now() < this->end;
        this->goodAnswers += isCounted ? 1 : 0;
        result.latency.push_back(this->time.now() - request->arrival);
        this->finishRequest(instance, request);
    }

    /// Marks a request as done and cancels its unfinished attempts.
    void finishRequest(Instance &instance, const RequestPointer &request)
    {
        request->isDone = true;
        for (const Attempt &attempt : request->attempts) {
            instance.router.recordFinish(this->ids[attempt.upstream]);
            if (!attempt.job->isEnded)
                this->upstreams[attempt.upstream]->cancel(attempt.job);
        }
        request->attempts.clear();
        this->recordLateness(*request);
        this->dispatchWaiting(instance);
    }

    void recordLateness(const Request &request)
    {
        ClassResult &result = this->resultOf(request);
        result.maxLateness = std::max(result.maxLateness, this->time.now() - request.deadline);
    }

    void measureLoads(const std::vector<double> &busyBefore,
                      const std::vector<std::uint64_t> &requestsBefore)
    {
        double maxBusy = 0;
        double totalBusy = 0;
        double maxRequests = 0;
        double totalRequests = 0;
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            const double busy = this->upstreams[i]->busySeconds() - busyBefore[i];
            const auto requests
                    = static_cast<double>(this->upstreams[i]->requests() - requestsBefore[i]);
            maxBusy = std::max(maxBusy, busy);
            totalBusy += busy;
            maxRequests = std::max(maxRequests, requests);
            totalRequests += requests;
            this->result.hits += this->upstreams[i]->hits();
        }
        this->result.hits -= this->hitsBefore;
        const auto count = static_cast<double>(this->upstreams.size());
        this->result.busyRatio = maxBusy * count / totalBusy;
        this->result.loadRatio = maxRequests * count / totalRequests;
        this->result.goodput = static_cast<double>(this->goodAnswers)
                               / toSeconds(this->settings.runTime) / this->capacity();
    }

    TrafficSettings settings;
    Random random;
    PrefixDistribution prefixDistribution;
    VirtualTime time;
    TimePoint measuredFrom{};
    TimePoint end = TimePoint::max();
    std::vector<CallerClass> callerClasses;
    std::vector<UpstreamId> ids;
    std::map<UpstreamId, std::uint32_t> indexOf;
    std::vector<std::unique_ptr<TrafficUpstream>> upstreams;
    std::vector<std::unique_ptr<Instance>> instances;
    RoutingTablePointer reportedTable;
    std::set<std::uint32_t> seenPrefixes;
    std::uint64_t goodAnswers = 0;
    std::uint64_t hitsBefore = 0;
    TrafficResult result;
    ClassResult unmeasuredResult;
};

} // namespace

Duration quantile(std::vector<Duration> values, double share)
{
    if (values.empty())
        return Duration::zero();
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

TrafficResult simulateTraffic(const TrafficSettings &settings)
{
    return TrafficSimulation(settings).run();
}

} // namespace bamboochute::bench
