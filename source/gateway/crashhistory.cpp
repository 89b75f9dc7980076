#include "snipeferry/gateway/crashhistory.h"

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

constexpr std::size_t MAX_CRASHES = 64;
constexpr absl::Duration CRASH_LIFETIME = absl::Minutes(10);
/** Missing reports after which the announcement of a crashed backend server ends. */
constexpr int MISSED_REPORTS = 3;
/** Time in which the news of that end arrive, also through a watch that had to be begun again. */
constexpr absl::Duration ANNOUNCEMENT_NEWS_TIME = absl::Milliseconds(4400);
/** Connections that a crash ends are noticed within this time of each other. */
constexpr absl::Duration SAME_END_TIME = absl::Milliseconds(500);
/** Parts kept of one crash. Beyond it only those of a possible culprit are added, up to the hard limit. */
constexpr std::size_t MAX_PARTS = 256;
constexpr std::size_t MAX_CULPRIT_PARTS = 512;
/** Whole requests kept of one crash, beside the parts. */
constexpr std::size_t MAX_REQUESTS = 256;
constexpr std::size_t MAX_RECENT_REPORTS = 16;

} // namespace

bool Crash::isExplainedBy(const std::string &part) const
{
    const auto it = parts.find(part);
    if (it == parts.end()) {
        return false;
    }
    if (isRequestFingerprint(part)) {
        return it->second != AnswerProgress::Writing;
    }
    const auto isBegun = [](const std::pair<const std::string, AnswerProgress> &entry) {
        return entry.second == AnswerProgress::Begun && !isRequestFingerprint(entry.first);
    };
    return it->second == AnswerProgress::Begun || std::none_of(parts.begin(), parts.end(), isBegun);
}

CrashHistory::CrashHistory(absl::Duration serverReportPeriod, core::TimerService &timers)
    : m_confirmationTime(MISSED_REPORTS * serverReportPeriod + ANNOUNCEMENT_NEWS_TIME),
      m_timers(timers)
{
}

Crash *CrashHistory::find(const core::BackendServerId &server, std::int64_t startedAtMs)
{
    for (auto it = m_crashes.rbegin(); it != m_crashes.rend(); ++it) {
        if (it->server == server && it->startedAtMs == startedAtMs) {
            // Without a stated start, a later crash of the same identifier is another one.
            return startedAtMs != 0 || m_timers.now() - it->at < m_confirmationTime ? &*it : nullptr;
        }
    }
    return nullptr;
}

Crash &CrashHistory::findOrAdd(const core::BackendServerId &server, std::int64_t startedAtMs, const core::ServiceId &service, absl::Time at)
{
    Crash *known = find(server, startedAtMs);
    if (known != nullptr) {
        known->at = std::min(known->at, at);
        return *known;
    }
    if (m_crashes.size() >= MAX_CRASHES) {
        m_crashes.pop_front();
    }
    Crash crash;
    crash.server = server;
    crash.startedAtMs = startedAtMs;
    crash.service = service;
    crash.at = at;
    m_crashes.push_back(std::move(crash));
    return m_crashes.back();
}

bool CrashHistory::addPart(Crash &crash, const std::string &part, AnswerProgress progress)
{
    const auto known = crash.parts.find(part);
    if (known == crash.parts.end()) {
        const bool isRequest = isRequestFingerprint(part);
        const std::size_t count = isRequest ? crash.requestCount : crash.parts.size() - crash.requestCount;
        const std::size_t partLimit = progress == AnswerProgress::Begun ? MAX_CULPRIT_PARTS : MAX_PARTS;
        if (count >= (isRequest ? MAX_REQUESTS : partLimit)) {
            return false;
        }
        crash.parts.emplace(part, progress);
        crash.requestCount += isRequest ? 1 : 0;
    } else if (known->second < progress) {
        known->second = progress;
    } else {
        return false;
    }
    if (crash.isConfirmed()) {
        noteLastCrash(crash, part);
    }
    return true;
}

void CrashHistory::noteLastCrash(const Crash &crash, const std::string &part)
{
    absl::Time &last = m_lastCrashes.try_emplace(PartKey{crash.service, part}, absl::InfinitePast()).first->second;
    last = std::max(last, crash.at);
}

void CrashHistory::confirm(Crash &crash)
{
    if (crash.isConfirmed()) {
        return;
    }
    crash.confirmedAt = m_timers.now();
    crash.hasNews = true;
    for (const auto &part : crash.parts) {
        noteLastCrash(crash, part.first);
    }
}

void CrashHistory::addBrokenRun(const BackendServer &server, const RunContent &content, AnswerProgress progress)
{
    Crash &crash = findOrAdd(server.id, server.startedAtMs, server.service, m_timers.now());
    for (const std::string &part : content.ids()) {
        if (addPart(crash, part, progress)) {
            crash.hasNews = true;
        }
    }
}

void CrashHistory::addSoundRun(const BackendServer &server, absl::Time startedAt)
{
    const auto isRefuted = [&server, startedAt](const Crash &crash) {
        return crash.server == server.id && crash.startedAtMs == server.startedAtMs && crash.at < startedAt;
    };
    m_crashes.erase(std::remove_if(m_crashes.begin(), m_crashes.end(), isRefuted), m_crashes.end());
}

bool CrashHistory::mayHaveCrashedAt(const BackendServer &server, absl::Time at) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [this, &server, at](const Crash &crash) {
        return crash.server == server.id && crash.startedAtMs == server.startedAtMs && crash.at - at < SAME_END_TIME && at - crash.at < m_confirmationTime;
    });
}

void CrashHistory::addEndedProcess(const BackendServer &server, absl::Time endedAt)
{
    // The crash may have ended only runs of other instances, which need to know that it was one.
    confirm(findOrAdd(server.id, server.startedAtMs, server.service, endedAt));
}

void CrashHistory::addEndOfProcess(const core::BackendServerId &server)
{
    const absl::Time now = m_timers.now();
    for (Crash &crash : m_crashes) {
        if (crash.server == server && now - crash.at < m_confirmationTime) {
            confirm(crash);
        }
    }
}

bool CrashHistory::merge(const CrashReport &report)
{
    const absl::Time now = m_timers.now();
    if (report.ago > CRASH_LIFETIME) {
        return false;
    }
    const bool isKnown = find(report.server, report.startedAtMs) != nullptr;
    Crash &crash = findOrAdd(report.server, report.startedAtMs, report.service, now - report.ago);
    bool isNew = !isKnown || !crash.isConfirmed();
    // Own news of the crash wait for its confirmation.
    const bool hadNews = crash.hasNews;
    confirm(crash);
    crash.hasNews = hadNews;
    for (const PartInWork &part : report.parts) {
        isNew = addPart(crash, part.part, part.progress) || isNew;
    }
    return isNew;
}

CrashReport CrashHistory::reportOf(const Crash &crash) const
{
    CrashReport report;
    report.server = crash.server;
    report.startedAtMs = crash.startedAtMs;
    report.service = crash.service;
    report.ago = m_timers.now() - crash.at;
    for (const auto &part : crash.parts) {
        report.parts.push_back({part.first, part.second});
    }
    return report;
}

std::vector<CrashReport> CrashHistory::takeNews()
{
    std::vector<CrashReport> news;
    for (Crash &crash : m_crashes) {
        if (crash.hasNews && crash.isConfirmed()) {
            crash.hasNews = false;
            news.push_back(reportOf(crash));
        }
    }
    return news;
}

std::vector<CrashReport> CrashHistory::recentReports() const
{
    std::vector<CrashReport> reports;
    for (auto it = m_crashes.rbegin(); it != m_crashes.rend() && reports.size() < MAX_RECENT_REPORTS; ++it) {
        if (it->isConfirmed() && !it->parts.empty()) {
            reports.push_back(reportOf(*it));
        }
    }
    return reports;
}

const std::deque<Crash> &CrashHistory::all() const
{
    return m_crashes;
}

absl::Time CrashHistory::lastCrashOf(const PartKey &key) const
{
    const auto it = m_lastCrashes.find(key);
    return it == m_lastCrashes.end() ? absl::InfinitePast() : it->second;
}

void CrashHistory::removeExpired()
{
    const absl::Time now = m_timers.now();
    const auto isExpired = [this, now](const Crash &crash) {
        return now - crash.at > (crash.isConfirmed() ? CRASH_LIFETIME : m_confirmationTime);
    };
    m_crashes.erase(std::remove_if(m_crashes.begin(), m_crashes.end(), isExpired), m_crashes.end());
    // Parts of crashes that are gone need no clearance any more.
    m_lastCrashes.clear();
    for (const Crash &crash : m_crashes) {
        for (const auto &part : crash.parts) {
            if (crash.isConfirmed()) {
                noteLastCrash(crash, part.first);
            }
        }
    }
}

} // namespace snipeferry::gateway
