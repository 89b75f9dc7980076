#include "snipeferry/routing/router.h"

#include "snipeferry/routing/linkbudget.h"
#include "snipeferry/routing/prefixindex.h"
#include "snipeferry/routing/remotedatacentres.h"
#include "snipeferry/routing/serverpool.h"

#include <algorithm>
#include <optional>
#include <random>

namespace snipeferry::routing {

namespace {

constexpr absl::Duration REFRESH_INTERVAL = absl::Seconds(1);
constexpr double PREFILL_TOKENS_PER_SECOND = 8000;
/** Additional delay of the first token on a backend server whose slots are all in use, compared with an idle one. */
constexpr double FULL_LOAD_DELAY_SECONDS = 0.5;
/** Penalty, at a weight of 1000, for running a request outside this region. */
constexpr double LEAVE_REGION_PENALTY_SECONDS = 0.5;
/** Highest penalty, at a weight of 1000, for a region that the peak ledger does not prefer. */
constexpr double PEAK_PENALTY_SECONDS = 60;
constexpr double BITS_PER_BYTE = 8;
/** Assumed size of one generated token in an event stream. */
constexpr double STREAM_BYTES_PER_TOKEN = 200;
constexpr int PERMILLE = 1000;

/** A started request, kept until finished() releases its slot. */
struct Charge
{
    RouteChoice choice;
    PoolKey key;
};

/** A possible destination of a request; the lowest score wins. */
struct Candidate
{
    /** Local backend server, or -1. */
    ServerIndex server = -1;
    std::size_t cachedBlocks = 0;
    /** Remote data centre, or nullptr. */
    const RemoteDataCentre *remote = nullptr;
    double score = 0;
};

bool contains(const std::vector<core::RegionId> &regions, const core::RegionId &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

double estimatedTransferBits(const RouteQuery &query)
{
    const double generated = static_cast<double>(std::max<core::Tokens>(0, query.tokenBound - query.promptTokens));
    return (static_cast<double>(query.bodyBytes) + generated * STREAM_BYTES_PER_TOKEN) * BITS_PER_BYTE;
}

} // namespace

class Router::Impl
{
public:
    Impl(core::DataCentreId dataCentre, std::uint64_t seed, core::TimerService &timers)
        : m_dataCentre(std::move(dataCentre)),
          m_random(seed),
          m_timers(timers),
          m_refreshTimer(timers.every(REFRESH_INTERVAL, [this] { m_pool.refresh(m_timers.now()); }))
    {
    }

    core::Expected<RouteChoice> choose(const RouteQuery &query)
    {
        const PoolKey key{query.service, query.version};
        const bool isOwnRegionAllowed = contains(query.allowedRegions, m_region);
        if (query.allowedRegions.empty() || (query.isForwarded && !isOwnRegionAllowed)) {
            return tl::make_unexpected(core::makeError(core::ErrorKind::RegionNotAllowed, "The request may not run in this region."));
        }

        // Compare the best local backend server with the other allowed data centres.
        std::optional<Candidate> best;
        bool hasServers = false;
        if (isOwnRegionAllowed) {
            hasServers = m_pool.hasServers(key);
            best = bestLocalCandidate(query, key);
        }
        if (!query.isForwarded) {
            hasServers = considerRemote(query, key, best) || hasServers;
        }

        if (best.has_value()) {
            return toChoice(query, *best);
        }
        if (!hasServers) {
            return tl::make_unexpected(
                core::makeError(core::ErrorKind::NoBackendServer, "No backend server of the service is known in a permitted region.", absl::Seconds(1)));
        }
        return tl::make_unexpected(core::makeError(core::ErrorKind::Overloaded, "All permitted backend servers are full.", absl::Seconds(1)));
    }

    void started(const RouteQuery &query, const RouteChoice &choice)
    {
        const PoolKey key{query.service, query.version};
        m_charges[query.request] = {choice, key};
        if (!choice.isLocal()) {
            m_remoteDataCentres.start(choice.instance, key);
            if (choice.region != m_region) {
                m_linkBudget.charge(choice.region, estimatedTransferBits(query), m_timers.now());
            }
            return;
        }
        const ServerIndex server = m_pool.indexOf(choice.backendServer);
        if (server >= 0) {
            m_pool.start(server);
            m_prefixes.addExpected(server, query.prefixHashes);
        }
    }

    void finished(const core::RequestId &request, bool hasFailed)
    {
        const auto it = m_charges.find(request);
        if (it == m_charges.end()) {
            return;
        }
        const Charge charge = it->second;
        m_charges.erase(it);
        if (!charge.choice.isLocal()) {
            m_remoteDataCentres.finish(charge.choice.instance, charge.key);
            return;
        }
        const ServerIndex server = m_pool.indexOf(charge.choice.backendServer);
        if (server >= 0) {
            m_pool.finish(server, hasFailed, m_timers.now());
        }
    }

    void setDirectory(const std::vector<platform::BackendServer> &backendServers)
    {
        std::vector<platform::BackendServer> local;
        std::copy_if(backendServers.begin(), backendServers.end(), std::back_inserter(local),
            [this](const platform::BackendServer &server) { return server.dataCentre == m_dataCentre; });
        for (const ServerIndex removed : m_pool.setServers(local, m_timers.now())) {
            m_prefixes.removeServer(removed);
        }
    }

    void setMembers(const std::vector<membership::Member> &members)
    {
        m_members = members;
        m_remoteDataCentres.setMembers(members, m_timers.now());
        int instanceCount = 1;
        for (const membership::Member &member : members) {
            const auto region = m_regionOf.find(member.description.dataCentre);
            instanceCount += region != m_regionOf.end() && region->second == m_region ? 1 : 0;
        }
        m_linkBudget.setInstanceCount(instanceCount);
    }

    void configure(const configuration::Configuration &configuration)
    {
        m_weights = configuration.weights;
        m_region = configuration::regionOf(configuration, m_dataCentre);
        m_regionOf.clear();
        for (const configuration::Region &region : configuration.regions) {
            for (const configuration::DataCentre &dataCentre : region.dataCentres) {
                m_regionOf[dataCentre.id] = region.id;
            }
        }
        m_remoteDataCentres.configure(configuration, m_dataCentre);
        m_linkBudget.configure(configuration, m_region, m_timers.now());
        setMembers(std::vector<membership::Member>(m_members));
    }

    void applyReport(const messages::LoadReported &event)
    {
        const ServerIndex server = m_pool.indexOf(event.backendServer);
        if (server >= 0) {
            m_pool.applyReport(server, event.running, event.waiting, m_timers.now());
        }
    }

    void applyReport(const messages::CacheReported &event)
    {
        const ServerIndex server = m_pool.indexOf(event.backendServer);
        if (server >= 0) {
            m_prefixes.applyReport(server, event.sequence, event.stored, event.evicted);
        }
    }

    int freeSlots(const PoolKey &key) const
    {
        return std::max(0, m_pool.slots(key) - m_pool.busy(key));
    }

    std::vector<membership::ServiceLoad> loads() const
    {
        std::vector<membership::ServiceLoad> loads;
        for (const PoolKey &key : m_pool.keys()) {
            loads.push_back({key.first, key.second, m_pool.slots(key), m_pool.busy(key), 0});
        }
        return loads;
    }

    const platform::BackendServer *find(const core::BackendServerId &id) const
    {
        const ServerIndex server = m_pool.indexOf(id);
        return server < 0 ? nullptr : &m_pool.at(server).server;
    }

private:
    /** Replaces the best candidate if another data centre has a lower score. @return whether any other data centre has backend servers */
    bool considerRemote(const RouteQuery &query, const PoolKey &key, std::optional<Candidate> &best)
    {
        const int capacityIndex = m_remoteDataCentres.capacityIndex(key);
        const absl::Time now = m_timers.now();
        bool hasServers = false;
        for (const core::RegionId &region : query.allowedRegions) {
            const std::vector<std::size_t> *dataCentreIndices = m_remoteDataCentres.indicesInRegion(region);
            if (capacityIndex < 0 || dataCentreIndices == nullptr) {
                continue;
            }

            // The part of the score that is the same for all data centres of the region.
            const bool leavesRegion = region != m_region;
            double score = (2 * absl::ToDoubleSeconds(m_linkBudget.latency(region)) + prefillSeconds(query.promptTokens)) * latencyWeight();
            score += peakPenalty(query, region) + (leavesRegion ? LEAVE_REGION_PENALTY_SECONDS * m_weights.sentAwayPermille / PERMILLE : 0);
            const bool hasLinkCapacity = !leavesRegion || m_linkBudget.canCarry(region, estimatedTransferBits(query), now);
            for (const std::size_t index : *dataCentreIndices) {
                const RemoteDataCentre &remote = m_remoteDataCentres.all()[index];
                const RemoteCapacity capacity = m_remoteDataCentres.capacity(remote, capacityIndex, now);
                hasServers = hasServers || capacity.slots > 0;
                const double dataCentreScore = score + loadDelay(capacity.busy, capacity.slots) * latencyWeight();
                const bool isExcluded
                    = !query.excludedInstances.empty() && m_remoteDataCentres.pickInstance(remote, query.excludedInstances, m_random).isEmpty();
                if (hasLinkCapacity && !isExcluded && capacity.isFree() && (!best.has_value() || dataCentreScore < best->score)) {
                    best = Candidate{-1, 0, &remote, dataCentreScore};
                }
            }
        }
        return hasServers;
    }

    RouteChoice toChoice(const RouteQuery &query, const Candidate &candidate)
    {
        if (candidate.remote == nullptr) {
            return {m_pool.at(candidate.server).server.id, {}, m_region, candidate.cachedBlocks > 0 ? "prefix" : "least_loaded", true};
        }
        const bool leavesRegion = candidate.remote->region != m_region;
        return {{}, m_remoteDataCentres.pickInstance(*candidate.remote, query.excludedInstances, m_random), candidate.remote->region,
            leavesRegion ? "remote_region" : "remote_data_centre", true};
    }

    std::optional<Candidate> bestLocalCandidate(const RouteQuery &query, const PoolKey &key)
    {
        ServerIndex bestServer = -1;
        double bestDelay = 0;
        std::size_t bestBlocks = 0;
        const auto considerServer = [&](ServerIndex server, std::size_t blocks) {
            const double delay = serverDelay(query, server, blocks);
            if (bestServer < 0 || delay < bestDelay) {
                bestServer = server;
                bestDelay = delay;
                bestBlocks = blocks;
            }
        };

        // Backend servers whose caches contain the longest prefix.
        for (const PrefixMatch &match : m_prefixes.find(query.prefixHashes)) {
            const platform::BackendServer &server = m_pool.at(match.server).server;
            const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), server.id) != query.excluded.end();
            if (server.service == key.first && server.version == key.second && m_pool.hasFreeSlot(match.server) && !isExcluded) {
                considerServer(match.server, match.blocks);
            }
        }

        // Two random backend servers with a free slot.
        for (int i = 0; i < 2; ++i) {
            const ServerIndex server = m_pool.pick(key, query.excluded, m_random);
            if (server >= 0 && server != bestServer) {
                considerServer(server, 0);
            }
        }
        if (bestServer < 0) {
            return std::nullopt;
        }
        return Candidate{bestServer, bestBlocks, nullptr, bestDelay * latencyWeight() + peakPenalty(query, m_region)};
    }

    double latencyWeight() const
    {
        return static_cast<double>(m_weights.latencyPermille) / PERMILLE;
    }

    double serverDelay(const RouteQuery &query, ServerIndex server, std::size_t cachedBlocks) const
    {
        const ServerLoad &load = m_pool.at(server);
        const double cachedShare = query.prefixHashes.empty() ? 0 : static_cast<double>(cachedBlocks) / static_cast<double>(query.prefixHashes.size());
        return loadDelay(load.busy(), load.server.slots) + prefillSeconds(query.promptTokens) * (1 - cachedShare);
    }

    static double loadDelay(int busy, int slots)
    {
        return FULL_LOAD_DELAY_SECONDS * busy / std::max(1, slots);
    }

    static double prefillSeconds(core::Tokens tokens)
    {
        return static_cast<double>(tokens) / PREFILL_TOKENS_PER_SECOND;
    }

    double peakPenalty(const RouteQuery &query, const core::RegionId &region) const
    {
        if (query.preferredRegions.empty()) {
            return 0;
        }
        const auto it = std::find(query.preferredRegions.begin(), query.preferredRegions.end(), region);
        const double rank = static_cast<double>(it - query.preferredRegions.begin()) / static_cast<double>(query.preferredRegions.size());
        return rank * PEAK_PENALTY_SECONDS * m_weights.peakCostPermille / PERMILLE;
    }

    ServerPool m_pool;
    PrefixIndex m_prefixes;
    core::DataCentreId m_dataCentre;
    core::RegionId m_region;
    configuration::PolicyWeights m_weights;
    absl::flat_hash_map<core::DataCentreId, core::RegionId> m_regionOf;
    std::vector<membership::Member> m_members;
    RemoteDataCentres m_remoteDataCentres;
    LinkBudget m_linkBudget;
    absl::flat_hash_map<core::RequestId, Charge> m_charges;
    std::mt19937_64 m_random;
    core::TimerService &m_timers;
    core::Subscription m_refreshTimer;
};

Router::Router(core::DataCentreId dataCentre, std::uint64_t seed, core::TimerService &timers)
    : m_impl(std::make_unique<Impl>(std::move(dataCentre), seed, timers))
{
}

Router::~Router() = default;

void Router::configure(const configuration::Configuration &configuration)
{
    m_impl->configure(configuration);
}

void Router::setDirectory(const std::vector<platform::BackendServer> &backendServers)
{
    m_impl->setDirectory(backendServers);
}

void Router::setMembers(const std::vector<membership::Member> &members)
{
    m_impl->setMembers(members);
}

void Router::handle(const messages::LoadReported &event)
{
    m_impl->applyReport(event);
}

void Router::handle(const messages::CacheReported &event)
{
    m_impl->applyReport(event);
}

core::Expected<RouteChoice> Router::choose(const RouteQuery &query)
{
    return m_impl->choose(query);
}

void Router::started(const RouteQuery &query, const RouteChoice &choice)
{
    m_impl->started(query, choice);
}

void Router::finished(const core::RequestId &request, bool hasFailed)
{
    m_impl->finished(request, hasFailed);
}

int Router::freeSlots(const core::ServiceId &service, const core::VersionId &version) const
{
    return m_impl->freeSlots({service, version});
}

std::vector<membership::ServiceLoad> Router::loads() const
{
    return m_impl->loads();
}

const platform::BackendServer *Router::find(const core::BackendServerId &id) const
{
    return m_impl->find(id);
}

} // namespace snipeferry::routing
