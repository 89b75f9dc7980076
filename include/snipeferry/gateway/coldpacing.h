#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"

#include <deque>
#include <utility>
#include <vector>

namespace snipeferry::gateway {

/** How many requests a cold backend server may get in one second beyond its rate. */
struct ColdBounds
{
    /** Multiple of the rate. */
    double excess = 1.5;
    /** Requests in addition. */
    double slack = 3;
};

/**
 * Decides whether this instance is the one that sends requests to a cold backend server, and at which rate.
 *
 * The sender is chosen among the announced members of the region and not among those that are heard of, so that instances which do not hear each other choose
 * the same one. An instance uses a list for some time after it was confirmed, so after a change the next sender waits that long. Should two instances be the
 * sender nevertheless, the rate of each leaves room for the other.
 */
class ColdPacing
{
public:
    /** Time from the decision to send a request to a cold backend server within which it has to be sent. Later it would meet those decided after it. */
    static constexpr absl::Duration SEND_TIME = absl::Milliseconds(200);

    ColdPacing(core::InstanceId self, core::TimerService &timers);

    void setBounds(ColdBounds bounds);
    /** @brief Sets the announced members of this region; this instance only if it is announced. */
    void setMembers(std::vector<core::InstanceId> members);
    /** @brief Sets how long an instance stays among the announced members after its last renewal. */
    void setAnnouncementLifetime(absl::Duration lifetime);
    /** @brief Records when the members were last confirmed. */
    void confirmMembers(absl::Time at);

    /** @brief Whether this instance sends to a backend server while it is cold. */
    bool isSender(const core::BackendServerId &server) const;
    /** @brief Time between two requests of the sender. */
    absl::Duration interval(double coldRate) const;

private:
    /** Time after a change of the members in which another instance may send by the list before. */
    absl::Duration handoverTime() const;

    core::InstanceId m_self;
    core::TimerService &m_timers;
    ColdBounds m_bounds;
    std::vector<core::InstanceId> m_members;
    /** Earlier lists of members, and when each was replaced. */
    std::deque<std::pair<absl::Time, std::vector<core::InstanceId>>> m_earlierMembers;
    absl::Duration m_maxMembersAge = absl::Seconds(5);
    absl::Time m_membersConfirmedAt = absl::InfinitePast();
};

} // namespace snipeferry::gateway
