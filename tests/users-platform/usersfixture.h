#pragma once

#include "snipeferry/http/httpclient.h"
#include "support/usersfleet.h"

#include <atomic>
#include <functional>
#include <list>

namespace snipeferry::testing {

/** One answer of the gateway, with what the test sent. */
struct UsersAnswer
{
    std::string attempt;
    http::ClientAnswer answer;
};

/**
 * The users' platform with one gateway process in front of two runners of each service.
 *
 * All stand-ins live on a thread of their own; the test's thread calls the gateway as a client does.
 */
class UsersFixture
{
public:
    UsersFixture();
    ~UsersFixture();
    UsersFixture(const UsersFixture &) = delete;
    UsersFixture &operator=(const UsersFixture &) = delete;

    /**
     * @brief Starts the gateway; does not wait.
     * @param storeAddress where it finds its store; empty: the fixture's
     * @param moreSettings text behind the settings that every gateway gets
     */
    void startGateway(const std::string &storeAddress = "", const std::string &moreSettings = "");

    /** @brief Waits until the platform's readiness check is answered with 200. */
    bool isReadyWithin(absl::Duration limit) const;

    /** @brief Waits until readiness is as wanted and a request of each kind is served. */
    bool servesWithin(absl::Duration limit);

    /** Parts of the prompts of streams, with their tokens. */
    static constexpr const char *SOUND_PARTS = "5c1e07a2:80,91bd3f06:20";

    /** @brief Sends a request; those of streams ask for 6 events. */
    UsersAnswer ask(const std::string &path, const std::string &key = "k-bar-1", int timeLimitMs = 2000, const std::string &promptParts = SOUND_PARTS);

    /** @brief Whether an answer is the runner's whole answer to this very request. */
    static bool isWhole(const std::string &path, const UsersAnswer &answer);

    /** @brief Runs that runners began for a request. */
    std::vector<standins::RunSeen> runsOf(const std::string &attempt) const;
    std::vector<standins::RunSeen> allRuns() const;

    /** @brief Does something on the thread of the stand-ins. */
    template<typename Function>
    std::invoke_result_t<Function> onStandins(Function function) const
    {
        return m_thread.call(std::move(function));
    }

    standins::UsersStore &store();
    standins::UsersRunner &runner(const std::string &id);
    /** The way from the gateway to a runner. */
    standins::FaultProxy &way(const std::string &id);
    /** The way from the gateway to the store. */
    standins::FaultProxy &wayToStore();

    standins::UsersManifest manifest;
    /** @brief Writes the manifest. */
    void confirmManifest();

    http::ClientAnswer get(const std::string &address, const std::string &path) const;
    const GatewayAddresses &addresses() const;
    Process &gateway();

    static bool eventually(const std::function<bool()> &condition, absl::Duration limit);

    /** @brief Starts and announces one more runner; on the thread of the stand-ins. */
    void addRunner(const std::string &id, const std::string &service, const std::string &version = "v1");

    /** @brief Makes runners crash when they begin to write an answer on a part. Each is back after a while, under another identifier. */
    void setCrashingPart(const std::vector<std::string> &runners, const std::string &part);

    /** @brief The loop of the stand-ins, for more of them; on their thread. */
    net::EventLoop &loop();

private:
    /** Ends the connections of a runner and withdraws it, until it is back; on the thread of the stand-ins. */
    void restartRunner(const std::string &id);

    TemporaryFolder m_folder;
    mutable LoopThread m_thread;
    GatewayAddresses m_addresses;
    // What follows lives on the thread.
    std::unique_ptr<standins::UsersStore> m_store;
    std::unique_ptr<standins::FaultProxy> m_wayToStore;
    std::map<std::string, std::unique_ptr<standins::UsersRunner>> m_runners;
    std::map<std::string, std::unique_ptr<standins::FaultProxy>> m_ways;
    std::list<standins::RunSeen *> m_runs;
    std::map<std::string, core::Subscription> m_restarts;
    int m_restartCount = 0;
    std::unique_ptr<Process> m_gateway;
    std::atomic<int> m_lastAttempt = 0;
};

/** @brief Highest resident memory of a process so far, in KB. */
std::int64_t peakMemoryKb(pid_t process);

} // namespace snipeferry::testing
