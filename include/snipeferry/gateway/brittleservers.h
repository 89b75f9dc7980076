#pragma once

#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/message.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <random>

namespace snipeferry::gateway {

class Journal;

/**
 * Backend servers that say in their answers that they fail if they have to turn many requests away for want of room.
 *
 * The bound is one for all instances together, and what one instance turns up with is decided before it hears of the others. So such a server gets no more
 * than it has slots for, by the load that is known here, and after a refusal nothing for a while.
 */
class BrittleServers
{
public:
    BrittleServers(const core::InstanceId &self, core::TimerService &timers);

    /** @brief Records what an answer says. */
    void note(const BackendServer &server, const RunReport &report, Journal &journal);

    /** @brief Forgets a backend server that has left, or started again. */
    void remove(const BackendServer &server);

    /** @brief Whether the backend server said so in its last answer; if it did not or gave none lately, whether others of its service do. */
    bool isBrittle(const BackendServer &server) const;

    /**
     * @brief Whether a request may be sent to the backend server.
     * @param runs runs of all instances at it, as far as they are known
     */
    bool hasRoom(const BackendServer &server, int runs) const;

private:
    struct Answer
    {
        absl::Time at = absl::InfinitePast();
        bool isBrittle = false;
    };

    struct ServiceAnswers
    {
        Answer last;
        absl::flat_hash_map<core::BackendServerId, Answer> servers;
        /** Until when a backend server gets nothing because it has turned a request away. */
        absl::flat_hash_map<core::BackendServerId, absl::Time> sparedUntil;
    };

    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    /** Services of which a backend server has said so. */
    absl::flat_hash_map<core::ServiceId, ServiceAnswers> m_services;
};

} // namespace snipeferry::gateway
