#include "snipeferry/gateway/backendtable.h"

#include "snipeferry/gateway/rendezvous.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

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
/** Reports of other instances count for this long; they are sent several times a second. */
constexpr absl::Duration PEER_WORK_LIFETIME = absl::Seconds(1);
/** Failures in a row after which a backend server gets no work for a while. */
constexpr int FAILURES_TO_EJECT = 4;
constexpr absl::Duration FIRST_EJECTION = absl::Milliseconds(800);
constexpr absl::Duration LONGEST_EJECTION = absl::Seconds(6);
constexpr double SMOOTHING = 0.1;
constexpr double SERVICE_SMOOTHING = 0.02;
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

int urgencyOf(int priority)
{
    return std::clamp(priority, 0, URGENCY_LEVELS - 1);
}

BackendTable::BackendTable(core::InstanceId self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_random(std::hash<std::string>{}(m_self.value())),
      m_memory(timers)
{
}

void BackendTable::announce(const BackendServer &server)
{
    const absl::Time now = m_timers.now();
    State &entry = m_servers[server.id];
    const bool isNew = entry.server.id.isEmpty();
    const bool isRestarted = !isNew && entry.server.startedAtMs != server.startedAtMs;
    const bool isMoved = !isNew && entry.server.service != server.service;
    if (isRestarted || isMoved) {
        m_memory.forget(server.id);
        entry.failuresInRow = 0;
        entry.failureShare = 0;
        entry.ejectedUntil = absl::InfinitePast();
    }
    if (isMoved) {
        std::vector<core::BackendServerId> &old = m_services[entry.server.service].servers;
        old.erase(std::remove(old.begin(), old.end(), server.id), old.end());
    }
    if (isNew || isMoved) {
        m_services[server.service].servers.push_back(server.id);
    }
    if (server.coldLeft > absl::ZeroDuration()) {
        entry.coldUntil = std::max(entry.coldUntil, now + server.coldLeft);
    }
    entry.server = server;
}

void BackendTable::announceDistant(const BackendServer &server)
{
    const auto known = m_distant.find(server.id);
    if (known != m_distant.end() && known->second.startedAtMs != server.startedAtMs) {
        m_memory.forget(server.id);
    }
    m_distant[server.id] = server;
}

void BackendTable::remove(const core::BackendServerId &id)
{
    if (m_distant.erase(id) > 0) {
        m_memory.forget(id);
        return;
    }
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return;
    }
    std::vector<core::BackendServerId> &servers = m_services[it->second.server.service].servers;
    servers.erase(std::remove(servers.begin(), servers.end(), id), servers.end());
    m_servers.erase(it);
    m_memory.forget(id);
}

void BackendTable::configure(const std::vector<Service> &services)
{
    m_rules.clear();
    for (const Service &service : services) {
        m_rules[service.id] = service;
    }
}

void BackendTable::setRegionInstances(std::vector<core::InstanceId> instances)
{
    m_instances = std::move(instances);
}

void BackendTable::setEvacuated(const core::DataCentreId &dataCentre, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuated.insert(dataCentre);
        return;
    }
    if (m_evacuated.erase(dataCentre) == 0) {
        return;
    }
    // Announcements lag; until one says otherwise, a backend server without recent work is taken for cold.
    for (auto &entry : m_servers) {
        State &state = entry.second;
        const auto rules = m_rules.find(state.server.service);
        if (state.server.dataCentre == dataCentre && rules != m_rules.end()) {
            state.coldUntil = std::max(state.coldUntil, m_timers.now() + rules->second.coldTime);
        }
    }
}

void BackendTable::setPeerWork(const core::InstanceId &instance, const std::vector<ServerWork> &work)
{
    m_peerReports[instance] = PeerReport{work, m_timers.now()};
    rebuildPeerWork();
}

void BackendTable::rebuildPeerWork()
{
    const absl::Time now = m_timers.now();
    for (auto &entry : m_servers) {
        entry.second.peerRunning = 0;
        entry.second.peerUnread.fill(0);
    }
    for (auto it = m_peerReports.begin(); it != m_peerReports.end();) {
        if (now - it->second.receivedAt > PEER_WORK_LIFETIME) {
            m_peerReports.erase(it++);
            continue;
        }
        for (const ServerWork &work : it->second.work) {
            State *target = state(work.server);
            if (target == nullptr) {
                continue;
            }
            target->peerRunning += work.running;
            for (std::size_t level = 0; level < URGENCY_LEVELS && level < work.unreadTokens.size(); ++level) {
                target->peerUnread[level] += work.unreadTokens[level];
            }
        }
        ++it;
    }
}

std::vector<ServerWork> BackendTable::ownWork() const
{
    std::vector<ServerWork> all;
    for (const auto &entry : m_servers) {
        const State &state = entry.second;
        if (state.running == 0) {
            continue;
        }
        ServerWork work;
        work.server = entry.first;
        work.running = state.running;
        work.unreadTokens.assign(state.unread.begin(), state.unread.end());
        all.push_back(std::move(work));
    }
    return all;
}

bool BackendTable::takesWork(const State &state) const
{
    return !state.server.isDraining && !m_evacuated.contains(state.server.dataCentre);
}

bool BackendTable::mayStartCold(State &state, absl::Time now)
{
    if (state.coldUntil <= now) {
        return true;
    }
    const auto rules = m_rules.find(state.server.service);
    if (rules == m_rules.end() || rules->second.coldRate <= 0) {
        return true;
    }
    // One instance gives a cold backend server its work, so that the bound holds for all of them together.
    if (!m_instances.empty() && rendezvousFirst(state.server.id.value(), m_instances) != m_self) {
        return false;
    }
    return state.nextColdStart <= now;
}

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

bool BackendTable::hasServers(const core::ServiceId &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return false;
    }
    return std::any_of(it->second.servers.begin(), it->second.servers.end(), [this](const core::BackendServerId &id) { return takesWork(m_servers.at(id)); });
}

std::string BackendTable::describe(const core::BackendServerId &id) const
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return "gone";
    }
    const State &state = it->second;
    const auto service = m_services.find(state.server.service);
    return absl::StrFormat("running=%d peers=%d slowness=%.2f failures=%.2f run_ms=%.1f", state.running, state.peerRunning, state.slowness, state.failureShare,
        service == m_services.end() ? 0.0 : service->second.runMs);
}

const BackendServer *BackendTable::find(const core::BackendServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second.server;
}

std::vector<core::VersionId> BackendTable::versions(const core::ServiceId &service) const
{
    std::vector<core::VersionId> all;
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return all;
    }
    for (const core::BackendServerId &id : it->second.servers) {
        const State &state = m_servers.at(id);
        if (takesWork(state) && std::find(all.begin(), all.end(), state.server.version) == all.end()) {
            all.push_back(state.server.version);
        }
    }
    return all;
}

std::vector<core::ServiceId> BackendTable::services() const
{
    std::vector<core::ServiceId> all;
    for (const auto &entry : m_services) {
        if (hasServers(entry.first)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

std::vector<absl::Duration> BackendTable::leastWaits(const core::ServiceId &service) const
{
    const auto it = m_services.find(service);
    std::vector<absl::Duration> least;
    if (it == m_services.end()) {
        return least;
    }
    const absl::Time now = m_timers.now();
    for (const core::BackendServerId &id : it->second.servers) {
        const State &state = m_servers.at(id);
        if (!takesWork(state) || state.ejectedUntil > now || state.coldUntil > now) {
            continue;
        }
        least.resize(URGENCY_LEVELS, absl::InfiniteDuration());
        for (int level = 0; level < URGENCY_LEVELS; ++level) {
            least[level] = std::min(least[level], estimate(state, it->second, level, 0));
        }
    }
    return least;
}

void BackendTable::started(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, const std::vector<PromptPart> &parts)
{
    State *target = state(id);
    if (target == nullptr) {
        return;
    }
    const absl::Time now = m_timers.now();
    const ServiceState &service = m_services[target->server.service];
    const int level = urgencyOf(priority);
    target->lastEstimate = estimate(*target, service, level, unreadTokens);
    ++target->running;
    target->unread[level] += unreadTokens;
    const auto rules = m_rules.find(target->server.service);
    if (target->coldUntil > now && rules != m_rules.end() && rules->second.coldRate > 0) {
        target->nextColdStart = now + absl::Seconds(1.0 / rules->second.coldRate);
    }
    m_memory.noteGiven(id, parts, target->lastEstimate);
}

PromptMemory &BackendTable::memory()
{
    return m_memory;
}

void BackendTable::answered(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, absl::Duration latency)
{
    State *target = state(id);
    if (target == nullptr) {
        return;
    }
    std::int64_t &unread = target->unread[urgencyOf(priority)];
    unread = std::max<std::int64_t>(0, unread - unreadTokens);
    if (!isEngine(target->server.service)) {
        double &runMs = m_services[target->server.service].runMs;
        runMs += SMOOTHING * (absl::ToDoubleMilliseconds(latency) / waves(*target) - runMs);
    }
    const double expected = std::max(5.0, absl::ToDoubleMilliseconds(target->lastEstimate) / std::max(0.5, target->slowness));
    const double ratio = std::clamp(absl::ToDoubleMilliseconds(latency) / expected, 0.3, 6.0);
    target->slowness = std::clamp(target->slowness + SMOOTHING * (ratio - target->slowness), 0.5, 4.0);
}

void BackendTable::finished(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, RunEnd end)
{
    State *target = state(id);
    if (target == nullptr) {
        return;
    }
    target->running = std::max(0, target->running - 1);
    std::int64_t &unread = target->unread[urgencyOf(priority)];
    unread = std::max<std::int64_t>(0, unread - unreadTokens);
    if (end == RunEnd::Cancelled) {
        return;
    }
    const bool hasFailed = end == RunEnd::ServerError || end == RunEnd::Unreachable;
    target->failureShare += SMOOTHING * ((hasFailed ? 1.0 : 0.0) - target->failureShare);
    double &serviceShare = m_services[target->server.service].failureShare;
    serviceShare += SERVICE_SMOOTHING * ((hasFailed ? 1.0 : 0.0) - serviceShare);
    if (!hasFailed) {
        if (end == RunEnd::Success) {
            target->failuresInRow = 0;
            target->ejectionTime = absl::ZeroDuration();
        }
        return;
    }
    ++target->failuresInRow;
    // A backend server that cannot be reached is left alone at once; failures of single requests need a series.
    if (target->failuresInRow >= FAILURES_TO_EJECT || (end == RunEnd::Unreachable && target->failuresInRow >= 2)) {
        target->ejectionTime = std::clamp(target->ejectionTime * 2, FIRST_EJECTION, LONGEST_EJECTION);
        target->ejectedUntil = m_timers.now() + target->ejectionTime;
        target->failuresInRow = 0;
    }
}

void BackendTable::reportLoad(const core::BackendServerId &id, int running, int waiting)
{
    State *target = state(id);
    if (target == nullptr || running < 0 || waiting < 0) {
        return;
    }
    // What the backend server counts beyond this instance's own runs belongs to others, also those whose reports are lost.
    target->peerRunning = std::max(0, running + waiting - target->running);
}

BackendTable::State *BackendTable::state(const core::BackendServerId &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace snipeferry::gateway
