#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/messages.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <memory>
#include <vector>

/**
 * Tracks the other instances by their heartbeats. The platform's list of instances only provides addresses to try.
 */
namespace snipeferry::membership {

struct MembershipSettings
{
    absl::Duration heartbeatInterval = absl::Milliseconds(500);
    /** A member that sent nothing for this long gets no new work. */
    absl::Duration suspectAfter = absl::Seconds(2);
    /** A member that sent nothing for this long is removed. */
    absl::Duration removeAfter = absl::Seconds(10);
    /** Number of links to each other data centre. */
    int linksPerDataCentre = 2;
    /** Configured instances that this instance tries to connect to at start. */
    std::vector<InstanceDescription> seeds;
};

/** Last known state of another instance. */
struct Member
{
    InstanceDescription description;
    /** The link is up, the last message is recent and the instance is not draining. */
    bool isUsable = false;
    /** A link to the instance is up. */
    bool isLinked = false;
    absl::Time lastHeard;
    core::Revision revision = 0;
    std::vector<ServiceLoad> loads;
};

/** Emitted when the members, their state or their loads change. */
struct MembersChanged
{
};

/** Maintains the list of other instances and selects the links to keep. */
class MemberList
{
public:
    MemberList(MembershipSettings settings, InstanceDescription self, core::TimerService &timers, messages::Outbox &outbox);
    ~MemberList();

    /** @brief Returns the current members, sorted by identifier. */
    std::vector<Member> members() const;

    /** @brief Finds a member, or returns nullptr. The pointer is valid until the next event. */
    const Member *find(const core::InstanceId &id) const;

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
