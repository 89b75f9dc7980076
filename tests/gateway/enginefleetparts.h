#pragma once

#include "enginefleet.h"

#include <deque>

namespace snipeferry::tests {

constexpr absl::Duration REGION_LATENCY = absl::Milliseconds(1);
/** Time after which the other end of a connection to an engine without power gives up. */
constexpr absl::Duration SILENCE_TIME = absl::Seconds(2);

std::string regionName(std::size_t region);

struct EngineFleet::Run
{
    Instance *instance = nullptr;
    gateway::Number number = 0;
    std::vector<std::string> sharedParts;
    std::string body;
    bool hasHead = false;
    /** Whether the path to the instance was lost, so that nothing of the run arrives there any more. */
    bool isLost = false;
};

struct EngineFleet::Engine
{
    gateway::BackendServer server;
    std::size_t region = 0;
    bool isUp = true;
    /** Whether it has no power: connections are neither accepted nor refused. */
    bool isDark = false;
    bool isFaulty = false;
    /** Until when the engine is cold, as it says itself. */
    absl::Time coldUntil = absl::InfinitePast();
    /** Number of the engine's present process. */
    std::uint64_t boot = 0;
    std::optional<double> limit;
    std::vector<Run> runs;
};

class EngineFleet::Links : public gateway::FleetLinks
{
public:
    Links(EngineFleet &fleet, std::size_t self);

    bool send(const core::InstanceId &to, const gateway::FleetMessage &message) override;
    void sendToAll(const std::vector<core::InstanceId> &to, const gateway::FleetMessage &message) override;

private:
    EngineFleet &m_fleet;
    std::size_t m_self;
};

class EngineFleet::Runs : public gateway::RunTransport
{
public:
    Runs(EngineFleet &fleet, std::size_t self);

    void start(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request, const core::RequestId &id, bool mayReuse,
        absl::Time sendBy) override;
    void cancel(gateway::Number run) override;
    void setPaused(gateway::Number run, bool isPaused) override;
    void checkPath(gateway::Number run, const gateway::BackendServer &server) override;
    void askState(gateway::Number run, const gateway::BackendServer &server, const gateway::HttpRequest &request) override;

private:
    EngineFleet &m_fleet;
    std::size_t m_self;
};

struct EngineFleet::Instance
{
    Instance(EngineFleet &fleet, std::size_t index, gateway::Member self, std::size_t regionIndex)
        : member(std::move(self)),
          region(regionIndex),
          links(fleet, index),
          runs(fleet, index)
    {
    }

    gateway::Member member;
    std::size_t region;
    Links links;
    Runs runs;
    FakeJournal journal;
    /** The instance's own clock, which stands still while it is frozen. */
    core::VirtualTimerService clock;
    bool isFrozen = false;
    std::deque<std::function<void(gateway::Gateway &)>> heldBack;
    bool isStoreCut = false;
    /** Until when the instance writes to no backend server. */
    absl::Time busyUntil = absl::InfinitePast();
    PathCut cut = PathCut::None;
    /** Engines to which the paths are cut; empty for all. */
    std::set<core::BackendServerId> cutEngines;
    /** Times at which the connections that are kept to each engine were last used. */
    std::map<core::BackendServerId, std::vector<absl::Time>> keptConnections;
    /** When the announcement was last renewed. */
    absl::Time renewedAt;
    /** Whether the store has an announcement, and whether it is the one of the present process. */
    bool isAnnounced = false;
    bool isProcessAnnounced = false;
    /** From when on the process writes to the store. */
    absl::Time announcedFrom;
    /** Whether the first reading of the store is under way. */
    bool isReading = false;
    /** Empty while the instance is down. */
    std::unique_ptr<gateway::Gateway> gateway;
};

} // namespace snipeferry::tests
