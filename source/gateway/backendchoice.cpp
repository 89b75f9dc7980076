#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Which backend server a request goes to: what it would find at each, and what it costs others.
namespace snipeferry::gateway {

namespace {

/** Reading a shared prompt part again takes a backend server from others; the wait that one token of it is worth. */
constexpr double REREAD_PENALTY_MS_PER_TOKEN = 0.05;
/** Part of an answer's time that does not depend on the prompt: connection, scheduling, one decoding step. */
constexpr double BASE_MS = 15.0;
/** The wait that one token taken over from another backend server is worth: the users' price of it against that of reading it again. */
constexpr double TAKEOVER_PENALTY_MS_PER_TOKEN = 0.007;
/** Time of a takeover beside the transfer. */
constexpr double TAKEOVER_SETUP_MS = 3.0;
/** A call to another region and back comes before a takeover from there. */
constexpr double OTHER_REGION_MS = 110.0;
/** Fewer tokens are read as fast as they are taken over. */
constexpr std::int64_t MIN_TAKEOVER_TOKENS = 256;
/** Up to this many backend servers are all compared. */
constexpr std::size_t MAX_COMPARED = 8;
/** Of more, this many from the front of the rendezvous order, and this many at random. */
constexpr int RANKED_COMPARED = 3;
constexpr int RANDOM_COMPARED = 3;
/** Expected times within this much of each other count as equal. */
constexpr double SIMILAR_MS = 40.0;
/** Weight of the failure share in the expected time. */
constexpr double FAILURE_WEIGHT = 6.0;

/** How far a takeover goes, the nearest first. */
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
    OutOfReach,
};

/** Expected time of a takeover in milliseconds; memory moves half as fast between data centres. */
double takeoverTime(const Service &rules, std::int64_t tokens, Distance distance)
{
    constexpr double BITS_PER_BYTE = 8;
    constexpr double BITS_PER_MBIT_MS = 1000;
    const double transferMs = static_cast<double>(tokens) * rules.memoryBytesPerToken * BITS_PER_BYTE / (rules.memoryLinkMbps * BITS_PER_MBIT_MS);
    const double wayMs = distance == Distance::OtherRegion ? OTHER_REGION_MS : 0.0;
    return TAKEOVER_SETUP_MS + wayMs + transferMs * (distance == Distance::SameDataCentre ? 1.0 : 2.0);
}

} // namespace

std::int64_t BackendTable::unreadAhead(const State &state, int level) const
{
    std::int64_t sum = 0;
    for (int urgency = 0; urgency <= level; ++urgency) {
        sum += state.unread[urgency] + state.peerUnread[urgency];
    }
    return sum;
}

bool BackendTable::isEngine(const core::ServiceId &service) const
{
    const auto rules = m_rules.find(service);
    return rules != m_rules.end() && rules->second.isModelEngine;
}

double BackendTable::waves(const State &state) const
{
    return std::max(1.0, (state.running + state.peerRunning + 1.0) / std::max(1, state.server.slots));
}

absl::Duration BackendTable::estimate(const State &state, const ServiceState &service, int level, std::int64_t unreadTokens) const
{
    const int running = state.running + state.peerRunning;
    double ms = 0;
    if (isEngine(state.server.service)) {
        ms = BASE_MS + static_cast<double>(unreadAhead(state, level) + unreadTokens) / service.tokensPerMs;
        // Requests beyond the batch wait for one that ends.
        ms += running >= state.server.slots ? service.runMs * (1.0 + running - state.server.slots) / state.server.slots : 0.0;
    } else {
        ms = service.runMs * waves(state);
    }
    const double ownFailures = std::max(0.0, state.failureShare - service.failureShare);
    return absl::Milliseconds(ms * state.slowness * (1.0 + FAILURE_WEIGHT * ownFailures));
}

std::vector<core::BackendServerId> BackendTable::candidates(const ServiceState &service, const ServerQuery &query, const std::string &affinity)
{
    const absl::Time now = m_timers.now();
    std::vector<core::BackendServerId> fit;
    for (const core::BackendServerId &id : service.servers) {
        State &candidate = m_servers.at(id);
        const core::VersionId &version = candidate.server.version;
        const bool hasVersion = (query.version.isEmpty() || version == query.version) && (query.excludedVersion.isEmpty() || version != query.excludedVersion);
        const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
        if (takesWork(candidate) && hasVersion && !isExcluded && mayStartCold(candidate, now)) {
            fit.push_back(id);
        }
    }
    if (fit.size() <= MAX_COMPARED) {
        return fit;
    }
    // Those that have the prompt's shared part, the first in its rendezvous order, and some at random.
    std::vector<std::pair<double, core::BackendServerId>> ranked;
    std::vector<core::BackendServerId> some;
    for (const core::BackendServerId &id : fit) {
        if (!affinity.empty() && m_memory.hasPart(id, affinity)) {
            some.push_back(id);
        }
        ranked.emplace_back(affinity.empty() ? 0.0 : rendezvousWeight(affinity, id.value()), id);
    }
    if (!affinity.empty()) {
        std::partial_sort(ranked.begin(), ranked.begin() + RANKED_COMPARED, ranked.end(), std::greater<>());
        for (int place = 0; place < RANKED_COMPARED; ++place) {
            some.push_back(ranked[static_cast<std::size_t>(place)].second);
        }
    }
    std::uniform_int_distribution<std::size_t> draw(0, fit.size() - 1);
    for (int drawn = 0; drawn < RANDOM_COMPARED; ++drawn) {
        some.push_back(fit[draw(m_random)]);
    }
    return some;
}

std::vector<BackendTable::MemorySource> BackendTable::memorySources(const ServerQuery &query) const
{
    std::vector<MemorySource> sources;
    const auto rules = m_rules.find(query.service);
    if (rules == m_rules.end() || rules->second.memoryLinkMbps <= 0) {
        return sources;
    }
    const absl::Time now = m_timers.now();
    for (const core::BackendServerId &id : m_memory.holders(query.promptParts)) {
        const auto own = m_servers.find(id);
        if (own != m_servers.end() && takesWork(own->second) && own->second.ejectedUntil <= now) {
            const BackendServer &server = own->second.server;
            sources.push_back({id, server.address, server.dataCentre, false, m_memory.keptTokens(id, query.promptParts)});
        }
        const auto distant = m_distant.find(id);
        if (distant != m_distant.end() && !distant->second.isDraining) {
            const BackendServer &server = distant->second;
            sources.push_back({id, server.address, server.dataCentre, true, m_memory.keptTokens(id, query.promptParts)});
        }
    }
    return sources;
}

BackendTable::Offer BackendTable::offerOf(
    const core::BackendServerId &id, const ServiceState &service, const ServerQuery &query, const std::vector<MemorySource> &sources) const
{
    const State &state = m_servers.at(id);
    const int level = urgencyOf(query.priority);
    const std::int64_t own = m_memory.expectedTokens(id, query.promptParts);
    std::int64_t takenOver = 0;
    double takeoverMs = 0;
    Offer offer;
    // The nearest of those that keep more than the backend server itself.
    Distance nearest = Distance::OutOfReach;
    for (const MemorySource &source : sources) {
        const Distance distance
            = source.isDistant ? Distance::OtherRegion : (source.dataCentre == state.server.dataCentre ? Distance::SameDataCentre : Distance::SameRegion);
        if (source.server != id && source.tokens >= own + MIN_TAKEOVER_TOKENS && distance < nearest) {
            nearest = distance;
            takenOver = source.tokens - own;
            offer.choice.memorySource = source.address;
        }
    }
    if (takenOver > 0) {
        takeoverMs = takeoverTime(m_rules.at(query.service), takenOver, nearest);
    }
    offer.choice.server = id;
    offer.choice.unreadTokens = std::max<std::int64_t>(0, query.promptTokens - own - takenOver);
    offer.choice.estimate = estimate(state, service, level, offer.choice.unreadTokens) + absl::Milliseconds(takeoverMs);
    offer.choice.wait = estimate(state, service, level, 0);

    std::int64_t shared = 0;
    for (std::size_t index = 0; index + 1 < query.promptParts.size(); ++index) {
        shared += query.promptParts[index].tokens;
    }
    const std::int64_t reread = std::max<std::int64_t>(0, shared - own - takenOver);
    offer.cost = absl::ToDoubleMilliseconds(offer.choice.estimate) + REREAD_PENALTY_MS_PER_TOKEN * static_cast<double>(reread)
        + TAKEOVER_PENALTY_MS_PER_TOKEN * static_cast<double>(takenOver);
    return offer;
}

core::Expected<ServerChoice> BackendTable::choose(const ServerQuery &query)
{
    const absl::Time now = m_timers.now();
    const auto service = m_services.find(query.service);
    if (service == m_services.end()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server of the service is known.", absl::Seconds(1)));
    }
    // Parts shared by some, not all, requests decide the place; they lie just before the request's own part.
    const std::size_t sharedParts = query.promptParts.empty() ? 0 : query.promptParts.size() - 1;
    const std::string affinity = sharedParts == 0 ? std::string() : query.promptParts[sharedParts - 1].id;
    const std::vector<MemorySource> sources = memorySources(query);

    ServerChoice best;
    double bestCost = 0;
    double bestWeight = 0;
    ServerChoice ejected;
    for (const core::BackendServerId &id : candidates(service->second, query, affinity)) {
        Offer offer = offerOf(id, service->second, query, sources);
        if (m_servers.at(id).ejectedUntil > now) {
            if (offer.choice.estimate < ejected.estimate) {
                ejected = std::move(offer.choice);
            }
            continue;
        }
        const double weight = affinity.empty() ? 0.0 : rendezvousWeight(affinity, id.value());
        // Among similar costs the first place of the rendezvous order wins, so that all instances agree.
        const bool isBetter = best.server.isEmpty() || offer.cost < bestCost - SIMILAR_MS || (offer.cost < bestCost + SIMILAR_MS && weight > bestWeight);
        if (isBetter) {
            best = std::move(offer.choice);
            bestCost = offer.cost;
            bestWeight = weight;
        }
    }
    if (best.server.isEmpty()) {
        best = ejected;
    }
    if (best.server.isEmpty()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::NoBackendServer, "No backend server takes work now.", absl::Milliseconds(500)));
    }
    return best;
}

} // namespace snipeferry::gateway
