#pragma once

#include "membertable.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/action.h"

#include <vector>

/**
 * Sends short and full heartbeats and load changes of this instance to the other members.
 */
namespace snipeferry::membership {

/** Sends heartbeats. The intervals grow with the number of links, so that the bytes sent per second stay bounded. */
class HeartbeatSender
{
public:
    HeartbeatSender(
        const MembershipSettings &settings, const InstanceDescription &self, MemberTable &memberTable, core::TimerService &timers, messages::Outbox &outbox);

    void setState(core::Revision revision, std::vector<ServiceLoad> loads);

    /** @brief Sets the links that are kept; heartbeats on them ask the receiver for its loads. */
    void setKeptLinks(const std::vector<InstanceDescription> &kept);

    /** @brief Sends each linked member the heartbeat that is due, if any. */
    void sendDue();

    /** @brief Sends a full heartbeat to a member whose link came up. */
    void sendInitial(Entry &entry);

    /** @brief Sends a heartbeat without loads to an instance that is not a member yet. */
    void sendToUnknown(const InstanceDescription &to);

    /** @brief Sends a full heartbeat to all members. */
    void announce();

    /** @brief Returns the interval of short heartbeats to other data centres. */
    absl::Duration remoteInterval() const;

    bool isRemote(const Entry &entry) const;

private:
    void countLinks();
    void sendDueTo(Entry &entry);
    void sendFullHeartbeat(Entry &entry, std::size_t others);
    bool isKeptLink(const core::InstanceId &id) const;
    bool receivesLoads(const Entry &entry) const;
    std::vector<InstanceDescription> sampleOthers(const InstanceDescription &receiver, std::size_t count);
    void rotate(std::vector<InstanceDescription> &descriptions);

    const MembershipSettings &m_settings;
    const InstanceDescription &m_self;
    MemberTable &m_memberTable;
    core::TimerService &m_timers;
    messages::Outbox &m_outbox;
    std::vector<core::InstanceId> m_keptLinks;
    std::vector<ServiceLoad> m_loads;
    core::Revision m_revision = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_rotation = 0;
    int m_linkCount = 0;
    int m_remoteLinkCount = 0;
    int m_loadLinkCount = 0;
};

} // namespace snipeferry::membership
