#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** What a choice of another region has to fit. */
struct RemoteQuery
{
    core::ServiceId service;
    int priority = 5;
    std::int64_t promptTokens = 0;
    /** Empty for all regions. */
    std::vector<core::RegionId> homes;
    std::vector<core::InstanceId> excluded;
};

/** Where a request may be forwarded to. */
struct RemoteChoice
{
    core::InstanceId instance;
    core::RegionId region;
    /** Expected time to the first event, the way there and back included. */
    absl::Duration estimate = absl::InfiniteDuration();
    /** The part of the estimate that goes by before the request's own prompt is read. */
    absl::Duration wait = absl::InfiniteDuration();
};

/** The other instances: who is announced, who is heard, and what room their regions have. */
class FleetView
{
public:
    FleetView(Member self, core::TimerService &timers);

    const Member &self() const;

    void announceMember(const Member &member);
    void removeMember(const core::InstanceId &id);

    void linkUp(const Member &peer);
    void linkDown(const core::InstanceId &id);

    /**
     * @brief Takes a pulse.
     * @return the time, on this instance's clock, at or after which the sender sent it; InfinitePast if it cannot be known
     */
    absl::Time receive(const core::InstanceId &from, const Pulse &pulse);

    /** @brief Fields of a pulse to a peer that belong to the link. */
    Pulse startPulse(const core::InstanceId &to) const;

    /**
     * @brief Members to which links are kept: all of this region, and of each other data centre some.
     *
     * Both ends of a link choose alike, so that neither keeps one that the other does not want.
     */
    std::vector<Member> wanted() const;
    std::vector<core::InstanceId> linked() const;
    bool isInOwnRegion(const core::InstanceId &id) const;

    /** @brief Live instances of this data centre, this one included. */
    std::vector<core::InstanceId> dataCentreInstances() const;

    /** @brief Live instances of this region, this one included. */
    std::vector<core::InstanceId> regionInstances() const;

    /** @brief Whether another instance of a region takes callers. */
    bool hasReadyInstance(const core::RegionId &region) const;

    /** @brief Number of instances that may spend shared allowances. */
    int instanceCount() const;

    /**
     * @brief Addresses for callers of a place: the nearest live instances.
     *
     * Where no instance of the callers' region takes callers, those that are leaving still serve better than another region.
     */
    std::vector<std::string> callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre, bool isSelfReady) const;

    /** @brief The best instance of another region for a request. */
    core::Expected<RemoteChoice> choose(const RemoteQuery &query) const;

    void forwardStarted(const core::InstanceId &id, const core::ServiceId &service, std::int64_t promptTokens);
    void forwardEnded(const core::InstanceId &id);

private:
    struct Peer
    {
        Member member;
        bool isAnnounced = false;
        absl::Time announcedAt = absl::InfinitePast();
        bool isLinked = false;
        bool isReady = false;
        absl::Time heardAt = absl::InfinitePast();
        std::int64_t lastSentAt = 0;
        std::vector<ServiceRoom> rooms;
        int forwarded = 0;
        /** Prompt tokens forwarded since the last pulse, which its rooms do not count yet. */
        absl::flat_hash_map<core::ServiceId, std::int64_t> unreportedTokens;
    };

    bool isWanted(const Member &member) const;
    bool isHeard(const Peer &peer) const;
    bool mayBeAlive(const Peer &peer) const;

    Member m_self;
    core::TimerService &m_timers;
    std::map<core::InstanceId, Peer> m_peers;
};

} // namespace snipeferry::gateway
