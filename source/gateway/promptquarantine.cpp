#include "snipeferry/gateway/promptquarantine.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Time after a crash's confirmation in which the other instances' reports of it, and of runs that ended well since, arrive. */
constexpr absl::Duration SETTLE_TIME = absl::Milliseconds(600);
/** Time after which a run that ended with its connection counts as sound, if there is no sign of a crash. */
constexpr absl::Duration CLOSED_RUN_DELAY = absl::Milliseconds(300);
constexpr std::size_t MAX_CLOSED_RUNS = 1024;
constexpr absl::Duration EVALUATION_PERIOD = absl::Milliseconds(100);
constexpr absl::Duration SWEEP_PERIOD = absl::Seconds(1);
constexpr std::size_t MAX_QUARANTINED = 128;
/** Rounds of one evaluation. Each quarantines the parts that are blamed most, which may explain the crashes of others. */
constexpr int MAX_EVALUATION_ROUNDS = 8;
/** Parts, and whole requests, in each generation of those that ended well. */
constexpr std::size_t MAX_CLEARED = 4096;

std::vector<std::string> otherParts(const std::vector<PartBlame> &blamed, const PartKey &key)
{
    std::vector<std::string> others;
    for (const PartBlame &blame : blamed) {
        if (blame.key() != key) {
            others.push_back(blame.key().part);
        }
    }
    return others;
}

bool isEarlier(const Crash *left, const Crash *right)
{
    return left->at < right->at;
}

} // namespace

PromptQuarantine::PromptQuarantine(absl::Duration serverReportPeriod, core::TimerService &timers, Journal &journal)
    : m_timers(timers),
      m_journal(journal),
      m_crashes(serverReportPeriod, timers),
      m_clearedParts(MAX_CLEARED),
      m_clearedRequests(MAX_CLEARED),
      m_evaluationTimer(timers.every(EVALUATION_PERIOD, [this] { evaluate(); })),
      m_sweepTimer(timers.every(SWEEP_PERIOD, [this] { sweep(); }))
{
}

void PromptQuarantine::addFailedRun(const BackendServer &server, const RunContent &content, AnswerProgress progress, const std::string &reason)
{
    if (server.isDraining) {
        return;
    }
    evidenceChanged();
    if (reason == REASON_CONNECT_REFUSED) {
        m_crashes.addEndedProcess(server, m_timers.now());
    } else if (reason == REASON_NO_ANSWER || reason == REASON_ANSWER_BROKEN_OFF) {
        m_crashes.addBrokenRun(server, content, progress);
    }
}

void PromptQuarantine::addEndedProcess(const BackendServer &server, absl::Time endedAt)
{
    if (!server.isDraining) {
        evidenceChanged();
        m_crashes.addEndedProcess(server, endedAt);
    }
}

void PromptQuarantine::addEndedRun(const BackendServer &server, const RunContent &content, absl::Time startedAt, AnswerEnd end)
{
    const absl::Time now = m_timers.now();
    if (end == AnswerEnd::Framed) {
        m_crashes.addSoundRun(server, startedAt);
        addSoundRun(server, content.ids(), now);
        return;
    }
    if (m_closedRuns.size() >= MAX_CLOSED_RUNS) {
        m_closedRuns.pop_front();
    }
    m_closedRuns.push_back({server, content.ids(), now});
}

void PromptQuarantine::checkClosedRuns()
{
    const absl::Time now = m_timers.now();
    while (!m_closedRuns.empty() && now - m_closedRuns.front().endedAt >= CLOSED_RUN_DELAY) {
        const ClosedRun run = std::move(m_closedRuns.front());
        m_closedRuns.pop_front();
        if (!m_crashes.mayHaveCrashedAt(run.server, run.endedAt)) {
            addSoundRun(run.server, run.parts, run.endedAt);
        }
    }
}

void PromptQuarantine::addSoundRun(const BackendServer &server, const std::vector<std::string> &parts, absl::Time endedAt)
{
    for (const std::string &part : parts) {
        const PartKey key{server.service, part};
        // The others have to know if it clears the part of a crash.
        if (m_crashes.lastCrashOf(key) > clearedAt(key) || m_quarantined.contains(key)) {
            m_clearanceNews.push_back(key);
        }
        noteCleared(key, endedAt);
    }
}

void PromptQuarantine::addEndOfProcess(const core::BackendServerId &server)
{
    evidenceChanged();
    m_crashes.addEndOfProcess(server);
}

absl::Time PromptQuarantine::clearedAt(const PartKey &key) const
{
    return isRequestFingerprint(key.part) ? m_clearedRequests.last(key) : m_clearedParts.last(key);
}

void PromptQuarantine::noteCleared(const PartKey &key, absl::Time at)
{
    (isRequestFingerprint(key.part) ? m_clearedRequests : m_clearedParts).note(key, at);
    const auto entry = m_quarantined.find(key);
    if (entry == m_quarantined.end()) {
        return;
    }
    if (isExonerated(describe(entry->second), at)) {
        release(key, "ended_well");
        // Its crashes may be without an explanation now.
        evidenceChanged();
    }
}

bool PromptQuarantine::isExonerated(const QuarantinedPart &part, absl::Time endedWellAt) const
{
    if (!part.equallyBlamed.empty()) {
        return endedWellAt > absl::InfinitePast();
    }
    return endedWellAt > m_timers.now() - part.lastCrashAgo;
}

const QuarantinedPart *PromptQuarantine::find(const core::ServiceId &service, const RunContent &content)
{
    if (m_quarantined.empty()) {
        return nullptr;
    }
    for (const std::string &part : content.ids()) {
        const auto it = m_quarantined.find(PartKey{service, part});
        if (it != m_quarantined.end()) {
            it->second.lastAskedAt = m_timers.now();
            it->second.part.lastCrashAgo = m_timers.now() - it->second.lastCrashAt;
            return &it->second.part;
        }
    }
    return nullptr;
}

PromptQuarantine::Explanation PromptQuarantine::explain(const Crash &crash) const
{
    Explanation explanation;
    for (const auto &entry : m_quarantined) {
        if (entry.first.service == crash.service && crash.isExplainedBy(entry.first.part)) {
            (isRequestFingerprint(entry.first.part) ? explanation.byRequest : explanation.byPart) = true;
        }
    }
    return explanation;
}

bool PromptQuarantine::isAtAllCrashes(const PartKey &key, const Crash &crash, const std::vector<const Crash *> &crashes)
{
    return std::all_of(crashes.begin(), crashes.end(), [&key, &crash](const Crash *other) {
        const bool isSameMoment = other->service == key.service && absl::AbsDuration(other->at - crash.at) < PartBlame::MOMENT_GAP;
        return !isSameMoment || other->parts.count(key.part) > 0;
    });
}

PartBlame PromptQuarantine::blame(const PartKey &key, const std::vector<const Crash *> &withPart, const std::vector<const Crash *> &all) const
{
    PartBlame blame(key, clearedAt(key));
    for (const Crash *crash : withPart) {
        // Where moments are counted it makes no difference.
        const bool isAtAll = blame.everEndedWell() || isAtAllCrashes(key, *crash, all);
        blame.add(*crash, crash->parts.at(key.part), isAtAll);
    }
    return blame;
}

std::vector<PartBlame> PromptQuarantine::unexplainedBlame() const
{
    const absl::Time now = m_timers.now();
    std::vector<const Crash *> crashes;
    for (const Crash &crash : m_crashes.all()) {
        if (crash.isConfirmed() && now - crash.confirmedAt >= SETTLE_TIME) {
            crashes.push_back(&crash);
        }
    }
    std::sort(crashes.begin(), crashes.end(), isEarlier);
    absl::flat_hash_map<PartKey, std::vector<const Crash *>> inWork;
    for (const Crash *crash : crashes) {
        const Explanation explanation = explain(*crash);
        if (explanation.byPart) {
            continue;
        }
        for (const auto &part : crash->parts) {
            // A part on which a run had begun may be the cause even if a request that crashes servers was in work beside it.
            const bool mayBeCause = part.second == AnswerProgress::Begun && !isRequestFingerprint(part.first);
            if (explanation.byRequest && !mayBeCause) {
                continue;
            }
            inWork[PartKey{crash->service, part.first}].push_back(crash);
        }
    }
    std::vector<PartBlame> all;
    for (const auto &entry : inWork) {
        if (entry.second.size() >= PartBlame::MIN_CRASHES) {
            all.push_back(blame(entry.first, entry.second, crashes));
        }
    }
    return all;
}

void PromptQuarantine::evidenceChanged()
{
    m_evaluateUntil = m_timers.now() + SETTLE_TIME + 2 * EVALUATION_PERIOD;
}

void PromptQuarantine::evaluate()
{
    checkClosedRuns();
    if (m_timers.now() > m_evaluateUntil) {
        return;
    }
    // More parts may be blamed than can be quarantined; what remains is left to the next evaluation.
    for (int round = 0; round < MAX_EVALUATION_ROUNDS; ++round) {
        std::vector<PartBlame> blamed = unexplainedBlame();
        const auto changesNothing = [this](const PartBlame &blame) {
            // A quarantined part does not explain the crashes at which it waited or wrote while others began.
            return !blame.isEnough() || m_quarantined.contains(blame.key());
        };
        blamed.erase(std::remove_if(blamed.begin(), blamed.end(), changesNothing), blamed.end());
        if (blamed.empty()) {
            return;
        }
        // Among the parts of the most crashes, one that has never ended well is the likelier cause than its neighbours in the same prompts.
        const auto isLess = [](const PartBlame &left, const PartBlame &right) {
            return std::make_pair(left.crashes(), !left.everEndedWell()) < std::make_pair(right.crashes(), !right.everEndedWell());
        };
        const PartBlame worst = *std::max_element(blamed.begin(), blamed.end(), isLess);
        const auto isLikeWorst = [&worst](const PartBlame &blame) {
            return blame.crashes() == worst.crashes() && blame.everEndedWell() == worst.everEndedWell() && blame.key().service == worst.key().service;
        };
        blamed.erase(std::remove_if(blamed.begin(), blamed.end(), std::not_fn(isLikeWorst)), blamed.end());
        for (const PartBlame &blame : blamed) {
            QuarantinedPart part{blame.key(), blame.crashes(), m_timers.now() - blame.lastCrashAt(), {}};
            if (!worst.everEndedWell()) {
                part.equallyBlamed = otherParts(blamed, blame.key());
                if (isRequestFingerprint(blame.key().part)) {
                    // Whoever knows of a copy that ended well at any time has it released.
                    part.equallyBlamed.push_back(blame.key().part);
                }
            }
            quarantine(part, "evidence");
            m_quarantineNews.push_back(blame.key());
        }
    }
}

bool PromptQuarantine::isSuspect(const core::ServiceId &service, const RunContent &content) const
{
    std::vector<const Crash *> crashes;
    for (const Crash &crash : m_crashes.all()) {
        if (crash.service == service) {
            crashes.push_back(&crash);
        }
    }
    std::sort(crashes.begin(), crashes.end(), isEarlier);
    for (const std::string &part : content.ids()) {
        std::vector<const Crash *> withPart;
        std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(withPart), [&part](const Crash *crash) { return crash->parts.count(part) > 0; });
        if (blame(PartKey{service, part}, withPart, crashes).isSuspect()) {
            return true;
        }
    }
    return false;
}

void PromptQuarantine::quarantine(const QuarantinedPart &part, const std::string &source)
{
    const PartKey &key = part.key;
    const absl::Time now = m_timers.now();
    const absl::Time lastCrashAt = now - part.lastCrashAgo;
    const auto known = m_quarantined.find(key);
    if (known != m_quarantined.end()) {
        known->second.lastCrashAt = std::max(known->second.lastCrashAt, lastCrashAt);
        known->second.part.crashes = std::max(known->second.part.crashes, part.crashes);
        return;
    }
    if (m_quarantined.size() >= MAX_QUARANTINED) {
        const auto isAskedEarlier = [](const auto &left, const auto &right) {
            return left.second.lastAskedAt < right.second.lastAskedAt;
        };
        const PartKey dropped = std::min_element(m_quarantined.begin(), m_quarantined.end(), isAskedEarlier)->first;
        release(dropped, "too_many");
    }
    m_quarantined[key] = Entry{part, lastCrashAt, now};
    m_journal.log(core::LogEvent{"part_quarantined", {}}
                      .with("service", key.service.value())
                      .with("part", key.part)
                      .with("crashes", absl::StrCat(part.crashes))
                      .with("last_crash_ms", absl::StrCat(absl::ToInt64Milliseconds(part.lastCrashAgo)))
                      .with("equally_blamed", absl::StrCat(part.equallyBlamed.size()))
                      .with("source", source));
    m_journal.count("parts_quarantined_total", source, 1);
    m_changed.emit(QuarantineRecord{key, part.crashes, false});
}

void PromptQuarantine::release(const PartKey &key, const std::string &reason)
{
    const auto it = m_quarantined.find(key);
    if (it == m_quarantined.end()) {
        return;
    }
    const int crashes = it->second.part.crashes;
    m_quarantined.erase(it);
    m_journal.log(core::LogEvent{"part_released", {}}.with("service", key.service.value()).with("part", key.part).with("reason", reason));
    m_changed.emit(QuarantineRecord{key, crashes, true});
}

core::Signal<QuarantineRecord> &PromptQuarantine::changed()
{
    return m_changed;
}

void PromptQuarantine::sweep()
{
    if (!m_crashes.all().empty()) {
        m_crashes.removeExpired();
    }
}

} // namespace snipeferry::gateway
