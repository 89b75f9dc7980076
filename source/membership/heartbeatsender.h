#pragma once

#include "membertable.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/action.h"

#include <vector>

/**
 * Sends short and full heartbeats and load changes of this instance to the other members.
 */
namespace snipeferry::membership {

/**
 * Decides when each member gets a heartbeat and which loads it contains.
 *
 * The intervals grow with the number of links, so that the bytes sent per second stay bounded.
 */
class HeartbeatSender
{
public:
    HeartbeatSender(
        const MembershipSettings &settings, const InstanceDescription &self, MemberTable &memberTable, core::TimerService &timers, messages::Outbox &outbox);

    /** @brief Sets the configuration revision and the loads that the next heartbeats report. */
    void setState(core::Revision revision, std::vector<ServiceLoad> loads);

    /** @brief Sets the instances to which this instance keeps links. Heartbeats to these instances ask for their loads. */
    void setKeptLinks(const std::vector<InstanceDescription> &kept);

    /** @brief Sends a heartbeat to each linked member for which one is due. */
    void sendDueHeartbeats();

    /** @brief Sends the first full heartbeat to a member, when its link comes up or its first message arrives. */
    void sendInitialHeartbeat(Entry &entry);

    /** @brief Sends a heartbeat without loads to an instance that is not a member yet. */
    void sendToUnknown(const InstanceDescription &to);

    /** @brief Sends a full heartbeat to all members. */
    void sendFullHeartbeatToAll();

    /** @brief Returns the interval of short heartbeats to other data centres. */
    absl::Duration remotePulseInterval() const;

    /** @brief Whether the member is in another data centre. */
    bool isRemote(const Entry &entry) const;

private:
    void countLinks();
    void sendDueHeartbeat(Entry &entry);
    void sendFullHeartbeat(Entry &entry, std::size_t sampleSize);
    bool isKeptLink(const core::InstanceId &id) const;
    bool receivesLoads(const Entry &entry) const;
    std::vector<InstanceDescription> sampleOtherMembers(const InstanceDescription &receiver, std::size_t count);
    void rotate(std::vector<InstanceDescription> &descriptions);

    const MembershipSettings &m_settings;
    const InstanceDescription &m_self;
    MemberTable &m_memberTable;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    /** Instances to which this instance keeps links. */
    std::vector<core::InstanceId> m_keptLinks;
    std::vector<ServiceLoad> m_loads;
    core::Revision m_revision = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_rotation = 0;
    /** Linked members. */
    int m_linkCount = 0;
    /** Linked members in other data centres. */
    int m_remoteLinkCount = 0;
    /** Linked members to which loads are sent. */
    int m_loadReceiverCount = 0;
};

} // namespace snipeferry::membership
