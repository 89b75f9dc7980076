#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/promptevidence.h"
#include "snipeferry/gateway/runcontent.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** One crash of a backend server with the prompt parts and the requests that were in work there. */
struct Crash
{
    core::BackendServerId server;
    std::int64_t startedAtMs = 0;
    core::ServiceId service;
    absl::Time at;
    /** InfiniteFuture until it is certain that the process has ended. */
    absl::Time confirmedAt = absl::InfiniteFuture();
    /** Furthest progress by identifier of a prompt part or of a whole request. */
    std::map<std::string, AnswerProgress> parts;
    /** How many of the parts are whole requests. */
    std::size_t requestCount = 0;
    /** Whether it contains something that the other instances have not been told. */
    bool hasNews = false;

    bool isConfirmed() const
    {
        return confirmedAt < absl::InfiniteFuture();
    }

    /**
     * @brief Whether a part was in work in the way of a culprit: begun, or anything else if no part was.
     *
     * A whole request may also crash a server that has sent nothing of its answer; only one whose answer is being written is innocent.
     */
    bool isExplainedBy(const std::string &part) const;
};

/**
 * Recent crashes of backend servers, from this instance's runs and the reports of others.
 *
 * A connection that ends is not a crash yet. It becomes one if the process is gone: a new connection is refused, or the announcement ends or states a
 * later start.
 */
class CrashHistory
{
public:
    /** @param serverReportPeriod interval at which backend servers renew their announcements */
    CrashHistory(absl::Duration serverReportPeriod, core::TimerService &timers);

    /** @brief Adds a run whose connection has ended before its answer. */
    void addBrokenRun(const BackendServer &server, const RunContent &content, AnswerProgress progress);

    /** @brief Discards a suspected crash of a backend server where a run has begun since and ended well. */
    void addSoundRun(const BackendServer &server, absl::Time startedAt);

    /** @brief Whether a backend server may have crashed when a connection ended. */
    bool mayHaveCrashedAt(const BackendServer &server, absl::Time at) const;

    /** @brief Records that a process has ended before a time: a connection to it was refused, or its successor has answered. */
    void addEndedProcess(const BackendServer &server, absl::Time endedAt);

    /** @brief Records that the announcement of a backend server has ended or states a later start. */
    void addEndOfProcess(const core::BackendServerId &server);

    /**
     * @brief Merges a report of another instance.
     * @return whether it contains something new
     */
    bool merge(const CrashReport &report);

    /** @brief Crashes with news, as reports; marks them as told. */
    std::vector<CrashReport> takeNews();

    /** @brief The latest confirmed crashes as reports, for a new link. */
    std::vector<CrashReport> recentReports() const;

    /** @brief All crashes, the oldest first, also those that are not confirmed. */
    const std::deque<Crash> &all() const;

    /** @brief Time of the last confirmed crash in which a part was in work; InfinitePast if there is none. */
    absl::Time lastCrashOf(const PartKey &key) const;

    /** @brief Removes old crashes, and those that were not confirmed in time. */
    void removeExpired();

private:
    Crash *find(const core::BackendServerId &server, std::int64_t startedAtMs);
    Crash &findOrAdd(const core::BackendServerId &server, std::int64_t startedAtMs, const core::ServiceId &service, absl::Time at);
    /** Returns whether the part was new, or its progress. */
    bool addPart(Crash &crash, const std::string &part, AnswerProgress progress);
    void noteLastCrash(const Crash &crash, const std::string &part);
    void confirm(Crash &crash);
    CrashReport reportOf(const Crash &crash) const;

    /** Time for which a broken run may turn out to have been a crash. */
    absl::Duration m_confirmationTime;
    core::TimerService &m_timers;
    std::deque<Crash> m_crashes;
    absl::flat_hash_map<PartKey, absl::Time> m_lastCrashes;
};

} // namespace snipeferry::gateway
