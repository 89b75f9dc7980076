#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

// Chooses a backend server for a request by its expected time there and by what the choice costs other requests.
namespace snipeferry::gateway {

namespace {

/** Prefilling a shared prompt part again keeps a backend server from other requests. Each such token counts as this much waiting time. */
constexpr double REPEATED_PREFILL_PENALTY_MS_PER_TOKEN = 0.05;
/** Waiting time that each token copied from another backend server counts as. Its ratio to the prefill penalty is the users' relative price of the two. */
constexpr double TRANSFER_PENALTY_MS_PER_TOKEN = 0.007;
/** Duration of a KV cache transfer in addition to the time for the data itself. */
constexpr double TRANSFER_SETUP_MS = 3.0;
/** Round trip to another region, which precedes a KV cache transfer from there. */
constexpr double REGION_ROUND_TRIP_MS = 110.0;
/** Prefilling fewer tokens is as fast as copying them. */
constexpr std::int64_t MIN_TRANSFER_TOKENS = 256;
/** Up to this many eligible backend servers are all compared. */
constexpr std::size_t MAX_FULLY_COMPARED = 8;
/** If more are eligible, this many with the highest rendezvous weights are compared, and this many random ones. */
constexpr int RANKED_CANDIDATES = 3;
constexpr int RANDOM_CANDIDATES = 3;
/** Retry-after time while the known backend servers are not confirmed. */
constexpr absl::Duration UNCONFIRMED_RETRY_DELAY = absl::Milliseconds(200);
/** Retry-after time if no backend server accepts requests. */
constexpr absl::Duration NO_SERVER_RETRY_DELAY = absl::Milliseconds(500);
/** Retry-after time if backend servers that fail of refusals are full. */
constexpr absl::Duration FULL_RETRY_DELAY = absl::Seconds(1);
/** Interval over which callers are spread that find all limits used up. */
constexpr absl::Duration LIMITED_RETRY_SPREAD = absl::Seconds(1);
/** Costs that differ by less than this count as equal. */
constexpr double SIMILAR_COST_MS = 40.0;
/** The expected time is multiplied by 1 plus this factor times the backend server's failure share. */
constexpr double FAILURE_WEIGHT = 6.0;

/**
 * An engine reads prompts in chunks between the tokens of its running streams, so each unread prompt slows the events of all streams beside it, also
 * of more urgent ones. Weight of the time for which prompts that are read later than the request's own will slow its stream.
 */
constexpr double LATER_PREFILL_WEIGHT = 0.5;
/** Weight of the time for which the request's own prompt slows the running streams, in proportion to how many of the engine's slots they take. */
constexpr double SLOWED_STREAMS_WEIGHT = 0.5;

/** Distance between the source and the target of a KV cache transfer, nearest first. */
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
    OutOfReach,
};

/** Expected duration of a KV cache transfer in milliseconds. The data rate between data centres is half of that within one. */
double estimateTransferMs(const Service &configuration, std::int64_t tokens, Distance distance)
{
    constexpr double BITS_PER_BYTE = 8;
    constexpr double BITS_PER_MBIT_MS = 1000;
    const double transferMs
        = static_cast<double>(tokens) * configuration.memoryBytesPerToken * BITS_PER_BYTE / (configuration.memoryLinkMbps * BITS_PER_MBIT_MS);
    const double roundTripMs = distance == Distance::OtherRegion ? REGION_ROUND_TRIP_MS : 0.0;
    return TRANSFER_SETUP_MS + roundTripMs + transferMs * (distance == Distance::SameDataCentre ? 1.0 : 2.0);
}

} // namespace

std::int64_t BackendTable::unreadTokensAhead(const ServerState &state, int level) const
{
    std::int64_t sum = 0;
    for (int urgency = 0; urgency <= level; ++urgency) {
        sum += state.ownUnread[urgency] + state.peerUnread[urgency];
    }
    return sum;
}

bool BackendTable::isEngineService(const core::ServiceId &service) const
{
    const auto configuration = m_serviceConfigurations.find(service);
    return configuration != m_serviceConfigurations.end() && configuration->second.isModelEngine;
}

double BackendTable::runsPerSlot(const ServerState &state) const
{
    return std::max(1.0, (state.running + state.peerRunning + 1.0) / std::max(1, state.server.slots));
}

double BackendTable::usualMs(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens, double tokensPerMs) const
{
    const int running = state.running + state.peerRunning;
    if (!isEngineService(state.server.service)) {
        return service.runMs * runsPerSlot(state);
    }
    const double readMs = static_cast<double>(unreadTokensAhead(state, level) + unreadTokens) / tokensPerMs;
    // Requests that exceed the batch size wait until another one ends.
    const double slotMs = running >= state.server.slots ? service.runMs * (1.0 + running - state.server.slots) / state.server.slots : 0.0;
    return serverload::BASE_LATENCY_MS + readMs + slotMs;
}

double BackendTable::currentFactor(const ServerState &state, const ServiceState &service, double usualMs) const
{
    const double ownFailures = std::max(0.0, state.failureShare - service.failureShare);
    const double momentary = state.speed.isUsual() ? 1.0 : state.speed.meanFactor(m_timers.now(), usualMs);
    return state.slowness * momentary * (1.0 + FAILURE_WEIGHT * ownFailures);
}

absl::Duration BackendTable::estimate(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens) const
{
    const double ms = usualMs(state, service, level, unreadTokens, state.speed.readRate(service.speed));
    return absl::Milliseconds(ms * currentFactor(state, service, ms));
}

double BackendTable::streamPenaltyMs(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens) const
{
    if (!isEngineService(state.server.service)) {
        return 0;
    }
    const std::int64_t laterTokens = unreadTokensAhead(state, URGENCY_LEVELS - 1) - unreadTokensAhead(state, level);
    const double takenSlots = std::min(1.0, static_cast<double>(state.running + state.peerRunning) / std::max(1, state.server.slots));
    const double slowedMs = LATER_PREFILL_WEIGHT * static_cast<double>(laterTokens) + SLOWED_STREAMS_WEIGHT * takenSlots * static_cast<double>(unreadTokens);
    return slowedMs / state.speed.readRate(service.speed) * state.slowness;
}

std::vector<core::BackendServerId> BackendTable::candidates(const ServiceState &service, const ServerQuery &query, const std::string &affinityKey)
{
    const absl::Time now = m_timers.now();
    const double lead = limitLeadOf(urgencyOf(query.priority));
    std::vector<core::BackendServerId> eligible;
    for (const core::BackendServerId &id : service.servers) {
        ServerState &candidate = m_servers.at(id);
        const core::VersionId &version = candidate.server.version;
        const bool matchesVersion = (query.version.isEmpty() || version == query.version)
            && std::find(query.excludedVersions.begin(), query.excludedVersions.end(), version) == query.excludedVersions.end();
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (acceptsRequests(candidate) && matchesVersion && !isExcluded && m_notices.pauseLeft(id) == absl::ZeroDuration() && hasRoom(candidate)
            && mayDispatchToCold(candidate, now) && m_limits.mayDispatch(id, lead)) {
            eligible.push_back(id);
        }
    }
    if (eligible.size() <= MAX_FULLY_COMPARED) {
        return eligible;
    }
    // Compares those that have the last shared part, those with the highest rendezvous weights, and some random ones.
    std::vector<std::pair<double, core::BackendServerId>> ranked;
    std::vector<core::BackendServerId> compared;
    for (const core::BackendServerId &id : eligible) {
        if (!affinityKey.empty() && m_promptCache.hasPart(id, affinityKey)) {
            compared.push_back(id);
        }
        ranked.emplace_back(affinityKey.empty() ? 0.0 : rendezvousWeight(affinityKey, id.value()), id);
    }
    if (!affinityKey.empty()) {
        std::partial_sort(ranked.begin(), ranked.begin() + RANKED_CANDIDATES, ranked.end(), std::greater<>());
        for (int rank = 0; rank < RANKED_CANDIDATES; ++rank) {
            compared.push_back(ranked[static_cast<std::size_t>(rank)].second);
        }
    }
    std::uniform_int_distribution<std::size_t> distribution(0, eligible.size() - 1);
    for (int sampled = 0; sampled < RANDOM_CANDIDATES; ++sampled) {
        compared.push_back(eligible[distribution(m_random)]);
    }
    return compared;
}

std::vector<BackendTable::CacheSource> BackendTable::cacheSources(const ServerQuery &query) const
{
    std::vector<CacheSource> sources;
    const auto configuration = m_serviceConfigurations.find(query.service);
    if (configuration == m_serviceConfigurations.end() || configuration->second.memoryLinkMbps <= 0) {
        return sources;
    }
    const absl::Time now = m_timers.now();
    for (const core::BackendServerId &id : m_promptCache.holders(query.promptParts)) {
        const auto local = m_servers.find(id);
        if (local != m_servers.end() && acceptsRequests(local->second) && local->second.ejectedUntil <= now) {
            const BackendServer &server = local->second.server;
            sources.push_back({id, server.address, server.dataCentre, false, m_promptCache.cachedTokens(id, query.promptParts)});
        }
        const auto remote = m_remoteServers.find(id);
        if (remote != m_remoteServers.end() && !remote->second.isDraining) {
            const BackendServer &server = remote->second;
            sources.push_back({id, server.address, server.dataCentre, true, m_promptCache.cachedTokens(id, query.promptParts)});
        }
    }
    return sources;
}

BackendTable::ScoredChoice BackendTable::score(
    const core::BackendServerId &id, const ServiceState &service, const ServerQuery &query, const std::vector<CacheSource> &sources) const
{
    const ServerState &state = m_servers.at(id);
    const int level = urgencyOf(query.priority);
    const std::int64_t ownCachedTokens = m_promptCache.expectedTokens(id, query.promptParts);
    std::int64_t transferredTokens = 0;
    double cacheTransferMs = 0;
    ScoredChoice scored;
    // Chooses the nearest source that has enough more tokens of the prompt than the backend server itself.
    Distance nearest = Distance::OutOfReach;
    for (const CacheSource &source : sources) {
        const Distance distance
            = source.isRemote ? Distance::OtherRegion : (source.dataCentre == state.server.dataCentre ? Distance::SameDataCentre : Distance::SameRegion);
        if (source.server != id && source.tokens >= ownCachedTokens + MIN_TRANSFER_TOKENS && distance < nearest) {
            nearest = distance;
            transferredTokens = source.tokens - ownCachedTokens;
            scored.choice.memorySource = source.address;
        }
    }
    if (transferredTokens > 0) {
        cacheTransferMs = estimateTransferMs(m_serviceConfigurations.at(query.service), transferredTokens, nearest);
    }
    scored.choice.server = id;
    scored.choice.unreadTokens = std::max<std::int64_t>(0, query.promptTokens - ownCachedTokens - transferredTokens);
    scored.choice.estimate = estimate(state, service, level, scored.choice.unreadTokens) + absl::Milliseconds(cacheTransferMs);
    const double nominalMs = usualMs(state, service, level, scored.choice.unreadTokens, service.speed.readRate());
    scored.choice.nominalEstimate = absl::Milliseconds(nominalMs + cacheTransferMs);
    scored.choice.wait = estimate(state, service, level, 0);
    if (memoryCapacity(state) > 0) {
        const absl::Duration wait = memoryWait(state, service, query.ownTokens);
        scored.choice.estimate += wait;
        scored.choice.nominalEstimate += wait;
        scored.choice.wait += wait;
        scored.isFull = wait > absl::ZeroDuration() || state.running + state.peerRunning >= state.server.slots;
    }
    scored.choice.runs = state.running + state.peerRunning;

    std::int64_t sharedTokens = 0;
    for (std::size_t index = 0; index + 1 < query.promptParts.size(); ++index) {
        sharedTokens += query.promptParts[index].tokens;
    }
    const std::int64_t repeatedPrefillTokens = std::max<std::int64_t>(0, sharedTokens - ownCachedTokens - transferredTokens);
    scored.cost = absl::ToDoubleMilliseconds(scored.choice.estimate) + REPEATED_PREFILL_PENALTY_MS_PER_TOKEN * static_cast<double>(repeatedPrefillTokens)
        + TRANSFER_PENALTY_MS_PER_TOKEN * static_cast<double>(transferredTokens) + streamPenaltyMs(state, service, level, scored.choice.unreadTokens);
    return scored;
}

ServerChoice BackendTable::chooseByRate(const ServiceState &service, const ServerQuery &query, const std::vector<CacheSource> &sources)
{
    const absl::Time now = m_timers.now();
    const bool isEngine = isEngineService(query.service);
    std::vector<ScoredChoice> usable;
    usable.reserve(MAX_FULLY_COMPARED);
    ServerChoice bestEjected;
    double leastCost = std::numeric_limits<double>::infinity();
    for (const core::BackendServerId &id : candidates(service, query, {})) {
        ScoredChoice scored = score(id, service, query, sources);
        if (m_servers.at(id).ejectedUntil <= now) {
            leastCost = std::min(leastCost, scored.cost);
            usable.push_back(std::move(scored));
        } else if (scored.choice.estimate < bestEjected.estimate) {
            bestEjected = std::move(scored.choice);
        }
    }
    // Instances that see the same figures at the same time would otherwise all choose the same backend server.
    ServerChoice chosen = std::move(bestEjected);
    double rates = 0;
    for (ScoredChoice &scored : usable) {
        if (scored.cost > leastCost + SIMILAR_COST_MS) {
            continue;
        }
        const double rate = isEngine ? m_servers.at(scored.choice.server).speed.readRate(service.speed) : 1.0;
        rates += rate;
        if (rates == rate || std::uniform_real_distribution<double>(0, rates)(m_random) < rate) {
            chosen = std::move(scored.choice);
        }
    }
    return chosen;
}

core::Expected<ServerChoice> BackendTable::choose(const ServerQuery &query)
{
    refreshPeerWork();
    const absl::Time now = m_timers.now();
    if (now < m_unconfirmedUntil) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::NoBackendServer, "The known backend servers are not confirmed yet.", UNCONFIRMED_RETRY_DELAY));
    }
    const auto service = m_services.find(query.service);
    if (service == m_services.end()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server of the service is known.", absl::Seconds(1)));
    }
    // The last shared part, just before the request's own one, decides the backend server. Earlier parts may be common to all requests.
    const std::size_t sharedParts = query.promptParts.empty() ? 0 : query.promptParts.size() - 1;
    const std::string affinityKey = sharedParts == 0 ? std::string() : query.promptParts[sharedParts - 1].id;
    const std::vector<CacheSource> sources = cacheSources(query);

    if (affinityKey.empty()) {
        ServerChoice choice = chooseByRate(service->second, query, sources);
        if (choice.server.isEmpty()) {
            return tl::make_unexpected(noServerError(service->second, limitLeadOf(urgencyOf(query.priority))));
        }
        return choice;
    }
    /** The best of some candidates. */
    struct Best
    {
        ServerChoice choice;
        double cost = 0;
        double weight = 0;
    };
    Best bestWithRoom;
    Best bestFull;
    absl::Duration shortestWait = absl::InfiniteDuration();
    ServerChoice bestEjected;
    for (const core::BackendServerId &id : candidates(service->second, query, affinityKey)) {
        ScoredChoice scored = score(id, service->second, query, sources);
        if (m_servers.at(id).ejectedUntil > now) {
            if (scored.choice.estimate < bestEjected.estimate) {
                bestEjected = std::move(scored.choice);
            }
            continue;
        }
        shortestWait = std::min(shortestWait, scored.choice.wait);
        Best &best = scored.isFull ? bestFull : bestWithRoom;
        const double weight = rendezvousWeight(affinityKey, id.value());
        // Among similar costs, the highest rendezvous weight decides, so that all instances choose the same backend server.
        const bool isBetter
            = best.choice.server.isEmpty() || scored.cost < best.cost - SIMILAR_COST_MS || (scored.cost < best.cost + SIMILAR_COST_MS && weight > best.weight);
        if (isBetter) {
            best = Best{std::move(scored.choice), scored.cost, weight};
        }
    }
    // A full backend server is worth its wait only as long as the prompt parts that it holds save more. No penalty for reading them again applies: other
    // requests that share them could not run there either.
    const bool isFullBetter
        = bestWithRoom.choice.server.isEmpty() || (!bestFull.choice.server.isEmpty() && bestFull.choice.estimate < bestWithRoom.choice.estimate);
    ServerChoice best = std::move(isFullBetter ? bestFull.choice : bestWithRoom.choice);
    if (!best.server.isEmpty()) {
        const ServerState &state = m_servers.at(best.server);
        const int level = urgencyOf(query.priority);
        const std::int64_t unreadTokens = std::max<std::int64_t>(0, query.promptTokens - m_promptCache.expectedTokens(best.server, query.promptParts));
        best.saved = estimate(state, service->second, level, query.promptTokens) - estimate(state, service->second, level, unreadTokens);
        best.waitCost = best.wait - shortestWait;
    }
    if (best.server.isEmpty()) {
        best = bestEjected;
    }
    if (best.server.isEmpty()) {
        return tl::make_unexpected(noServerError(service->second, limitLeadOf(urgencyOf(query.priority))));
    }
    return best;
}

core::Error BackendTable::noServerError(const ServiceState &service, double limitLead)
{
    absl::Duration shortest = absl::InfiniteDuration();
    bool isPaused = false;
    bool isFull = false;
    for (const core::BackendServerId &id : service.servers) {
        if (acceptsRequests(m_servers.at(id)) && !hasRoom(m_servers.at(id))) {
            shortest = std::min(shortest, FULL_RETRY_DELAY);
            isFull = true;
        }
        const absl::Duration pause = m_notices.pauseLeft(id);
        const absl::Duration time = std::max(m_limits.timeUntilDispatch(id, limitLead), pause);
        if (acceptsRequests(m_servers.at(id)) && time > absl::ZeroDuration()) {
            shortest = std::min(shortest, time);
            isPaused = isPaused || pause > absl::ZeroDuration();
        }
    }
    if (shortest == absl::InfiniteDuration()) {
        return core::makeError(core::ErrorKind::NoBackendServer, "No backend server accepts work now.", NO_SERVER_RETRY_DELAY);
    }
    // Callers that are refused together must not come back together.
    const absl::Duration spread = LIMITED_RETRY_SPREAD * std::uniform_real_distribution<double>(0, 1)(m_random);
    if (isFull && !isPaused) {
        return core::makeError(core::ErrorKind::Overloaded, "The backend servers are full and must not have to turn requests away.", shortest + spread);
    }
    const char *message = isPaused ? "The backend servers want no work for a time." : "The backend servers have named limits that are used up.";
    return core::makeError(core::ErrorKind::Overloaded, message, shortest + spread);
}

} // namespace snipeferry::gateway
