#pragma once

#include "snipeferry/gateway/crashhistory.h"

namespace snipeferry::gateway {

/**
 * What crashes of backend servers say against one prompt part or one request, counted since a run with it last ended well.
 *
 * Crashes that are close in time count as one moment: a rack, a zone or a network device ends many servers at once, with whatever they have in work. Only for
 * a request that nobody knows to have ever ended well, and that was in work at each server that crashed in a moment, is each crash counted.
 */
class PartBlame
{
public:
    /** Crashes that are closer in time count as one moment. */
    static constexpr absl::Duration MOMENT_GAP = absl::Milliseconds(250);

    /** Fewer crashes than this are enough for nothing. */
    static constexpr std::size_t MIN_CRASHES = 3;

    /** @param clearedAt when a run with the part last ended well; InfinitePast if that is not known */
    PartBlame(PartKey key, absl::Time clearedAt);

    /**
     * @brief Adds a crash in which the part was in work. Crashes must be added in order of time.
     * @param isAtAll whether the part was in work at all servers of the service that crashed in this moment
     */
    void add(const Crash &crash, AnswerProgress progress, bool isAtAll);

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
    /** Crashes of a request, those of a moment counted once if something else than the request may have caused it. */
    int separateCrashes() const;
    /** Crashes that count against a request: moments only if it is known to have ended well before. */
    int requestCrashes() const;

    PartKey m_key;
    bool m_isRequest;
    absl::Time m_clearedAt;
    int m_crashes = 0;
    /** Moments at which the part was in work at all, and at which it was in work like a culprit. */
    int m_moments = 0;
    int m_culpritMoments = 0;
    /** Separate crashes of earlier moments, and the crashes of the latest one. */
    int m_earlierCrashes = 0;
    int m_momentCrashes = 0;
    bool m_isMomentAtAll = true;
    absl::Time m_lastCrashAt = absl::InfinitePast();
    absl::Time m_lastMomentAt = absl::InfinitePast();
    absl::Time m_lastCulpritMomentAt = absl::InfinitePast();
};

} // namespace snipeferry::gateway
