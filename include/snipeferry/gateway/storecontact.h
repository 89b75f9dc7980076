#pragma once

#include "snipeferry/core/timerservice.h"

namespace snipeferry::gateway {

/**
 * Whether the store works, as the instances of one region see it.
 *
 * A failed call is no outage: the store may close a waiting call at any time. An outage is a time without any answer that is long enough for the announcement
 * of a living backend server to lapse. Answers that other instances of the region got count like own ones, because backend servers reach the store as they do.
 */
class StoreContact
{
public:
    /** @param minOutage shortest outage in which the announcement of a living backend server may lapse */
    StoreContact(core::TimerService &timers, absl::Duration minOutage);

    enum class Change {
        None,
        /** The first failed call since the last answer. */
        Lost,
        /** An answer after a failed call. */
        Regained,
        /** An answer after an outage. */
        RegainedAfterOutage,
    };

    /** @brief Reports an answer of the store that this instance got just now. */
    Change noteAnswer();
    /** @brief Reports an answer that another instance of the region got. */
    Change notePeerAnswer(absl::Time at);
    Change noteFailure();
    /** @brief Reports that the store has come back from a copy, which counts as the end of an outage. */
    void noteReturn();

    /** @brief Whether a call failed and nothing was answered since. */
    bool isInTrouble() const;
    /** @brief Whether nothing has been answered for so long that announcements may lapse. */
    bool isAway() const;
    /** @brief Time of the last answer that this instance got itself; InfinitePast if there was none. */
    absl::Time lastOwnAnswerAt() const;

    /**
     * @brief Time for which the store has worked so far. It stands still from the first failed call to the next answer.
     *
     * What is left of a limit in this time is renewed neither by failed calls nor by answers.
     */
    absl::Duration workingTime() const;
    /** @brief workingTime() at the end of the last outage; minus infinity if there was none. */
    absl::Duration workingTimeAtReturn() const;

private:
    Change noteAnswerAt(absl::Time at);

    core::TimerService &m_timers;
    absl::Duration m_minOutage;
    absl::Time m_startedAt;
    absl::Time m_lastAnswerAt = absl::InfinitePast();
    absl::Time m_lastOwnAnswerAt = absl::InfinitePast();
    /** First failed call since the last answer; InfiniteFuture if there was none. */
    absl::Time m_failedAt = absl::InfiniteFuture();
    /** Sum of the outages that are over. */
    absl::Duration m_awayTime;
    absl::Duration m_workingTimeAtReturn = -absl::InfiniteDuration();
};

} // namespace snipeferry::gateway
