#include "snipeferry/gateway/partblame.h"

#include <utility>

namespace snipeferry::gateway {

namespace {

/** Moments from which a part is quarantined: those at which it was in work like a culprit, or in work at all. */
constexpr int CULPRIT_MOMENTS = 3;
constexpr int ANY_MOMENTS = 5;
constexpr int SUSPECT_MOMENTS = 2;
/** The same for a whole request: crashes or, if it is known to have ended well before, moments. */
constexpr int REQUEST_CRASHES = 3;
constexpr int SUSPECT_REQUEST_CRASHES = 2;

} // namespace

PartBlame::PartBlame(PartKey key, absl::Time clearedAt)
    : m_key(std::move(key)),
      m_isRequest(isRequestFingerprint(m_key.part)),
      m_clearedAt(clearedAt)
{
}

void PartBlame::add(const Crash &crash, AnswerProgress progress, bool isAtAll)
{
    // A request whose answer is being written does not crash the server that writes it.
    const bool isInnocent = m_isRequest && progress == AnswerProgress::Writing;
    if (crash.at <= m_clearedAt || isInnocent) {
        return;
    }
    ++m_crashes;
    m_lastCrashAt = crash.at;
    if (crash.at - m_lastMomentAt >= MOMENT_GAP) {
        ++m_moments;
        m_lastMomentAt = crash.at;
        m_earlierCrashes = separateCrashes();
        m_momentCrashes = 0;
        m_isMomentAtAll = true;
    }
    ++m_momentCrashes;
    m_isMomentAtAll = m_isMomentAtAll && isAtAll;
    if (progress == AnswerProgress::Begun && crash.at - m_lastCulpritMomentAt >= MOMENT_GAP) {
        ++m_culpritMoments;
        m_lastCulpritMomentAt = crash.at;
    }
}

const PartKey &PartBlame::key() const
{
    return m_key;
}

int PartBlame::crashes() const
{
    return m_crashes;
}

absl::Time PartBlame::lastCrashAt() const
{
    return m_lastCrashAt;
}

bool PartBlame::everEndedWell() const
{
    return m_clearedAt > absl::InfinitePast();
}

int PartBlame::separateCrashes() const
{
    return m_earlierCrashes + (m_isMomentAtAll ? m_momentCrashes : 1);
}

int PartBlame::requestCrashes() const
{
    return everEndedWell() ? m_moments : separateCrashes();
}

bool PartBlame::isSuspect() const
{
    return m_isRequest ? requestCrashes() >= SUSPECT_REQUEST_CRASHES : m_culpritMoments >= SUSPECT_MOMENTS;
}

bool PartBlame::isEnough() const
{
    if (m_isRequest) {
        return requestCrashes() >= REQUEST_CRASHES;
    }
    return m_culpritMoments >= CULPRIT_MOMENTS || m_moments >= ANY_MOMENTS;
}

} // namespace snipeferry::gateway
