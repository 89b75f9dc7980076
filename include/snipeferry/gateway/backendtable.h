#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/promptmemory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** Urgency as queues tell it apart: the most urgent, the next, all others. */
constexpr int URGENCY_LEVELS = 3;

/** @brief The urgency level of a priority; level 0 is served first. */
int urgencyOf(int priority);

/** Work that one instance has given to one backend server and that has not answered yet. */
struct ServerWork
{
    core::BackendServerId server;
    int running = 0;
    /** Prompt tokens still to be read, by urgency. */
    std::vector<std::int64_t> unreadTokens = std::vector<std::int64_t>(URGENCY_LEVELS, 0);

    SNIPEFERRY_VALUE(ServerWork, server, running, unreadTokens)
};

/** What a choice of a backend server has to fit. */
struct ServerQuery
{
    core::ServiceId service;
    /** Empty for any version. */
    core::VersionId version;
    /** A version that the request may not go to, or empty. */
    core::VersionId excludedVersion;
    int priority = 5;
    std::int64_t promptTokens = 0;
    std::vector<PromptPart> promptParts;
    /** Backend servers that already failed this request. */
    std::vector<core::BackendServerId> excluded;
};

struct ServerChoice
{
    core::BackendServerId server;
    /** Expected time to the first event, or to the whole answer of a plain service. */
    absl::Duration estimate = absl::InfiniteDuration();
    /** Prompt tokens that are expected to be read there. */
    std::int64_t unreadTokens = 0;
    /** The part of the estimate that goes by before the request's own prompt is read. */
    absl::Duration wait = absl::InfiniteDuration();
    /** Address of a backend server from which it takes over what that one keeps of the prompt; empty for none. */
    std::string memorySource;
};

/** How a run ended, as evidence about its backend server. */
enum class RunEnd {
    Success,
    /** The backend server refused it and did not run it. */
    Refused,
    /** It answered with a failure. */
    ServerError,
    /** No connection, or the connection broke off. */
    Unreachable,
    /** Ended here: the caller left or another run took over. */
    Cancelled,
};

/** Backend servers of one service in this region. */
struct ServerCounts
{
    /** Take work now. */
    int working = 0;
    /** Drain, are ejected, or stand in an evacuated data centre. */
    int resting = 0;
    /** Runs of this and the other instances of the region. */
    int runs = 0;
};

/**
 * Backend servers of this instance's region: what they announce, the work they have, and how they fare.
 *
 * Choices keep shared leading prompt parts together by rendezvous hashing, which needs no messages between instances, and
 * leave the first place only when the time lost there exceeds the cost of taking the parts over from another backend server of
 * the data centre, or of reading them again.
 */
class BackendTable
{
public:
    BackendTable(core::InstanceId self, core::TimerService &timers);

    /** @brief Adds or replaces an announcement. */
    void announce(const BackendServer &server);
    void remove(const core::BackendServerId &id);

    /** @brief Adds or replaces a backend server of another region; it gets no work from here, but may keep prompts. */
    void announceDistant(const BackendServer &server);

    /** @brief Takes over the cold start rules of the deployment. */
    void configure(const std::vector<Service> &services);

    /** @brief Names the live instances of this region, which share out cold backend servers; includes this instance. */
    void setRegionInstances(std::vector<core::InstanceId> instances);

    /** @brief Stops or permits all dispatch to a data centre; after a return its backend servers count as cold. */
    void setEvacuated(const core::DataCentreId &dataCentre, bool isEvacuated);

    /** @brief Work of another instance; replaces its earlier report. */
    void setPeerWork(const core::InstanceId &instance, const std::vector<ServerWork> &work);

    /** @brief Work of this instance, for the others. */
    std::vector<ServerWork> ownWork() const;

    /** @brief What the region's backend servers keep of prompts. */
    PromptMemory &memory();

    /** @brief The best backend server; NoBackendServer when none takes work now. */
    core::Expected<ServerChoice> choose(const ServerQuery &query);

    /** @brief Whether any backend server of the service takes work. */
    bool hasServers(const core::ServiceId &service) const;

    /** @brief What is known of a backend server's load and health, for the log. */
    std::string describe(const core::BackendServerId &id) const;

    const BackendServer *find(const core::BackendServerId &id) const;

    /** @brief Versions of a service's backend servers that take work. */
    std::vector<core::VersionId> versions(const core::ServiceId &service) const;

    std::vector<core::ServiceId> services() const;

    /** @brief How many backend servers of a service take work, and how much they have. */
    ServerCounts serverCounts(const core::ServiceId &service) const;

    /** @brief Expected wait of a request without prompt at the least loaded backend server, by urgency; empty without any. */
    std::vector<absl::Duration> leastWaits(const core::ServiceId &service) const;

    void started(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, const std::vector<PromptPart> &parts);
    /** @brief The first event of a run came after a time. */
    void answered(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, absl::Duration latency);
    /** @brief A run ended; unreadTokens is 0 if answered() was called before. */
    void finished(const core::BackendServerId &id, int priority, std::int64_t unreadTokens, RunEnd end);
    void reportLoad(const core::BackendServerId &id, int running, int waiting);

private:
    struct State
    {
        BackendServer server;
        absl::Time coldUntil = absl::InfinitePast();
        absl::Time nextColdStart = absl::InfinitePast();
        int running = 0;
        std::array<std::int64_t, URGENCY_LEVELS> unread{};
        int peerRunning = 0;
        std::array<std::int64_t, URGENCY_LEVELS> peerUnread{};
        /** Actual over expected time, smoothed. */
        double slowness = 1.0;
        /** Share of runs that failed, smoothed. */
        double failureShare = 0.0;
        int failuresInRow = 0;
        absl::Time ejectedUntil = absl::InfinitePast();
        absl::Duration ejectionTime;
        /** Expected time of the run started last. */
        absl::Duration lastEstimate;
    };

    struct ServiceState
    {
        std::vector<core::BackendServerId> servers;
        /** Prompt tokens read in a millisecond, smoothed. */
        double tokensPerMs = 45.0;
        /** Time of a run at a plain service, smoothed. */
        double runMs = 30.0;
        /** Share of runs that failed at any of its backend servers, smoothed; what all of them share is no one's fault. */
        double failureShare = 0.0;
    };

    /** A backend server that keeps leading tokens of a prompt. */
    struct MemorySource
    {
        core::BackendServerId server;
        std::string address;
        core::DataCentreId dataCentre;
        bool isDistant = false;
        std::int64_t tokens = 0;
    };

    /** What a request would find at one backend server. */
    struct Offer
    {
        ServerChoice choice;
        /** Its time, and the wait that it takes from others, in milliseconds. */
        double cost = 0;
    };

    /** Backend servers that a request is compared at; of many only some, so that instances with old news do not all choose the same. */
    std::vector<core::BackendServerId> candidates(const ServiceState &service, const ServerQuery &query, const std::string &affinity);
    bool takesWork(const State &state) const;
    bool mayStartCold(State &state, absl::Time now);
    std::int64_t unreadAhead(const State &state, int level) const;
    /** Backend servers that keep the shared parts of a prompt now. */
    std::vector<MemorySource> memorySources(const ServerQuery &query) const;
    Offer offerOf(const core::BackendServerId &id, const ServiceState &service, const ServerQuery &query, const std::vector<MemorySource> &sources) const;
    bool isEngine(const core::ServiceId &service) const;
    double waves(const State &state) const;
    absl::Duration estimate(const State &state, const ServiceState &service, int level, std::int64_t unreadTokens) const;
    State *state(const core::BackendServerId &id);
    void rebuildPeerWork();

    core::InstanceId m_self;
    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    absl::flat_hash_map<core::BackendServerId, State> m_servers;
    absl::flat_hash_map<core::BackendServerId, BackendServer> m_distant;
    absl::flat_hash_map<core::ServiceId, ServiceState> m_services;
    absl::flat_hash_map<core::ServiceId, Service> m_rules;
    absl::flat_hash_set<core::DataCentreId> m_evacuated;
    std::vector<core::InstanceId> m_instances;
    PromptMemory m_memory;
    struct PeerReport
    {
        std::vector<ServerWork> work;
        absl::Time receivedAt;
    };
    absl::flat_hash_map<core::InstanceId, PeerReport> m_peerReports;
};

} // namespace snipeferry::gateway
