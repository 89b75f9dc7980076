#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/promptquarantine.h"
#include "snipeferry/gateway/runnumbers.h"
#include "snipeferry/gateway/serverpaths.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace snipeferry::gateway {

/**
 * Tells which backend servers may have started again since they were announced.
 *
 * What is known of a backend server holds for one process. A process that starts again under the same identifier is cold, and its announcement follows later,
 * or much later while the store is away. So the backend server counts as cold from the first sign that its process has ended: a connection that is refused,
 * cannot be established or ends before its answer, or the report of another instance. Checks, connections without a request, tell whether a process
 * accepts connections. One that is reached is asked how long it remains cold; without an answer it is taken for one that has started at that moment.
 */
class ServerRestarts : public RunEvents
{
public:
    /**
     * How many instances of this region ask a backend server before this one does, so that not all ask a cold one at once.
     *
     * After a time in which this instance was cut off, only those count that were cut off as well; the others have nothing to ask.
     */
    using AskRank = std::function<std::size_t(const core::BackendServerId &, bool isAfterCut)>;

    ServerRestarts(core::TimerService &timers, BackendTable &backends, const ServerPaths &paths, PromptQuarantine &quarantine, const HeaderCodec &headers,
        RunNumbers &runNumbers, RunTransport &runs, Journal &journal, AskRank askRank);

    /**
     * @brief Records that a run has failed. Only reasons that may be those of a process that has ended count.
     *
     * While this instance is cut off from the service, only the reports of others count.
     */
    void noteFailedRun(const BackendServer &server, const std::string &reason);
    /** @brief Records that a part of an answer has arrived. */
    void noteAnswer(const core::BackendServerId &server);
    /** @brief Records that this instance reaches a service again. Any of its backend servers may have started again meanwhile. */
    void notePathsRegained(const core::ServiceId &service);
    /** @brief Records that another instance has found that a process has ended. */
    void noteReport(const CrashReport &report);

    /** @brief Applies earlier reports to a backend server that was not known when they came. */
    void noteFirstAnnouncement(const BackendServer &server);

    /** @brief Processes that have ended and whose successors may be cold, for an instance that has not heard of them. */
    std::vector<CrashReport> reports() const;

    bool ownsRun(Number run) const;
    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run, AnswerEnd end) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

private:
    struct Suspicion
    {
        /** The process that may have ended. */
        BackendServer server;
        absl::Duration coldTime;
        absl::Time since;
        /** Until when a process that is reached must be the same one; InfinitePast if it may be another one. */
        absl::Time isSameUntil = absl::InfiniteFuture();
        /** Whether the process has ended for certain: a check was refused, its successor is cold, or another instance has found so. */
        bool hasEnded = false;
        /** Whether this instance was cut off from the service since. */
        bool isAfterCut = false;
        /** Whether the last check has reached no process. */
        bool isOutOfReach = false;
        /** When there was the last sign that the process has ended. */
        absl::Time signAt;
        /** When a process was reached since; InfinitePast if none was. */
        absl::Time reachedAt = absl::InfinitePast();
        /** Until when the process that was reached is cold. */
        absl::Time coldUntil;
        /** Number of the check that is under way; 0 for none. */
        Number check = 0;
        absl::Time checkedAt = absl::InfinitePast();
        absl::Time nextCheckAt;
        /** When the process that was reached is asked, unless it is known by then; InfiniteFuture if it is not. */
        absl::Time askAt = absl::InfiniteFuture();
        /** Number of the question that is under way; 0 for none. */
        Number question = 0;
        absl::Time askedAt;
    };

    /** @param runningAt when the announced process was running for certain; InfinitePast if that is not known */
    void suspect(const BackendServer &server, const std::string &reason, absl::Time runningAt);
    /** @param signAt when another instance saw the first sign of the process's end */
    void suspectReported(const BackendServer &server, absl::Time signAt);
    /** When an answer of a backend server last arrived here; InfinitePast if that was long ago. */
    absl::Time heardAt(const core::BackendServerId &server) const;
    void check(Suspicion &suspicion);
    void checkEnded(Suspicion &suspicion, bool isReached, const std::string &reason);
    /** Asks the process that was reached how long it remains cold, if it is this instance's turn. */
    void askIfDue(Suspicion &suspicion);
    void answered(Suspicion &suspicion, const HttpHead &head);
    void stopQuestion(Suspicion &suspicion);
    /** Suspicion that a check or a question belongs to; nullptr if it is over. */
    Suspicion *findByRun(Number run);
    void endProcess(Suspicion &suspicion, absl::Time endedAt);
    /** Whether the report is of the known process of a backend server, and recent enough for a cold successor. */
    bool isRelevant(const CrashReport &report, const BackendServer &server, absl::Time receivedAt) const;
    /** Ends a suspicion; the backend server is no colder than its announcements tell. */
    void decide(const core::BackendServerId &server, const std::string &outcome);
    /** Why a suspicion is over; empty if it is not. */
    std::string outcomeOf(const Suspicion &suspicion) const;
    void sweep();

    core::TimerService &m_timers;
    BackendTable &m_backends;
    const ServerPaths &m_paths;
    PromptQuarantine &m_quarantine;
    const HeaderCodec &m_headers;
    RunNumbers &m_runNumbers;
    RunTransport &m_runs;
    Journal &m_journal;
    AskRank m_askRank;
    absl::flat_hash_map<core::BackendServerId, Suspicion> m_suspicions;
    /** Backend server of each check and question that is under way. */
    absl::flat_hash_map<Number, core::BackendServerId> m_openRuns;
    /** When each backend server was last heard of in an answer. */
    absl::flat_hash_map<core::BackendServerId, absl::Time> m_heardAt;
    /** Reports of backend servers that are not known, and when they came. */
    absl::flat_hash_map<core::BackendServerId, std::pair<CrashReport, absl::Time>> m_earlyReports;
    core::Subscription m_sweepTimer;
};

} // namespace snipeferry::gateway
