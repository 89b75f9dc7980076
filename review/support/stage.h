#pragma once

#include "soak/caller.h"
#include "users/faultproxy.h"
#include "users/usersmanifest.h"
#include "users/usersrunner.h"
#include "users/usersstore.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeferry::review {

/** What a case ends with. */
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/** One gateway process, as the deploy file starts it. */
struct Gateway
{
    std::string name;
    std::string region;
    std::string callers;
    std::string directory;
    std::string readiness;
    std::string peers;
    std::string storeAddress;
    std::string settingsFile;
    std::string logFile;
    pid_t process = -1;
};

/** A small deployment: gateway processes of the users' build between stand-ins of the platform, which live on one loop. */
class Stage
{
public:
    /** Reads the folders that run.sh sets: REVIEW_PROGRAM, REVIEW_TEMP and REVIEW_RECORD. */
    Stage();
    ~Stage();
    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;

    /** @brief Whether the disruption is left out. */
    bool hasTrouble() const;

    net::EventLoop &loop();
    standins::UsersStore &store();

    /** @brief Adds a gateway; each region has one data centre, named after it. */
    Gateway &addGateway(const std::string &region);

    /** @brief Adds a runner, and a way to it that may be harmed; the gateways know the way's address only. */
    standins::UsersRunner &addRunner(const standins::RunnerSettings &settings);
    standins::FaultProxy &wayTo(const standins::UsersRunner &runner);

    void startGateway(Gateway &gateway);
    void killGateway(Gateway &gateway, int signal);
    bool isRunning(Gateway &gateway);
    bool isReady(const Gateway &gateway) const;

    /** @brief Runs the loop until a condition holds. @return false if it does not within the limit */
    bool runUntil(const std::function<bool()> &condition, absl::Duration limit);
    void run(absl::Duration time);

    /** @brief Sends a request on a connection of its own; what becomes of it stands in requests(). */
    void send(const Gateway &gateway, soak::RequestSeen request);

    /** @brief Sends a request on a kept connection, or on a new one that is kept. */
    void send(const Gateway &gateway, soak::RequestSeen request, soak::KeptConnections &connections);

    const std::list<soak::RequestSeen> &requests() const;
    const soak::RequestSeen *request(const std::string &attempt) const;
    const std::vector<standins::RunSeen *> &runs() const;
    bool isAllAnswered() const;

    /** @brief Writes a line with the time since the start into record.txt. */
    void note(const std::string &text);

    /** @brief Writes the sum of all requests and runs, and gives the exit code. */
    int end(Verdict verdict, const std::string &reason);

private:
    std::string settingsText(const Gateway &gateway) const;

    std::string m_program;
    std::string m_folder;
    std::ofstream m_record;
    net::EventLoop m_loop;
    absl::Time m_startedAt;
    standins::UsersStore m_store;
    std::list<Gateway> m_gateways;
    std::vector<std::unique_ptr<standins::UsersRunner>> m_runners;
    std::map<const standins::UsersRunner *, std::unique_ptr<standins::FaultProxy>> m_ways;
    std::list<soak::KeptConnections> m_connections;
    std::list<soak::RequestSeen> m_requests;
    std::vector<standins::RunSeen *> m_runs;
};

} // namespace snipeferry::review
