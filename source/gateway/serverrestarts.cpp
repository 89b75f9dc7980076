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
/** Time in which an instance has asked and told the others the answer. */
constexpr absl::Duration ASK_INTERVAL = absl::Milliseconds(200);
/** Time in which a process has to answer how long it remains cold. */
constexpr absl::Duration ANSWER_TIME = absl::Seconds(1);
constexpr int STATUS_OK = 200;
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
    const HeaderCodec &headers, RunNumbers &runNumbers, RunTransport &runs, Journal &journal, AskRank askRank)
    : m_timers(timers),
      m_backends(backends),
      m_paths(paths),
      m_quarantine(quarantine),
      m_headers(headers),
      m_runNumbers(runNumbers),
      m_runs(runs),
      m_journal(journal),
      m_askRank(std::move(askRank)),
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
        suspect(server, reason, heardAt(server.id));
    }
}

absl::Time ServerRestarts::heardAt(const core::BackendServerId &server) const
{
    const auto heard = m_heardAt.find(server);
    return heard == m_heardAt.end() ? absl::InfinitePast() : heard->second;
}

void ServerRestarts::noteAnswer(const core::BackendServerId &server)
{
    m_heardAt[server] = m_timers.now();
}

void ServerRestarts::notePathsRegained(const core::ServiceId &service)
{
    for (const BackendServer &server : m_backends.acceptingServers(service)) {
        suspect(server, REASON_CUT_OFF, absl::InfinitePast());
        const auto it = m_suspicions.find(server.id);
        if (it != m_suspicions.end()) {
            it->second.isAfterCut = true;
        }
    }
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

void ServerRestarts::suspectReported(const BackendServer &server, absl::Time signAt)
{
    if (!m_suspicions.contains(server.id)) {
        // The first sign may have come long after the end, and what was heard here since may be the successor's.
        suspect(server, REASON_REPORTED, std::min(signAt, heardAt(server.id)));
    }
    const auto it = m_suspicions.find(server.id);
    if (it != m_suspicions.end()) {
        it->second.hasEnded = true;
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
    m_openRuns[suspicion.check] = suspicion.server.id;
    m_journal.count("server_restart_checks_total", suspicion.server.service.value(), 1);
    m_runs.checkPath(suspicion.check, suspicion.server);
}

void ServerRestarts::checkEnded(Suspicion &suspicion, bool isReached, const std::string &reason)
{
    const core::BackendServerId id = suspicion.server.id;
    const absl::Time now = m_timers.now();
    suspicion.check = 0;
    suspicion.isOutOfReach = !isReached;
    if (isReached && suspicion.checkedAt < suspicion.isSameUntil) {
        decide(id, "same_process");
        return;
    }
    m_backends.setRestartSuspicion(id, now + suspicion.coldTime, suspicion.isOutOfReach);
    if (!isReached) {
        suspicion.isSameUntil = absl::InfinitePast();
        // A lost path of this instance says nothing about the process.
        if (reason == REASON_CONNECT_REFUSED && !m_paths.isInDoubt(suspicion.server.service)) {
            endProcess(suspicion, now);
        }
        return;
    }
    // A sign that came during the check may be newer than the process that was reached.
    if (suspicion.signAt > suspicion.checkedAt) {
        return;
    }
    suspicion.reachedAt = now;
    suspicion.coldUntil = now + suspicion.coldTime;
    suspicion.askAt = now + static_cast<double>(m_askRank(id, suspicion.isAfterCut)) * ASK_INTERVAL;
    askIfDue(suspicion);
}

void ServerRestarts::endProcess(Suspicion &suspicion, absl::Time endedAt)
{
    if (!std::exchange(suspicion.hasEnded, true)) {
        m_quarantine.addEndedProcess(suspicion.server, endedAt);
    }
}

void ServerRestarts::askIfDue(Suspicion &suspicion)
{
    const std::string path = m_backends.statePath(suspicion.server.id);
    // The announcement of a process that has started for certain follows.
    if (suspicion.hasEnded || m_timers.now() < suspicion.askAt || path.empty()) {
        return;
    }
    suspicion.askAt = absl::InfiniteFuture();
    stopQuestion(suspicion);
    suspicion.askedAt = m_timers.now();
    suspicion.question = m_runNumbers.next();
    m_openRuns[suspicion.question] = suspicion.server.id;
    m_journal.count("server_state_questions_total", suspicion.server.service.value(), 1);
    m_runs.askState(suspicion.question, suspicion.server, m_headers.stateQuestion(suspicion.server.id, path));
}

void ServerRestarts::answered(Suspicion &suspicion, const HttpHead &head)
{
    stopQuestion(suspicion);
    // A sign that came since is newer than the answer.
    if (suspicion.reachedAt == absl::InfinitePast()) {
        return;
    }
    const RunReport report = m_headers.decodeAnswer(head);
    m_backends.noteLoad(suspicion.server.id, report, m_journal);
    const absl::Duration coldLeft = report.coldLeft.value_or(absl::ZeroDuration());
    if (coldLeft > absl::ZeroDuration()) {
        const absl::Time now = m_timers.now();
        suspicion.coldUntil = now + coldLeft;
        m_backends.setRestartSuspicion(suspicion.server.id, suspicion.coldUntil, false);
        endProcess(suspicion, std::min(now, suspicion.coldUntil - suspicion.coldTime) - MIN_RESTART_TIME);
    } else if (head.status == STATUS_OK && !report.isColdTimeUnreadable) {
        decide(suspicion.server.id, "not_cold");
    }
}

void ServerRestarts::stopQuestion(Suspicion &suspicion)
{
    if (suspicion.question != 0) {
        m_openRuns.erase(suspicion.question);
        m_runs.cancel(std::exchange(suspicion.question, 0));
    }
}

ServerRestarts::Suspicion *ServerRestarts::findByRun(Number run)
{
    const auto open = m_openRuns.find(run);
    const auto it = open == m_openRuns.end() ? m_suspicions.end() : m_suspicions.find(open->second);
    return it != m_suspicions.end() && (it->second.check == run || it->second.question == run) ? &it->second : nullptr;
}

void ServerRestarts::decide(const core::BackendServerId &server, const std::string &outcome)
{
    const auto it = m_suspicions.find(server);
    stopQuestion(it->second);
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

std::string ServerRestarts::outcomeOf(const Suspicion &suspicion) const
{
    const BackendServer *server = m_backends.find(suspicion.server.id);
    if (server == nullptr) {
        return "gone";
    }
    if (server->startedAtMs != suspicion.server.startedAtMs) {
        return "announced";
    }
    return suspicion.reachedAt > absl::InfinitePast() && m_timers.now() >= suspicion.coldUntil ? "warm" : "";
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
            continue;
        }
        if (suspicion.question != 0 && now - suspicion.askedAt > ANSWER_TIME) {
            stopQuestion(suspicion);
        }
        if (suspicion.reachedAt > absl::InfinitePast()) {
            askIfDue(suspicion);
            continue;
        }
        m_backends.setRestartSuspicion(entry.first, now + suspicion.coldTime, suspicion.isOutOfReach);
        // While this instance is cut off, a check tells nothing. It is due when the paths are back.
        suspicion.nextCheckAt = m_paths.isCutOff(suspicion.server.service) ? now + SWEEP_PERIOD : suspicion.nextCheckAt;
        if (suspicion.check == 0 && suspicion.nextCheckAt <= now) {
            check(suspicion);
        }
    }
    for (const std::pair<core::BackendServerId, std::string> &entry : decided) {
        decide(entry.first, entry.second);
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
    return m_openRuns.contains(run);
}

void ServerRestarts::runHead(Number run, const HttpHead &head)
{
    Suspicion *suspicion = findByRun(run);
    if (suspicion != nullptr) {
        answered(*suspicion, head);
    }
}

void ServerRestarts::runData(Number /*run*/, const std::string & /*data*/)
{
    // The head of an answer says all.
}

void ServerRestarts::runEnd(Number run, AnswerEnd /*end*/)
{
    Suspicion *suspicion = findByRun(run);
    m_openRuns.erase(run);
    if (suspicion != nullptr && suspicion->check == run) {
        checkEnded(*suspicion, true, "");
    }
}

void ServerRestarts::runFailed(Number run, bool /*mayHaveRun*/, const std::string &reason)
{
    Suspicion *suspicion = findByRun(run);
    m_openRuns.erase(run);
    if (suspicion == nullptr) {
        return;
    }
    if (suspicion->check == run) {
        checkEnded(*suspicion, false, reason);
        return;
    }
    // Without an answer, the process counts as cold for as long as one that has just started.
    suspicion->question = 0;
    m_journal.log(core::LogEvent{"server_state_unknown", {}}.with("server", suspicion->server.id.value()).with("reason", reason));
}

} // namespace snipeferry::gateway
