#pragma once

#include "snipeferry/net/httpserver.h"
#include "users/usersstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeferry::standins {

/** How a runner treats the requests that reach it. */
enum class RunnerFault {
    None,
    /** 503 with its word that nothing was run. */
    Full,
    /** Runs, and answers 500. */
    Failure,
    /** Runs, and never answers. */
    Silent,
    /** Runs, and the connection ends without an answer. */
    AnswerLost,
    /** Ends the connection in the middle of a stream; a whole answer is not affected. */
    BrokenStream,
    /** Runs many times slower. */
    Slow,
    /** Runs, and sends bytes that never make an event, or a body that never ends. */
    EndlessAnswer,
};

/** One run as its runner saw it. */
struct RunSeen
{
    std::string runner;
    std::string service;
    std::string zone;
    std::string version;
    absl::Time at;
    /** Headers included, as they came. */
    gateway::HttpRequest request;
    bool isComplete = false;
    absl::Time endedAt = absl::InfiniteFuture();
};

/** What a runner is. */
struct RunnerSettings
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    std::string healthPath = "/health";
    int slots = 8;
    /** Requests that wait beyond those. */
    int queue = 16;
    absl::Duration workTime = absl::Milliseconds(15);
    /** Between the events of a stream. */
    absl::Duration eventGap = absl::Milliseconds(20);
};

/** @brief The body that a runner gives as a whole answer to a request. */
std::string wholeBodyOf(const std::string &attempt);

/** @brief One event of a stream; its text depends on its number only, so that another runner can go on. */
std::string eventText(int number);

/** A runner of the platform: announces itself in the store and runs requests; those with token counts are streams. */
class UsersRunner
{
public:
    /** Called when a run begins; the reference holds as long as the runner. */
    using Observer = std::function<void(RunSeen &run)>;

    UsersRunner(net::EventLoop &loop, UsersStore &store, RunnerSettings settings, Observer observer);

    const RunnerSettings &settings() const;
    const std::string &address() const;

    /** @brief Writes its entry in the store; the announced address may be one in front of it. */
    void announce(const std::string &announcedAddress);
    void announceDraining();
    void withdraw();

    /** @brief Becomes a new boot under another identifier and forgets its runs. */
    void restartAs(const std::string &id, const std::string &version);

    void setFault(RunnerFault fault);

    /**
     * @brief Makes the runner crash when it begins to write an answer on a prompt part; an empty part: on none.
     * @param onCrash called after all runs have ended; it ends the runner's connections and withdraws its entry
     */
    void setCrashingPart(const std::string &part, std::function<void()> onCrash);

    /** @brief Names a limit in requests a second in each answer, or none. */
    void setRequestLimit(std::optional<double> perSecond);

    /** @brief Ends all runs without an answer, as a crash does. */
    void abortRuns();

    int running() const;

private:
    struct Run
    {
        std::shared_ptr<net::HttpExchange> exchange;
        RunSeen *seen = nullptr;
        int nextEvent = 1;
        int lastEvent = 0;
        core::Subscription timer;
    };

    void take(const gateway::HttpRequest &request, const std::shared_ptr<net::HttpExchange> &exchange);
    void refuse(int status, const std::shared_ptr<net::HttpExchange> &exchange, const std::string &attempt) const;
    void startNext();
    void start(const std::shared_ptr<Run> &run);
    void sendEvent(const std::shared_ptr<Run> &run);
    bool holdsCrashingPart(const gateway::HttpRequest &request) const;
    /** Sends filler as fast as the client reads it, until the client closes. */
    void sendFiller(const std::shared_ptr<Run> &run);
    void finish(const std::shared_ptr<Run> &run, bool isComplete);
    gateway::HttpHead headFor(const Run &run, int status) const;
    absl::Duration slowed(absl::Duration time) const;
    void writeEntry();

    net::EventLoop &m_loop;
    UsersStore &m_store;
    RunnerSettings m_settings;
    Observer m_observer;
    /** Connections outlive their server for a while; what they tell goes nowhere once this is gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    net::HttpServer m_server;
    std::string m_address;
    std::string m_announcedAddress;
    std::string m_state = "ready";
    RunnerFault m_fault = RunnerFault::None;
    std::string m_crashingPart;
    std::function<void()> m_onCrash;
    std::optional<double> m_requestLimit;
    std::vector<std::shared_ptr<Run>> m_running;
    std::vector<std::shared_ptr<Run>> m_waiting;
    std::vector<std::unique_ptr<RunSeen>> m_seen;
};

} // namespace snipeferry::standins
