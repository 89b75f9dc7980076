#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>

namespace snipeferry::gateway {

/**
 * What backend servers have said in their answers about further work: that they leave, and for how long they want none from this instance.
 *
 * It does not depend on their announcements, which may be old or missing, and ends with a later start of the backend server.
 */
class ServerNotices
{
public:
    /** Longest pause that one answer may ask for. */
    static constexpr absl::Duration MAX_PAUSE = absl::Minutes(1);

    ServerNotices(const core::InstanceId &self, core::TimerService &timers);

    /** What an answer has changed. */
    struct Change
    {
        bool isLeaving = false;
        /** Zero if no longer pause was asked for. */
        absl::Duration pause;
    };

    /** @brief Records an answer of a run that began after the backend server's present start became known here. */
    Change note(const BackendServer &server, const RunReport &report, bool isSuccess, absl::Time runStartedAt);

    /** @brief Whether this start of the backend server, or a later one, has said that it leaves. */
    bool isLeaving(const BackendServer &server) const;

    /** @brief Time until the backend server wants work from this instance again; zero if it does. */
    absl::Duration pauseLeft(const core::BackendServerId &server) const;

    /** @brief Forgets what earlier starts of a backend server have said. */
    void restarted(const core::BackendServerId &server);

private:
    struct Notice
    {
        std::int64_t startedAtMs = 0;
        bool isLeaving = false;
        absl::Time pausedAt = absl::InfinitePast();
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Time notedAt = absl::InfinitePast();
    };

    void makeRoom();

    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    absl::flat_hash_map<core::BackendServerId, Notice> m_notices;
};

} // namespace snipeferry::gateway
