#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/fleetmessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** Network round trip to another region, including the connection setup there. */
constexpr absl::Duration REGION_ROUND_TRIP = absl::Milliseconds(125);

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

    /** @brief Adds or updates a member from its announcement in the store. What an older incarnation says of itself is ignored. */
    void announceMember(const Member &member);
    /** @brief Removes a member whose announcement was removed from the store. A linked instance stays. */
    void removeMember(const core::InstanceId &id);

    void linkUp(const Member &peer);
    void linkDown(const core::InstanceId &id);

    /** @brief The process at the other end of the link to an instance; empty without a link. */
    ProcessId linkedProcess(const core::InstanceId &id) const;

    /**
     * @brief Processes a pulse.
     * @return the earliest time, on this instance's clock, at which the sender can have sent the pulse; InfinitePast if that is unknown
     */
    absl::Time receive(const core::InstanceId &from, const Pulse &pulse);

    /** @brief Returns a pulse to a peer with only sentAt and echo set. */
    Pulse startPulse(const core::InstanceId &to) const;

    /** @brief Whether this instance's region is so large that its instances report to relays and not to each other. */
    bool usesRelays() const;

    /**
     * @brief Checks which relays are usable and replaces those that are not. Must be called several times a second.
     * @return whether the relays, and so the members to link, have changed
     */
    bool updateRelays();

    /** @brief Relays of this instance's region, the best first; empty in a small region. May contain this instance. */
    const std::vector<core::InstanceId> &relays() const;
    bool isRelay() const;
    /** @brief The relay from which this instance gets summaries: one of its data centre, if there is one. Empty for a relay. */
    core::InstanceId nearestRelay() const;
    /**
     * @brief Whether an instance of another region is told what concerns the whole of this region: a relay, as far as the announcements tell, or any
     * instance of a region without relays.
     */
    bool receivesRegionReports(const core::InstanceId &id) const;
    /** @brief Whether an instance of another region is one of its region's relays, as far as the announcements tell. */
    bool isRelayOfOtherRegion(const core::InstanceId &id) const;

    /** @brief Processes the states of this region's instances from a relay's summary. */
    void receiveStates(const std::vector<InstanceState> &states);
    /** @brief States of this region's instances, this one included, for a summary. */
    std::vector<InstanceState> regionStates(bool isSelfReady, const std::vector<core::ServiceId> &ownLostServices) const;

    /**
     * @brief Announced members to which this instance keeps links.
     *
     * In a small region all of its members, in a large one its relays, and from a relay all of its region. A few of each data centre of other regions.
     *
     * Both ends of a link apply the same rule, so that neither keeps a link that the other end would close.
     */
    std::vector<Member> membersToLink() const;
    /** @brief Instances with a link, whether or not they send pulses. */
    std::vector<core::InstanceId> linkedInstances() const;
    bool isInOwnRegion(const core::InstanceId &id) const;

    /** @brief Region of an instance; empty if it is not known. */
    core::RegionId regionOf(const core::InstanceId &id) const;

    /** @brief This instance and those of its data centre that were heard of recently. */
    std::vector<core::InstanceId> dataCentreInstances() const;

    /** @brief This instance and those of its region that were heard of recently. */
    std::vector<core::InstanceId> regionInstances() const;

    /** @brief This instance and those of its region that were cut off from backend servers a short time ago. */
    std::vector<core::InstanceId> instancesLatelyCutOff() const;

    /** @brief This instance and the members of its region that the store has announced, whether or not they were heard of. */
    std::vector<core::InstanceId> announcedRegionMembers() const;

    /** @brief This instance and those of all regions that may be alive: heard of, or announced and not known to be gone. */
    std::vector<core::InstanceId> possiblyLiveInstances() const;

    /** @brief Regions of these instances, each once. */
    std::vector<core::RegionId> liveRegions() const;

    /** @brief Whether another instance of a region was heard of recently and accepts callers. */
    bool hasReadyInstance(const core::RegionId &region) const;

    /** @brief Number of instances that may spend shared allowances, this one included. */
    int instanceCount() const;

    /**
     * @brief Addresses of the nearest usable instances for callers in a data centre.
     *
     * Prefers the data centre, there instances that reach the backend servers, then the region, then other regions. If no instance of the callers' region
     * accepts callers, its draining instances are preferred to other regions.
     */
    std::vector<std::string> callerAddresses(
        const core::RegionId &region, const core::DataCentreId &dataCentre, bool isSelfReady, bool isSelfCutOff = false) const;

    /**
     * @brief Chooses the instance of another region with the shortest expected time for a request.
     *
     * What was forwarded since a region's last pulse is added to its waits, as if each instance of this region had forwarded as much as this one. Between
     * instances with equal estimates the one with the fewest open forwarded requests is chosen, and between those a random one.
     */
    core::Expected<RemoteChoice> choose(const RemoteQuery &query) const;

    /**
     * @brief Chooses another instance of this region that reaches the backend servers of a service.
     *
     * Prefers the own data centre, and there the instance to which the fewest requests were forwarded. Its estimates are left to the caller.
     */
    core::Expected<RemoteChoice> chooseNeighbour(const core::ServiceId &service, const std::vector<core::InstanceId> &excluded) const;

    /** @brief Counts a forwarded request until forwardEnded(), and its prompt tokens until each instance of the region has sent a later pulse. */
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
        /** The process that the link's greeting came from. The announcement may be of an earlier or a later one. */
        ProcessId linkedProcess;
        /** Whether the last pulse said that the instance accepts callers. */
        bool isReady = false;
        /** Whether the last pulse said that the instance runs forwarded requests. */
        bool takesForwards = false;
        /** Time of the last pulse, or of the link's start. */
        absl::Time lastHeardAt = absl::InfinitePast();
        /** The sentAt of the last pulse received; returned to the peer as echo. */
        std::int64_t lastSentAt = 0;
        /** Last time at which a relay had heard of the instance. */
        absl::Time reportedAliveAt = absl::InfinitePast();
        /** Whether the relay reported that the instance accepts callers. */
        bool isReportedReady = false;
        /** Since when the instance is expected to answer as a relay; InfiniteFuture if it is none or answers. */
        absl::Time relayExpectedSince = absl::InfiniteFuture();
        /** Until when the instance is not used as a relay, because it did not answer as one. */
        absl::Time relayAvoidedUntil = absl::InfinitePast();
        /** Expected waits in the peer's region, from its last pulse. */
        std::vector<ServiceRoom> rooms;
        /** Services that the peer is cut off from, from its last pulse or a relay's report. */
        std::vector<core::ServiceId> lostServices;
        /** When the peer last reported such a service. */
        absl::Time cutOffAt = absl::InfinitePast();
        /** Requests forwarded to the peer that have not ended. */
        int openForwards = 0;
        /** All requests forwarded to the peer. */
        std::uint64_t forwards = 0;
        /** Prompt tokens forwarded to the peer's region that the waits in rooms do not include yet. */
        absl::flat_hash_map<core::ServiceId, std::int64_t> unreportedTokens;
    };

    /** Instances of this region, this one included: they have the same picture of the others, and get equal parts of its callers. */
    int countSenders() const;
    /** Adds the prompt tokens of a forwarded request to what the region's waits do not include yet. */
    void noteForwardedTokens(const core::RegionId &region, const core::ServiceId &service, std::int64_t promptTokens);
    void setLostServices(Peer &peer, const std::vector<core::ServiceId> &services);
    bool shouldLink(const Member &member) const;
    /** Decides to which members this instance keeps links, if the announcements or the relays have changed since the last time. */
    void refreshLinkTargets() const;
    bool linksInOwnRegion(const Member &member) const;
    /** Whether each end of a link between regions, or both, has chosen the other by rendezvous hashing. */
    void selectLinksToOtherRegions() const;
    bool hasRecentPulse(const Peer &peer) const;
    /** Whether the instance was heard of recently, by a pulse or through a relay. */
    bool isAlive(const Peer &peer) const;
    /** Whether an instance that was heard of recently accepts callers. */
    bool acceptsCallers(const Peer &peer) const;
    bool mayBeAlive(const Peer &peer) const;
    /** Whether the instance may be chosen as a relay; notes if it did not answer as one. */
    bool isUsableAsRelay(Peer &peer, absl::Time now) const;

    Member m_self;
    core::TimerService &m_timers;
    std::map<core::InstanceId, Peer> m_peers;
    /** For the choice between instances with equal estimates. */
    mutable std::mt19937_64 m_random;
    mutable int m_senders = 1;
    mutable absl::Time m_sendersCountedAt = absl::InfinitePast();
    std::vector<core::InstanceId> m_relays;
    absl::Time m_summaryReceivedAt = absl::InfinitePast();
    /** Derived from the announcements and the relays on demand: each costs a hash for each pair of members. */
    mutable absl::flat_hash_set<core::InstanceId> m_linkTargets;
    mutable absl::flat_hash_set<core::InstanceId> m_otherRegionsRelays;
    mutable absl::flat_hash_set<core::RegionId> m_otherLargeRegions;
    mutable std::size_t m_ownRegionSize = 1;
    mutable bool m_areLinkTargetsOutdated = true;
};

} // namespace snipeferry::gateway
