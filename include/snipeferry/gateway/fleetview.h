#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** Requirements for the choice of an instance of another region. */
struct RemoteQuery
{
    core::ServiceId service;
    int priority = 5;
    std::int64_t promptTokens = 0;
    /** Regions where the request may run; empty for all. */
    std::vector<core::RegionId> permittedRegions;
    /** Instances that already failed this request. */
    std::vector<core::InstanceId> excluded;
};

/** An instance of another region to which a request may be forwarded. */
struct RemoteChoice
{
    core::InstanceId instance;
    core::RegionId region;
    /** Expected time to the first event, including the network round trip. */
    absl::Duration estimate = absl::InfiniteDuration();
    /** The part of the estimate that passes before the request's own prompt is read. */
    absl::Duration wait = absl::InfiniteDuration();
};

/** The other instances of the fleet: which are announced in the store, which are linked and sending pulses, and how loaded their regions are. */
class FleetView
{
public:
    FleetView(Member self, core::TimerService &timers);

    const Member &self() const;

    /** @brief Adds or updates a member from its announcement in the store. An older incarnation is ignored. */
    void announceMember(const Member &member);
    /** @brief Removes a member whose announcement was removed from the store. A linked instance stays. */
    void removeMember(const core::InstanceId &id);

    void linkUp(const Member &peer);
    void linkDown(const core::InstanceId &id);

    /**
     * @brief Processes a pulse.
     * @return the earliest time, on this instance's clock, at which the sender can have sent the pulse; InfinitePast if that is unknown
     */
    absl::Time receive(const core::InstanceId &from, const Pulse &pulse);

    /** @brief Returns a pulse to a peer with only sentAt and echo set. */
    Pulse startPulse(const core::InstanceId &to) const;

    /**
     * @brief Announced members to which this instance keeps links: all of its region, and a few of each data centre of other regions.
     *
     * Both ends of a link apply the same rule, so that neither keeps a link that the other end would close.
     */
    std::vector<Member> membersToLink() const;
    /** @brief Instances with a link, whether or not they send pulses. */
    std::vector<core::InstanceId> linkedInstances() const;
    bool isInOwnRegion(const core::InstanceId &id) const;

    /** @brief This instance and those of its data centre with a recent pulse. */
    std::vector<core::InstanceId> dataCentreInstances() const;

    /** @brief This instance and those of its region with a recent pulse. */
    std::vector<core::InstanceId> regionInstances() const;

    /** @brief Whether another instance of a region has a recent pulse and accepts callers. */
    bool hasReadyInstance(const core::RegionId &region) const;

    /** @brief Number of instances that may spend shared allowances, this one included. */
    int instanceCount() const;

    /**
     * @brief Addresses of the nearest usable instances for callers in a data centre.
     *
     * Prefers the data centre, then the region, then other regions. If no instance of the callers' region accepts callers, its draining instances are
     * preferred to other regions.
     */
    std::vector<std::string> callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre, bool isSelfReady) const;

    /** @brief Chooses the instance of another region with the shortest expected time for a request. */
    core::Expected<RemoteChoice> choose(const RemoteQuery &query) const;

    /** @brief Counts a forwarded request until forwardEnded(), and its prompt tokens until the next pulse. */
    void forwardStarted(const core::InstanceId &id, const core::ServiceId &service, std::int64_t promptTokens);
    void forwardEnded(const core::InstanceId &id);

private:
    struct Peer
    {
        Member member;
        /** Whether the store contains the member's announcement. */
        bool isAnnounced = false;
        absl::Time announcedAt = absl::InfinitePast();
        bool isLinked = false;
        /** Whether the last pulse said that the instance accepts callers. */
        bool isReady = false;
        /** Time of the last pulse, or of the link's start. */
        absl::Time lastHeardAt = absl::InfinitePast();
        /** The sentAt of the last pulse received; returned to the peer as echo. */
        std::int64_t lastSentAt = 0;
        /** Expected waits in the peer's region, from its last pulse. */
        std::vector<ServiceRoom> rooms;
        /** Requests forwarded to the peer that have not ended. */
        int openForwards = 0;
        /** Prompt tokens forwarded since the last pulse; the waits in rooms do not include them yet. */
        absl::flat_hash_map<core::ServiceId, std::int64_t> unreportedTokens;
    };

    bool shouldLink(const Member &member) const;
    bool hasRecentPulse(const Peer &peer) const;
    bool mayBeAlive(const Peer &peer) const;

    Member m_self;
    core::TimerService &m_timers;
    std::map<core::InstanceId, Peer> m_peers;
};

} // namespace snipeferry::gateway
