#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/brittleservers.h"
#include "snipeferry/gateway/coldpacing.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/serverlimits.h"
#include "snipeferry/gateway/servernotices.h"
#include "snipeferry/overload/urgency.h"
#include "snipeferry/promptcache/promptcacheindex.h"
#include "snipeferry/serverload/serverspeed.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

class Journal;

using overload::URGENCY_LEVELS;
using promptcache::PromptCacheIndex;
using promptcache::ReadPart;

/** @brief The urgency level of a request's priority; level 0 is served first. Instances of earlier builds may send priorities out of range. */
int urgencyOf(int priority);

/** @brief How many requests an urgency level may be ahead of this instance's part of a limit that a backend server has named. */
double limitLeadOf(int level);

/** Work that one instance has dispatched to one backend server and that is not finished yet. */
struct ServerWork
{
    core::BackendServerId server;
    int running = 0;
    /** Prompt tokens that the backend server has yet to prefill, by urgency level. Levels that are left out at the end have none. */
    std::vector<std::int64_t> unreadTokens = std::vector<std::int64_t>(URGENCY_LEVELS, 0);

    SNIPEFERRY_VALUE(ServerWork, server, running, unreadTokens)
};

/** Requirements of a request for the choice of its backend server. */
struct ServerQuery
{
    core::ServiceId service;
    /** Empty for any version. */
    core::VersionId version;
    /** Versions that the request may not go to. */
    std::vector<core::VersionId> excludedVersions;
    int priority = 5;
    std::int64_t promptTokens = 0;
    std::vector<PromptPart> promptParts;
    /** Tokens in an engine's memory that only this request uses, by ownTokensOf(). */
    std::int64_t ownTokens = 0;
    /** Backend servers at which this request has already failed. */
    std::vector<core::BackendServerId> excluded;
};

/** @brief Tokens that only this request occupies in an engine's memory: those of its prompt without the shared parts, and those to generate. */
std::int64_t ownTokensOf(const CallerRequest &request);

struct ServerChoice
{
    core::BackendServerId server;
    /** Expected time to the first event of a stream, or to the whole answer of a service that is not a model engine. */
    absl::Duration estimate = absl::InfiniteDuration();
    /** The estimate for a backend server that is as fast as its service and does not fail. */
    absl::Duration nominalEstimate = absl::InfiniteDuration();
    /** Prompt tokens that the backend server is expected to prefill for the request. */
    std::int64_t unreadTokens = 0;
    /** The part of the estimate that does not depend on the request's own prompt. */
    absl::Duration wait = absl::InfiniteDuration();
    /** Address of a backend server from which it can copy the KV cache of the prompt; empty for none. */
    std::string memorySource;
    /** Time that the backend server is expected to save because it still holds the beginning of the prompt. */
    absl::Duration saved;
    /** How much longer the request is expected to wait there than at the backend server with the shortest wait of those compared. */
    absl::Duration waitCost;
    /** Runs of all instances there. */
    int runs = 0;
};

/** How a run ended, for the health statistics of its backend server. */
enum class RunEnd {
    Success,
    /** The backend server refused the request and did not run it. */
    Refused,
    /** The backend server answered with an error. */
    ServerError,
    /** The connection could not be established or was interrupted. */
    Unreachable,
    /** The gateway ended the run, for example because the caller disconnected. */
    Cancelled,
    /** The run failed for a reason of this instance, and says nothing about the backend server. */
    OwnFailure,
};

/** @brief How a run ended that failed for a reason of ports.h: it says nothing about the backend server if this instance did not send it. */
RunEnd endOfFailedRun(const std::string &reason);

/** Numbers of one service's backend servers and runs in this region. */
struct ServerCounts
{
    /** Backend servers that accept requests now. */
    int working = 0;
    /** Backend servers that are draining or in an evacuated data centre. */
    int resting = 0;
    /** Open runs of all instances of the region. */
    int runs = 0;
};

/**
 * Announcements, load and health of the backend servers in this instance's region.
 *
 * Requests with the same leading prompt parts go to the same backend server. It is determined by rendezvous hashing, which
 * needs no messages between instances. A different one is chosen only if the time saved there exceeds the cost of copying the
 * KV cache of these parts from another backend server, or of prefilling them again.
 */
class BackendTable
{
public:
    BackendTable(core::InstanceId self, core::TimerService &timers);

    /** @brief Adds a backend server or updates it from a new announcement. */
    void announce(const BackendServer &server);
    void remove(const core::BackendServerId &id);

    /** @brief Adds or updates a backend server of another region. It receives no requests, but may be a source of cached prompt parts. */
    void announceRemote(const BackendServer &server);

    /**
     * @brief Refuses requests until a time, because the known backend servers may have left.
     * @param until InfinitePast as soon as they are confirmed
     */
    void setUnconfirmedUntil(absl::Time until);

    /** @brief Sets the services of the deployment. */
    void configure(const std::vector<Service> &services);

    /** @brief Stops or permits the dispatch to a data centre. When it is permitted again, the backend servers there count as cold. */
    void setEvacuated(const core::DataCentreId &dataCentre, bool isEvacuated);

    /** @brief Sets the work of another instance in place of its previous report. */
    void setPeerWork(const core::InstanceId &instance, const std::vector<ServerWork> &work);

    /** @brief Work of this instance, to be reported to the others. */
    std::vector<ServerWork> ownWork() const;

    /** @brief Sums of this instance's work and the recent reports of others, to be sent by a relay. */
    std::vector<ServerWork> regionWork();

    /**
     * @brief Sets the work of all other instances from a relay's sums, in place of its previous report.
     * @param sums the relay's sums, this instance's own work included
     * @param ownReported this instance's work as it was last reported to the relay
     */
    void setRegionWork(const std::vector<ServerWork> &sums, const std::vector<ServerWork> &ownReported);

    /** @brief Sets whether known memory of the engines decides what they still hold and whether they have room; false until it is called. */
    void setMemoryAware(bool isMemoryAware);

    /** @brief Index of the prompt parts in the backend servers' caches. */
    PromptCacheIndex &promptCache();

    /** @brief Chooses the best backend server; NoBackendServer if none accepts requests now. */
    core::Expected<ServerChoice> choose(const ServerQuery &query);

    /** @brief The backend servers of a service that accept requests. */
    std::vector<BackendServer> acceptingServers(const core::ServiceId &service) const;

    /** @brief Takes back what runs that did not reach a service's backend servers have said about them. */
    void forgetFailures(const core::ServiceId &service);

    /** @brief Whether any backend server of the service accepts requests. */
    bool hasServers(const core::ServiceId &service) const;

    /** @brief Load and health of a backend server as a text for the log. */
    std::string describe(const core::BackendServerId &id);

    const BackendServer *find(const core::BackendServerId &id) const;

    /** @brief How long a backend server remains cold as far as this instance knows; zero for a warm or unknown one. */
    absl::Duration coldLeft(const core::BackendServerId &id) const;

    /** @brief How long a started process of a service is cold; zero if it bears as much as a warm one. */
    absl::Duration coldTime(const core::ServiceId &service) const;

    /** @brief Path at which a backend server may be asked for its state now; empty if it has none, or wants or may get no requests. */
    std::string statePath(const core::BackendServerId &id) const;

    /**
     * @brief Sets that a backend server may have started again since it was announced.
     * @param coldUntil until when it counts as cold beside what it announces; InfinitePast if it has not started again
     * @param isOutOfReach whether no process accepts connections, so that it gets no requests
     */
    void setRestartSuspicion(const core::BackendServerId &id, absl::Time coldUntil, bool isOutOfReach);

    /** @brief Until when a run that is started now has to be sent: soon to a cold backend server, whose requests are counted when they arrive. */
    absl::Time sendBy(const core::BackendServerId &id) const;

    /** @brief Whether a backend server of the version accepts requests. */
    bool hasVersion(const core::ServiceId &service, const core::VersionId &version) const;

    /** @brief Versions of the service's backend servers that accept requests. */
    std::vector<core::VersionId> versions(const core::ServiceId &service) const;

    /** @brief Services with at least one backend server that accepts requests. */
    std::vector<core::ServiceId> services() const;

    /** @brief Counts the backend servers and runs of a service. */
    ServerCounts serverCounts(const core::ServiceId &service);

    /** @brief Shortest expected wait of a request without prompt, by urgency level; empty if no backend server is usable. */
    std::vector<absl::Duration> leastWaits(const core::ServiceId &service);

    /**
     * @brief Prompt tokens that the service's backend servers read in a millisecond: the least loaded usable one, and all usable ones together.
     * @return empty if no backend server is usable, or if the service is not a model engine's
     */
    std::vector<double> readRates(const core::ServiceId &service);

    /** @brief Prompt tokens per millisecond that the usable backend servers of a service read together; 0 without any, or if it is not a model engine's. */
    double readRate(const core::ServiceId &service) const;

    /** @brief Prompt tokens per millisecond that the least loaded usable backend server of a service reads; 0 as for readRate(). */
    double leastLoadedReadRate(const core::ServiceId &service);

    /**
     * @brief Records that a run was dispatched to a backend server.
     * @return what answered() needs to learn from the run how fast the backend server is
     */
    serverload::RunStart started(
        const core::BackendServerId &id, int priority, std::int64_t unreadTokens, const std::vector<PromptPart> &parts, std::int64_t ownTokens = 0);
    /**
     * @brief Records the first data of a run's answer and the time that it took.
     * @param start what started() returned for the run; without it the run says nothing about the backend server's reading rate
     */
    void answered(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, absl::Duration latency, const serverload::RunStart &start = {});
    /**
     * @brief Records the end of a run.
     * @param unreadTokens 0 if answered() was called before
     * @param duration time from the start of the run to its end
     * @param ownTokens as passed to started()
     */
    void finished(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, RunEnd end, absl::Duration duration, std::int64_t ownTokens = 0);
    /** @brief Records what an answer says about the backend server: its load and the limit that it names. */
    void noteReport(const core::BackendServerId &id, const RunReport &report, bool isSuccess, absl::Time runStartedAt, Journal &journal);

    /** @brief Records the load that an answer states; a load that cannot be read changes nothing. */
    void noteLoad(const core::BackendServerId &id, const RunReport &report, Journal &journal);

    /** @brief The limits that backend servers of this region name. */
    ServerLimits &limits();

    /** @brief What backend servers have said in their answers about further work. */
    const ServerNotices &notices() const;

    /** @brief Who sends to the cold backend servers of this region. */
    ColdPacing &coldPacing();

    /** @brief Records the load that a backend server itself reports; negative numbers are ignored. */
    void reportLoad(const core::BackendServerId &id, int running, int waiting);

private:
    struct ServerState
    {
        BackendServer server;
        /** When a later start than the first known one was announced; runs before that say nothing of it. */
        absl::Time restartKnownAt = absl::InfinitePast();
        /** As the backend server has announced it. */
        absl::Time announcedColdUntil = absl::InfinitePast();
        /** As it follows from signs that the process has started again. */
        absl::Time suspectedColdUntil = absl::InfinitePast();
        /** Whether no process accepts connections, as far as such signs tell. */
        bool isOutOfReach = false;
        /** While the backend server is cold, it may receive its next run from this time on. */
        absl::Time nextColdRunAt = absl::InfinitePast();
        int running = 0;
        std::array<std::int64_t, URGENCY_LEVELS> ownUnread{};
        int peerRunning = 0;
        std::array<std::int64_t, URGENCY_LEVELS> peerUnread{};
        /** Tokens that this instance's runs occupy in the memory, without the shared parts of their prompts. */
        std::int64_t ownTokens = 0;
        /** How fast it reads prompts, and how long work takes there now. */
        serverload::ServerSpeed speed;
        /** Ratio of the actual to the expected time to the first answer, as a moving average. The reading rate and the momentary cost are not part of it. */
        double slowness = 1.0;
        /** When a line about its load was last written, so that there is one a second at most. */
        absl::Time loadLoggedAt = absl::InfinitePast();
        /** Fraction of failed runs, as a moving average. */
        double failureShare = 0.0;
        int consecutiveFailures = 0;
        /** Whether the last failure was that of a run that did not reach it. */
        bool wasUnreached = false;
        absl::Time ejectedUntil = absl::InfinitePast();
        absl::Duration ejectionTime;
        /** Estimate for the run that was started last. */
        absl::Duration lastEstimate;
    };

    struct ServiceState
    {
        std::vector<core::BackendServerId> servers;
        /** How fast its engines read prompts; a backend server that is not known yet counts as one of them. */
        serverload::ServiceSpeed speed;
        /** Duration of a run, as a moving average. */
        double runMs = 30.0;
        /** Tokens that a run occupies without the shared parts of its prompt, as a moving average; 0 before the first run. */
        double tokensPerRun = 0;
        /** Fraction of failed runs at all of its backend servers, as a moving average. No single one is blamed for failures that are common to all. */
        double failureShare = 0.0;
    };

    /** A backend server that has leading tokens of a prompt in its KV cache. */
    struct CacheSource
    {
        core::BackendServerId server;
        std::string address;
        core::DataCentreId dataCentre;
        bool isRemote = false;
        std::int64_t tokens = 0;
    };

    /** A possible choice for a request with its cost. */
    struct ScoredChoice
    {
        ServerChoice choice;
        /** Estimated time plus penalties for the load that the choice puts on other requests, in milliseconds. */
        double cost = 0;
        /** Whether the request has to wait until running ones have ended there. Always false while memory is not taken into account. */
        bool isFull = false;
    };

    /** Backend servers to compare for a request. If there are many, only a sample, so that instances with outdated reports do not all choose the same one. */
    std::vector<core::BackendServerId> candidates(const ServiceState &service, const ServerQuery &query, const std::string &affinityKey);
    /** Whether the backend server may get a request of the most urgent level now. */
    bool isUsable(const ServerState &state, absl::Time now) const;
    /** Whether the backend server is neither draining nor in an evacuated data centre. */
    bool acceptsRequests(const ServerState &state) const;
    /** Whether the backend server is not one that fails of a refusal and may have to refuse. */
    bool hasRoom(const ServerState &state) const;
    static absl::Time coldUntil(const ServerState &state);
    /** Whether a run may be dispatched to the backend server now without exceeding its rate limit for the cold state. */
    bool mayDispatchToCold(ServerState &state, absl::Time now);
    /** Prompt tokens that the backend server prefills before those of a new request at this urgency level. */
    std::int64_t unreadTokensAhead(const ServerState &state, int level) const;
    /** Backend servers that have the shared parts of a prompt in their KV cache now. */
    std::vector<CacheSource> cacheSources(const ServerQuery &query) const;
    ScoredChoice score(const core::BackendServerId &id, const ServiceState &service, const ServerQuery &query, const std::vector<CacheSource> &sources) const;
    /** Chooses for a request without shared prompt parts: at random among similar costs, in proportion to the reading rates; empty if none may get it. */
    ServerChoice chooseByRate(const ServiceState &service, const ServerQuery &query, const std::vector<CacheSource> &sources);
    bool isEngineService(const core::ServiceId &service) const;
    /** Tokens that fit into the backend server's memory; 0 if that is not known or not to be taken into account. */
    std::int64_t memoryCapacity(const ServerState &state) const;
    /** Tokens of all instances' runs, without the shared parts of their prompts. */
    std::int64_t runningTokens(const ServerState &state, const ServiceState &service) const;
    /** Wait until enough running requests have ended that the memory has room for a new one, beyond the wait for a slot. */
    absl::Duration memoryWait(const ServerState &state, const ServiceState &service, std::int64_t ownTokens) const;
    /** Tells the prompt cache index what the backend server's memory has to hold. */
    void updateMemoryUse(const ServerState &state);
    /** Tells the prompt cache index what the backend server's memory takes in with a run of this instance, and with those of others meanwhile. */
    void noteTakenIn(const ServerState &state, std::int64_t tokens);
    /** Runs for each slot of the backend server, including a new one; at least 1. */
    double runsPerSlot(const ServerState &state) const;
    /** Penalty for the events that come later because an engine reads prompts beside running streams: this request's events, and those of others. */
    double streamPenaltyMs(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens) const;
    /** Milliseconds that the backend server works on the request and on those before it, in its usual state and if all its runs succeed. */
    double usualMs(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens, double tokensPerMs) const;
    /** Factor by which the usual time is longer now: the backend server's slowness, its failures and its momentary cost. */
    double currentFactor(const ServerState &state, const ServiceState &service, double usualMs) const;
    /** Expected time to the first event, or to the whole answer of a service that is not a model engine. */
    absl::Duration estimate(const ServerState &state, const ServiceState &service, int level, std::int64_t unreadTokens) const;
    ServerState *findState(const core::BackendServerId &id);
    /** Records what an answer says about further work for the backend server. */
    void noteFurtherWork(const core::BackendServerId &id, const RunReport &report, bool isSuccess, absl::Time runStartedAt, Journal &journal);
    /** Adds up the reports of the other instances, if one has arrived since the last time. Done before each use and not for each report. */
    void refreshPeerWork();

    /** Error for a service all of whose usable backend servers have to be spared now. */
    core::Error noServerError(const ServiceState &service, double limitLead);

    core::InstanceId m_self;
    core::TimerService &m_timers;
    ServerLimits m_limits;
    ServerNotices m_notices;
    ColdPacing m_coldPacing;
    BrittleServers m_brittle;
    std::mt19937_64 m_random;
    absl::flat_hash_map<core::BackendServerId, ServerState> m_servers;
    absl::flat_hash_map<core::BackendServerId, BackendServer> m_remoteServers;
    absl::flat_hash_map<core::ServiceId, ServiceState> m_services;
    absl::flat_hash_map<core::ServiceId, Service> m_serviceConfigurations;
    absl::flat_hash_set<core::DataCentreId> m_evacuatedDataCentres;
    PromptCacheIndex m_promptCache;
    bool m_isMemoryAware = false;
    struct PeerReport
    {
        std::vector<ServerWork> work;
        absl::Time receivedAt;
    };
    absl::flat_hash_map<core::InstanceId, PeerReport> m_peerReports;
    bool m_isPeerWorkOutdated = false;
    absl::Time m_unconfirmedUntil = absl::InfinitePast();
};

} // namespace snipeferry::gateway
