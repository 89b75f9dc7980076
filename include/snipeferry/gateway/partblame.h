#pragma once

#include "snipeferry/gateway/crashhistory.h"

namespace snipeferry::gateway {

/**
 * What crashes of backend servers say against one prompt part, counted since a run with it last ended well.
 *
 * Crashes that are close in time count as one moment: a rack, a zone or a network device ends many servers at once, with whatever they have in work.
 */
class PartBlame
{
public:
    /** @param clearedAt when a run with the part last ended well; InfinitePast if that is not known */
    PartBlame(PartKey key, absl::Time clearedAt);

    /** @brief Adds a crash in which the part was in work. Crashes must be added in order of time. */
    void add(const Crash &crash, AnswerProgress progress);

    const PartKey &key() const;
    int crashes() const;
    absl::Time lastCrashAt() const;

    /** @brief Whether a run with the part is known to have ended well at any time. */
    bool everEndedWell() const;

    /** @brief Whether a run with the part that ended in a crash must not be repeated. */
    bool isSuspect() const;

    /** @brief Whether requests with the part must be refused. */
    bool isEnough() const;

private:
    PartKey m_key;
    absl::Time m_clearedAt;
    int m_crashes = 0;
    /** Moments at which the part was in work at all, and at which it was in work like a culprit. */
    int m_moments = 0;
    int m_culpritMoments = 0;
    absl::Time m_lastCrashAt = absl::InfinitePast();
    absl::Time m_lastMomentAt = absl::InfinitePast();
    absl::Time m_lastCulpritMomentAt = absl::InfinitePast();
};

} // namespace snipeferry::gateway
