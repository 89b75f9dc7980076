#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/clearancelog.h"
#include "snipeferry/gateway/crashhistory.h"
#include "snipeferry/gateway/partblame.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/runcontent.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/**
 * Decides which prompt parts crash the backend servers that begin to write an answer on them, and which whole requests crash those that run them, and keeps
 * these requests from all others.
 *
 * All instances decide from the same evidence, which they tell each other. A part is blamed for the crashes since a run with it last ended well, and not
 * for those that another quarantined part explains. Crashes that are close in time count as one: many servers may end at once for other reasons.
 */
class PromptQuarantine
{
public:
    /** @param serverReportPeriod interval at which backend servers renew their announcements */
    PromptQuarantine(absl::Duration serverReportPeriod, core::TimerService &timers, Journal &journal);

    /** @brief Records a run that the transport reported as failed, with its reason. */
    void addFailedRun(const BackendServer &server, const RunContent &content, AnswerProgress progress, const std::string &reason);

    /**
     * @brief Records a run whose answer ended after whole events.
     *
     * If it ended with its connection, that may have been the end of the server. Then it counts as sound only after a while without a sign of a crash.
     */
    void addEndedRun(const BackendServer &server, const RunContent &content, absl::Time startedAt, AnswerEnd end);

    /** @brief Records that a backend server's process has certainly ended before a time, as something else than a run has shown. */
    void addEndedProcess(const BackendServer &server, absl::Time endedAt);

    /** @brief Records that the announcement of a backend server has ended or states a later start. */
    void addEndOfProcess(const core::BackendServerId &server);

    /** @brief The first quarantined part of a request, or the request itself; nullptr if it may run. */
    const QuarantinedPart *find(const core::ServiceId &service, const RunContent &content);

    /** @brief Whether a run that ended in a crash must not be repeated, because something of it was blamed for another crash already. */
    bool isSuspect(const core::ServiceId &service, const RunContent &content) const;

    /**
     * @brief Merges what another instance tells.
     * @return what of it is new, to be passed on
     */
    PromptEvidence receive(const PromptEvidence &message);

    /** @brief News of this instance since the last call. */
    PromptEvidence takeNews();

    /** @brief All that a newly linked instance has to know. */
    PromptEvidence summary() const;

    /** @brief Adopts a record of the store. */
    void adopt(const QuarantineRecord &record);

    /** @brief Forgets a part and all blame on it, because an operator has removed its record. */
    void clear(const PartKey &key);

    /** @brief Quarantined parts, to be stored. */
    std::vector<QuarantineRecord> records() const;

    /** @brief Emitted for a part that was quarantined or released here. */
    core::Signal<QuarantineRecord> &changed();

private:
    struct Entry
    {
        QuarantinedPart part;
        absl::Time lastCrashAt;
        /** When a request with the part last came. */
        absl::Time lastAskedAt;
    };

    /** A run that ended with its connection. */
    struct ClosedRun
    {
        BackendServer server;
        std::vector<std::string> parts;
        absl::Time endedAt;
    };

    QuarantinedPart describe(const Entry &entry) const;
    void addSoundRun(const BackendServer &server, const std::vector<std::string> &parts, absl::Time endedAt);
    void checkClosedRuns();
    void evaluate();
    /** Blame of each part by the crashes that no quarantined part explains. */
    std::vector<PartBlame> unexplainedBlame() const;
    /** What the crashes with a part in work say against it, beside all recent ones. Both are in order of time. */
    PartBlame blame(const PartKey &key, const std::vector<const Crash *> &withPart, const std::vector<const Crash *> &all) const;
    /** Notes that evidence has changed, so that it is evaluated as soon as all reports of it can have arrived. */
    void evidenceChanged();
    /** Which kinds of what is quarantined explain a crash. */
    struct Explanation
    {
        bool byPart = false;
        bool byRequest = false;
    };
    Explanation explain(const Crash &crash) const;
    /** Whether a part was in work at all of its service's servers that crashed in the moment of a crash. */
    static bool isAtAllCrashes(const PartKey &key, const Crash &crash, const std::vector<const Crash *> &crashes);
    void quarantine(const QuarantinedPart &part, const std::string &source);
    /** Whether a run that ended well at this time speaks for a quarantined part: after its crashes, or at all if other parts are blamed equally. */
    bool isExonerated(const QuarantinedPart &part, absl::Time endedWellAt) const;
    void release(const PartKey &key, const std::string &reason);
    /** Time at which a run with the part last ended well; InfinitePast if that is not known. */
    absl::Time clearedAt(const PartKey &key) const;
    void noteCleared(const PartKey &key, absl::Time at);
    void sweep();

    core::TimerService &m_timers;
    Journal &m_journal;
    CrashHistory m_crashes;
    absl::flat_hash_map<PartKey, Entry> m_quarantined;
    /** Apart, so that many different requests do not push out what is known of the parts that they share. */
    ClearanceLog m_clearedParts;
    ClearanceLog m_clearedRequests;
    std::deque<ClosedRun> m_closedRuns;
    std::vector<PartKey> m_clearanceNews;
    std::vector<PartKey> m_quarantineNews;
    /** Until when the evidence is evaluated; it changes nothing by itself. */
    absl::Time m_evaluateUntil = absl::InfinitePast();
    core::Signal<QuarantineRecord> m_changed;
    core::Subscription m_evaluationTimer;
    core::Subscription m_sweepTimer;
};

} // namespace snipeferry::gateway
