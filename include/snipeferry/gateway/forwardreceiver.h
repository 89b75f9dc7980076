#pragma once

#include "snipeferry/duties/usagecounter.h"
#include "snipeferry/gateway/answerprogress.h"
#include "snipeferry/gateway/backendtable.h"
#include "snipeferry/gateway/fleetview.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/promptquarantine.h"
#include "snipeferry/gateway/rolloutguard.h"
#include "snipeferry/gateway/runnumbers.h"
#include "snipeferry/gateway/serverpaths.h"
#include "snipeferry/gateway/serverrestarts.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/**
 * Runs requests that other instances forwarded here, and streams the answers back.
 *
 * Each request is either run at a backend server of this region or refused. It is never forwarded again, so requests cannot loop between instances.
 */
class ForwardReceiver : public RunEvents
{
public:
    ForwardReceiver(core::TimerService &timers, BackendTable &backends, ServerPaths &paths, ServerRestarts &restarts, FleetView &fleet, RolloutGuard &rollouts,
        PromptQuarantine &quarantine, const HeaderCodec &headers, RunNumbers &runNumbers, RunTransport &runs, FleetLinks &links, Journal &journal);

    void handle(const core::InstanceId &from, const ForwardRequest &message);
    void handle(const core::InstanceId &from, const ForwardCancel &message);
    void handle(const core::InstanceId &from, const ForwardFlow &message);
    void handle(const core::InstanceId &from, const ForwardResume &message);
    /** @brief Ends what earlier processes of an instance have forwarded: nobody waits for it, and the numbers of its runs are given out again. */
    void linkUp(const core::InstanceId &peer);
    void linkDown(const core::InstanceId &peer);

    /** @brief Starts the shutdown. From now on only requests are run that end before the stop, and after a short time none. */
    void beginDrain(absl::Time stopAt);

    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run, AnswerEnd end) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

    /** @brief Sets the counter of runs that began; null counts none. It must outlive this object. */
    void setUsageCounter(duties::UsageCounter *usage);

    /** @brief Number of forwarded requests that are running. */
    std::size_t openCount() const;

private:
    /** An answer as far as it was passed on to the origin of a request that may not be repeated. */
    struct SentAnswer
    {
        bool isKept = false;
        bool hasHead = false;
        HttpHead head;
        std::vector<std::string> pieces;
        std::size_t bytes = 0;
    };

    /** The name of a forwarded request at its origin, whose numbers are unique in one process only. */
    struct Origin
    {
        /** Instance that forwarded the request. */
        core::InstanceId instance;
        ProcessId process;
        Number number = 0;

        SNIPEFERRY_COMPARED_BY(Origin, instance, process, number)
    };

    /** A run that has ended. Its last messages may be lost with a link whose loss is noticed later. */
    struct EndedRun
    {
        Origin origin;
        core::RequestId request;
        absl::Time endedAt;
        SentAnswer sent;
    };

    struct ForwardedRun
    {
        Origin origin;
        core::RequestId request;
        core::BackendServerId server;
        core::ServiceId service;
        std::string route;
        core::VersionId version;
        core::CustomerId customer;
        /** Whether an engine runs it, whose runs begin with the first token. */
        bool isEngineRun = false;
        bool isUsageCounted = false;
        /** HTTP status of the backend server's answer; 0 before its head has arrived. */
        int status = 0;
        /** Time from the start of the run to the first data of the answer. */
        absl::Duration timeToFirstData;
        int priority = 5;
        /** Expected time to the first data at a backend server that is as fast as its service. */
        absl::Duration expectedTime = absl::InfiniteDuration();
        /** Prompt tokens that the backend server still had to read when the run started. */
        std::int64_t unreadTokens = 0;
        /** What was known of the run's work at its start. */
        serverload::RunStart serverStart;
        /** Tokens that only this request occupies in an engine's memory. */
        std::int64_t ownTokens = 0;
        absl::Time startedAt;
        absl::Time deadline;
        /** Whether the first data of the answer has arrived. */
        bool isAnswering = false;
        /** Number of pieces of the answer sent to the origin. */
        std::uint64_t sentPieces = 0;
        /** When the link to the origin was lost; InfiniteFuture while it is up. */
        absl::Time linkLostAt = absl::InfiniteFuture();
        bool isStream = false;
        std::vector<PromptPart> promptParts;
        /** What of the request may crash backend servers. */
        RunContent content;
        /** Identifier of the request as a whole. */
        std::string fingerprint;
        AnswerProgress progress = AnswerProgress::NotBegun;
        /** Last bytes of the answer, by which the end of a stream's last event is recognized. */
        std::string tail;
        /** What the origin may ask for again if the link to it is lost. */
        SentAnswer sent;
    };

    /** The origin of a request that an instance names by its number. */
    Origin originOf(const core::InstanceId &instance, Number number) const;
    /** Number of the run of a forwarded request; 0 if there is none. */
    Number findRun(const Origin &origin) const;
    /** Sends a message to the process that forwarded a request; false without a link to it. */
    bool sendTo(const Origin &origin, const FleetMessage &message);
    void refuse(const Origin &origin, const core::RequestId &request, const std::string &reason);
    void logResumed(const core::InstanceId &from, const core::RequestId &request, const ForwardResume &message, const SentAnswer &sent);
    /** Sends the part of an answer that the origin has not received. */
    void resend(const Origin &origin, const ForwardResume &request, const SentAnswer &sent);
    /** Ends a run for which nobody waits any more. */
    void drop(Number run, const std::string &reason);
    /** Ends a run whose answer cannot be passed on, and tells the origin. */
    void breakOff(Number run, RunEnd end, const std::string &reason);
    /** Removes a run and updates the statistics of its backend server and rollout. */
    void end(Number run, RunEnd end);
    /** Whether the end of a run is evidence for or against the version of its backend server. */
    bool saysOfVersion(const ForwardedRun &forwardedRun, RunEnd end) const;
    /** Records when the first data of the answer arrived. */
    void noteFirstData(ForwardedRun &forwardedRun);
    /** Counts the run, once: it has begun at its backend server. */
    void countUsage(ForwardedRun &forwardedRun);
    /** Tells the quarantine that a run has failed. */
    void noteFailedRun(const ForwardedRun &forwardedRun, const std::string &reason);
    /** Cancels runs at their deadline. */
    void sweep();

    core::TimerService &m_timers;
    BackendTable &m_backends;
    ServerPaths &m_paths;
    ServerRestarts &m_restarts;
    FleetView &m_fleet;
    RolloutGuard &m_rollouts;
    PromptQuarantine &m_quarantine;
    const HeaderCodec &m_headers;
    RunNumbers &m_runNumbers;
    RunTransport &m_runs;
    FleetLinks &m_links;
    Journal &m_journal;
    duties::UsageCounter *m_usage = nullptr;
    absl::flat_hash_map<Number, ForwardedRun> m_forwardedRuns;
    std::vector<EndedRun> m_endedRuns;
    absl::Time m_refuseNewFrom = absl::InfiniteFuture();
    absl::Time m_stopAt = absl::InfiniteFuture();
    core::Subscription m_sweepTimer;
};

} // namespace snipeferry::gateway
