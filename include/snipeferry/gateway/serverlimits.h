#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/core/value.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace snipeferry::gateway {

/** The limit that a backend server has named. */
struct ServerLimit
{
    core::BackendServerId server;
    /** Start of the process that has named it, in Unix milliseconds; 0 if unknown. */
    std::int64_t startedAtMs = 0;
    /** Requests per second from all instances together; empty if the server does not name a limit any more. */
    std::optional<double> perSecond;
    /** Time since the answer that said so. */
    absl::Duration ago;

    SNIPEFERRY_VALUE(ServerLimit, server, startedAtMs, perSecond, ago)
};

/** Tells the instances of the region what limits backend servers have named. */
struct ServerLimitsNotice
{
    std::vector<ServerLimit> limits;

    SNIPEFERRY_VALUE(ServerLimitsNotice, limits)
};

/** A limit in force, for the log and the metrics. */
struct LimitState
{
    core::BackendServerId server;
    double perSecond = 0;
    /** Requests per second that this instance may send. */
    double ownPart = 0;
    absl::Duration age;
};

/**
 * The limits that backend servers of this region name, and this instance's part of each.
 *
 * A limit holds for all instances together. As many of the region's members share a backend server as get a useful part each; the others send nothing there.
 */
class ServerLimits
{
public:
    ServerLimits(core::InstanceId self, core::TimerService &timers);

    /**
     * @brief Records what an answer says about the backend server's limit.
     * @param runStartedAt when the request was sent; a limit that was named since is newer than the answer's silence
     * @return whether the limit has changed
     */
    bool note(const BackendServer &server, const RunReport &report, bool isSuccess, absl::Time runStartedAt);

    /**
     * @brief Merges what another instance tells.
     * @return what of it is new, to be passed on
     */
    std::vector<ServerLimit> receive(const std::vector<ServerLimit> &limits);

    /** @brief Changes that this instance has seen since the last call. */
    std::vector<ServerLimit> takeNews();

    /** @brief All limits, for a new link. */
    std::vector<ServerLimit> all() const;

    /** @brief Forgets a backend server that is gone or has started again. */
    void remove(const core::BackendServerId &server);

    /** @brief Sets the announced members of this region, without this instance if it may send nothing because it is shutting down. */
    void setMembers(std::vector<core::InstanceId> members);

    /** @brief Sets how long an instance stays among the announced members after its last renewal. */
    void setAnnouncementLifetime(absl::Duration lifetime);

    /** @brief Records when the members were last confirmed. */
    void confirmMembers(absl::Time at);

    /**
     * @brief Whether this instance may send a request to a backend server now.
     * @param lead how many requests it may be ahead of its part, from 0 to 1; more urgent requests have a larger lead than others
     */
    bool mayDispatch(const core::BackendServerId &server, double lead) const;

    /** @brief Time until this instance may send a request there; infinite if it has no part of the limit. */
    absl::Duration timeUntilDispatch(const core::BackendServerId &server, double lead) const;

    /** @brief Records that a request was sent. */
    void dispatched(const core::BackendServerId &server);

    std::vector<LimitState> states() const;

private:
    struct Entry
    {
        std::int64_t startedAtMs = 0;
        std::optional<double> perSecond;
        absl::Time at;
        /** When the next request is due, if all were sent evenly. */
        absl::Time nextDueAt = absl::InfinitePast();
        bool hasNews = false;
    };

    bool set(const core::BackendServerId &server, std::int64_t startedAtMs, std::optional<double> perSecond, absl::Time at);
    ServerLimit describe(const core::BackendServerId &server, const Entry &entry) const;
    /** Requests per second that this instance may send; 0 if it has no part. */
    double ownPart(const core::BackendServerId &server, double perSecond) const;

    core::InstanceId m_self;
    core::TimerService &m_timers;
    absl::Time m_startedAt;
    /** Age of the members' last confirmation from which another instance may have taken over this one's part. */
    absl::Duration m_maxMembersAge = absl::Seconds(6);
    absl::Time m_membersConfirmedAt = absl::InfinitePast();
    std::vector<core::InstanceId> m_members;
    absl::flat_hash_map<core::BackendServerId, Entry> m_limits;
};

} // namespace snipeferry::gateway
