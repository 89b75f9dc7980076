#include "snipeferry/gateway/backendtable.h"

#include "snipeferry/gateway/ports.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Consecutive failures after which a backend server is ejected, that is, receives no requests for a while. */
constexpr int EJECTION_FAILURES = 4;
constexpr absl::Duration MIN_EJECTION = absl::Milliseconds(800);
constexpr absl::Duration MAX_EJECTION = absl::Seconds(6);
/** Weights of a new sample in the moving averages of a backend server and of a service. */
constexpr double SERVER_SMOOTHING = 0.1;
constexpr double SERVICE_SMOOTHING = 0.02;
/** Least time between two lines about the load that one backend server states: it comes with each answer, up to hundreds a second. */
constexpr absl::Duration LOAD_LOG_INTERVAL = absl::Seconds(1);

/** Milliseconds to the first event of a run that gets a slot at once. */
double usualReadMs(std::int64_t tokens, double tokensPerMs)
{
    return serverload::BASE_LATENCY_MS + static_cast<double>(tokens) / tokensPerMs;
}

} // namespace

int urgencyOf(int priority)
{
    return std::clamp(priority, 0, URGENCY_LEVELS - 1);
}

double limitLeadOf(int level)
{
    return static_cast<double>(URGENCY_LEVELS - 1 - level) / (URGENCY_LEVELS - 1);
}

RunEnd endOfFailedRun(const std::string &reason)
{
    return reason == REASON_SENT_TOO_LATE ? RunEnd::OwnFailure : RunEnd::Unreachable;
}

BackendTable::BackendTable(core::InstanceId self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_limits(m_self, timers),
      m_notices(m_self, timers),
      m_coldPacing(m_self, timers),
      m_brittle(m_self, timers),
      m_random(std::hash<std::string>{}(m_self.value())),
      m_promptCache(timers)
{
}

void BackendTable::announce(const BackendServer &server)
{
    const absl::Time now = m_timers.now();
    const bool isNew = m_servers.find(server.id) == m_servers.end();
    ServerState &entry = m_servers[server.id];
    const bool isRestarted = !isNew && entry.server.startedAtMs != server.startedAtMs;
    const bool isMoved = !isNew && entry.server.service != server.service;
    if (isRestarted) {
        m_brittle.remove(entry.server);
        m_promptCache.removeServer(server.id);
        m_limits.remove(server.id);
        entry.consecutiveFailures = 0;
        entry.failureShare = 0;
        entry.ejectedUntil = absl::InfinitePast();
        entry.restartKnownAt = now;
        entry.suspectedColdUntil = absl::InfinitePast();
        entry.isOutOfReach = false;
    }
    if (isRestarted || isMoved) {
        entry.speed = serverload::ServerSpeed();
    }
    if (isRestarted && server.startedAtMs > entry.server.startedAtMs) {
        m_notices.restarted(server.id);
    }
    // Another service alone is no new start: the entry may be another writer's, and what the process has said still holds.
    if (isMoved) {
        m_promptCache.removeServer(server.id);
        std::vector<core::BackendServerId> &old = m_services[entry.server.service].servers;
        old.erase(std::remove(old.begin(), old.end(), server.id), old.end());
    }
    if (isNew || isMoved) {
        m_services[server.service].servers.push_back(server.id);
    }
    if (server.coldLeft > absl::ZeroDuration()) {
        entry.announcedColdUntil = std::max(entry.announcedColdUntil, now + server.coldLeft);
    }
    entry.server = server;
    // An announcement may be older than what the backend server has said since.
    entry.server.isDraining = server.isDraining || m_notices.isLeaving(server);
}

void BackendTable::announceRemote(const BackendServer &server)
{
    const auto known = m_remoteServers.find(server.id);
    if (known != m_remoteServers.end() && known->second.startedAtMs != server.startedAtMs) {
        m_promptCache.removeServer(server.id);
    }
    m_remoteServers[server.id] = server;
}

void BackendTable::remove(const core::BackendServerId &id)
{
    if (m_remoteServers.erase(id) > 0) {
        m_promptCache.removeServer(id);
        return;
    }
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return;
    }
    std::vector<core::BackendServerId> &servers = m_services[it->second.server.service].servers;
    servers.erase(std::remove(servers.begin(), servers.end(), id), servers.end());
    m_brittle.remove(it->second.server);
    m_servers.erase(it);
    m_limits.remove(id);
    m_promptCache.removeServer(id);
}

void BackendTable::setUnconfirmedUntil(absl::Time until)
{
    m_unconfirmedUntil = until;
}

void BackendTable::configure(const std::vector<Service> &services)
{
    m_serviceConfigurations.clear();
    for (const Service &service : services) {
        m_serviceConfigurations[service.id] = service;
    }
}

void BackendTable::setEvacuated(const core::DataCentreId &dataCentre, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuatedDataCentres.insert(dataCentre);
        return;
    }
    if (m_evacuatedDataCentres.erase(dataCentre) == 0) {
        return;
    }
    // Announcements arrive with a delay. Until a new one arrives, the backend servers are assumed to be cold because they had no recent work.
    for (auto &entry : m_servers) {
        ServerState &state = entry.second;
        const auto configuration = m_serviceConfigurations.find(state.server.service);
        if (state.server.dataCentre == dataCentre && configuration != m_serviceConfigurations.end()) {
            state.announcedColdUntil = std::max(state.announcedColdUntil, m_timers.now() + configuration->second.coldTime);
        }
    }
}

bool BackendTable::acceptsRequests(const ServerState &state) const
{
    return !state.server.isDraining && !m_evacuatedDataCentres.contains(state.server.dataCentre);
}

bool BackendTable::hasRoom(const ServerState &state) const
{
    return m_brittle.hasRoom(state.server, state.running + state.peerRunning);
}

bool BackendTable::mayDispatchToCold(ServerState &state, absl::Time now)
{
    if (state.isOutOfReach) {
        return false;
    }
    if (coldUntil(state) <= now) {
        return true;
    }
    const auto configuration = m_serviceConfigurations.find(state.server.service);
    if (configuration == m_serviceConfigurations.end() || configuration->second.coldRate <= 0) {
        return true;
    }
    // Only one instance dispatches to a cold backend server, so that the rate limit holds for all instances together.
    return state.nextColdRunAt <= now && m_coldPacing.isSender(state.server.id);
}

bool BackendTable::hasServers(const core::ServiceId &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return false;
    }
    return std::any_of(
        it->second.servers.begin(), it->second.servers.end(), [this](const core::BackendServerId &id) { return acceptsRequests(m_servers.at(id)); });
}

std::vector<BackendServer> BackendTable::acceptingServers(const core::ServiceId &service) const
{
    std::vector<BackendServer> accepting;
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return accepting;
    }
    for (const core::BackendServerId &id : it->second.servers) {
        const ServerState &state = m_servers.at(id);
        if (acceptsRequests(state)) {
            accepting.push_back(state.server);
        }
    }
    return accepting;
}

void BackendTable::forgetFailures(const core::ServiceId &service)
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return;
    }
    for (const core::BackendServerId &id : it->second.servers) {
        ServerState &state = m_servers.at(id);
        if (!state.wasUnreached) {
            continue;
        }
        state.wasUnreached = false;
        state.failureShare = 0;
        state.consecutiveFailures = 0;
        state.ejectedUntil = absl::InfinitePast();
        state.ejectionTime = absl::ZeroDuration();
    }
}

std::string BackendTable::describe(const core::BackendServerId &id)
{
    refreshPeerWork();
    const auto it = m_servers.find(id);
    if (it == m_servers.end()) {
        return "gone";
    }
    const ServerState &state = it->second;
    const auto service = m_services.find(state.server.service);
    if (service == m_services.end()) {
        return "gone";
    }
    return absl::StrFormat("running=%d peers=%d slowness=%.2f failures=%.2f run_ms=%.1f read_rate=%.1f momentary=%.2f", state.running, state.peerRunning,
        state.slowness, state.failureShare, service->second.runMs, state.speed.readRate(service->second.speed), state.speed.momentaryFactor(m_timers.now()));
}

const BackendServer *BackendTable::find(const core::BackendServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second.server;
}

absl::Duration BackendTable::coldLeft(const core::BackendServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? absl::ZeroDuration() : std::max(absl::ZeroDuration(), coldUntil(it->second) - m_timers.now());
}

absl::Duration BackendTable::coldTime(const core::ServiceId &service) const
{
    const auto configuration = m_serviceConfigurations.find(service);
    const bool isLimited = configuration != m_serviceConfigurations.end() && configuration->second.coldRate > 0;
    return isLimited ? configuration->second.coldTime : absl::ZeroDuration();
}

std::string BackendTable::statePath(const core::BackendServerId &id) const
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || !acceptsRequests(it->second) || m_notices.pauseLeft(id) > absl::ZeroDuration()) {
        return {};
    }
    const auto configuration = m_serviceConfigurations.find(it->second.server.service);
    return configuration == m_serviceConfigurations.end() ? std::string() : configuration->second.healthPath;
}

void BackendTable::setRestartSuspicion(const core::BackendServerId &id, absl::Time coldUntil, bool isOutOfReach)
{
    ServerState *state = findState(id);
    if (state != nullptr) {
        state->suspectedColdUntil = coldUntil;
        state->isOutOfReach = isOutOfReach;
    }
}

absl::Time BackendTable::coldUntil(const ServerState &state)
{
    return std::max(state.announcedColdUntil, state.suspectedColdUntil);
}

std::vector<core::VersionId> BackendTable::versions(const core::ServiceId &service) const
{
    std::vector<core::VersionId> all;
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return all;
    }
    for (const core::BackendServerId &id : it->second.servers) {
        const ServerState &state = m_servers.at(id);
        if (acceptsRequests(state) && std::find(all.begin(), all.end(), state.server.version) == all.end()) {
            all.push_back(state.server.version);
        }
    }
    return all;
}

absl::Time BackendTable::sendBy(const core::BackendServerId &id) const
{
    return coldLeft(id) > absl::ZeroDuration() ? m_timers.now() + ColdPacing::SEND_TIME : absl::InfiniteFuture();
}

bool BackendTable::hasVersion(const core::ServiceId &service, const core::VersionId &version) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && std::any_of(it->second.servers.begin(), it->second.servers.end(), [&](const core::BackendServerId &id) {
        const ServerState &state = m_servers.at(id);
        return state.server.version == version && acceptsRequests(state);
    });
}

ServerCounts BackendTable::serverCounts(const core::ServiceId &service)
{
    refreshPeerWork();
    ServerCounts counts;
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return counts;
    }
    for (const core::BackendServerId &id : it->second.servers) {
        const auto server = m_servers.find(id);
        if (server == m_servers.end()) {
            continue;
        }
        ++(acceptsRequests(server->second) ? counts.working : counts.resting);
        counts.runs += server->second.running + server->second.peerRunning;
    }
    return counts;
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

bool BackendTable::isUsable(const ServerState &state, absl::Time now) const
{
    const core::BackendServerId &id = state.server.id;
    return acceptsRequests(state) && state.ejectedUntil <= now && coldUntil(state) <= now && m_notices.pauseLeft(id) == absl::ZeroDuration()
        && m_limits.mayDispatch(id, limitLeadOf(0)) && hasRoom(state);
}

std::vector<absl::Duration> BackendTable::leastWaits(const core::ServiceId &service)
{
    refreshPeerWork();
    const auto it = m_services.find(service);
    std::vector<absl::Duration> least;
    if (it == m_services.end()) {
        return least;
    }
    const absl::Time now = m_timers.now();
    for (const core::BackendServerId &id : it->second.servers) {
        const ServerState &state = m_servers.at(id);
        if (!isUsable(state, now)) {
            continue;
        }
        least.resize(URGENCY_LEVELS, absl::InfiniteDuration());
        for (int level = 0; level < URGENCY_LEVELS; ++level) {
            if (!m_limits.mayDispatch(id, limitLeadOf(level))) {
                continue;
            }
            least[level] = std::min(least[level], estimate(state, it->second, level, 0));
        }
    }
    // Where all limits are used up for the less urgent levels, only the more urgent ones are offered.
    while (!least.empty() && least.back() == absl::InfiniteDuration()) {
        least.pop_back();
    }
    return least;
}

double BackendTable::readRate(const core::ServiceId &service) const
{
    const auto it = m_services.find(service);
    double sum = 0;
    if (it == m_services.end() || !isEngineService(service)) {
        return sum;
    }
    const absl::Time now = m_timers.now();
    for (const core::BackendServerId &id : it->second.servers) {
        const ServerState &state = m_servers.at(id);
        sum += isUsable(state, now) ? state.speed.readRate(it->second.speed) : 0.0;
    }
    return sum;
}

double BackendTable::leastLoadedReadRate(const core::ServiceId &service)
{
    refreshPeerWork();
    const auto it = m_services.find(service);
    double rate = 0;
    if (it == m_services.end() || !isEngineService(service)) {
        return rate;
    }
    const absl::Time now = m_timers.now();
    absl::Duration least = absl::InfiniteDuration();
    for (const core::BackendServerId &id : it->second.servers) {
        const ServerState &state = m_servers.at(id);
        const absl::Duration wait = estimate(state, it->second, URGENCY_LEVELS - 1, 0);
        if (isUsable(state, now) && wait < least) {
            least = wait;
            rate = state.speed.readRate(it->second.speed);
        }
    }
    return rate;
}

std::vector<double> BackendTable::readRates(const core::ServiceId &service)
{
    const double all = readRate(service);
    if (all <= 0) {
        return {};
    }
    return {leastLoadedReadRate(service), all};
}

serverload::RunStart BackendTable::started(
    const core::BackendServerId &id, int priority, std::int64_t unreadTokens, const std::vector<PromptPart> &parts, std::int64_t ownTokens)
{
    refreshPeerWork();
    ServerState *target = findState(id);
    if (target == nullptr) {
        return {};
    }
    const absl::Time now = m_timers.now();
    ServiceState &service = m_services[target->server.service];
    const int level = urgencyOf(priority);
    const absl::Duration expected = estimate(*target, service, level, unreadTokens);
    const bool isLate = priority >= URGENCY_LEVELS;
    if (!isLate) {
        target->lastEstimate = expected;
    }
    serverload::RunStart start;
    // How a cold backend server answers says nothing about its usual speed, and neither does a run that waits behind all others.
    if (isEngineService(target->server.service) && coldUntil(*target) <= now && !isLate) {
        start.ownTokens = unreadTokens;
        start.tokensToRead = unreadTokensAhead(*target, level) + unreadTokens;
        start.hasWaitedForSlot = target->running + target->peerRunning >= target->server.slots;
        start.momentaryFactor = target->speed.momentaryFactor(now);
    }
    ++target->running;
    m_limits.dispatched(id);
    target->ownUnread[level] += unreadTokens;
    target->ownTokens += ownTokens;
    noteTakenIn(*target, std::max(unreadTokens, ownTokens));
    const auto configuration = m_serviceConfigurations.find(target->server.service);
    if (coldUntil(*target) > now && configuration != m_serviceConfigurations.end() && configuration->second.coldRate > 0) {
        target->nextColdRunAt = now + m_coldPacing.interval(configuration->second.coldRate);
    }
    if (ownTokens > 0) {
        const double tokens = static_cast<double>(ownTokens);
        service.tokensPerRun += service.tokensPerRun == 0 ? tokens : SERVICE_SMOOTHING * (tokens - service.tokensPerRun);
    }
    updateMemoryUse(*target);
    m_promptCache.noteDispatched(id, parts, expected);
    return start;
}

PromptCacheIndex &BackendTable::promptCache()
{
    return m_promptCache;
}

void BackendTable::answered(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, absl::Duration latency, const serverload::RunStart &start)
{
    refreshPeerWork();
    ServerState *target = findState(id);
    if (target == nullptr) {
        return;
    }
    std::int64_t &ownUnread = target->ownUnread[urgencyOf(priority)];
    ownUnread = std::max<std::int64_t>(0, ownUnread - unreadTokens);
    if (priority >= URGENCY_LEVELS) {
        // A late run waits behind all others, which says nothing about the backend server.
        return;
    }
    const absl::Time now = m_timers.now();
    ServiceState &service = m_services[target->server.service];
    double expected = std::max(5.0, absl::ToDoubleMilliseconds(target->lastEstimate) / std::max(0.5, target->slowness));
    if (!isEngineService(target->server.service)) {
        const double usualMs = absl::ToDoubleMilliseconds(latency) / target->speed.momentaryFactor(now);
        service.runMs += SERVER_SMOOTHING * (usualMs / runsPerSlot(*target) - service.runMs);
    } else if (start.tokensToRead > 0 && !start.hasWaitedForSlot) {
        // The rate and the momentary cost are known by themselves, so that slowness has only what they do not explain.
        target->speed.noteAnswer(start, latency, now, service.speed);
        expected = usualReadMs(start.tokensToRead, target->speed.readRate(service.speed)) * (start.momentaryFactor + target->speed.momentaryFactor(now)) / 2;
    }
    const double ratio = std::clamp(absl::ToDoubleMilliseconds(latency) / expected, 0.3, 6.0);
    target->slowness = std::clamp(target->slowness + SERVER_SMOOTHING * (ratio - target->slowness), 0.5, 4.0);
}

void BackendTable::finished(
    const core::BackendServerId &id, int priority, std::int64_t unreadTokens, RunEnd end, absl::Duration duration, std::int64_t ownTokens)
{
    ServerState *target = findState(id);
    if (target == nullptr) {
        return;
    }
    target->running = std::max(0, target->running - 1);
    target->ownTokens = std::max<std::int64_t>(0, target->ownTokens - ownTokens);
    updateMemoryUse(*target);
    std::int64_t &ownUnread = target->ownUnread[urgencyOf(priority)];
    ownUnread = std::max<std::int64_t>(0, ownUnread - unreadTokens);
    if (end == RunEnd::Cancelled || end == RunEnd::OwnFailure) {
        return;
    }
    const bool hasFailed = end == RunEnd::ServerError || end == RunEnd::Unreachable;
    target->failureShare += SERVER_SMOOTHING * ((hasFailed ? 1.0 : 0.0) - target->failureShare);
    double &serviceShare = m_services[target->server.service].failureShare;
    serviceShare += SERVICE_SMOOTHING * ((hasFailed ? 1.0 : 0.0) - serviceShare);
    if (!hasFailed) {
        if (end == RunEnd::Success) {
            // For other services answered() measures how long a run takes.
            if (isEngineService(target->server.service)) {
                double &runMs = m_services[target->server.service].runMs;
                runMs += SERVICE_SMOOTHING * (absl::ToDoubleMilliseconds(duration) - runMs);
            }
            target->consecutiveFailures = 0;
            target->ejectionTime = absl::ZeroDuration();
        }
        return;
    }
    ++target->consecutiveFailures;
    target->wasUnreached = end == RunEnd::Unreachable;
    // An unreachable backend server is ejected after two consecutive failures. Failures of individual requests need a longer series.
    if (target->consecutiveFailures >= EJECTION_FAILURES || (end == RunEnd::Unreachable && target->consecutiveFailures >= 2)) {
        target->ejectionTime = std::clamp(target->ejectionTime * 2, MIN_EJECTION, MAX_EJECTION);
        target->ejectedUntil = m_timers.now() + target->ejectionTime;
        target->consecutiveFailures = 0;
    }
}

ColdPacing &BackendTable::coldPacing()
{
    return m_coldPacing;
}

ServerLimits &BackendTable::limits()
{
    return m_limits;
}

void BackendTable::noteReport(const core::BackendServerId &id, const RunReport &report, bool isSuccess, absl::Time runStartedAt, Journal &journal)
{
    noteLoad(id, report, journal);
    if (report.isLimitUnreadable) {
        journal.log(core::LogEvent{"limit_unreadable", {}}.with("server", id.value()));
    }
    if (report.requestLimit.has_value()) {
        journal.count("limits_named_total", "", 1);
    }
    if (report.isPauseUnreadable) {
        journal.log(core::LogEvent{"pause_unreadable", {}}.with("server", id.value()));
    }
    if (report.isBrittleRateUnreadable) {
        journal.log(core::LogEvent{"brittle_rate_unreadable", {}}.with("server", id.value()));
    }
    noteFurtherWork(id, report, isSuccess, runStartedAt, journal);
    const BackendServer *server = find(id);
    if (server != nullptr) {
        m_brittle.note(*server, report, journal);
    }
    if (server != nullptr && m_limits.note(*server, report, isSuccess, runStartedAt)) {
        journal.log(core::LogEvent{report.requestLimit.has_value() ? "limit_named" : "limit_ended", {}}
                        .with("server", id.value())
                        .with("per_second", absl::StrCat(report.requestLimit.value_or(0))));
    }
}

void BackendTable::noteLoad(const core::BackendServerId &id, const RunReport &report, Journal &journal)
{
    ServerState *state = findState(id);
    // The load in the answer of another process says nothing about this backend server.
    if (state == nullptr || report.isWrongServer) {
        return;
    }
    reportLoad(id, report.running, report.waiting);
    const absl::Time now = m_timers.now();
    const bool isClamped = report.momentaryCost.has_value() && !state->speed.noteMomentaryCost(*report.momentaryCost, now);
    if (report.isLoadUnreadable || isClamped) {
        journal.count(report.isLoadUnreadable ? "loads_unreadable_total" : "loads_clamped_total", state->server.service.value(), 1);
    }
    if (!(report.isLoadUnreadable || isClamped) || now - state->loadLoggedAt < LOAD_LOG_INTERVAL) {
        return;
    }
    state->loadLoggedAt = now;
    if (report.isLoadUnreadable) {
        journal.log(core::LogEvent{"load_unreadable", {}}.with("server", id.value()).with("reason", report.loadFault));
        return;
    }
    journal.log(core::LogEvent{"load_clamped", {}}
                    .with("server", id.value())
                    .with("stated", absl::StrCat(*report.momentaryCost))
                    .with("used", absl::StrCat(state->speed.momentaryFactor(now))));
}

void BackendTable::noteFurtherWork(const core::BackendServerId &id, const RunReport &report, bool isSuccess, absl::Time runStartedAt, Journal &journal)
{
    ServerState *state = findState(id);
    if (state == nullptr || runStartedAt < state->restartKnownAt) {
        return;
    }
    const ServerNotices::Change change = m_notices.note(state->server, report, isSuccess, runStartedAt);
    if (change.isLeaving) {
        state->server.isDraining = true;
        journal.log(core::LogEvent{"server_leaving", {}}.with("server", id.value()));
    }
    if (change.pause > absl::ZeroDuration()) {
        journal.log(core::LogEvent{"server_paused", {}}.with("server", id.value()).with("pause_ms", absl::StrCat(absl::ToInt64Milliseconds(change.pause))));
    }
}

const ServerNotices &BackendTable::notices() const
{
    return m_notices;
}

void BackendTable::reportLoad(const core::BackendServerId &id, int running, int waiting)
{
    refreshPeerWork();
    ServerState *target = findState(id);
    if (target == nullptr || running < 0 || waiting < 0) {
        return;
    }
    // All runs that the backend server reports beyond this instance's own come from other instances, even if their reports were lost.
    target->peerRunning = std::max(0, running + waiting - target->running);
    updateMemoryUse(*target);
}

BackendTable::ServerState *BackendTable::findState(const core::BackendServerId &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace snipeferry::gateway
