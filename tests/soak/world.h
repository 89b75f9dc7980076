#pragma once

#include "caller.h"
#include "history.h"
#include "support/usersfleet.h"

#include <list>
#include <random>

namespace snipeferry::soak {

/** One gateway process and what callers keep open to it. */
struct Gateway
{
    testing::GatewayPlace place;
    testing::GatewayAddresses addresses;
    std::string settingsFile;
    std::string logFile;
    std::unique_ptr<testing::Process> process;
    /** Nobody told it to end. */
    bool shouldRun = false;
    KeptConnections kept;
};

/** Two gateway processes in each of three regions, the platform around them, and callers; everything but the gateways lives on one loop. */
class World
{
public:
    static constexpr int REGIONS = 3;
    static constexpr int GATEWAYS_A_REGION = 2;

    World(std::uint64_t seed, const std::string &folder);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /** @brief Starts all processes and waits until each is ready. @return false if one is not within some seconds */
    bool start();

    /** @brief Begins or ends the callers' traffic. */
    void setTraffic(bool isOn);

    /** @brief Runs the loop for a time. */
    void run(absl::Duration time);

    net::EventLoop &loop();
    standins::UsersStore &store();
    std::vector<Gateway> &gateways();
    std::vector<std::unique_ptr<standins::UsersRunner>> &runners();

    /** @brief The way from all gateways to a runner. */
    standins::FaultProxy &wayToRunner(std::size_t runner);
    /** @brief The way from one gateway to the store. */
    standins::FaultProxy &wayToStore(std::size_t gateway);
    /** @brief The ways from one region's gateways to another gateway; null for its own region's. */
    standins::FaultProxy *wayToPeer(int fromRegion, std::size_t gateway);

    void startGateway(std::size_t index);
    void announce(std::size_t runner);

    /** @brief Writes the next version of the manifest. */
    void confirmManifest();
    standins::UsersManifest &manifest();

    /** @brief Notes that something harms a gateway, or all for an empty name, until the time that is set in what is returned. */
    std::list<Disturbance>::iterator disturb(const std::string &gateway);

    /** @brief What was seen so far; open requests and runs are in it as they stand. */
    History history();

    std::vector<Confirmation> keysTakenAway;
    std::vector<Confirmation> routesTakenAway;
    std::vector<Confirmation> runnersDraining;
    absl::Time faultsOverAt = absl::InfiniteFuture();

private:
    std::string viewOf(const std::string &reader, const std::string &key, const std::string &value) const;
    void ask();
    void checkProcesses();
    bool isEachReady();

    std::mt19937_64 m_random;
    std::string m_folder;
    net::EventLoop m_loop;
    standins::UsersStore m_store;
    std::vector<Gateway> m_gateways;
    std::vector<std::unique_ptr<standins::FaultProxy>> m_waysToStore;
    std::map<std::pair<int, std::size_t>, std::unique_ptr<standins::FaultProxy>> m_waysToPeers;
    std::vector<std::unique_ptr<standins::UsersRunner>> m_runners;
    std::vector<std::unique_ptr<standins::FaultProxy>> m_waysToRunners;
    standins::UsersManifest m_manifest;
    std::list<Disturbance> m_disturbances;
    std::vector<RequestSeen> m_requests;
    std::vector<standins::RunSeen *> m_runs;
    std::vector<std::string> m_ownEnds;
    int m_lastAttempt = 0;
    core::Subscription m_traffic;
    core::Subscription m_check;
};

} // namespace snipeferry::soak
