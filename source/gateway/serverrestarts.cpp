#include "snipeferry/gateway/serverrestarts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** A process that ends does not accept connections again within this time. */
constexpr absl::Duration MIN_RESTART_TIME = absl::Milliseconds(250);
constexpr absl::Duration SWEEP_PERIOD = absl::Milliseconds(100);
/** Shortest interval between two checks of a backend server. */
constexpr absl::Duration MIN_CHECK_INTERVAL = absl::Milliseconds(250);
/** Interval between two checks of a backend server that is out of reach, as a fraction of the time for which a started process is cold. */
constexpr double CHECK_INTERVAL_FRACTION = 0.5;
/** Reports of ends that are older than this multiple of the cold time concern no cold process. */
constexpr double REPORT_AGE_FACTOR = 2;
/** Time for which it is kept when a backend server was last heard of. */
constexpr absl::Duration HEARD_MEMORY = absl::Seconds(1);
/** Time for which a report is kept of a backend server whose announcement this instance has not read. */
constexpr absl::Duration EARLY_REPORT_MEMORY = absl::Seconds(10);
/** Time in which the instances of a region hear which of them reach a service's backend servers, and which processes have ended. */
constexpr absl::Duration LOST_PATHS_NEWS_TIME = absl::Milliseconds(500);
/** Why a process may have ended, beside the reasons of failed runs. */
constexpr const char *REASON_REPORTED = "reported";

bool isEndOfConnection(const std::string &reason)
{
    return reason == REASON_CONNECT_REFUSED || reason == REASON_NO_ANSWER || reason == REASON_ANSWER_BROKEN_OFF;
}

/** Whether a machine without power may be the reason. */
bool isSilence(const std::string &reason)
{
    return reason == REASON_CONNECT_TIMEOUT || reason == REASON_CONNECT_FAILED || reason == REASON_CONNECTION_SILENT;
}

} // namespace

ServerRestarts::ServerRestarts(core::TimerService &timers, BackendTable &backends, const ServerPaths &paths, PromptQuarantine &quarantine,
    RunNumbers &runNumbers, RunTransport &runs, Journal &journal, NeighbourReaches neighbourReaches)
    : m_timers(timers),
      m_backends(backends),
      m_paths(paths),
      m_quarantine(quarantine),
      m_runNumbers(runNumbers),
      m_runs(runs),
      m_journal(journal),
      m_neighbourReaches(std::move(neighbourReaches)),
      m_sweepTimer(timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

void ServerRestarts::noteFailedRun(const BackendServer &server, const std::string &reason)
{
    if (m_paths.isCutOff(server.service)) {
        return;
    }
    if (isSilence(reason)) {
        suspect(server, reason, absl::InfinitePast());
    } else if (isEndOfConnection(reason)) {
        const auto heard = m_heardAt.find(server.id);
        suspect(server, reason, heard == m_heardAt.end() ? absl::InfinitePast() : heard->second);
    }
}

void ServerRestarts::noteAnswer(const core::BackendServerId &server)
{
    m_heardAt[server] = m_timers.now();
}

void ServerRestarts::noteReport(const CrashReport &report)
{
    const absl::Time now = m_timers.now();
    const BackendServer *server = m_backends.find(report.server);
    if (server == nullptr) {
        m_earlyReports[report.server] = {report, now};
    } else if (isRelevant(report, *server, now)) {
        suspectReported(*server, now - report.ago);
    }
}

void ServerRestarts::noteFirstAnnouncement(const BackendServer &server)
{
    const auto early = m_earlyReports.find(server.id);
    if (early == m_earlyReports.end()) {
        return;
    }
    const std::pair<CrashReport, absl::Time> entry = early->second;
    m_earlyReports.erase(early);
    if (isRelevant(entry.first, server, entry.second)) {
        suspectReported(server, entry.second - entry.first.ago);
    }
}

void ServerRestarts::suspectReported(const BackendServer &server, absl::Time endedAt)
{
    if (!m_suspicions.contains(server.id)) {
        suspect(server, REASON_REPORTED, endedAt);
    }
    const auto it = m_suspicions.find(server.id);
    if (it != m_suspicions.end()) {
        it->second.isReported = true;
    }
}

bool ServerRestarts::isRelevant(const CrashReport &report, const BackendServer &server, absl::Time receivedAt) const
{
    const absl::Duration age = m_timers.now() - receivedAt + report.ago;
    return server.startedAtMs == report.startedAtMs && age < REPORT_AGE_FACTOR * m_backends.coldTime(server.service);
}

void ServerRestarts::suspect(const BackendServer &server, const std::string &reason, absl::Time runningAt)
{
    const absl::Duration coldTime = m_backends.coldTime(server.service);
    if (coldTime <= absl::ZeroDuration()) {
        return;
    }
    const absl::Time now = m_timers.now();
    const bool isNew = !m_suspicions.contains(server.id);
    Suspicion &suspicion = m_suspicions[server.id];
    if (isNew) {
        suspicion.server = server;
        suspicion.coldTime = coldTime;
        suspicion.since = now;
        m_journal.count("server_restarts_suspected_total", reason, 1);
        m_journal.log(core::LogEvent{"server_restart_suspected", {}}
                          .with("server", server.id.value())
                          .with("started_at_ms", absl::StrCat(server.startedAtMs))
                          .with("reason", reason)
                          .with("unheard_ms", runningAt == absl::InfinitePast() ? "" : absl::StrCat(absl::ToInt64Milliseconds(now - runningAt))));
    }
    suspicion.signAt = now;
    suspicion.isSameUntil = std::min(suspicion.isSameUntil, runningAt + MIN_RESTART_TIME);
    suspicion.reachedAt = absl::InfinitePast();
    m_backends.setRestartSuspicion(server.id, now + coldTime, suspicion.isOutOfReach);
    suspicion.nextCheckAt = std::max(now, suspicion.checkedAt + MIN_CHECK_INTERVAL);
    if (suspicion.check == 0 && suspicion.nextCheckAt <= now) {
        check(suspicion);
    }
}

void ServerRestarts::check(Suspicion &suspicion)
{
    const absl::Time now = m_timers.now();
    suspicion.check = m_runNumbers.next();
    suspicion.checkedAt = now;
    suspicion.nextCheckAt = now + CHECK_INTERVAL_FRACTION * suspicion.coldTime;
    m_checks[suspicion.check] = suspicion.server.id;
    m_journal.count("server_restart_checks_total", suspicion.server.service.value(), 1);
    m_runs.checkPath(suspicion.check, suspicion.server);
}

void ServerRestarts::checkEnded(Number run, bool isReached, const std::string &reason)
{
    const auto checked = m_checks.find(run);
    if (checked == m_checks.end()) {
        return;
    }
    const core::BackendServerId id = checked->second;
    m_checks.erase(checked);
    const auto it = m_suspicions.find(id);
    if (it == m_suspicions.end() || it->second.check != run) {
        return;
    }
    Suspicion &suspicion = it->second;
    suspicion.check = 0;
    suspicion.isOutOfReach = !isReached;
    const absl::Time now = m_timers.now();
    if (isReached && suspicion.checkedAt < suspicion.isSameUntil) {
        dismiss(id, "same_process");
        return;
    }
    m_backends.setRestartSuspicion(id, now + suspicion.coldTime, suspicion.isOutOfReach);
    if (isReached) {
        // A sign that came during the check may be newer than the process that was reached.
        suspicion.reachedAt = suspicion.signAt <= suspicion.checkedAt ? now : absl::InfinitePast();
        return;
    }
    suspicion.isSameUntil = absl::InfinitePast();
    // A lost path of this instance says nothing about the process.
    if (reason == REASON_CONNECT_REFUSED && !m_paths.isInDoubt(suspicion.server.service) && !std::exchange(suspicion.hasEnded, true)) {
        m_quarantine.addRefusedCheck(suspicion.server);
    }
}

void ServerRestarts::dismiss(const core::BackendServerId &server, const std::string &outcome)
{
    const auto it = m_suspicions.find(server);
    const Suspicion suspicion = it->second;
    m_suspicions.erase(it);
    m_backends.setRestartSuspicion(server, absl::InfinitePast(), false);
    m_journal.log(core::LogEvent{"server_restart_decided", {}}
                      .with("server", server.value())
                      .with("started_at_ms", absl::StrCat(suspicion.server.startedAtMs))
                      .with("outcome", outcome)
                      .with("has_ended", suspicion.hasEnded ? "true" : "false")
                      .with("ago_ms", absl::StrCat(absl::ToInt64Milliseconds(m_timers.now() - suspicion.since))));
}

bool ServerRestarts::isExplainedByLostPaths(const Suspicion &suspicion) const
{
    const core::ServiceId &service = suspicion.server.service;
    const bool isConfirmed = suspicion.hasEnded || suspicion.isReported;
    return !isConfirmed && m_paths.isCutOff(service) && m_timers.now() - suspicion.since >= LOST_PATHS_NEWS_TIME && m_neighbourReaches(service);
}

std::string ServerRestarts::outcomeOf(const Suspicion &suspicion) const
{
    const BackendServer *server = m_backends.find(suspicion.server.id);
    if (server == nullptr) {
        return "gone";
    }
    if (server->startedAtMs != suspicion.server.startedAtMs) {
        return "announced";
    }
    if (isExplainedByLostPaths(suspicion)) {
        return "path_lost";
    }
    return m_timers.now() - suspicion.reachedAt >= suspicion.coldTime && suspicion.reachedAt > absl::InfinitePast() ? "warm" : "";
}

void ServerRestarts::sweep()
{
    const absl::Time now = m_timers.now();
    std::vector<std::pair<core::BackendServerId, std::string>> decided;
    for (auto &entry : m_suspicions) {
        Suspicion &suspicion = entry.second;
        const std::string outcome = outcomeOf(suspicion);
        if (!outcome.empty()) {
            decided.emplace_back(entry.first, outcome);
        } else if (suspicion.reachedAt == absl::InfinitePast()) {
            m_backends.setRestartSuspicion(entry.first, now + suspicion.coldTime, suspicion.isOutOfReach);
            if (suspicion.check == 0 && suspicion.nextCheckAt <= now) {
                check(suspicion);
            }
        }
    }
    for (const std::pair<core::BackendServerId, std::string> &entry : decided) {
        dismiss(entry.first, entry.second);
    }
    absl::erase_if(m_heardAt, [now](const auto &heard) { return now - heard.second > HEARD_MEMORY; });
    absl::erase_if(m_earlyReports, [now](const auto &report) { return now - report.second.second > EARLY_REPORT_MEMORY; });
}

std::vector<CrashReport> ServerRestarts::reports() const
{
    std::vector<CrashReport> reports;
    for (const auto &entry : m_suspicions) {
        const Suspicion &suspicion = entry.second;
        if (suspicion.hasEnded) {
            CrashReport report;
            report.server = entry.first;
            report.startedAtMs = suspicion.server.startedAtMs;
            report.service = suspicion.server.service;
            report.ago = m_timers.now() - std::max(suspicion.signAt, suspicion.checkedAt);
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

bool ServerRestarts::ownsRun(Number run) const
{
    return m_checks.contains(run);
}

void ServerRestarts::runHead(Number /*run*/, const HttpHead & /*head*/)
{
    // A check sends no request.
}

void ServerRestarts::runData(Number /*run*/, const std::string & /*data*/)
{
    // A check sends no request.
}

void ServerRestarts::runEnd(Number run, AnswerEnd /*end*/)
{
    checkEnded(run, true, "");
}

void ServerRestarts::runFailed(Number run, bool /*mayHaveRun*/, const std::string &reason)
{
    checkEnded(run, false, reason);
}

} // namespace snipeferry::gateway
