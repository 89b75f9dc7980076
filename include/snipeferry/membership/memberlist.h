#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <vector>

/**
 * Tracks the other instances by their heartbeats. The platform's list of instances only provides addresses to which links can be tried.
 */
namespace snipeferry::membership {

struct MembershipSettings
{
    /** Interval of heartbeats to the members of the own data centre; heartbeats to other data centres may be less frequent. */
    absl::Duration heartbeatInterval = absl::Milliseconds(500);
    /** A member that sent nothing for this long gets no new work. For members in other data centres the time may be longer. */
    absl::Duration suspectAfter = absl::Seconds(2);
    /** A member that sent nothing for this long is removed, but not before twice the time after which it gets no new work. */
    absl::Duration removeAfter = absl::Seconds(10);
    /** How many links this instance keeps to each other data centre. */
    int linksPerDataCentre = 2;
    /** Configured instances that this instance tries to connect to at start. */
    std::vector<InstanceDescription> seeds;
};

/** Last known state of another instance. */
struct Member
{
    InstanceDescription description;
    /** The instance may get new work: a link to it is up, its last message is recent and it is not draining. */
    bool isUsable = false;
    /** A link to the instance is up. */
    bool isLinked = false;
    /** When the last message from the instance arrived, moved forward by later pauses of this process. */
    absl::Time lastHeard;
    /** Configuration revision that the instance reported. */
    core::Revision revision = 0;
    std::vector<ServiceLoad> loads;
};

/** Emitted when the members, their state or their loads change. */
struct MembersChanged
{
};

/**
 * Maintains the list of the other instances, and selects the instances to which this instance keeps links.
 *
 * A link is a connection on which two instances exchange messages.
 */
class MemberList
{
public:
    MemberList(MembershipSettings settings, InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);
    ~MemberList();

    /** @brief Returns the current members, sorted by identifier. */
    std::vector<Member> members() const;

    /** @brief Finds a member, or returns nullptr. The pointer is valid until the next call of handle() or the next run of a timer. */
    const Member *find(const core::InstanceId &id) const;

    /** @brief Returns the description of this instance. */
    const InstanceDescription &self() const;

    /** @brief Sets the configuration revision and the loads that the next heartbeats report for this instance. */
    void setState(core::Revision revision, std::vector<ServiceLoad> loads);

    /** @brief Tells all members that this instance is draining. */
    void drain();

    core::Signal<MembersChanged> &changed();

    void handle(const messages::PeerReceived &event);
    void handle(const messages::PeerLinkChanged &event);
    void handle(const messages::DirectoryChanged &event);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::membership
