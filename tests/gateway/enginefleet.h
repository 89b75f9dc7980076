#pragma once

#include "fixture.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::tests {

/** Numbers of instances and engines in each region of an EngineFleet. */
struct FleetShape
{
    std::vector<int> instances = {3, 3, 2};
    std::vector<int> engines = {8, 6, 4};
    /** Requests per second that a cold engine bears; 0 for no limit. */
    double coldRate = 0;
};

/** A request as it arrived at an engine. */
struct EngineArrival
{
    absl::Time at;
    core::BackendServerId server;
    core::InstanceId instance;
    std::string request;
    std::vector<std::string> sharedParts;
    std::string body;
};

/** What is the matter with an instance's paths to the engines. */
enum class PathCut {
    None,
    /** Connections hang, and new ones are neither accepted nor refused. */
    Silent,
    /** Connections are reset, and new ones refused. */
    Reset,
    /** New connections are refused; those that are open live on. */
    NewRefused,
};

/** A caller's request to the fleet. */
struct FleetRequest
{
    absl::Time at;
    /** Number of the instance that the caller asked. */
    std::size_t instance = 0;
    std::vector<std::string> sharedParts;
    std::shared_ptr<Answer> answer;
    std::string body;

    /** Whether the answer has begun or is complete, with success. */
    bool isServed() const
    {
        return answer->status == 200;
    }
};

/**
 * Instances of several regions with the real decision code, between engines that answer, crash and come back.
 *
 * Messages and answers take the time of the network. Engines accept requests of their own region's instances. The store keeps announcements as long as their
 * leases: an instance that is down or cut off from the store loses its own after nine seconds.
 */
class EngineFleet
{
public:
    explicit EngineFleet(std::uint64_t seed, FleetShape shape = {});
    ~EngineFleet();

    void advance(absl::Duration time);

    // Callers

    /** Sends a request with these shared parts and a part of its own to an instance. */
    std::shared_ptr<Answer> ask(
        std::size_t instance, const std::vector<std::string> &sharedParts, const std::string &target = "/stream/x", const gateway::Headers &extra = {});
    /** Sends a request as it stands, with an identifier of its own, to an instance. */
    std::shared_ptr<Answer> askWhole(std::size_t instance, gateway::HttpRequest request);
    /** Sends a request to a random instance that is up. */
    std::shared_ptr<Answer> ask(const std::vector<std::string> &sharedParts, const std::string &target = "/stream/x", const gateway::Headers &extra = {});
    /** Sends a request to a random instance of a region that is up. */
    std::shared_ptr<Answer> askInRegion(std::size_t region, const std::vector<std::string> &sharedParts, const std::string &target = "/stream/x");
    /** Closes the connection of the caller who asked last. */
    void leave();

    // Engines

    /** Makes each engine crash when it begins to write an answer on a part. */
    void setCrashing(const std::string &part, bool isCrashing = true);
    /** Makes each engine crash when it begins to run a request with a body, before it answers. */
    void setCrashingBody(const std::string &body);
    /** Makes an engine crash when it begins to write any answer, or none. */
    void setFaulty(std::size_t engine, bool isFaulty);
    /** Ends an engine's process; it is back after some seconds, under another identifier unless keepsEngineIds is set. */
    void crash(std::size_t engine);
    /** Takes an engine's power: its connections go silent. It is back after some seconds. */
    void darken(std::size_t engine);
    /**
     * Ends an engine's process, which starts again under the same identifier and knows nothing of before.
     * @param downTime time until it accepts connections again
     * @param announceDelay time from then on until it announces itself
     * @param isDark whether it has no power meanwhile, so that connections are neither accepted nor refused
     */
    void restart(std::size_t engine, absl::Duration downTime, absl::Duration announceDelay, bool isDark = false);
    /** Ends the connections of an engine's runs without an end of its process. */
    void truncate(std::size_t engine);
    /** Ends the connection of one of an engine's runs, if it has any, without an end of its process. */
    void breakOff(std::size_t engine);
    /** Makes an engine announce that it remains cold for a time. */
    void makeCold(std::size_t engine, absl::Duration time);
    /** Makes an engine name a limit in its answers, or none. */
    void setLimit(std::size_t engine, std::optional<double> perSecond);

    // Instances

    void kill(std::size_t instance);
    /**
     * Starts a process of an instance.
     * @param readDelay time until it has read the store
     * @param announceDelay time until the store has its announcement; the one of the process before stays until then
     */
    void start(std::size_t instance, absl::Duration readDelay = {}, absl::Duration announceDelay = {});
    /** Starts an instance at a new address. Returns its number. */
    std::size_t addInstance(std::size_t region);
    /** Stops an instance's clock and messages, or lets it catch up. */
    void setFrozen(std::size_t instance, bool isFrozen);
    /** Makes an instance so busy that it writes to no backend server until a time is over; what it has decided meanwhile it then writes at once. */
    void setBusy(std::size_t instance, absl::Duration time);
    /** Cuts an instance off from the store, or restores the way there. */
    void setStoreCut(std::size_t instance, bool isCut);
    /** Cuts an instance's paths to all engines, or to those that are named; None restores all of them. */
    void setPathCut(std::size_t instance, PathCut cut, const std::set<std::size_t> &engines = {});
    /** Cuts the links between instances of different groups. Instances that are not named form one group. */
    void partition(const std::vector<std::vector<std::size_t>> &groups);
    /** Removes the announcements of instances from the store; each is written again when its lease is renewed. */
    void removeStoredMembers();
    /** Removes the records of quarantined parts from the store, as an operator does. */
    void removeStoredQuarantines();

    // What can be seen

    std::size_t instanceCount() const;
    std::vector<std::size_t> instancesOf(std::size_t region) const;
    std::size_t engineCount() const;
    bool isEngineUp(std::size_t engine) const;
    core::BackendServerId engineId(std::size_t engine) const;
    /** Engine that has a run with a part in work; empty if there is none. */
    std::optional<std::size_t> engineAtWorkOn(const std::string &part) const;
    gateway::Gateway &gateway(std::size_t instance);
    FakeJournal &journal(std::size_t instance);
    absl::Time now() const;
    int randomInt(int below);

    /** Times at which engines crashed of a part or a body. */
    const std::vector<absl::Time> &crashes(const std::string &part) const;
    /** Number of arrivals that hold a part, later than a time. */
    int arrivals(const std::string &part, absl::Time after) const;
    /** Number of arrivals with a body, later than a time. */
    int arrivalsOfBody(const std::string &body, absl::Time after) const;
    const std::vector<EngineArrival> &allArrivals() const;
    /** Largest number of requests that an engine got in any span of this length within a time. */
    int mostArrivals(std::size_t engine, absl::Time from, absl::Duration span, absl::Time to = absl::InfiniteFuture()) const;
    /** Number of requests that an engine got within a time, from all instances or from one. */
    int arrivalsAt(std::size_t engine, absl::Time from, absl::Time to, std::optional<std::size_t> instance = std::nullopt) const;
    const std::vector<FleetRequest> &requests() const;
    /** Fraction of the requests sent in an interval that were served and do not hold a part that crashes engines. */
    double servedShare(absl::Time from, absl::Time to) const;
    /** Number of log lines of an event at all instances. */
    int logLines(const std::string &event) const;

    /** Whether answers end with their connection. */
    bool areAnswersCloseDelimited = false;
    /** Bytes of the first event that an engine writes before it crashes. */
    std::string bytesBeforeCrash;
    /** Whether an engine has the same identifier after a crash. */
    bool keepsEngineIds = false;

private:
    struct Instance;
    struct Engine;
    struct Run;
    class Links;
    class Runs;

    void at(absl::Duration delay, std::function<void()> action);
    /** Acts on an instance's process, as soon as it is not frozen; does nothing if the process has ended. */
    void deliver(Instance &instance, std::function<void(gateway::Gateway &)> action);
    std::size_t add(std::size_t region);
    void keepLinks();
    void confirmTopics();
    void keepLeases();
    void storeRecord(gateway::Topic topic, const std::string &key, const std::optional<std::string> &value);
    /** Reads all topics of the store into an instance. */
    void readStore(Instance &instance);
    absl::Duration latency(const Instance &from, const Instance &to) const;

    void announce(Engine &engine);
    void bringBack(Engine &engine, absl::Duration lapseTime, absl::Duration restartTime);
    /** Ends a run's connection. */
    void endConnection(const Run &run);
    /** What is the matter with the path from an instance to an engine. */
    PathCut pathCut(const Instance &instance, const core::BackendServerId &engine) const;
    /** Fails a run that meets a cut path; false if it reaches the engine. */
    bool failAtCut(Instance &instance, gateway::Number run, const core::BackendServerId &engine);
    /** Takes a connection on which an earlier run has ended; false if there is none. */
    bool takeKeptConnection(Instance &instance, const core::BackendServerId &engine);
    void arrive(Instance &instance, gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request);
    void beginAnswer(std::size_t engine, std::uint64_t boot, gateway::Number run);
    void writeEvent(std::size_t engine, std::uint64_t boot, gateway::Number run, int event);
    Run *findRun(std::size_t engine, std::uint64_t boot, gateway::Number run);
    gateway::HttpHead headOf(const Engine &engine) const;
    bool isCrashing(const std::vector<std::string> &sharedParts) const;

    core::VirtualTimerService m_clock;
    FakeHeaders m_headers;
    FakeRecords m_records;
    std::mt19937_64 m_random;
    /** Processes that were started. */
    int m_startCount = 0;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::multimap<absl::Time, std::function<void()>> m_events;
    std::map<gateway::Topic, std::map<std::string, gateway::Record>> m_store;
    core::Revision m_revision = 1;
    std::map<core::InstanceId, std::size_t> m_instanceNumbers;
    std::set<std::pair<std::size_t, std::size_t>> m_links;
    std::map<std::size_t, std::size_t> m_groups;
    std::set<std::string> m_crashingParts;
    std::set<std::string> m_crashingBodies;
    std::map<std::string, std::vector<absl::Time>> m_crashes;
    std::vector<EngineArrival> m_arrivals;
    std::vector<FleetRequest> m_requests;
    absl::Time m_nextHousekeeping;
    int m_requestCount = 0;
    std::size_t m_lastAsked = 0;
    gateway::Number m_lastNumber = 0;
};

} // namespace snipeferry::tests
