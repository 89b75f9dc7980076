#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/ports.h"
#include "snipeferry/gateway/runnumbers.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace snipeferry::gateway {

/**
 * Tells whether this instance can reach the backend servers of each service, as opposed to whether they are well.
 *
 * Runs that do not reach several backend servers raise a suspicion. It is decided by checks, connections without a request to the backend servers that
 * answered last: if none can be established, this instance is cut off from the service. Then no caller's request is spent on finding out; checks tell when
 * the paths are back. What it concludes is about its own paths, and says nothing about the backend servers.
 */
class ServerPaths : public RunEvents
{
public:
    /** Backend servers of a service that accept requests. */
    using ServersOfService = std::function<std::vector<BackendServer>(const core::ServiceId &)>;

    /** @param changed called when this instance has lost or regained a service */
    ServerPaths(std::uint64_t seed, core::TimerService &timers, RunNumbers &runNumbers, RunTransport &runs, Journal &journal, ServersOfService servers,
        std::function<void(const core::ServiceId &)> changed);

    /** @brief Records that a run has failed. Only reasons that may be those of a lost path count. */
    void noteFailedRun(const BackendServer &server, const std::string &reason);
    /** @brief Records an answer of a backend server. */
    void noteAnswer(const core::ServiceId &service, const core::BackendServerId &server);

    /** @brief Whether no backend server of the service can be reached, as far as the checks tell. */
    bool isCutOff(const core::ServiceId &service) const;
    /** @brief Whether this instance is cut off from the service, or finds out just now. Failures then say nothing about the backend servers. */
    bool isInDoubt(const core::ServiceId &service) const;
    /** @brief Whether a request may be sent to the service's backend servers from here. After a cut the share of those that may grows step by step. */
    bool mayDispatch(const core::ServiceId &service);
    /** @brief Services that this instance is cut off from. */
    std::vector<core::ServiceId> lostServices() const;

    bool ownsRun(Number run) const;
    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run, AnswerEnd end) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

private:
    enum class State {
        Reachable,
        /** The checks that decide are under way. */
        Suspected,
        CutOff,
    };

    struct Paths
    {
        State state = State::Reachable;
        absl::Time since = absl::InfinitePast();
        /** When the paths were back after the last cut. */
        absl::Time regainedAt = absl::InfinitePast();
        /** When the last checks were begun. */
        absl::Time checkedAt = absl::InfinitePast();
        int openChecks = 0;
        /** Checks that have reached a backend server since the cut began. */
        int reachedChecks = 0;
        /** Position of the next backend server to be checked. */
        std::size_t nextChecked = 0;
        std::map<core::BackendServerId, absl::Time> failures;
        std::map<core::BackendServerId, absl::Time> answers;
    };

    void suspect(const core::ServiceId &service, Paths &paths);
    void check(const core::ServiceId &service, Paths &paths, const BackendServer &server);
    void checkEnded(Number run, bool isReached);
    void setCutOff(const core::ServiceId &service, Paths &paths);
    void setRegained(const core::ServiceId &service, Paths &paths);
    /** Checks the services that this instance is cut off from. */
    void checkLost();
    /** Number of backend servers that have to be unreachable for a suspicion. */
    std::size_t suspicionThreshold(const Paths &paths, std::size_t serverCount) const;

    core::TimerService &m_timers;
    RunNumbers &m_runNumbers;
    RunTransport &m_runs;
    Journal &m_journal;
    ServersOfService m_servers;
    std::function<void(const core::ServiceId &)> m_changed;
    std::mt19937_64 m_random;
    std::map<core::ServiceId, Paths> m_paths;
    std::map<Number, core::ServiceId> m_checks;
    core::Subscription m_checkTimer;
};

} // namespace snipeferry::gateway
