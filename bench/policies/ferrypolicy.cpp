#include "policy.h"
#include "snipeferry/admission/requestqueue.h"
#include "snipeferry/peak/peakledger.h"
#include "snipeferry/routing/router.h"

#include <map>
#include <unordered_map>

namespace bench {

namespace {

using namespace snipeferry;

const core::ServiceId assistant("assistant");
const core::VersionId version("v1");
constexpr double HEARTBEAT_SECONDS = 0.5;
constexpr double PUMP_SECONDS = 0.05;
constexpr double CACHE_EVENT_LAG_SECONDS = 2;
constexpr int CACHE_EVENTS_LOST_PERCENT = 5;
constexpr Tokens TOKENS_PER_BLOCK = 500;
constexpr int MAX_ATTEMPTS = 3;

/** A request on its way through one or two instances. */
struct Flight
{
    const Arrival *arrival = nullptr;
    int origin = -1;
    /** Instance that it was sent on to, or -1. */
    int forwardedTo = -1;
    int attempts = 0;
    Tokens reservedLeft = 0;
    std::vector<core::BackendServerId> excluded;
};

/** The decision parts of one entry instance. */
struct Instance
{
    Instance(membership::InstanceDescription description, int ownRegion, core::TimerService &timers, std::uint64_t seed)
        : self(std::move(description)),
          region(ownRegion),
          router(self.dataCentre, seed, timers),
          queue({}),
          ledger(self, timers, outbox)
    {
    }

    membership::InstanceDescription self;
    int region;
    messages::Outbox outbox;
    routing::Router router;
    admission::RequestQueue queue;
    peak::PeakLedger ledger;
    std::vector<membership::ServiceLoad> loads;
};

core::RequestId requestId(const Arrival &arrival)
{
    return core::RequestId(std::to_string(arrival.number));
}

/** Steps the same parts as the daemon: router, queue and ledger of every instance. */
class FerryPolicy : public Policy
{
public:
    FerryPolicy(World &world, std::vector<Outcome> &outcomes, std::uint64_t seed)
        : Policy(world, outcomes, seed)
    {
        const configuration::Configuration configuration = world.scenario().configuration();
        for (int region = 0; region < static_cast<int>(configuration.regions.size()); ++region) {
            for (int i = 0; i < world.scenario().regions[static_cast<std::size_t>(region)].instances; ++i) {
                membership::InstanceDescription self;
                self.id = core::InstanceId("i" + std::to_string(m_instances.size()));
                self.incarnation = 1;
                self.dataCentre = configuration.regions[static_cast<std::size_t>(region)].dataCentres.front().id;
                m_instances.push_back(std::make_unique<Instance>(self, region, world.timers(), seed + m_instances.size()));
                m_instances.back()->router.configure(configuration);
                m_instances.back()->ledger.configure(configuration);
            }
        }
        readDirectory();
        heartbeat();
        reportLoads();
        pumpAll();
        world.cacheChanged = [this](const CacheChange &change) {
            reportCache(change);
        };
        world.faultChanged = [this] {
            m_world.at(m_world.now() + DIRECTORY_LAG_SECONDS, [this] { readDirectory(); });
            m_world.at(m_world.now() + LINK_DETECTION_SECONDS, [this] { giveUpCut(); });
        };
    }

    void arrive(const Arrival &arrival) override
    {
        if (!arrival.isInsideRate) {
            refuse(arrival);
            return;
        }
        std::vector<int> near;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (m_instances[i]->region == arrival.region) {
                near.push_back(static_cast<int>(i));
            }
        }
        Flight &flight = m_flights[arrival.number];
        flight.arrival = &arrival;
        flight.origin = near[m_random() % near.size()];
        enqueue(flight, flight.origin);
    }

private:
    absl::Time deadline(const Flight &flight) const
    {
        const Arrival &arrival = *flight.arrival;
        return m_epoch + absl::Seconds(arrival.time + kind(arrival).deadlineSeconds);
    }

    const Kind &kind(const Arrival &arrival) const
    {
        return m_world.scenario().kinds[static_cast<std::size_t>(arrival.kind)];
    }

    std::vector<core::RegionId> allowedRegions(const Arrival &arrival) const
    {
        std::vector<core::RegionId> allowed;
        for (std::size_t i = 0; i < m_world.scenario().regions.size(); ++i) {
            if (m_world.scenario().isAllowed(arrival.customer, static_cast<int>(i))) {
                allowed.emplace_back(m_world.scenario().regions[i].id);
            }
        }
        return allowed;
    }

    void enqueue(Flight &flight, int at)
    {
        const Arrival &arrival = *flight.arrival;
        Instance &instance = *m_instances[static_cast<std::size_t>(at)];
        const absl::Time now = m_world.timers().now();
        admission::QueuedRequest queued;
        queued.request = requestId(arrival);
        queued.customer = core::CustomerId(m_world.scenario().customers[static_cast<std::size_t>(arrival.customer)].id);
        queued.service = assistant;
        queued.weight = m_world.scenario().customers[static_cast<std::size_t>(arrival.customer)].weight;
        queued.cost = arrival.bound;
        queued.deadline = deadline(flight);

        const bool isFull = instance.router.freeSlots(assistant, version) == 0;
        const bool isEstimated = isFull && kind(arrival).holdSeconds <= 0;
        const absl::Time start = isEstimated ? instance.queue.expectedStart(queued.customer, queued.weight, queued.cost, now) : now;
        if (!instance.queue.push(queued, start)) {
            giveUp(flight);
            return;
        }
        pump(at);
    }

    absl::Duration holdLeft(const Flight &flight) const
    {
        const double share = peak::holdShare(requestId(*flight.arrival));
        return m_epoch + absl::Seconds(flight.arrival->time + kind(*flight.arrival).holdSeconds * share) - m_world.timers().now();
    }

    peak::PeakAdvice adviceFor(const Flight &flight, const Instance &instance) const
    {
        const Arrival &arrival = *flight.arrival;
        return instance.ledger.advise({arrival.bound, allowedRegions(arrival), std::max(absl::ZeroDuration(), holdLeft(flight))});
    }

    void giveUp(Flight &flight)
    {
        releaseOrigin(flight, false);
        refuse(*flight.arrival);
    }

    void releaseOrigin(const Flight &flight, bool hasFailed)
    {
        if (flight.forwardedTo >= 0) {
            m_instances[static_cast<std::size_t>(flight.origin)]->router.finished(requestId(*flight.arrival), hasFailed);
        }
    }

    routing::RouteQuery routeQuery(const Flight &flight, const Instance &instance) const
    {
        const Arrival &arrival = *flight.arrival;
        routing::RouteQuery query;
        query.request = requestId(arrival);
        query.service = assistant;
        query.version = version;
        query.allowedRegions = allowedRegions(arrival);
        query.tokenBound = arrival.bound;
        query.promptTokens = arrival.prompt;
        query.bodyBytes = static_cast<std::size_t>(static_cast<double>(arrival.prompt) * BITS_PER_PROMPT_TOKEN / 8);
        query.isForwarded = flight.forwardedTo >= 0;
        query.excluded = flight.excluded;
        const Tokens prefixBlocks = kind(arrival).prefixTokens / TOKENS_PER_BLOCK;
        for (Tokens block = 0; block < std::max<Tokens>(1, arrival.prompt / TOKENS_PER_BLOCK); ++block) {
            const bool isShared = block < std::max<Tokens>(1, prefixBlocks);
            query.prefixHashes.push_back(isShared ? arrival.prefix + static_cast<std::uint64_t>(block)
                                                  : (std::uint64_t{1} << 60) + static_cast<std::uint64_t>(arrival.number * std::int64_t{1000} + block));
        }
        if (!query.isForwarded) {
            query.preferredRegions = adviceFor(flight, instance).regions;
        }
        return query;
    }

    void pump(int at)
    {
        Instance &instance = *m_instances[static_cast<std::size_t>(at)];
        const absl::Time now = m_world.timers().now();
        const auto canRun = [&](const admission::QueuedRequest &queued) {
            // What may wait for the sake of the peak minute stays in line.
            const Flight &flight = m_flights.at(std::stoi(queued.request.value()));
            const bool isHeld = flight.forwardedTo < 0 && adviceFor(flight, instance).verdict == peak::PeakAdvice::Verdict::Hold;
            return !isHeld && instance.router.choose(routeQuery(flight, instance)).has_value();
        };
        for (std::optional<admission::QueuedRequest> next = instance.queue.pop(now, canRun); next.has_value(); next = instance.queue.pop(now, canRun)) {
            dispatch(m_flights.at(std::stoi(next->request.value())), at);
        }
    }

    void dispatch(Flight &flight, int at)
    {
        Instance &instance = *m_instances[static_cast<std::size_t>(at)];
        const routing::RouteQuery query = routeQuery(flight, instance);
        const core::Expected<routing::RouteChoice> choice = instance.router.choose(query);
        if (!choice) {
            enqueueLater(flight, at);
            return;
        }
        instance.router.started(query, *choice);
        if (choice->isLocal()) {
            runLocally(flight, at, std::stoi(choice->backendServer.value()));
            return;
        }
        instance.ledger.noteMoved(choice->region, flight.arrival->bound);
        m_violations += flight.forwardedTo >= 0 ? 1 : 0;
        const int target = std::stoi(choice->instance.value().substr(1));
        flight.forwardedTo = target;
        const Arrival &arrival = *flight.arrival;
        m_world.transfer(instance.region, m_instances[static_cast<std::size_t>(target)]->region, BITS_PER_PROMPT_TOKEN * static_cast<double>(arrival.prompt),
            [this, &flight, target] {
                if (flight.forwardedTo == target && !isEnded(*flight.arrival)) {
                    enqueue(flight, target);
                }
            });
    }

    void enqueueLater(Flight &flight, int at)
    {
        m_world.at(m_world.now() + PUMP_SECONDS, [this, &flight, at] { enqueue(flight, at); });
    }

    void runLocally(Flight &flight, int at, int engine)
    {
        const Arrival &arrival = *flight.arrival;
        Instance &instance = *m_instances[static_cast<std::size_t>(at)];
        Job job = answeringJob(arrival, engine);
        flight.reservedLeft = arrival.bound;
        instance.ledger.reserve(flight.reservedLeft);
        job.used = [&flight, &instance](Tokens tokens) {
            instance.ledger.record(tokens);
            const Tokens released = std::min(tokens, flight.reservedLeft);
            instance.ledger.release(released);
            flight.reservedLeft -= released;
        };
        job.ended = [this, &flight, &instance, at, engine, answer = std::move(job.ended)](bool hasFailed) {
            instance.ledger.release(flight.reservedLeft);
            flight.reservedLeft = 0;
            instance.router.finished(requestId(*flight.arrival), hasFailed);
            if (hasFailed) {
                flight.excluded.emplace_back(std::to_string(engine));
                m_failedAt = at;
            } else {
                releaseOrigin(flight, false);
            }
            answer(hasFailed);
            pump(at);
        };
        m_world.submit(engine, std::move(job));
    }

    void failedEarly(const Arrival &arrival) override
    {
        Flight &flight = m_flights.at(arrival.number);
        if (++flight.attempts >= MAX_ATTEMPTS) {
            giveUp(flight);
            return;
        }
        enqueue(flight, m_failedAt);
    }

    /** Ends or retries requests that were sent over a link that is now cut. */
    void giveUpCut()
    {
        for (auto &entry : m_flights) {
            Flight &flight = entry.second;
            if (flight.forwardedTo < 0 || isEnded(*flight.arrival)
                || !m_world.isCut(flight.arrival->region, m_instances[static_cast<std::size_t>(flight.forwardedTo)]->region)) {
                continue;
            }
            m_instances[static_cast<std::size_t>(flight.forwardedTo)]->queue.remove(requestId(*flight.arrival));
            releaseOrigin(flight, true);
            flight.forwardedTo = -1;
            if (outcome(*flight.arrival).firstToken >= 0) {
                outcome(*flight.arrival).isFailed = true;
                continue;
            }
            abandonAttempts(*flight.arrival);
            enqueue(flight, flight.origin);
        }
    }

    // What surrounds the parts: directory, heartbeats, load reports, cache events, ledger messages, platform.

    void readDirectory()
    {
        std::vector<platform::BackendServer> servers;
        for (const Engine &engine : m_world.engines()) {
            if (engine.isUp) {
                const core::DataCentreId dataCentre(m_world.scenario().regions[static_cast<std::size_t>(engine.region)].id + "-1");
                servers.push_back(
                    {core::BackendServerId(std::to_string(engine.index)), dataCentre, assistant, version, "", m_world.scenario().slots, false, false, false});
            }
        }
        for (const auto &instance : m_instances) {
            instance->router.setDirectory(servers);
        }
    }

    void heartbeat()
    {
        for (const auto &instance : m_instances) {
            std::vector<membership::Member> members;
            std::vector<membership::InstanceDescription> reachable;
            for (const auto &other : m_instances) {
                if (other == instance || m_world.isCut(instance->region, other->region)) {
                    continue;
                }
                membership::Member member;
                member.description = other->self;
                member.isUsable = true;
                member.isLinked = true;
                member.loads = other->loads;
                members.push_back(member);
                reachable.push_back(other->self);
            }
            instance->router.setMembers(members);
            instance->ledger.setMembers(reachable);
        }
        for (const auto &instance : m_instances) {
            instance->loads = instance->router.loads();
        }
        m_world.at(m_world.now() + HEARTBEAT_SECONDS, [this] { heartbeat(); });
    }

    void reportLoads()
    {
        for (const Engine &engine : m_world.engines()) {
            const messages::LoadReported report{
                core::BackendServerId(std::to_string(engine.index)), static_cast<int>(engine.running.size()), static_cast<int>(engine.waiting.size())};
            m_world.at(m_world.now() + LOAD_REPORT_SECONDS / 2, [this, report, region = engine.region] {
                for (const auto &instance : m_instances) {
                    if (instance->region == region) {
                        instance->router.handle(report);
                    }
                }
            });
        }
        m_world.at(m_world.now() + LOAD_REPORT_SECONDS, [this] { reportLoads(); });
    }

    void reportCache(const CacheChange &change)
    {
        if (static_cast<int>(m_random() % 100) < CACHE_EVENTS_LOST_PERCENT) {
            return;
        }
        const auto blocks = [this](std::uint64_t prefix, std::vector<std::uint64_t> &out) {
            const Kind &kind = m_world.scenario().kinds[static_cast<std::size_t>(prefix / 100'000 / 100'000 / 100)];
            for (Tokens block = 0; block < std::max<Tokens>(1, kind.prefixTokens / TOKENS_PER_BLOCK); ++block) {
                out.push_back(prefix + static_cast<std::uint64_t>(block));
            }
        };
        messages::CacheReported report{core::BackendServerId(std::to_string(change.engine)), change.sequence, {}, {}};
        blocks(change.stored, report.stored);
        for (const std::uint64_t prefix : change.evicted) {
            blocks(prefix, report.evicted);
        }
        m_world.at(m_world.now() + CACHE_EVENT_LAG_SECONDS, [this, report = std::move(report)] {
            for (const auto &instance : m_instances) {
                instance->router.handle(report);
            }
        });
    }

    void pumpAll()
    {
        for (std::size_t at = 0; at < m_instances.size(); ++at) {
            for (const admission::QueuedRequest &expired : m_instances[at]->queue.takeExpired(m_world.timers().now())) {
                giveUp(m_flights.at(std::stoi(expired.request.value())));
            }
            if (m_instances[at]->queue.size() > 0) {
                pump(static_cast<int>(at));
            }
            carryOut(*m_instances[at]);
        }
        m_world.at(m_world.now() + PUMP_SECONDS, [this] { pumpAll(); });
    }

    void carryOut(Instance &instance)
    {
        for (const messages::Action &action : instance.outbox.take()) {
            if (const messages::SendToPeer *send = std::get_if<messages::SendToPeer>(&action)) {
                Instance &target = *m_instances[static_cast<std::size_t>(std::stoi(send->to.value().substr(1)))];
                m_world.transfer(instance.region, target.region, 8000,
                    [&target, message = messages::PeerReceived{instance.self.id, send->message}] { target.ledger.handle(message); });
            } else if (const platform::Call *call = std::get_if<platform::Call>(&action)) {
                callPlatform(instance, *call);
            }
        }
    }

    void callPlatform(Instance &instance, const platform::Call &call)
    {
        platform::Reply reply;
        reply.id = call.id;
        if (!m_world.isCut(instance.region, 0)) {
            reply.outcome = platform::Outcome::Answered;
            const platform::Transaction *transaction = std::get_if<platform::Transaction>(&call.request);
            if (transaction != nullptr) {
                platform::KeyValue &stored = m_store[transaction->writes.front().key];
                reply.succeeded = stored.modRevision == transaction->conditions.front().modRevision;
                if (reply.succeeded) {
                    stored = {transaction->writes.front().key, *transaction->writes.front().value, ++m_storeRevision};
                } else if (stored.modRevision > 0) {
                    reply.values.push_back(stored);
                }
            }
            reply.storeRevision = m_storeRevision;
        }
        instance.ledger.handle(messages::PlatformReplied{reply});
    }

    std::vector<std::unique_ptr<Instance>> m_instances;
    std::unordered_map<int, Flight> m_flights;
    std::map<std::string, platform::KeyValue> m_store;
    std::int64_t m_storeRevision = 0;
    int m_failedAt = -1;
    const absl::Time m_epoch = m_world.timers().now();
};

} // namespace

std::unique_ptr<Policy> makeFerryPolicy(World &world, std::vector<Outcome> &outcomes, std::uint64_t seed)
{
    return std::make_unique<FerryPolicy>(world, outcomes, seed);
}

} // namespace bench
